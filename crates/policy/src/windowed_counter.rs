//! A sum over recent time, kept in fixed buckets that are used again.

use crate::time::{Moment, Span};

#[derive(Clone, Debug)]
pub struct WindowedCounter {
    bucket: Span,
    newest: u64,
    sums: Vec<f64>,
}

impl WindowedCounter {
    pub fn new(bucket: Span, buckets: usize) -> Self {
        WindowedCounter { bucket, newest: 0, sums: vec![0.0; buckets.max(1)] }
    }

    pub fn add(&mut self, now: Moment, amount: f64) {
        self.spread(now, Span::default(), amount);
    }

    /// Adds what came evenly over the span that ends then; what lies before the ring's first bucket is laid
    /// into it. What comes later than something newer is laid where it belongs.
    pub fn spread(&mut self, now: Moment, over: Span, amount: f64) {
        let at = now.count_of(self.bucket);
        let size = self.sums.len() as u64;
        // Buckets that time has passed over hold a former lap's sums: they are emptied before use.
        for stale in (self.newest + 1..=at).rev().take(self.sums.len()) {
            self.sums[(stale % size) as usize] = 0.0;
        }
        self.newest = self.newest.max(at);
        let pieces = over.as_ns().div_ceil(self.bucket.as_ns().max(1)).clamp(1, size.min(at + 1));
        // Of what is late, the oldest may lie in a lap that has been passed over.
        let oldest = (self.newest + 1).saturating_sub(size);
        for bucket in (0..pieces).map(|back| at - back).filter(|bucket| *bucket >= oldest) {
            self.sums[(bucket % size) as usize] += amount / pieces as f64;
        }
    }

    /// When something last came, to the end of its bucket.
    pub fn newest(&self) -> Moment {
        Moment::at_ns(self.newest.saturating_add(1).saturating_mul(self.bucket.as_ns()).saturating_sub(1))
    }

    /// What came within the last span, the bucket now filling counted as whole.
    pub fn sum(&self, now: Moment, over: Span) -> f64 {
        self.buckets(now, over).map(|b| self.sums[(b % self.sums.len() as u64) as usize]).sum()
    }

    fn buckets(&self, now: Moment, over: Span) -> std::ops::RangeInclusive<u64> {
        let (at, size) = (now.count_of(self.bucket), self.sums.len() as u64);
        let buckets = (over.as_ns().div_ceil(self.bucket.as_ns().max(1))).min(size);
        let from = (at + 1).saturating_sub(buckets).max((self.newest + 1).saturating_sub(size));
        from..=at.min(self.newest)
    }

    /// When the first of what came within the last span came, to the start of its bucket.
    pub fn oldest(&self, now: Moment, over: Span) -> Option<Moment> {
        let holds = |b: &u64| self.sums[(b % self.sums.len() as u64) as usize] > 0.0;
        let first = self.buckets(now, over).find(holds)?;
        Some(Moment::at_ns(first.saturating_mul(self.bucket.as_ns())))
    }

    pub fn clear(&mut self) {
        self.sums.fill(0.0);
    }
}
