//! The periodic check for empty routing tables, and the check of requests to draining replicas.

use super::event::ScheduledEvent;
use super::run::TABLE_CHECK_INTERVAL;
use super::state::{replica_name, ListedState, Scenario};
use crate::policy::Policy;
use crate::replica::{Replica, ReplicaState};
use crate::rules::{TableId, DRAIN};
use crate::{ControllerIndex, ReplicaIndex, SliceIndex};
use whinwall_policy::time::{Moment, Span};

/// The time after the start of a controller in which rule 3 is not enforced for it.
const CONTROLLER_STARTUP_GRACE: Span = Span::ms(1000);
/// The minimum slowdown with which a replica does not count as healthy.
const UNHEALTHY_SLOWDOWN: f64 = 2.0;

impl Scenario {
    /// Rule 1: checks all connected proxies for slices without an endpoint.
    pub(super) fn check_empty_tables(&mut self) {
        self.schedule_after(TABLE_CHECK_INTERVAL, ScheduledEvent::CheckEmptyTables);
        let is_enforced = self.policy == Policy::Controlled && self.now >= self.exempt_until;
        if !is_enforced || !self.has_healthy_replica() {
            return self.rules.clear_empty_tables();
        }
        for (index, proxy) in self.proxies.iter().enumerate() {
            for slice in 0..self.config.slices {
                let target = self.controlled_slice(slice);
                let is_running = self.controllers[target.controller].reducer.is_some();
                let table = TableId { proxy: index, slice };
                if is_running && proxy.has_stream(target.controller) && proxy.has_no_endpoint(target) {
                    self.rules.record_empty_table(self.now, table, self.config.empty_table_grace);
                } else {
                    self.rules.record_endpoints(table);
                }
            }
        }
    }

    fn has_healthy_replica(&self) -> bool {
        let is_healthy = |replica: &Replica| {
            replica.state == ReplicaState::Up
                && !replica.is_cold(self.now, &self.config)
                && replica.error_share == 0.0
                && replica.slowdown < UNHEALTHY_SLOWDOWN
        };
        let mut replicas = self.replicas.iter().zip(&self.listed_states);
        replicas.any(|(replica, listed)| is_healthy(replica) && *listed == ListedState::Active)
    }

    /// Rule 3: checks a request on its arrival at a replica.
    pub(super) fn check_drain_rule(&mut self, replica: ReplicaIndex, request: u64) {
        let Some(request) = self.requests.get(&request) else { return };
        let (slice, proxy) = (request.slice, request.proxy);
        let controller = self.slice_controllers[slice];
        let Some(since) = self.drain_enforced_since(replica, slice, controller, proxy) else { return };
        let drained_for = self.now - since;
        let grace = self.config.drain_grace;
        let is_enforced = self.policy == Policy::Controlled && self.now > self.exempt_until + grace;
        if is_enforced && drained_for > grace && self.proxies[proxy].has_stream(controller) {
            let name = replica_name(replica);
            let (drained_seconds, grace_seconds) = (drained_for.seconds(), grace.seconds());
            let description = format!(
                "proxy {proxy} sent a request for slice {slice} of controller {controller} to {name}, which has been \
                draining for {drained_seconds:.1} s; grace period {grace_seconds:.1} s"
            );
            self.rules.record_violation(DRAIN, self.now, description, &name);
        }
    }

    /// Returns the time from which rule 3 is enforced for requests of this proxy and slice: the latest of the delivery
    /// of the drain to the controller, the end of the controller's startup grace, the assignment of the slice to it and
    /// the connection of the proxy. Returns `None` if no drain of the replica has been delivered to the controller.
    fn drain_enforced_since(
        &self,
        replica: ReplicaIndex,
        slice: SliceIndex,
        controller_index: ControllerIndex,
        proxy: usize,
    ) -> Option<Moment> {
        let controller = &self.controllers[controller_index];
        let draining_since = *controller.draining_since.get(&replica)?;
        let connected_since = self.proxies[proxy].connected_since.get(&controller_index).copied();
        let running_since = controller.started_at + CONTROLLER_STARTUP_GRACE;
        let since = draining_since.max(running_since).max(self.reassigned_at[slice]);
        Some(since.max(connected_since.unwrap_or_default()))
    }
}
