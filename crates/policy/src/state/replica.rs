//! A replica as this controller knows it: what the list says, what was reported of it, and what was decided about it.

use crate::api::{EndpointReport, ReplicaListing, ReplicaState, SliceId, SubsetMembership, ZoneId};
use crate::random::Random;
use crate::state::shared_load::SharedLoad;
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;
use std::collections::BTreeSet;

/// Twenty seconds in half-second buckets: the longest that any rule looks back.
pub(crate) const LONGEST_LOOKBACK: Span = Span::ms(20_000);
pub(crate) fn recent_counter() -> WindowedCounter {
    WindowedCounter::new(Span::ms(500), 40)
}
pub struct Replica {
    pub zone: ZoneId,
    pub machine: String,
    pub state: ReplicaState,
    /// Its listed capacity.
    pub weight: f64,
    pub started: Option<Moment>,
    /// Stands for it at all controllers alike.
    pub stable_hash: u64,
    /// Which controllers steer it.
    pub subset: SubsetMembership,
    pub shared: SharedLoad,
    pub listed: bool,
    pub attempts: WindowedCounter,
    pub failed: WindowedCounter,
    pub succeeded: WindowedCounter,
    pub latency_seconds: WindowedCounter,
    pub expected: WindowedCounter,
    /// When its reports were last known not to be whole, and since when there are any, where there were none before.
    pub incomplete_at: Option<Moment>,
    pub observed_since: Moment,
    /// Seconds that its latest answers took.
    pub last_latency_seconds: f64,
    pub ejected_until: Option<Moment>,
    pub consecutive_ejections: u32,
    /// How much of what comes for it is to be held back, from nothing to nearly all; and since when.
    pub reduction: f64,
    pub reduction_changed_at: Moment,
    /// Rounds in a row above the band, or below it where negative.
    pub rounds_outside_band: i32,
    /// Withdrawn by us from all tables; whether it ever was; and when proxies were last told of either.
    pub withdrawn: bool,
    pub was_ever_withdrawn: bool,
    pub withdrawal_sent_at: Moment,
    /// Gave or took a slice in this round.
    pub moved_this_round: bool,
    /// Slices that have, or are to have, a line on it; and the number of those for which it only stands by.
    pub slices: BTreeSet<SliceId>,
    pub standby_count: f64,
    /// As of the last survey, corrected by each change of a table.
    pub load: f64,
    pub demand: f64,
    /// What it can do, and what it counts for: that, times the factor that operators put on it.
    pub service_rate: f64,
    pub effective_capacity: f64,
    pub weight_factor: f64,
    /// How much more of it is ours than our part; 0 where it is another controller's alone.
    pub ownership: f64,
    /// Out of service by the operators' override.
    pub out_of_service: bool,
    pub recent: RecentCounts,
    pub latency_ratio: f64,
}

impl Replica {
    pub fn new_unlisted() -> Self {
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
            attempts: recent_counter(),
            failed: recent_counter(),
            succeeded: recent_counter(),
            latency_seconds: recent_counter(),
            expected: recent_counter(),
            incomplete_at: None,
            observed_since: Moment::default(),
            last_latency_seconds: 0.0,
            ejected_until: None,
            consecutive_ejections: 0,
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
            recent: RecentCounts::default(),
            latency_ratio: 0.0,
        }
    }

    /// Takes over what the list says.
    pub fn update_listing(&mut self, entry: &ReplicaListing) {
        if self.started != entry.started && entry.state != ReplicaState::Gone {
            // A restarted process has shed what ailed it, and what was met at it before says nothing now.
            self.ejected_until = None;
            self.clear_reports();
        }
        self.zone = entry.zone;
        (self.started, self.stable_hash, self.subset) = (entry.started, entry.stable_hash, entry.subset);
        // One that drained and then left the list has gone for good, whatever else a dropped line may mean.
        let left = self.state == ReplicaState::Draining && entry.state == ReplicaState::Gone;
        self.state = if left { ReplicaState::Draining } else { entry.state };
        self.weight = entry.weight;
        self.machine.clone_from(&entry.machine);
        self.listed = entry.state != ReplicaState::Gone;
    }

    pub fn record_report(&mut self, now: Moment, met: &EndpointReport, latest: Span, delay: f64) {
        let answered = (met.attempts - met.failed).max(0.0);
        let took = |mean: Span| (mean.seconds() - delay).max(0.0);
        self.attempts.spread(now, met.window, met.attempts);
        self.failed.spread(now, met.window, met.failed);
        self.succeeded.spread(now, met.window, answered);
        self.latency_seconds.spread(now, met.window, answered * took(met.mean_latency));
        if answered > 0.0 {
            self.last_latency_seconds = took(latest);
        }
    }

    pub fn recent_counts(&self, now: Moment, over: Span) -> RecentCounts {
        RecentCounts {
            attempts: self.attempts.sum(now, over),
            failed: self.failed.sum(now, over),
            succeeded: self.succeeded.sum(now, over),
            latency_seconds: self.latency_seconds.sum(now, over),
            expected: self.expected.sum(now, over),
        }
    }

    /// Drops all that was met here so far.
    pub fn clear_reports(&mut self) {
        for recent_counter in [
            &mut self.attempts,
            &mut self.failed,
            &mut self.succeeded,
            &mut self.latency_seconds,
            &mut self.expected,
        ] {
            recent_counter.clear();
        }
        self.last_latency_seconds = 0.0;
        self.recent = RecentCounts::default();
    }

    /// Not on the list, in no table, and nothing was met at it for longer than any rule looks back.
    pub fn is_forgettable(&self, now: Moment) -> bool {
        !self.listed && self.slices.is_empty() && now - self.attempts.newest() > LONGEST_LOOKBACK
    }

    pub fn is_ready(&self) -> bool {
        self.listed && self.state == ReplicaState::Ready
    }

    /// Steered by other controllers only.
    pub(crate) fn is_steered_by_others(&self) -> bool {
        self.subset == SubsetMembership::Others
    }

    /// A replica that may be chosen at all.
    pub(crate) fn is_selectable(&self) -> bool {
        self.is_ready() && !self.withdrawn && !self.out_of_service && !self.is_steered_by_others()
    }

    /// One of so many, drawn by what all controllers know of this start of it alike.
    pub fn draw_controller(&self, of: u32) -> u32 {
        let start = (self.started.unwrap_or_default() - Moment::default()).as_ns();
        // Seeds that are near each other have near first numbers: they are parted by the golden ratio first.
        let seed = (self.stable_hash ^ start).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        (Random::from_seed(seed).draw() * f64::from(of)) as u32
    }

    pub fn utilization(&self) -> f64 {
        self.load / self.effective_capacity
    }
}

/// What was met at a replica within some time: counts, the seconds its answers took, what should have come.
#[derive(Clone, Copy, Default)]
pub struct RecentCounts {
    pub attempts: f64,
    pub failed: f64,
    pub succeeded: f64,
    pub latency_seconds: f64,
    pub expected: f64,
}

impl RecentCounts {
    pub fn failed_share(&self) -> f64 {
        self.failed / self.attempts.max(1.0)
    }
}
