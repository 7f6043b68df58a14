//! A sum over recent time, kept in a fixed number of reused buckets.

use crate::time::{Moment, Span};
use std::ops::RangeInclusive;

/// Sums by time, in a ring of buckets of equal duration. Buckets are numbered from time zero; each is stored at
/// its number modulo the number of buckets.
#[derive(Clone, Debug)]
pub struct WindowedCounter {
    bucket_duration: Span,
    /// The number of the newest bucket.
    newest_bucket: u64,
    sums: Vec<f64>,
}

impl WindowedCounter {
    /// Creates an empty counter with `bucket_count` buckets (at least one) of `bucket_duration` each.
    pub fn new(bucket_duration: Span, bucket_count: usize) -> Self {
        WindowedCounter { bucket_duration, newest_bucket: 0, sums: vec![0.0; bucket_count.max(1)] }
    }

    /// Adds an amount at `now`.
    pub fn add(&mut self, now: Moment, amount: f64) {
        self.add_over(now, Span::default(), amount);
    }

    /// Adds an amount that is spread evenly over the buckets of the window that ends at `now`. A window that begins
    /// before time zero, or that is longer than all buckets together, is shortened. `now` may be earlier than in
    /// previous calls; the part of the amount that belongs to reused buckets is then dropped.
    pub fn add_over(&mut self, now: Moment, window: Span, amount: f64) {
        let last_bucket = now.elapsed_periods(self.bucket_duration);
        let size = self.sums.len() as u64;
        // Buckets skipped since the last call hold sums of an earlier cycle of the ring and are cleared before
        // use.
        for stale in (self.newest_bucket + 1..=last_bucket).rev().take(self.sums.len()) {
            self.sums[(stale % size) as usize] = 0.0;
        }
        self.newest_bucket = self.newest_bucket.max(last_bucket);
        let bucket_count =
            window.as_ns().div_ceil(self.bucket_duration.as_ns().max(1)).clamp(1, size.min(last_bucket + 1));
        // If `now` is earlier than in previous calls, the oldest buckets may already have been reused.
        let oldest_bucket = (self.newest_bucket + 1).saturating_sub(size);
        for bucket in
            (0..bucket_count).map(|back| last_bucket - back).filter(|bucket| *bucket >= oldest_bucket)
        {
            self.sums[(bucket % size) as usize] += amount / bucket_count as f64;
        }
    }

    /// Returns the end of the newest bucket to which something was added.
    pub fn newest_bucket_end(&self) -> Moment {
        Moment::at_ns(
            self.newest_bucket
                .saturating_add(1)
                .saturating_mul(self.bucket_duration.as_ns())
                .saturating_sub(1),
        )
    }

    /// Returns the sum over the window that ends at `now`; the current bucket counts in full.
    pub fn sum(&self, now: Moment, window: Span) -> f64 {
        self.buckets(now, window).fold(0.0, |sum, bucket| sum + self.bucket_sum(bucket))
    }

    /// Clears all buckets.
    pub fn clear(&mut self) {
        self.sums.fill(0.0);
    }

    /// Returns the numbers of the stored buckets within the window that ends at `now`.
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
