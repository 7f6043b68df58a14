//! Commands to the relay. Those of one reply of the policy are sent as one or more requests, and each request is resent
//! until its outcome is known.

use super::Reducer;
use crate::events::Effect;
use crate::log_event::LogEvent;
use crate::outbox::{Outbox, Outcome, Retry, SkippedCommand};
use crate::source_failures::Source;
use crate::timers::Timer;
use std::collections::BTreeSet;
use std::fmt;
use whinwall_policy::api::SliceId;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::relay::{Command, Response};
use whinwall_transport::{Cause, RequestError, StreamError};

/// The maximum number of skipped commands that are recorded. If there are more, all are forgotten, and the store is
/// reread at once for each of them that is skipped again.
const MAX_SKIPPED_COMMANDS: usize = 256;
/// The delay before the store is reread after a command was skipped again.
const SKIPPED_AGAIN_REREAD_DELAY: Span = Span::ms(1000);

/// The time for which a request that changes a single writer may wait for a connection. The relay is a few milliseconds
/// away; if it can't be reached, another controller may get the slices soon.
const MAX_UNSENT_TIME: Span = Span::ms(300);

/// Counts of attempts of relay requests since start-up, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Attempts that were sent.
    pub sent: u64,
    /// Attempts to which the relay responded with a number of accepted commands.
    pub accepted: u64,
    /// Attempts that were not applied.
    pub not_applied: u64,
    /// Attempts with an unknown outcome.
    pub unknown: u64,
    /// Attempts that were delayed because the command channel had no room for them.
    pub held: u64,
}

/// The queued commands, and those that were skipped.
#[derive(Default)]
pub(super) struct RelayCommands {
    pub outbox: Outbox,
    pub counts: RequestCounts,
    /// The commands that were skipped, since the endpoint list last changed, because the relay did not accept them.
    skipped: BTreeSet<String>,
}

impl RelayCommands {
    /// Records a skipped command. Returns true if it was not recorded before.
    fn record_skipped(&mut self, command: String) -> bool {
        if self.skipped.len() >= MAX_SKIPPED_COMMANDS {
            self.skipped.clear();
        }
        self.skipped.insert(command)
    }

    /// Forgets the skipped commands after a change of the endpoint list: the relay may now accept commands for its
    /// replicas.
    pub fn clear_skipped(&mut self) {
        self.skipped.clear();
    }
}

impl Reducer {
    pub(super) fn relay_responded(&mut self, now: Moment, response: Result<Response, RequestError>) {
        let command_count = self.commands.outbox.commands_in_flight();
        let response = response.and_then(|response| validate_accepted_count(response, command_count));
        let is_not_applied = matches!(response, Ok(Response::Retryable(_)) | Err(RequestError::NotSent(_)));
        let is_unsent_change_of_writer =
            matches!(response, Err(RequestError::NotSent(_))) && self.changes_single_writer();
        let mut needs_reread = self.relay.is_ambiguous || is_unsent_change_of_writer;
        self.timers.cancel(Timer::UnsentRelayRequest);
        if !is_not_applied {
            let reassigned = self.commands.outbox.reassigned_in_flight();
            needs_reread |= !reassigned.is_empty();
            self.relay.slices_to_reread.extend(reassigned);
        }
        match response {
            Ok(Response::Accepted(accepted_count)) => {
                self.commands.counts.accepted += 1;
                self.log(LogEvent::RequestAccepted {
                    request: self.commands.outbox.label(),
                    accepted: accepted_count,
                });
                needs_reread |= self.request_accepted(now, accepted_count, command_count);
            }
            Ok(Response::Rejected(reason)) => {
                self.log(LogEvent::RequestRejected { reason });
                // The known routing tables include the rejected commands, the store does not.
                needs_reread = true;
                let slices = self.commands.outbox.drop_rejected();
                self.relay.slices_to_reread.extend(slices);
            }
            Ok(Response::Retryable(reason)) => self.request_failed(now, reason, Outcome::NotApplied),
            Err(error) => {
                let outcome = if is_not_applied { Outcome::NotApplied } else { Outcome::Unknown };
                self.request_failed(now, error, outcome);
            }
        }
        if needs_reread {
            self.reread_store();
        }
    }

    /// Handles a response that states how many commands of the request were accepted. Returns true if the store has to
    /// be reread.
    fn request_accepted(&mut self, now: Moment, accepted_count: usize, command_count: usize) -> bool {
        self.source_succeeded(Source::RelayRequests);
        let has_stopped_at_first_command = accepted_count == 0 && command_count > 0;
        let mut needs_reread = false;
        for slice in self.commands.outbox.endpoint_changes_in_first(accepted_count) {
            self.drop_oldest_pending_table(slice);
        }
        if let Some(skipped) = self.commands.outbox.drop_accepted(accepted_count) {
            needs_reread = self.command_skipped(now, skipped);
        }
        // The count may be wrong, in which case the resend is one more message to the proxies.
        if let Some(version) = self.commands.outbox.version().filter(|_| has_stopped_at_first_command) {
            self.policy.command_resent(now, version);
        }
        needs_reread
    }

