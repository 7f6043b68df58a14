//! The subcommands.

use crate::error::CommandError;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::collections::BTreeSet;
use std::path::Path;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::scenario::{run_scenario, run_with_timeline, Outcome};
use whinwall_experiments::charts;
use whinwall_experiments::experiment::{self, Case, CaseFaults, Experiment, Play};
use whinwall_experiments::report::{comparison, table};
use whinwall_experiments::results::{self, PlayKey, ResultRow};
use whinwall_experiments::search::{self, RatedScenario, SearchSpace};
use whinwall_experiments::statistics;

/// Plays between two files of rows: what an interrupted run loses at the most.
const BATCH: usize = 64;
/// The commit of runs that are only made to be compared.
const UNNAMED_COMMIT: &str = "unnamed";
/// The fraction of the worst scenario's badness that a smaller one must keep.
const KEPT_BADNESS: f64 = 0.8;

/// What a subcommand has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Conclusion {
    Good,
    /// A rule was violated, or a difference is significantly for the worse.
    Bad,
}

impl Conclusion {
    fn good_if(is_good: bool) -> Self {
        if is_good {
            Conclusion::Good
        } else {
            Conclusion::Bad
        }
    }

    fn of(outcome: &Outcome) -> Self {
        Conclusion::good_if(outcome.violation_counts.is_empty())
    }
}

/// Which scenario of an experiment to explain: the first that fits.
pub(crate) struct ScenarioFilter {
    pub(crate) case: Option<String>,
    pub(crate) seed: Option<u64>,
}

impl ScenarioFilter {
    fn matches(&self, play: &Play) -> bool {
        play.policy == Policy::Controlled
            && self.case.as_ref().is_none_or(|case| play.case == *case)
            && self.seed.is_none_or(|seed| play.seed == seed)
    }
}

fn read_experiment(path: &Path) -> Result<Experiment, CommandError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| CommandError::File { path: path.into(), source })?;
    experiment::parse(&text).map_err(|source| CommandError::Experiment { path: path.into(), source })
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|source| CommandError::File { path: path.into(), source })
}

fn progress_bar(count: usize) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos} of {len} days, {eta} left {msg}");
    let bar = ProgressBar::new(count as u64);
    style.into_iter().for_each(|style| bar.set_style(style));
    bar
}

/// Rows that an earlier run has left in the folder, which must be of the same experiment and build.
fn known_rows(out: &Path, experiment: &str, commit: &str) -> Result<Vec<ResultRow>, CommandError> {
    let known = if out.exists() { results::read(out)? } else { Vec::new() };
    match known.iter().find(|row| row.experiment != experiment || row.commit != commit) {
        None => Ok(known),
        Some(other) => Err(CommandError::OtherResults {
            folder: out.into(),
            held: other.experiment.clone(),
            held_commit: other.commit.clone(),
            experiment: experiment.into(),
            commit: commit.into(),
        }),
    }
}

pub(crate) fn run(path: &Path, out: &Path, commit: &str) -> Result<Conclusion, CommandError> {
    let experiment = read_experiment(path)?;
    let name = format!("{}-{:08x}", experiment.name, experiment.hash());
    let known = known_rows(out, &name, commit)?;
    let done: BTreeSet<_> = known.iter().map(ResultRow::key).collect();
    let is_left = |play: &Play| !done.contains(&PlayKey::of_play(play));
    let left: Vec<_> = experiment.plays().into_iter().filter(is_left).collect();
    let bar = progress_bar(left.len());
    let mut violations: i64 = known.iter().map(|row| row.violations).sum();
    for batch in left.chunks(BATCH) {
        let row = |one: &Play| {
            let outcome = run_scenario(&one.config, one.policy, &one.faults, one.seed);
            bar.inc(1);
            ResultRow::new(&name, commit, one, &outcome)
        };
        let rows: Vec<_> = batch.par_iter().map(row).collect();
        violations += rows.iter().map(|row| row.violations).sum::<i64>();
        results::append(out, &rows)?;
    }
    bar.finish_and_clear();
    let (played, known) = (left.len(), done.len());
    println!("{name}: {played} days played, {known} were there already; {violations} rules broken");
    Ok(Conclusion::good_if(violations == 0))
}

