//! Markdown tables of results and comparisons.

use crate::results::ResultRow;
use crate::statistics::{groups, mean, Comparison, Mean, Pair};
use std::collections::BTreeSet;
use std::fmt::Write;

/// The name of the policy whose commands the table counts.
const CONTROLLED: &str = "governed";
/// The number of columns that are always there: the case, commands and violations.
const FIXED_COLUMN_COUNT: usize = 3;

fn format_mean(mean: &Mean) -> String {
    if mean.half_width.is_finite() {
        format!("{:.3} ± {:.3}", mean.mean, mean.half_width)
    } else {
        format!("{:.3}", mean.mean)
    }
}

/// Formats a table with a row for each case and value and a column for each policy. A cell has the mean service level
/// with its 95% confidence interval, and the lowest service level.
pub fn table(rows: &[ResultRow], varied: &str) -> String {
    let policies: BTreeSet<_> = rows.iter().map(|row| row.policy.as_str()).collect();
    let mut text = table_head(&policies, varied);
    for (key, by_policy) in groups(rows) {
        _ = write!(text, "| {} |", key.case);
        if !varied.is_empty() {
            _ = write!(text, " {} |", key.value());
        }
        for policy in &policies {
            let rows = by_policy.get(*policy).into_iter().flatten();
            let service_levels: Vec<_> = rows.map(|row| row.service_level).collect();
            match mean(&service_levels) {
                Some(mean) => _ = write!(text, " {} ({:.3}) |", format_mean(&mean), mean.min),
                None => text.push_str(" - |"),
            }
        }
        let all = || by_policy.values().flatten();
        let controlled = all().filter(|row| row.policy == CONTROLLED);
        let commands: Vec<_> = controlled.map(|row| row.commands as f64).collect();
        let commands = mean(&commands).map_or("-".into(), |mean| format!("{:.0}", mean.mean));
        _ = writeln!(text, " {commands} | {} |", all().map(|row| row.violations).sum::<i64>());
    }
    text
}

fn table_head(policies: &BTreeSet<&str>, varied: &str) -> String {
    let mut text = String::from("| case |");
    if !varied.is_empty() {
        _ = write!(text, " {varied} |");
    }
    policies.iter().for_each(|policy| _ = write!(text, " {policy} (least) |"));
    text.push_str(" orders | rules broken |\n|");
    let columns = policies.len() + FIXED_COLUMN_COUNT + usize::from(!varied.is_empty());
    (0..columns).for_each(|_| text.push_str(" --- |"));
    text.push('\n');
    text
}

/// Formats a table with a row for each pair, which states whether the difference is significant.
pub fn comparison(Comparison { pairs, unpaired }: &Comparison) -> String {
    let mut text =
        String::from("| case | way | value | second minus first | |\n| --- | --- | --- | --- | --- |\n");
    for pair in pairs {
        let rating = match pair.is_significant() {
            true if pair.difference.mean > 0.0 => "better",
            true => "worse",
            false => "not significant",
        };
        let Pair { case, policy, value, difference } = pair;
        let (mean, count) = (format_mean(difference), difference.count);
        _ = writeln!(text, "| {case} | {policy} | {value} | {mean} of {count} | {rating} |");
    }
    if *unpaired > 0 {
        _ = writeln!(text, "\n{unpaired} runs of the first results have no counterpart in the second.");
    }
    text
}
