//! The queue of requests to the relay. Requests are sent one at a time and in order; each is resent until its outcome
//! is known.

use crate::log_event::RequestLabel;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use whinwall_policy::api::SliceId;
use whinwall_protocol::relay::{self, Command, SyncScope};

/// The commands of one reply of the policy, grouped into requests whose outcome is not known yet.
#[derive(Default)]
pub(crate) struct Outbox {
    requests: VecDeque<Vec<PendingCommand>>,
    state: State,
    consecutive_failures: u32,
    /// True while the next attempt is delayed because the command channel has no room for it.
    is_held: bool,
    /// True if all or part of the first request may have been applied: either the outcome of its last attempt is
    /// unknown, or the relay accepted only some of its commands. Resending it can then apply commands twice.
    is_possibly_applied: bool,
    /// True if a proxy acknowledged the version of the pending requests, which proves that all of them were applied.
    is_acknowledged: bool,
    /// True if the relay has stopped once at the command that is now the first one.
    has_stopped_at_first_command: bool,
    /// The slices that were revoked or granted since the request in flight was sent.
    reassigned_slices: BTreeSet<SliceId>,
}

/// An encoded command with the slice and the version it carries.
struct PendingCommand {
    text: String,
    slice: Option<SliceId>,
    sets_endpoint: bool,
    version: Option<u16>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Idle,
    InFlight,
    /// The last attempt failed or the next one is held; the next attempt waits for [`Outbox::end_backoff`].
    BackingOff,
}

/// A command that was dropped because the relay does not accept it.
pub(crate) struct SkippedCommand {
    pub text: String,
    pub slice: Option<SliceId>,
}

/// A request to send now.
pub(crate) struct NextRequest {
    pub line: String,
    /// True if the last attempt failed, so that the request needs a new connection.
    pub needs_new_connection: bool,
}

/// The outcome of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was not applied.
    NotApplied,
    /// The request may or may not have been applied.
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

/// The time at which a failed request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Retry {
    /// Immediately.
    Now,
    /// After [`Outbox::end_backoff`].
    AfterBackoff,
}

impl Outbox {
    /// Returns true if no command is pending or in flight, so that new commands may be issued.
    pub fn is_empty(&self) -> bool {
        self.requests.iter().all(Vec::is_empty)
    }

    /// Queues the commands of one reply of the policy. Must be called only while the outbox is empty. The commands
    /// form one request unless they exceed the maximum size of a request. If they form several requests, only the last
    /// one carries the version, and it asks all proxies to acknowledge that version: a proxy may have received commands
    /// of an earlier request only, and a request that carries only a version would reach no proxy otherwise.
    pub fn enqueue(&mut self, commands: &[Command]) {
        self.clear();
        let (mut request, mut bytes) = (Vec::new(), 0);
        for command in commands {
            let syncs_all_proxies = !self.requests.is_empty() || request.is_empty();
            let scope = if syncs_all_proxies { SyncScope::AllProxies } else { SyncScope::ReachedProxies };
            let text = command.encode(scope);
            if bytes + text.len() + 1 > relay::MAX_REQUEST_BYTES {
                self.requests.push_back(std::mem::take(&mut request));
                bytes = 0;
            }
            bytes += text.len() + 1;
            let sets_endpoint = matches!(command, Command::SetEndpoint { .. });
            let (slice, version) = (command.slice(), command.version());
            request.push(PendingCommand { text, slice, sets_endpoint, version });
        }
        self.requests.extend((!request.is_empty()).then_some(request));
    }

