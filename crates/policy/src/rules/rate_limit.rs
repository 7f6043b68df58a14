//! Rate limiting of commands: unacknowledged lines stay under the queue's capacity, messages under their limit.
//!
//! Guards against a queue that overflows, against overhead that fills the channel, and against messages used up when an
//! urgent command needs one.

use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::schedule::TICK_PERIOD;
use crate::time::{Moment, Span};

/// The share of the queue's capacity that commands use (docs/design.md, Rate limiting).
const QUEUE_SHARE: f64 = 0.9;
/// The share of that which calm commands use.
const NORMAL_QUEUE_SHARE: f64 = 0.55;
/// The share of the message limit that is used by what can wait.
const DEFERRABLE_MESSAGE_SHARE: f64 = 0.75;
/// The share of the channel that the overhead of messages may take.
const OVERHEAD_SHARE: f64 = 0.25;
/// Acknowledgements that come no sooner than this after the last activity are overdue.
pub(crate) const ACK_TIMEOUT: Span = Span::ms(3000);
/// The share of the drain grace that an urgent command may wait for its message.
const MAX_WAIT_SHARE_OF_GRACE: f64 = 0.75;

/// Messages that may still be opened, and how long until the window gives one back.
struct OpenableMessages {
    remaining: f64,
    next_available_in: Span,
}

impl ControllerState {
    /// Room for so many more lines to each proxy, under both limits. A first message always has room; others come so far
    /// apart that overhead does not fill the channel.
    pub(crate) fn has_channel_room(&self, lines: f64, priority: Priority) -> bool {
        let proxies = self.channel.recipients();
        let unacked = self.channel.unacked_lines(self.now);
        let opens_message = self.channel.open_version.is_none();
        let can_wait = priority != Priority::NoEndpoint;
        let overhead = if opens_message { self.message_overhead() * proxies } else { 0.0 };
        let overhead_time =
            Span::ms(1000).times(overhead / self.deployment.lines_per_second.max(1.0) / OVERHEAD_SHARE);
        let (share, gap) = match priority {
            Priority::Normal | Priority::StandbyOnly => (NORMAL_QUEUE_SHARE, overhead_time + overhead_time),
            Priority::NoEndpoint | Priority::Urgent if unacked == 0.0 => (1.0, Span::default()),
            Priority::NoEndpoint | Priority::Urgent => (1.0, overhead_time),
        };
        let added = lines * proxies + overhead;
        let limit = self.deployment.queue_capacity_lines * QUEUE_SHARE;
        // Twice, for a resend; but split into small messages what can't wait would come too late, mostly overhead.
        let fits_twice = || unacked + self.channel.open_message_lines() + added + added <= limit;
        let fits = || unacked + added <= limit * share && (!can_wait || fits_twice());
        self.is_replying
            && (unacked == 0.0 || fits())
            && (!opens_message || self.may_open_message(share, gap, priority))
    }

    /// What a message to one proxy costs besides its commands, its version included, in lines.
    pub(crate) fn message_overhead(&self) -> f64 {
        self.deployment.message_overhead_lines + 1.0
    }

    /// See [`crate::Policy::may_resend`].
    pub(crate) fn may_resend(&self, now: Moment, version: u16) -> bool {
        let lines = self.channel.unacked_lines(now) + self.channel.lines_of_version(version);
        let fits = lines <= self.deployment.queue_capacity_lines * QUEUE_SHARE;
        let is_overdue = self.channel.ack_silence(now) > ACK_TIMEOUT;
        (fits || is_overdue) && self.remaining_messages(now, 1.0) >= 1.0
    }

    /// How many messages each proxy may still get within the window, where this share of the limit is used.
    fn remaining_messages(&self, now: Moment, share: f64) -> f64 {
        let limit = f64::from(self.deployment.message_limit);
        if limit == 0.0 {
            return f64::INFINITY;
        }
        limit * share - self.channel.opened_messages.sum(now, self.message_window())
    }

    fn message_window(&self) -> Span {
        self.deployment.message_window + TICK_PERIOD
    }

    /// The messages that may be opened where this share of the limit is used; none while the window is empty, or where there
    /// is no limit.
    fn openable_messages(&self, share: f64) -> Option<OpenableMessages> {
        let window = self.message_window();
        let oldest = self.channel.opened_messages.oldest_bucket_start(self.now, window)?;
        let remaining = self.remaining_messages(self.now, share) - 1.0;
        remaining
            .is_finite()
            .then(|| OpenableMessages { remaining, next_available_in: window - (self.now - oldest) })
    }

    /// Whether each message that is left could wait for its share of the grace until one is given back.
    fn has_spare_messages(&self) -> bool {
        self.openable_messages(1.0).is_none_or(|openable| {
            let wait_share = MAX_WAIT_SHARE_OF_GRACE * (openable.remaining - 1.0);
            self.deployment.drain_grace.times(wait_share) >= openable.next_available_in
        })
    }

    /// Whether a message may be opened, so long after the one before. Those that are left are spread over the time until one
    /// is given back, and what can wait leaves some of them. What can't wait goes at once while they are ample.
    fn may_open_message(&self, share: f64, gap: Span, priority: Priority) -> bool {
        let can_wait = priority != Priority::NoEndpoint;
        let max_share = if can_wait { DEFERRABLE_MESSAGE_SHARE } else { 1.0 };
        let spacing = match self.openable_messages(max_share) {
            Some(openable) if can_wait || !self.has_spare_messages() => {
                openable.next_available_in.times(1.0 / openable.remaining.max(1.0))
            }
            _ => Span::default(),
        };
        let has_waited = self.now - self.channel.last_opened_at >= gap.max(spacing);
        has_waited && self.remaining_messages(self.now, share.min(max_share)) > 1.0
    }

    /// Whether to ask for acknowledgements by a version alone: unacknowledged messages take the room of calm commands, and
    /// their acknowledgements are lost or long overdue. A version by itself fits into the part of the queue that commands
    /// leave; each proxy's acknowledgement shows that what it was sent before has left.
    pub(crate) fn needs_sync(&self) -> bool {
        let proxies = self.channel.recipients();
        let unacked = self.channel.unacked_lines(self.now);
        let overhead = self.message_overhead() * proxies;
        let capacity = self.deployment.queue_capacity_lines;
        let is_overdue = self.channel.acks_lost || self.channel.ack_silence(self.now) > ACK_TIMEOUT;
        let blocks_normal_commands =
            unacked + overhead + proxies > capacity * QUEUE_SHARE * NORMAL_QUEUE_SHARE;
        let fits = unacked + overhead <= capacity && self.remaining_messages(self.now, 1.0) > 1.0;
        is_overdue && blocks_normal_commands && fits && unacked > 0.0 && self.channel.open_version.is_none()
    }
}
