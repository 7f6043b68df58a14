//! Commands on their way to the relay: requests in order, one at a time, each until its outcome is known.

use crate::log_event::RequestLabel;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use whinwall_policy::api::SliceId;
use whinwall_protocol::relay::{self, Command, SyncScope};

/// The commands of one reply of the policy, as requests that are not answered yet.
#[derive(Default)]
pub(crate) struct Outbox {
    requests: VecDeque<Vec<PendingCommand>>,
    state: State,
    consecutive_failures: u32,
    /// The next attempt was delayed, as the channel has no room for it.
    is_held: bool,
    /// Some of the first request may have been carried out already: the outcome of the last attempt is unknown, or the relay
    /// accepted only some of its commands.
    may_have_been_applied: bool,
    /// A proxy has acknowledged the version of what is pending: all of it was carried out.
    is_acknowledged: bool,
    /// The relay has stopped once at the first command.
    has_stopped_at_first: bool,
    /// Slices that were revoked or granted since the request in flight was sent.
    reassigned_slices: BTreeSet<SliceId>,
}

/// A command as the relay reads it, and what must be known of it.
struct PendingCommand {
    text: String,
    slice: Option<SliceId>,
    version: Option<u16>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Idle,
    InFlight,
    /// The relay cannot be reached or accepts nothing yet; the next attempt waits a little.
    BackingOff,
}

/// A request to send now.
pub(crate) struct NextRequest {
    pub line: String,
    /// Whether to open a new connection, as the last attempt failed.
    pub needs_new_connection: bool,
}

/// What is known of a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was not carried out.
    NotApplied,
    /// It may have been carried out.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Outcome::NotApplied => "not-applied",
            Outcome::Unknown => "unknown",
        })
    }
}

/// When a failed request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Retry {
    /// As soon as it may be.
    Now,
    /// After [`Outbox::end_backoff`].
    AfterBackoff,
}

impl Outbox {
    /// Whether nothing is pending, so that newer commands may be issued.
    pub fn is_empty(&self) -> bool {
        self.requests.iter().all(Vec::is_empty)
    }

    /// Takes the commands of one reply of the policy, while nothing is pending. They are one request, unless that
    /// is too large. Of several requests the last alone has the version, and asks all proxies to acknowledge it: some
    /// may have got an earlier request only, and a version by itself reaches none.
    pub fn enqueue(&mut self, commands: &[Command]) {
        self.clear();
        let (mut request, mut bytes) = (Vec::new(), 0);
        for command in commands {
            let is_scope_all = !self.requests.is_empty() || request.is_empty();
            let scope = if is_scope_all { SyncScope::AllProxies } else { SyncScope::ReachedProxies };
            let text = command.encode(scope);
            if bytes + text.len() + 1 > relay::MAX_REQUEST_BYTES {
                self.requests.push_back(std::mem::take(&mut request));
                bytes = 0;
            }
            bytes += text.len() + 1;
            request.push(PendingCommand { text, slice: command.slice(), version: command.version() });
        }
        self.requests.extend((!request.is_empty()).then_some(request));
    }

