//! A proxy. It admits requests according to the admission rates, picks replicas by the weights of its routing
//! tables, avoids replicas after consecutive failures, and limits retries.

use crate::command::ProxyCommand;
use crate::relay_store::set_endpoint;
use crate::{ControllerIndex, ReplicaIndex, RequestClassIndex, SliceIndex};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use whinwall_policy::random::Random;
use whinwall_policy::time::{Moment, Span};

/// The endpoints of a slice with their weights.
pub type RoutingTable = BTreeMap<ReplicaIndex, f64>;

/// Number of consecutive failures after which a proxy avoids a replica.
const FAILURES_BEFORE_AVOIDANCE: u32 = 5;
/// The time for which a proxy avoids a replica after the last of these failures.
const AVOIDANCE_PERIOD: Span = Span::ms(3000);
/// Maximum number of retries of a rejected attempt if no command sets another limit.
const DEFAULT_RETRIES: u8 = 1;

/// A slice and the controller that is responsible for it.
#[derive(Clone, Copy, Debug)]
pub struct ControlledSlice {
    /// The slice.
    pub slice: SliceIndex,
    /// The controller whose withdrawals apply to the slice.
    pub controller: ControllerIndex,
}

/// The result of an attempt as observed by its proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The replica served the attempt.
    Success,
    /// The replica rejected or failed the attempt, or did not answer in time.
    Failure,
}

/// Consecutive failures of a replica as observed by a proxy.
#[derive(Clone, Copy)]
struct FailureStreak {
    failures: u32,
    avoided_until: Moment,
}

/// One proxy.
#[derive(Clone, Default)]
pub struct Proxy {
    /// True while the proxy is connected to the relay.
    pub is_connected: bool,
    /// Controllers to which a connected proxy has no stream.
    pub disconnected_from: BTreeSet<ControllerIndex>,
    /// By controller, the time at which the proxy last opened its stream.
    pub connected_since: BTreeMap<ControllerIndex, Moment>,
    /// Shared until changed (copy on write), because thousands of proxies hold the same tables.
    tables: BTreeMap<SliceIndex, Arc<RoutingTable>>,
    /// Withdrawn replicas. A withdrawal applies to the slices of the controller that issued it.
    withdrawn_replicas: BTreeSet<(ControllerIndex, ReplicaIndex)>,
    /// By slice and request class; the slice is `None` for the rate of all slices.
    admission_rates: BTreeMap<(Option<SliceIndex>, RequestClassIndex), f64>,
    retries: BTreeMap<Option<SliceIndex>, u8>,
    failure_streaks: BTreeMap<ReplicaIndex, FailureStreak>,
}

impl Proxy {
    /// Replaces all tables with those of the relay's store. This happens each time a stream is opened.
    pub fn load_tables(&mut self, tables: &BTreeMap<SliceIndex, Arc<RoutingTable>>) {
        self.tables = tables.clone();
    }

    /// Returns true if the proxy receives the commands of a controller.
    pub fn has_stream(&self, controller: ControllerIndex) -> bool {
        self.is_connected && !self.disconnected_from.contains(&controller)
    }

    /// Applies a command of a controller.
    pub fn apply(&mut self, controller: ControllerIndex, command: &ProxyCommand) {
        match command {
            ProxyCommand::SetEndpoint { slice, replica, weight } => {
                set_endpoint(self.tables.entry(*slice).or_default(), *replica, *weight);
            }
            ProxyCommand::Withdraw { replica } => _ = self.withdrawn_replicas.insert((controller, *replica)),
            ProxyCommand::Reinstate { replica } => {
                _ = self.withdrawn_replicas.remove(&(controller, *replica));
            }
            ProxyCommand::SetAdmissionRate { slice, request_classes, admission_rate, retries } => {
                for class in request_classes {
                    self.admission_rates.insert((*slice, *class), *admission_rate);
                }
                self.retries.insert(*slice, *retries);
            }
        }
    }

    /// Returns the endpoints of a slice that its controller has not withdrawn, with their weights.
    pub fn endpoints(&self, target: ControlledSlice) -> impl Iterator<Item = (ReplicaIndex, f64)> + '_ {
        let endpoints = self.tables.get(&target.slice).into_iter().flat_map(|table| table.iter());
        endpoints
            .filter(move |(replica, _)| !self.withdrawn_replicas.contains(&(target.controller, **replica)))
            .map(|(replica, weight)| (*replica, *weight))
    }

    /// Returns true if there is no endpoint to pick for a slice.
    pub fn has_no_endpoint(&self, target: ControlledSlice) -> bool {
        self.endpoints(target).next().is_none()
    }

    /// Draws from the admission rates whether a request is admitted.
    pub fn admits(&self, slice: SliceIndex, class: RequestClassIndex, random: &mut Random) -> bool {
        let rate = |slice| self.admission_rates.get(&(slice, class)).copied().unwrap_or(1.0);
        random.draw() < rate(Some(slice)).min(rate(None))
    }

    /// Returns the maximum number of retries of an attempt that provably did not run.
    pub fn retries(&self, slice: SliceIndex) -> u8 {
        let configured = [self.retries.get(&Some(slice)), self.retries.get(&None)];
        configured.into_iter().flatten().min().copied().unwrap_or(DEFAULT_RETRIES)
    }

    /// Draws an endpoint by weight. Never returns `tried`, and returns an avoided endpoint only if all are avoided.
    pub fn pick(
        &self,
        now: Moment,
        target: ControlledSlice,
        tried: Option<ReplicaIndex>,
        random: &mut Random,
    ) -> Option<ReplicaIndex> {
        let endpoints: Vec<_> =
            self.endpoints(target).filter(|(replica, _)| Some(*replica) != tried).collect();
        let not_avoided: Vec<_> =
            endpoints.iter().copied().filter(|(replica, _)| !self.is_avoided(*replica, now)).collect();
        let candidates = if not_avoided.is_empty() { endpoints } else { not_avoided };
        let total_weight: f64 = candidates.iter().map(|(_, weight)| weight).sum();
        let mut remaining = random.draw() * total_weight;
        let drawn = candidates.iter().find(|(_, weight)| {
            remaining -= weight;
            remaining < 0.0
        });
        drawn.or(candidates.last()).map(|(replica, _)| *replica)
    }

    fn is_avoided(&self, replica: ReplicaIndex, now: Moment) -> bool {
        let streak = self.failure_streaks.get(&replica);
        streak
            .is_some_and(|streak| streak.failures >= FAILURES_BEFORE_AVOIDANCE && streak.avoided_until > now)
    }

    /// Records the result of an attempt at a replica.
    pub fn record_result(&mut self, now: Moment, replica: ReplicaIndex, result: AttemptResult) {
        let no_failures = FailureStreak { failures: 0, avoided_until: now };
        let streak = self.failure_streaks.entry(replica).or_insert(no_failures);
        *streak = match result {
            AttemptResult::Success => no_failures,
            AttemptResult::Failure => {
                FailureStreak { failures: streak.failures + 1, avoided_until: now + AVOIDANCE_PERIOD }
            }
        };
    }
}
