//! The command channel to the proxies: who listens, and what has not been acknowledged.

use crate::api::{ProxyId, SliceId};
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;
use std::collections::{BTreeMap, BTreeSet};

/// One message to each of the proxies, of which some have not acked yet.
pub struct SentMessage {
    /// How often it may still be on its way to each.
    pub unacked_copies: BTreeMap<ProxyId, u32>,
    /// The sum of these, and how often it was ordered.
    copies: u32,
    send_count: u32,
    pub lines_per_proxy: f64,
    pub sent_at: Moment,
    /// The slices that wait for it.
    pub waiting_slices: Vec<SliceId>,
}

impl SentMessage {
    /// Sent once more to all who listen.
    pub(crate) fn add_copies(&mut self, proxies: &BTreeSet<ProxyId>) {
        proxies.iter().for_each(|proxy| *self.unacked_copies.entry(*proxy).or_default() += 1);
        (self.copies, self.send_count) = (self.copies + proxies.len() as u32, self.send_count + 1);
    }

    /// Whoever has acked it gets no other copy, and the others get one.
    pub(crate) fn keep_one_copy(&mut self) {
        let times = std::mem::replace(&mut self.send_count, 1);
        self.unacked_copies.retain(|_, left| *left >= times);
        self.unacked_copies.values_mut().for_each(|left| *left = 1);
        self.copies = self.unacked_copies.len() as u32;
    }

    /// So many copies have arrived there, or will not.
    pub(crate) fn remove_copies(&mut self, proxy: ProxyId, most: u32) {
        let Some(left) = self.unacked_copies.get_mut(&proxy) else { return };
        let less = most.min(*left);
        (*left, self.copies) = (*left - less, self.copies - less);
        if *left == 0 {
            self.unacked_copies.remove(&proxy);
        }
    }

    pub(crate) fn unacked_lines(&self) -> f64 {
        self.lines_per_proxy * f64::from(self.copies)
    }
}

/// The way to the proxies: who listens, and what may still be under way.
pub struct CommandChannel {
    pub proxies: BTreeSet<ProxyId>,
    pub sent: BTreeMap<u16, SentMessage>,
    /// The version of the reply now being made.
    pub open_version: Option<u16>,
    pub last_version: u16,
    /// When the newest message was ordered that some proxy has acked.
    pub last_acked_sent_at: Moment,
    /// When an ack last came, or a message was last ordered.
    pub last_activity_at: Moment,
    /// The news was told anew since: acks that came while it was broken are lost.
    pub acks_lost: bool,
    pub opened_messages: WindowedCounter,
    pub last_opened_at: Moment,
}

impl CommandChannel {
    pub fn new(window: Span, last_version: u16) -> Self {
        let bucket = Span::ms(500);
        CommandChannel {
            proxies: BTreeSet::new(),
            sent: BTreeMap::new(),
            open_version: None,
            last_version,
            last_acked_sent_at: Moment::default(),
            last_activity_at: Moment::default(),
            acks_lost: false,
            last_opened_at: Moment::default(),
            opened_messages: WindowedCounter::new(
                bucket,
                window.as_ns().div_ceil(bucket.as_ns()) as usize + 1,
            ),
        }
    }

    /// What it had not acked travels no more.
    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.sent.values_mut().for_each(|m| m.remove_copies(proxy, u32::MAX));
    }

    pub fn record_resend(&mut self, now: Moment, version: u16) {
        if let Some(sent) = self.sent.get_mut(&version) {
            sent.add_copies(&self.proxies);
            self.last_activity_at = now;
            self.opened_messages.add(now, 1.0);
        }
    }

    /// It has applied all that was sent up to this version, and so up to when: an ack that was lost on its way is
    /// made up for by the next one. Of a message that was ordered again only one copy has come so far.
    pub fn record_ack(&mut self, now: Moment, proxy: ProxyId, version: u16) -> Option<Moment> {
        (self.last_activity_at, self.acks_lost) = (now, false);
        let at = self.sent.get(&version)?.sent_at;
        let before = self.sent.iter_mut().filter(|(_, sent)| sent.sent_at <= at);
        before.for_each(|(n, sent)| sent.remove_copies(proxy, if *n == version { 1 } else { u32::MAX }));
        self.last_acked_sent_at = self.last_acked_sent_at.max(at);
        Some(at)
    }

    /// Messages leave in order, so an ack shows that all ordered before have left. Of the rest, the lines not
    /// yet acked are no fewer than those that wait, however slowly the channel runs.
    pub fn unacked_lines(&self) -> f64 {
        let behind = self.sent.values().filter(|m| m.sent_at >= self.last_acked_sent_at);
        behind.map(SentMessage::unacked_lines).sum()
    }

    /// Nothing has come for so long that no further copy is on its way: only one attempt was carried out.
    pub fn drop_extra_copies(&mut self) {
        self.sent.values_mut().filter(|sent| sent.send_count > 1).for_each(SentMessage::keep_one_copy);
    }

    /// What the message with this version costs, said once to all.
    pub fn lines_of_version(&self, version: u16) -> f64 {
        self.sent.get(&version).map_or(0.0, |sent| sent.lines_per_proxy * self.proxies.len() as f64)
    }

    /// The same of the message that is being made.
    pub fn open_message_lines(&self) -> f64 {
        self.open_version.map_or(0.0, |version| self.lines_of_version(version))
    }

    /// Adds lines to this reply's message, and opens the message where there is none yet.
    pub fn add_lines(&mut self, now: Moment, head: f64, lines: f64) -> u16 {
        let number = self.open_version.unwrap_or_else(|| {
            self.last_version = self.last_version.wrapping_add(1);
            self.opened_messages.add(now, 1.0);
            (self.last_opened_at, self.last_activity_at, self.acks_lost) = (now, now, false);
            let (waiting, slices) = (BTreeMap::new(), Vec::new());
            let mut sent = SentMessage {
                unacked_copies: waiting,
                copies: 0,
                send_count: 0,
                lines_per_proxy: head,
                sent_at: now,
                waiting_slices: slices,
            };
            sent.add_copies(&self.proxies);
            self.sent.insert(self.last_version, sent);
            self.last_version
        });
        self.open_version = Some(number);
        if let Some(sent) = self.sent.get_mut(&number) {
            sent.lines_per_proxy += lines;
        }
        number
    }
}