    /// The number of requests that are pending.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    fn clear(&mut self) {
        self.requests = VecDeque::new();
        self.has_stopped_at_first = false;
        self.may_have_been_applied = false;
        self.is_acknowledged = false;
    }

    /// Drops the commands for a slice that was revoked or granted: they were for a routing table that is no longer there.
    /// Those of the request in flight are out of reach, but are not sent again with it.
    pub fn drop_slice(&mut self, slice: SliceId) {
        let is_in_flight = self.state == State::InFlight;
        for request in self.requests.iter_mut().skip(usize::from(is_in_flight)) {
            request.retain(|command| command.slice != Some(slice));
        }
        if is_in_flight {
            self.reassigned_slices.insert(slice);
        }
    }

    /// The slices whose routing tables change with what is pending.
    pub fn slices(&self) -> BTreeSet<SliceId> {
        self.requests.iter().flatten().filter_map(|command| command.slice).collect()
    }

    /// The request to send now, where none is in flight.
    pub fn send_next(&mut self) -> Option<NextRequest> {
        if self.state != State::Idle {
            return None;
        }
        self.requests.retain(|request| !request.is_empty());
        let texts: Vec<_> = self.requests.front()?.iter().map(|command| command.text.as_str()).collect();
        (self.state, self.may_have_been_applied) = (State::InFlight, false);
        self.is_held = false;
        let needs_new_connection = self.consecutive_failures > 0;
        Some(NextRequest { line: relay::encode_request(&texts), needs_new_connection })
    }

    /// Delays the next attempt. True where it was not delayed since the last one failed.
    pub fn hold(&mut self) -> bool {
        self.state = State::BackingOff;
        !std::mem::replace(&mut self.is_held, true)
    }

    /// The next attempt may be made.
    pub fn end_backoff(&mut self) {
        if self.state == State::BackingOff {
            self.state = State::Idle;
        }
    }

    /// The request in flight failed, or may be accepted later: it stays the first, for what is newer must not
    /// overtake it. The first failure may be a connection that was closed meanwhile; a second one in a row is not.
    pub fn request_failed(&mut self, outcome: Outcome) -> Retry {
        self.consecutive_failures += 1;
        self.may_have_been_applied = outcome == Outcome::Unknown;
        let retry = if self.consecutive_failures > 1 { Retry::AfterBackoff } else { Retry::Now };
        self.state = if retry == Retry::AfterBackoff { State::BackingOff } else { State::Idle };
        self.drop_reassigned_commands();
        retry
    }

    /// The version of the request to resend next, where its outcome is unknown.
    pub fn version_of_possible_duplicate(&self) -> Option<u16> {
        self.version().filter(|_| self.may_have_been_applied && self.state == State::Idle)
    }

    /// Takes note of an acknowledgement: it proves that the request was carried out, whatever became of the response,
    /// so that it need not be resent.
    pub fn acknowledge(&mut self, version: u16) {
        self.is_acknowledged |= self.version() == Some(version);
    }

    /// Drops a request of unknown outcome that was acknowledged.
    pub fn drop_acknowledged(&mut self) {
        if self.is_acknowledged && self.may_have_been_applied {
            self.clear();
            (self.state, self.consecutive_failures) = (State::Idle, 0);
        }
    }

    /// Whether slices of the request in flight changed hands since it was sent: if it still met them, it changed a
    /// routing table after that was read.
    pub fn has_reassigned_slices(&self) -> bool {
        let slices = self.requests.front().into_iter().flatten().filter_map(|command| command.slice);
        slices.into_iter().any(|slice| self.reassigned_slices.contains(&slice))
    }

    fn drop_reassigned_commands(&mut self) {
        let reassigned = std::mem::take(&mut self.reassigned_slices);
        if let Some(request) = self.requests.front_mut() {
            request.retain(|command| command.slice.is_none_or(|slice| !reassigned.contains(&slice)));
        }
    }

    /// The version of what is pending.
    pub fn version(&self) -> Option<u16> {
        self.requests.iter().flatten().find_map(|command| command.version)
    }

    /// The request in flight, or the one to be sent next, for the log.
    pub fn label(&self) -> RequestLabel {
        RequestLabel {
            version: self.version(),
            commands: self.commands_in_flight(),
            attempt: self.consecutive_failures + 1,
        }
    }

    /// The number of commands of the request in flight.
    pub fn commands_in_flight(&self) -> usize {
        self.requests.front().map_or(0, Vec::len)
    }

    /// The relay has accepted so many commands, which are done. The rest is sent again, for the number may be wrong,
    /// and a command sets a state. A command at which the relay stops twice would stop it for ever: it is dropped
    /// and returned, with all other commands for its slice.
    pub fn accept(&mut self, count: usize) -> Option<String> {
        (self.state, self.consecutive_failures) = (State::Idle, 0);
        let request = self.requests.front_mut()?;
        request.drain(..count.min(request.len()));
        let is_skipping = count == 0 && self.has_stopped_at_first && !request.is_empty();
        let skipped = is_skipping.then(|| request.remove(0));
        // What it would have gone with may empty a routing table that it was to fill.
        let slice = skipped.as_ref().and_then(|command| command.slice);
        request.retain(|command| slice.is_none() || command.slice != slice);
        self.has_stopped_at_first = !is_skipping && !request.is_empty();
        // What was accepted has gone out to proxies by itself: the rest is weighed like a resend.
        self.may_have_been_applied = count > 0 && !request.is_empty();
        self.drop_reassigned_commands();
        skipped.map(|command| command.text)
    }

    /// Drops the request in flight, which the relay cannot decode.
    pub fn drop_rejected(&mut self) {
        (self.state, self.consecutive_failures) = (State::Idle, 0);
        self.reassigned_slices.clear();
        self.requests.pop_front();
    }
}
