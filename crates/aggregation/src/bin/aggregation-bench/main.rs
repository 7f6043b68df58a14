//! Measures the cost of one aggregator in a fleet of a given size: in process, or as the real program on loopback
//! sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod in_process;
mod load;
mod sockets;

use clap::{Parser, ValueEnum};
use error::BenchError;
use load::Size;
use std::path::PathBuf;
use std::process::ExitCode;

/// Kind of measurement.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Way {
    /// Decoding and the reducer, in virtual time, in this process.
    InProcess,
    /// The real program, its collectors, peers and governors on loopback sockets, in real time.
    Sockets,
}

/// Command-line arguments. The defaults are the size of the target fleet.
#[derive(Parser)]
#[command(name = "aggregation-bench", about = "What one aggregator costs at a given size")]
struct Arguments {
    /// What is measured
    #[arg(value_enum)]
    way: Way,
    /// Replicas in the list
    #[arg(long, default_value_t = 2_200)]
    replicas: usize,
    /// Zones, each with a collector that reports each second
    #[arg(long, default_value_t = 9)]
    zones: usize,
    /// Governors of the fleet
    #[arg(long = "governors", value_name = "GOVERNORS", default_value_t = 650)]
    controllers: usize,
    /// Slices of each governor
    #[arg(long, default_value_t = 20)]
    slices: usize,
    /// Request classes of each slice
    #[arg(long, default_value_t = 2)]
    classes: usize,
    /// Replicas that each governor is to steer
    #[arg(long, default_value_t = 48)]
    subset: usize,
    /// A governor's budget, in bytes a second
    #[arg(long, default_value_t = 27_000)]
    budget: u64,
    /// Aggregators that share the governors
    #[arg(long, default_value_t = 4)]
    sharing: usize,
    /// Seconds that are measured, after those until the aggregator is ready
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The program, for sockets
    #[arg(long, default_value = "target/release/whinwall-aggregator")]
    program: PathBuf,
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("aggregation-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Arguments) -> Result<(), BenchError> {
    let size = Size {
        replicas: arguments.replicas,
        zones: arguments.zones,
        controllers: arguments.controllers,
        slices: arguments.slices,
        classes: arguments.classes,
        subset: arguments.subset,
        budget: arguments.budget,
        sharing: arguments.sharing,
    };
    let figures = match arguments.way {
        Way::InProcess => in_process::measure(&size, arguments.seconds)?,
        Way::Sockets => sockets::measure(&size, arguments.seconds, &arguments.program)?,
    };
    println!("{}", serde_json::to_string_pretty(&figures)?);
    Ok(())
}
