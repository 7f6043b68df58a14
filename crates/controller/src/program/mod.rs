//! The controller process: command line, exit codes, start-up, and the event loop that runs until a termination
//! signal.

pub mod configuration;
mod configuration_file;
mod effects;
mod event_loop;
mod incarnation;
mod input;
pub mod metrics;
mod queues;
pub mod reader;
pub mod reader_pool;
mod reload;
mod services;
mod shutdown;
mod startup;
mod watches;

use clap::Parser;
use configuration::{ConfigError, ControllerConfig, LoggingConfig, ProcessEnvironment};
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;
use whinwall_runtime::signals::Signals;

/// Exit code for an invalid or unreadable configuration.
const EXIT_CONFIGURATION: u8 = 2;

/// The command line; everything else is in the environment and in the files that it names.
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

/// Errors that prevent the start. Their texts are shown to the operator.
#[derive(Debug, thiserror::Error)]
enum StartupError {
    #[error("cannot install signal handlers: {0}")]
    Signals(#[from] std::io::Error),
    #[error(transparent)]
    Configuration(#[from] ConfigError),
}

/// Runs the program until a termination signal. Exits at once if the configuration is invalid or unreadable.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    let mut environment = ProcessEnvironment::from_process();
    environment.operators_file = arguments.operators.or(environment.operators_file);
    let logging = environment.logging();
    // If the logging variables are invalid, the rate of log lines is not limited, so that the error itself is logged.
    let unlimited_logging = LoggingConfig { level: LevelFilter::INFO, lines_per_second: u32::MAX };
    let LoggingConfig { level, lines_per_second } = *logging.as_ref().unwrap_or(&unlimited_logging);
    let log_format = whinwall_runtime::logger::start(level, lines_per_second);
    if arguments.check {
        return check_configuration(logging, environment);
    }
    let system = actix_rt::System::new();
    // Handlers are installed before the configuration is read, so that no signal triggers its default action.
    let signals = system.block_on(async { Signals::listen() });
    let (signals, config) = match load_configuration(signals, logging, environment) {
        Ok(loaded) => loaded,
        Err(error) => return reject_configuration(&error),
    };
    match system.block_on(startup::serve(config, signals, log_format)) {
        Ok(termination) => {
            tracing::info!(signal = termination.signal, "shutdown complete");
            ExitCode::SUCCESS
        }
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn load_configuration(
    signals: std::io::Result<Signals>,
    logging: Result<LoggingConfig, ConfigError>,
    environment: ProcessEnvironment,
) -> Result<(Signals, ControllerConfig), StartupError> {
    let signals = signals?;
    logging?;
    Ok((signals, configuration::load(environment)?))
}

/// Reads and checks the configuration files for `--check`, without serving.
fn check_configuration(
    logging: Result<LoggingConfig, ConfigError>,
    environment: ProcessEnvironment,
) -> ExitCode {
    match logging.and_then(|_| configuration::load(environment)) {
        Ok(config) => {
            println!("configuration files of {} are valid", config.name);
            ExitCode::SUCCESS
        }
        Err(error) => reject_configuration(&error),
    }
}

fn reject_configuration(error: &dyn Display) -> ExitCode {
    tracing::error!("configuration: {error}");
    ExitCode::from(EXIT_CONFIGURATION)
}
