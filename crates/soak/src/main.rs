//! Runs the soak test of the controller once for each seed, sequentially. Exit codes: 0 no violation; 1 violations;
//! 2 the soak test itself failed.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use whinwall_scale_tests::process::controller_program;
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
    /// The controller's program; otherwise the one beside this program
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run_seeds(Arguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_VIOLATIONS),
        Err(error) => {
            eprintln!("whinwall-soak: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
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
