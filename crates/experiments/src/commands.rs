//! The subcommands.

use crate::error::CommandError;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::collections::BTreeSet;
use std::path::Path;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::scenario::{run_scenario, run_with_timeline, Outcome};
use whinwall_experiments::charts;
use whinwall_experiments::experiment::{self, Case, CaseFaults, Experiment, Run};
use whinwall_experiments::report::{comparison_table, service_table};
use whinwall_experiments::results::{self, ResultRow, RunKey};
use whinwall_experiments::search::{self, RatedScenario, SearchSpace};
use whinwall_experiments::statistics;

/// The number of runs per result file, which is the most that an interrupted command loses.
const RUNS_PER_FILE: usize = 64;
/// The commit name in rows that are written only for a comparison.
const UNNAMED_COMMIT: &str = "unnamed";
/// The fraction of the badness above the fault-free baseline that a reduced scenario must keep.
const KEPT_BADNESS_FRACTION: f64 = 0.8;

/// The conclusion of a subcommand that completed, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Conclusion {
    Passed,
    /// A rule was violated, or the second results are significantly worse.
    Failed,
}

impl Conclusion {
    fn passed_if(condition: bool) -> Self {
        if condition {
            Conclusion::Passed
        } else {
            Conclusion::Failed
        }
    }

    fn of_run(outcome: &Outcome) -> Self {
        Conclusion::passed_if(outcome.violation_counts.is_empty())
    }
}

/// Selects the run of an experiment to explain: the first run with the controlled policy that has this case and this
/// seed. `None` matches every case or seed.
pub(crate) struct RunFilter {
    pub(crate) case: Option<String>,
    pub(crate) seed: Option<u64>,
}

