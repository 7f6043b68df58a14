//! Clients that send requests continuously, keep their connections open, and check how each request ends.

mod collector;
pub(crate) mod http;
mod management;

use crate::incarnation::Incarnation;
use crate::ledger::Ledger;
use crate::violation::Violations;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use whinwall_policy::random::Random;

/// The number of clients of each kind.
const MANAGEMENT_CLIENTS: u64 = 8;
const COLLECTORS: u64 = 4;
const UNAUTHENTICATED_PEERS: u64 = 4;
/// Long enough that a missing answer, not a slow one, is the cause of a time-out.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// The delay before a client reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// The longest pause between two parts of a request.
const MAX_PART_DELAY_MS: f64 = 30.0;
/// The share of requests that are sent in two parts.
const SPLIT_REQUEST_SHARE: f64 = 0.25;

/// The state shared by all clients of a run.
#[derive(Clone)]
pub(crate) struct Shared {
    pub socket: PathBuf,
    pub incarnation: Arc<Mutex<Option<Arc<Incarnation>>>>,
    pub ledger: Ledger,
    pub violations: Violations,
    pub answered: Arc<AtomicU64>,
    pub stop: Arc<AtomicBool>,
}

impl Shared {
    /// Returns the current process, or none before the first start-up.
    pub fn incarnation(&self) -> Option<Arc<Incarnation>> {
        self.incarnation.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub fn set_incarnation(&self, incarnation: Option<Arc<Incarnation>>) {
        *self.incarnation.lock().unwrap_or_else(PoisonError::into_inner) = incarnation;
    }

    pub fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    pub fn count_answer(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }
}

/// Running clients; dropping them stops them.
pub(crate) struct Clients {
    shared: Shared,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(shared: &Shared, seed: u64) -> Self {
        let mut threads = Vec::new();
        let mut start = |kind: u64, count: u64, run: fn(&Shared, u64, Random)| {
            for number in 0..count {
                let (shared, random) = (shared.clone(), Random::from_seed(seed * 1000 + kind * 100 + number));
                threads.push(std::thread::spawn(move || run(&shared, number, random)));
            }
        };
        start(1, MANAGEMENT_CLIENTS, management::run);
        start(2, COLLECTORS, collector::run_authenticated);
        start(3, UNAUTHENTICATED_PEERS, collector::run_unauthenticated);
        Clients { shared: shared.clone(), threads }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}

/// Draws the position at which a request is split and the delay of its second part, or none if it is sent at once.
fn draw_split(random: &mut Random, length: usize) -> Option<(usize, Duration)> {
    if length < 2 || random.draw() >= SPLIT_REQUEST_SHARE {
        return None;
    }
    let position = 1 + (random.draw() * (length - 1) as f64) as usize;
    Some((position.min(length - 1), Duration::from_secs_f64(random.draw() * MAX_PART_DELAY_MS / 1000.0)))
}
