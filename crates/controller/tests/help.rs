//! The exact `--help` text, which scripts, manuals and completions rely on. The fixture has `PROGRAM` for the name of
//! the executable.

use whinwall_test_support::help_text::help_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_whinwall-controller");

#[test]
fn help_of_the_program() {
    assert_eq!(help_text(PROGRAM, ""), include_str!("fixtures/help/program.txt"));
}
