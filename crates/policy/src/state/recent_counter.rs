//! The counters of what was reported, which reach back as long as any rule looks.

use crate::time::Span;
use crate::windowed_counter::WindowedCounter;

const BUCKET_DURATION: Span = Span::ms(500);
const BUCKET_COUNT: usize = 40;
/// The longest time that any rule looks back: the buckets together.
pub(crate) const LONGEST_LOOKBACK: Span = Span::ms(20_000);

/// A counter that reaches back as long as any rule looks.
pub(crate) fn recent_counter() -> WindowedCounter {
    WindowedCounter::new(BUCKET_DURATION, BUCKET_COUNT)
}
