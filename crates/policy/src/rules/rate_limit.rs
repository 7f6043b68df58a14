//! Rate limiting of commands: unacknowledged lines stay below the queue's capacity, messages below their limit.
//!
//! This prevents a queue overflow, a channel filled with message overhead, and a used-up message limit when an
//! urgent command has to be sent.

use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::time::{Moment, Span};

/// The share of the queue's capacity that commands may use (docs/design.md, Rate limiting).
const USABLE_QUEUE_SHARE: f64 = 0.9;
/// The share of `USABLE_QUEUE_SHARE` that commands of normal priority may use.
const NORMAL_QUEUE_SHARE: f64 = 0.55;
/// The share of the message limit that deferrable commands may use.
const DEFERRABLE_MESSAGE_SHARE: f64 = 0.75;
/// The share of the channel's throughput that message overhead may use.
const MAX_OVERHEAD_SHARE: f64 = 0.25;
/// Acknowledgements are overdue if none has arrived for this time since the last channel activity.
pub(crate) const ACK_TIMEOUT: Span = Span::ms(3000);
/// The share of the drain grace period for which an urgent command may wait for its message.
const MAX_WAIT_SHARE_OF_GRACE: f64 = 0.6;
/// The number of messages to account for if one is sent and another is spared for an urgent command.
const WITH_ONE_SPARED: usize = 2;

impl ControllerState {
    /// Returns true if there is room for `lines` more lines to each proxy under both limits. A message always has
    /// room in the queue if nothing is unacknowledged; further messages are spaced so that overhead does not fill
    /// the channel.
    pub(crate) fn has_channel_room(&self, lines: f64, priority: Priority) -> bool {
        let proxies = self.channel.recipient_count();
        let unacked = self.channel.unacked_lines(self.now);
        let opens_message = self.channel.open_version.is_none();
        let can_wait = priority != Priority::NoEndpoint;
        let overhead = if opens_message { self.message_overhead() * proxies } else { 0.0 };
        let overhead_time =
            Span::ms(1000).times(overhead / self.deployment.lines_per_second.max(1.0) / MAX_OVERHEAD_SHARE);
        let (share, gap) = match priority {
            Priority::Normal | Priority::StandbyOnly => (NORMAL_QUEUE_SHARE, overhead_time + overhead_time),
            Priority::NoEndpoint | Priority::Urgent if unacked == 0.0 => (1.0, Span::default()),
            Priority::NoEndpoint | Priority::Urgent => (1.0, overhead_time),
        };
        let added = lines * proxies + overhead;
        let limit = self.deployment.queue_capacity_lines * USABLE_QUEUE_SHARE;
        // Room for two copies, in case of a resend. Not required for commands that can't wait: split into small
        // messages, they would be late and consist mostly of overhead.
        let fits_twice = || unacked + self.channel.open_message_lines() + added + added <= limit;
        let fits = || unacked + added <= limit * share && (!can_wait || fits_twice());
        self.is_replying
            && (unacked == 0.0 || fits())
            && (!opens_message || self.may_open_message(share, gap, priority))
    }

    /// Returns the overhead of a message to one proxy in lines, including the line of its version.
    pub(crate) fn message_overhead(&self) -> f64 {
        self.deployment.message_overhead_lines + 1.0
    }

    /// Implements [`crate::Policy::may_resend`].
    pub(crate) fn may_resend(&self, now: Moment, version: u16) -> bool {
        let lines = self.channel.unacked_lines(now) + self.channel.lines_of_version(version);
        let fits = lines <= self.deployment.queue_capacity_lines * USABLE_QUEUE_SHARE;
        let is_overdue = self.channel.ack_silence(now) > ACK_TIMEOUT;
        (fits || is_overdue) && self.may_send_again(now) && self.has_waited_to_resend(now, version)
    }

    /// Returns true if enough time has passed since the last message to resend this one. The first resend may follow at
    /// once, since most responses that get lost are single ones. Further ones are spread over the time until the window
    /// permits another message, and over the time until copies that were not carried out leave the queue: otherwise they
    /// use up the limits within a few seconds, and nothing can be sent once the relay responds again.
    fn has_waited_to_resend(&self, now: Moment, version: u16) -> bool {
        let is_first = self.channel.sent.get(&version).is_none_or(|message| !message.was_resent);
        if is_first {
            return true;
        }
        let message_spacing =
            self.channel.message_budget.spacing(now, 1.0).min(self.urgent_message_interval());
        let queue_spacing = ACK_TIMEOUT.times(1.0 / self.copies_that_fit(now, version));
        now - self.channel.last_sent_at >= message_spacing.max(queue_spacing)
    }

