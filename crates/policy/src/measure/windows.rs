//! The windows in which reports are looked at, and what is taken for noise in them. Measures and rules share these.

use crate::time::Span;

/// The window of load estimates (docs/design.md: shorter is noise, longer misses slices in demand for ten seconds).
pub(crate) const LOAD_WINDOW: Span = Span::ms(8000);
/// The shorter window that replication looks at: a key in demand may be gone in ten seconds.
pub(crate) const BURST_WINDOW: Span = Span::ms(3000);
/// The window in which a replica's answers are looked at, besides the lag of the reports (docs/design.md, Outlier ejection).
pub(crate) const RECENT_WINDOW: Span = Span::ms(3000);
/// Requests below which a mean or a share says nothing (docs/design.md, Outlier ejection: six attempts).
pub(crate) const MIN_SAMPLES: f64 = 6.0;
/// The share of failed requests that is taken for requests that are retried (docs/design.md: seven tenths).
pub(crate) const RETRIED_SHARE_OF_FAILURES: f64 = 0.7;
