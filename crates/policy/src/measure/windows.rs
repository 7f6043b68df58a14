//! The time windows over which reports are evaluated, and noise thresholds. Measures and rules share them.

use crate::time::Span;

/// The window of load estimates. A shorter one is too noisy, a longer one misses slices that are hot for 10 s
/// (docs/design.md).
pub(crate) const LOAD_WINDOW: Span = Span::ms(8000);
/// The shorter window used by replication, because a hot key may be hot for only 10 s.
pub(crate) const BURST_WINDOW: Span = Span::ms(3000);
/// The window, in addition to the lag of the reports, over which a replica's answers are evaluated
/// (docs/design.md, Outlier ejection).
pub(crate) const RECENT_WINDOW: Span = Span::ms(3000);
/// The minimum number of requests for a meaningful mean or share (docs/design.md, Outlier ejection: six attempts).
pub(crate) const MIN_SAMPLES: f64 = 6.0;
/// The share of failed requests that is assumed to be retried (docs/design.md: seven tenths).
pub(crate) const RETRIED_SHARE_OF_FAILURES: f64 = 0.7;
