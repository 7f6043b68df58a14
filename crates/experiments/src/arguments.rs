//! The command line. Its argument names and help texts must not change, because scripts and manuals rely on them.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Plays experiments on the emulator of a fleet, and shows what came of them
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 well; 1 a rule was broken, or a difference stands out for the worse; 2 a file or argument is faulty.\n\n\
        Examples:\n  \
        whinwall-experiments run crates/experiments/examples/failures.xml --out results/failures\n  \
        whinwall-experiments report crates/experiments/examples/failures.xml --results results/failures --out results/failures\n  \
        whinwall-experiments compare results/before results/after\n  \
        whinwall-experiments worst crates/experiments/examples/failures.xml --days 500 --out worst.xml\n  \
        whinwall-experiments explain worst.xml --server 3"
)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Plays all that an experiment says, on all cores; goes on where an earlier run was broken off
    Run {
        experiment: PathBuf,
        /// The folder for its rows
        #[arg(long)]
        out: PathBuf,
        /// Which build is played, for the rows
        #[arg(long, default_value = "unnamed")]
        commit: String,
    },
    /// Makes a table and charts
    Report {
        experiment: PathBuf,
        #[arg(long)]
        results: PathBuf,
        /// The folder for report.md and its charts
        #[arg(long)]
        out: PathBuf,
    },
    /// Pairs the plays of two runs and says where a difference stands out of the spread
    Compare { first: PathBuf, second: PathBuf },
    /// Plays an experiment with another build's whinwall-experiments and with this one, and compares
    Against {
        experiment: PathBuf,
        /// The other build's whinwall-experiments: the first of the comparison
        #[arg(long)]
        other: PathBuf,
        /// The folder for the rows of both
        #[arg(long)]
        out: PathBuf,
    },
    /// Searches for the worst of drawn days, then for the least that still shows it
    Worst {
        experiment: PathBuf,
        #[arg(long = "days", value_name = "DAYS", default_value_t = 200)]
        scenarios: u64,
        /// Troubles a day
        #[arg(long = "many", value_name = "MANY", default_value_t = 3)]
        faults: usize,
        /// The first seed
        #[arg(long = "from", value_name = "FROM", default_value_t = 1)]
        first_seed: u64,
        /// The experiment that shows it
        #[arg(long)]
        out: PathBuf,
    },
    /// Tells what befell a server or a slice on a day, and what was done about it
    Explain {
        experiment: PathBuf,
        #[arg(long)]
        case: Option<String>,
        #[arg(long)]
        seed: Option<u64>,
        #[arg(
            long = "server",
            value_name = "SERVER",
            conflicts_with = "slice",
            required_unless_present = "slice"
        )]
        replica: Option<usize>,
        #[arg(long)]
        slice: Option<usize>,
    },
}
