//! A replica: cores, a queue, a cache of keys, limited connections, and a slow start in which overload crashes it.

use crate::config::ScenarioConfig;
use crate::ProxyIndex;
use std::collections::{BTreeMap, VecDeque};
use whinwall_policy::random::Random;
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::windowed_counter::WindowedCounter;

/// The interval and the number of the slots in which arrivals are counted.
const ARRIVAL_SLOT: Span = Span::ms(100);
const ARRIVAL_SLOTS: usize = 12;
/// The window over which a replica's load is measured.
const LOAD_WINDOW: Span = Span::ms(1000);

/// An attempt of a request at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// The request's number.
    pub request: u64,
    /// Which of the request's attempts it is.
    pub attempt: u32,
    /// The key that the request reads or writes.
    pub key: u32,
    /// The proxy that sent it.
    pub from: ProxyIndex,
}

/// A job that a core has begun to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedJob {
    /// The job.
    pub job: Job,
    /// How long it runs.
    pub service_time: Span,
}

/// What a replica does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicaState {
    /// It serves.
    Up,
    /// It accepts jobs and runs none.
    Hung,
    /// It runs jobs, but its responses are lost.
    Silent,
    /// Its process has ended: connections fail at once.
    Down,
}

/// What becomes of a job that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Rejected, which proves that it did not run.
    Rejected,
    /// Failed quickly with an error; it may have run.
    Failed,
    /// Queued.
    Queued,
    /// Running; it takes this long.
    Running(Span),
    /// The replica was overloaded while warming up and crashes, with all its jobs.
    Crashed,
}

/// One replica.
pub struct Replica {
    /// What it does.
    pub state: ReplicaState,
    /// When its process was started; none for those that have been up since before the scenario.
    pub started_at: Option<Moment>,
    /// Grows with each start and each crash; the jobs of an earlier incarnation are lost.
    pub incarnation: u64,
    /// The factor by which it is slower than others.
    pub slowdown: f64,
    /// The share of jobs that it fails quickly, 0 to 1.
    pub error_share: f64,
    running: usize,
    queue: VecDeque<Job>,
    /// By key, when it was last used.
    keys: BTreeMap<u32, Moment>,
    /// Proxies that hold a connection, and when each last used it.
    connections: BTreeMap<ProxyIndex, Moment>,
    arrivals: WindowedCounter,
}

impl Default for Replica {
    fn default() -> Self {
        Replica {
            state: ReplicaState::Up,
            started_at: None,
            incarnation: 0,
            slowdown: 1.0,
            error_share: 0.0,
            running: 0,
            queue: VecDeque::new(),
            keys: BTreeMap::new(),
            connections: BTreeMap::new(),
            arrivals: WindowedCounter::new(ARRIVAL_SLOT, ARRIVAL_SLOTS),
        }
    }
}

impl Replica {
    /// Starts a new process: cold, and without jobs.
    pub fn restart(&mut self, now: Moment) {
        let incarnation = self.incarnation + 1;
        *self = Replica { started_at: Some(now), incarnation, ..Replica::default() };
    }

    /// Ends the process, with all its jobs.
    pub fn crash(&mut self) {
        self.state = ReplicaState::Down;
        self.running = 0;
        self.incarnation += 1;
        self.queue.clear();
        self.connections.clear();
    }

    /// The fraction of its full speed that it has while it warms up.
    pub fn warmth(&self, now: Moment, config: &ScenarioConfig) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = (now - started_at).seconds() / config.warm_up.seconds();
        (config.initial_warmth + (1.0 - config.initial_warmth) * progress).min(1.0)
    }

    /// Whether it is still warming up.
    pub fn is_cold(&self, now: Moment, config: &ScenarioConfig) -> bool {
        self.started_at.is_some_and(|started_at| now - started_at < config.warm_up)
    }

    /// The arrivals of the last second, as a multiple of what it could serve in that time.
    pub fn load_factor(&self, now: Moment, config: &ScenarioConfig) -> f64 {
        self.arrivals.sum(now, LOAD_WINDOW) / (config.capacity() * self.warmth(now, config))
    }

    /// Admits a job that arrives, or not.
    pub fn admit(
        &mut self,
        now: Moment,
        job: Job,
        config: &ScenarioConfig,
        random: &mut Random,
    ) -> Admission {
        if self.state == ReplicaState::Down || !self.acquire_connection(now, job.from, config) {
            return Admission::Rejected;
        }
        self.arrivals.add(now, 1.0);
        if self.is_cold(now, config) && self.load_factor(now, config) > config.cold_overload_factor {
            self.crash();
            return Admission::Crashed;
        }
        if random.draw() < self.error_share {
            return Admission::Failed;
        }
        if self.queue.len() >= config.queue_capacity {
            return Admission::Rejected;
        }
        if self.state == ReplicaState::Hung || self.running >= config.cores {
            self.queue.push_back(job);
            return Admission::Queued;
        }
        self.running += 1;
        Admission::Running(self.draw_service_time(now, job.key, config, random))
    }

    /// Reuses the proxy's connection or opens one, for which idle ones are closed where all are taken; whether
    /// there is one.
    fn acquire_connection(&mut self, now: Moment, from: ProxyIndex, config: &ScenarioConfig) -> bool {
        let is_full =
            self.connections.len() >= config.max_connections && !self.connections.contains_key(&from);
        if is_full {
            self.connections.retain(|_, used_at| now - *used_at < config.idle_connection_timeout);
            if self.connections.len() >= config.max_connections {
                return false;
            }
        }
        self.connections.insert(from, now);
        true
    }

    fn draw_service_time(
        &mut self,
        now: Moment,
        key: u32,
        config: &ScenarioConfig,
        random: &mut Random,
    ) -> Span {
        let is_cached =
            self.keys.insert(key, now).is_some_and(|used_at| now - used_at < config.key_cache_ttl);
        let cache_factor = if is_cached { 1.0 } else { config.uncached_factor };
        let spread = 0.5 + random.draw();
        config.service_time.times(cache_factor * spread * self.slowdown / self.warmth(now, config))
    }

    /// The number of its jobs, times its slowdown.
    pub fn outstanding_work(&self) -> usize {
        ((self.running + self.queue.len()) as f64 * self.slowdown) as usize
    }

    /// Finishes a job, and starts the next in the queue.
    pub fn finish_job(
        &mut self,
        now: Moment,
        config: &ScenarioConfig,
        random: &mut Random,
    ) -> Option<StartedJob> {
        self.running = self.running.saturating_sub(1);
        if matches!(self.state, ReplicaState::Hung | ReplicaState::Down) {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running += 1;
        Some(StartedJob { job, service_time: self.draw_service_time(now, job.key, config, random) })
    }

    /// Resumes after a hang: starts as many queued jobs as cores are free.
    pub fn resume(&mut self, now: Moment, config: &ScenarioConfig, random: &mut Random) -> Vec<StartedJob> {
        self.state = ReplicaState::Up;
        let free_cores = config.cores.saturating_sub(self.running);
        let jobs: Vec<_> = (0..free_cores).filter_map(|_| self.queue.pop_front()).collect();
        self.running += jobs.len();
        let start =
            |job: Job| StartedJob { job, service_time: self.draw_service_time(now, job.key, config, random) };
        jobs.into_iter().map(start).collect()
    }
}
