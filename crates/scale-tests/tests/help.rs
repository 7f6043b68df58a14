//! Compares the help texts literally with the fixtures, because scripts, manuals and completions depend on their
//! wording. The program's own name may change; the fixtures contain `PROGRAM` for it.

use whinwall_test_support::help_text::help_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_whinwall-scale-tests");

#[test]
fn help_of_the_program_matches_the_fixture() {
    assert_eq!(help_text(PROGRAM, ""), include_str!("fixtures/help/scale.txt"));
}

#[test]
fn help_of_the_subcommand_one_matches_the_fixture() {
    assert_eq!(help_text(PROGRAM, "one"), include_str!("fixtures/help/one.txt"));
}

#[test]
fn help_of_the_subcommand_many_matches_the_fixture() {
    assert_eq!(help_text(PROGRAM, "many"), include_str!("fixtures/help/many.txt"));
}

#[test]
fn help_of_the_subcommand_decisions_matches_the_fixture() {
    assert_eq!(help_text(PROGRAM, "decisions"), include_str!("fixtures/help/decisions.txt"));
}
