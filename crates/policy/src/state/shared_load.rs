//! What is remembered of replicas that several controllers steer.

use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

/// What is remembered of sharing as a whole.
#[derive(Default)]
pub struct SharingState {
    /// Some replica is not everyone's.
    pub is_active: bool,
    /// How much more than a period the longest of the replicas' reports covers.
    pub window_excess: Span,
    pub sampled_at: Option<Moment>,
    pub drawn_round: u64,
}
/// Reports of a moment are complete, and the sample of our own load beside them, one bucket later.
pub(crate) const SAMPLE_BUCKET: Span = Span::ms(500);
pub(crate) const SAMPLE_BUCKETS: usize = 40;
/// What is remembered of a replica that several controllers steer.
pub struct SharedLoad {
    /// How long a time the latest report of it covers.
    pub report_window: Span,
    /// What our own slices brought there, by time.
    pub own_requests: WindowedCounter,
    /// What other controllers' slices bring a second, without and with repeats.
    pub others_load: f64,
    pub others_demand: f64,
    /// This round's draw.
    pub round_draw: f64,
}
impl Default for SharedLoad {
    fn default() -> Self {
        SharedLoad {
            report_window: Span::default(),
            own_requests: WindowedCounter::new(SAMPLE_BUCKET, SAMPLE_BUCKETS),
            others_load: 0.0,
            others_demand: 0.0,
            round_draw: 1.0,
        }
    }
}
