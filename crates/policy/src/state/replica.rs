//! A replica as this controller knows it: what the list says, what was reported of it, and what was decided about it.

use crate::api::{ReplicaListing, ReplicaState, SliceId, SubsetMembership, ZoneId};
use crate::random::Random;
use crate::state::recent_counter::LONGEST_LOOKBACK;
use crate::state::replica_reports::{RecentCounts, ReplicaReports};
use crate::state::shared_load::SharedLoad;
use crate::time::{Moment, Span};
use std::collections::BTreeSet;

/// A replica.
pub struct Replica {
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The kind of machine that it runs on.
    pub machine: String,
    /// What the list says of it.
    pub state: ReplicaState,
    /// Its capacity against that of the others, as listed.
    pub weight: f64,
    /// When its process started, if known.
    pub(crate) started: Option<Moment>,
    /// Identifies it at all controllers alike.
    pub(crate) stable_hash: u64,
    /// Which controllers steer it.
    pub(crate) subset: SubsetMembership,
    /// What other controllers bring, where several steer it.
    pub(crate) shared: SharedLoad,
    /// Whether the list names it and does not call it gone.
    pub(crate) listed: bool,
    pub(crate) reports: ReplicaReports,
    /// Sums of the reports over the last seconds, as last estimated.
    pub(crate) recent: RecentCounts,
    /// Mean latency over the last seconds against the tightest target latency, as last estimated.
    pub(crate) latency_ratio: f64,
    /// Until when it is ejected as an outlier.
    pub(crate) ejected_until: Option<Moment>,
    /// How often it was ejected without having been well for long in between; each ejection is longer, up to a limit.
    pub(crate) ejection_count: u32,
    /// How far the load of its slices is to be shed (see [`crate::state::admission`]).
    pub(crate) reduction: f64,
    /// When that last changed.
    pub(crate) reduction_changed_at: Moment,
    /// Rounds in a row above the band, or below it where negative.
    pub(crate) rounds_outside_band: i32,
    /// Whether it was withdrawn from all tables; until proxies were sent its reinstatement it counts as withdrawn.
    pub(crate) withdrawn: bool,
    /// Whether this controller ever withdrew or reinstated it.
    pub(crate) was_ever_withdrawn: bool,
    /// When proxies were last sent a withdrawal or reinstatement.
    pub(crate) withdrawal_sent_at: Moment,
    /// Whether it gave or took a slice in this round.
    pub(crate) moved_this_round: bool,
    /// Slices whose desired or applied table names it.
    pub(crate) slices: BTreeSet<SliceId>,
    /// For how many slices it is a standby.
    pub(crate) standby_count: f64,
    /// The load of its slices in requests a second, as last estimated and corrected by each change of a table.
    pub(crate) load: f64,
    /// The same with all retries.
    pub(crate) demand: f64,
    /// mu of DDMC without operators' factors: listed weight times relative speed.
    pub(crate) service_rate: f64,
    /// mu of DDMC: the service rate times operators' factor and ownership.
    pub(crate) effective_capacity: f64,
    /// The factor that an override puts on its capacity.
    pub(crate) weight_factor: f64,
    /// This controller's part of it, in multiples of an even part: 1 in general; of a replica that warms up the controller
    /// that is drawn for it has all, and the others 0.
    pub(crate) ownership: f64,
    /// Whether an override takes it out of service.
    pub(crate) out_of_service: bool,
}

impl Replica {
    /// A replica that a table or report names before the list does.
    pub(crate) fn new_unlisted() -> Self {
        Replica {
            zone: ZoneId::MAX,
            machine: String::new(),
            state: ReplicaState::Gone,
            weight: 1.0,
            started: None,
            stable_hash: 0,
            subset: SubsetMembership::default(),
            shared: SharedLoad::default(),
            listed: false,
            reports: ReplicaReports::default(),
            recent: RecentCounts::default(),
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
            service_rate: 1.0,
            effective_capacity: 1.0,
            weight_factor: 1.0,
            ownership: 1.0,
            out_of_service: false,
        }
    }

    /// Takes over what the list says.
    pub(crate) fn update_listing(&mut self, listing: &ReplicaListing) {
        if self.started != listing.started && listing.state != ReplicaState::Gone {
            // A restarted process is no outlier, and what was reported of the former one says nothing now.
            self.ejected_until = None;
            self.ejection_count = 0;
            self.clear_reports();
        }
        self.zone = listing.zone;
        self.started = listing.started;
        self.stable_hash = listing.stable_hash;
        self.subset = listing.subset;
        // One that drained and then left the list has gone for good, whatever else a missing entry may mean.
        let has_left = self.state == ReplicaState::Draining && listing.state == ReplicaState::Gone;
        self.state = if has_left { ReplicaState::Draining } else { listing.state };
        self.weight = listing.weight;
        self.machine.clone_from(&listing.machine);
        self.listed = listing.state != ReplicaState::Gone;
    }

    /// Drops all that was reported of it so far.
    pub(crate) fn clear_reports(&mut self) {
        self.reports.clear();
        self.recent = RecentCounts::default();
    }

    /// Ejects it for `base`, or longer where that is a relapse: one that was well for as long as the longest ejection since
    /// the last one has not relapsed.
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

    /// Whether it is not listed, in no table, and was not reported on for longer than any rule looks back.
    pub(crate) fn is_removable(&self, now: Moment) -> bool {
        !self.listed
            && self.slices.is_empty()
            && now - self.reports.attempts.newest_bucket_end() > LONGEST_LOOKBACK
    }

    /// Whether the list says that it serves.
    pub(crate) fn is_ready(&self) -> bool {
        self.listed && self.state == ReplicaState::Ready
    }

    /// Whether other controllers steer it and this one does not.
    pub(crate) fn is_steered_by_others(&self) -> bool {
        self.subset == SubsetMembership::OtherControllers
    }

    /// Whether slices may move to it at all.
    pub(crate) fn is_selectable(&self) -> bool {
        self.is_ready() && !self.withdrawn && !self.out_of_service && !self.is_steered_by_others()
    }

    /// One of so many controllers, drawn from what all of them know alike of this start of the replica.
    pub(crate) fn draw_controller(&self, controller_count: u32) -> u32 {
        let start = (self.started.unwrap_or_default() - Moment::default()).as_ns();
        // Seeds that are near each other have near first numbers: they are parted by the golden ratio first.
        let seed = (self.stable_hash ^ start).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        (Random::from_seed(seed).draw() * f64::from(controller_count)) as u32
    }

    /// The level of DDMC: load over effective capacity.
    pub(crate) fn utilization(&self) -> f64 {
        self.load / self.effective_capacity
    }
}
