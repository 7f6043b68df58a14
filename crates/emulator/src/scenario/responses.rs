//! Responses, time-outs and retries of requests, and the counts of their outcomes.

use super::event::{RequestOutcome, ScheduledEvent};
use super::state::{Request, Scenario};
use crate::config::{RequestClassSpec, RetrySafety};
use crate::proxy::AttemptResult;
use crate::replica::Job;
use crate::{ProxyIndex, ReplicaIndex};
use whinwall_policy::time::Span;

/// The mean backoff before a retry by a client.
const CLIENT_RETRY_BACKOFF: Span = Span::ms(300);
/// Maximum number of retries of a request by a client.
const MAX_CLIENT_RETRIES: u32 = 2;

impl Scenario {
    /// Handles the arrival of a response at the proxy. It is dropped if the proxy no longer waits for it.
    pub(super) fn receive_response(&mut self, replica: ReplicaIndex, job: Job, outcome: RequestOutcome) {
        let is_awaited =
            |request: &&Request| request.attempt == job.attempt && request.replica == Some(replica);
        let Some(request) = self.requests.get(&job.request).filter(is_awaited) else { return };
        let (proxy, slice, proxy_retries) = (request.proxy, request.slice, request.proxy_retries);
        let latency = (outcome == RequestOutcome::Succeeded).then(|| self.now - request.arrived_at);
        self.record_attempt(proxy, replica, latency);
        let max_retries = self.proxies[proxy].retries(slice);
        let may_retry = match outcome {
            RequestOutcome::Succeeded => return self.complete_request(job.request),
            RequestOutcome::Rejected => proxy_retries < max_retries,
            // A retry without proof that the request did not run needs a retry limit above the default.
            RequestOutcome::Failed => proxy_retries + 1 < max_retries,
        };
        if !may_retry {
            return self.finish_request(job.request, outcome);
        }
        if let Some(request) = self.requests.get_mut(&job.request) {
            request.proxy_retries += 1;
        }
        self.send_attempt(job.request, Some(replica));
    }

    /// Counts the result of an attempt; `latency` is `None` if it failed.
    fn record_attempt(&mut self, proxy: ProxyIndex, replica: ReplicaIndex, latency: Option<Span>) {
        let counts = self.endpoint_counts.entry((proxy % self.config.zones, replica)).or_default();
        counts.attempts += 1.0;
        let result = match latency {
            Some(latency) => {
                counts.latency_seconds += latency.seconds();
                AttemptResult::Success
            }
            None => {
                counts.failed += 1.0;
                AttemptResult::Failure
            }
        };
        self.proxies[proxy].record_result(self.now, replica, result);
        let outstanding = self.outstanding_attempts.entry((proxy, replica)).or_default();
        *outstanding = outstanding.saturating_sub(1);
    }

    fn complete_request(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else { return };
        if !Scenario::is_measured(request.arrived_at) {
            return;
        }
        let RequestClassSpec { priority_weight, latency_objective, .. } =
            self.config.request_classes[request.class];
        self.outcome.succeeded += 1;
        if self.now - request.arrived_at <= latency_objective {
            self.priority_weights.timely += priority_weight;
        } else {
            self.outcome.late += 1;
        }
    }

    /// Handles the time-out of an attempt at the proxy.
    pub(super) fn time_out_request(&mut self, id: u64, attempt: u32) {
        let is_awaited = |request: &&Request| request.attempt == attempt;
        let Some(request) = self.requests.get(&id).filter(is_awaited) else { return };
        let (proxy, replica) = (request.proxy, request.replica);
        if let Some(replica) = replica {
            self.record_attempt(proxy, replica, None);
        }
        self.finish_request(id, RequestOutcome::Failed);
    }

    /// Answers the client that the request was unsuccessful. The client retries after a backoff if it may.
    pub(super) fn finish_request(&mut self, id: u64, outcome: RequestOutcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if outcome == RequestOutcome::Failed || request.replica.is_some() {
            self.demand_counts.entry((request.slice, request.class)).or_default().failed += 1.0;
        }
        let retry_safety = self.config.request_classes[request.class].retry_safety;
        let is_safe_to_retry = outcome == RequestOutcome::Rejected || retry_safety == RetrySafety::Idempotent;
        if is_safe_to_retry && request.client_retries < MAX_CLIENT_RETRIES {
            request.client_retries += 1;
            request.proxy_retries = 0;
            request.attempt += 1;
            request.replica = None;
            let backoff = CLIENT_RETRY_BACKOFF.times(0.5 + self.random.draw());
            return self.schedule_after(backoff, ScheduledEvent::ClientRetries { request: id });
        }
        let arrived_at = request.arrived_at;
        self.requests.remove(&id);
        if Scenario::is_measured(arrived_at) {
            match outcome {
                RequestOutcome::Rejected => self.outcome.rejected += 1,
                _ => self.outcome.failed += 1,
            }
        }
    }
}
