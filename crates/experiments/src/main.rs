//! The `whinwall-experiments` command.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::scenario::play;
use whinwall_experiments::experiment::{self, Case, Experiment, Troubles};
use whinwall_experiments::results::{self, Row};
use whinwall_experiments::{figures, report, search};

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
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
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
        #[arg(long, default_value_t = 200)]
        days: u64,
        /// Troubles a day
        #[arg(long, default_value_t = 3)]
        many: usize,
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
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

/// Plays between two files of rows: what a run that is broken off loses at the most.
const BATCH: usize = 64;

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Run { experiment, out, commit } => run(&experiment, &out, &commit),
        Command::Report { experiment, results, out } => make_report(&experiment, &results, &out),
        Command::Compare { first, second } => compare(&first, &second),
        Command::Against { experiment, other, out } => against(&experiment, &other, &out),
        Command::Worst { experiment, days, many, from, out } => worst(&experiment, days, many, from, &out),
        Command::Explain { experiment, case, seed, replica, slice } => {
            let about = replica.map(|at| format!("s-{at}")).or(slice.map(|at| at.to_string()));
            explain(&experiment, case.as_deref(), seed, &about.unwrap_or_default())
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(wrong) => {
            eprintln!("whinwall-experiments: {wrong}");
            ExitCode::from(2)
        }
    }
}

fn read(path: &Path) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(path).map_err(|why| format!("{}: {why}", path.display()))?;
    experiment::read(&text).map_err(|why| format!("{}: {why}", path.display()))
}

fn bar(many: usize) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos} of {len} days, {eta} left {msg}");
    let bar = ProgressBar::new(many as u64);
    style.into_iter().for_each(|style| bar.set_style(style));
    bar
}

fn run(path: &Path, out: &Path, commit: &str) -> Result<bool, String> {
    let experiment = read(path)?;
    let name = format!("{}-{:08x}", experiment.name, experiment.hash());
    let known = if out.exists() { results::read(out)? } else { Vec::new() };
    if let Some(other) = known.iter().find(|row| row.experiment != name || row.commit != commit) {
        let (theirs, their) = (&other.experiment, &other.commit);
        return Err(format!("{}: it holds {theirs} of {their}, not {name} of {commit}", out.display()));
    }
    let done: BTreeSet<_> = known.iter().map(Row::key).collect();
    let key = |play: &experiment::Play| {
        (
            play.case.clone(),
            experiment::way_name(play.way).to_string(),
            play.value.to_bits(),
            play.seed as i64,
        )
    };
    let left: Vec<_> = experiment.plays().into_iter().filter(|play| !done.contains(&key(play))).collect();
    let bar = bar(left.len());
    let mut broken: i64 = known.iter().map(|row| row.broken).sum();
    for batch in left.chunks(BATCH) {
        let rows: Vec<_> = batch
            .par_iter()
            .map(|one| {
                let day = play(&one.sizes, one.way, &one.troubles, one.seed);
                bar.inc(1);
                Row::of(&name, commit, one, &day)
            })
            .collect();
        broken += rows.iter().map(|row| row.broken).sum::<i64>();
        results::append(out, &rows)?;
    }
    bar.finish_and_clear();
    println!("{name}: {} days played, {} were there already; {broken} rules broken", left.len(), done.len());
    Ok(broken == 0)
}

fn make_report(path: &Path, from: &Path, out: &Path) -> Result<bool, String> {
    let experiment = read(path)?;
    let rows = results::read(from)?;
    let charts = report::charts(&rows, experiment.varied_name(), out)?;
    let table = report::table(&rows, experiment.varied_name());
    let pictures: Vec<_> = charts.iter().map(|name| format!("![{name}]({name})")).collect();
    let commit = rows.first().map_or("", |row| &row.commit);
    let text = format!(
        "# {}\n\nSimulated figures of our own model. Build {commit}; service is the payoff served in time, mean over seeds with its 95% interval.\n\n{table}\n{}\n",
        experiment.name,
        pictures.join("\n")
    );
    let file = out.join("report.md");
    std::fs::write(&file, text).map_err(|why| format!("{}: {why}", file.display()))?;
    print!("{table}");
    Ok(true)
}

fn compare(first: &Path, second: &Path) -> Result<bool, String> {
    let (pairs, alone) = figures::pairs(&results::read(first)?, &results::read(second)?);
    print!("{}", report::comparison(&pairs, alone));
    Ok(!pairs.iter().any(|pair| pair.stands_out() && pair.difference.mean < 0.0))
}

fn against(path: &Path, other: &Path, out: &Path) -> Result<bool, String> {
    let (theirs, ours) = (out.join("other"), out.join("own"));
    let played = std::process::Command::new(other).arg("run").arg(path).arg("--out").arg(&theirs).status();
    let played = played.map_err(|why| format!("{}: {why}", other.display()))?;
    // 1 says that a rule was broken; the rows are there.
    if !matches!(played.code(), Some(0 | 1)) {
        return Err(format!("{}: it ended with {played}", other.display()));
    }
    run(path, &ours, "unnamed")?;
    compare(&theirs, &ours)
}

fn worst(path: &Path, days: u64, many: usize, from: u64, out: &Path) -> Result<bool, String> {
    let experiment = read(path)?;
    let bar = bar(days as usize);
    let found = search::worst(&experiment.sizes, many, days, from, || bar.inc(1));
    let found = found.ok_or("no day was played")?;
    bar.finish_and_clear();
    println!(
        "worst of {days}: seed {}, service {:.3}, rules broken {:?}",
        found.seed, found.day.service_level, found.day.violation_counts
    );
    let least = search::shrink(&experiment.sizes, &found, 0.8);
    println!(
        "the least that shows it: {} of {} troubles, service {:.3}",
        least.troubles.len(),
        found.troubles.len(),
        least.day.service_level
    );
    let shown = Experiment {
        name: format!("{}-worst", experiment.name),
        seeds: vec![least.seed],
        ways: vec![Policy::Controlled, Policy::StaticTables],
        cases: vec![Case { name: format!("seed-{}", least.seed), troubles: Troubles::Given(least.troubles) }],
        varied: None,
        values: vec![0.0],
        ..experiment
    };
    std::fs::write(out, shown.write()).map_err(|why| format!("{}: {why}", out.display()))?;
    Ok(least.day.violation_counts.is_empty())
}

fn explain(path: &Path, case: Option<&str>, seed: Option<u64>, about: &str) -> Result<bool, String> {
    let plays = read(path)?.plays();
    let fits = |play: &&experiment::Play| {
        play.way == Policy::Controlled
            && case.is_none_or(|case| play.case == case)
            && seed.is_none_or(|seed| play.seed == seed)
    };
    let one = plays.iter().find(fits).ok_or("no governed day of the experiment fits")?;
    let (day, line) =
        whinwall_emulator::scenario::play_with_timeline(&one.sizes, &one.troubles, one.seed, about);
    println!(
        "case {}, seed {}: service {:.3}, rules broken {:?}",
        one.case, one.seed, day.service_level, day.violation_counts
    );
    for whinwall_emulator::scenario::TimelineEntry { at, text } in line {
        println!("{:8.2} s  {text}", at.seconds());
    }
    Ok(day.violation_counts.is_empty())
}
