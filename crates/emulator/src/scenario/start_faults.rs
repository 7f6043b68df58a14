//! Starts faults in replicas, zones, controllers, relay, discovery and proxies.

use super::event::{ReleaseStage, ScheduledEvent};
use super::state::{replica_name, ListedState, Scenario};
use crate::fault::{Fault, FaultKind};
use crate::replica::ReplicaState;
use crate::{ControllerIndex, ReplicaIndex, ZoneIndex};
use whinwall_management_api::messages::Request;
use whinwall_overrides::{ChangeRequest, NewOverride, OverrideKind};
use whinwall_policy::time::Span;
use whinwall_routing::Event;
use whinwall_transport::StreamError;

/// The time after a fault of a controller, the relay or discovery in which the rules are not enforced.
const RECOVERY_PERIOD: Span = Span::ms(8000);
/// The time from the drain of the first batch of replaced replicas until the drain of the second one.
const SECOND_BATCH_DELAY: Span = Span::ms(3000);
/// The time from the end of a controller until another one takes over its slices.
const SLICE_TAKEOVER_DELAY: Span = Span::ms(1500);

/// Returns true if the rules are not enforced during a fault.
fn is_exempt(kind: &FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::WrongList { .. }
            | FaultKind::ZonePartitioned { .. }
            | FaultKind::RelayUnreachable
            | FaultKind::RelayUnresponsive
            | FaultKind::DiscoveryUnreachable
            | FaultKind::SlowChannel { .. }
    )
}

impl Scenario {
    /// Suspends the enforcement of the rules for at least `duration`.
    fn extend_exemption(&mut self, duration: Span) {
        self.exempt_until = self.exempt_until.max(self.now + duration);
    }

    /// Starts the fault with this index.
    pub(super) fn start_fault(&mut self, fault_index: usize) {
        let Fault { duration, kind, .. } = self.faults[fault_index].clone();
        let subject = self.timeline_subject.clone().unwrap_or_default();
        self.record_in_timeline(&subject, || format!("fault starts: {kind:?}"));
        if is_exempt(&kind) {
            self.extend_exemption(duration + RECOVERY_PERIOD);
        }
        match kind {
            FaultKind::ZoneLost { zone } => self.crash_zone(zone),
            FaultKind::ListAnomaly { anomaly } => self.list_anomaly = Some(anomaly),
            FaultKind::WrongList { from, to } => self.set_listed_states(from..to, ListedState::Removed),
            FaultKind::HotSlice { slice, factor } => self.demand_weights[slice] *= factor,
            FaultKind::Burst { factor } => self.demand_factor = factor,
            FaultKind::ZonePartitioned { zone } => self.partition_zone(zone),
            FaultKind::RelayUnreachable => self.make_relay_unreachable(),
            FaultKind::RelayUnresponsive => self.is_relay_unresponsive = true,
            FaultKind::DiscoveryUnreachable => self.make_discovery_unreachable(),
            FaultKind::ControllerKilled { controller } => self.kill_one_controller(controller, duration),
            FaultKind::ControllersKilled { controllers } => self.kill_controllers(controllers),
            FaultKind::SlowChannel { rate_factor } => self.set_channel_rate_factor(rate_factor),
            FaultKind::ProxiesDisconnected { proxies } => {
                (0..proxies).for_each(|proxy| self.disconnect_proxy(proxy));
            }
            FaultKind::SlicesReassigned { from, to } => {
                for slice in from..to {
                    let next = (self.slice_controllers[slice] + 1) % self.controllers.len();
                    self.reassign_slice(slice, next);
                }
            }
            FaultKind::GarbledRelay { share } => self.garbled_share = share,
            FaultKind::OutOfService { replica } => self.take_out_of_service(replica, fault_index, duration),
            replica_fault => self.start_replica_fault(&replica_fault),
        }
    }

