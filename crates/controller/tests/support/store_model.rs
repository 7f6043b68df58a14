//! The reducer connected to a model of the relay's store, which assigns slices to this controller or to another one,
//! can be cut off, and carries out requests with or without a response.

use super::rig::{Rig, OUTCOME_UNKNOWN};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::relay::Response;
use whinwall_routing::{Effect, Event};
use whinwall_transport::{RequestError, StreamError};

/// The time from the execution of a request until all proxies have applied it.
const PROXY_DELAY: Span = Span::ms(300);
/// The time from the application of a request by proxies until the controller is sent the acknowledgements.
const ACK_DELAY: Span = Span::ms(10);
const HEARTBEAT_INTERVAL: Span = Span::ms(1000);
/// The time after which the controller's transport reports a request without a response.
const RESPONSE_TIMEOUT: Span = Span::ms(150);
/// The time after which the controller's transport gives up connecting.
const CONNECT_TIMEOUT: Span = Span::ms(2400);
/// The time without a line after which the controller's transport reports the relay watch as lost.
const WATCH_IDLE_TIMEOUT: Span = Span::ms(2500);
/// The longest step of the simulated time.
const MAX_STEP: Span = Span::ms(20);

/// What happens to a request that reaches the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// It is carried out and answered.
    Arrive,
    /// It is carried out, and the answer is lost.
    Lost,
    /// It is not carried out, and no answer comes.
    Ignored,
}

/// The hold on a slice's requests, from a level of 0 until another level.
#[derive(Clone, Copy)]
struct Hold {
    since: Moment,
    owner_changed: bool,
}

/// The relay watch, as the controller's transport sees it.
#[derive(Clone, Copy)]
enum Watch {
    Closed,
    Connecting { since: Moment },
    Open { last_line_at: Moment },
}

/// The reducer and the store.
pub struct StoreModel {
    pub rig: Rig,
    pub answers: Answers,
    /// Violations of the rule that the writes of a slice are never with two replicas at a time.
    pub violations: Vec<String>,
    /// The number of changes of owner that were carried out.
    pub owner_changes: u32,
    /// The times at which the relay received requests, carried out or not.
    pub received_at: Vec<Moment>,
    /// The times at which the relay received requests that it did not answer.
    pub unanswered_at: Vec<Moment>,
    /// The time from the opening of a relay watch until the store is read for its snapshot.
    pub snapshot_delay: Span,
    write_lifetime: Span,
    table_lease: Span,
    own_slices: BTreeSet<u32>,
    assigned_at: BTreeMap<u32, Moment>,
    /// The time at which a proxy disconnected that has not connected again.
    proxy_left_at: Option<Moment>,
    holds: BTreeMap<u32, Hold>,
    is_cut: bool,
    watch: Watch,
    next_heartbeat: Moment,
    /// Acknowledgements in transit: the time of their arrival, and the version.
    acks: Vec<(Moment, String)>,
    request_since: Option<Moment>,
    /// Lines of the relay watch that the controller has not read; `None` unless it is suspended.
    unread_lines: Option<Vec<String>>,
}

impl StoreModel {
    /// A controller that has managed its slices for 20 s.
    pub fn serving(slices: u32, change: impl Fn(&mut serde_json::Value)) -> Self {
        let ns = std::cell::RefCell::new((0, 0));
        let rig = Rig::with_settings(slices, |settings| {
            change(settings);
            let family = &settings["familyInfo"];
            let read = |name: &str| family[name].as_u64().unwrap_or_default();
            *ns.borrow_mut() = (read("writeLifeNs"), read("tenureNs"));
        });
        let (write_life_ns, lease_ns) = *ns.borrow();
        let now = rig.now;
        let own_slices: BTreeSet<u32> = rig.store.keys().copied().collect();
        let mut model = StoreModel {
            rig,
            answers: Answers::Arrive,
            violations: Vec::new(),
            owner_changes: 0,
            received_at: Vec::new(),
            unanswered_at: Vec::new(),
            snapshot_delay: Span::default(),
            write_lifetime: Span::ns(write_life_ns),
            table_lease: Span::ns(lease_ns),
            assigned_at: own_slices.iter().map(|slice| (*slice, now)).collect(),
            own_slices,
            proxy_left_at: None,
            holds: BTreeMap::new(),
            is_cut: false,
            watch: Watch::Closed,
            next_heartbeat: now,
            acks: Vec::new(),
            request_since: None,
            unread_lines: None,
        };
        model.rig.send_list();
        model.advance_ms(20_000);
        model
    }

