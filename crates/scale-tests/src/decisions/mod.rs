//! Sweeps of the number of controllers in the emulator: the same scenarios, with the same seeds, played with more and
//! more controllers. All figures are simulated by the project's own emulator.

mod arguments;
mod error;
mod plan;
mod table;

pub use arguments::Args;
pub use error::SweepError;
pub use plan::{Plan, PlannedScenario, ScenarioKind};
pub use table::{paired_differences, table, PlayedScenario};

use rayon::prelude::*;
use std::sync::Mutex;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::scenario::run_scenario;
use whinwall_experiments::results::{self, ResultRow};

/// Plays the scenarios of the plan on a pool of threads; the outcomes are in the plan's order.
///
/// # Errors
///
/// When the threads cannot be started.
pub fn play_all(plan: &Plan, threads: usize) -> Result<Vec<PlayedScenario>, SweepError> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads.max(1)).build()?;
    let progress = Mutex::new(0);
    let scenarios = plan.scenarios();
    let play_one = |scenario: &PlannedScenario| {
        let outcome = run_scenario(&scenario.fleet, Policy::Controlled, &scenario.faults, scenario.seed);
        if let Ok(mut done) = progress.lock() {
            *done += 1;
            eprintln!("{}", table::progress_line(*done, scenarios.len(), scenario, &outcome));
        }
        PlayedScenario { scenario: scenario.clone(), outcome }
    };
    Ok(pool.install(|| scenarios.par_iter().map(play_one).collect()))
}

/// Plays the sweep, prints its table, and writes rows and table where a folder is given.
///
/// # Errors
///
/// When the arguments are out of range, threads cannot be started, or results cannot be written.
pub fn run(args: Args) -> Result<(), SweepError> {
    let plan = args.plan()?;
    let played = play_all(&plan, args.threads)?;
    let text = format!("{}\n{}", table(&played), paired_differences(&played, args.reference));
    print!("{text}");
    let Some(out) = &args.out else { return Ok(()) };
    let rows: Vec<ResultRow> = played.iter().map(|played| played.row(&args.commit)).collect();
    results::append(out, &rows)?;
    let path = out.join("decisions.md");
    std::fs::write(&path, text).map_err(|source| SweepError::Table { path, source })
}
