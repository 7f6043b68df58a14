//! Runs a program of the workspace with `--help` and returns its text, independent of terminal, environment
//! and the program's own name. The texts wrap as in a build of the whole workspace (`cargo test --workspace`): the
//! packages of the command line tools switch on clap's `wrap_help` for all.

use std::path::Path;
use std::process::Command;

/// What stands for the program's own name in the expected texts.
const PLACEHOLDER: &str = "PROGRAM";

/// The help of `program`, or of the subcommand that `subcommand` names with blanks between its words.
///
/// # Panics
///
/// Where the program can't be run, fails, or writes to standard error or anything but UTF-8.
pub fn help_text(program: &str, subcommand: &str) -> String {
    let output = Command::new(program)
        .args(subcommand.split_whitespace())
        .arg("--help")
        .env_clear()
        .env("COLUMNS", "100")
        .env("NO_COLOR", "1")
        .output()
        .expect("the program under test runs");
    assert!(output.status.success(), "{program} {subcommand} --help: {}", output.status);
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    let name = Path::new(program).file_name().and_then(|name| name.to_str()).expect("a path to a program");
    without_name(&String::from_utf8(output.stdout).expect("help is UTF-8"), name)
}

/// Replaces the name where it is a word of its own, not where it is a part of a path or of a longer name.
fn without_name(text: &str, name: &str) -> String {
    let continues_word = |c: char| c.is_ascii_alphanumeric() || "-_/.".contains(c);
    let mut replaced = String::new();
    let mut rest = text;
    while let Some(at) = rest.find(name) {
        let (before, after) = (&rest[..at], &rest[at + name.len()..]);
        let starts_word = !before.ends_with(continues_word);
        let ends_word = !after.starts_with(continues_word);
        replaced.push_str(before);
        replaced.push_str(if starts_word && ends_word { PLACEHOLDER } else { name });
        rest = after;
    }
    replaced.push_str(rest);
    replaced
}
