//! One message to the proxies, until all have acknowledged it.

use crate::api::{ProxyId, SliceId};
use crate::time::Moment;
use std::collections::BTreeMap;

/// One message to each of the proxies, of which some have not acknowledged it.
pub(crate) struct SentMessage {
    /// Messages leave in this order; versions wrap.
    pub sequence: u64,
    /// How many copies may still be on their way to each proxy; each is above 0.
    pub unacked_copies: BTreeMap<ProxyId, u32>,
    /// The sum of these.
    copies: u32,
    /// How often it was sent.
    pub send_count: u32,
    pub lines_per_proxy: f64,
    pub sent_at: Moment,
    /// The slices that wait for its acknowledgements.
    pub waiting_slices: Vec<SliceId>,
}

impl SentMessage {
    /// A message that is empty and goes to nobody yet.
    pub(super) fn new(now: Moment, sequence: u64, overhead_lines: f64) -> Self {
        SentMessage {
            sequence,
            unacked_copies: BTreeMap::new(),
            copies: 0,
            send_count: 0,
            lines_per_proxy: overhead_lines,
            sent_at: now,
            waiting_slices: Vec::new(),
        }
    }

    /// Counts one more copy to each of the proxies.
    pub(super) fn add_copies(&mut self, proxies: impl Iterator<Item = ProxyId>) {
        for proxy in proxies {
            *self.unacked_copies.entry(proxy).or_default() += 1;
            self.copies += 1;
        }
        self.send_count += 1;
    }

    /// Leaves one copy to each proxy that has acknowledged none.
    pub(super) fn keep_one_copy(&mut self) {
        let send_count = std::mem::replace(&mut self.send_count, 1);
        self.unacked_copies.retain(|_, copies| *copies >= send_count);
        self.unacked_copies.values_mut().for_each(|copies| *copies = 1);
        self.copies = self.unacked_copies.len() as u32;
    }

    /// Notes that up to so many copies have reached the proxy, or never will.
    pub(super) fn remove_copies(&mut self, proxy: ProxyId, max_copies: u32) {
        let Some(copies) = self.unacked_copies.get_mut(&proxy) else { return };
        let removed = max_copies.min(*copies);
        *copies -= removed;
        self.copies -= removed;
        if *copies == 0 {
            self.unacked_copies.remove(&proxy);
        }
    }

    /// The lines of copies that are not acknowledged.
    pub(super) fn unacked_lines(&self) -> f64 {
        self.lines_per_proxy * f64::from(self.copies)
    }
}
