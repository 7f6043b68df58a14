//! The `whinwall-fault-proxy` command.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;
use whinwall_fault_injection::proxy::{forward, FaultSource, InjectionLog};
use whinwall_fault_injection::{record, schedule};

/// Stands between two loopback sockets and delays, cuts, half-closes or garbles what passes
#[derive(Parser)]
#[command(
    version,
    after_help = "Ends with Ctrl-C, and writes its record then. Exit codes: 0 ended; 1 an address can't be had; 2 a file is faulty.\n\n\
        Example:\n  whinwall-fault-proxy run relay.faults --listen 127.0.0.1:6401 --target 127.0.0.1:6400 --record night.wwf\n  \
        whinwall-fault-proxy replay night.wwf --listen 127.0.0.1:6401 --target 127.0.0.1:6400"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks a schedule
    Check { schedule: PathBuf },
    /// Injects what a schedule says
    Run {
        schedule: PathBuf,
        #[command(flatten)]
        addresses: Addresses,
        /// Where to write what was injected
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Injects what was recorded
    Replay {
        recorded: PathBuf,
        #[command(flatten)]
        addresses: Addresses,
        /// Where to write what was injected this time
        #[arg(long)]
        record: Option<PathBuf>,
    },
}

#[derive(Args)]
struct Addresses {
    #[arg(long)]
    listen: SocketAddr,
    #[arg(long)]
    target: SocketAddr,
}

fn main() -> ExitCode {
    let report_faulty_file = |error: String| {
        eprintln!("whinwall-fault-proxy: {error}");
        ExitCode::from(2)
    };
    let read_file = |path: &Path| std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()));
    let read_schedule = |path: &Path| {
        let text =
            String::from_utf8(read_file(path)?).map_err(|error| format!("{}: {error}", path.display()))?;
        schedule::read(&text).map_err(|error| format!("{}: {error}", path.display()))
    };
    let (source, addresses, record_path) = match Arguments::parse().command {
        Command::Check { schedule } => {
            return match read_schedule(&schedule) {
                Ok(schedule) => {
                    println!("schedule is valid: {} rules", schedule.rules.len());
                    ExitCode::SUCCESS
                }
                Err(error) => report_faulty_file(error),
            };
        }
        Command::Run { schedule, addresses, record } => match read_schedule(&schedule) {
            Ok(schedule) => (FaultSource::Schedule(Arc::new(schedule)), addresses, record),
            Err(error) => return report_faulty_file(error),
        },
        Command::Replay { recorded, addresses, record } => {
            let faults = read_file(&recorded).and_then(|bytes| {
                record::read(&bytes).map_err(|error| format!("{}: {error}", recorded.display()))
            });
            match faults {
                Ok(faults) => (FaultSource::Replay(Arc::new(faults)), addresses, record),
                Err(error) => return report_faulty_file(error),
            }
        }
    };
    match serve(source, &addresses, record_path.as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("whinwall-fault-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(source: FaultSource, addresses: &Addresses, record_path: Option<&Path>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let log = InjectionLog::default();
    runtime.block_on(async {
        let listener = TcpListener::bind(addresses.listen).await?;
        println!("{} forwards to {}", listener.local_addr()?, addresses.target);
        tokio::select! {
            result = forward(listener, addresses.target, source, log.clone()) => result,
            result = tokio::signal::ctrl_c() => result,
        }
    })?;
    let injected = log.lock().map(|log| log.clone()).unwrap_or_default();
    println!("{} faults injected", injected.len());
    record_path.map_or(Ok(()), |path| std::fs::write(path, record::write(&injected)))
}
