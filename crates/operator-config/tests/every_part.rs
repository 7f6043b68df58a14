//! A file with every element and attribute that the operators' file may have, the values that have to be read
//! from it, and what happens when a name is spelt differently.

use std::path::PathBuf;
use whinwall_operator_config::file::{self, Doors, LogForm, OperatorsFile};
use whinwall_operator_config::{AggregatorMember, ControllerMember, SubsettingConfig};
use whinwall_overrides::ConfiguredOverride;
use whinwall_overrides::{OverrideKind, OverrideLimits};
use whinwall_policy::time::{Moment, Span};

const EVERY_PART: &str = include_str!("fixtures/every-part.xml");

const HOUR_MS: u64 = 3_600_000;
/// 2026-12-01T22:00:00Z, in seconds since the epoch.
const FIRST_END_S: u64 = 1_796_162_400;
const DAY_S: u64 = 86_400;

/// The start of each element, as it stands in the file, with all of its attributes.
const ELEMENTS: [(&str, &[&str]); 12] = [
    ("operators", &["version"]),
    ("log", &["form"]),
    ("store", &["folder"]),
    ("management", &["address", "token-file"]),
    ("cores", &["most"]),
    ("overrides", &["longest", "most", "ended-kept"]),
    ("weight", &["id", "server", "author", "reason", "until", "factor"]),
    ("out", &["id", "server", "author", "reason", "until"]),
    ("pin", &["id", "server", "author", "reason", "until", "slices"]),
    ("subsetting", &["subset", "bytes-per-second"]),
    ("governor", &["name", "address", "slices"]),
    ("aggregator", &["name", "address"]),
];

fn order(id: &str, kind: OverrideKind, author: &str, reason: &str, until_s: u64) -> ConfiguredOverride {
    let expires_at = Moment::at_ns(until_s * 1_000_000_000);
    ConfiguredOverride { id: id.into(), kind, author: author.into(), reason: reason.into(), expires_at }
}

fn expected() -> OperatorsFile {
    let weight = OverrideKind::Weight { replica: "s-1".into(), factor: 0.5 };
    let out = OverrideKind::Out { replica: "s-2".into() };
    let pin = OverrideKind::Pin { first: 40, last: 47, replica: "s-3".into() };
    OperatorsFile {
        log: LogForm::Json,
        store: Some("/var/lib/fleet".into()),
        management: Some(Doors::Address {
            address: "127.0.0.1:8600".parse().unwrap(),
            token_file: "/etc/fleet/token".into(),
        }),
        cores: Some(3),
        bounds: OverrideLimits {
            max_duration: Span::ms(12 * HOUR_MS),
            max_active: 500,
            ended_retention: Span::ms(48 * HOUR_MS),
        },
        overrides: vec![
            order("w-1", weight, "ann", "half its memory", FIRST_END_S),
            order("o-1", out, "bob", "disk is failing", FIRST_END_S + DAY_S),
            order("p-1", pin, "eve", "audit", FIRST_END_S + 2 * DAY_S),
        ],
        subsetting: Some(SubsettingConfig {
            subset_size: 48,
            bytes_per_second: 27_000,
            controllers: vec![ControllerMember {
                name: "n0".into(),
                address: Some("127.0.0.1:8443".parse().unwrap()),
                slices: vec![(0, 19), (30, 30)],
            }],
            aggregators: vec![AggregatorMember {
                name: "m0".into(),
                address: "127.0.0.1:7001".parse().unwrap(),
            }],
        }),
    }
}

/// The file with `name` in the start of `element` (its first one) spelt `misspelt`.
fn with_misspelt_attribute(element: &str, name: &str, misspelt: &str) -> String {
    let start = EVERY_PART.find(&format!("<{element} ")).unwrap();
    let (before, after) = EVERY_PART.split_at(start);
    before.to_string() + &after.replacen(&format!(" {name}=\""), &format!(" {misspelt}=\""), 1)
}

/// Without its place in the file.
fn message(text: &str) -> String {
    let wrong = file::read(text).unwrap_err();
    format!("<{}>: {}", wrong.element, wrong.why)
}

#[test]
fn file_with_every_part_is_read() {
    assert_eq!(file::read(EVERY_PART), Ok(expected()));
}

#[test]
fn every_attribute_counts_only_as_it_is_spelt() {
    for (element, attributes) in ELEMENTS {
        for attribute in attributes {
            let misspelt = format!("{attribute}s");
            let text = with_misspelt_attribute(element, attribute, &misspelt);
            assert_eq!(message(&text), format!("<{element}>: it has no attribute \"{misspelt}\""));
        }
    }
}

