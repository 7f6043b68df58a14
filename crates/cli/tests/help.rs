//! The exact help texts, on which scripts, manuals and completions depend. The program's own name, which may change, is
//! replaced by `PROGRAM`.

use whinwall_test_support::help_text::help_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_whinwall");

#[test]
fn help_of_the_program_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, ""), include_str!("fixtures/help/command.txt"));
}

#[test]
fn help_of_the_subcommand_override_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, "override"), include_str!("fixtures/help/override.txt"));
}

#[test]
fn help_of_the_subcommand_override_set_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, "override set"), include_str!("fixtures/help/override-set.txt"));
}

#[test]
fn help_of_the_subcommand_override_set_weight_matches_its_fixture() {
    assert_eq!(
        help_text(PROGRAM, "override set weight"),
        include_str!("fixtures/help/override-set-weight.txt")
    );
}

#[test]
fn help_of_the_subcommand_override_set_out_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, "override set out"), include_str!("fixtures/help/override-set-out.txt"));
}

#[test]
fn help_of_the_subcommand_override_set_pin_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, "override set pin"), include_str!("fixtures/help/override-set-pin.txt"));
}

#[test]
fn help_of_the_subcommand_override_clear_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, "override clear"), include_str!("fixtures/help/override-clear.txt"));
}

#[test]
fn help_of_the_subcommand_override_list_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, "override list"), include_str!("fixtures/help/override-list.txt"));
}

#[test]
fn help_of_the_subcommand_status_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, "status"), include_str!("fixtures/help/status.txt"));
}

#[test]
fn help_of_the_subcommand_check_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, "check"), include_str!("fixtures/help/check.txt"));
}

#[test]
fn help_of_the_subcommand_completions_matches_its_fixture() {
    assert_eq!(help_text(PROGRAM, "completions"), include_str!("fixtures/help/completions.txt"));
}
