//! Subsetting: passes to the policy which controllers steer each replica.

use super::Reducer;
use crate::log_event::LogEvent;
use crate::replica_names::ReplicaNames;
use crate::subset::{Fleet, Subsets};
use crate::timers::Timer;
use std::collections::BTreeMap;
use whinwall_policy::api::{ReplicaId, SubsetMembership};
use whinwall_policy::time::Moment;
use whinwall_policy::Policy;
use whinwall_protocol::discovery::{List, State};
use whinwall_subsetting::Replica;

impl Reducer {
    /// The controllers that steer each replica, as last passed to the policy.
    pub fn subset_memberships(&self) -> BTreeMap<&str, SubsetMembership> {
        let ids = self.names.ids().iter();
        ids.filter_map(|(name, replica)| Some((name.as_str(), self.policy.subset_membership(*replica)?)))
            .collect()
    }

    /// Applies the fleet of the operators' file, or switches subsetting off if the file contains none.
    pub(super) fn subsetting_configured(&mut self, now: Moment, fleet: Option<Fleet>) {
        let changed = match (&mut self.subsets, fleet) {
            (None, None) => false,
            (Some(_), None) => {
                self.subsets = None;
                self.log(LogEvent::SubsettingDisabled);
                true
            }
            (Some(subsets), Some(fleet)) => subsets.reconfigure(fleet),
            (None, Some(fleet)) => {
                self.subsets = Some(Subsets::new(fleet));
                true
            }
        };
        if changed {
            self.compute_subsets(now);
            self.apply_memberships(now);
            self.log_subset();
        }
    }

    /// Schedules the computation of subsets after a list that may have changed the registry.
    pub(super) fn schedule_subsets(&mut self, now: Moment, list: &List) {
        let Some(subsets) = &self.subsets else { return };
        let present = list.entries.iter().filter(|entry| entry.state != State::Gone);
        let compute_at = subsets.compute_at(now, present.map(|entry| entry.replica.as_str()));
        let scheduled_at = self.timers.due_at(Timer::Subsets);
        self.timers.cancel(Timer::Subsets);
        self.timers.start(scheduled_at.map_or(compute_at, |at| at.min(compute_at)), Timer::Subsets);
    }

    /// Computes the subsets from the known registry, and passes changes to the policy.
    pub(super) fn compute_subsets(&mut self, now: Moment) {
        let Some(subsets) = &mut self.subsets else { return };
        if subsets.compute(now, &registry_replicas(&self.names, &self.policy, &self.settings.zones)) {
            self.apply_memberships(now);
        }
    }

    /// The controllers that steer a replica.
    pub(super) fn subset_membership(&self, replica: &str) -> SubsetMembership {
        self.subsets.as_ref().map_or(SubsetMembership::AllControllers, |subsets| subsets.membership(replica))
    }

    fn apply_memberships(&mut self, now: Moment) {
        let changed_membership = |(name, replica): (&String, &ReplicaId)| {
            let known = self.policy.subset_membership(*replica)?;
            let membership = self.subset_membership(name);
            (known != membership).then_some((*replica, membership))
        };
        let changes: Vec<_> = self.names.ids().iter().filter_map(changed_membership).collect();
        if !changes.is_empty() {
            self.policy.subsets_changed(now, &changes);
        }
    }

    fn log_subset(&mut self) {
        let Some(status) = self.subsets.as_ref().map(Subsets::status) else { return };
        self.log(LogEvent::SubsetAssigned {
            controllers: status.controllers,
            own_replicas: status.own_replicas,
            listed_replicas: status.listed_replicas,
            subset_size: status.subset_size,
        });
    }
}

/// The replicas that are listed and not gone, with their zones in the registry: aggregators, which have no settings,
/// must compute the same subsets.
fn registry_replicas<'a>(
    names: &'a ReplicaNames,
    policy: &'a Policy,
    zones: &'a [String],
) -> Vec<Replica<'a>> {
    let replica = |(name, replica): (&'a String, &ReplicaId)| {
        let listed = policy.listed_replica(*replica)?;
        let configured_zone = zones.get(listed.zone).map(String::as_str);
        Some(Replica {
            id: name,
            zone: names.unconfigured_zone(*replica).or(configured_zone).unwrap_or_default(),
            group: &listed.machine,
            weight: listed.weight,
        })
    };
    names.ids().iter().filter_map(replica).collect()
}
