//! Handles the endpoint list, the subsets computed from it, and the heartbeats of other aggregators.

use super::Aggregator;
use crate::heartbeat::Heartbeat;
use crate::limits;
use crate::log_event::LogEvent;
use crate::messages::Effect;
use std::sync::Arc;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery::List;
use whinwall_subsetting::Replica;

impl Aggregator {
    pub(super) fn apply_list(&mut self, now: Moment, list: List, effects: &mut Vec<Effect>) {
        let outcome = self.registry.apply(now, list);
        self.registry_renewal_at = now + limits::REGISTRY_RENEWAL_PERIOD;
        if outcome.is_outdated {
            self.registry_watch_at = Some(now + limits::RETRY_DELAY);
        }
        if outcome.has_skipped {
            effects.push(Effect::Log(LogEvent::LimitReached("replicas")));
        }
        self.subsets_due |= outcome.changed;
    }

    pub(super) fn receive_heartbeat(&mut self, now: Moment, heartbeat: Heartbeat, effects: &mut Vec<Effect>) {
        if !self.has_peer(&heartbeat.name) {
            return;
        }
        for zone in &heartbeat.zones {
            self.coverage.expect_zone(now, zone);
        }
        effects.extend(self.peers.receive(now, heartbeat).map(Effect::Log));
    }

    /// Logs when the endpoint list becomes stale, fresh or older than that of a peer. Requests a new watch of discovery
    /// if the list has been older for [`limits::REGISTRY_LAG_TIMEOUT`], or if the renewal of the watch is due.
    pub(super) fn monitor_registry(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let is_fresh = self.registry.is_fresh(now) || !self.registry.is_known();
        if is_fresh != self.was_registry_fresh {
            effects.push(Effect::Log(LogEvent::RegistryStale(!is_fresh)));
        }
        self.was_registry_fresh = is_fresh;
        let (own, peer) = (self.registry.version(), self.peers.latest_version());
        if own >= peer || !self.registry.is_known() {
            self.behind_since = None;
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
            effects.push(Effect::Log(LogEvent::RegistryBehind { own, peer }));
        }
        let is_behind = self.behind_since.is_some_and(|since| now - since >= limits::REGISTRY_LAG_TIMEOUT);
        if is_behind || now >= self.registry_renewal_at {
            // A watch may have missed a change even if its heartbeats arrive.
            self.behind_since = self.behind_since.map(|_| now);
            (self.registry_watch_at, self.registry_renewal_at) =
                (Some(now), now + limits::REGISTRY_RENEWAL_PERIOD);
        }
    }

    pub(super) fn compute_subsets(&mut self, now: Moment) {
        if !self.subsets_due || now < self.next_subset_computation || !self.registry.is_known() {
            return;
        }
        (self.subsets_due, self.next_subset_computation) = (false, now + limits::MIN_SUBSET_INTERVAL);
        self.counters.assignments += 1;
        let entries: Vec<_> = self.registry.replicas().collect();
        let replicas: Vec<_> = entries
            .iter()
            .map(|entry| Replica {
                id: &entry.replica,
                zone: &entry.zone,
                group: &entry.machine,
                weight: entry.weight,
            })
            .collect();
        let assignment = self.planner.assign(&replicas);
        let names = entries.iter().map(|entry| Arc::from(entry.replica.as_str())).collect();
        self.sums.retain_replicas(now, &names);
        for feed in self.feeds.values_mut() {
            feed.subset.clear();
        }
        let membership = assignment.membership();
        for (replica, controllers) in assignment.replicas() {
            let replica: Arc<str> = replica.into();
            for name in controllers.iter().filter_map(|index| membership.name(*index as usize)) {
                if let Some(feed) = self.feeds.get_mut(name) {
                    feed.subset.push(replica.clone());
                }
            }
        }
    }

    pub(super) fn own_heartbeat(&self, now: Moment) -> Heartbeat {
        Heartbeat {
            name: self.configuration.own.clone(),
            ready: self.is_ready(now),
            list_age_ms: self.registry.age(now).as_ns() / Span::ms(1).as_ns(),
            version: self.registry.version(),
            zones: self.coverage.present_zones().map(str::to_string).collect(),
        }
    }
}
