//! Compares the help texts with fixtures exactly, because scripts, manuals and shell completions depend on them. Only
//! the name of the program may differ; it is replaced by `PROGRAM`.

use whinwall_test_support::help_text::help_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_whinwall-experiments");

#[test]
fn program_help_matches_fixture() {
    assert_eq!(help_text(PROGRAM, ""), include_str!("fixtures/help/program.txt"));
}

#[test]
fn run_help_matches_fixture() {
    assert_eq!(help_text(PROGRAM, "run"), include_str!("fixtures/help/run.txt"));
}

#[test]
fn report_help_matches_fixture() {
    assert_eq!(help_text(PROGRAM, "report"), include_str!("fixtures/help/report.txt"));
}

#[test]
fn compare_help_matches_fixture() {
    assert_eq!(help_text(PROGRAM, "compare"), include_str!("fixtures/help/compare.txt"));
}

#[test]
fn against_help_matches_fixture() {
    assert_eq!(help_text(PROGRAM, "against"), include_str!("fixtures/help/against.txt"));
}

#[test]
fn worst_help_matches_fixture() {
    assert_eq!(help_text(PROGRAM, "worst"), include_str!("fixtures/help/worst.txt"));
}

#[test]
fn explain_help_matches_fixture() {
    assert_eq!(help_text(PROGRAM, "explain"), include_str!("fixtures/help/explain.txt"));
}
