//! A replica with cores, a queue, a key cache and a limited number of connections. It crashes when overloaded while
//! cold.

use crate::config::ScenarioConfig;
use crate::ProxyIndex;
use std::collections::{BTreeMap, VecDeque};
use whinwall_policy::random::Random;
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::windowed_counter::WindowedCounter;

/// The length of the slots in which arrivals are counted.
const ARRIVAL_SLOT: Span = Span::ms(100);
/// The number of the slots in which arrivals are counted.
const ARRIVAL_SLOTS: usize = 12;
/// The window for the load factor of a replica.
const LOAD_WINDOW: Span = Span::ms(1000);

/// An attempt of a request at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// The number of the request.
    pub request: u64,
    /// The number of the attempt within the request.
    pub attempt: u32,
    /// The key that the request reads or writes.
    pub key: u32,
    /// The sending proxy.
    pub proxy: ProxyIndex,
}

/// A job that a core has started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedJob {
    /// The job.
    pub job: Job,
    /// The time until the job finishes.
    pub service_time: Span,
}

/// The state of a replica's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicaState {
    /// It serves requests.
    Up,
    /// It accepts jobs but runs none.
    Hung,
    /// It runs jobs, but its responses are lost.
    Silent,
    /// Its process has ended, and connection attempts fail immediately.
    Down,
}

/// The result of the arrival of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Rejected: the job provably did not run.
    Rejected,
    /// Failed immediately with an error; the job may have run.
    Failed,
    /// Waiting in the queue.
    Queued,
    /// Started, with this service time.
    Running(Span),
    /// The replica was overloaded while cold and crashed. All its jobs are lost.
    Crashed,
}

/// One replica.
pub struct Replica {
    /// The state of the process.
    pub state: ReplicaState,
    /// The start time of the process, or `None` if it was started before the scenario.
    pub started_at: Option<Moment>,
    /// Incremented by each start and each crash. The jobs of an earlier incarnation are lost.
    pub incarnation: u64,
    /// The factor by which service times are longer than those of other replicas.
    pub slowdown: f64,
    /// The share of jobs, from 0 to 1, that fail immediately.
    pub error_share: f64,
    running_jobs: usize,
    queue: VecDeque<Job>,
    /// By key, the time of its last use.
    key_last_used: BTreeMap<u32, Moment>,
    /// By proxy with a connection, the time at which the connection was last used.
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
            running_jobs: 0,
            queue: VecDeque::new(),
            key_last_used: BTreeMap::new(),
            connections: BTreeMap::new(),
            arrivals: WindowedCounter::new(ARRIVAL_SLOT, ARRIVAL_SLOTS),
        }
    }
}

impl Replica {
    /// Starts a new process, which is cold and has no jobs.
    pub fn restart(&mut self, now: Moment) {
        let incarnation = self.incarnation + 1;
        *self = Replica { started_at: Some(now), incarnation, ..Replica::default() };
    }

    /// Ends the process and drops its jobs.
    pub fn crash(&mut self) {
        self.state = ReplicaState::Down;
        self.running_jobs = 0;
        self.incarnation += 1;
        self.queue.clear();
        self.connections.clear();
    }

    /// Returns the current speed as a fraction of the full speed.
    pub fn warmth(&self, now: Moment, config: &ScenarioConfig) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = (now - started_at).seconds() / config.warm_up.seconds();
        (config.initial_warmth + (1.0 - config.initial_warmth) * progress).min(1.0)
    }

    /// Returns true while the replica is warming up.
    pub fn is_cold(&self, now: Moment, config: &ScenarioConfig) -> bool {
        self.started_at.is_some_and(|started_at| now - started_at < config.warm_up)
    }

    /// Returns the arrivals of the last second relative to the current capacity.
    pub fn load_factor(&self, now: Moment, config: &ScenarioConfig) -> f64 {
        self.arrivals.sum(now, LOAD_WINDOW) / (config.capacity() * self.warmth(now, config))
    }

    /// Handles the arrival of a job.
    pub fn admit(
        &mut self,
        now: Moment,
        job: Job,
        config: &ScenarioConfig,
        random: &mut Random,
    ) -> Admission {
        if self.state == ReplicaState::Down || !self.acquire_connection(now, job.proxy, config) {
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
        if self.state == ReplicaState::Hung || self.running_jobs >= config.cores {
            self.queue.push_back(job);
            return Admission::Queued;
        }
        self.running_jobs += 1;
        Admission::Running(self.draw_service_time(now, job.key, config, random))
    }

    /// Reuses the proxy's connection or opens one, closing idle connections if the limit is reached. Returns false if
    /// no connection is available.
    fn acquire_connection(&mut self, now: Moment, proxy: ProxyIndex, config: &ScenarioConfig) -> bool {
        let is_full =
            self.connections.len() >= config.max_connections && !self.connections.contains_key(&proxy);
        if is_full {
            self.connections.retain(|_, used_at| now - *used_at < config.idle_connection_timeout);
            if self.connections.len() >= config.max_connections {
                return false;
            }
        }
        self.connections.insert(proxy, now);
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
            self.key_last_used.insert(key, now).is_some_and(|used_at| now - used_at < config.key_cache_ttl);
        let cache_factor = if is_cached { 1.0 } else { config.uncached_factor };
        let spread = 0.5 + random.draw();
        config.service_time.times(cache_factor * spread * self.slowdown / self.warmth(now, config))
    }

    /// Returns the number of running and queued jobs multiplied by the slowdown.
    pub fn outstanding_work(&self) -> usize {
        ((self.running_jobs + self.queue.len()) as f64 * self.slowdown) as usize
    }

    /// Finishes a job and starts the next queued job, if any.
    pub fn finish_job(
        &mut self,
        now: Moment,
        config: &ScenarioConfig,
        random: &mut Random,
    ) -> Option<StartedJob> {
        self.running_jobs = self.running_jobs.saturating_sub(1);
        if matches!(self.state, ReplicaState::Hung | ReplicaState::Down) {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running_jobs += 1;
        Some(StartedJob { job, service_time: self.draw_service_time(now, job.key, config, random) })
    }

    /// Resumes after a hang and starts a queued job on each free core.
    pub fn resume(&mut self, now: Moment, config: &ScenarioConfig, random: &mut Random) -> Vec<StartedJob> {
        self.state = ReplicaState::Up;
        let free_cores = config.cores.saturating_sub(self.running_jobs);
        let jobs: Vec<_> = (0..free_cores).filter_map(|_| self.queue.pop_front()).collect();
        self.running_jobs += jobs.len();
        let start =
            |job: Job| StartedJob { job, service_time: self.draw_service_time(now, job.key, config, random) };
        jobs.into_iter().map(start).collect()
    }
}
