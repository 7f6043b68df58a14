//! The aggregator's process: sockets, signals, log and metrics around the reducer.

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

/// Log lines of one kind a second.
const MAX_LOG_LINES_PER_SECOND: u32 = 20;

/// What the command line says.
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
    #[arg(long, value_name = "ADDRESS", value_parser = loopback)]
    metrics: Option<SocketAddr>,
    /// Checks the file and ends
    #[arg(long)]
    check: bool,
}

fn loopback(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text.parse().map_err(|why| format!("no address: {why}"))?;
    address.ip().is_loopback().then_some(address).ok_or("no loopback address".into())
}

/// Runs until a signal ends it; a configuration that can't be used ends it at once.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    _ = logger::start(LevelFilter::INFO, MAX_LOG_LINES_PER_SECOND);
    let members = match configuration::read(&arguments.operators, &arguments.name) {
        Ok(members) => members,
        Err(reason) => {
            tracing::error!("configuration: {reason}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("the file is fine");
        return ExitCode::SUCCESS;
    }
    let Arguments { operators, name, listen, discovery, zone, metrics, .. } = arguments;
    let config = AggregatorConfig { operators, name, listen, discovery, zone, metrics, members };
    let ended = actix_rt::System::new().block_on(async {
        // Before anything else, lest a signal meet a program that does not know it yet.
        let signals = Signals::listen().map_err(ServeError::Signals)?;
        event_loop::serve(config, signals).await
    });
    match ended {
        Ok(signal) => {
            tracing::info!("{signal}, ending");
            ExitCode::SUCCESS
        }
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
