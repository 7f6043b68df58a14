//! Operators' overrides: determines which of them are in force. Other rules take precedence;
//! docs/design/overrides.md has the conditions.
//!
//! An override must not break what the rules guarantee. One that can't be in force reports the reason, and takes
//! effect later by itself, but with a delay so that the fleet does not flap.

use crate::api::OverrideStatus::{self, Absent, InForce, Suspended, Waiting};
use crate::api::{OverrideNumber, OverrideSpec, ReplicaId, ReplicaState, SliceId};
use crate::measure::admission::LOW_LATENCY_RATIO;
use crate::rules::outlier_ejection::BASE_EJECTION_DURATION;
use crate::state::controller::ControllerState;
use crate::state::operator_overrides::OverrideEntry;
use crate::state::pending_slices::Priority;
use crate::state::replica::Replica;
use crate::state::routing_table::SliceMove;
use crate::state::slice::Slice;
use crate::time::Span;
use std::collections::BTreeMap;
use std::mem::take;

/// The increase of the delay before a slice returns to its pin, added each time that a rule has moved it away.
const PIN_BACKOFF: Span = Span::ms(5000);
/// The longest such delay, as a multiple of `PIN_BACKOFF`.
const MAX_PIN_BACKOFF_STEPS: f64 = 12.0;
/// The status of a pin whose slice may be moved to its replica now.
const MOVING_TO_PIN: OverrideStatus = Waiting("its slices come");

/// The replicas that remain while overrides take some out of service.
struct RemainingFleet {
    /// Replicas that are usable and warm.
    warm: usize,
    /// Replicas that are listed as ready.
    ready: usize,
    /// Replicas that are listed as ready, but out of service or ejected.
    unavailable: usize,
}

impl ControllerState {
    /// Applies overrides as far as the rules permit. Runs once per tick and when the fleet has changed.
    pub(crate) fn apply_overrides(&mut self) -> bool {
        if !take(&mut self.pending_work.overrides) || self.operator_overrides.entries.is_empty() {
            return false;
        }
        let pins = self.apply_pins();
        let mut fleet = self.remaining_fleet();
        let mut entries = take(&mut self.operator_overrides.entries);
        for (id, entry) in &mut entries {
            let previous = entry.status;
            entry.status = match entry.spec {
                OverrideSpec::OutOfService { replica } => {
                    self.apply_out_of_service(replica, entry, &mut fleet)
                }
                OverrideSpec::Weight { replica, factor } => self.apply_weight(replica, factor),
                OverrideSpec::Pin { .. } => {
                    pins.get(id).copied().unwrap_or(Waiting("no slice of it is ours"))
                }
            };
            if matches!((previous, entry.status), (InForce | Waiting(_), Suspended(_))) {
                entry.suspended_at = Some(self.now);
            }
        }
        self.operator_overrides.entries = entries;
        true
    }

    fn remaining_fleet(&self) -> RemainingFleet {
        let is_unavailable =
            |replica: &Replica| replica.is_ready() && (replica.out_of_service || self.is_ejected(replica));
        RemainingFleet {
            warm: self.count_replicas(|replica| self.is_usable_and_warm(replica)),
            ready: self.count_replicas(Replica::is_ready),
            unavailable: self.count_replicas(is_unavailable),
        }
    }

