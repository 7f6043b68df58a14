//! `whinwall-scale`: runs the scale tests; each subcommand writes its results as Parquet, a table and a chart.
#![forbid(unsafe_code)]

fn main() {}
