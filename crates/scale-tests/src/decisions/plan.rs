//! The scenarios of a sweep: each kind with each number of controllers and each subset size, all with the same seeds.

use clap::ValueEnum;
use std::fmt;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::{Fault, FaultKind};

/// The kind of a scenario.
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

/// Duration of a fault other than a zone loss, in virtual milliseconds.
const FAULT_DURATION_MS: u64 = 10_000;
/// Duration of a zone loss, in virtual milliseconds. It is shorter than that of other faults because the zone's
/// replicas still have to warm up before the scenario ends.
const ZONE_LOSS_DURATION_MS: u64 = 5_000;
/// Factor by which the load of the hot slice grows.
const HOT_FACTOR: f64 = 20.0;
/// Factor by which the load of all slices grows in a burst.
const BURST_FACTOR: f64 = 1.5;
/// Number of replicas out of ten that are replaced.
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

    /// Returns the faults of the scenario in `fleet`, which begin at `begins_ms` of virtual time.
    pub fn faults(self, fleet: &ScenarioConfig, begins_ms: u64) -> Vec<Fault> {
        let fault_kind = match self {
            ScenarioKind::Calm => return Vec::new(),
            ScenarioKind::Replaced => {
                FaultKind::BatchReplacement { from: 0, to: fleet.replicas * REPLACED_OF_TEN / 10 }
            }
            ScenarioKind::Hot => FaultKind::HotSlice { slice: fleet.slices / 3, factor: HOT_FACTOR },
            ScenarioKind::Burst => FaultKind::Burst { factor: BURST_FACTOR },
            ScenarioKind::Zone => FaultKind::ZoneLost { zone: 1 % fleet.zones },
        };
        let duration_ms = if self == ScenarioKind::Zone { ZONE_LOSS_DURATION_MS } else { FAULT_DURATION_MS };
        vec![Fault::new(begins_ms, duration_ms, fault_kind)]
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

/// The dimensions of a sweep.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The fleet. Its number of controllers and its subset size are replaced by those of the plan.
    pub fleet: ScenarioConfig,
    /// Numbers of controllers.
    pub controllers: Vec<usize>,
    /// Subset sizes; 0 means without subsets.
    pub subsets: Vec<usize>,
    /// Kinds of scenarios.
    pub kinds: Vec<ScenarioKind>,
    /// The virtual time at which faults begin, in milliseconds.
    pub faults_begin_ms: u64,
    /// Seeds, the same for each combination of the other dimensions.
    pub seeds: Vec<u64>,
}

/// One scenario of the plan.
#[derive(Clone, Debug)]
pub struct PlannedScenario {
    /// The kind of scenario.
    pub kind: ScenarioKind,
    /// The subset size; 0 means without subsets.
    pub subset: usize,
    /// The seed.
    pub seed: u64,
    /// The fleet.
    pub fleet: ScenarioConfig,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Returns all scenarios, grouped by kind, subset size and number of controllers.
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