    /// Records that an accepted command has replaced the oldest table that the store may have had.
    fn drop_oldest_pending_table(&mut self, slice: SliceId) {
        if let Some(tables) = self.relay.pending_tables.get_mut(&slice).filter(|tables| tables.len() > 1) {
            tables.remove(0);
        }
    }

    /// Handles a command that the relay does not accept: the known routing tables include it; the store does not,
    /// unless the responses were corrupt. Returns true if the store has to be reread at once. The relay never accepts a
    /// command that was skipped before, so that an immediate reread would only repeat it; the reread is delayed then.
    fn command_skipped(&mut self, now: Moment, skipped: SkippedCommand) -> bool {
        self.log(LogEvent::CommandSkipped { command: skipped.text.clone() });
        self.relay.slices_to_reread.extend(skipped.slice);
        let is_first = self.commands.record_skipped(skipped.text);
        if !is_first && self.timers.due_at(Timer::RelayWatch).is_none() {
            self.timers.start(now + SKIPPED_AGAIN_REREAD_DELAY, Timer::RelayWatch);
        }
        is_first
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

    /// Applies the rate limit to a resend (see *Rate limiting* in [`whinwall_policy`]). A request that may have been
    /// applied already is held unless the limit leaves room for a second copy of it.
    fn apply_resend_limit(&mut self, now: Moment) {
        self.commands.outbox.drop_acknowledged();
        let Some(version) = self.commands.outbox.possibly_applied_version() else { return };
        if self.policy.may_resend(now, version) {
            self.policy.command_resent(now, version);
        } else {
            self.hold_resend(now);
        }
    }

    /// Delays a resend by one backoff. Logged only once per attempt, because an attempt may be delayed repeatedly until
    /// proxies acknowledge earlier commands.
    fn hold_resend(&mut self, now: Moment) {
        if self.commands.outbox.hold_next_attempt() {
            self.commands.counts.held += 1;
            let request = self.commands.outbox.label();
            self.log(LogEvent::ResendHeld { request, channel: self.policy.channel_load() });
        }
        self.start_after_backoff(now, Timer::RelayRequest);
    }

    /// Sends the next request unless one is in flight.
    pub(super) fn send_next_request(&mut self, now: Moment) {
        self.apply_resend_limit(now);
        if let Some(request) = self.commands.outbox.send_next() {
            self.record_overlapping_slices();
            self.commands.counts.sent += 1;
            let label = self.commands.outbox.label();
            self.log(LogEvent::RequestSent { request: label, channel: self.policy.channel_load() });
            let (relay, line) = (self.targets.relay, request.line);
            let needs_new_connection = request.needs_new_connection;
            if self.changes_single_writer() {
                self.timers.start(now + MAX_UNSENT_TIME, Timer::UnsentRelayRequest);
            }
            self.effects.push(Effect::RelayRequest { relay, line, needs_new_connection });
        }
    }

    /// Returns true if pending commands change the owner of a slice that has a single writer. They rest on the hold on its
    /// requests, which ends if the slice is assigned to another controller and back. If the relay can't be reached, that
    /// can happen before the relay watch is lost, so such commands are dropped and decided again.
    fn changes_single_writer(&self) -> bool {
        self.settings.deployment.single_writer && !self.commands.outbox.slices_with_new_endpoints().is_empty()
    }

    /// Records the slices that the request in flight changes and whose tables the snapshot in progress has not delivered.
    fn record_overlapping_slices(&mut self) {
        if !self.relay.is_being_read {
            return;
        }
        let snapshot = &self.relay.snapshot;
        let slices = self.commands.outbox.endpoint_changes_in_flight();
        self.relay.overlapping_slices.extend(slices.into_iter().filter(|slice| !snapshot.has_read(*slice)));
    }

    /// Collects commands from the policy if none are pending and the known state of the store is current. Otherwise
    /// takes only the actions that need no command channel.
    pub(super) fn issue_commands(&mut self, now: Moment) {
        let is_view_current = self.relay.snapshot.tables_complete_at().is_none() && !self.relay.needs_reread;
        if !(self.commands.outbox.is_empty() && is_view_current) {
            for action in self.policy.take_background_actions() {
                _ = self.command_for_action(now, action);
            }
            return;
        }
        let actions = self.policy.collect_actions(now);
        self.relay.pending_tables.clear();
        let commands: Vec<_> =
            actions.into_iter().filter_map(|action| self.command_for_action(now, action)).collect();
        self.enqueue(now, &commands);
        // After the commands were encoded, because a command may be the last use of the name of a replica.
        self.forget_unneeded_replicas(now);
    }

    /// Queues commands. Notifies the policy if they form several requests, because each request is a message to the
    /// proxies with its own overhead.
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
        self.remove_coverage_of_forgotten_replicas();
        self.change_overrides(now, |_| {});
    }
}

/// Rejects a response that accepts more commands than were sent: it belongs to another request or is corrupt.
fn validate_accepted_count(response: Response, command_count: usize) -> Result<Response, RequestError> {
    match response {
        Response::Accepted(count) if count > command_count => {
            let cause =
                Cause::new(format!("relay accepted {count} commands, but the request has {command_count}"));
            Err(RequestError::OutcomeUnknown(StreamError::Unreadable(cause)))
        }
        response => Ok(response),
    }
}
