//! Tables of a sweep: means over seeds, rules broken, and paired differences.

use super::{DayKind, PlannedDay};
use std::collections::BTreeMap;
use std::fmt::Write;
use whinwall_emulator::scenario::Outcome;
use whinwall_experiments::results::ResultRow;
use whinwall_experiments::statistics::mean;

/// A day of the plan, and what it came to.
#[derive(Clone, Debug)]
pub struct Played {
    /// The day as planned.
    pub day: PlannedDay,
    /// What it came to.
    pub outcome: Outcome,
}

/// Days that differ in nothing but their seed: kind, size of subsets, number of controllers.
type Group = (DayKind, usize, usize);

impl Played {
    fn group(&self) -> Group {
        (self.day.kind, self.day.subset, self.day.sizes.controllers)
    }

    /// The lab's row of it; the value varied is the number of controllers.
    pub fn row(&self, commit: &str) -> ResultRow {
        let Outcome { requests, succeeded, late, rejected, failed, commands, ejections, .. } = self.outcome;
        ResultRow {
            experiment: format!("decisions-{}-replicas", self.day.sizes.replicas),
            commit: commit.to_string(),
            case: self.day.kind.to_string(),
            policy: way(self.day.subset),
            value: self.day.sizes.controllers as f64,
            seed: self.day.seed as i64,
            service_level: self.outcome.service_level,
            requests: requests as i64,
            succeeded: succeeded as i64,
            late: late as i64,
            rejected: rejected as i64,
            failed: failed as i64,
            commands: commands as i64,
            ejections: ejections as i64,
            peak_queued_lines: self.outcome.peak_queued_lines,
            violations: broken(&self.outcome) as i64,
        }
    }
}

fn way(subset: usize) -> String {
    match subset {
        0 => "everyone".to_string(),
        size => format!("subsets of {size}"),
    }
}

fn broken(outcome: &Outcome) -> usize {
    outcome.violation_counts.values().sum()
}

fn rules_text(all: &[&Outcome]) -> String {
    let mut sums: BTreeMap<u8, usize> = BTreeMap::new();
    for (rule, count) in all.iter().flat_map(|outcome| &outcome.violation_counts) {
        *sums.entry(*rule).or_default() += count;
    }
    match sums.is_empty() {
        true => "none".to_string(),
        false => {
            let named = sums.iter().map(|(rule, count)| format!("rule {rule}: {count}"));
            named.collect::<Vec<_>>().join(", ")
        }
    }
}

/// One line that says how far the sweep has come.
pub(super) fn progress_line(done: usize, of: usize, day: &PlannedDay, outcome: &Outcome) -> String {
    let PlannedDay { kind, subset, seed, sizes, .. } = day;
    let (way, rules) = (way(*subset), rules_text(&[outcome]));
    let Outcome { service_level: service, migrations: moves, commands: orders, .. } = outcome;
    let controllers = sizes.controllers;
    format!("{done}/{of} {kind}, {controllers} governors, {way}, seed {seed}: service {service:.3}, {moves} moves, {orders} orders, broken {rules}")
}

fn groups(played: &[Played]) -> BTreeMap<Group, Vec<&Played>> {
    let mut groups: BTreeMap<Group, Vec<&Played>> = BTreeMap::new();
    for one in played {
        groups.entry(one.group()).or_default().push(one);
    }
    groups
}

/// Means over seeds by kind of day, size of subsets and number of controllers.
pub fn table(played: &[Played]) -> String {
    let mut text = String::from(
        "| day | decisions | governors | seeds | service | least | moves | orders | verdicts | rules broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for ((kind, subset, controllers), all) in groups(played) {
        let outcomes: Vec<_> = all.iter().map(|one| &one.outcome).collect();
        let average = |figure: fn(&Outcome) -> f64| {
            outcomes.iter().map(|outcome| figure(outcome)).sum::<f64>() / outcomes.len() as f64
        };
        let least = outcomes.iter().map(|outcome| outcome.service_level).fold(f64::INFINITY, f64::min);
        let (way, many, rules) = (way(subset), all.len(), rules_text(&outcomes));
        let service = average(|outcome| outcome.service_level);
        let moves = average(|outcome| outcome.migrations as f64);
        let orders = average(|outcome| outcome.commands as f64);
        let verdicts = average(|outcome| outcome.ejections as f64);
        _ = writeln!(
            text,
            "| {kind} | {way} | {controllers} | {many} | {service:.3} | {least:.3} | {moves:.0} | {orders:.0} | {verdicts:.1} | {rules} |"
        );
    }
    text
}

/// Differences of service against the same seeds with `reference` controllers and no subsets (or, where that was not
/// played, the same subsets), with the 95% interval of their mean.
pub fn paired_differences(played: &[Played], reference: usize) -> String {
    let groups = groups(played);
    let mut text = format!(
        "| day | decisions | governors | service less that of {reference} governors | 95% within | least | greatest |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    for ((kind, subset, controllers), all) in &groups {
        let others = [0, *subset].iter().find_map(|other| groups.get(&(*kind, *other, reference)));
        let Some(others) = others.filter(|_| (*subset, *controllers) != (0, reference)) else { continue };
        let service: BTreeMap<_, _> =
            others.iter().map(|other| (other.day.seed, other.outcome.service_level)).collect();
        let paired =
            all.iter().filter_map(|one| Some(one.outcome.service_level - service.get(&one.day.seed)?));
        let differences: Vec<f64> = paired.collect();
        let Some(figure) = mean(&differences) else { continue };
        let greatest = differences.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let (way, difference, within, least) = (way(*subset), figure.mean, figure.half_width, figure.least);
        _ = writeln!(
            text,
            "| {kind} | {way} | {controllers} | {difference:+.3} | {within:.3} | {least:+.3} | {greatest:+.3} |"
        );
    }
    text
}
