//! Experiments on the emulator. `experiment` is the file that says what is played, `results` the rows of what
//! came of it, `columns` their form as Parquet and Markdown, `figures` means, intervals and pairs, `report` tables and charts, `search` the
//! worst day and the least that still shows it.
#![forbid(unsafe_code)]

pub mod columns;
pub mod experiment;
pub mod figures;
pub mod report;
pub mod results;
pub mod search;
