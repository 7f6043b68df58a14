//! Rate limit of commands.

use crate::state::controller::ControllerState;
use crate::state::schedule::TICK;
use crate::state::slice::Priority;
use crate::time::{Moment, Span};

pub(crate) const QUEUE_SHARE: f64 = 0.8;
pub(crate) const CALM_QUEUE_SHARE: f64 = 0.5;
pub(crate) const DEFERRABLE_MESSAGE_SHARE: f64 = 0.75; // The part of the message cap for what can wait.
pub(crate) const OVERHEAD_SHARE: f64 = 0.25;
pub(crate) const ACK_TIMEOUT: Span = Span::ms(3000);
pub(crate) const MAX_GRACE_SHARE_WAITED: f64 = 0.75; // The part of the grace that an order may wait for its message.

impl ControllerState {
    /// Room for so many more lines to each proxy, under both caps (rule 5). A first message always has room;
    /// others come so far apart that heads do not fill the channel, as one for each few lines would.
    pub(crate) fn has_channel_room(&self, lines: f64, priority: Priority) -> bool {
        let all = self.channel.proxies.len() as f64;
        let (waiting, open) = (self.channel.unacked_lines(), self.channel.open_message_lines());
        let (fresh, bare) = (self.channel.open_version.is_none(), priority == Priority::NoEndpoint);
        let head = if fresh { (self.deployment.message_overhead_lines + 1.0) * all } else { 0.0 };
        let heads = Span::ms(1000).times(head / self.deployment.lines_per_second.max(1.0) / OVERHEAD_SHARE);
        let (part, gap) = match priority {
            Priority::Calm | Priority::Standby => (CALM_QUEUE_SHARE, heads + heads),
            _ => (1.0, if waiting == 0.0 { Span::default() } else { heads }),
        };
        let (more, most) = (lines * all + head, self.deployment.queue_capacity_lines * QUEUE_SHARE);
        // Twice, for a repeat; but parted into small messages what can't wait would come too late, mostly heads.
        let twice = || waiting + open + more + more <= most;
        let fits = || waiting + more <= most * part && (bare || twice());
        self.is_replying && (waiting == 0.0 || fits()) && (!fresh || self.may_open_message(part, gap, !bare))
    }

    /// Where it fits in beside itself, or no ack has come for so long that nothing can wait any more; and as one
    /// more message to all, for each attempt may have been carried out (rule 5).
    pub fn may_resend(&self, now: Moment, version: u16) -> bool {
        let (waiting, again) = (self.channel.unacked_lines(), self.channel.lines_of_version(version));
        let fits = waiting + again <= self.deployment.queue_capacity_lines * QUEUE_SHARE;
        (fits || now - self.channel.last_activity_at > ACK_TIMEOUT) && self.messages_left(now, 1.0) >= 1.0
    }

    /// How many messages each proxy may still get within the window, where we use this part of the cap.
    pub(crate) fn messages_left(&self, now: Moment, part: f64) -> f64 {
        let cap = f64::from(self.deployment.message_limit);
        let written = self.channel.opened_messages.sum(now, self.deployment.message_window + TICK);
        if cap == 0.0 {
            f64::INFINITY
        } else {
            cap * part - written
        }
    }

    /// How many more messages may be opened where we use this part of the cap, and how long until one is given back.
    /// None while the window is empty, or where there is no cap.
    pub(crate) fn openable_messages(&self, part: f64) -> Option<(f64, Span)> {
        let window = self.deployment.message_window + TICK;
        let oldest = self.channel.opened_messages.oldest(self.now, window)?;
        let left = self.messages_left(self.now, part) - 1.0;
        left.is_finite().then(|| (left, window - (self.now - oldest)))
    }

    /// Whether each message that is left could wait so much of the grace until one is given back.
    pub(crate) fn messages_are_ample(&self) -> bool {
        let to_open = self.openable_messages(1.0);
        to_open.is_none_or(|(left, frees)| {
            self.deployment.drain_grace.times(MAX_GRACE_SHARE_WAITED * (left - 1.0)) >= frees
        })
    }

    /// Whether a message may be opened, so long after the one before: messages are so far apart that they do not use up
    /// their cap and leave none for what can't wait. Those that are left are spread over the time until one is given
    /// back, and what can wait leaves some of them. What can't wait goes at once while they are ample.
    pub(crate) fn may_open_message(&self, part: f64, gap: Span, can_wait: bool) -> bool {
        let most = if can_wait { DEFERRABLE_MESSAGE_SHARE } else { 1.0 };
        let spread = match self.openable_messages(most) {
            Some((left, frees)) if can_wait || !self.messages_are_ample() => frees.times(1.0 / left.max(1.0)),
            _ => Span::default(),
        };
        let has_waited = self.now - self.channel.last_opened_at >= gap.max(spread);
        has_waited && self.messages_left(self.now, part.min(most)) > 1.0
    }

    /// Messages that are not acked take the room of further orders, and their acks are lost or long overdue. A version by
    /// itself fits into the part of the queue cap that orders leave; its acks show that all before it has left.
    pub(crate) fn needs_sync(&self) -> bool {
        let all = self.channel.proxies.len() as f64;
        let (waiting, version) =
            (self.channel.unacked_lines(), (self.deployment.message_overhead_lines + 1.0) * all);
        let is_overdue = self.channel.acks_lost || self.now - self.channel.last_activity_at > ACK_TIMEOUT;
        let is_in_the_way =
            waiting + version + all > self.deployment.queue_capacity_lines * QUEUE_SHARE * CALM_QUEUE_SHARE;
        let fits = waiting + version <= self.deployment.queue_capacity_lines
            && self.messages_left(self.now, 1.0) > 1.0;
        is_overdue && is_in_the_way && fits && waiting > 0.0 && self.channel.open_version.is_none()
    }
}
