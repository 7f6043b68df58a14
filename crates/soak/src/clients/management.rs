//! A client of the management API that sets, clears and lists its own overrides and requests the status.

use super::http::{connect, exchange, request_text, Outcome, Response};
use super::{Shared, MANAGEMENT_CLIENTS, RECONNECT_DELAY};
use crate::incarnation::Incarnation;
use crate::ledger::ExpectedState;
use crate::program::MAX_LISTED_ENDED;
use crate::unconfirmed_clears::UnconfirmedClears;
use crate::violation::Violation;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use whinwall_policy::random::Random;

/// The limit of active overrides of one client; the limit of the store applies to all clients together.
const MAX_OWN_ACTIVE: usize = 20;

/// A request to the management API.
enum Call {
    Status,
    List,
    Set(String),
    Clear {
        id: String,
        /// The value of [`Ledger::possibly_ended_count`](crate::ledger::Ledger::possibly_ended_count) before the request
        /// is sent.
        ended_before: usize,
    },
}

impl Call {
    fn text(&self) -> String {
        match self {
            Call::Status => request_text("GET", "/v1/status", ""),
            Call::List => request_text("GET", "/v1/overrides", ""),
            // Each override has its own replica, so that none replaces another.
            Call::Set(id) => {
                let body = format!(
                    "{{\"kind\":\"weight\",\"server\":\"r-{id}\",\"factor\":0.5,\"author\":\"soak\",\"reason\":\"soak\",\
                     \"for\":\"1h\"}}"
                );
                request_text("PUT", &format!("/v1/overrides/{id}"), &body)
            }
            Call::Clear { id, .. } => {
                request_text("POST", &format!("/v1/overrides/{id}/clear"), "{\"by\":\"soak\"}")
            }
        }
    }

    fn name(&self) -> String {
        match self {
            Call::Status => "status".into(),
            Call::List => "list".into(),
            Call::Set(id) => format!("set {id}"),
            Call::Clear { id, .. } => format!("clear {id}"),
        }
    }
}

struct ManagementClient<'a> {
    shared: &'a Shared,
    prefix: String,
    random: Random,
    next_id: u64,
    active: Vec<String>,
    unconfirmed_clears: UnconfirmedClears,
    connection: Option<(UnixStream, Arc<Incarnation>)>,
}

pub(super) fn run(shared: &Shared, number: u64, random: Random) {
    let mut client = ManagementClient {
        shared,
        prefix: format!("m{number}-"),
        random,
        next_id: 0,
        active: Vec::new(),
        // Each client may have one clear that has ended its override but is not yet in the ledger.
        unconfirmed_clears: UnconfirmedClears::new(MAX_LISTED_ENDED - MANAGEMENT_CLIENTS as usize),
        connection: None,
    };
    while !shared.is_stopped() {
        client.step();
    }
}

impl ManagementClient<'_> {
    /// Sends one request.
    fn step(&mut self) {
        let Some((mut stream, incarnation)) = self.connection.take().or_else(|| self.connect()) else {
            std::thread::sleep(RECONNECT_DELAY);
            return;
        };
        let call = self.draw_call();
        match exchange(&mut stream, &call.text(), &mut self.random) {
            Outcome::Response(response) => {
                self.shared.count_answer();
                self.check_response(&call, &response);
                if !response.is_last {
                    self.connection = Some((stream, incarnation));
                }
            }
            Outcome::NotSent => self.restore_unsent_clear(&call),
            Outcome::Ended { sent_at, error } => {
                self.record_unknown(&call);
                if incarnation.requires_answer(sent_at) {
                    let request = format!("{}: {error}, in {}", call.name(), incarnation.round);
                    self.shared.violations.record(Violation::Unanswered { request });
                }
            }
            Outcome::TimedOut => {
                self.record_unknown(&call);
                if incarnation.is_serving() {
                    let request =
                        format!("{}: no answer before the time-out, in {}", call.name(), incarnation.round);
                    self.shared.violations.record(Violation::Unanswered { request });
                }
            }
        }
    }

    fn connect(&self) -> Option<(UnixStream, Arc<Incarnation>)> {
        let incarnation = self.shared.incarnation()?;
        Some((connect(&self.shared.socket).ok()?, incarnation))
    }

    fn draw_call(&mut self) -> Call {
        let draw = self.random.draw();
        if draw < 0.3 {
            return Call::Status;
        }
        if draw < 0.4 {
            return Call::List;
        }
        let is_full = self.active.len() >= MAX_OWN_ACTIVE;
        if !self.active.is_empty() && (is_full || draw > 0.75) {
            let index = (self.random.draw() * self.active.len() as f64) as usize % self.active.len();
            let ended_before = self.shared.ledger.possibly_ended_count();
            return Call::Clear { id: self.active.swap_remove(index), ended_before };
        }
        self.next_id += 1;
        Call::Set(format!("{}{}", self.prefix, self.next_id))
    }

    fn check_response(&mut self, call: &Call, response: &Response) {
        let is_persisted = response.body.contains("\"kept\":\"on disk\"");
        let record = |id: &String, expected| self.shared.ledger.record(id, expected);
        match (call, response.status) {
            (Call::Status, 200) => {}
            (Call::List, 200) => self.check_list(&response.body),
            (Call::Set(id), 200 | 201) if is_persisted => {
                record(id, ExpectedState::Active);
                self.active.push(id.clone());
            }
            (Call::Set(id), 503 | 507) => record(id, ExpectedState::Refused),
            (Call::Clear { id, .. }, 200) if is_persisted => record(id, ExpectedState::Ended),
            // A restart before the clear is persisted makes the override active again, so the clear may have to be repeated.
            (Call::Clear { id, ended_before }, 202) => {
                record(id, ExpectedState::Unknown);
                self.unconfirmed_clears.note(id, *ended_before);
                self.active.push(id.clone());
            }
            (Call::Clear { id, .. }, 503 | 507) => self.active.push(id.clone()),
            (Call::Clear { id, .. }, 404) if self.may_be_pruned(id) => record(id, ExpectedState::Ended),
            (_, 503) => {}
            (Call::Set(_) | Call::Clear { .. }, 408 | 504) => self.record_unknown(call),
            (_, 408 | 504) => {}
            (_, status) => {
                let exchange = format!("{}: {status} {}", call.name(), response.body);
                self.shared.violations.record(Violation::WrongAnswer { exchange });
            }
        }
    }

    fn may_be_pruned(&self, id: &str) -> bool {
        self.unconfirmed_clears.may_be_pruned(id, self.shared.ledger.possibly_ended_count())
    }

    fn check_list(&self, body: &str) {
        match serde_json::from_str(body) {
            Ok(list) => self.shared.ledger.check_list(&self.prefix, &list, &self.shared.violations),
            Err(error) => {
                let exchange = format!("list: {error}");
                self.shared.violations.record(Violation::WrongAnswer { exchange });
            }
        }
    }

    fn restore_unsent_clear(&mut self, call: &Call) {
        if let Call::Clear { id, .. } = call {
            self.active.push(id.clone());
        }
    }

    fn record_unknown(&self, call: &Call) {
        if let Call::Set(id) | Call::Clear { id, .. } = call {
            self.shared.ledger.record(id, ExpectedState::Unknown);
        }
    }
}
