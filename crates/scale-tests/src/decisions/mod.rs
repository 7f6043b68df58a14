//! Sweeps of the number of controllers in the emulator: the same scenarios, with the same seeds, run with increasing
//! numbers of controllers. All figures come from the project's emulator, not from real processes.

mod arguments;
mod error;
mod plan;
mod table;

pub use arguments::Args;
pub use error::SweepError;
pub use plan::{Plan, PlannedScenario, ScenarioKind};
pub use table::{paired_differences, table, ScenarioRun};

use rayon::prelude::*;
use std::sync::Mutex;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::scenario::run_scenario;
use whinwall_experiments::results::{self, ResultRow};

/// Runs the scenarios of the plan on a thread pool; the outcomes are in the plan's order.
///
/// # Errors
///
/// When the thread pool cannot be started.
pub fn run_all(plan: &Plan, threads: usize) -> Result<Vec<ScenarioRun>, SweepError> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads.max(1)).build()?;
    let progress = Mutex::new(0);
    let scenarios = plan.scenarios();
    let run_planned = |scenario: &PlannedScenario| {
        let outcome = run_scenario(&scenario.fleet, Policy::Controlled, &scenario.faults, scenario.seed);
        if let Ok(mut completed) = progress.lock() {
            *completed += 1;
            eprintln!("{}", table::progress_line(*completed, scenarios.len(), scenario, &outcome));
        }
        ScenarioRun { scenario: scenario.clone(), outcome }
    };
    Ok(pool.install(|| scenarios.par_iter().map(run_planned).collect()))
}

/// Runs the sweep, prints its tables, and writes rows and tables if an output folder is given.
///
/// # Errors
///
/// When the arguments are out of range, the thread pool cannot be started, or results cannot be written.
pub fn run(args: Args) -> Result<(), SweepError> {
    let plan = args.plan()?;
    let runs = run_all(&plan, args.threads)?;
    let text = format!("{}\n{}", table(&runs), paired_differences(&runs, args.reference));
    print!("{text}");
    let Some(out) = &args.out else { return Ok(()) };
    let rows: Vec<ResultRow> = runs.iter().map(|run| run.row(&args.commit)).collect();
    results::append(out, &rows)?;
    let path = out.join("decisions.md");
    std::fs::write(&path, text).map_err(|source| SweepError::Table { path, source })
}
