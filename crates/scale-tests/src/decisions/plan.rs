//! Which scenarios are played: each kind with each number of controllers and each size of subsets, seeds paired.

use clap::ValueEnum;
use std::fmt;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::{Fault, FaultKind};

/// What happens in a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum ScenarioKind {
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

/// How long a fault lasts, in virtual milliseconds.
const FAULT_DURATION_MS: u64 = 10_000;
/// How long a zone is lost, in virtual milliseconds: shorter, as its replicas still have to warm up in the scenario.
const ZONE_LOSS_DURATION_MS: u64 = 5_000;
/// By how much the load of the hot slice grows.
const HOT_FACTOR: f64 = 20.0;
/// By how much the load of all slices grows in a burst.
const BURST_FACTOR: f64 = 1.5;
/// Replicas that are replaced, of each ten.
const REPLACED_OF_TEN: usize = 6;

impl ScenarioKind {
    /// All kinds.
    pub const ALL: [ScenarioKind; 5] = [
        ScenarioKind::Calm,
        ScenarioKind::Replaced,
        ScenarioKind::Hot,
        ScenarioKind::Burst,
        ScenarioKind::Zone,
    ];

    /// The faults of the scenario in a fleet of this size, from a virtual time in milliseconds on.
    pub fn faults(self, fleet: &ScenarioConfig, begins_ms: u64) -> Vec<Fault> {
        let what = match self {
            ScenarioKind::Calm => return Vec::new(),
            ScenarioKind::Replaced => {
                FaultKind::BatchReplacement { from: 0, to: fleet.replicas * REPLACED_OF_TEN / 10 }
            }
            ScenarioKind::Hot => FaultKind::HotSlice { slice: fleet.slices / 3, factor: HOT_FACTOR },
            ScenarioKind::Burst => FaultKind::Burst { factor: BURST_FACTOR },
            ScenarioKind::Zone => FaultKind::ZoneLost { zone: 1 % fleet.zones },
        };
        let duration_ms = if self == ScenarioKind::Zone { ZONE_LOSS_DURATION_MS } else { FAULT_DURATION_MS };
        vec![Fault::new(begins_ms, duration_ms, what)]
    }
}

impl fmt::Display for ScenarioKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            ScenarioKind::Calm => "calm",
            ScenarioKind::Replaced => "replaced",
            ScenarioKind::Hot => "hot",
            ScenarioKind::Burst => "burst",
            ScenarioKind::Zone => "zone",
        };
        formatter.write_str(name)
    }
}

/// The sweep's dimensions.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The fleet, whose number of controllers and subsets are replaced by those of the plan.
    pub fleet: ScenarioConfig,
    /// Numbers of controllers.
    pub controllers: Vec<usize>,
    /// Sizes of subsets; 0 plays without subsets.
    pub subsets: Vec<usize>,
    /// Kinds of scenarios.
    pub kinds: Vec<ScenarioKind>,
    /// When faults begin, in virtual milliseconds.
    pub faults_begin_ms: u64,
    /// Seeds, the same for each combination of the others.
    pub seeds: Vec<u64>,
}

/// One scenario of the plan.
#[derive(Clone, Debug)]
pub struct PlannedScenario {
    /// Its kind.
    pub kind: ScenarioKind,
    /// The size of subsets; 0 without subsets.
    pub subset: usize,
    /// The seed.
    pub seed: u64,
    /// The fleet.
    pub fleet: ScenarioConfig,
    /// Its faults.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// All scenarios, those of one kind and one number of controllers side by side.
    pub fn scenarios(&self) -> Vec<PlannedScenario> {
        let mut scenarios = Vec::new();
        for kind in &self.kinds {
            for subset in &self.subsets {
                for controllers in &self.controllers {
                    let fleet = ScenarioConfig {
                        controllers: *controllers,
                        subset_size: *subset,
                        ..self.fleet.clone()
                    };
                    scenarios.extend(self.seeds.iter().map(|seed| PlannedScenario {
                        kind: *kind,
                        subset: *subset,
                        seed: *seed,
                        fleet: fleet.clone(),
                        faults: kind.faults(&fleet, self.faults_begin_ms),
                    }));
                }
            }
        }
        scenarios
    }
}