    /// The number of requests that are pending or in flight.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    fn clear(&mut self) {
        self.requests = VecDeque::new();
        self.has_stopped_at_first_command = false;
        self.is_possibly_applied = false;
        self.is_acknowledged = false;
    }

    /// Drops the commands for a slice that was revoked or granted, because they were computed for a routing table
    /// that no longer exists. Commands in flight cannot be recalled; they are dropped if their request is resent.
    pub fn drop_commands_for_slice(&mut self, slice: SliceId) {
        let is_in_flight = self.state == State::InFlight;
        for request in self.requests.iter_mut().skip(usize::from(is_in_flight)) {
            request.retain(|command| command.slice != Some(slice));
        }
        if is_in_flight {
            self.reassigned_slices.insert(slice);
        }
    }

    /// Returns true if a command that changes the slice's endpoints is pending or in flight.
    pub fn changes_endpoints_of(&self, slice: SliceId) -> bool {
        let mut commands = self.requests.iter().flatten();
        commands.any(|command| command.sets_endpoint && command.slice == Some(slice))
    }

    /// Returns true if a request is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.state == State::InFlight
    }

    /// The slices whose endpoints the request in flight changes.
    pub fn endpoint_changes_in_flight(&self) -> BTreeSet<SliceId> {
        if !self.is_in_flight() {
            return BTreeSet::new();
        }
        self.endpoint_changes_in_first(usize::MAX).into_iter().collect()
    }

    /// The slices whose endpoints the pending commands change.
    pub fn slices_with_new_endpoints(&self) -> BTreeSet<SliceId> {
        let commands = self.requests.iter().flatten().filter(|command| command.sets_endpoint);
        commands.filter_map(|command| command.slice).collect()
    }

    /// Marks the first request as in flight and returns it, to be sent now. Returns `None` if there is no request, one
    /// is in flight already, or the next attempt waits for the end of a backoff.
    pub fn send_next(&mut self) -> Option<NextRequest> {
        if self.state != State::Idle {
            return None;
        }
        self.requests.retain(|request| !request.is_empty());
        let texts: Vec<_> = self.requests.front()?.iter().map(|command| command.text.as_str()).collect();
        (self.state, self.is_possibly_applied) = (State::InFlight, false);
        self.is_held = false;
        let needs_new_connection = self.consecutive_failures > 0;
        Some(NextRequest { line: relay::encode_request(&texts), needs_new_connection })
    }

    /// Delays the next attempt. Returns true unless it was already delayed since the last attempt.
    pub fn hold_next_attempt(&mut self) -> bool {
        self.state = State::BackingOff;
        !std::mem::replace(&mut self.is_held, true)
    }

    /// Ends the backoff, so that the next attempt may be made.
    pub fn end_backoff(&mut self) {
        if self.state == State::BackingOff {
            self.state = State::Idle;
        }
    }

    /// Records that the request in flight failed or was not accepted yet. It stays first in the queue, because newer
    /// requests must not overtake it. A first failure is retried immediately, as the relay may have closed an idle
    /// connection; a second consecutive failure has another cause and is retried after a backoff.
    pub fn request_failed(&mut self, outcome: Outcome) -> Retry {
        self.consecutive_failures += 1;
        self.is_possibly_applied = outcome == Outcome::Unknown;
        let retry = if self.consecutive_failures > 1 { Retry::AfterBackoff } else { Retry::Now };
        self.state = if retry == Retry::AfterBackoff { State::BackingOff } else { State::Idle };
        self.drop_reassigned_commands();
        retry
    }

    /// The version of the request to send next, if all or part of that request may have been applied.
    pub fn possibly_applied_version(&self) -> Option<u16> {
        self.version().filter(|_| self.is_possibly_applied && self.state == State::Idle)
    }

    /// Records an acknowledgement by a proxy. It proves that the request was applied even if the response was lost,
    /// so that the request need not be resent.
    pub fn record_acknowledgement(&mut self, version: u16) {
        self.is_acknowledged |= self.version() == Some(version);
    }

    /// Drops requests that may have been applied and were acknowledged since.
    pub fn drop_acknowledged(&mut self) {
        if self.is_acknowledged && self.is_possibly_applied {
            self.clear();
            (self.state, self.consecutive_failures) = (State::Idle, 0);
        }
    }

    /// The slices of the request in flight that were revoked or granted since the request was sent. If the relay applied
    /// the request after that, their routing tables and admission rates in the store differ from the known ones.
    pub fn reassigned_in_flight(&self) -> BTreeSet<SliceId> {
        let slices = self.requests.front().into_iter().flatten().filter_map(|command| command.slice);
        slices.filter(|slice| self.reassigned_slices.contains(slice)).collect()
    }

    fn drop_reassigned_commands(&mut self) {
        let reassigned = std::mem::take(&mut self.reassigned_slices);
        if let Some(request) = self.requests.front_mut() {
            request.retain(|command| command.slice.is_none_or(|slice| !reassigned.contains(&slice)));
        }
    }

    /// The version of the pending commands.
    pub fn version(&self) -> Option<u16> {
        self.requests.iter().flatten().find_map(|command| command.version)
    }

    /// Identifies the request in flight, or the one to send next, in the log.
    pub fn label(&self) -> RequestLabel {
        RequestLabel {
            version: self.version(),
            commands: self.commands_in_flight(),
            attempt: self.consecutive_failures + 1,
        }
    }

    /// The number of commands in the request in flight.
    pub fn commands_in_flight(&self) -> usize {
        self.requests.front().map_or(0, Vec::len)
    }

    /// The slice of each of the first `count` commands of the request in flight that changes endpoints.
    pub fn endpoint_changes_in_first(&self, count: usize) -> Vec<SliceId> {
        let commands = self.requests.front().into_iter().flatten().take(count);
        commands.filter(|command| command.sets_endpoint).filter_map(|command| command.slice).collect()
    }

    /// Drops the first `count` commands of the request in flight, which the relay accepted. The other commands are sent
    /// again; if the count is too low, some are applied twice, which is harmless because commands are idempotent. A
    /// command at which the relay stops twice would block the queue forever: it is returned, and dropped together with
    /// the other commands of the request for its slice.
    pub fn drop_accepted(&mut self, count: usize) -> Option<SkippedCommand> {
        (self.state, self.consecutive_failures) = (State::Idle, 0);
        let request = self.requests.front_mut()?;
        request.drain(..count.min(request.len()));
        let is_skipping = count == 0 && self.has_stopped_at_first_command && !request.is_empty();
        let skipped = is_skipping.then(|| request.remove(0));
        // The other commands for the slice may remove endpoints that the skipped command was to replace, which would
        // empty the routing table.
        let slice = skipped.as_ref().and_then(|command| command.slice);
        request.retain(|command| slice.is_none() || command.slice != slice);
        self.has_stopped_at_first_command = !is_skipping && !request.is_empty();
        // The accepted commands were sent to the proxies as a message of their own, so the remaining ones are rate
        // limited like a resend.
        self.is_possibly_applied = count > 0 && !request.is_empty();
        self.drop_reassigned_commands();
        skipped.map(|command| SkippedCommand { text: command.text, slice: command.slice })
    }

    /// Drops the request in flight, which the relay rejected. Returns the slices that its commands are for.
    pub fn drop_rejected(&mut self) -> BTreeSet<SliceId> {
        let commands = self.requests.front().into_iter().flatten();
        let slices = commands.filter_map(|command| command.slice).collect();
        (self.state, self.consecutive_failures) = (State::Idle, 0);
        self.reassigned_slices.clear();
        self.requests.pop_front();
        slices
    }
}
