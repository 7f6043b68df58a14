//! Commands to the relay: issued by the policy, sent as requests, and resent until their outcome is known.

use super::Reducer;
use crate::events::Effect;
use crate::log_event::LogEvent;
use crate::outbox::{Outbox, Outcome, Retry};
use crate::source_failures::Source;
use crate::timers::Timer;
use std::collections::BTreeSet;
use std::fmt;
use whinwall_policy::api::{Action, ReplicaId, SliceId};
use whinwall_policy::time::Moment;
use whinwall_protocol::relay::{Command, Response};
use whinwall_transport::{Cause, RequestError, StreamError};

/// The number of skipped commands that are remembered; beyond that they are forgotten, and cost one more reading of the
/// store each.
const MAX_SKIPPED_COMMANDS: usize = 256;

/// What became of attempts at relay requests, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Attempts that were sent.
    pub sent: u64,
    /// Attempts that the relay answered with accepted commands.
    pub accepted: u64,
    /// Attempts that were not carried out.
    pub not_applied: u64,
    /// Attempts that may have been carried out.
    pub unknown: u64,
    /// Attempts that had to wait for room in the command channel.
    pub held: u64,
}

/// The commands on their way, and those that the relay could not use.
#[derive(Default)]
pub(super) struct RelayCommands {
    pub outbox: Outbox,
    pub counts: RequestCounts,
    /// Commands that the relay could not use, since the endpoint list last changed.
    skipped: BTreeSet<String>,
}

impl RelayCommands {
    /// Remembers a skipped command. True where it was not skipped before.
    fn skip(&mut self, command: String) -> bool {
        if self.skipped.len() >= MAX_SKIPPED_COMMANDS {
            self.skipped.clear();
        }
        self.skipped.insert(command)
    }

    /// The endpoint list has changed: the relay may know the replicas of skipped commands now.
    pub fn clear_skipped(&mut self) {
        self.skipped.clear();
    }
}

impl Reducer {
    pub(super) fn relay_responded(&mut self, now: Moment, response: Result<Response, RequestError>) {
        let commands = self.commands.outbox.commands_in_flight();
        let response = response.and_then(|response| check_count(response, commands));
        let is_not_applied = matches!(response, Ok(Response::Retryable(_)) | Err(RequestError::NotSent(_)));
        let mut is_in_doubt = !is_not_applied && self.commands.outbox.has_reassigned_slices();
        match response {
            Ok(Response::Accepted(count)) => {
                self.commands.counts.accepted += 1;
                self.log(LogEvent::RequestAccepted {
                    request: self.commands.outbox.label(),
                    accepted: count,
                });
                is_in_doubt |= self.request_accepted(now, count, commands);
            }
            Ok(Response::Rejected(reason)) => {
                self.log(LogEvent::RequestRejected { reason });
                // Its commands are in the known routing tables and not in the store.
                is_in_doubt = true;
                self.commands.outbox.drop_rejected();
            }
            Ok(Response::Retryable(reason)) => self.request_failed(now, reason, Outcome::NotApplied),
            Err(error) => {
                let outcome = if is_not_applied { Outcome::NotApplied } else { Outcome::Unknown };
                self.request_failed(now, error, outcome);
            }
        }
        if is_in_doubt {
            self.reread_store();
        }
    }

    /// The relay has accepted some of the request's commands. True where the store is in doubt.
    fn request_accepted(&mut self, now: Moment, count: usize, commands: usize) -> bool {
        self.source_works(Source::RelayRequests);
        let has_stopped_at_first = count == 0 && commands > 0;
        let mut is_in_doubt = false;
        if let Some(command) = self.commands.outbox.accept(count) {
            self.log(LogEvent::CommandSkipped { command: command.clone() });
            // Its change is in the known routing tables and not in the store, unless the responses were garbled. A
            // command that was skipped before cannot be used whatever the store holds.
            is_in_doubt = self.commands.skip(command);
        }
        // Should the count be wrong, proxies get one message more.
        if let Some(version) = self.commands.outbox.version().filter(|_| has_stopped_at_first) {
            self.policy.command_resent(now, version);
        }
        is_in_doubt
    }

    fn request_failed(&mut self, now: Moment, reason: impl fmt::Display, outcome: Outcome) {
        match outcome {
            Outcome::NotApplied => self.commands.counts.not_applied += 1,
            Outcome::Unknown => self.commands.counts.unknown += 1,
        }
        let request = self.commands.outbox.label();
        self.log(LogEvent::RequestAttemptFailed { request, outcome, reason: reason.to_string() });
        self.source_failed(Source::RelayRequests, reason);
        if self.commands.outbox.request_failed(outcome) == Retry::AfterBackoff {
            self.start_after_backoff(now, Timer::RelayRequest);
        }
    }

    /// Resends a request of unknown outcome only where the rate limit allows for its being carried out twice (see *Rate
    /// limiting* in [`whinwall_policy`]).
    fn resend_if_capacity(&mut self, now: Moment) {
        self.commands.outbox.drop_acknowledged();
        let Some(version) = self.commands.outbox.version_of_possible_duplicate() else { return };
        if self.policy.may_resend(now, version) {
            self.policy.command_resent(now, version);
        } else {
            self.hold_resend(now);
        }
    }

