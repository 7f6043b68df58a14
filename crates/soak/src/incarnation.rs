//! The clients' view of one controller process: its address, and the time from which it may close connections.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The program serves for at least 50 ms after a signal that ends it. Requests that arrive up to 40 ms after the signal
/// have to be answered.
const SERVED_AFTER_SIGNAL: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Default)]
struct State {
    end_signalled_at: Option<Instant>,
    is_killed: bool,
}

/// A controller process, from start-up to exit.
pub(crate) struct Incarnation {
    /// The address of the collectors' listener.
    pub address: SocketAddr,
    /// The description of the round, for the report.
    pub round: String,
    /// When the process began to listen.
    pub started_at: Instant,
    /// True if unauthenticated peers may be disconnected in favour of others.
    pub may_evict: bool,
    /// True if the process is stopped temporarily, so that answers may be late.
    pub has_stop_fault: bool,
    state: Mutex<State>,
}

impl Incarnation {
    pub fn new(address: SocketAddr, round: String, may_evict: bool, has_stop_fault: bool) -> Self {
        let started_at = Instant::now();
        Incarnation { address, round, started_at, may_evict, has_stop_fault, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a signal that ends the process is being sent.
    pub fn note_end_signal(&self) {
        self.state().end_signalled_at.get_or_insert_with(Instant::now);
    }

    /// Records that the process is being killed; no answer is required from then on.
    pub fn note_kill(&self) {
        self.state().is_killed = true;
    }

    /// Returns true until the process is signalled to end or killed.
    pub fn is_serving(&self) -> bool {
        let state = self.state();
        !state.is_killed && state.end_signalled_at.is_none()
    }

    /// Returns true if a request that arrived at `arrived_at` has to be answered.
    pub fn requires_answer(&self, arrived_at: Instant) -> bool {
        let state = *self.state();
        let is_in_time = state.end_signalled_at.is_none_or(|end| arrived_at <= end + SERVED_AFTER_SIGNAL);
        !state.is_killed && is_in_time
    }
}
