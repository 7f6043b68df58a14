//! Compares the help texts with fixtures exactly, because scripts, manuals and shell completions depend on them. Only
//! the name of the program may differ; it is replaced by `PROGRAM`.

use whinwall_test_support::help_text::help_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_whinwall-experiments");

#[test]
fn help_of_the_program() {
    assert_eq!(help_text(PROGRAM, ""), include_str!("fixtures/help/lab.txt"));
}

#[test]
fn help_of_the_subcommand_run() {
    assert_eq!(help_text(PROGRAM, "run"), include_str!("fixtures/help/run.txt"));
}

#[test]
fn help_of_the_subcommand_report() {
    assert_eq!(help_text(PROGRAM, "report"), include_str!("fixtures/help/report.txt"));
}

#[test]
fn help_of_the_subcommand_compare() {
    assert_eq!(help_text(PROGRAM, "compare"), include_str!("fixtures/help/compare.txt"));
}

#[test]
fn help_of_the_subcommand_against() {
    assert_eq!(help_text(PROGRAM, "against"), include_str!("fixtures/help/against.txt"));
}

#[test]
fn help_of_the_subcommand_worst() {
    assert_eq!(help_text(PROGRAM, "worst"), include_str!("fixtures/help/worst.txt"));
}

#[test]
fn help_of_the_subcommand_explain() {
    assert_eq!(help_text(PROGRAM, "explain"), include_str!("fixtures/help/explain.txt"));
}
