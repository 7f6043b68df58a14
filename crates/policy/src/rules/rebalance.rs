//! Regular rebalancing by DDMC, the policy with a central controller of section 3.1 of Wang et al., *Dynamic Data
//! Migration Policies for Query-Intensive Distributed Data Environments*. docs/design.md describes the changes and
//! the reasons for them.
//!
//! This avoids overloaded replicas while others are idle, without moves that react to noise: only replicas that
//! have been outside the band for several rounds take part, and a slice that has moved often is not moved again.

use crate::api::{ReplicaId, ReportFlow};
use crate::measure::admission::LOW_LATENCY_RATIO;
use crate::measure::load_estimates::MovableSlice;
use crate::rules::placement::DestinationScope;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::replica::Replica;
use crate::state::routing_table::SliceMove;
use crate::state::schedule::ROUND_PERIOD;

/// omega of DDMC: each move of a slice multiplies the benefit of its next move by this factor. With 0.5 a slice
/// would stay after two moves (docs/design.md).
const MOVE_DAMPING: f64 = 0.8;
/// Delta of DDMC: the threshold that the benefit of a move must exceed.
const MOVE_THRESHOLD: f64 = 0.3;
/// The minimum number of consecutive rounds outside the band before a replica takes part.
const MIN_ROUNDS_OUTSIDE_BAND: i32 = 3;

/// A heavy replica and the light replica that it may transfer slices to.
struct Transfer<'a> {
    source_id: ReplicaId,
    source: &'a Replica,
    destination_id: ReplicaId,
    destination: &'a Replica,
    /// The utilization of the heaviest replica.
    highest_utilization: f64,
}

impl Transfer<'_> {
    /// Condition 1 of DDMC: the slice has not moved too often.
    fn may_move_again(&self, slice: &MovableSlice) -> bool {
        let damping = MOVE_DAMPING.powi(slice.move_count as i32);
        damping * self.source.utilization() / self.highest_utilization > MOVE_THRESHOLD
    }

    fn transfer_slice(&self, slice: &MovableSlice) -> SliceMove {
        SliceMove { slice: slice.id, from: self.source_id, to: self.destination_id }
    }

    fn return_slice(&self, slice: &MovableSlice) -> SliceMove {
        SliceMove { slice: slice.id, from: self.destination_id, to: self.source_id }
    }
}

impl ControllerState {
    /// Opens a round once it is due, and updates each replica's count of rounds outside its band.
    pub(crate) fn open_round(&mut self) -> bool {
        if self.deadlines.round > self.now || self.reporting.flow == ReportFlow::Interrupted {
            return false;
        }
        self.deadlines.round = self.now + ROUND_PERIOD;
        self.pending_work.rebalancing = true;
        self.pending_work.load_shedding = self.deployment.admission_supported;
        for replica in self.replicas.values_mut() {
            let band = self.averages.band(replica);
            let utilization = replica.utilization();
            let side = i32::from(utilization > band.high) - i32::from(utilization < band.low);
            let is_same_side = side * replica.rounds_outside_band > 0;
            replica.rounds_outside_band =
                if is_same_side { replica.rounds_outside_band + side } else { side };
            replica.moved_this_round = false;
        }
        true
    }

    /// Makes one move or swap. It runs again until none is found.
    pub(crate) fn rebalance(&mut self) -> bool {
        if !self.pending_work.rebalancing {
            return false;
        }
        let moves = match self.find_return_move() {
            Some(return_move) => Some(vec![return_move]),
            None => self.find_moves(),
        };
        self.pending_work.rebalancing = moves.is_some();
        for slice_move in moves.into_iter().flatten() {
            self.move_slice(slice_move, Priority::Normal);
            if let Some(source) = self.replicas.get_mut(&slice_move.from) {
                source.moved_this_round = true;
            }
        }
        true
    }

    /// Returns the moves from the heaviest replica that can transfer a slice to the lightest one, alone or in a
    /// swap.
    fn find_moves(&self) -> Option<Vec<SliceMove>> {
        let mut heavy = self.heavy_replicas();
        let (_, heaviest) = heavy.first()?;
        let highest_utilization = heaviest.utilization();
        // A replica whose weight an override reduced is heavy even if no other replica is light.
        let is_weight_reduced = heaviest.weight_factor < 1.0;
        if is_weight_reduced {
            heavy.truncate(1);
        }
        let (destination_id, destination) = self.lightest_replica(is_weight_reduced)?;
        heavy.into_iter().find_map(|(source_id, source)| {
            let transfer = Transfer { source_id, source, destination_id, destination, highest_utilization };
            self.find_transfer(&transfer)
        })
    }

