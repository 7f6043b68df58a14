//! The command channel to the proxies: who listens, and what has not been acknowledged.

use crate::api::{ProxyId, SliceId};
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;
use std::collections::{BTreeMap, BTreeSet};

/// One message to each of the proxies, of which some have not acked yet.
pub struct Sent {
    /// How often it may still be on its way to each.
    pub waiting: BTreeMap<ProxyId, u32>,
    /// The sum of these, and how often it was ordered.
    copies: u32,
    times: u32,
    pub lines_each: f64,
    pub at: Moment,
    /// The slices that wait for it.
    pub slices: Vec<SliceId>,
}

impl Sent {
    /// Sent once more to all who listen.
    pub(crate) fn again(&mut self, proxies: &BTreeSet<ProxyId>) {
        proxies.iter().for_each(|proxy| *self.waiting.entry(*proxy).or_default() += 1);
        (self.copies, self.times) = (self.copies + proxies.len() as u32, self.times + 1);
    }

    /// Whoever has acked it gets no other copy, and the others get one.
    pub(crate) fn once(&mut self) {
        let times = std::mem::replace(&mut self.times, 1);
        self.waiting.retain(|_, left| *left >= times);
        self.waiting.values_mut().for_each(|left| *left = 1);
        self.copies = self.waiting.len() as u32;
    }

    /// So many copies have arrived there, or will not.
    pub(crate) fn arrived(&mut self, proxy: ProxyId, most: u32) {
        let Some(left) = self.waiting.get_mut(&proxy) else { return };
        let less = most.min(*left);
        (*left, self.copies) = (*left - less, self.copies - less);
        if *left == 0 {
            self.waiting.remove(&proxy);
        }
    }

    pub(crate) fn lines(&self) -> f64 {
        self.lines_each * f64::from(self.copies)
    }
}

/// The way to the proxies: who listens, and what may still be under way.
pub struct Channel {
    pub proxies: BTreeSet<ProxyId>,
    pub versions: BTreeMap<u16, Sent>,
    /// The version of the reply now being made.
    pub open_version: Option<u16>,
    pub last_version: u16,
    /// When the newest message was ordered that some proxy has acked.
    pub last_through: Moment,
    /// When an ack last came, or a message was last ordered.
    pub heard: Moment,
    /// The news was told anew since: acks that came while it was broken are lost.
    pub acks_lost: bool,
    pub messages: WindowedCounter,
    pub written: Moment,
}

impl Channel {
    pub fn new(window: Span, last_version: u16) -> Self {
        let bucket = Span::ms(500);
        Channel {
            proxies: BTreeSet::new(),
            versions: BTreeMap::new(),
            open_version: None,
            last_version,
            last_through: Moment::default(),
            heard: Moment::default(),
            acks_lost: false,
            written: Moment::default(),
            messages: WindowedCounter::new(bucket, window.as_ns().div_ceil(bucket.as_ns()) as usize + 1),
        }
    }

    /// What it had not acked travels no more.
    pub fn part(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.versions.values_mut().for_each(|m| m.arrived(proxy, u32::MAX));
    }

    pub fn repeat(&mut self, now: Moment, version: u16) {
        if let Some(sent) = self.versions.get_mut(&version) {
            sent.again(&self.proxies);
            self.heard = now;
            self.messages.add(now, 1.0);
        }
    }

    /// It has applied all that was sent up to this version, and so up to when: an ack that was lost on its way is
    /// made up for by the next one. Of a message that was ordered again only one copy has come so far.
    pub fn acked(&mut self, now: Moment, proxy: ProxyId, version: u16) -> Option<Moment> {
        (self.heard, self.acks_lost) = (now, false);
        let at = self.versions.get(&version)?.at;
        let before = self.versions.iter_mut().filter(|(_, sent)| sent.at <= at);
        before.for_each(|(n, sent)| sent.arrived(proxy, if *n == version { 1 } else { u32::MAX }));
        self.last_through = self.last_through.max(at);
        Some(at)
    }

    /// Messages leave in order, so an ack shows that all ordered before have left. Of the rest, the lines not
    /// yet acked are no fewer than those that wait, however slowly the channel runs.
    pub fn lines_waiting(&self) -> f64 {
        let behind = self.versions.values().filter(|m| m.at >= self.last_through);
        behind.map(Sent::lines).sum()
    }

    /// Nothing has come for so long that no further copy is on its way: only one attempt was carried out.
    pub fn drop_copies(&mut self) {
        self.versions.values_mut().filter(|sent| sent.times > 1).for_each(Sent::once);
    }

    /// What the message with this version costs, said once to all.
    pub fn lines_of(&self, version: u16) -> f64 {
        self.versions.get(&version).map_or(0.0, |sent| sent.lines_each * self.proxies.len() as f64)
    }

    /// The same of the message that is being made.
    pub fn open_lines(&self) -> f64 {
        self.open_version.map_or(0.0, |version| self.lines_of(version))
    }

    /// Adds lines to this reply's message, and opens the message where there is none yet.
    pub fn write(&mut self, now: Moment, head: f64, lines: f64) -> u16 {
        let number = self.open_version.unwrap_or_else(|| {
            self.last_version = self.last_version.wrapping_add(1);
            self.messages.add(now, 1.0);
            (self.written, self.heard, self.acks_lost) = (now, now, false);
            let (waiting, slices) = (BTreeMap::new(), Vec::new());
            let mut sent = Sent { waiting, copies: 0, times: 0, lines_each: head, at: now, slices };
            sent.again(&self.proxies);
            self.versions.insert(self.last_version, sent);
            self.last_version
        });
        self.open_version = Some(number);
        if let Some(sent) = self.versions.get_mut(&number) {
            sent.lines_each += lines;
        }
        number
    }
}