    fn start_replica_fault(&mut self, kind: &FaultKind) {
        match *kind {
            FaultKind::Crash { replica } => {
                self.replicas[replica].crash();
                self.set_listed_state(replica, ListedState::Removed);
            }
            FaultKind::Hang { replica } => self.replicas[replica].state = ReplicaState::Hung,
            FaultKind::Silence { replica } => self.replicas[replica].state = ReplicaState::Silent,
            FaultKind::Slow { replica, factor } => self.replicas[replica].slowdown = factor,
            FaultKind::FastErrors { replica, share } => self.replicas[replica].error_share = share,
            FaultKind::Drain { replica } => self.set_listed_state(replica, ListedState::Draining),
            FaultKind::RollingRelease { from, to } => self.advance_release(from, to, ReleaseStage::Drain),
            FaultKind::BatchReplacement { from, to } => {
                for replica in from..to {
                    let delay = SECOND_BATCH_DELAY.times(((replica - from) % 2) as f64);
                    let (to, stage) = (replica + 1, ReleaseStage::Drain);
                    self.schedule_after(delay, ScheduledEvent::ReleaseReplica { replica, to, stage });
                }
            }
            _ => {}
        }
    }

    pub(super) fn zone_replicas(&self, zone: ZoneIndex) -> impl Iterator<Item = ReplicaIndex> + use<> {
        (zone..self.replicas.len()).step_by(self.config.zones)
    }

    fn crash_zone(&mut self, zone: ZoneIndex) {
        for replica in self.zone_replicas(zone) {
            self.replicas[replica].crash();
        }
        self.set_listed_states(self.zone_replicas(zone), ListedState::Removed);
    }

    fn partition_zone(&mut self, zone: ZoneIndex) {
        for replica in self.zone_replicas(zone) {
            self.replicas[replica].state = ReplicaState::Silent;
        }
        for proxy in (zone..self.proxies.len()).step_by(self.config.zones) {
            self.disconnect_proxy(proxy);
        }
    }

    fn make_relay_unreachable(&mut self) {
        self.is_relay_unreachable = true;
        for controller in 0..self.controllers.len() {
            self.controllers[controller].is_watching = false;
            self.deliver_event(controller, Event::RelayWatchLost(StreamError::TimedOut));
        }
    }

    fn make_discovery_unreachable(&mut self) {
        self.is_discovery_unreachable = true;
        for controller in 0..self.controllers.len() {
            self.deliver_event(controller, Event::EndpointListWatchLost(StreamError::TimedOut));
        }
    }

    /// Kills a controller, unless it is a separate process.
    fn kill_one_controller(&mut self, controller: ControllerIndex, duration: Span) {
        if self.controllers[controller].connection.is_none() {
            self.extend_exemption(duration + RECOVERY_PERIOD);
            self.kill_controller(controller);
        }
    }

    fn kill_controllers(&mut self, count: usize) {
        for controller in self.restartable_controllers(count) {
            self.kill_controller(controller);
            for proxy in &mut self.proxies {
                proxy.disconnected_from.insert(controller);
            }
            self.schedule_after(SLICE_TAKEOVER_DELAY, ScheduledEvent::TakeOverSlices(controller));
        }
    }

    pub(super) fn set_channel_rate_factor(&mut self, rate_factor: f64) {
        for controller in &mut self.controllers {
            controller.channel.rate_factor = rate_factor;
        }
    }

    /// Sets an operator's override at each controller.
    fn take_out_of_service(&mut self, replica: ReplicaIndex, fault_index: usize, duration: Span) {
        let new_override = NewOverride {
            id: format!("t{fault_index}"),
            kind: OverrideKind::Out { replica: replica_name(replica) },
            author: "day".to_string(),
            reason: "trouble".to_string(),
            duration,
        };
        for controller in 0..self.controllers.len() {
            let request = Request::Change(ChangeRequest::Set(new_override.clone()));
            self.deliver_event(controller, Event::ManagementRequest { request_id: 0, request });
        }
    }
}
