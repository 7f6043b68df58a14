//! Replication of hot slices, and standby endpoints.
//!
//! Guards against a slice that alone overloads its replica, which no move can mend, and against the seconds in which a
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

/// Owners that a slice may have (docs/design.md, Replication).
const MAX_OWNERS: usize = 4;
/// A slice whose burst load is below this part of an even load is never hot.
const MIN_HOT_SHARE: f64 = 0.5;
/// A slice leaves an owner once its load is below this part of what the others may have (docs/design.md: six tenths).
const CONSOLIDATION_SHARE: f64 = 0.6;

impl ControllerState {
    /// Gives one hot slice one more owner, where tables may have several; it is tried again until none is found.
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

    /// A slice that alone is more than its owners' bands, and a replica with capacity for the excess.
    fn find_replication(&self) -> Option<(SliceId, ReplicaId)> {
        let may_be_hot = |slice: &Slice| {
            slice.awaited_version.is_none()
                && slice.is_fully_applied()
                && slice.burst_load > self.averages.mean_burst_load * MIN_HOT_SHARE
        };
        let mut candidates =
            self.slices.iter().filter(|(id, slice)| may_be_hot(slice) && !self.is_at_pin(**id, slice));
        candidates.find_map(|(id, slice)| {
            // Bands hold for loads over a longer time; a short time is judged by what came to all in it.
            let capacity: f64 = self.owners(slice).map(|(_, owner)| self.averages.band_capacity(owner)).sum();
            let excess = slice.burst_load - self.averages.burst_ratio * capacity;
            if excess <= 0.0 || slice.table.owners().count() >= MAX_OWNERS {
                return None;
            }
            Some((*id, self.find_destination(slice, excess, DestinationScope::WithCapacity)?))
        })
    }

    /// Takes the fullest owner from one slice that fits on the others again; it is tried again until none is found.
    pub(crate) fn consolidate_cooled_slices(&mut self) -> bool {
        if !take(&mut self.pending_work.consolidation) {
            return false;
        }
        let Some((id, fullest)) = self.find_consolidation() else { return false };
        self.replace_owner(id, Some(fullest), None, Priority::Normal);
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
            let (fullest, _) = self
                .owners(slice)
                .max_by(|(_, one), (_, other)| one.utilization().total_cmp(&other.utilization()))?;
            let others = self.owners(slice).filter(|(owner, _)| *owner != fullest);
            let capacity = others.map(|(_, owner)| self.averages.band_capacity(owner)).sum::<f64>();
            let fits = slice.load.max(slice.burst_load) < CONSOLIDATION_SHARE * capacity;
            fits.then_some((*id, fullest))
        })
    }

    /// Gives each slice with one endpoint a standby: proxies retry there by themselves as soon as its owner rejects them,
    /// long before the controller hears of it.
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

    /// A warm replica, in another zone where there is one, with the fewest standby endpoints. Random tie breakers spread
    /// them: the slices of one replica must not all have their standbys on one other.
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
