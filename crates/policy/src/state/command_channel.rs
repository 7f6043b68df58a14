//! The command channel to the proxies: who listens, and what has not been acknowledged.

use crate::api::{ProxyId, SliceId};
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;
use std::collections::{BTreeMap, BTreeSet};

/// The resolution with which messages are counted against their limit.
const MESSAGE_BUCKET: Span = Span::ms(500);

/// One message to each of the proxies, of which some have not acknowledged it.
pub(crate) struct SentMessage {
    /// How many copies may still be on their way to each proxy; each is above 0.
    pub unacked_copies: BTreeMap<ProxyId, u32>,
    /// The sum of these.
    copies: u32,
    /// How often it was sent.
    send_count: u32,
    pub lines_per_proxy: f64,
    pub sent_at: Moment,
    /// The slices that wait for its acknowledgements.
    pub waiting_slices: Vec<SliceId>,
}

impl SentMessage {
    fn new(now: Moment, overhead_lines: f64) -> Self {
        SentMessage {
            unacked_copies: BTreeMap::new(),
            copies: 0,
            send_count: 0,
            lines_per_proxy: overhead_lines,
            sent_at: now,
            waiting_slices: Vec::new(),
        }
    }

    /// Counts one more copy to each of the proxies.
    fn add_copies(&mut self, proxies: &BTreeSet<ProxyId>) {
        for proxy in proxies {
            *self.unacked_copies.entry(*proxy).or_default() += 1;
        }
        self.copies += proxies.len() as u32;
        self.send_count += 1;
    }

    /// Leaves one copy to each proxy that has acknowledged none.
    fn keep_one_copy(&mut self) {
        let send_count = std::mem::replace(&mut self.send_count, 1);
        self.unacked_copies.retain(|_, copies| *copies >= send_count);
        self.unacked_copies.values_mut().for_each(|copies| *copies = 1);
        self.copies = self.unacked_copies.len() as u32;
    }

    /// Notes that up to so many copies have reached the proxy, or never will.
    fn remove_copies(&mut self, proxy: ProxyId, most: u32) {
        let Some(copies) = self.unacked_copies.get_mut(&proxy) else { return };
        let removed = most.min(*copies);
        *copies -= removed;
        self.copies -= removed;
        if *copies == 0 {
            self.unacked_copies.remove(&proxy);
        }
    }

    fn unacked_lines(&self) -> f64 {
        self.lines_per_proxy * f64::from(self.copies)
    }
}

/// The way to the proxies.
pub(crate) struct CommandChannel {
    /// The proxies that are connected.
    pub proxies: BTreeSet<ProxyId>,
    /// Messages that some proxy has not acknowledged, or that a slice waits for, by version.
    pub sent: BTreeMap<u16, SentMessage>,
    /// The version of the reply that is being made, once it has a message.
    pub open_version: Option<u16>,
    last_version: u16,
    /// When the newest message was sent that some proxy has acknowledged.
    last_acked_sent_at: Moment,
    /// When an acknowledgement last came, or a message was last sent.
    pub last_activity_at: Moment,
    /// Whether acknowledgements may have been lost since then.
    pub acks_lost: bool,
    /// Messages opened, resent ones included.
    pub opened_messages: WindowedCounter,
    pub last_opened_at: Moment,
}

impl CommandChannel {
    /// A channel without proxies. Messages are counted over `message_window`; versions follow `last_version`.
    pub(crate) fn new(message_window: Span, last_version: u16) -> Self {
        let buckets = message_window.as_ns().div_ceil(MESSAGE_BUCKET.as_ns()) as usize + 1;
        CommandChannel {
            proxies: BTreeSet::new(),
            sent: BTreeMap::new(),
            open_version: None,
            last_version,
            last_acked_sent_at: Moment::default(),
            last_activity_at: Moment::default(),
            acks_lost: false,
            last_opened_at: Moment::default(),
            opened_messages: WindowedCounter::new(MESSAGE_BUCKET, buckets),
        }
    }

    /// Removes a proxy that has disconnected: nothing is on its way to it any more.
    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.sent.values_mut().for_each(|message| message.remove_copies(proxy, u32::MAX));
    }

    /// Notes that the message with this version was sent once more.
    pub(crate) fn record_resend(&mut self, now: Moment, version: u16) {
        if let Some(message) = self.sent.get_mut(&version) {
            message.add_copies(&self.proxies);
            self.last_activity_at = now;
            self.opened_messages.add(now, 1.0);
        }
    }

    /// Notes that a proxy has applied everything up to this version, and returns when that was sent, if it is known. An
    /// acknowledgement that was lost is made up for by the next one. Of a message that was sent more than once only one copy
    /// has arrived so far.
    pub(crate) fn record_ack(&mut self, now: Moment, proxy: ProxyId, version: u16) -> Option<Moment> {
        self.last_activity_at = now;
        self.acks_lost = false;
        let sent_at = self.sent.get(&version)?.sent_at;
        for (sent_version, message) in &mut self.sent {
            if message.sent_at <= sent_at {
                let copies = if *sent_version == version { 1 } else { u32::MAX };
                message.remove_copies(proxy, copies);
            }
        }
        self.last_acked_sent_at = self.last_acked_sent_at.max(sent_at);
        Some(sent_at)
    }

    /// Lines that may wait in the channel's queue. Messages leave in order, so an acknowledgement shows that all sent before
    /// have left. Of the rest, the unacknowledged lines are no fewer than those that wait, however slow the channel is.
    pub(crate) fn unacked_lines(&self) -> f64 {
        let after_last_acked =
            self.sent.values().filter(|message| message.sent_at >= self.last_acked_sent_at);
        after_last_acked.map(SentMessage::unacked_lines).sum()
    }

    /// Drops the additional copies of resent messages: nothing has come for so long that only one attempt was carried out.
    pub(crate) fn drop_extra_copies(&mut self) {
        let resent = self.sent.values_mut().filter(|message| message.send_count > 1);
        resent.for_each(SentMessage::keep_one_copy);
    }

    /// The lines of the message with this version, sent once to all.
    pub(crate) fn lines_of_version(&self, version: u16) -> f64 {
        let lines = |message: &SentMessage| message.lines_per_proxy * self.proxies.len() as f64;
        self.sent.get(&version).map_or(0.0, lines)
    }

    /// The same of the message that is being made.
    pub(crate) fn open_message_lines(&self) -> f64 {
        self.open_version.map_or(0.0, |version| self.lines_of_version(version))
    }

    /// Adds lines to this reply's message, opens the message where there is none yet, and returns its version.
    pub(crate) fn add_lines(&mut self, now: Moment, overhead_lines: f64, lines: f64) -> u16 {
        let version = match self.open_version {
            Some(version) => version,
            None => self.open_message(now, overhead_lines),
        };
        if let Some(message) = self.sent.get_mut(&version) {
            message.lines_per_proxy += lines;
        }
        version
    }

    fn open_message(&mut self, now: Moment, overhead_lines: f64) -> u16 {
        self.last_version = self.last_version.wrapping_add(1);
        self.opened_messages.add(now, 1.0);
        self.last_opened_at = now;
        self.last_activity_at = now;
        self.acks_lost = false;
        let mut message = SentMessage::new(now, overhead_lines);
        message.add_copies(&self.proxies);
        self.sent.insert(self.last_version, message);
        self.open_version = Some(self.last_version);
        self.last_version
    }
}