    /// Takes a replica out of service if another warm replica remains and at most half of the fleet is
    /// unavailable, since the remaining replicas could not compensate for more. An override that is already in
    /// force stays in force while another warm replica remains.
    fn apply_out_of_service(
        &mut self,
        id: ReplicaId,
        entry: &OverrideEntry,
        fleet: &mut RemainingFleet,
    ) -> OverrideStatus {
        let known = self.replicas.get(&id).filter(|replica| replica.listed || replica.out_of_service);
        let Some(replica) = known else { return Absent };
        let is_warm = self.is_usable_and_warm(replica);
        let was_out_of_service = replica.out_of_service;
        let others_are_warm = fleet.warm > usize::from(is_warm);
        let unavailable = fleet.unavailable + usize::from(!was_out_of_service && !self.is_ejected(replica));
        let too_many_unavailable = unavailable * 2 > fleet.ready;
        let just_suspended = entry.suspended_at.is_some_and(|at| self.now - at < BASE_EJECTION_DURATION);
        let may_be_out_of_service = was_out_of_service || !(too_many_unavailable || just_suspended);
        let is_out_of_service =
            replica.state == ReplicaState::Draining || (others_are_warm && may_be_out_of_service);
        if is_out_of_service && !was_out_of_service {
            fleet.warm -= usize::from(is_warm);
            fleet.unavailable = unavailable;
        }
        let is_owner = |slice: &SliceId| self.slices[slice].table.owners().any(|owner| owner == id);
        let status = match () {
            _ if !is_out_of_service && !others_are_warm => Suspended("rule 1: no other warm server is well"),
            _ if !is_out_of_service && just_suspended => Suspended("rule 1: it stood back a moment ago"),
            _ if !is_out_of_service => Suspended("rule 1: over half of the servers would be missing"),
            _ if self.withdrawals.pending.contains_key(&id) => {
                Waiting("rule 5: its withdrawal waits for room")
            }
            _ if replica.slices.iter().any(is_owner) => Waiting("its slices leave"),
            _ => InForce,
        };
        self.pending_work.evacuation |= was_out_of_service != is_out_of_service;
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.out_of_service = is_out_of_service;
        }
        status
    }

    /// Applies a factor to a replica's capacity. The slow-start budget of a cold replica does not grow with it.
    fn apply_weight(&mut self, id: ReplicaId, factor: f64) -> OverrideStatus {
        let Some(replica) = self.replicas.get(&id).filter(|replica| replica.listed) else { return Absent };
        let status = match () {
            _ if replica.state == ReplicaState::Draining => Suspended("rule 3: the server drains"),
            _ if replica.out_of_service => Suspended("the server is out of service"),
            _ if factor > 1.0 && self.is_warming_up(replica) => Suspended("rule 4: the server is cold"),
            _ => InForce,
        };
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.weight_factor = if status == InForce { factor } else { 1.0 };
        }
        status
    }

    /// Moves pinned slices to their replicas, one per replica and tick. Returns for each override the status of
    /// its first slice that is not at its pin.
    fn apply_pins(&mut self) -> BTreeMap<OverrideNumber, OverrideStatus> {
        let mut statuses = BTreeMap::new();
        let mut moves = BTreeMap::new();
        for (first, last, (to, override_id)) in self.operator_overrides.pins.ranges() {
            for (slice_id, slice) in self.slices.range(first..=last) {
                let slice_status = self.pin_status(*slice_id, slice, to, override_id);
                let status = statuses.entry(override_id).or_insert(InForce);
                if *status == InForce {
                    *status = slice_status;
                }
                if slice_status == MOVING_TO_PIN {
                    moves.entry(to).or_insert((*slice_id, override_id));
                }
            }
        }
        for (to, (slice, override_id)) in moves {
            self.move_to_pin(slice, to, override_id);
        }
        statuses
    }

    /// Makes a replica the only owner of a slice, as required by an override.
    fn move_to_pin(&mut self, id: SliceId, to: ReplicaId, override_id: OverrideNumber) {
        let others: Vec<_> = self.slices[&id].table.owners().filter(|owner| *owner != to).collect();
        for other in others.iter().skip(1) {
            self.replace_endpoint(id, Some(*other), None, Priority::Normal);
        }
        let from = others.first().copied().unwrap_or(to);
        self.move_slice(SliceMove { slice: id, from, to }, Priority::Normal);
        if let Some(slice) = self.slices.get_mut(&id) {
            slice.pin_moves.record(override_id);
        }
    }

    /// Returns the status of a slice's pin. The delay before the slice returns grows each time that a rule moves it
    /// away.
    fn pin_status(
        &self,
        id: SliceId,
        slice: &Slice,
        to: ReplicaId,
        override_id: OverrideNumber,
    ) -> OverrideStatus {
        let Some(replica) = self.replicas.get(&to).filter(|replica| replica.listed) else { return Absent };
        let backoff_steps = f64::from(slice.pin_moves.count_by(override_id)).min(MAX_PIN_BACKOFF_STEPS);
        let backoff = PIN_BACKOFF.times(backoff_steps);
        let is_at_pin = self.is_at_pin(id, slice);
        match () {
            _ if replica.state == ReplicaState::Draining => Suspended("rule 3: the server drains"),
            _ if replica.out_of_service => Suspended("the server is out of service"),
            _ if self.is_ejected(replica) || replica.withdrawn => {
                Suspended("rule 1: the server is sick or withdrawn")
            }
            _ if is_at_pin && slice.is_fully_applied() => InForce,
            _ if is_at_pin => Waiting("rule 5: orders wait for room"),
            _ if slice.awaited_version.is_some() => Waiting("an earlier change is not acked yet"),
            _ if self.now - slice.settled_at < backoff => Waiting("it had to leave lately"),
            _ if replica.latency_ratio >= LOW_LATENCY_RATIO => Suspended("the server answers late"),
            _ if !self.can_accept_slice(replica, slice, slice.load) => {
                Suspended("rule 4: the server is cold")
            }
            _ => MOVING_TO_PIN,
        }
    }
}