impl RunFilter {
    fn matches(&self, run: &Run) -> bool {
        run.policy == Policy::Controlled
            && self.case.as_ref().is_none_or(|case| run.case == *case)
            && self.seed.is_none_or(|seed| run.seed == seed)
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
    let style = ProgressStyle::with_template("{bar:40} {pos} of {len} runs, {eta} left {msg}");
    let bar = ProgressBar::new(count as u64);
    style.into_iter().for_each(|style| bar.set_style(style));
    bar
}

/// Returns the rows that an earlier, interrupted command wrote to the folder. They must belong to the same experiment
/// and build.
fn existing_rows(out: &Path, experiment: &str, commit: &str) -> Result<Vec<ResultRow>, CommandError> {
    let rows = if out.exists() { results::read(out)? } else { Vec::new() };
    match rows.iter().find(|row| row.experiment != experiment || row.commit != commit) {
        None => Ok(rows),
        Some(other) => Err(CommandError::OtherResults {
            folder: out.into(),
            found_experiment: other.experiment.clone(),
            found_commit: other.commit.clone(),
            experiment: experiment.into(),
            commit: commit.into(),
        }),
    }
}

pub(crate) fn run(path: &Path, out: &Path, commit: &str) -> Result<Conclusion, CommandError> {
    let experiment = read_experiment(path)?;
    let name = format!("{}-{:08x}", experiment.name, experiment.hash());
    let existing_rows = existing_rows(out, &name, commit)?;
    let existing_keys: BTreeSet<_> = existing_rows.iter().map(ResultRow::key).collect();
    let is_pending = |run: &Run| !existing_keys.contains(&RunKey::of_run(run));
    let pending: Vec<_> = experiment.runs().into_iter().filter(is_pending).collect();
    let bar = progress_bar(pending.len());
    let mut violations: i64 = existing_rows.iter().map(|row| row.violations).sum();
    for batch in pending.chunks(RUNS_PER_FILE) {
        let row = |run: &Run| {
            let outcome = run_scenario(&run.config, run.policy, &run.faults, run.seed);
            bar.inc(1);
            ResultRow::new(&name, commit, run, &outcome)
        };
        let rows: Vec<_> = batch.par_iter().map(row).collect();
        violations += rows.iter().map(|row| row.violations).sum::<i64>();
        results::append(out, &rows)?;
    }
    bar.finish_and_clear();
    let (completed, existing) = (pending.len(), existing_keys.len());
    println!("{name}: {completed} runs completed, {existing} already present; {violations} rule violations");
    Ok(Conclusion::passed_if(violations == 0))
}

pub(crate) fn report(path: &Path, results: &Path, out: &Path) -> Result<Conclusion, CommandError> {
    let experiment = read_experiment(path)?;
    let rows = results::read(results)?;
    let charts = charts::write_charts(&rows, experiment.varied_name(), out)?;
    let table = service_table(&rows, experiment.varied_name());
    let images: Vec<_> = charts.iter().map(|name| format!("![{name}]({name})")).collect();
    let commit = rows.first().map_or("", |row| &row.commit);
    let text = format!(
        "# {}\n\nSimulated results of the emulator. Build {commit}. Service is the priority weight of the requests served in time as a share of all; the table shows the mean over the seeds with its 95% confidence interval.\n\n{table}\n{}\n",
        experiment.name,
        images.join("\n")
    );
    write_file(&out.join("report.md"), &text)?;
    print!("{table}");
    Ok(Conclusion::Passed)
}

pub(crate) fn compare(first: &Path, second: &Path) -> Result<Conclusion, CommandError> {
    let comparison = statistics::compare(&results::read(first)?, &results::read(second)?);
    print!("{}", comparison_table(&comparison));
    let is_worse =
        comparison.differences.iter().any(|paired| paired.is_significant() && paired.difference.mean < 0.0);
    Ok(Conclusion::passed_if(!is_worse))
}

pub(crate) fn run_against(path: &Path, other_program: &Path, out: &Path) -> Result<Conclusion, CommandError> {
    let (other_rows, own_rows) = (out.join("other"), out.join("own"));
    let status =
        std::process::Command::new(other_program).arg("run").arg(path).arg("--out").arg(&other_rows).status();
    let status = status.map_err(|source| CommandError::File { path: other_program.into(), source })?;
    // Exit code 1 means that a rule was violated; the rows have been written.
    if !matches!(status.code(), Some(0 | 1)) {
        return Err(CommandError::OtherBuild { program: other_program.into(), status });
    }
    run(path, &own_rows, UNNAMED_COMMIT)?;
    compare(&other_rows, &own_rows)
}

pub(crate) fn find_worst(path: &Path, space: SearchSpace, out: &Path) -> Result<Conclusion, CommandError> {
    let experiment = read_experiment(path)?;
    let bar = progress_bar(space.scenarios as usize);
    let worst = search::find_worst(&experiment.config, space, || bar.inc(1));
    let worst = worst.ok_or(CommandError::NoScenarios)?;
    bar.finish_and_clear();
    let RatedScenario { seed, outcome, .. } = &worst;
    println!(
        "worst of {} scenarios: seed {seed}, service {:.3}, rule violations {:?}",
        space.scenarios, outcome.service_level, outcome.violation_counts
    );
    let smallest = search::shrink(&experiment.config, &worst, KEPT_BADNESS_FRACTION);
    println!(
        "smallest scenario that reproduces it: {} of {} faults, service {:.3}",
        smallest.faults.len(),
        worst.faults.len(),
        smallest.outcome.service_level
    );
    let reproduction = Experiment {
        name: format!("{}-worst", experiment.name),
        seeds: vec![smallest.seed],
        policies: vec![Policy::Controlled, Policy::StaticTables],
        cases: vec![Case {
            name: format!("seed-{}", smallest.seed),
            faults: CaseFaults::Given(smallest.faults),
        }],
        varied: None,
        values: vec![0.0],
        ..experiment
    };
    write_file(out, &reproduction.to_xml())?;
    Ok(Conclusion::of_run(&smallest.outcome))
}

/// Prints the timeline of one run for `subject`, which is the name of a replica or the number of a slice.
pub(crate) fn explain(path: &Path, filter: &RunFilter, subject: &str) -> Result<Conclusion, CommandError> {
    let runs = read_experiment(path)?.runs();
    let no_matching_run = || CommandError::NoMatchingRun {
        path: path.into(),
        case: filter.case.clone().unwrap_or_else(|| "(any)".into()),
        seed: filter.seed.map_or("(any)".into(), |seed| seed.to_string()),
    };
    let run = runs.iter().find(|run| filter.matches(run)).ok_or_else(no_matching_run)?;
    let (outcome, timeline) = run_with_timeline(&run.config, &run.faults, run.seed, subject);
    println!(
        "case {}, seed {}: service {:.3}, rule violations {:?}",
        run.case, run.seed, outcome.service_level, outcome.violation_counts
    );
    for entry in timeline {
        println!("{:8.2} s  {}", entry.at.seconds(), entry.text);
    }
    Ok(Conclusion::of_run(&outcome))
}
