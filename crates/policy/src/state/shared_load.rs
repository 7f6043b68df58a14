//! What is remembered of replicas that several controllers steer.

use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

/// Reports of a moment are complete, and the sample of this controller's own load beside them, one bucket later.
pub(crate) const SAMPLE_BUCKET_DURATION: Span = Span::ms(500);
/// How many samples of this controller's own load are kept.
pub(crate) const SAMPLE_BUCKET_COUNT: usize = 40;

/// What is remembered of sharing as a whole.
#[derive(Default)]
pub(crate) struct SharingState {
    /// Whether some replica is not everyone's.
    pub is_active: bool,
    /// How much more than a report period the longest of the replicas' reports covers.
    pub window_excess: Span,
    /// When the own load was last sampled.
    pub sampled_at: Option<Moment>,
    /// The number of the round for which draws were last made.
    pub drawn_round: u64,
}

/// The load of a replica that several controllers steer, own and others'.
pub(crate) struct SharedLoad {
    /// The length of the time window that the newest report on it covers.
    pub report_window: Span,
    /// Requests that this controller's slices brought, by time.
    pub own_requests: WindowedCounter,
    /// Requests a second that other controllers' slices bring, without those that are taken for retries.
    pub others_load: f64,
    /// The same with all retries.
    pub others_demand: f64,
    /// This round's random draw, from 0 to 1.
    pub round_draw: f64,
}

impl Default for SharedLoad {
    fn default() -> Self {
        SharedLoad {
            report_window: Span::default(),
            own_requests: WindowedCounter::new(SAMPLE_BUCKET_DURATION, SAMPLE_BUCKET_COUNT),
            others_load: 0.0,
            others_demand: 0.0,
            round_draw: 1.0,
        }
    }
}
