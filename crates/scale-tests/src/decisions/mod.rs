//! Sweeps of the number of controllers in the emulator: the same scenarios, with the same seeds, played with more and
//! more controllers. All figures are simulated by the project's own emulator.

mod plan;
mod table;

pub use plan::{Plan, PlannedScenario, ScenarioKind};
pub use table::{paired_differences, table, PlayedScenario};

use rayon::prelude::*;
use std::path::PathBuf;
use std::sync::Mutex;
use thiserror::Error;
use whinwall_emulator::day::play;
use whinwall_emulator::policy::Policy;
use whinwall_experiments::results::{self, Row};

/// Why a sweep could not be played.
#[derive(Debug, Error)]
pub enum SweepError {
    /// A number of which there must be at least one is zero.
    #[error("{0} must be at least 1")]
    Zero(&'static str),
    /// The pool of threads could not be started.
    #[error("threads: {0}")]
    Threads(#[from] rayon::ThreadPoolBuildError),
    /// The rows could not be written; the text is that of the experiments' results.
    #[error("{0}")]
    Rows(String),
    /// The table could not be written.
    #[error("{}: {source}", path.display())]
    Table {
        /// The table's file.
        path: PathBuf,
        /// How it failed.
        source: std::io::Error,
    },
}

/// Arguments of the subcommand.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Replicas of the emulated fleet
    #[arg(long, default_value_t = 120)]
    pub replicas: usize,
    /// Slices of the emulated fleet
    #[arg(long, default_value_t = 660)]
    pub slices: usize,
    /// Proxies of the emulated fleet
    #[arg(long, default_value_t = 300)]
    pub proxies: usize,
    /// What comes, as a part of what warm replicas can do together
    #[arg(long, default_value_t = 0.5)]
    pub load: f64,
    /// Seconds that each report of a replica covers, as an aggregator may stretch them
    #[arg(long, default_value_t = 1)]
    pub load_window: u32,
    /// Virtual seconds a day lasts
    #[arg(long, default_value_t = 40)]
    pub seconds: u64,
    /// Virtual seconds until troubles begin
    #[arg(long = "begins", value_name = "BEGINS", default_value_t = 10)]
    pub faults_begin_s: u64,
    /// Numbers of governors to compare
    #[arg(long = "governors", value_name = "GOVERNORS", value_delimiter = ',', default_values_t = [1, 5, 20, 60, 200])]
    pub controllers: Vec<usize>,
    /// The number of governors that the others are compared with
    #[arg(long, default_value_t = 5)]
    pub reference: usize,
    /// Kinds of days
    #[arg(long = "days", value_name = "DAYS", value_enum, value_delimiter = ',', default_values_t = ScenarioKind::ALL)]
    pub scenarios: Vec<ScenarioKind>,
    /// Sizes of the subsets of replicas that governors steer; 0 plays without subsets
    #[arg(long, value_delimiter = ',', default_values_t = [0])]
    pub subsets: Vec<usize>,
    /// Seeds, counted from 1
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Days that are played at the same time
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// Which build is played, for the rows
    #[arg(long, default_value = "unnamed")]
    pub commit: String,
    /// The folder for the rows (Parquet) and the table
    #[arg(long)]
    pub out: Option<PathBuf>,
}

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
        let outcome = play(&scenario.sizes, Policy::Governed, &scenario.faults, scenario.seed);
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
    let plan = Plan::from_args(&args)?;
    let played = play_all(&plan, args.threads)?;
    let text = format!("{}\n{}", table(&played), paired_differences(&played, args.reference));
    print!("{text}");
    let Some(out) = &args.out else { return Ok(()) };
    let rows: Vec<Row> = played.iter().map(|played| played.row(&args.commit)).collect();
    results::append(out, &rows).map_err(SweepError::Rows)?;
    let path = out.join("decisions.md");
    std::fs::write(&path, text).map_err(|source| SweepError::Table { path, source })
}
