//! Sweeps of the number of governors in the emulator: the same days, with the same seeds, played by more and more
//! governors. All figures are simulated by the project's own emulator.

mod plan;
mod table;

pub use plan::{DayKind, Plan, PlannedDay};
pub use table::{paired_differences, table, Played};

use rayon::prelude::*;
use std::path::PathBuf;
use std::sync::Mutex;
use thiserror::Error;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::scenario::play;
use whinwall_experiments::results::{self, ResultRow};

/// Why a sweep could not be played.
#[derive(Debug, Error)]
pub enum SweepError {
    /// A number of which there must be at least one is zero.
    #[error("{0} must be at least 1")]
    Zero(&'static str),
    /// The pool of threads could not be started.
    #[error("threads: {0}")]
    Threads(#[from] rayon::ThreadPoolBuildError),
    /// The results could not be written.
    #[error("{0}")]
    Results(String),
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
    #[arg(long, default_value_t = 10)]
    pub begins: u64,
    /// Numbers of governors to compare
    #[arg(long = "governors", value_name = "GOVERNORS", value_delimiter = ',', default_values_t = [1, 5, 20, 60, 200])]
    pub controllers: Vec<usize>,
    /// The number of governors that the others are compared with
    #[arg(long, default_value_t = 5)]
    pub reference: usize,
    /// Kinds of days
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = DayKind::ALL)]
    pub days: Vec<DayKind>,
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

/// Plays the days of the plan on so many threads, in the plan's order.
pub fn play_all(plan: &Plan, threads: usize) -> Result<Vec<Played>, SweepError> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads.max(1)).build()?;
    let progress = Mutex::new(0);
    let all = plan.days();
    let play_one = |day: &PlannedDay| {
        let outcome = play(&day.sizes, Policy::Controlled, &day.troubles, day.seed);
        if let Ok(mut done) = progress.lock() {
            *done += 1;
            eprintln!("{}", table::progress_line(*done, all.len(), day, &outcome));
        }
        Played { day: day.clone(), outcome }
    };
    Ok(pool.install(|| all.par_iter().map(play_one).collect()))
}

/// Plays the sweep, prints its table, and writes rows and table where a folder is given.
pub fn run(args: Args) -> Result<(), SweepError> {
    let plan = Plan::from_args(&args)?;
    let played = play_all(&plan, args.threads)?;
    let text = format!("{}\n{}", table(&played), paired_differences(&played, args.reference));
    print!("{text}");
    let Some(out) = &args.out else { return Ok(()) };
    let rows: Vec<ResultRow> = played.iter().map(|one| one.row(&args.commit)).collect();
    results::append(out, &rows).map_err(|error| SweepError::Results(error.to_string()))?;
    let file = out.join("decisions.md");
    std::fs::write(&file, text).map_err(|why| SweepError::Results(format!("{}: {why}", file.display())))
}
