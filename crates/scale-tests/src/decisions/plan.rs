//! Which days are played: each kind of day with each number of governors and each size of subsets, seeds paired.

use super::{Args, SweepError};
use clap::ValueEnum;
use std::fmt;
use whinwall_emulator::sizes::Sizes;
use whinwall_emulator::trouble::{at, Trouble, What};
use whinwall_policy::time::Span;

/// What happens on a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum DayKind {
    /// Nothing.
    Calm,
    /// Six replicas in ten are replaced in two waves, and come back cold.
    Replaced,
    /// One slice gets many times what it got.
    Hot,
    /// All slices get half as much again for a while.
    Burst,
    /// All replicas of one zone end at once, and come back cold.
    Zone,
}

const LASTS_MS: u64 = 10_000;
/// A lost zone is back sooner: its replicas still have to get warm within the day.
const ZONE_LASTS_MS: u64 = 5_000;
const HOT_FACTOR: f64 = 20.0;
const BURST_FACTOR: f64 = 1.5;
/// Of ten replicas so many are replaced.
const REPLACED_OF_TEN: usize = 6;

impl DayKind {
    /// All kinds.
    pub const ALL: [DayKind; 5] =
        [DayKind::Calm, DayKind::Replaced, DayKind::Hot, DayKind::Burst, DayKind::Zone];

    /// What happens on such a day in a fleet of this size, from this time on.
    pub fn troubles(self, sizes: &Sizes, begins_ms: u64) -> Vec<Trouble> {
        let what = match self {
            DayKind::Calm => return Vec::new(),
            DayKind::Replaced => What::Replaced { from: 0, to: sizes.replicas * REPLACED_OF_TEN / 10 },
            DayKind::Hot => What::HotSlice { slice: sizes.slices / 3, factor: HOT_FACTOR },
            DayKind::Burst => What::Burst { factor: BURST_FACTOR },
            DayKind::Zone => What::ZoneLost { zone: 1 % sizes.zones },
        };
        let lasts = if self == DayKind::Zone { ZONE_LASTS_MS } else { LASTS_MS };
        vec![at(begins_ms, lasts, what)]
    }
}

impl fmt::Display for DayKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            DayKind::Calm => "calm",
            DayKind::Replaced => "replaced",
            DayKind::Hot => "hot",
            DayKind::Burst => "burst",
            DayKind::Zone => "zone",
        };
        f.write_str(name)
    }
}

/// The sweep's dimensions.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The fleet, whose number of governors and subsets are replaced by those of the plan.
    pub sizes: Sizes,
    /// Numbers of governors.
    pub controllers: Vec<usize>,
    /// Sizes of subsets; 0 plays without subsets.
    pub subsets: Vec<usize>,
    /// Kinds of days.
    pub kinds: Vec<DayKind>,
    /// When troubles begin.
    pub begins_ms: u64,
    /// Seeds, the same for each combination of the others.
    pub seeds: Vec<u64>,
}

/// One day of the plan.
#[derive(Clone, Debug)]
pub struct PlannedDay {
    /// What kind of day it is.
    pub kind: DayKind,
    /// The size of subsets; 0 without subsets.
    pub subset: usize,
    /// The seed.
    pub seed: u64,
    /// The fleet.
    pub sizes: Sizes,
    /// What happens.
    pub troubles: Vec<Trouble>,
}

impl Plan {
    /// The plan that the command's arguments ask for.
    ///
    /// # Errors
    ///
    /// When a count that must be at least 1 is 0.
    pub fn from_args(args: &Args) -> Result<Plan, SweepError> {
        let counts = [
            ("replicas", args.replicas),
            ("slices", args.slices),
            ("proxies", args.proxies),
            ("seeds", args.seeds as usize),
            ("seconds", args.seconds as usize),
            ("governors", args.controllers.iter().copied().min().unwrap_or(0)),
        ];
        if let Some((name, _)) = counts.iter().find(|(_, count)| *count == 0) {
            return Err(SweepError::Zero(name));
        }
        let sizes = Sizes {
            replicas: args.replicas,
            slices: args.slices,
            proxies: args.proxies,
            load: args.load,
            load_window: args.load_window,
            lasts: Span::ms(args.seconds * 1000),
            ..Sizes::large()
        };
        Ok(Plan {
            sizes,
            controllers: args.controllers.clone(),
            subsets: args.subsets.clone(),
            kinds: args.days.clone(),
            begins_ms: args.begins * 1000,
            seeds: (1..=args.seeds).collect(),
        })
    }

    /// All days, those of one kind and one number of governors side by side.
    pub fn days(&self) -> Vec<PlannedDay> {
        let mut days = Vec::new();
        for kind in &self.kinds {
            for subset in &self.subsets {
                for controllers in &self.controllers {
                    let sizes = Sizes { controllers: *controllers, subset: *subset, ..self.sizes.clone() };
                    days.extend(self.seeds.iter().map(|seed| PlannedDay {
                        kind: *kind,
                        subset: *subset,
                        seed: *seed,
                        sizes: sizes.clone(),
                        troubles: kind.troubles(&sizes, self.begins_ms),
                    }));
                }
            }
        }
        days
    }
}
