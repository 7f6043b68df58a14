//! Experiments on the emulator.
//!
//! [`experiment`] is the file that says what is played, [`results`] the rows of the outcomes, [`columns`] their
//! form as Parquet and Markdown, [`statistics`] means, confidence intervals and pairs, [`report`] tables,
//! [`charts`] charts, and [`search`] finds the worst scenario and the fewest faults that still show it.
#![warn(clippy::unwrap_used)]

pub mod charts;
pub mod columns;
pub mod experiment;
pub mod report;
pub mod results;
pub mod search;
pub mod statistics;
