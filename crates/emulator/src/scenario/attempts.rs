//! Attempts of requests: routed by proxies and run by replicas.

use super::event::{RequestOutcome, ScheduledEvent};
use super::state::{replica_name, ListedState, Scenario, NETWORK_DELAY};
use crate::config::RetrySafety;
use crate::policy::{self, Policy};
use crate::replica::{Admission, Job, ReplicaState, StartedJob};
use crate::rules::NO_COLD_OVERLOAD;
use crate::{ProxyIndex, ReplicaIndex, SliceIndex};
use whinwall_policy::time::Span;

/// The network delay between zones.
const CROSS_ZONE_DELAY: Span = Span::ms(4);
/// The share of failed jobs that run before they fail.
const FAILED_AFTER_RUNNING_SHARE: f64 = 0.5;

impl Scenario {
    /// Sends an attempt of a request. For a retry by the proxy, `tried` is the replica of the previous attempt.
    pub(super) fn send_attempt(&mut self, id: u64, tried: Option<ReplicaIndex>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempt += 1;
        request.replica = None;
        let (slice, class, proxy) = (request.slice, request.class, request.proxy);
        let job = Job { request: id, attempt: request.attempt, key: request.key, proxy };
        if tried.is_none() {
            self.demand_counts.entry((slice, class)).or_default().requests += 1.0;
        }
        let is_admitted = tried.is_some()
            || !self.policy.uses_tables()
            || self.proxies[proxy].admits(slice, class, &mut self.random);
        let picked = self.pick_replica(proxy, slice, tried);
        let Some(replica) = picked.filter(|_| is_admitted) else {
            return self.finish_request(id, RequestOutcome::Rejected);
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.replica = Some(replica);
        }
        *self.outstanding_attempts.entry((proxy, replica)).or_default() += 1;
        let is_same_zone = proxy % self.config.zones == replica % self.config.zones;
        let delay = if is_same_zone { NETWORK_DELAY } else { CROSS_ZONE_DELAY };
        self.schedule_after(delay, ScheduledEvent::JobReachesReplica { replica, job });
        let timeout = ScheduledEvent::RequestTimesOut { request: id, attempt: job.attempt };
        self.schedule_after(self.config.request_timeout, timeout);
    }

    fn pick_replica(
        &mut self,
        proxy: ProxyIndex,
        slice: SliceIndex,
        tried: Option<ReplicaIndex>,
    ) -> Option<ReplicaIndex> {
        if self.policy.uses_tables() {
            let target = self.controlled_slice(slice);
            return self.proxies[proxy].pick(self.now, target, tried, &mut self.random);
        }
        let is_listed: Vec<_> =
            self.listed_states.iter().map(|state| *state == ListedState::Active).collect();
        let outstanding = |replica| self.outstanding_attempts.get(&(proxy, replica)).copied().unwrap_or(0);
        policy::pick(self.policy, slice, &is_listed, &self.replicas, &outstanding, &mut self.random)
    }

    /// Handles the arrival of an attempt at its replica.
    pub(super) fn handle_job_arrival(&mut self, replica: ReplicaIndex, job: Job) {
        self.check_drain_rule(replica, job.request);
        let was_cold = self.replicas[replica].is_cold(self.now, &self.config);
        let load_factor = self.replicas[replica].load_factor(self.now, &self.config);
        match self.replicas[replica].admit(self.now, job, &self.config, &mut self.random) {
            Admission::Queued => {}
            Admission::Running(service_time) => {
                self.schedule_finish(replica, StartedJob { job, service_time });
            }
            Admission::Rejected => self.send_response(replica, job, RequestOutcome::Rejected),
            Admission::Failed => {
                if self.random.draw() < FAILED_AFTER_RUNNING_SHARE {
                    self.record_execution(job);
                }
                self.send_response(replica, job, RequestOutcome::Failed);
            }
            Admission::Crashed => {
                if was_cold {
                    self.record_cold_overload(replica, load_factor);
                }
                self.send_response(replica, job, RequestOutcome::Failed);
                self.schedule_restart(replica);
            }
        }
    }

    /// Rule 4: records the crash of a cold replica due to overload.
    fn record_cold_overload(&mut self, replica: ReplicaIndex, load_factor: f64) {
        if self.policy == Policy::Controlled && self.now > self.exempt_until {
            let name = replica_name(replica);
            let limit = self.config.cold_overload_factor;
            let description = format!(
                "cold replica {name} crashed at {load_factor:.1} times its capacity; limit {limit:.1} times"
            );
            self.rules.record_violation(NO_COLD_OVERLOAD, self.now, description, &name);
        }
    }

    pub(super) fn schedule_finish(&mut self, replica: ReplicaIndex, started: StartedJob) {
        let incarnation = self.replicas[replica].incarnation;
        let event = ScheduledEvent::JobFinished { replica, incarnation, job: started.job };
        self.schedule_after(started.service_time, event);
    }

    fn send_response(&mut self, replica: ReplicaIndex, job: Job, outcome: RequestOutcome) {
        if self.replicas[replica].state != ReplicaState::Silent {
            self.schedule_after(NETWORK_DELAY, ScheduledEvent::ResponseArrives { replica, job, outcome });
        }
    }

    /// Rule 2: records the execution of a job of an unfinished request whose class allows at most one execution.
    fn record_execution(&mut self, job: Job) {
        let Some(request) = self.requests.get(&job.request) else { return };
        if self.config.request_classes[request.class].retry_safety == RetrySafety::AtMostOnce {
            self.rules.record_execution(self.now, job.request);
        }
    }

    /// Handles the end of a job, unless the process of the replica has ended or hangs.
    pub(super) fn finish_job(&mut self, replica: ReplicaIndex, incarnation: u64, job: Job) {
        let is_outdated = self.replicas[replica].incarnation != incarnation;
        if is_outdated || self.replicas[replica].state == ReplicaState::Hung {
            return;
        }
        self.record_execution(job);
        self.send_response(replica, job, RequestOutcome::Succeeded);
        if let Some(next) = self.replicas[replica].finish_job(self.now, &self.config, &mut self.random) {
            self.schedule_finish(replica, next);
        }
    }
}
