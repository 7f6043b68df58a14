//! One process of the program, as its clients know it: where it listens, and since when it may close connections.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The program serves for at least 50 ms after a signal that ends it: what has arrived a little earlier is due.
const SERVED_AFTER_SIGNAL: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Default)]
struct State {
    end_signalled_at: Option<Instant>,
    is_killed: bool,
}

/// A process, from its start to its end.
pub(crate) struct Incarnation {
    /// Where collectors connect.
    pub address: SocketAddr,
    /// What happens to it, for the report.
    pub round: String,
    /// When it listened.
    pub started_at: Instant,
    /// Whether unauthenticated peers may be disconnected to make room.
    pub may_evict: bool,
    /// Whether the process is stopped at times, so that nobody can be answered in time.
    pub is_stopped_at_times: bool,
    state: Mutex<State>,
}

impl Incarnation {
    pub fn new(address: SocketAddr, round: String, may_evict: bool, is_stopped_at_times: bool) -> Self {
        let started_at = Instant::now();
        Incarnation { address, round, started_at, may_evict, is_stopped_at_times, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A signal that ends it is sent now.
    pub fn note_end_signal(&self) {
        self.state().end_signalled_at.get_or_insert_with(Instant::now);
    }

    /// It is killed now: nobody can expect anything of it any more.
    pub fn note_kill(&self) {
        self.state().is_killed = true;
    }

    /// Whether it serves without an end in sight.
    pub fn is_serving(&self) -> bool {
        let state = self.state();
        !state.is_killed && state.end_signalled_at.is_none()
    }

    /// Whether something that has arrived at this time has to be answered.
    pub fn owes_answer(&self, arrived_at: Instant) -> bool {
        let state = *self.state();
        let is_in_time = state.end_signalled_at.is_none_or(|end| arrived_at <= end + SERVED_AFTER_SIGNAL);
        !state.is_killed && is_in_time
    }
}
