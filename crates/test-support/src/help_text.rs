//! Runs a program of the workspace with `--help` and returns its text, independent of the terminal, the environment
//! and the program's name. Lines are wrapped as in a build of the whole workspace (`cargo test --workspace`),
//! because the packages of the command-line tools enable clap's `wrap_help` feature for all packages.

use std::path::Path;
use std::process::Command;

/// Replaces the program's name in the expected texts.
const PROGRAM_NAME_PLACEHOLDER: &str = "PROGRAM";

/// Returns the help text of `program`, or of a subcommand: the words of `subcommand`, separated by spaces.
///
/// # Panics
///
/// If the program cannot be run, exits with an error, writes to standard error, or prints invalid UTF-8.
pub fn help_text(program: &str, subcommand: &str) -> String {
    let output = Command::new(program)
        .args(subcommand.split_whitespace())
        .arg("--help")
        .env_clear()
        .env("COLUMNS", "100")
        .env("NO_COLOR", "1")
        .output()
        .unwrap_or_else(|error| panic!("failed to run {program} {subcommand} --help: {error}"));
    assert!(output.status.success(), "{program} {subcommand} --help: {}", output.status);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.is_empty(), "{program} {subcommand} --help wrote to standard error: {stderr}");
    let name = Path::new(program)
        .file_name()
        .and_then(|name| name.to_str())
        .unwrap_or_else(|| panic!("program path {program:?} has no file name"));
    replace_program_name(&String::from_utf8(output.stdout).expect("help text is not UTF-8"), name)
}

/// Replaces whole-word occurrences of the name by the placeholder; occurrences within a path or a longer name stay.
fn replace_program_name(text: &str, name: &str) -> String {
    let continues_word = |c: char| c.is_ascii_alphanumeric() || "-_/.".contains(c);
    let mut replaced = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(name) {
        let (before, after) = (&rest[..start], &rest[start + name.len()..]);
        let starts_word = !before.ends_with(continues_word);
        let ends_word = !after.starts_with(continues_word);
        replaced.push_str(before);
        replaced.push_str(if starts_word && ends_word { PROGRAM_NAME_PLACEHOLDER } else { name });
        rest = after;
    }
    replaced.push_str(rest);
    replaced
}
