//! Points in time and spans between them: two types, so that neither can stand in for the other.

use std::ops::{Add, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Moment {
    pub const fn at_ns(ns: u64) -> Self {
        Moment(ns)
    }

    /// The number of whole spans of this length that lie before this moment.
    pub fn count_of(self, length: Span) -> u64 {
        self.0 / length.0.max(1)
    }
}

impl Span {
    pub const fn ns(ns: u64) -> Self {
        Span(ns)
    }

    pub const fn ms(ms: u64) -> Self {
        // Times that others state may be absurd.
        Span(ms.saturating_mul(1_000_000))
    }

    pub const fn as_ns(self) -> u64 {
        self.0
    }

    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

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

impl Sub for Span {
    type Output = Span;
    fn sub(self, less: Span) -> Span {
        Span(self.0.saturating_sub(less.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, more: Span) -> Span {
        Span(self.0.saturating_add(more.0))
    }
}
