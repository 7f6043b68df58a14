//! One real controller process with a large fleet, against rate-limited fakes on loopback. `test_bed` sets it up,
//! `steady` measures it in a steady state, `events` during events, `aggregated` behind real aggregators, `sweep` lists
//! the cases, `report` turns the measurements into fits, tables and charts.

pub mod aggregated;
mod error;
pub mod events;
pub mod report;
pub mod steady;
pub mod sweep;
pub mod test_bed;

pub use error::MeasureError;

use crate::fakes::fleet::FleetSize;
use crate::programs::controller_program;
use crate::results::Folder;
use aggregated::Subsetting;
use std::path::{Path, PathBuf};
use std::time::Duration;
use steady::Times;
use test_bed::Setup;

/// Arguments of the subcommand.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The folder for rows, tables and charts
    #[arg(long)]
    pub out: PathBuf,
    /// The governor's program [default: whinwall-controller beside this one, built first under cargo]
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Seconds before each measurement
    #[arg(long, default_value_t = 12.0)]
    pub warm_up: f64,
    /// Seconds of each measurement
    #[arg(long, default_value_t = 10.0)]
    pub measured: f64,
    /// The aggregator's program: with it the governor is measured behind aggregators, too
    #[arg(long)]
    pub aggregator: Option<PathBuf>,
    /// Aggregators that run, where there is a program for them
    #[arg(long, default_value_t = 4)]
    pub aggregators: usize,
    /// Replicas of a governor's subset, behind aggregators; several are played in turn
    #[arg(long, value_delimiter = ',', default_values_t = [25, 50, 100, 200])]
    pub subset: Vec<usize>,
    /// What a governor may be told, in bytes a second, behind aggregators
    #[arg(long, default_value_t = 27_000)]
    pub bytes_per_second: u64,
    /// Plays of each case at rest and of each subset
    #[arg(long, default_value_t = 1)]
    pub plays: usize,
    /// Only these sweeps: target, size, slices, proxies, churn, writes, summed, silent, events, flood, aggregated
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<String>,
}

/// Runs the selected sweeps and writes their results.
///
/// # Errors
///
/// When a program cannot be found, a measurement fails or a file cannot be written.
pub fn run(args: Args) -> Result<(), MeasureError> {
    let program = args.program.clone().map_or_else(controller_program, Ok)?;
    let folder = Folder::create(&args.out)?;
    let times = Times {
        warm_up: Duration::from_secs_f64(args.warm_up),
        measured: Duration::from_secs_f64(args.measured),
    };
    let is_selected = |sweep: &str| args.only.is_empty() || args.only.iter().any(|only| only == sweep);
    let mut points = Vec::new();
    let cases: Vec<_> = sweep::steady_cases().into_iter().filter(|case| is_selected(case.sweep)).collect();
    for case in (0..args.plays).flat_map(|_| &cases) {
        let point = steady::measure(&program, case, times)?;
        eprintln!("{}", report::progress_line(&point));
        points.push(point);
        report::write_steady(&folder, &points)?;
    }
    if is_selected("events") {
        let outcomes = sweep::run_events(&program, times)?;
        report::write_events(&folder, &outcomes)?;
    }
    if is_selected("flood") {
        let floods = sweep::run_floods(&program)?;
        report::write_floods(&folder, &floods)?;
    }
    if let Some(aggregator) = args.aggregator.as_ref().filter(|_| is_selected("aggregated")) {
        measure_aggregated(&args, &program, aggregator, &folder, times)?;
    }
    Ok(())
}

fn measure_aggregated(
    args: &Args,
    controller: &Path,
    aggregator: &Path,
    folder: &Folder,
    times: Times,
) -> Result<(), MeasureError> {
    let setup = Setup::reported(FleetSize::target());
    let mut measured = Vec::new();
    for subset in (0..args.plays).flat_map(|_| &args.subset) {
        let Args { aggregators, bytes_per_second, .. } = *args;
        let subsetting = Subsetting { aggregators, subset: *subset, bytes_per_second };
        measured.push(aggregated::measure(controller, aggregator, &setup, &subsetting, times)?);
        report::write_aggregated(folder, &measured)?;
    }
    Ok(())
}
