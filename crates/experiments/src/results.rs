//! Result rows in a folder of Parquet files. Each batch of runs is written atomically to a file of its own, so that an
//! interrupted experiment can be resumed.

use crate::columns::{write_parquet, Column};
use crate::experiment::{policy_name, Run};
use parquet::errors::ParquetError;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::RowAccessor;
use std::fs::File;
use std::path::{Path, PathBuf};
use thiserror::Error;
use whinwall_emulator::scenario::Outcome;

/// The reasons why results cannot be read or written.
#[derive(Debug, Error)]
pub enum ResultsError {
    /// A folder cannot be created or listed.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file cannot be read or written.
    #[error("{}: {source}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: ParquetError,
    },
}

/// The result of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct ResultRow {
    /// The experiment's name and hash.
    pub experiment: String,
    /// The build that ran the experiment.
    pub commit: String,
    /// The name of the case.
    pub case: String,
    /// The policy's name.
    pub policy: String,
    /// The value of the varied parameter.
    pub value: f64,
    /// The seed.
    pub seed: i64,
    /// The priority weight of requests served within their latency objective, as a share of the priority weight of all
    /// requests, from 0 to 1.
    pub service_level: f64,
    /// Number of requests that arrived.
    pub requests: i64,
    /// Number of requests that succeeded, timely or late.
    pub succeeded: i64,
    /// Number of requests that succeeded after their latency objective.
    pub late: i64,
    /// Number of unsuccessful requests whose last attempt provably did not run.
    pub rejected: i64,
    /// Number of requests that failed otherwise.
    pub failed: i64,
    /// Number of commands that the relay applied.
    pub commands: i64,
    /// Number of outlier ejections by the controllers.
    pub ejections: i64,
    /// The maximum number of lines queued on one command channel.
    pub peak_queued_lines: f64,
    /// The number of rule violations.
    pub violations: i64,
}

/// Identifies a run within an experiment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunKey {
    case: String,
    policy: String,
    value_bits: u64,
    seed: i64,
}

impl RunKey {
    /// Returns the key of the row of a run.
    pub fn of_run(run: &Run) -> Self {
        RunKey {
            case: run.case.clone(),
            policy: policy_name(run.policy).to_string(),
            value_bits: run.value.to_bits(),
            seed: run.seed as i64,
        }
    }
}

/// Converts rows to columns. The names and the order of the columns must match existing result files.
fn columns(rows: &[ResultRow]) -> Vec<Column> {
    let text =
        |name, value: fn(&ResultRow) -> &str| Column::text(name, rows.iter().map(|row| value(row).into()));
    let integer = |name, value: fn(&ResultRow) -> i64| Column::integers(name, rows.iter().map(value));
    let float = |name, value: fn(&ResultRow) -> f64| Column::floats(name, rows.iter().map(value));
    vec![
        text("experiment", |row| &row.experiment),
        text("commit", |row| &row.commit),
        text("case", |row| &row.case),
        text("way", |row| &row.policy),
        float("value", |row| row.value),
        integer("seed", |row| row.seed),
        float("service", |row| row.service_level),
        integer("ops", |row| row.requests),
        integer("acked", |row| row.succeeded),
        integer("late", |row| row.late),
        integer("rejected", |row| row.rejected),
        integer("aborted", |row| row.failed),
        integer("orders", |row| row.commands),
        integer("verdicts", |row| row.ejections),
        float("most_lines", |row| row.peak_queued_lines),
        integer("broken", |row| row.violations),
    ]
}

impl ResultRow {
    /// Creates the row of a run.
    pub fn new(experiment: &str, commit: &str, run: &Run, outcome: &Outcome) -> Self {
        ResultRow {
            experiment: experiment.into(),
            commit: commit.into(),
            case: run.case.clone(),
            policy: policy_name(run.policy).into(),
            value: run.value,
            seed: run.seed as i64,
            service_level: outcome.service_level,
            requests: outcome.requests as i64,
            succeeded: outcome.succeeded as i64,
            late: outcome.late as i64,
            rejected: outcome.rejected as i64,
            failed: outcome.failed as i64,
            commands: outcome.commands as i64,
            ejections: outcome.ejections as i64,
            peak_queued_lines: outcome.peak_queued_lines,
            violations: outcome.violation_counts.values().sum::<usize>() as i64,
        }
    }

    /// Returns the key that identifies the same run in other results.
    pub fn key(&self) -> RunKey {
        RunKey {
            case: self.case.clone(),
            policy: self.policy.clone(),
            value_bits: self.value.to_bits(),
            seed: self.seed,
        }
    }
}

/// Writes the rows to a new file in the folder.
///
/// # Errors
/// Returns an error if the folder cannot be created or the file cannot be written; the new file does not exist then.
pub fn append(folder: &Path, rows: &[ResultRow]) -> Result<(), ResultsError> {
    let folder_error = |source| ResultsError::Folder { folder: folder.into(), source };
    std::fs::create_dir_all(folder).map_err(folder_error)?;
    let file_path = |number: u32| folder.join(format!("part-{number:05}.parquet"));
    let is_free = |number: &u32| !file_path(*number).exists();
    let file = file_path((0..).find(is_free).unwrap_or_default());
    write_parquet(&file, &columns(rows)).map_err(|source| ResultsError::File { file, source })
}

/// Reads all rows of a folder or of a single file.
///
/// # Errors
/// Returns an error if the folder cannot be listed or a file cannot be read.
pub fn read(path: &Path) -> Result<Vec<ResultRow>, ResultsError> {
    let mut files = if path.is_dir() { parquet_files(path)? } else { vec![path.into()] };
    files.sort();
    let mut rows = Vec::new();
    for file in files {
        read_file(&file, &mut rows).map_err(|source| ResultsError::File { file, source })?;
    }
    Ok(rows)
}

fn parquet_files(folder: &Path) -> Result<Vec<PathBuf>, ResultsError> {
    let folder_error = |source| ResultsError::Folder { folder: folder.into(), source };
    let entries = std::fs::read_dir(folder).map_err(folder_error)?;
    let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
    Ok(paths.filter(|path| path.extension().is_some_and(|extension| extension == "parquet")).collect())
}

/// Reads the rows of a file. The indices follow the order of the columns in [`columns`].
fn read_file(path: &Path, rows: &mut Vec<ResultRow>) -> parquet::errors::Result<()> {
    let reader = SerializedFileReader::new(File::open(path)?)?;
    for row in reader.get_row_iter(None)? {
        let row = row?;
        rows.push(ResultRow {
            experiment: row.get_string(0)?.clone(),
            commit: row.get_string(1)?.clone(),
            case: row.get_string(2)?.clone(),
            policy: row.get_string(3)?.clone(),
            value: row.get_double(4)?,
            seed: row.get_long(5)?,
            service_level: row.get_double(6)?,
            requests: row.get_long(7)?,
            succeeded: row.get_long(8)?,
            late: row.get_long(9)?,
            rejected: row.get_long(10)?,
            failed: row.get_long(11)?,
            commands: row.get_long(12)?,
            ejections: row.get_long(13)?,
            peak_queued_lines: row.get_double(14)?,
            violations: row.get_long(15)?,
        });
    }
    Ok(())
}