    /// Cuts the controller off from the relay: open connections fall silent, and new ones do not come up.
    pub fn cut(&mut self) {
        self.is_cut = true;
        self.acks.clear();
    }

    /// Ends the cut. Connections from before are reset; attempts to connect succeed.
    pub fn heal(&mut self) {
        self.is_cut = false;
        if let Watch::Open { .. } = self.watch {
            self.lose_watch(StreamError::Closed);
        }
        self.step();
    }

    /// Suspends the controller's process for this many milliseconds. In the middle of this time all slices are assigned
    /// to another controller, and at its end they are assigned back. The controller's timers fire before it reads what
    /// the relay watch has delivered meanwhile.
    pub fn suspend_during_reassignment(&mut self, ms: u64) {
        self.unread_lines = Some(Vec::new());
        self.rig.now = self.rig.now + Span::ms(ms / 2);
        self.assign_to_other();
        self.rig.now = self.rig.now + Span::ms(ms / 2);
        self.assign_back();
        self.rig.drain_input();
        self.serve_request();
        for line in self.unread_lines.take().unwrap_or_default() {
            self.send_event(&line);
        }
        self.step();
    }

    /// Ends the cut and assigns all slices to this controller: before the end of the cut, or this much later.
    pub fn heal_and_assign_back(&mut self, return_ms: u64) {
        if return_ms == 0 {
            self.assign_back();
        }
        self.heal();
        self.advance_ms(return_ms);
        self.assign_back();
    }

    /// Resets the relay watch.
    pub fn reset_watch(&mut self) {
        self.lose_watch(StreamError::Closed);
        self.rig.drain_input();
    }

    /// Disconnects the last proxy, or connects it again.
    pub fn toggle_proxy(&mut self) {
        if self.proxy_left_at.take().is_some() {
            self.send_event(&format!("* SUBSCRIBE {} north 21.5 0", self.rig.proxies));
            self.rig.proxies += 1;
        } else {
            self.rig.proxies -= 1;
            self.proxy_left_at = Some(self.rig.now);
            self.send_event(&format!("* CLOSED {}", self.rig.proxies));
        }
        self.rig.drain_input();
    }

    /// Returns true while the controller is cut off from the relay.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Assigns all slices to another controller.
    pub fn assign_to_other(&mut self) {
        for slice in std::mem::take(&mut self.own_slices) {
            self.release_hold(slice);
            self.send_event(&format!("* GRANT {slice} 0"));
        }
        self.drain_input();
    }

    /// Assigns all slices to this controller, with the stored tables.
    pub fn assign_back(&mut self) {
        for (slice, table) in self.rig.store.clone() {
            if self.own_slices.insert(slice) {
                self.release_hold(slice);
                self.assigned_at.insert(slice, self.rig.now);
                self.send_event(&format!("* GRANT {slice} 1"));
                for (replica, weight) in table {
                    self.send_event(&format!("* ROW {slice} {replica} {weight}"));
                }
            }
        }
        self.drain_input();
    }

    fn drain_input(&mut self) {
        if self.unread_lines.is_none() {
            self.rig.drain_input();
        }
    }

    /// Changes the table of a slice of the other controller.
    pub fn set_table(&mut self, slice: u32, endpoints: &[(&str, f64)]) {
        assert!(!self.own_slices.contains(&slice));
        let table = endpoints.iter().map(|(replica, weight)| (replica.to_string(), *weight)).collect();
        self.rig.store.insert(slice, table);
    }

    /// Kills the controller's process and starts it again this much later. Its slices are without a controller meanwhile;
    /// then the new process is assigned them, and knows nothing but the store.
    pub fn restart_controller(&mut self, down_ms: u64) {
        for slice in std::mem::take(&mut self.own_slices) {
            self.release_hold(slice);
        }
        self.watch = Watch::Closed;
        self.acks.clear();
        self.request_since = None;
        self.rig.now = self.rig.now + Span::ms(down_ms);
        self.rig.restart();
        self.rig.send_list();
        self.step();
        self.assign_back();
    }

    /// Advances the time by this many milliseconds.
    pub fn advance_ms(&mut self, ms: u64) {
        let end = self.rig.now + Span::ms(ms);
        while self.rig.now < end {
            let next = self.rig.wake_at.unwrap_or(end).max(self.rig.now);
            let next = next.min(self.rig.now + MAX_STEP).min(end);
            let is_stuck = next == self.rig.now;
            self.rig.now = if is_stuck { self.rig.now + Span::ms(1) } else { next };
            self.step();
        }
    }