    fn find_transfer(&self, transfer: &Transfer) -> Option<Vec<SliceMove>> {
        let own = self.movable_slices(transfer.source_id, transfer.source);
        let movable = || own.iter().filter(|slice| transfer.may_move_again(slice));
        if let Some(slice) = movable().find(|slice| self.is_transferable(transfer, slice, None)) {
            return Some(vec![transfer.transfer_slice(slice)]);
        }
        let returnable = self.movable_slices(transfer.destination_id, transfer.destination);
        movable().find_map(|slice| {
            let may_return = |candidate: &&MovableSlice| {
                transfer.may_move_again(candidate) && self.is_transferable(transfer, slice, Some(candidate))
            };
            let returned = returnable.iter().rev().find(may_return)?;
            Some(vec![transfer.transfer_slice(slice), transfer.return_slice(returned)])
        })
    }

    /// Condition 2 of DDMC: both replicas stay within their bands after the transfer of a slice, or after its exchange
    /// for another one.
    fn is_transferable(
        &self,
        transfer: &Transfer,
        slice: &MovableSlice,
        returned: Option<&MovableSlice>,
    ) -> bool {
        let Transfer { source, destination, .. } = transfer;
        let net_load = slice.load - returned.map_or(0.0, |returned| returned.load);
        let net_demand = slice.unshed_demand - returned.map_or(0.0, |returned| returned.unshed_demand);
        let source_after = source.utilization() - net_load / source.effective_capacity;
        let destination_after = destination.utilization() + net_load / destination.effective_capacity;
        net_load > 0.0
            && source_after >= self.averages.band(source).low
            && destination_after <= self.averages.band(destination).high
            && self.can_accept(destination, net_demand)
    }

    /// Returns the replicas that have been above their bands for at least `MIN_ROUNDS_OUTSIDE_BAND` rounds,
    /// heaviest first.
    fn heavy_replicas(&self) -> Vec<(ReplicaId, &Replica)> {
        let is_heavy = |replica: &Replica| {
            replica.rounds_outside_band >= MIN_ROUNDS_OUTSIDE_BAND
                && self.is_rebalancing_candidate(replica)
                && replica.utilization() > self.averages.band(replica).high
        };
        let mut heavy: Vec<_> = self
            .replicas
            .iter()
            .filter(|(_, replica)| is_heavy(replica))
            .map(|(id, replica)| (*id, replica))
            .collect();
        heavy.sort_by(|(_, one), (_, other)| other.utilization().total_cmp(&one.utilization()));
        heavy
    }

    /// Returns the replica with the most headroom among those that have been below their bands for at least
    /// `MIN_ROUNDS_OUTSIDE_BAND` rounds; if an override reduced the source's weight, among all replicas below the
    /// upper limit of their bands. A replica that answers late is not a candidate, because its low utilization may
    /// mean that it is slow.
    fn lightest_replica(&self, source_weight_is_reduced: bool) -> Option<(ReplicaId, &Replica)> {
        let is_below_band = |replica: &Replica| {
            -replica.rounds_outside_band >= MIN_ROUNDS_OUTSIDE_BAND
                && replica.utilization() < self.averages.band(replica).low
        };
        let is_below_upper_limit =
            |replica: &Replica| replica.utilization() < self.averages.band(replica).high;
        let is_light = |replica: &Replica| {
            self.is_rebalancing_candidate(replica)
                && !self.is_kept_in_reserve(replica, DestinationScope::WithCapacity)
                && (is_below_band(replica) || (source_weight_is_reduced && is_below_upper_limit(replica)))
                && self.can_accept(replica, 0.0)
                && replica.latency_ratio < LOW_LATENCY_RATIO
        };
        let light = self.replicas.iter().filter(|(_, replica)| is_light(replica));
        let lightest =
            light.max_by(|(_, one), (_, other)| self.headroom(one).total_cmp(&self.headroom(other)));
        lightest.map(|(id, replica)| (*id, replica))
    }

    fn is_rebalancing_candidate(&self, replica: &Replica) -> bool {
        self.is_usable(replica) && !replica.moved_this_round && self.may_offload(replica)
    }
}
