//! The reducer's part of subsetting: the decisions are told which controllers steer each replica.

use super::{Due, Reducer};
use crate::names::Names;
use crate::subset::{Fleet, Subsets};
use std::collections::BTreeMap;
use whinwall_policy::api::{ReplicaId, SubsetMembership};
use whinwall_policy::time::Moment;
use whinwall_policy::Policy;
use whinwall_protocol::discovery::{List, State};
use whinwall_subsetting::Replica;

impl Reducer {
    /// Which controllers steer each replica, as the decisions were told last.
    pub fn shares(&self) -> BTreeMap<&str, SubsetMembership> {
        let numbers = self.names.numbers().iter();
        numbers
            .filter_map(|(name, replica)| Some((name.as_str(), self.policy.subset_membership(*replica)?)))
            .collect()
    }

    /// The operators' file names a fleet, another fleet, or none any more.
    pub(super) fn subsetting_configured(&mut self, now: Moment, fleet: Option<Fleet>) {
        let changed = match (&mut self.subsets, fleet) {
            (None, None) => false,
            (Some(_), None) => {
                self.subsets = None;
                self.note("subsetting is off: this governor steers all replicas".into());
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
            self.tell_shares(now);
            self.note_subset();
        }
    }

    /// The registry may have changed.
    pub(super) fn subsets_due(&mut self, now: Moment, list: &List) {
        let Some(subsets) = &self.subsets else { return };
        let there = list.entries.iter().filter(|entry| entry.state != State::Gone);
        let due = subsets.due(now, there.map(|entry| entry.replica.as_str()));
        let pending = self.agenda.iter().find(|(_, pending)| *pending == Due::Subsets).map(|(at, _)| *at);
        self.agenda.retain(|(_, pending)| *pending != Due::Subsets);
        self.agenda.insert((pending.map_or(due, |at| at.min(due)), Due::Subsets));
    }

    /// Computes the subsets of the registry as it is known, and tells the decisions what changed.
    pub(super) fn compute_subsets(&mut self, now: Moment) {
        let Some(subsets) = &mut self.subsets else { return };
        if subsets.compute(now, &registry(&self.names, &self.policy, &self.settings.zones)) {
            self.tell_shares(now);
        }
    }

    /// Which controllers steer a replica.
    pub(super) fn share(&self, replica: &str) -> SubsetMembership {
        self.subsets.as_ref().map_or(SubsetMembership::Everyone, |subsets| subsets.share(replica))
    }

    fn tell_shares(&mut self, now: Moment) {
        let changed = |(name, replica): (&String, &ReplicaId)| {
            let (known, share) = (self.policy.subset_membership(*replica)?, self.share(name));
            (known != share).then_some((*replica, share))
        };
        let changed: Vec<_> = self.names.numbers().iter().filter_map(changed).collect();
        if !changed.is_empty() {
            self.policy.subsets_changed(now, &changed);
        }
    }

    fn note_subset(&mut self) {
        let Some(status) = self.subsets.as_ref().map(Subsets::status) else { return };
        self.note(format!(
            "subsetting: one of {} governors, {} of {} replicas are steered here, {} wished",
            status.controllers, status.own_replicas, status.listed_replicas, status.subset_size
        ));
    }
}

/// The replicas that are listed and not gone, in the registry's zones: aggregators, which know no settings, compute the
/// same subsets from these.
fn registry<'a>(names: &'a Names, policy: &'a Policy, zones: &'a [String]) -> Vec<Replica<'a>> {
    let replica = |(name, replica): (&'a String, &ReplicaId)| {
        let listed = policy.listed_replica(*replica)?;
        let named = zones.get(listed.zone).map(String::as_str);
        Some(Replica {
            id: name,
            zone: names.unnamed_zone(*replica).or(named).unwrap_or_default(),
            group: &listed.machine,
            weight: listed.weight,
        })
    };
    names.numbers().iter().filter_map(replica).collect()
}