    /// Asks again a little later; logged once for each attempt, as acknowledgements may take long.
    fn hold_resend(&mut self, now: Moment) {
        if self.commands.outbox.hold() {
            self.commands.counts.held += 1;
            let request = self.commands.outbox.label();
            self.log(LogEvent::ResendHeld { request, channel: self.policy.channel_load() });
        }
        self.start_after_backoff(now, Timer::RelayRequest);
    }

    /// Sends the next request, where none is in flight.
    pub(super) fn send_next_request(&mut self, now: Moment) {
        self.resend_if_capacity(now);
        if let Some(request) = self.commands.outbox.send_next() {
            self.commands.counts.sent += 1;
            let label = self.commands.outbox.label();
            self.log(LogEvent::RequestSent { request: label, channel: self.policy.channel_load() });
            let (relay, line) = (self.targets.relay, request.line);
            let needs_new_connection = request.needs_new_connection;
            self.effects.push(Effect::RelayRequest { relay, line, needs_new_connection });
        }
    }

    /// Asks the policy for commands where it may issue any, else for its background actions only.
    pub(super) fn issue_commands(&mut self, now: Moment) {
        let is_view_current = self.relay.snapshot.tables_complete_at().is_none() && !self.relay.is_in_doubt;
        if !(self.commands.outbox.is_empty() && is_view_current) {
            for action in self.policy.take_background_actions() {
                _ = self.command_for(now, action);
            }
            return;
        }
        let actions = self.policy.collect_actions(now);
        let commands: Vec<_> =
            actions.into_iter().filter_map(|action| self.command_for(now, action)).collect();
        let changed_slices = commands.iter().filter_map(Command::slice);
        let first_granted = &self.relay.first_granted_slices;
        self.relay.slices_in_motion.extend(changed_slices.filter(|slice| !first_granted.contains(slice)));
        self.enqueue(now, &commands);
        // Only now: a command may be the last that names a replica.
        self.forget_unneeded_replicas(now);
    }

    /// Each request is a message to the proxies, with an overhead of its own.
    fn enqueue(&mut self, now: Moment, commands: &[Command]) {
        let outbox = &mut self.commands.outbox;
        outbox.enqueue(commands);
        let additional_messages = outbox.request_count().saturating_sub(1) as u32;
        if let Some(version) = outbox.version().filter(|_| additional_messages > 0) {
            self.policy.reply_split(now, version, additional_messages);
        }
    }

    fn forget_unneeded_replicas(&mut self, now: Moment) {
        if self.names.len() <= self.policy.known_replica_count() {
            return;
        }
        let (policy, snapshot) = (&self.policy, &self.relay.snapshot);
        self.names.retain(|replica| policy.knows_replica(replica) || snapshot.has_replica(replica));
        self.remove_reports_on_forgotten_replicas();
        self.change_overrides(now, |_| {});
    }

    /// The command that an action stands for; none for one that concerns nobody but this controller, which is done here.
    fn command_for(&mut self, now: Moment, action: Action) -> Option<Command> {
        Some(match action {
            Action::SetEndpoint { slice, replica, weight } => {
                let name = self.names.name(replica)?;
                self.set_endpoint(slice, replica, weight);
                Command::SetEndpoint { slice, replica: name, weight }
            }
            Action::Withdraw { replica } => Command::Withdraw { replica: self.names.name(replica)? },
            Action::Reinstate { replica } => Command::Reinstate { replica: self.names.name(replica)? },
            Action::SetAdmission { slice, request_classes, admission_rate, retries } => {
                let classes = self.settings.request_classes.iter().enumerate();
                let selected = classes.filter(|(position, _)| request_classes >> position & 1 == 1);
                let request_classes = selected.map(|(_, name)| name.clone()).collect();
                Command::SetAdmission { slice, request_classes, share: admission_rate, retries }
            }
            Action::Sync { version } => Command::Sync { number: version },
            Action::RequestReplicaList => {
                self.open_registry_watch(now);
                return None;
            }
            Action::StartTimer { token, after } => {
                self.timers.start(now + after, Timer::Policy(token));
                return None;
            }
            Action::ReplicaEjected { replica, cause } => {
                let replica = self.names.name(replica)?;
                self.log(LogEvent::ReplicaEjected { replica, reason: cause });
                return None;
            }
        })
    }

    /// Changes a routing table as the store will have it.
    fn set_endpoint(&mut self, slice: SliceId, replica: ReplicaId, weight: f64) {
        let table = self.relay.tables.entry(slice).or_default();
        if weight > 0.0 {
            // Where one owner writes, a new endpoint takes the place of the former.
            if self.settings.deployment.single_writer {
                table.clear();
            }
            table.insert(replica, weight);
        } else {
            table.remove(&replica);
        }
    }
}

/// A response that accepts more commands than were sent belongs to another request, or is garbled.
fn check_count(response: Response, commands: usize) -> Result<Response, RequestError> {
    match response {
        Response::Accepted(count) if count > commands => {
            let cause = Cause::new(format!("{count} commands accepted of {commands}"));
            Err(RequestError::OutcomeUnknown(StreamError::Unreadable(cause)))
        }
        response => Ok(response),
    }
}
