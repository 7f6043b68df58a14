//! Rows of results in a folder, as Parquet: one file for each batch of plays, written whole or not at all, so
//! that a run that was broken off goes on where it was.

use parquet::data_type::{ByteArray, ByteArrayType, DoubleType, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::record::RowAccessor;
use parquet::schema::parser::parse_message_type;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use whinwall_fleet::day::Outcome;

#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub experiment: String,
    pub commit: String,
    pub case: String,
    pub way: String,
    pub value: f64,
    pub seed: i64,
    pub service: f64,
    pub ops: i64,
    pub acked: i64,
    pub late: i64,
    pub rejected: i64,
    pub aborted: i64,
    pub orders: i64,
    pub verdicts: i64,
    pub most_lines: f64,
    pub broken: i64,
}

const SCHEMA: &str = "message row {
    required binary experiment (UTF8); required binary commit (UTF8); required binary case (UTF8);
    required binary way (UTF8); required double value; required int64 seed; required double service;
    required int64 ops; required int64 acked; required int64 late; required int64 rejected;
    required int64 aborted; required int64 orders; required int64 verdicts; required double most_lines;
    required int64 broken;
}";

type Texts = [fn(&Row) -> &str; 4];
const TEXTS: Texts = [|row| &row.experiment, |row| &row.commit, |row| &row.case, |row| &row.way];

enum Figure {
    Whole(fn(&Row) -> i64),
    Real(fn(&Row) -> f64),
}

/// The columns behind the texts, in the order of the schema.
const FIGURES: [Figure; 12] = [
    Figure::Real(|row| row.value),
    Figure::Whole(|row| row.seed),
    Figure::Real(|row| row.service),
    Figure::Whole(|row| row.ops),
    Figure::Whole(|row| row.acked),
    Figure::Whole(|row| row.late),
    Figure::Whole(|row| row.rejected),
    Figure::Whole(|row| row.aborted),
    Figure::Whole(|row| row.orders),
    Figure::Whole(|row| row.verdicts),
    Figure::Real(|row| row.most_lines),
    Figure::Whole(|row| row.broken),
];

impl Row {
    pub fn of(experiment: &str, commit: &str, play: &crate::experiment::Play, day: &Outcome) -> Self {
        Row {
            experiment: experiment.into(),
            commit: commit.into(),
            case: play.case.clone(),
            way: crate::experiment::way_name(play.way).into(),
            value: play.value,
            seed: play.seed as i64,
            service: day.service,
            ops: day.ops as i64,
            acked: day.acked as i64,
            late: day.late as i64,
            rejected: day.rejected as i64,
            aborted: day.aborted as i64,
            orders: day.orders as i64,
            verdicts: day.verdicts as i64,
            most_lines: day.most_lines,
            broken: day.broken.values().sum::<usize>() as i64,
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
    let draft = path.with_extension("draft");
    write(&draft, rows).map_err(|why| failed(&draft, why))?;
    std::fs::rename(&draft, &path).map_err(|why| failed(&path, why))
}

fn write(path: &Path, rows: &[Row]) -> parquet::errors::Result<()> {
    let schema = Arc::new(parse_message_type(SCHEMA)?);
    let properties = Arc::new(WriterProperties::builder().build());
    let mut file = SerializedFileWriter::new(File::create(path)?, schema, properties)?;
    let mut group = file.next_row_group()?;
    let (mut texts, mut figures) = (TEXTS.iter(), FIGURES.iter());
    while let Some(mut column) = group.next_column()? {
        if let Some(text) = texts.next() {
            let values: Vec<ByteArray> = rows.iter().map(|row| text(row).into()).collect();
            column.typed::<ByteArrayType>().write_batch(&values, None, None)?;
        } else if let Some(figure) = figures.next() {
            match figure {
                Figure::Whole(of) => {
                    let values: Vec<_> = rows.iter().map(of).collect();
                    column.typed::<Int64Type>().write_batch(&values, None, None)?;
                }
                Figure::Real(of) => {
                    let values: Vec<_> = rows.iter().map(of).collect();
                    column.typed::<DoubleType>().write_batch(&values, None, None)?;
                }
            }
        }
        column.close()?;
    }
    group.close()?;
    file.close()?;
    Ok(())
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
            ops: row.get_long(7)?,
            acked: row.get_long(8)?,
            late: row.get_long(9)?,
            rejected: row.get_long(10)?,
            aborted: row.get_long(11)?,
            orders: row.get_long(12)?,
            verdicts: row.get_long(13)?,
            most_lines: row.get_double(14)?,
            broken: row.get_long(15)?,
        });
    }
    Ok(())
}
