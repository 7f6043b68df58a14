//! A replica as this controller knows it: what the list says, what was reported of it, and what was decided about it.

use crate::api::{EndpointReport, ReplicaListing, ReplicaState, SliceId, SubsetMembership, ZoneId};
use crate::random::Random;
use crate::state::shared_load::SharedLoad;
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;
use std::collections::BTreeSet;

/// Twenty seconds in half-second buckets: the longest that any rule looks back.
pub(crate) const LONGEST: Span = Span::ms(20_000);
pub(crate) fn windowed_counter() -> WindowedCounter {
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
    pub answered: WindowedCounter,
    pub busy: WindowedCounter,
    pub asked: WindowedCounter,
    /// When its reports were last known not to be whole, and since when there are any, where there were none before.
    pub incomplete: Option<Moment>,
    pub observed: Moment,
    /// Seconds that its latest answers took.
    pub last_took: f64,
    pub sick_until: Option<Moment>,
    pub strikes: u32,
    /// How much of what comes for it is to be held back, from nothing to nearly all; and since when.
    pub cut: f64,
    pub cut_at: Moment,
    /// Rounds in a row above the band, or below it where negative.
    pub outside: i32,
    /// Withdrawn by us from all tables; whether it ever was; and when proxies were last told of either.
    pub shut: bool,
    pub was_shut: bool,
    pub turned: Moment,
    /// Gave or took a slice in this round.
    pub used: bool,
    /// Slices that have, or are to have, a line on it; and the number of those for which it only stands by.
    pub lines: BTreeSet<SliceId>,
    pub standing_by: f64,
    /// As of the last survey, corrected by each change of a table.
    pub load: f64,
    pub press: f64,
    /// What it can do, and what it counts for: that, times the factor that operators put on it.
    pub able: f64,
    pub power: f64,
    pub factor: f64,
    /// How much more of it is ours than our part; 0 where it is another controller's alone.
    pub part: f64,
    /// Out of service by the operators' override.
    pub out: bool,
    pub seen: Lately,
    pub strain: f64,
}

impl Replica {
    pub fn unlisted() -> Self {
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
            attempts: windowed_counter(),
            failed: windowed_counter(),
            answered: windowed_counter(),
            busy: windowed_counter(),
            asked: windowed_counter(),
            incomplete: None,
            observed: Moment::default(),
            last_took: 0.0,
            sick_until: None,
            strikes: 0,
            cut: 0.0,
            cut_at: Moment::default(),
            outside: 0,
            shut: false,
            was_shut: false,
            turned: Moment::default(),
            used: false,
            lines: BTreeSet::new(),
            standing_by: 0.0,
            load: 0.0,
            press: 0.0,
            able: 1.0,
            power: 1.0,
            factor: 1.0,
            part: 1.0,
            out: false,
            seen: Lately::default(),
            strain: 0.0,
        }
    }

    /// Takes over what the list says.
    pub fn relist(&mut self, entry: &ReplicaListing) {
        if self.started != entry.started && entry.state != ReplicaState::Gone {
            // A restarted process has shed what ailed it, and what was met at it before says nothing now.
            self.sick_until = None;
            self.forget();
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

    pub fn record(&mut self, now: Moment, met: &EndpointReport, latest: Span, delay: f64) {
        let answered = (met.attempts - met.failed).max(0.0);
        let took = |mean: Span| (mean.seconds() - delay).max(0.0);
        self.attempts.spread(now, met.window, met.attempts);
        self.failed.spread(now, met.window, met.failed);
        self.answered.spread(now, met.window, answered);
        self.busy.spread(now, met.window, answered * took(met.mean_latency));
        if answered > 0.0 {
            self.last_took = took(latest);
        }
    }

    pub fn lately(&self, now: Moment, over: Span) -> Lately {
        Lately {
            attempts: self.attempts.sum(now, over),
            failed: self.failed.sum(now, over),
            answered: self.answered.sum(now, over),
            busy: self.busy.sum(now, over),
            asked: self.asked.sum(now, over),
        }
    }

    /// Drops all that was met here so far.
    pub fn forget(&mut self) {
        for windowed_counter in
            [&mut self.attempts, &mut self.failed, &mut self.answered, &mut self.busy, &mut self.asked]
        {
            windowed_counter.clear();
        }
        self.last_took = 0.0;
        self.seen = Lately::default();
    }

    /// Not on the list, in no table, and nothing was met at it for longer than any rule looks back.
    pub fn is_past(&self, now: Moment) -> bool {
        !self.listed && self.lines.is_empty() && now - self.attempts.newest() > LONGEST
    }

    pub fn is_ready(&self) -> bool {
        self.listed && self.state == ReplicaState::Ready
    }

    /// Steered by other controllers only.
    pub(crate) fn is_foreign(&self) -> bool {
        self.subset == SubsetMembership::Others
    }

    /// A replica that may be chosen at all.
    pub(crate) fn is_open(&self) -> bool {
        self.is_ready() && !self.shut && !self.out && !self.is_foreign()
    }

    /// One of so many, drawn by what all controllers know of this start of it alike.
    pub fn drawn(&self, of: u32) -> u32 {
        let start = (self.started.unwrap_or_default() - Moment::default()).as_ns();
        // Seeds that are near each other have near first numbers: they are parted by the golden ratio first.
        let seed = (self.stable_hash ^ start).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        (Random::from_seed(seed).draw() * f64::from(of)) as u32
    }

    pub fn level(&self) -> f64 {
        self.load / self.power
    }
}

/// What was met at a replica within some time: counts, the seconds its answers took, what should have come.
#[derive(Clone, Copy, Default)]
pub struct Lately {
    pub attempts: f64,
    pub failed: f64,
    pub answered: f64,
    pub busy: f64,
    pub asked: f64,
}

impl Lately {
    pub fn failed_share(&self) -> f64 {
        self.failed / self.attempts.max(1.0)
    }
}
