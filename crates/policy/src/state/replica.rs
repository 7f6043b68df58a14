//! A replica as known to this controller: its listed properties, its reports, and the decisions made about it.

use crate::api::{ReplicaId, ReplicaListing, ReplicaState, SliceId, SubsetMembership, ZoneId};
use crate::random::Random;
use crate::state::recent_counter::LONGEST_LOOKBACK;
use crate::state::replica_reports::{RecentCounts, ReplicaReports};
use crate::state::shared_load::SharedLoad;
use crate::state::slice::Slice;
use crate::time::{Moment, Span};
use std::collections::BTreeSet;

/// The circumstances in which a listing arrived.
#[derive(Clone, Copy)]
pub(crate) struct ListedAt {
    pub now: Moment,
    /// The time until a started replica is warm.
    pub warm_up: Span,
    /// True if no list has arrived before, other than the one cached by an earlier incarnation.
    pub is_first_list: bool,
}

impl ListedAt {
    /// Returns the time since which a new process counts as running. A process that a later list names for the first
    /// time has not been running for longer than the warm-up, so another start time is from a wall clock that was
    /// stepped.
    fn running_since(self, started: Moment) -> Moment {
        let is_recent = self.is_first_list || self.now - started < self.warm_up;
        if started <= self.now && is_recent {
            started
        } else {
            self.now
        }
    }
}

/// A replica.
pub struct Replica {
    /// The zone that the replica runs in.
    pub zone: ZoneId,
    /// The machine type that the replica runs on.
    pub machine: String,
    /// The listed state.
    pub state: ReplicaState,
    /// The listed weight: the replica's capacity relative to other replicas.
    pub weight: f64,
    /// The listed start time of the replica's process, if known. It identifies the process.
    pub(crate) started: Option<Moment>,
    /// The start time of the process by this controller's clock.
    pub(crate) running_since: Option<Moment>,
    /// A hash that identifies the replica identically at all controllers.
    pub(crate) stable_hash: u64,
    /// The controllers that steer the replica.
    pub(crate) subset: SubsetMembership,
    /// The load from other controllers, if several steer the replica.
    pub(crate) shared_load: SharedLoad,
    /// True if the replica is listed and not gone.
    pub(crate) listed: bool,
    pub(crate) reports: ReplicaReports,
    /// The last estimate of the report sums over the recent window.
    pub(crate) recent_counts: RecentCounts,
    /// The last estimate of the ratio of its mean latency to the tightest target latency over the recent window.
    pub(crate) latency_ratio: f64,
    /// The time at which the ejection as an outlier ends.
    pub(crate) ejected_until: Option<Moment>,
    /// The number of ejections without a long healthy time in between. Each ejection is longer than the previous
    /// one, up to a limit.
    pub(crate) ejection_count: u32,
    /// The reduction of its slices' load (see [`crate::state::admission`]).
    pub(crate) reduction: f64,
    /// The time at which the reduction last changed.
    pub(crate) reduction_changed_at: Moment,
    /// The number of consecutive rounds above the band; negative for rounds below it.
    pub(crate) rounds_outside_band: i32,
    /// True if the replica is withdrawn from all tables. It stays true until the proxies have been sent the
    /// reinstatement.
    pub(crate) withdrawn: bool,
    /// True if this controller ever withdrew or reinstated the replica.
    pub(crate) was_ever_withdrawn: bool,
    /// The time at which proxies were last sent a withdrawal or reinstatement.
    pub(crate) withdrawal_sent_at: Moment,
    /// True if the replica was the source or destination of a move in this round.
    pub(crate) moved_this_round: bool,
    /// The slices whose desired or applied table names the replica.
    pub(crate) slices: BTreeSet<SliceId>,
    /// The number of slices for which the replica is a standby.
    pub(crate) standby_count: f64,
    /// The last estimate of its slices' load in requests per second, corrected by each table change.
    pub(crate) load: f64,
    /// The requests per second for its slices, including all retries.
    pub(crate) demand: f64,
    /// The requests per second for its slices, including all retries, if no load were shed.
    pub(crate) unshed_demand: f64,
    /// The requests per second for its slices, including all retries, if no load were shed and their other owners
    /// answered nothing.
    pub(crate) failover_demand: f64,
    /// The attempts per second that proxies report while the replica is warming up, whatever slices cause them.
    pub(crate) attempt_rate: f64,
    /// The reported attempts as a multiple of the demand, as of the last estimate; at least 1.
    pub(crate) attempts_per_demand: f64,
    /// mu of DDMC without operators' weight factors: listed weight times relative speed.
    pub(crate) service_rate: f64,
    /// mu of DDMC: the service rate times the operators' weight factor and the ownership.
    pub(crate) effective_capacity: f64,
    /// The capacity factor set by an override.
    pub(crate) weight_factor: f64,
    /// This controller's part of the replica, as a multiple of the part that each controller would have if the
    /// replica were divided evenly. It is normally 1. While the replica warms up, the controller that is drawn for
    /// it owns all of it, and the others have 0.
    pub(crate) ownership: f64,
    /// True if an override takes the replica out of service.
    pub(crate) out_of_service: bool,
    /// True if the demand exceeded the slow-start budget when it was last compared.
    pub(crate) exceeds_budget: bool,
}

