//! Markdown tables of results and comparisons.

use crate::results::ResultRow;
use crate::statistics::{group_by_case, mean, Comparison, Mean, PairedDifference};
use std::collections::BTreeSet;
use std::fmt::Write;

/// The name of the policy whose commands the table counts.
const CONTROLLED_POLICY: &str = "governed";
/// The number of columns that every table has: the case, the commands and the rule violations.
const FIXED_COLUMN_COUNT: usize = 3;

fn format_mean(mean: &Mean) -> String {
    if mean.half_width.is_finite() {
        format!("{:.3} ± {:.3}", mean.mean, mean.half_width)
    } else {
        format!("{:.3}", mean.mean)
    }
}

/// Formats a table with a row for each case and value and a column for each policy. A cell contains the mean service
/// level with its 95% confidence interval, and the lowest service level in parentheses.
pub fn service_table(rows: &[ResultRow], varied: &str) -> String {
    let policies: BTreeSet<_> = rows.iter().map(|row| row.policy.as_str()).collect();
    let mut text = table_head(&policies, varied);
    for (key, by_policy) in group_by_case(rows) {
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
        let all_rows = || by_policy.values().flatten();
        let controlled = all_rows().filter(|row| row.policy == CONTROLLED_POLICY);
        let commands: Vec<_> = controlled.map(|row| row.commands as f64).collect();
        let commands = mean(&commands).map_or("-".into(), |mean| format!("{:.0}", mean.mean));
        _ = writeln!(text, " {commands} | {} |", all_rows().map(|row| row.violations).sum::<i64>());
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

/// Formats a table with a row for each paired difference, which states whether the difference is significant.
pub fn comparison_table(Comparison { differences, unpaired_runs }: &Comparison) -> String {
    let mut text =
        String::from("| case | way | value | second minus first | |\n| --- | --- | --- | --- | --- |\n");
    for paired in differences {
        let rating = match paired.is_significant() {
            true if paired.difference.mean > 0.0 => "better",
            true => "worse",
            false => "not significant",
        };
        let PairedDifference { case, policy, value, difference } = paired;
        let (mean, count) = (format_mean(difference), difference.count);
        _ = writeln!(text, "| {case} | {policy} | {value} | {mean} of {count} | {rating} |");
    }
    if *unpaired_runs > 0 {
        _ = writeln!(text, "\n{unpaired_runs} runs of the first results have no counterpart in the second.");
    }
    text
}
