//! Tables stored by column, written atomically as a Parquet file or formatted as Markdown.

use parquet::data_type::{ByteArray, ByteArrayType, DoubleType, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedFileWriter, SerializedRowGroupWriter};
use parquet::schema::parser::parse_message_type;
use std::fmt::Write;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

/// The values of one column.
#[derive(Clone, Debug, PartialEq)]
pub enum Values {
    /// UTF-8 text.
    Text(Vec<String>),
    /// Integers.
    Integers(Vec<i64>),
    /// Floating-point numbers.
    Floats(Vec<f64>),
}

/// A named column.
#[derive(Clone, Debug, PartialEq)]
pub struct Column {
    /// The name of the column: letters, digits and underscores.
    pub name: &'static str,
    /// One value per row.
    pub values: Values,
}

impl Column {
    /// Creates a column of text.
    pub fn text(name: &'static str, values: impl IntoIterator<Item = String>) -> Self {
        Column { name, values: Values::Text(values.into_iter().collect()) }
    }

    /// Creates a column of integers.
    pub fn integers(name: &'static str, values: impl IntoIterator<Item = i64>) -> Self {
        Column { name, values: Values::Integers(values.into_iter().collect()) }
    }

    /// Creates a column of floating-point numbers.
    pub fn floats(name: &'static str, values: impl IntoIterator<Item = f64>) -> Self {
        Column { name, values: Values::Floats(values.into_iter().collect()) }
    }

    fn schema(&self) -> String {
        match self.values {
            Values::Text(_) => format!("required binary {} (UTF8);", self.name),
            Values::Integers(_) => format!("required int64 {};", self.name),
            Values::Floats(_) => format!("required double {};", self.name),
        }
    }

    fn len(&self) -> usize {
        match &self.values {
            Values::Text(values) => values.len(),
            Values::Integers(values) => values.len(),
            Values::Floats(values) => values.len(),
        }
    }

    fn cell(&self, row: usize) -> String {
        match &self.values {
            Values::Text(values) => values[row].clone(),
            Values::Integers(values) => values[row].to_string(),
            Values::Floats(values) => format_rounded(values[row]),
        }
    }
}

/// Formats a number with four decimals below 1, two below 10, one below 1000 and none from 1000. Zero has no decimals.
fn format_rounded(value: f64) -> String {
    let decimals = match value.abs() {
        magnitude if magnitude >= 1000.0 || magnitude == 0.0 => 0,
        magnitude if magnitude >= 10.0 => 1,
        magnitude if magnitude >= 1.0 => 2,
        _ => 4,
    };
    format!("{value:.decimals$}")
}

/// Writes the columns as one row group to a temporary file, which is renamed to `path` when it is complete.
///
/// # Errors
/// Returns an error if the file cannot be written or renamed. An existing file at `path` is then unchanged.
pub fn write_parquet(path: &Path, columns: &[Column]) -> parquet::errors::Result<()> {
    let temporary_path = path.with_extension("draft");
    let fields: String = columns.iter().map(Column::schema).collect();
    let schema = Arc::new(parse_message_type(&format!("message row {{ {fields} }}"))?);
    let properties = Arc::new(WriterProperties::builder().build());
    let mut file = SerializedFileWriter::new(File::create(&temporary_path)?, schema, properties)?;
    let mut group = file.next_row_group()?;
    columns.iter().try_for_each(|column| write_column(&mut group, column))?;
    group.close()?;
    file.close()?;
    std::fs::rename(&temporary_path, path)?;
    Ok(())
}

fn write_column(
    group: &mut SerializedRowGroupWriter<'_, File>,
    column: &Column,
) -> parquet::errors::Result<()> {
    let Some(mut writer) = group.next_column()? else { return Ok(()) };
    match &column.values {
        Values::Text(values) => {
            let values: Vec<ByteArray> = values.iter().map(|value| value.as_str().into()).collect();
            writer.typed::<ByteArrayType>().write_batch(&values, None, None)?;
        }
        Values::Integers(values) => _ = writer.typed::<Int64Type>().write_batch(values, None, None)?,
        Values::Floats(values) => _ = writer.typed::<DoubleType>().write_batch(values, None, None)?,
    }
    writer.close()
}

/// Formats the columns as a Markdown table.
pub fn markdown(columns: &[Column]) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(columns.iter().map(|column| column.name.replace('_', " ")).collect());
    text += &line(columns.iter().map(|_| "---".to_string()).collect());
    for row in 0..columns.iter().map(Column::len).min().unwrap_or(0) {
        _ = write!(text, "{}", line(columns.iter().map(|column| column.cell(row)).collect()));
    }
    text
}
