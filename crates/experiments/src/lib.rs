//! Experiments on the emulator.
//!
//! [`experiment`] defines the runs of an experiment and reads and writes its XML file, [`results`] stores one row per
//! run, [`columns`] writes tables as Parquet and Markdown, [`statistics`] computes means, confidence intervals and
//! paired differences, [`report`] formats tables, [`charts`] draws charts, and [`search`] finds the worst random
//! scenario and reduces its faults.
#![warn(clippy::unwrap_used)]

pub mod charts;
pub mod columns;
pub mod experiment;
pub mod report;
pub mod results;
pub mod search;
pub mod statistics;
