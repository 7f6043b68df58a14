//! The help texts, to the letter: scripts, manuals and completions follow their words. Only the program's own
//! name may change; it reads `PROGRAM` here.

use whinwall_test_support::help_text::help_text;

const PROGRAM: &str = env!("CARGO_BIN_EXE_whinwall-controller");

#[test]
fn help_of_the_program() {
    assert_eq!(help_text(PROGRAM, ""), include_str!("fixtures/help/program.txt"));
}
