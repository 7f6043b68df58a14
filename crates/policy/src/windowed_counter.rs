//! A sum over recent time, kept in fixed buckets that are used again.

use crate::time::{Moment, Span};
use std::ops::RangeInclusive;

/// Sums by time, in a ring of buckets of equal length. Bucket numbers count from the start of time; each is kept at the
/// position of its number modulo the number of buckets.
#[derive(Clone, Debug)]
pub struct WindowedCounter {
    bucket_duration: Span,
    /// The number of the newest bucket.
    newest_bucket: u64,
    sums: Vec<f64>,
}

impl WindowedCounter {
    /// An empty counter of so many buckets (at least one) of this length.
    pub fn new(bucket_duration: Span, bucket_count: usize) -> Self {
        WindowedCounter { bucket_duration, newest_bucket: 0, sums: vec![0.0; bucket_count.max(1)] }
    }

    /// Adds an amount at this moment.
    pub fn add(&mut self, now: Moment, amount: f64) {
        self.add_over(now, Span::default(), amount);
    }

    /// Adds an amount that came evenly over the span that ends at this moment; what lies before the first bucket is added to
    /// it. What is older than something added before is added where it belongs.
    pub fn add_over(&mut self, now: Moment, window: Span, amount: f64) {
        let last_bucket = now.elapsed_periods(self.bucket_duration);
        let size = self.sums.len() as u64;
        // Buckets that time has passed over hold a former lap's sums: they are emptied before use.
        for stale in (self.newest_bucket + 1..=last_bucket).rev().take(self.sums.len()) {
            self.sums[(stale % size) as usize] = 0.0;
        }
        self.newest_bucket = self.newest_bucket.max(last_bucket);
        let bucket_count =
            window.as_ns().div_ceil(self.bucket_duration.as_ns().max(1)).clamp(1, size.min(last_bucket + 1));
        // Of what is late, the oldest may lie in a lap that has been passed over.
        let oldest_bucket = (self.newest_bucket + 1).saturating_sub(size);
        for bucket in
            (0..bucket_count).map(|back| last_bucket - back).filter(|bucket| *bucket >= oldest_bucket)
        {
            self.sums[(bucket % size) as usize] += amount / bucket_count as f64;
        }
    }

    /// When something was last added, to the end of its bucket.
    pub fn newest_bucket_end(&self) -> Moment {
        Moment::at_ns(
            self.newest_bucket
                .saturating_add(1)
                .saturating_mul(self.bucket_duration.as_ns())
                .saturating_sub(1),
        )
    }

    /// The sum over the last span, the bucket now filling counted as whole.
    pub fn sum(&self, now: Moment, window: Span) -> f64 {
        self.buckets(now, window).map(|bucket| self.bucket_sum(bucket)).sum()
    }

    /// The start of the oldest bucket within the last span that holds something.
    pub fn oldest_bucket_start(&self, now: Moment, window: Span) -> Option<Moment> {
        let first = self.buckets(now, window).find(|bucket| self.bucket_sum(*bucket) > 0.0)?;
        Some(Moment::at_ns(first.saturating_mul(self.bucket_duration.as_ns())))
    }

    /// Empties all buckets.
    pub fn clear(&mut self) {
        self.sums.fill(0.0);
    }

    /// The numbers of the buckets within the last span that are kept.
    fn buckets(&self, now: Moment, window: Span) -> RangeInclusive<u64> {
        let last_bucket = now.elapsed_periods(self.bucket_duration);
        let size = self.sums.len() as u64;
        let bucket_count = window.as_ns().div_ceil(self.bucket_duration.as_ns().max(1)).min(size);
        let first_bucket =
            (last_bucket + 1).saturating_sub(bucket_count).max((self.newest_bucket + 1).saturating_sub(size));
        first_bucket..=last_bucket.min(self.newest_bucket)
    }

    fn bucket_sum(&self, bucket: u64) -> f64 {
        self.sums[(bucket % self.sums.len() as u64) as usize]
    }
}
