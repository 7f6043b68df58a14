//! Tables of a sweep: means over seeds, violated rules, and paired differences of the service level.

use super::plan::{PlannedScenario, ScenarioKind};
use std::collections::BTreeMap;
use std::fmt::Write;
use whinwall_emulator::scenario::Outcome;
use whinwall_experiments::results::ResultRow;
use whinwall_experiments::statistics::mean;

/// A scenario of the plan and its outcome.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    /// The scenario as planned.
    pub scenario: PlannedScenario,
    /// The outcome of the run.
    pub outcome: Outcome,
}

/// The properties shared by scenarios that differ only in their seed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    kind: ScenarioKind,
    /// The subset size; 0 means without subsets.
    subset: usize,
    controllers: usize,
}

impl ScenarioRun {
    fn group(&self) -> Group {
        let PlannedScenario { kind, subset, .. } = self.scenario;
        Group { kind, subset, controllers: self.scenario.fleet.controllers }
    }

    /// Converts the run to a row in the format of the experiments' results. The varied value is the number of
    /// controllers.
    pub fn row(&self, commit: &str) -> ResultRow {
        let Outcome { requests, succeeded, late, rejected, failed, commands, ejections, .. } = self.outcome;
        ResultRow {
            experiment: format!("decisions-{}-replicas", self.scenario.fleet.replicas),
            commit: commit.to_string(),
            case: self.scenario.kind.to_string(),
            policy: decision_label(self.scenario.subset),
            value: self.scenario.fleet.controllers as f64,
            seed: self.scenario.seed as i64,
            service_level: self.outcome.service_level,
            requests: requests as i64,
            succeeded: succeeded as i64,
            late: late as i64,
            rejected: rejected as i64,
            failed: failed as i64,
            commands: commands as i64,
            ejections: ejections as i64,
            peak_queued_lines: self.outcome.peak_queued_lines,
            violations: violation_count(&self.outcome) as i64,
        }
    }
}

fn decision_label(subset: usize) -> String {
    match subset {
        0 => "everyone".to_string(),
        size => format!("subsets of {size}"),
    }
}

fn violation_count(outcome: &Outcome) -> usize {
    outcome.violation_counts.values().sum()
}

fn format_violated_rules(outcomes: &[&Outcome]) -> String {
    let mut violations: BTreeMap<u8, usize> = BTreeMap::new();
    for (rule, count) in outcomes.iter().flat_map(|outcome| &outcome.violation_counts) {
        *violations.entry(*rule).or_default() += count;
    }
    match violations.is_empty() {
        true => "none".to_string(),
        false => {
            let named = violations.iter().map(|(rule, count)| format!("rule {rule}: {count}"));
            named.collect::<Vec<_>>().join(", ")
        }
    }
}

/// Returns the line of progress output for a finished scenario.
pub(super) fn progress_line(
    completed: usize,
    total: usize,
    scenario: &PlannedScenario,
    outcome: &Outcome,
) -> String {
    let PlannedScenario { kind, subset, seed, fleet, .. } = scenario;
    let (label, rules) = (decision_label(*subset), format_violated_rules(&[outcome]));
    let Outcome { service_level, migrations, commands, .. } = outcome;
    let controllers = fleet.controllers;
    format!("{completed}/{total} {kind}, {controllers} controllers, {label}, seed {seed}: service level {service_level:.3}, {migrations} migrations, {commands} commands, violated rules: {rules}")
}

fn group_runs(runs: &[ScenarioRun]) -> BTreeMap<Group, Vec<&ScenarioRun>> {
    let mut groups: BTreeMap<Group, Vec<&ScenarioRun>> = BTreeMap::new();
    for run in runs {
        groups.entry(run.group()).or_default().push(run);
    }
    groups
}

/// Returns a table of means over seeds by scenario kind, subset size and number of controllers.
pub fn table(runs: &[ScenarioRun]) -> String {
    let mut text = String::from(
        "| scenario | decisions | controllers | seeds | service level | minimum | migrations | commands | ejections | violated rules |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (Group { kind, subset, controllers }, runs_of_group) in group_runs(runs) {
        let outcomes: Vec<_> = runs_of_group.iter().map(|run| &run.outcome).collect();
        let average = |value_of: fn(&Outcome) -> f64| {
            outcomes.iter().map(|outcome| value_of(outcome)).sum::<f64>() / outcomes.len() as f64
        };
        let minimum = outcomes.iter().map(|outcome| outcome.service_level).fold(f64::INFINITY, f64::min);
        let (label, seeds, rules) =
            (decision_label(subset), runs_of_group.len(), format_violated_rules(&outcomes));
        let service = average(|outcome| outcome.service_level);
        let migrations = average(|outcome| outcome.migrations as f64);
        let commands = average(|outcome| outcome.commands as f64);
        let ejections = average(|outcome| outcome.ejections as f64);
        _ = writeln!(
            text,
            "| {kind} | {label} | {controllers} | {seeds} | {service:.3} | {minimum:.3} | {migrations:.0} | {commands:.0} | {ejections:.1} | {rules} |"
        );
    }
    text
}

/// Returns a table of the differences in service level to the runs with the same seeds and `reference` controllers,
/// with the 95% confidence interval of their mean. The reference runs have no subsets; if the plan has none without
/// subsets, they have the same subset size.
pub fn paired_differences(runs: &[ScenarioRun], reference: usize) -> String {
    let groups = group_runs(runs);
    let mut text = format!(
        "| scenario | decisions | controllers | service level minus that of {reference} controllers | 95% interval, +/- | minimum | maximum |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    for (group, runs_of_group) in &groups {
        let Group { kind, subset, controllers } = *group;
        let reference_group = |subset: usize| groups.get(&Group { kind, subset, controllers: reference });
        let reference_runs = reference_group(0).or_else(|| reference_group(subset));
        let Some(reference_runs) = reference_runs.filter(|_| (subset, controllers) != (0, reference)) else {
            continue;
        };
        let reference_levels: BTreeMap<_, _> =
            reference_runs.iter().map(|run| (run.scenario.seed, run.outcome.service_level)).collect();
        let paired = runs_of_group
            .iter()
            .filter_map(|run| Some(run.outcome.service_level - reference_levels.get(&run.scenario.seed)?));
        let differences: Vec<f64> = paired.collect();
        let Some(statistics) = mean(&differences) else { continue };
        let maximum = differences.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let (label, difference, half_width, minimum) =
            (decision_label(subset), statistics.mean, statistics.half_width, statistics.min);
        _ = writeln!(
            text,
            "| {kind} | {label} | {controllers} | {difference:+.3} | {half_width:.3} | {minimum:+.3} | {maximum:+.3} |"
        );
    }
    text
}
