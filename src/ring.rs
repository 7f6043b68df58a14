//! A sum over recent time, kept in fixed buckets that are used again.

use crate::time::{Moment, Span};

#[derive(Clone, Debug)]
pub struct Ring {
    bucket: Span,
    newest: u64,
    sums: Vec<f64>,
}

impl Ring {
    pub fn new(bucket: Span, buckets: usize) -> Self {
        Ring { bucket, newest: 0, sums: vec![0.0; buckets.max(1)] }
    }

    pub fn add(&mut self, now: Moment, amount: f64) {
        let at = now.count_of(self.bucket);
        let size = self.sums.len() as u64;
        // Buckets that time has passed over hold a former lap's sums: they are emptied before use.
        for stale in (self.newest + 1..=at).rev().take(self.sums.len()) {
            self.sums[(stale % size) as usize] = 0.0;
        }
        self.newest = self.newest.max(at);
        self.sums[(at % size) as usize] += amount;
    }

    /// What came within the last span, the bucket now filling counted as whole.
    pub fn sum(&self, now: Moment, over: Span) -> f64 {
        let at = now.count_of(self.bucket);
        let size = self.sums.len() as u64;
        let buckets = (over.as_ns().div_ceil(self.bucket.as_ns().max(1))).min(size);
        let from = (at + 1).saturating_sub(buckets).max((self.newest + 1).saturating_sub(size));
        (from..=at.min(self.newest)).map(|b| self.sums[(b % size) as usize]).sum()
    }

    pub fn clear(&mut self) {
        self.sums.fill(0.0);
    }
}
