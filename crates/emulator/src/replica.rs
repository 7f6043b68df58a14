//! A replica: cores, a queue, keys that it remembers, a cold start in which it falls over when it is pushed.

use crate::sizes::Sizes;
use crate::ProxyIx;
use std::collections::{BTreeMap, VecDeque};
use whinwall_policy::random::Random;
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::windowed_counter::WindowedCounter;

/// An request at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    pub request: u64,
    /// Which of the request's tries.
    pub attempt: u32,
    pub key: u32,
    /// Which proxy it came from.
    pub from: ProxyIx,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Up,
    /// Takes all, does nothing.
    Hung,
    /// Nothing comes back from it, though it works.
    Silent,
    /// Nobody is there: connections fail at once.
    Down,
}

/// What becomes of a job that comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Offer {
    /// Proof that it did not run.
    Refused,
    /// An error, quickly; it may have run.
    Failed,
    Waits,
    /// It runs, for so long.
    Runs(Span),
    /// Pushed over while cold: it falls, with all that it had.
    Falls,
}

pub struct Replica {
    pub state: State,
    /// Since when its process runs; grows with each restart, and what an earlier one had is gone.
    pub started: Option<Moment>,
    pub incarnation: u64,
    pub slow: f64,
    /// The share of requests that fail quickly.
    pub failing: f64,
    pub draining: bool,
    running: usize,
    queue: VecDeque<Job>,
    /// By key, when it was last met.
    keys: BTreeMap<u32, Moment>,
    /// Proxies that hold a connection, and when each last used it.
    connections: BTreeMap<ProxyIx, Moment>,
    came: WindowedCounter,
}

impl Replica {
    pub fn new() -> Self {
        Replica {
            state: State::Up,
            started: None,
            incarnation: 0,
            slow: 1.0,
            failing: 0.0,
            draining: false,
            running: 0,
            queue: VecDeque::new(),
            keys: BTreeMap::new(),
            connections: BTreeMap::new(),
            came: WindowedCounter::new(Span::ms(100), 12),
        }
    }

    /// A new process: cold, and empty.
    pub fn restart(&mut self, now: Moment) {
        let (incarnation, came) = (self.incarnation + 1, WindowedCounter::new(Span::ms(100), 12));
        *self = Replica { started: Some(now), incarnation, came, ..Replica::new() };
    }

    pub fn falls(&mut self) {
        (self.state, self.running, self.incarnation) = (State::Down, 0, self.incarnation + 1);
        self.queue.clear();
        self.connections.clear();
    }

    /// The part of its full speed that it has.
    pub fn warmth(&self, now: Moment, sizes: &Sizes) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = (now - started).seconds() / sizes.warm_after.seconds();
        (sizes.cold_share + (1.0 - sizes.cold_share) * part).min(1.0)
    }

    pub fn is_cold(&self, now: Moment, sizes: &Sizes) -> bool {
        self.started.is_some_and(|at| now - at < sizes.warm_after)
    }

    /// What came in the last second, as a multiple of what it could do.
    pub fn push(&self, now: Moment, sizes: &Sizes) -> f64 {
        self.came.sum(now, Span::ms(1000)) / (sizes.capacity() * self.warmth(now, sizes))
    }

    pub fn offer(&mut self, now: Moment, job: Job, sizes: &Sizes, random: &mut Random) -> Offer {
        if self.state == State::Down {
            return Offer::Refused;
        }
        if !self.connects(now, job.from, sizes) {
            return Offer::Refused;
        }
        self.came.add(now, 1.0);
        if self.is_cold(now, sizes) && self.push(now, sizes) > sizes.fall_multiple {
            self.falls();
            return Offer::Falls;
        }
        if random.draw() < self.failing {
            return Offer::Failed;
        }
        if self.queue.len() >= sizes.queue {
            return Offer::Refused;
        }
        if self.state == State::Hung || self.running >= sizes.cores {
            self.queue.push_back(job);
            return Offer::Waits;
        }
        self.running += 1;
        Offer::Runs(self.takes(now, job.key, sizes, random))
    }

    /// One that is there already is used again; an idle one gives way to a new one, where all are used nobody
    /// does.
    fn connects(&mut self, now: Moment, from: ProxyIx, sizes: &Sizes) -> bool {
        let full = self.connections.len() >= sizes.connections && !self.connections.contains_key(&from);
        if full {
            self.connections.retain(|_, used| now - *used < sizes.idle);
            if self.connections.len() >= sizes.connections {
                return false;
            }
        }
        self.connections.insert(from, now);
        true
    }

    fn takes(&mut self, now: Moment, key: u32, sizes: &Sizes, random: &mut Random) -> Span {
        let known = self.keys.insert(key, now).is_some_and(|met| now - met < sizes.remembered);
        let factor = if known { 1.0 } else { sizes.cold_factor };
        let spread = 0.5 + random.draw();
        sizes.service.times(factor * spread * self.slow / self.warmth(now, sizes))
    }

    /// What it has in hand, the slower it is the more that counts.
    pub fn burden(&self) -> usize {
        ((self.running + self.queue.len()) as f64 * self.slow) as usize
    }

    /// One is through; the next that waits runs for so long.
    pub fn done(&mut self, now: Moment, sizes: &Sizes, random: &mut Random) -> Option<(Job, Span)> {
        self.running = self.running.saturating_sub(1);
        if matches!(self.state, State::Hung | State::Down) {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.running += 1;
        Some((next, self.takes(now, next.key, sizes, random)))
    }

    /// It goes on after a hang: as many as it has cores for run.
    pub fn wakes(&mut self, now: Moment, sizes: &Sizes, random: &mut Random) -> Vec<(Job, Span)> {
        self.state = State::Up;
        let free = sizes.cores.saturating_sub(self.running);
        let next: Vec<_> = (0..free).filter_map(|_| self.queue.pop_front()).collect();
        self.running += next.len();
        next.into_iter().map(|job| (job, self.takes(now, job.key, sizes, random))).collect()
    }
}

impl Default for Replica {
    fn default() -> Self {
        Replica::new()
    }
}
