//! What is played: a fleet, cases with their faults, policies, seeds, and a parameter that is varied. Read from
//! XML with the same errors as the operators' file; written again by the search for the worst scenario.

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
    /// Its name: letters, digits and dashes.
    pub name: String,
    /// The fleet.
    pub config: ScenarioConfig,
    /// The fleet's size that the configuration was derived from.
    pub size: FleetSize,
    /// The seeds, in a row.
    pub seeds: Vec<u64>,
    /// The policies to compare.
    pub policies: Vec<Policy>,
    /// The cases, by unique names.
    pub cases: Vec<Case>,
    /// The parameter that is varied.
    pub varied: Option<VariedParameter>,
    /// Its values; a single one without meaning where nothing is varied.
    pub values: Vec<f64>,
}

/// A case of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Its name.
    pub name: String,
    /// The faults that are injected.
    pub faults: CaseFaults,
}

/// Which faults a case injects.
#[derive(Clone, Debug, PartialEq)]
pub enum CaseFaults {
    /// These.
    Given(Vec<Fault>),
    /// So many, drawn anew for each seed.
    Random(usize),
}

/// One play of an experiment.
#[derive(Clone, Debug)]
pub struct Play {
    /// The name of its case.
    pub case: String,
    /// The value of the varied parameter.
    pub value: f64,
    /// The routing policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
    /// The fleet, with the value in it.
    pub config: ScenarioConfig,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Experiment {
    /// All plays, each of which depends on nothing but itself.
    pub fn plays(&self) -> Vec<Play> {
        let mut plays = Vec::new();
        for case in &self.cases {
            for value in &self.values {
                let config = self.config_with(*value);
                for seed in &self.seeds {
                    let faults = match &case.faults {
                        CaseFaults::Given(faults) => faults.clone(),
                        CaseFaults::Random(count) => random_faults(*seed, *count, &config),
                    };
                    plays.extend(self.policies.iter().map(|policy| Play {
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
        plays
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

    /// The name of the varied parameter; empty where nothing is varied.
    pub fn varied_name(&self) -> &'static str {
        self.varied.map_or("", VariedParameter::name)
    }
}
