//! The exact names in an aggregator's configuration: elements and attributes of the operators' file, options of
//! the command line, and the text of each mistake.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use whinwall_aggregation::configuration::{Configuration, ConfigurationError, ControllerMember};
use whinwall_subsetting::Parameters;

const FILE: &str = include_str!("fixtures/operators.xml");

/// Runs the program's check of this file.
fn check(file: &str, name: &str) -> Output {
    let written = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(written.path(), file).unwrap();
    check_path(written.path(), name)
}

fn check_path(path: &Path, name: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_whinwall-aggregator"))
        .args(["--operators", path.to_str().unwrap(), "--name", name])
        .args(["--listen", "127.0.0.1:7201", "--discovery", "127.0.0.1:7102"])
        .args(["--zone", "a", "--metrics", "127.0.0.1:7999", "--check"])
        .output()
        .unwrap()
}

/// The file is refused, and the log ends with this text.
fn refused(file: &str, name: &str, why: &str) {
    let output = check(file, name);
    let log = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{log}");
    assert!(log.trim_end().ends_with(&format!("configuration: {why}")), "{log}\nnot {why}");
}

/// The file is refused where this name in it is another.
fn refused_without(name: &str) {
    let changed = FILE.replace(name, "renamed");
    assert_ne!(changed, FILE, "{name}");
    assert_eq!(check(&changed, "m0").status.code(), Some(2), "{name}");
}

fn controller(address: Option<&str>, slices: &[(u32, u32)]) -> ControllerMember {
    let address = address.map(|address| address.parse::<SocketAddr>().unwrap());
    ControllerMember { name: "g0".into(), address, slices: slices.to_vec() }
}

fn why_refused(own: &str, bytes: u64, controllers: Vec<ControllerMember>, aggregators: &[&str]) -> String {
    let names: Vec<_> = aggregators.iter().map(std::string::ToString::to_string).collect();
    let parameters = Parameters { subset_size: 20 };
    let refused: ConfigurationError =
        Configuration::new(own, parameters, bytes, controllers, &names).unwrap_err();
    refused.to_string()
}

#[test]
fn file_with_every_name_is_valid() {
    let output = check(FILE, "m0");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{log}");
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "the file is fine\n");
}

#[test]
fn elements_and_attributes_are_read_by_their_names() {
    for name in ["operators", "version=", "subsetting", "subset=", "bytes-per-second=", "governor"] {
        refused_without(name);
    }
    for name in ["aggregator", "name=", "address=", "slices="] {
        refused_without(name);
    }
}

#[test]
fn file_errors_are_worded_to_the_letter() {
    refused("<operators version=\"1\"/>", "m0", "it has no element <subsetting>");
    refused(FILE, "m9", "<subsetting>: \"m9\" is not among the aggregators");
    refused(&"x".repeat((1 << 20) + 1), "m0", "it has more than 1048576 bytes");
    let without_slices = FILE.replace(" slices=\"0-4,9\"", "");
    let why = "<subsetting>: governor \"g0\" has an address and no slices: the protocol does not tell which ones it has";
    refused(&without_slices, "m0", why);
}

#[test]
fn membership_errors_are_worded_to_the_letter() {
    let served = || vec![controller(Some("127.0.0.1:1"), &[(0, 4)])];
    assert_eq!(why_refused("m9", 27_000, served(), &["m0"]), "\"m9\" is not among the aggregators");
    assert_eq!(why_refused("m0", 27_000, served(), &["m0", "m0"]), "aggregator \"m0\" is there twice");
    let reversed = vec![controller(None, &[(4, 0)])];
    assert_eq!(why_refused("m0", 27_000, reversed, &["m0"]), "the slices of governor \"g0\" go from 4 to 0");
    let small = why_refused("m0", 0, served(), &["m0"]);
    assert!(small.starts_with("a budget of 0 bytes a report period is less than "), "{small}");
    assert!(small.ends_with(", what one line may take"), "{small}");
    let none = why_refused("m0", 27_000, Vec::new(), &["m0"]);
    assert!(none.starts_with("governors: "), "{none}");
}
