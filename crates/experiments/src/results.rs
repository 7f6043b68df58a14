//! Rows of results in a folder, as Parquet: one file for each batch of plays, written whole or not at all, so
//! that a run that was broken off goes on where it was.

use crate::columns::{write_parquet, Column};
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::RowAccessor;
use std::fs::File;
use std::path::{Path, PathBuf};
use whinwall_emulator::scenario::Outcome;

#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub experiment: String,
    pub commit: String,
    pub case: String,
    pub way: String,
    pub value: f64,
    pub seed: i64,
    pub service: f64,
    pub requests: i64,
    pub acked: i64,
    pub late: i64,
    pub rejected: i64,
    pub failed: i64,
    pub orders: i64,
    pub verdicts: i64,
    pub most_lines: f64,
    pub broken: i64,
}

/// The rows by columns, in the order in which `read_file` takes them.
fn columns(rows: &[Row]) -> Vec<Column> {
    let text = |name, of: fn(&Row) -> &str| Column::text(name, rows.iter().map(|row| of(row).to_string()));
    let whole = |name, of: fn(&Row) -> i64| Column::whole(name, rows.iter().map(of));
    let real = |name, of: fn(&Row) -> f64| Column::real(name, rows.iter().map(of));
    vec![
        text("experiment", |row| &row.experiment),
        text("commit", |row| &row.commit),
        text("case", |row| &row.case),
        text("way", |row| &row.way),
        real("value", |row| row.value),
        whole("seed", |row| row.seed),
        real("service", |row| row.service),
        whole("ops", |row| row.requests),
        whole("acked", |row| row.acked),
        whole("late", |row| row.late),
        whole("rejected", |row| row.rejected),
        whole("aborted", |row| row.failed),
        whole("orders", |row| row.orders),
        whole("verdicts", |row| row.verdicts),
        real("most_lines", |row| row.most_lines),
        whole("broken", |row| row.broken),
    ]
}

impl Row {
    pub fn of(experiment: &str, commit: &str, play: &crate::experiment::Play, day: &Outcome) -> Self {
        Row {
            experiment: experiment.into(),
            commit: commit.into(),
            case: play.case.clone(),
            way: crate::experiment::way_name(play.way).into(),
            value: play.value,
            seed: play.seed as i64,
            service: day.service_level,
            requests: day.requests as i64,
            acked: day.succeeded as i64,
            late: day.late as i64,
            rejected: day.rejected as i64,
            failed: day.failed as i64,
            orders: day.commands as i64,
            verdicts: day.ejections as i64,
            most_lines: day.peak_queued_lines,
            broken: day.violation_counts.values().sum::<usize>() as i64,
        }
    }

    /// What makes it the same play in another run.
    pub fn key(&self) -> (String, String, u64, i64) {
        (self.case.clone(), self.way.clone(), self.value.to_bits(), self.seed)
    }
}

fn failed(path: &Path, why: impl std::fmt::Display) -> String {
    format!("{}: {why}", path.display())
}

/// One more file; it is there whole or not at all.
pub fn append(folder: &Path, rows: &[Row]) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|why| failed(folder, why))?;
    let free = |n: &u32| !folder.join(format!("part-{n:05}.parquet")).exists();
    let path = folder.join(format!("part-{:05}.parquet", (0..).find(free).unwrap_or_default()));
    write_parquet(&path, &columns(rows)).map_err(|why| failed(&path, why))
}

/// All rows of a folder, or of one file.
pub fn read(path: &Path) -> Result<Vec<Row>, String> {
    let mut files: Vec<PathBuf> = match path.is_dir() {
        false => vec![path.into()],
        true => {
            let entries = std::fs::read_dir(path).map_err(|why| failed(path, why))?;
            let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
            paths.filter(|path| path.extension().is_some_and(|ending| ending == "parquet")).collect()
        }
    };
    files.sort();
    let mut rows = Vec::new();
    for file in &files {
        read_file(file, &mut rows).map_err(|why| failed(file, why))?;
    }
    Ok(rows)
}

fn read_file(path: &Path, rows: &mut Vec<Row>) -> parquet::errors::Result<()> {
    let reader = SerializedFileReader::new(File::open(path)?)?;
    for row in reader.get_row_iter(None)? {
        let row = row?;
        let text = |at| row.get_string(at).cloned();
        rows.push(Row {
            experiment: text(0)?,
            commit: text(1)?,
            case: text(2)?,
            way: text(3)?,
            value: row.get_double(4)?,
            seed: row.get_long(5)?,
            service: row.get_double(6)?,
            requests: row.get_long(7)?,
            acked: row.get_long(8)?,
            late: row.get_long(9)?,
            rejected: row.get_long(10)?,
            failed: row.get_long(11)?,
            orders: row.get_long(12)?,
            verdicts: row.get_long(13)?,
            most_lines: row.get_double(14)?,
            broken: row.get_long(15)?,
        });
    }
    Ok(())
}
