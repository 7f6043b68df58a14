//! Ends faults and restores the state that they have changed.

use super::event::ScheduledEvent;
use super::state::{ListedState, Scenario};
use crate::fault::FaultKind;
use crate::replica::ReplicaState;
use crate::{ReplicaIndex, ZoneIndex};
use whinwall_policy::time::Span;

/// The time from the restart of a controller until its slices are returned to it.
const SLICE_RETURN_DELAY: Span = Span::ms(2000);
/// The maximum time until a proxy reconnects to a restarted controller.
const MAX_PROXY_RECONNECT_DELAY: Span = Span::ms(4000);

impl Scenario {
    /// Ends the fault with this index.
    pub(super) fn end_fault(&mut self, fault_index: usize) {
        let kind = self.faults[fault_index].kind.clone();
        let subject = self.timeline_subject.clone().unwrap_or_default();
        self.record_in_timeline(&subject, || format!("fault ends: {kind:?}"));
        match kind {
            FaultKind::Crash { replica } | FaultKind::Drain { replica } => self.restart_replica(replica),
            FaultKind::Hang { replica } => self.resume_replica(replica),
            FaultKind::Silence { replica } => self.end_silence(replica),
            FaultKind::Slow { replica, .. } => self.replicas[replica].slowdown = 1.0,
            FaultKind::FastErrors { replica, .. } => self.replicas[replica].error_share = 0.0,
            FaultKind::ZoneLost { zone } => self.restart_zone(zone),
            FaultKind::ListAnomaly { .. } => self.list_anomaly = None,
            FaultKind::WrongList { from, to } => self.set_listed_states(from..to, ListedState::Active),
            FaultKind::HotSlice { slice, factor } => self.demand_weights[slice] /= factor,
            FaultKind::Burst { .. } => self.demand_factor = 1.0,
            FaultKind::ZonePartitioned { zone } => self.reconnect_zone(zone),
            FaultKind::RelayUnreachable => self.is_relay_unreachable = false,
            FaultKind::RelayUnresponsive => self.is_relay_unresponsive = false,
            FaultKind::DiscoveryUnreachable => {
                self.is_discovery_unreachable = false;
                self.publish_list();
            }
            FaultKind::ControllerKilled { controller } => {
                if self.controllers[controller].connection.is_none() {
                    self.start_controller(controller);
                }
            }
            FaultKind::ControllersKilled { controllers } => self.restart_controllers(controllers),
            FaultKind::SlowChannel { .. } => self.set_channel_rate_factor(1.0),
            FaultKind::ProxiesDisconnected { proxies } => {
                (0..proxies).for_each(|proxy| self.connect_proxy(proxy));
            }
            FaultKind::SlicesReassigned { from, to } => {
                for slice in from..to {
                    let count = self.controllers.len();
                    let previous = (self.slice_controllers[slice] + count - 1) % count;
                    self.reassign_slice(slice, previous);
                }
            }
            FaultKind::GarbledRelay { .. } => self.garbled_share = 0.0,
            // A release continues until all its replicas are replaced, and an override expires.
            FaultKind::RollingRelease { .. }
            | FaultKind::BatchReplacement { .. }
            | FaultKind::OutOfService { .. } => {}
        }
    }

    fn resume_replica(&mut self, replica: ReplicaIndex) {
        let started = self.replicas[replica].resume(self.now, &self.config, &mut self.random);
        for job in started {
            self.schedule_finish(replica, job);
        }
    }

    fn end_silence(&mut self, replica: ReplicaIndex) {
        if self.replicas[replica].state == ReplicaState::Silent {
            self.replicas[replica].state = ReplicaState::Up;
        }
    }

    fn restart_zone(&mut self, zone: ZoneIndex) {
        for replica in self.zone_replicas(zone) {
            if self.replicas[replica].state == ReplicaState::Down {
                self.restart_replica(replica);
            }
        }
    }

    fn reconnect_zone(&mut self, zone: ZoneIndex) {
        for replica in self.zone_replicas(zone) {
            self.end_silence(replica);
        }
        for proxy in (zone..self.proxies.len()).step_by(self.config.zones) {
            self.connect_proxy(proxy);
        }
    }

    /// Restarts killed controllers. Proxies reconnect after random delays, most of which are short.
    fn restart_controllers(&mut self, count: usize) {
        for controller in self.restartable_controllers(count) {
            self.start_controller(controller);
            self.schedule_after(SLICE_RETURN_DELAY, ScheduledEvent::ReturnSlices(controller));
            for proxy in 0..self.proxies.len() {
                let delay = MAX_PROXY_RECONNECT_DELAY.times(self.random.draw() * self.random.draw());
                self.schedule_after(delay, ScheduledEvent::ProxyReconnects { controller, proxy });
            }
        }
    }
}
