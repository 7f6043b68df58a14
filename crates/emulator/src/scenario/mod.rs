//! Simulates a scenario event by event in virtual time. The same configuration, faults and seed give the same
//! outcome.

mod arrivals;
mod attempts;
mod connection;
mod controllers;
mod counters;
mod discovery;
mod end_faults;
mod event;
mod outcome;
mod proxies;
mod real_time;
mod relay;
mod relay_watch;
mod releases;
mod reports;
mod responses;
mod rule_checks;
mod run;
mod slices;
mod start_faults;
mod state;
mod timeline;

pub use connection::{ControllerConnection, ControllerInput};
pub use outcome::Outcome;
pub use state::{CommandInterceptor, Scenario};
pub use timeline::TimelineEntry;

use crate::config::ScenarioConfig;
use crate::fault::Fault;
use crate::policy::Policy;

/// Runs a scenario.
pub fn run_scenario(config: &ScenarioConfig, policy: Policy, faults: &[Fault], seed: u64) -> Outcome {
    let mut scenario = Scenario::new(config.clone(), policy, faults.to_vec(), seed);
    scenario.run();
    scenario.outcome
}

/// Runs a scenario and records the timeline of one replica or slice: all faults, the list changes, commands and
/// decisions that name the subject, and its counts of each second.
pub fn run_with_timeline(
    config: &ScenarioConfig,
    faults: &[Fault],
    seed: u64,
    subject: &str,
) -> (Outcome, Vec<TimelineEntry>) {
    let mut scenario = Scenario::new(config.clone(), Policy::Controlled, faults.to_vec(), seed);
    scenario.timeline_subject = Some(subject.to_string());
    scenario.run();
    (scenario.outcome, scenario.timeline)
}

/// Runs a scenario in which `interceptor` changes commands on their way to the proxies, to test the checkers of the
/// rules.
pub fn run_with_interceptor(
    config: &ScenarioConfig,
    faults: &[Fault],
    seed: u64,
    interceptor: CommandInterceptor,
) -> Outcome {
    let mut scenario = Scenario::new(config.clone(), Policy::Controlled, faults.to_vec(), seed);
    scenario.command_interceptor = Some(interceptor);
    scenario.run();
    scenario.outcome
}
