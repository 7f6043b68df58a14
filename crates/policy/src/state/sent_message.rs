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
    /// The number of times that the message was sent, without those that were not carried out.
    pub send_count: u32,
    /// True if the message was sent more than once, whether all copies were carried out or not.
    pub was_resent: bool,
    /// The times at which the counted copies were sent, oldest first.
    sent_times: Vec<Moment>,
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
            was_resent: false,
            sent_times: Vec::new(),
            lines_per_proxy: overhead_lines,
            sent_at: now,
            waiting_slices: Vec::new(),
        }
    }

    /// Adds one copy to each of the proxies.
    pub(super) fn add_copies(&mut self, now: Moment, proxies: impl Iterator<Item = ProxyId>) {
        for proxy in proxies {
            *self.unacked_copies.entry(proxy).or_default() += 1;
            self.unacked_copy_count += 1;
        }
        self.was_resent = self.send_count > 0;
        self.send_count += 1;
        self.sent_times.push(now);
    }

    /// Keeps one copy per proxy that has acknowledged none.
    pub(super) fn keep_one_copy(&mut self) {
        let send_count = std::mem::replace(&mut self.send_count, 1);
        self.sent_times.drain(..self.sent_times.len() - 1);
        self.unacked_copies.retain(|_, copies| *copies >= send_count);
        self.unacked_copies.values_mut().for_each(|copies| *copies = 1);
        self.unacked_copy_count = self.unacked_copies.len() as u32;
    }

    /// Removes the copies that were sent after `last_ack_at` and before `sent_before`, except for the last one. They
    /// were not carried out, since no proxy has acknowledged anything since.
    pub(super) fn remove_lost_copies(&mut self, last_ack_at: Moment, sent_before: Moment) {
        let Some(last) = self.sent_times.pop() else { return };
        let earlier_count = self.sent_times.len();
        self.sent_times.retain(|at| *at < last_ack_at || *at >= sent_before);
        let lost = (earlier_count - self.sent_times.len()) as u32;
        self.sent_times.push(last);
        self.send_count -= lost;
        let proxies: Vec<ProxyId> = self.unacked_copies.keys().copied().collect();
        proxies.into_iter().for_each(|proxy| self.remove_copies(proxy, lost));
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
