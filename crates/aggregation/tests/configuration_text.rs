//! The exact names in the configuration of an aggregator (elements and attributes of the operators' file, command-line
//! options) and the exact error texts.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use whinwall_aggregation::configuration::{Configuration, ConfigurationError, ControllerMember};
use whinwall_subsetting::Parameters;

const FILE: &str = include_str!("fixtures/operators.xml");

/// Runs the program with `--check` on this file.
fn run_check(file: &str, name: &str) -> Output {
    let written = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(written.path(), file).unwrap();
    run_check_on_path(written.path(), name)
}

fn run_check_on_path(path: &Path, name: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_whinwall-aggregator"))
        .args(["--operators", path.to_str().unwrap(), "--name", name])
        .args(["--listen", "127.0.0.1:7201", "--discovery", "127.0.0.1:7102"])
        .args(["--zone", "a", "--metrics", "127.0.0.1:7999", "--check"])
        .output()
        .unwrap()
}

/// Asserts that the file is rejected and that the log ends with this reason.
fn assert_rejected(file: &str, name: &str, reason: &str) {
    let output = run_check(file, name);
    let log = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{log}");
    assert!(log.trim_end().ends_with(&format!("cannot load configuration: {reason}")), "{log}\nnot {reason}");
}

/// Asserts that the file is rejected if this name in it is replaced by another.
fn assert_rejected_without(name: &str) {
    let changed = FILE.replace(name, "renamed");
    assert_ne!(changed, FILE, "{name}");
    assert_eq!(run_check(&changed, "m0").status.code(), Some(2), "{name}");
}

fn controller(address: Option<&str>, slices: &[(u32, u32)]) -> ControllerMember {
    let address = address.map(|address| address.parse::<SocketAddr>().unwrap());
    ControllerMember { name: "g0".into(), address, slices: slices.to_vec() }
}

fn rejection_reason(
    own: &str,
    bytes: u64,
    controllers: Vec<ControllerMember>,
    aggregators: &[&str],
) -> String {
    let names: Vec<_> = aggregators.iter().map(std::string::ToString::to_string).collect();
    let parameters = Parameters { subset_size: 20 };
    let error: ConfigurationError =
        Configuration::new(own, parameters, bytes, controllers, &names).unwrap_err();
    error.to_string()
}

#[test]
fn file_with_every_name_is_valid() {
    let output = run_check(FILE, "m0");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{log}");
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "the file is fine\n");
}

#[test]
fn elements_and_attributes_are_read_by_their_names() {
    for name in ["operators", "version=", "subsetting", "subset=", "bytes-per-second=", "governor"] {
        assert_rejected_without(name);
    }
    for name in ["aggregator", "name=", "address=", "slices="] {
        assert_rejected_without(name);
    }
}

#[test]
fn file_errors_have_exact_texts() {
    assert_rejected("<operators version=\"1\"/>", "m0", "missing element <subsetting>");
    assert_rejected(FILE, "m9", "<subsetting>: no aggregator is named \"m9\"");
    assert_rejected(&"x".repeat((1 << 20) + 1), "m0", "file larger than 1048576 bytes");
    let without_slices = FILE.replace(" slices=\"0-4,9\"", "");
    let reason = "<subsetting>: governor \"g0\" has an address but no slices: list its slices, the protocol does not transmit them";
    assert_rejected(&without_slices, "m0", reason);
}

#[test]
fn membership_errors_have_exact_texts() {
    let served = || vec![controller(Some("127.0.0.1:1"), &[(0, 4)])];
    assert_eq!(rejection_reason("m9", 27_000, served(), &["m0"]), "no aggregator is named \"m9\"");
    assert_eq!(rejection_reason("m0", 27_000, served(), &["m0", "m0"]), "duplicate aggregator \"m0\"");
    let reversed = vec![controller(None, &[(4, 0)])];
    assert_eq!(
        rejection_reason("m0", 27_000, reversed, &["m0"]),
        "governor \"g0\": invalid slice range 4-0, its first slice is greater than its last"
    );
    let small = rejection_reason("m0", 0, served(), &["m0"]);
    assert!(small.starts_with("budget of 0 bytes per report period, at least "), "{small}");
    assert!(small.ends_with(" needed for one report line"), "{small}");
    let none = rejection_reason("m0", 27_000, Vec::new(), &["m0"]);
    assert!(none.starts_with("governors: "), "{none}");
}
