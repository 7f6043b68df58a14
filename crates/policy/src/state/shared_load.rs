//! State about replicas that several controllers steer.

use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

/// The duration of a sample bucket. Reports on a point in time, and the sample of this controller's own load at
/// that time, are complete one bucket later.
pub(crate) const SAMPLE_BUCKET_DURATION: Span = Span::ms(500);
/// The number of samples of this controller's own load that are kept.
pub(crate) const SAMPLE_BUCKET_COUNT: usize = 40;

/// State about sharing that does not belong to a single replica.
#[derive(Default)]
pub(crate) struct SharingState {
    /// True if at least one replica is not steered by all controllers.
    pub is_active: bool,
    /// The time by which the longest report window of the replicas exceeds a report period.
    pub window_excess: Span,
    /// The time at which this controller's own load was last sampled.
    pub sampled_at: Option<Moment>,
    /// The number of the last round with random draws.
    pub drawn_round: u64,
}

/// The load of a replica that several controllers steer, from this controller and from others.
pub(crate) struct SharedLoad {
    /// The time window of the newest report on the replica.
    pub report_window: Span,
    /// Requests from this controller's slices, by time.
    pub own_requests: WindowedCounter,
    /// Requests per second from other controllers' slices, without the estimated retries.
    pub others_load: f64,
    /// Requests per second from other controllers' slices, including all retries.
    pub others_demand: f64,
    /// The random draw of the current round, from 0 to 1.
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
