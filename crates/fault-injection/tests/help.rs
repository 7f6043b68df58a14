//! Compares the help texts with fixtures letter by letter, since scripts, manuals and completions depend on them. The
//! name of the program is replaced by `PROGRAM`.

use whinwall_test_support::help_text::help_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_whinwall-fault-proxy");

#[test]
fn help_of_the_program_matches_the_fixture() {
    assert_eq!(help_text(PROGRAM, ""), include_str!("fixtures/help/faults.txt"));
}

#[test]
fn help_of_the_subcommand_check_matches_the_fixture() {
    assert_eq!(help_text(PROGRAM, "check"), include_str!("fixtures/help/check.txt"));
}

#[test]
fn help_of_the_subcommand_run_matches_the_fixture() {
    assert_eq!(help_text(PROGRAM, "run"), include_str!("fixtures/help/run.txt"));
}

#[test]
fn help_of_the_subcommand_replay_matches_the_fixture() {
    assert_eq!(help_text(PROGRAM, "replay"), include_str!("fixtures/help/replay.txt"));
}
