//! Many controllers: real processes together with controllers simulated inside this process, and events that affect all
//! of them. The fake relay, discovery and collectors run inside this process. Real controllers connect to them over
//! loopback sockets; simulated controllers use function calls.

mod catalog;
mod cost;
mod error;
mod events;
mod fakes;
mod plan;
mod process;
mod report;
mod simulated;
mod store;
mod tracker;
mod workers;

pub use cost::Cost;
pub use error::{ManyError, SizesError};
pub use events::{run_events, Costs, Outcome, Results};
pub use plan::Plan;
pub use process::find_program;
pub use report::table;
pub use tracker::{Condition, EventProgress, SentBytes, Site, Traffic};

use std::path::PathBuf;
use std::time::Duration;

/// Upper limit of controllers that run as processes.
const MAX_PROCESSES: usize = 290;
/// The file name of the report.
const REPORT_FILE: &str = "many.md";

/// Sizes of a run, from the command line.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Folder for the report; made where it is missing
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Governors that run as processes
    #[arg(long, default_value_t = 60)]
    real: usize,
    /// Governors in all; the others run inside this process
    #[arg(long = "governors", value_name = "GOVERNORS", default_value_t = 650)]
    controllers: usize,
    /// Replicas in the list
    #[arg(long, default_value_t = 2200)]
    replicas: usize,
    /// Zones, each with a collector
    #[arg(long, default_value_t = 9)]
    zones: usize,
    /// Regions; one of them is cut off
    #[arg(long, default_value_t = 4)]
    regions: usize,
    /// Slices of each governor
    #[arg(long, default_value_t = 20)]
    slices: usize,
    /// Proxies of each governor
    #[arg(long, default_value_t = 20)]
    proxies: usize,
    /// Threads for the in-process governors
    #[arg(long, default_value_t = 3)]
    workers: usize,
    /// Seconds between the reports about a replica to a process
    #[arg(long, default_value_t = 1.0)]
    report_seconds: f64,
    /// Seconds between the reports about a replica to an in-process governor
    #[arg(long = "hollow-report-seconds", value_name = "HOLLOW_REPORT_SECONDS", default_value_t = 10.0)]
    simulated_report_seconds: f64,
    /// Seconds for which the costs at rest are measured
    #[arg(long = "rest-seconds", value_name = "REST_SECONDS", default_value_t = 15.0)]
    idle_seconds: f64,
    /// Seconds for which a region is cut off from its real governors
    #[arg(long = "cut-seconds", value_name = "CUT_SECONDS", default_value_t = 10.0)]
    partition_seconds: f64,
    /// Seconds for which it is cut off from its in-process governors, by their own clocks
    #[arg(long = "virtual-cut-seconds", value_name = "VIRTUAL_CUT_SECONDS", default_value_t = 3600.0)]
    virtual_partition_seconds: f64,
    /// Seconds after which an event has failed
    #[arg(long = "patience-seconds", value_name = "PATIENCE_SECONDS", default_value_t = 90.0)]
    event_timeout_seconds: f64,
    /// The governor program, where it is not beside this one
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

impl TryFrom<&Args> for Plan {
    type Error = ManyError;

    fn try_from(args: &Args) -> Result<Plan, ManyError> {
        let (controllers, processes) = (args.controllers, args.real);
        if processes == 0 || processes > MAX_PROCESSES {
            return Err(SizesError::Processes { processes }.into());
        }
        if controllers < processes {
            return Err(SizesError::Controllers { controllers, processes }.into());
        }
        let sizes = [
            ("--replicas", args.replicas, 4),
            ("--slices", args.slices, 2),
            ("--zones", args.zones, 1),
            ("--proxies", args.proxies, 1),
            ("--workers", args.workers, 1),
        ];
        if let Some((argument, value, minimum)) =
            sizes.into_iter().find(|(_, value, minimum)| value < minimum)
        {
            return Err(SizesError::TooSmall { argument, value, minimum }.into());
        }
        let duration = |seconds: f64| {
            Duration::try_from_secs_f64(seconds).map_err(|error| SizesError::Duration { seconds, error })
        };
        let program = args.program.clone().map_or_else(find_program, Ok)?;
        Ok(Plan {
            real: args.real,
            simulated: args.controllers - args.real,
            replicas: args.replicas,
            zones: args.zones,
            regions: args.regions,
            slices: args.slices,
            proxies: args.proxies,
            workers: args.workers,
            report_period: duration(args.report_seconds)?,
            simulated_report_period: duration(args.simulated_report_seconds)?,
            idle: duration(args.idle_seconds)?,
            partition_duration: duration(args.partition_seconds)?,
            virtual_partition_duration: duration(args.virtual_partition_seconds)?,
            event_timeout: duration(args.event_timeout_seconds)?,
            memory_limit_kb: cost::half_of_memory_kb(),
            program,
        })
    }
}

/// Runs all events and writes the report.
///
/// # Errors
///
/// When an argument is out of range, a process fails, the report cannot be written, or a controller did not complete an
/// event. In the last case the report is written first.
pub fn run(args: Args) -> Result<(), ManyError> {
    let plan = Plan::try_from(&args)?;
    let file = args.out.join(REPORT_FILE);
    std::fs::create_dir_all(&args.out).map_err(ManyError::io(args.out.display().to_string()))?;
    let results = run_events(&plan)?;
    let text = table(&plan, &results);
    std::fs::write(&file, &text).map_err(ManyError::io(file.display().to_string()))?;
    println!("{text}");
    match results.outcomes.iter().find(|outcome| !outcome.progress.missing.is_empty()) {
        Some(outcome) => {
            Err(ManyError::Missing { event: outcome.event, missing: outcome.progress.missing.len() })
        }
        None => Ok(()),
    }
}