pub(crate) fn report(path: &Path, results: &Path, out: &Path) -> Result<Conclusion, CommandError> {
    let experiment = read_experiment(path)?;
    let rows = results::read(results)?;
    let charts = charts::write_charts(&rows, experiment.varied_name(), out)?;
    let table = table(&rows, experiment.varied_name());
    let pictures: Vec<_> = charts.iter().map(|name| format!("![{name}]({name})")).collect();
    let commit = rows.first().map_or("", |row| &row.commit);
    let text = format!(
        "# {}\n\nSimulated figures of our own model. Build {commit}; service is the payoff served in time, mean over seeds with its 95% interval.\n\n{table}\n{}\n",
        experiment.name,
        pictures.join("\n")
    );
    write_file(&out.join("report.md"), &text)?;
    print!("{table}");
    Ok(Conclusion::Good)
}

pub(crate) fn compare(first: &Path, second: &Path) -> Result<Conclusion, CommandError> {
    let compared = statistics::compare(&results::read(first)?, &results::read(second)?);
    print!("{}", comparison(&compared));
    let is_worse = compared.pairs.iter().any(|pair| pair.is_significant() && pair.difference.mean < 0.0);
    Ok(Conclusion::good_if(!is_worse))
}

pub(crate) fn run_against(path: &Path, other: &Path, out: &Path) -> Result<Conclusion, CommandError> {
    let (other_rows, own_rows) = (out.join("other"), out.join("own"));
    let status =
        std::process::Command::new(other).arg("run").arg(path).arg("--out").arg(&other_rows).status();
    let status = status.map_err(|source| CommandError::File { path: other.into(), source })?;
    // 1 says that a rule was violated; the rows are there.
    if !matches!(status.code(), Some(0 | 1)) {
        return Err(CommandError::OtherBuild { program: other.into(), status });
    }
    run(path, &own_rows, UNNAMED_COMMIT)?;
    compare(&other_rows, &own_rows)
}

pub(crate) fn find_worst(path: &Path, space: SearchSpace, out: &Path) -> Result<Conclusion, CommandError> {
    let experiment = read_experiment(path)?;
    let bar = progress_bar(space.scenarios as usize);
    let worst = search::find_worst(&experiment.config, space, || bar.inc(1));
    let worst = worst.ok_or(CommandError::NothingPlayed)?;
    bar.finish_and_clear();
    let RatedScenario { seed, outcome, .. } = &worst;
    println!(
        "worst of {}: seed {seed}, service {:.3}, rules broken {:?}",
        space.scenarios, outcome.service_level, outcome.violation_counts
    );
    let least = search::shrink(&experiment.config, &worst, KEPT_BADNESS);
    println!(
        "the least that shows it: {} of {} troubles, service {:.3}",
        least.faults.len(),
        worst.faults.len(),
        least.outcome.service_level
    );
    let shown = Experiment {
        name: format!("{}-worst", experiment.name),
        seeds: vec![least.seed],
        policies: vec![Policy::Controlled, Policy::StaticTables],
        cases: vec![Case { name: format!("seed-{}", least.seed), faults: CaseFaults::Given(least.faults) }],
        varied: None,
        values: vec![0.0],
        ..experiment
    };
    write_file(out, &shown.to_xml())?;
    Ok(Conclusion::of(&least.outcome))
}

pub(crate) fn explain(
    path: &Path,
    filter: &ScenarioFilter,
    subject: &str,
) -> Result<Conclusion, CommandError> {
    let plays = read_experiment(path)?.plays();
    let one = plays.iter().find(|play| filter.matches(play)).ok_or(CommandError::NoMatchingScenario)?;
    let (outcome, timeline) = run_with_timeline(&one.config, &one.faults, one.seed, subject);
    println!(
        "case {}, seed {}: service {:.3}, rules broken {:?}",
        one.case, one.seed, outcome.service_level, outcome.violation_counts
    );
    for entry in timeline {
        println!("{:8.2} s  {}", entry.at.seconds(), entry.text);
    }
    Ok(Conclusion::of(&outcome))
}
