//! The exact help texts, because scripts, manuals and completions depend on them. Only the name of the program may
//! differ; the fixtures contain `PROGRAM` in its place.

use whinwall_test_support::help_text::help_text;

const AGGREGATOR: &str = env!("CARGO_BIN_EXE_whinwall-aggregator");
const BENCH: &str = env!("CARGO_BIN_EXE_aggregation-bench");

#[test]
fn help_of_the_aggregator_program() {
    assert_eq!(help_text(AGGREGATOR, ""), include_str!("fixtures/help/aggregator.txt"));
}

#[test]
fn help_of_the_bench_program() {
    assert_eq!(help_text(BENCH, ""), include_str!("fixtures/help/bench.txt"));
}
