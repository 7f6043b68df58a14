//! Points in time and durations, as two types so that they can't be confused.

use std::ops::{Add, Sub};

/// A point in time, in nanoseconds of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(u64);

/// A duration, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Moment {
    /// The point in time at which the clock shows `ns` nanoseconds.
    pub const fn at_ns(ns: u64) -> Self {
        Moment(ns)
    }

    /// Returns the number of whole periods of this length between time zero and this point in time.
    pub fn elapsed_periods(self, length: Span) -> u64 {
        self.0 / length.0.max(1)
    }
}

impl Span {
    /// A duration in nanoseconds.
    pub const fn ns(ns: u64) -> Self {
        Span(ns)
    }

    /// A duration in milliseconds. Values that are too large saturate, because times in settings are not limited.
    pub const fn ms(ms: u64) -> Self {
        Span(ms.saturating_mul(1_000_000))
    }

    /// Returns the duration in nanoseconds.
    pub const fn as_ns(self) -> u64 {
        self.0
    }

    /// Returns the duration in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// Returns the duration multiplied by a factor; zero if the factor is negative.
    pub fn times(self, factor: f64) -> Self {
        Span((self.0 as f64 * factor) as u64)
    }
}

/// Saturates at time zero.
impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

/// Saturates at zero, because a report may carry a start time that is ahead of this process's clock.
impl Sub for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// Saturates at zero.
impl Sub for Span {
    type Output = Span;
    fn sub(self, shorter: Span) -> Span {
        Span(self.0.saturating_sub(shorter.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}
