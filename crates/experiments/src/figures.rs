//! Means with their intervals, and pairs.

use crate::results::Row;
use std::collections::BTreeMap;

/// A mean, and how far from it the true one may be with 95% confidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    pub mean: f64,
    pub within: f64,
    pub many: usize,
    pub least: f64,
}

/// Student's 97.5% quantiles for 1 to 30 degrees of freedom; beyond them the normal one is near enough.
const STUDENT: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

pub fn mean(values: &[f64]) -> Option<Mean> {
    let many = values.len();
    if many == 0 {
        return None;
    }
    let mean = values.iter().sum::<f64>() / many as f64;
    let spread = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
    let within = match many {
        1 => f64::INFINITY,
        _ => {
            let quantile = STUDENT.get(many - 2).copied().unwrap_or(1.96);
            quantile * (spread / (many - 1) as f64 / many as f64).sqrt()
        }
    };
    Some(Mean { mean, within, many, least: values.iter().copied().fold(f64::INFINITY, f64::min) })
}

/// By case and value, then by way.
pub type Groups<'a> = BTreeMap<(String, u64), BTreeMap<String, Vec<&'a Row>>>;

pub fn groups(rows: &[Row]) -> Groups<'_> {
    let mut groups = Groups::new();
    for row in rows {
        let ways = groups.entry((row.case.clone(), row.value.to_bits())).or_default();
        ways.entry(row.way.clone()).or_default().push(row);
    }
    groups
}

/// What the same plays came to in two runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    pub case: String,
    pub way: String,
    pub value: f64,
    /// The second less the first.
    pub difference: Mean,
}

impl Pair {
    /// Out of the spread of the plays.
    pub fn stands_out(&self) -> bool {
        self.difference.mean.abs() > self.difference.within
    }
}

/// Pairs each play of the first with the same of the second; the second number counts those without another.
pub fn pairs(first: &[Row], second: &[Row]) -> (Vec<Pair>, usize) {
    let others: BTreeMap<_, _> = second.iter().map(|row| (row.key(), row.service)).collect();
    let mut differences: BTreeMap<(String, String, u64), Vec<f64>> = BTreeMap::new();
    let mut alone = 0;
    for row in first {
        match others.get(&row.key()) {
            None => alone += 1,
            Some(other) => {
                let key = (row.case.clone(), row.way.clone(), row.value.to_bits());
                differences.entry(key).or_default().push(other - row.service);
            }
        }
    }
    let pair = |((case, way, value), all): ((String, String, u64), Vec<f64>)| {
        Some(Pair { case, way, value: f64::from_bits(value), difference: mean(&all)? })
    };
    (differences.into_iter().filter_map(pair).collect(), alone)
}