    /// Advances the time until the condition holds, for at most this long. Returns true if it does.
    pub fn advance_until(&mut self, max_ms: u64, condition: impl Fn(&StoreModel) -> bool) -> bool {
        let end = self.rig.now + Span::ms(max_ms);
        while !condition(self) && self.rig.now < end {
            self.advance_ms(10);
        }
        condition(self)
    }

    /// Returns true if the requests for a slice are held back.
    pub fn is_held_back(&self, slice: u32) -> bool {
        self.holds.contains_key(&slice)
    }

    /// Returns true if all proxies hold the requests for a slice back.
    pub fn is_applied_hold(&self, slice: u32) -> bool {
        self.holds.get(&slice).is_some_and(|hold| self.rig.now - hold.since >= PROXY_DELAY)
    }

    /// Delivers everything that is due.
    fn step(&mut self) {
        self.handle_effects();
        self.serve_watch();
        self.deliver_acks();
        self.rig.drain_input();
        self.handle_effects();
        self.serve_request();
        self.rig.drain_input();
        self.handle_effects();
    }

    fn handle_effects(&mut self) {
        for effect in std::mem::take(&mut self.rig.other_effects) {
            match effect {
                Effect::WatchRelay { .. } => self.watch = Watch::Connecting { since: self.rig.now },
                Effect::CancelUnsentRelayRequest if self.is_cut => {
                    self.fail_request(RequestError::NotSent(StreamError::Closed));
                }
                _ => {}
            }
        }
    }

    fn fail_request(&mut self, error: RequestError) {
        self.request_since = None;
        if self.rig.pending_request.take().is_some() {
            self.rig.apply(Event::RelayResponse(Err(error)));
        }
    }

    fn lose_watch(&mut self, error: StreamError) {
        self.watch = Watch::Closed;
        self.acks.clear();
        self.rig.apply(Event::RelayWatchLost(error));
    }

    fn serve_watch(&mut self) {
        let now = self.rig.now;
        match self.watch {
            Watch::Connecting { since } if self.is_cut && now - since >= CONNECT_TIMEOUT => {
                self.lose_watch(StreamError::TimedOut);
            }
            Watch::Open { last_line_at } if self.is_cut && now - last_line_at >= WATCH_IDLE_TIMEOUT => {
                self.lose_watch(StreamError::TimedOut);
            }
            Watch::Connecting { since } if !self.is_cut && now - since >= self.snapshot_delay => {
                self.send_snapshot();
            }
            Watch::Open { .. } if !self.is_cut && now >= self.next_heartbeat => {
                self.next_heartbeat = now + HEARTBEAT_INTERVAL;
                self.send_event("*");
            }
            _ => {}
        }
    }

    /// Sends what is stored. The next heartbeat, which shows that it is complete, follows at its own time.
    fn send_snapshot(&mut self) {
        self.watch = Watch::Open { last_line_at: self.rig.now };
        self.send_event("OK");
        for proxy in 0..self.rig.proxies {
            self.send_event(&format!("* SUBSCRIBE {proxy} north 21.5 0"));
        }
        for slice in self.own_slices.clone() {
            self.send_event(&format!("* GRANT {slice} 1"));
            for (replica, weight) in self.rig.store[&slice].clone() {
                self.send_event(&format!("* ROW {slice} {replica} {weight}"));
            }
        }
    }

    /// Sends a line on the relay watch, if it is open.
    fn send_event(&mut self, line: &str) {
        let (false, Watch::Open { last_line_at }) = (self.is_cut, &mut self.watch) else { return };
        *last_line_at = self.rig.now;
        match &mut self.unread_lines {
            Some(lines) => lines.push(line.to_string()),
            None => self.rig.relay_event(line),
        }
    }

    fn deliver_acks(&mut self) {
        let now = self.rig.now;
        let (due, later) = std::mem::take(&mut self.acks).into_iter().partition(|(at, _)| *at <= now);
        self.acks = later;
        for (_, version) in due {
            for proxy in 0..self.rig.proxies {
                self.send_event(&format!("* ACK {proxy} {version} 90.5"));
            }
        }
    }

    fn serve_request(&mut self) {
        let now = self.rig.now;
        let Some(request) = self.rig.pending_request.clone() else { return };
        if !self.is_cut && self.request_since.is_none() {
            self.received_at.push(now);
            if self.answers != Answers::Arrive {
                self.unanswered_at.push(now);
            }
        }
        let since = *self.request_since.get_or_insert(now);
        match self.answers {
            _ if self.is_cut => {
                if now - since >= CONNECT_TIMEOUT {
                    self.fail_request(RequestError::NotSent(StreamError::TimedOut));
                }
            }
            Answers::Arrive => {
                let command_count = self.carry_out(&request);
                self.request_since = None;
                self.rig.pending_request = None;
                self.rig.apply(Event::RelayResponse(Ok(Response::Accepted(command_count))));
            }
            Answers::Lost | Answers::Ignored => {
                if now == since && self.answers == Answers::Lost {
                    self.carry_out(&request);
                }
                if now - since >= RESPONSE_TIMEOUT {
                    self.request_since = None;
                    self.rig.pending_request = None;
                    self.rig.apply(OUTCOME_UNKNOWN);
                }
            }
        }
    }

