//! A message to the proxies, kept until all of them have acknowledged it.

use crate::api::{ProxyId, SliceId};
use crate::time::Moment;
use std::collections::BTreeMap;

/// A message to all proxies that are connected when it is opened.
pub(crate) struct SentMessage {
    /// The order in which messages are sent. Versions wrap around and do not show it.
    pub sequence: u64,
    /// The number of unacknowledged copies per proxy; each is greater than 0.
    pub unacked_copies: BTreeMap<ProxyId, u32>,
    /// The sum of `unacked_copies`.
    unacked_copy_count: u32,
    /// The number of times that the message was sent.
    pub send_count: u32,
    pub lines_per_proxy: f64,
    pub sent_at: Moment,
    /// The slices that wait for the message's acknowledgements.
    pub waiting_slices: Vec<SliceId>,
}

impl SentMessage {
    /// Creates an empty message without recipients.
    pub(super) fn new(now: Moment, sequence: u64, overhead_lines: f64) -> Self {
        SentMessage {
            sequence,
            unacked_copies: BTreeMap::new(),
            unacked_copy_count: 0,
            send_count: 0,
            lines_per_proxy: overhead_lines,
            sent_at: now,
            waiting_slices: Vec::new(),
        }
    }

    /// Adds one copy to each of the proxies.
    pub(super) fn add_copies(&mut self, proxies: impl Iterator<Item = ProxyId>) {
        for proxy in proxies {
            *self.unacked_copies.entry(proxy).or_default() += 1;
            self.unacked_copy_count += 1;
        }
        self.send_count += 1;
    }

    /// Keeps one copy per proxy that has acknowledged none.
    pub(super) fn keep_one_copy(&mut self) {
        let send_count = std::mem::replace(&mut self.send_count, 1);
        self.unacked_copies.retain(|_, copies| *copies >= send_count);
        self.unacked_copies.values_mut().for_each(|copies| *copies = 1);
        self.unacked_copy_count = self.unacked_copies.len() as u32;
    }

    /// Removes up to `max_copies` copies that have reached the proxy or never will.
    pub(super) fn remove_copies(&mut self, proxy: ProxyId, max_copies: u32) {
        let Some(copies) = self.unacked_copies.get_mut(&proxy) else { return };
        let removed = max_copies.min(*copies);
        *copies -= removed;
        self.unacked_copy_count -= removed;
        if *copies == 0 {
            self.unacked_copies.remove(&proxy);
        }
    }

    /// Returns the number of lines in all unacknowledged copies.
    pub(super) fn unacked_lines(&self) -> f64 {
        self.lines_per_proxy * f64::from(self.unacked_copy_count)
    }
}
