//! Counters of reported figures, which cover the longest window that any rule uses.

use crate::time::Span;
use crate::windowed_counter::WindowedCounter;

const BUCKET_DURATION: Span = Span::ms(500);
const BUCKET_COUNT: usize = 40;
/// The longest window that any rule uses, which is the duration of all buckets together.
pub(crate) const LONGEST_LOOKBACK: Span = Span::ms(20_000);

/// Creates a counter that covers the longest window that any rule uses.
pub(crate) fn recent_counter() -> WindowedCounter {
    WindowedCounter::new(BUCKET_DURATION, BUCKET_COUNT)
}
