//! The definition of an experiment: a fleet, cases with their faults, policies, seeds and a varied parameter. It is
//! read from XML; errors in the file are reported as `ConfigError`, the type that the operators' file also uses. The
//! search for the worst scenario writes its result in the same format.

mod attributes;
mod fault_xml;
mod names;
mod parse;
mod write;

pub use names::{policy_name, FleetSize, VariedParameter, POLICIES};
pub use parse::parse;

use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::Fault;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::random_faults::random_faults;

/// An experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The name: letters, digits and dashes.
    pub name: String,
    /// The fleet.
    pub config: ScenarioConfig,
    /// The fleet size that provides the defaults of `config`.
    pub size: FleetSize,
    /// The seeds of the simulation's random numbers: consecutive numbers.
    pub seeds: Vec<u64>,
    /// The policies to compare.
    pub policies: Vec<Policy>,
    /// The cases, whose names are unique.
    pub cases: Vec<Case>,
    /// The varied parameter, if any.
    pub varied: Option<VariedParameter>,
    /// The values of the varied parameter; a single unused value if no parameter is varied.
    pub values: Vec<f64>,
}

/// A case of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// The name.
    pub name: String,
    /// The faults that are injected.
    pub faults: CaseFaults,
}

/// The faults that a case injects.
#[derive(Clone, Debug, PartialEq)]
pub enum CaseFaults {
    /// The listed faults.
    Given(Vec<Fault>),
    /// A number of random faults, generated separately for each seed.
    Random(usize),
}

/// One simulated run of an experiment.
#[derive(Clone, Debug)]
pub struct Run {
    /// The name of the case.
    pub case: String,
    /// The value of the varied parameter.
    pub value: f64,
    /// The routing policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
    /// The fleet, with the value of the varied parameter applied.
    pub config: ScenarioConfig,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Experiment {
    /// Returns all runs. They are independent of each other.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for case in &self.cases {
            for value in &self.values {
                let config = self.config_with(*value);
                for seed in &self.seeds {
                    let faults = match &case.faults {
                        CaseFaults::Given(faults) => faults.clone(),
                        CaseFaults::Random(count) => random_faults(*seed, *count, &config),
                    };
                    runs.extend(self.policies.iter().map(|policy| Run {
                        case: case.name.clone(),
                        value: *value,
                        policy: *policy,
                        seed: *seed,
                        config: config.clone(),
                        faults: faults.clone(),
                    }));
                }
            }
        }
        runs
    }

    fn config_with(&self, value: f64) -> ScenarioConfig {
        let mut config = self.config.clone();
        match self.varied {
            None => {}
            Some(VariedParameter::Load) => config.load = value,
            Some(VariedParameter::Proxies) => config.proxies = (value as usize).max(1),
            Some(VariedParameter::LinesPerSecond) => config.lines_per_second = value,
            Some(VariedParameter::Controllers) => config.controllers = (value as usize).max(1),
        }
        config
    }

    /// Returns the name of the varied parameter, or an empty string if no parameter is varied.
    pub fn varied_name(&self) -> &'static str {
        self.varied.map_or("", VariedParameter::name)
    }
}
