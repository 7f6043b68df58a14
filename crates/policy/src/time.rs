//! Points in time and spans between them: two types, so that neither can stand in for the other.

use std::ops::{Add, Sub};

/// A point in time, in nanoseconds of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(u64);

/// A length of time, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Moment {
    /// The point at which the clock shows so many nanoseconds.
    pub const fn at_ns(ns: u64) -> Self {
        Moment(ns)
    }

    /// The number of whole spans of this length that lie before this moment.
    pub fn elapsed_periods(self, length: Span) -> u64 {
        self.0 / length.0.max(1)
    }
}

impl Span {
    /// A span of so many nanoseconds.
    pub const fn ns(ns: u64) -> Self {
        Span(ns)
    }

    /// A span of so many milliseconds; the longest there is where that is too many, as times in settings may be absurd.
    pub const fn ms(ms: u64) -> Self {
        Span(ms.saturating_mul(1_000_000))
    }

    /// Its length in nanoseconds.
    pub const fn as_ns(self) -> u64 {
        self.0
    }

    /// Its length in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// A span so many times as long; nothing where the factor is below 0.
    pub fn times(self, factor: f64) -> Self {
        Span((self.0 as f64 * factor) as u64)
    }
}

/// Never before the start of time.
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

/// Never below nothing: a report may carry a start that lies ahead of our clock.
impl Sub for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// Never below nothing.
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
