//! Runs the soak test of the controller once for each seed, sequentially. Exit codes: 0 no violation; 1 violations;
//! 2 the soak test itself failed.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use whinwall_scale_tests::programs::controller_program;
use whinwall_soak::overload::{self, Attack, Listener};
use whinwall_soak::run::run_seed;
use whinwall_soak::SoakError;

const EXIT_VIOLATIONS: u8 = 1;
const EXIT_ERROR: u8 = 2;

/// Soaks the controller with signals, kills and faults, and checks what its clients see
#[derive(Parser)]
#[command(name = "whinwall-soak", version)]
struct Arguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// How many seeds
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// How long each seed is played, in seconds
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Attacks each listener of the programs in turn, each attack for --seconds, in place of the seeds
    #[arg(long)]
    overload: bool,
    /// The controller's program; otherwise the one beside this program
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let outcome = if arguments.overload { run_attacks(&arguments) } else { run_seeds(arguments) };
    match outcome {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_VIOLATIONS),
        Err(error) => {
            eprintln!("whinwall-soak: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Runs all attacks on all listeners and returns the number of violations.
fn run_attacks(arguments: &Arguments) -> Result<usize, SoakError> {
    let mut violations = 0;
    for listener in Listener::ALL {
        for attack in Attack::ALL {
            let report = overload::run(listener, attack, Duration::from_secs(arguments.seconds))?;
            println!("{report}");
            report.violations().iter().for_each(|violation| println!("VIOLATION: {violation}"));
            violations += report.violations().len();
        }
    }
    Ok(violations)
}

/// Runs all seeds and returns the number of violations.
fn run_seeds(arguments: Arguments) -> Result<usize, SoakError> {
    let program = match arguments.program {
        Some(program) => program,
        None => controller_program()?,
    };
    let mut violations = 0;
    for seed in arguments.from..arguments.from + arguments.seeds {
        let report = run_seed(&program, seed, Duration::from_secs(arguments.seconds))?;
        println!("{report}");
        violations += report.violations.len();
    }
    println!("{} seeds, {violations} violations", arguments.seeds);
    Ok(violations)
}
