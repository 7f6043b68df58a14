//! The process around the reducer: sockets, signals, log and metrics.

mod configuration;
mod controller_connections;
mod error;
mod event_loop;
mod metrics;
mod peer_connections;

use clap::Parser;
use error::ServeError;
use event_loop::AggregatorConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;
use whinwall_runtime::logger;
use whinwall_runtime::signals::Signals;

/// Maximum number of log lines of the same kind per second.
const MAX_LOG_LINES_PER_SECOND: u32 = 20;

/// Command-line arguments.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "whinwall-aggregator",
    version,
    about = "Passes the collectors' reports on to governors: summed over zones, within each one's byte budget",
    after_help = "SIGHUP has it read its file anew, SIGTERM ends it.\n\
        Exit codes: 0 ended by a signal, or the file is fine; 1 it can't serve; 2 the file is faulty."
)]
struct Arguments {
    /// The operators' XML file with the element `subsetting`, the same as the controllers'.
    #[arg(
        long,
        value_name = "FILE",
        help = "The operators' file (XML) with the element <subsetting>, the same as the governors'"
    )]
    operators: PathBuf,
    /// This aggregator's name in the file
    #[arg(long)]
    name: String,
    /// Where collectors and the other aggregators connect
    #[arg(long, value_name = "ADDRESS")]
    listen: SocketAddr,
    /// Discovery's agent
    #[arg(long, value_name = "ADDRESS")]
    discovery: SocketAddr,
    /// The zone of the settings that its lines name; otherwise the first by name of those it hears
    #[arg(long, value_name = "ZONE")]
    zone: Option<String>,
    /// Where metrics are read over HTTP, in Prometheus' text form: a loopback address
    #[arg(long, value_name = "ADDRESS", value_parser = parse_loopback_address)]
    metrics: Option<SocketAddr>,
    /// Checks the file and ends
    #[arg(long)]
    check: bool,
}

fn parse_loopback_address(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text.parse().map_err(|error| format!("invalid address: {error}"))?;
    address.ip().is_loopback().then_some(address).ok_or("not a loopback address".into())
}

/// Runs the program until a signal ends it. Exits at once if the configuration is invalid.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    _ = logger::start(LevelFilter::INFO, MAX_LOG_LINES_PER_SECOND);
    let members = match configuration::read(&arguments.operators, &arguments.name) {
        Ok(members) => members,
        Err(reason) => {
            tracing::error!("cannot load configuration: {reason}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("the file is fine");
        return ExitCode::SUCCESS;
    }
    let Arguments { operators, name, listen, discovery, zone, metrics, .. } = arguments;
    let config = AggregatorConfig { operators, name, listen, discovery, zone, metrics, members };
    let result = actix_rt::System::new().block_on(async {
        // Registers the signal handlers first, so that an early signal does not have its default action.
        let signals = Signals::listen().map_err(ServeError::Signals)?;
        event_loop::serve(config, signals).await
    });
    match result {
        Ok(signal) => {
            tracing::info!("{signal} received, shutting down");
            ExitCode::SUCCESS
        }
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