    /// Returns the number of copies of the message with this version that fit into the queue beside other messages; at
    /// least 1.
    fn copies_that_fit(&self, now: Moment, version: u16) -> f64 {
        let lines = self.channel.lines_of_version(version).max(1.0);
        let sent = self.channel.sent.get(&version).map_or(0, |message| message.send_count);
        let other_lines = (self.channel.unacked_lines(now) - lines * f64::from(sent)).max(0.0);
        let usable = self.deployment.queue_capacity_lines * USABLE_QUEUE_SHARE - other_lines;
        (usable / lines).floor().max(1.0)
    }

    /// Returns the interval at which urgent messages must be possible without end.
    fn urgent_message_interval(&self) -> Span {
        let interval = self.deployment.drain_grace.times(MAX_WAIT_SHARE_OF_GRACE);
        self.channel.message_budget.sustainable_interval(interval)
    }

    /// Returns true if this number of messages may be sent now and urgent ones can still follow at their interval,
    /// whatever was sent before. Every message but an urgent one that has waited for the interval keeps to this, so that
    /// no urgent one ever waits for longer, after any order of changes and resends.
    fn sustains_urgent_messages(&self, now: Moment, messages: usize) -> bool {
        self.channel.message_budget.sustains(now, messages, self.urgent_message_interval())
    }

    /// Returns true if the limit on messages permits a resend. It spares a message for urgent commands, but not for longer
    /// than their interval, as newer commands wait for it.
    fn may_send_again(&self, now: Moment) -> bool {
        self.sustains_urgent_messages(now, WITH_ONE_SPARED)
            || (self.has_waited_for_interval(now) && self.sustains_urgent_messages(now, 1))
    }

    fn has_waited_for_interval(&self, now: Moment) -> bool {
        now - self.channel.last_sent_at >= self.urgent_message_interval()
    }

    /// Returns true if a message may be opened, at least `gap` after the previous one. Deferrable messages are spread
    /// over the time until the window permits another one, leave a part of the limit unused, and spare one message for
    /// commands that can't wait.
    fn may_open_message(&self, share: f64, gap: Span, priority: Priority) -> bool {
        let budget = &self.channel.message_budget;
        let since_last_opened = self.now - self.channel.last_opened_at;
        if priority == Priority::NoEndpoint {
            return since_last_opened >= gap
                && budget.remaining(self.now, share) > 1.0
                && (self.has_waited_for_interval(self.now) || self.sustains_urgent_messages(self.now, 1));
        }
        since_last_opened >= gap.max(budget.spacing(self.now, DEFERRABLE_MESSAGE_SHARE))
            && budget.remaining(self.now, share.min(DEFERRABLE_MESSAGE_SHARE)) > 1.0
            && self.sustains_urgent_messages(self.now, WITH_ONE_SPARED)
    }

    /// Returns true if acknowledgements should be requested by a message that consists of a version only. This is
    /// the case if unacknowledged messages take the room of normal commands and their acknowledgements are lost or
    /// overdue. Such a message fits into the part of the queue that commands leave free, and each proxy's
    /// acknowledgement of it also covers everything sent before.
    pub(crate) fn needs_sync(&self) -> bool {
        let proxies = self.channel.recipient_count();
        let unacked = self.channel.unacked_lines(self.now);
        let overhead = self.message_overhead() * proxies;
        let capacity = self.deployment.queue_capacity_lines;
        let is_overdue = self.channel.acks_lost || self.channel.ack_silence(self.now) > ACK_TIMEOUT;
        let blocks_normal_commands =
            unacked + overhead + proxies > capacity * USABLE_QUEUE_SHARE * NORMAL_QUEUE_SHARE;
        let fits = unacked + overhead <= capacity && self.sustains_urgent_messages(self.now, WITH_ONE_SPARED);
        is_overdue && blocks_normal_commands && fits && unacked > 0.0 && self.channel.open_version.is_none()
    }
}
