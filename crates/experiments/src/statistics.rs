//! Means with confidence intervals, and paired differences between two sets of results.

use crate::results::{ResultRow, RunKey};
use std::collections::BTreeMap;

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the confidence interval; infinite for a single value.
    pub half_width: f64,
    /// The number of values.
    pub count: usize,
    /// The lowest value.
    pub min: f64,
}

/// The 97.5% quantiles of Student's t-distribution for 1 to 30 degrees of freedom.
const STUDENT_QUANTILES: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];
/// The 97.5% quantile of the normal distribution, which approximates Student's t-distribution for more than 30 degrees
/// of freedom.
const NORMAL_QUANTILE: f64 = 1.96;

/// Returns the mean of the values, or `None` if there are none.
pub fn mean(values: &[f64]) -> Option<Mean> {
    let count = values.len();
    if count == 0 {
        return None;
    }
    let mean = values.iter().sum::<f64>() / count as f64;
    let squared_deviations = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
    let half_width = if count == 1 {
        f64::INFINITY
    } else {
        let quantile = STUDENT_QUANTILES.get(count - 2).copied().unwrap_or(NORMAL_QUANTILE);
        quantile * (squared_deviations / (count - 1) as f64 / count as f64).sqrt()
    };
    Some(Mean { mean, half_width, count, min: values.iter().copied().fold(f64::INFINITY, f64::min) })
}

/// A case and a value of the varied parameter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CaseKey {
    /// The name of the case.
    pub case: String,
    /// The bits of the value, which sort in the same order as the values because these are not negative.
    value_bits: u64,
}

impl CaseKey {
    /// The value of the varied parameter.
    pub fn value(&self) -> f64 {
        f64::from_bits(self.value_bits)
    }
}

/// Rows by case and value, then by policy.
pub type Groups<'a> = BTreeMap<CaseKey, BTreeMap<String, Vec<&'a ResultRow>>>;

/// Groups rows by case and value, then by policy.
pub fn group_by_case(rows: &[ResultRow]) -> Groups<'_> {
    let mut groups = Groups::new();
    for row in rows {
        let key = CaseKey { case: row.case.clone(), value_bits: row.value.to_bits() };
        groups.entry(key).or_default().entry(row.policy.clone()).or_default().push(row);
    }
    groups
}

/// The difference in service level between two sets of results, for one case, policy and value.
#[derive(Clone, Debug, PartialEq)]
pub struct PairedDifference {
    /// The name of the case.
    pub case: String,
    /// The policy's name.
    pub policy: String,
    /// The value of the varied parameter.
    pub value: f64,
    /// The service level in the second results minus that in the first, averaged over the seeds.
    pub difference: Mean,
}

impl PairedDifference {
    /// Returns true if zero is outside the confidence interval of the difference.
    pub fn is_significant(&self) -> bool {
        self.difference.mean.abs() > self.difference.half_width
    }
}

/// The paired comparison of two sets of results.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The differences, by case, policy and value.
    pub differences: Vec<PairedDifference>,
    /// The number of runs in the first results that the second results do not have.
    pub unpaired_runs: usize,
}

/// Pairs each run of the first results with the same run of the second, and averages the differences in service level
/// by case, policy and value.
pub fn compare(first: &[ResultRow], second: &[ResultRow]) -> Comparison {
    let second_levels: BTreeMap<RunKey, f64> =
        second.iter().map(|row| (row.key(), row.service_level)).collect();
    let mut differences: BTreeMap<(String, String, u64), Vec<f64>> = BTreeMap::new();
    let mut unpaired_runs = 0;
    for row in first {
        match second_levels.get(&row.key()) {
            None => unpaired_runs += 1,
            Some(second_level) => {
                let key = (row.case.clone(), row.policy.clone(), row.value.to_bits());
                differences.entry(key).or_default().push(second_level - row.service_level);
            }
        }
    }
    let paired_difference = |((case, policy, value_bits), differences): ((String, String, u64), Vec<f64>)| {
        Some(PairedDifference {
            case,
            policy,
            value: f64::from_bits(value_bits),
            difference: mean(&differences)?,
        })
    };
    Comparison { differences: differences.into_iter().filter_map(paired_difference).collect(), unpaired_runs }
}