impl Replica {
    /// Creates the record of a replica that a table or report names before the list does.
    pub(crate) fn new_unlisted() -> Self {
        Replica {
            zone: ZoneId::MAX,
            machine: String::new(),
            state: ReplicaState::Gone,
            weight: 1.0,
            started: None,
            running_since: None,
            stable_hash: 0,
            subset: SubsetMembership::default(),
            shared_load: SharedLoad::default(),
            listed: false,
            reports: ReplicaReports::default(),
            recent_counts: RecentCounts::default(),
            latency_ratio: 0.0,
            ejected_until: None,
            ejection_count: 0,
            reduction: 0.0,
            reduction_changed_at: Moment::default(),
            rounds_outside_band: 0,
            withdrawn: false,
            was_ever_withdrawn: false,
            withdrawal_sent_at: Moment::default(),
            moved_this_round: false,
            slices: BTreeSet::new(),
            standby_count: 0.0,
            load: 0.0,
            demand: 0.0,
            unshed_demand: 0.0,
            failover_demand: 0.0,
            attempt_rate: 0.0,
            attempts_per_demand: 1.0,
            service_rate: 1.0,
            effective_capacity: 1.0,
            weight_factor: 1.0,
            ownership: 1.0,
            out_of_service: false,
            exceeds_budget: false,
        }
    }

    /// Updates the listed properties.
    pub(crate) fn update_listing(&mut self, listing: &ReplicaListing, listed_at: ListedAt) {
        if self.started != listing.started {
            self.running_since = listing.started.map(|started| listed_at.running_since(started));
        }
        if self.started != listing.started && listing.state != ReplicaState::Gone {
            // A restarted process is not an outlier, and reports on the previous process no longer apply.
            self.ejected_until = None;
            self.ejection_count = 0;
            self.clear_reports();
        }
        self.zone = listing.zone;
        self.started = listing.started;
        self.stable_hash = listing.stable_hash;
        self.subset = listing.subset;
        // A draining replica that leaves the list is permanently gone, even if missing entries are advisory
        // otherwise.
        let has_left = self.state == ReplicaState::Draining && listing.state == ReplicaState::Gone;
        self.state = if has_left { ReplicaState::Draining } else { listing.state };
        self.weight = listing.weight;
        self.machine.clone_from(&listing.machine);
        self.listed = listing.state != ReplicaState::Gone;
    }

    /// Clears all reports on the replica.
    pub(crate) fn clear_reports(&mut self) {
        self.reports.clear();
        self.recent_counts = RecentCounts::default();
    }

    /// Ejects the replica for `base`, or for a multiple of it after a relapse. It is not a relapse if the replica
    /// was healthy for the duration of the longest ejection since the previous one.
    pub(crate) fn eject(&mut self, now: Moment, base: Span, max_multiple: u32) {
        let longest = base.times(f64::from(max_multiple));
        if self.ejected_until.is_none_or(|until| now - until > longest) {
            self.ejection_count = 0;
        }
        self.ejection_count += 1;
        let multiple = self.ejection_count.min(max_multiple);
        self.ejected_until = Some(now + base.times(f64::from(multiple)));
        self.clear_reports();
    }

    /// Adds `sign` times a slice's estimated load to the replica's, according to its part in the slice's table.
    pub(crate) fn add_slice_load(&mut self, id: ReplicaId, slice: &Slice, share: f64, sign: f64) {
        self.load += sign * slice.load * share;
        self.demand += sign * slice.demand * share;
        self.unshed_demand += sign * slice.unshed_demand * share;
        if !slice.table.is_standby(&id) {
            self.failover_demand += sign * slice.unshed_demand;
        }
    }

    /// Returns true if the replica is not listed, no table names it, and no report on it is recent enough for any
    /// rule.
    pub(crate) fn is_removable(&self, now: Moment) -> bool {
        !self.listed
            && self.slices.is_empty()
            && now - self.reports.attempts.newest_bucket_end() > LONGEST_LOOKBACK
    }

    /// Returns true if the replica is listed as ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.listed && self.state == ReplicaState::Ready
    }

    /// Returns true if only other controllers steer the replica.
    pub(crate) fn is_steered_by_others(&self) -> bool {
        self.subset == SubsetMembership::OtherControllers
    }

    /// Returns true if slices may move to the replica at all.
    pub(crate) fn is_selectable(&self) -> bool {
        self.is_ready() && !self.withdrawn && !self.out_of_service && !self.is_steered_by_others()
    }

    /// Draws one of the controllers. The draw depends only on the replica and its start time, so that it is the
    /// same at all controllers.
    pub(crate) fn draw_controller(&self, controller_count: u32) -> u32 {
        let start = (self.started.unwrap_or_default() - Moment::default()).as_ns();
        // Similar seeds give similar first draws, so the seed is first multiplied by the golden ratio to spread
        // the values.
        let seed = (self.stable_hash ^ start).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        (Random::from_seed(seed).draw() * f64::from(controller_count)) as u32
    }

    /// The level of DDMC: load divided by effective capacity.
    pub(crate) fn utilization(&self) -> f64 {
        self.load / self.effective_capacity
    }
}
