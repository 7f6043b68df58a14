//! Starts and ends the governor.

pub mod configuration;
mod event_loop;
mod fronts;

pub mod meters;
pub mod readers;

use clap::Parser;
use configuration::Surroundings;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;
use whinwall_runtime::signals::Signals;

/// What the command line says; all else is in the environment and the files that it names.
#[derive(Parser)]
#[command(
    name = "whinwall-controller",
    version,
    about = "One governor of a proxy fleet: collectors, relay and discovery in, orders out",
    after_help = "PROXY_CONFIG names its configuration file. SIGHUP has it read its files anew, SIGTERM ends it.\n\
        Exit codes: 0 ended by a signal, or the files are fine; 1 it can't serve; 2 a file is faulty."
)]
struct Arguments {
    /// The operators' own file (XML); it wins over WHINWALL_OPERATORS
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    /// Checks the files and ends
    #[arg(long)]
    check: bool,
}

/// Runs until a signal ends it; a configuration that can't be used ends it at once.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    let mut around = Surroundings::of_process();
    around.operators = arguments.operators.or(around.operators);
    let logging = around.logging();
    let (level, lines) = logging.clone().unwrap_or((LevelFilter::INFO, u32::MAX));
    let form = whinwall_runtime::logger::start(level, lines);
    if arguments.check {
        return match logging.and_then(|_| configuration::read(around)) {
            Ok(start) => {
                println!("the files of {} are fine", start.name);
                ExitCode::SUCCESS
            }
            Err(wrong) => faulty(&wrong),
        };
    }
    let system = actix_rt::System::new();
    // Before anything else, lest a signal meet a program that does not know it yet.
    let signals = system.block_on(async { Signals::listen() });
    let signals = signals.map_err(|why| format!("signals: {why}"));
    let read = || Ok((signals?, logging.and_then(|_| configuration::read(around))?));
    let (signals, start) = match read() {
        Ok(all) => all,
        Err::<_, String>(wrong) => return faulty(&wrong),
    };
    match system.block_on(event_loop::serve(start, signals, form)) {
        Ok(why) => {
            tracing::info!("{why}, ending");
            ExitCode::SUCCESS
        }
        Err(wrong) => {
            tracing::error!("{wrong}");
            ExitCode::FAILURE
        }
    }
}

fn faulty(wrong: &str) -> ExitCode {
    tracing::error!("configuration: {wrong}");
    ExitCode::from(2)
}