    /// Carries out a request and returns the number of its commands. Commands for a slice of the other controller
    /// change nothing.
    fn carry_out(&mut self, request: &str) -> usize {
        let commands: Vec<String> =
            request.trim_start_matches("APPLY ").split(';').map(str::to_string).collect();
        for command in &commands {
            match command.split(',').collect::<Vec<_>>()[..] {
                ["SET", slice, replica, weight] => {
                    self.set_endpoint(slice.parse().unwrap(), replica, weight.parse().unwrap());
                }
                ["LIMIT", "*", ..] => {}
                ["LIMIT", slice, classes, rate, _] => {
                    self.set_admission(slice.parse().unwrap(), classes == "*" && rate == "0");
                }
                ["SYNC", version, _] => {
                    self.acks.push((self.rig.now + PROXY_DELAY + ACK_DELAY, version.to_string()));
                }
                _ => {}
            }
        }
        commands.len()
    }

    fn set_endpoint(&mut self, slice: u32, replica: &str, weight: f64) {
        if !self.own_slices.contains(&slice) {
            return;
        }
        if self.rig.single_writer && !self.rig.store[&slice].contains_key(replica) {
            self.check_owner_change(slice);
        }
        let table = self.rig.store.get_mut(&slice).unwrap();
        if self.rig.single_writer {
            table.clear();
        }
        match weight {
            0.0 => _ = table.remove(replica),
            weight => _ = table.insert(replica.into(), weight),
        }
    }

    /// A single writer may be replaced while all proxies hold its requests back, and once proxies that know neither
    /// this nor the new assignment of the slice have stopped writing.
    fn check_owner_change(&mut self, slice: u32) {
        let now = self.rig.now;
        self.owner_changes += 1;
        let elapsed = now - self.assigned_at[&slice];
        if elapsed < self.table_lease + self.write_lifetime {
            self.violations.push(format!("slice {slice}: new owner {elapsed:?} after its assignment"));
        }
        if let Some(left_at) = self.proxy_left_at {
            // A proxy that had applied the hold before it left keeps to it.
            let held = self.holds.get(&slice).is_some_and(|hold| left_at >= hold.since + PROXY_DELAY);
            let absent_time = now - left_at;
            if !held && absent_time < self.table_lease + self.write_lifetime {
                self.violations.push(format!("slice {slice}: new owner {absent_time:?} after a proxy left"));
            }
        }
        match self.holds.get_mut(&slice) {
            Some(hold) if now - hold.since >= PROXY_DELAY => {
                hold.owner_changed = true;
                let writes_ended_at = hold.since + PROXY_DELAY + self.write_lifetime;
                if now < writes_ended_at {
                    let early = writes_ended_at - now;
                    self.violations
                        .push(format!("slice {slice}: new owner {early:?} before the last write ended"));
                }
            }
            Some(hold) => {
                let elapsed = now - hold.since;
                self.violations
                    .push(format!("slice {slice}: new owner {elapsed:?} after its requests were held back"));
            }
            None => {
                self.violations.push(format!("slice {slice}: new owner, but its requests are not held back"));
            }
        }
    }

    fn set_admission(&mut self, slice: u32, holds_back: bool) {
        if !self.own_slices.contains(&slice) {
            return;
        }
        if holds_back {
            self.holds.entry(slice).or_insert(Hold { since: self.rig.now, owner_changed: false });
        } else {
            self.release_hold(slice);
        }
    }

    /// Ends the hold on a slice's requests, by a command or because the slice is assigned. The requests go to the stored
    /// owner then, so the writes at the previous one must have ended.
    fn release_hold(&mut self, slice: u32) {
        let Some(hold) = self.holds.remove(&slice).filter(|hold| hold.owner_changed) else { return };
        let now = self.rig.now;
        let writes_ended_at = hold.since + PROXY_DELAY + self.write_lifetime;
        if now < writes_ended_at {
            let early = writes_ended_at - now;
            self.violations
                .push(format!("slice {slice}: requests admitted {early:?} before the last write ended"));
        }
    }
}