#[test]
fn every_required_attribute_has_to_be_there() {
    let optional = [
        ("overrides", "longest"),
        ("overrides", "most"),
        ("overrides", "ended-kept"),
        ("governor", "address"),
        ("governor", "slices"),
    ];
    for (element, attributes) in ELEMENTS {
        for attribute in attributes.iter().filter(|attribute| !optional.contains(&(element, attribute))) {
            let start = EVERY_PART.find(&format!("<{element} ")).unwrap();
            let begin = start + EVERY_PART[start..].find(&format!(" {attribute}=\"")).unwrap();
            let value = begin + EVERY_PART[begin..].find('"').unwrap() + 1;
            let end = value + EVERY_PART[value..].find('"').unwrap() + 1;
            let without = format!("{}{}", &EVERY_PART[..begin], &EVERY_PART[end..]);
            let expected = match (element, *attribute) {
                ("management", "address") => "it must have either \"socket\" or \"address\"".to_string(),
                _ => format!("it lacks {attribute:?}"),
            };
            assert_eq!(message(&without), format!("<{element}>: {expected}"));
        }
    }
}

#[test]
fn every_element_counts_only_as_it_is_spelt() {
    for (element, _) in ELEMENTS {
        let misspelt = format!("{element}x");
        let text = EVERY_PART
            .replace(&format!("<{element} "), &format!("<{misspelt} "))
            .replace(&format!("</{element}>"), &format!("</{misspelt}>"));
        let within = match element {
            "operators" => {
                assert_eq!(message(&text), "<operatorsx>: the outermost element must be <operators>");
                continue;
            }
            "weight" | "out" | "pin" => "overrides",
            "governor" | "aggregator" => "subsetting",
            _ => "operators",
        };
        assert_eq!(message(&text), format!("<{misspelt}>: it has no place in <{within}>"));
    }
}

#[test]
fn management_by_a_socket_is_read() {
    let address = "address=\"127.0.0.1:8600\" token-file=\"/etc/fleet/token\"";
    let text = EVERY_PART.replace(address, "socket=\"/run/fleet.sock\"");
    let socket = Doors::Socket(PathBuf::from("/run/fleet.sock"));
    assert_eq!(file::read(&text), Ok(OperatorsFile { management: Some(socket), ..expected() }));
}

#[test]
fn log_in_text_form_is_read() {
    let text = EVERY_PART.replace("form=\"json\"", "form=\"text\"");
    assert_eq!(file::read(&text), Ok(OperatorsFile { log: LogForm::Text, ..expected() }));
}

#[test]
fn parts_that_are_not_named_have_their_defaults() {
    let read = file::read("<operators version=\"1\"/>").unwrap();
    let day = Span::ms(24 * HOUR_MS);
    let bounds = OverrideLimits { max_duration: day, max_active: 1000, ended_retention: day };
    assert_eq!(read, OperatorsFile { bounds, ..OperatorsFile::default() });
    assert_eq!(
        (read.log, read.store, read.management, read.cores, read.subsetting),
        (LogForm::Text, None, None, None, None)
    );
}

#[test]
fn wrong_values_are_refused_with_their_messages() {
    for (right, wrong, expected) in [
        ("version=\"1\"", "version=\"2\"", "<operators>: version: \"2\" is not \"1\""),
        ("form=\"json\"", "form=\"xml\"", "<log>: form: \"xml\" is neither \"text\" nor \"json\""),
        ("\"/var/lib/fleet\"", "\"fleet\"", "<store>: folder: \"fleet\" is no absolute path"),
        ("127.0.0.1:8600", "10.0.0.1:8600", "<management>: address: \"10.0.0.1:8600\" is no loopback address"),
        ("<cores most=\"3\"", "<cores most=\"65\"", "<cores>: most: \"65\" is no whole number from 1 to 64"),
        ("most=\"500\"", "most=\"0\"", "<overrides>: most: \"0\" is no whole number from 1 to 10000"),
        ("most=\"500\"", "most=\"2\"", "<overrides>: 3 overrides are more than the most, 2"),
        ("id=\"o-1\"", "id=\"w-1\"", "<out>: id: \"w-1\" is there twice"),
        ("factor=\"0.5\"", "factor=\"half\"", "<weight>: factor: \"half\" is no number"),
        ("subset=\"48\"", "subset=\"0\"", "<subsetting>: subset: \"0\" is no whole number from 1 to 100000"),
        (
            "\"27000\"",
            "\"511\"",
            "<subsetting>: bytes-per-second: 511 bytes a second are too few for one report line, which needs \
             up to 512",
        ),
        ("\"27000\"", "\"1000000001\"", "<subsetting>: bytes-per-second: 1000000001 is more than 1000000000"),
        ("0-19,30", "0-19,19", "<governor>: slices: slice 19 is there twice"),
        ("127.0.0.1:7001", "127.0.0.1:0", "<aggregator>: address: \"127.0.0.1:0\" lacks a port"),
        (
            "name=\"m0\"",
            "name=\"m 0\"",
            "<aggregator>: name: \"m 0\" is no name: 1 to 64 letters, digits, dots, colons, dashes or \
             underscores",
        ),
    ] {
        let text = EVERY_PART.replace(right, wrong);
        assert_ne!(text, EVERY_PART, "{right} is not in the file");
        assert_eq!(message(&text), expected);
    }
}

#[test]
fn message_names_line_column_and_element() {
    let wrong = file::read(&EVERY_PART.replace("form=\"json\"", "forms=\"json\"")).unwrap_err();
    assert_eq!(wrong.to_string(), "line 3, column 3: <log>: it has no attribute \"forms\"");
}
