//! Replication of hot slices, and standby endpoints.
//!
//! This handles a slice that alone overloads its replica, which no move can solve, and the seconds in which a
//! replica that has just failed is still an owner.

use crate::api::{ReplicaId, SliceId};
use crate::measure::windows::{BURST_WINDOW, LOAD_WINDOW};
use crate::rules::placement::DestinationScope;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::replica::Replica;
use crate::state::routing_table::{FULL_WEIGHT, STANDBY_WEIGHT};
use crate::state::slice::Slice;
use std::mem::take;

/// The maximum number of owners of a slice (docs/design.md, Replication).
const MAX_OWNERS: usize = 4;
/// A slice with a burst load below this share of the mean load per replica is never hot.
const MIN_HOT_LOAD_SHARE: f64 = 0.5;
/// An owner is removed from a slice once the slice's load is below this share of what the other owners may have
/// (docs/design.md: six tenths).
const CONSOLIDATION_CAPACITY_SHARE: f64 = 0.6;

impl ControllerState {
    /// Adds an owner to one hot slice, if tables may have several. It runs again until no hot slice is found.
    pub(crate) fn replicate_hot_slices(&mut self) -> bool {
        let is_pending = take(&mut self.pending_work.replication);
        if !is_pending || self.deployment.single_writer || self.now - self.started_at < BURST_WINDOW {
            return false;
        }
        let Some((id, to)) = self.find_replication() else { return false };
        self.replace_owner(id, None, Some((to, FULL_WEIGHT)), Priority::Urgent);
        self.pending_work.replication = true;
        true
    }

    /// Returns a slice whose load alone exceeds its owners' bands, and a replica with capacity for the excess.
    fn find_replication(&self) -> Option<(SliceId, ReplicaId)> {
        let may_be_hot = |slice: &Slice| {
            slice.awaited_version.is_none()
                && slice.is_fully_applied()
                && slice.burst_load > self.averages.mean_burst_load * MIN_HOT_LOAD_SHARE
        };
        let mut candidates =
            self.slices.iter().filter(|(id, slice)| may_be_hot(slice) && !self.is_at_pin(**id, slice));
        candidates.find_map(|(id, slice)| {
            // Bands apply to loads over a longer window; for the short window they are scaled by the burst ratio
            // of the whole load.
            let capacity: f64 = self.owners(slice).map(|(_, owner)| self.averages.band_capacity(owner)).sum();
            let excess = slice.burst_load - self.averages.burst_ratio * capacity;
            if excess <= 0.0 || slice.table.owners().count() >= MAX_OWNERS {
                return None;
            }
            Some((*id, self.find_destination(slice, excess, DestinationScope::WithCapacity)?))
        })
    }

    /// Removes the most utilized owner from one slice that fits on its other owners again. It runs again until no
    /// such slice is found.
    pub(crate) fn consolidate_cooled_slices(&mut self) -> bool {
        if !take(&mut self.pending_work.consolidation) {
            return false;
        }
        let Some((id, most_utilized)) = self.find_consolidation() else { return false };
        self.replace_owner(id, Some(most_utilized), None, Priority::Normal);
        self.pending_work.consolidation = true;
        true
    }

    fn find_consolidation(&self) -> Option<(SliceId, ReplicaId)> {
        let has_cooled = |slice: &Slice| {
            slice.table.desired.len() > 1
                && slice.awaited_version.is_none()
                && self.now - slice.settled_at > LOAD_WINDOW
                && slice.table.sole_owner().is_none()
        };
        let mut candidates = self.slices.iter().filter(|(_, slice)| has_cooled(slice));
        candidates.find_map(|(id, slice)| {
            let (most_utilized, _) = self
                .owners(slice)
                .max_by(|(_, one), (_, other)| one.utilization().total_cmp(&other.utilization()))?;
            let others = self.owners(slice).filter(|(owner, _)| *owner != most_utilized);
            let capacity = others.map(|(_, owner)| self.averages.band_capacity(owner)).sum::<f64>();
            let fits = slice.load.max(slice.burst_load) < CONSOLIDATION_CAPACITY_SHARE * capacity;
            fits.then_some((*id, most_utilized))
        })
    }

    /// Adds a standby to each slice with a single endpoint. Proxies retry at the standby as soon as the owner
    /// rejects a request, long before reports show the failure to the controller.
    pub(crate) fn add_standbys(&mut self) -> bool {
        if !take(&mut self.pending_work.standbys) || self.deployment.single_writer {
            return false;
        }
        let has_no_standby = |slice: &Slice| {
            slice.awaited_version.is_none() && slice.is_fully_applied() && slice.table.desired.len() == 1
        };
        let without_standby = self.slices.iter().filter(|(_, slice)| has_no_standby(slice));
        let ids: Vec<SliceId> = without_standby.map(|(id, _)| *id).collect();
        for id in ids {
            if let Some(standby) = self.find_standby(id) {
                self.replace_endpoint(id, None, Some(standby), Priority::StandbyOnly);
            }
        }
        true
    }

    /// Returns the warm replica with the fewest standby endpoints, in another zone if there is one. Random tie
    /// breakers spread the standbys: the slices of one replica must not all have their standbys on the same other
    /// replica.
    pub(crate) fn find_standby(&self, id: SliceId) -> Option<(ReplicaId, f64)> {
        let slice = &self.slices[&id];
        let owner_zone = self.owners(slice).next().map(|(_, owner)| owner.zone);
        let is_candidate = |candidate: &ReplicaId, accepts: &dyn Fn(&Replica) -> bool| {
            let is_accepted = |replica: &Replica| self.is_usable_and_warm(replica) && accepts(replica);
            !slice.table.desired.contains_key(candidate)
                && self.replicas.get(candidate).is_some_and(is_accepted)
        };
        let is_in_other_zone = |replica: &Replica| Some(replica.zone) != owner_zone;
        let by_standby_load = &self.rankings.by_standby_load;
        let in_other_zone = by_standby_load.first(|candidate| is_candidate(candidate, &is_in_other_zone));
        let standby =
            in_other_zone.or_else(|| by_standby_load.first(|candidate| is_candidate(candidate, &|_| true)));
        standby.map(|id| (id, STANDBY_WEIGHT))
    }
}
