//! A file with every element and attribute of the operators' file: the values parsed from it, and the errors for
//! misspelled names and invalid values.

use std::path::PathBuf;
use whinwall_operator_config::file::{self, LogFormat, ManagementEndpoint, OperatorsFile};
use whinwall_operator_config::{AggregatorMember, ControllerMember, SubsettingConfig};
use whinwall_overrides::{ConfiguredOverride, OverrideKind, OverrideLimits};
use whinwall_policy::time::{Moment, Span};

const EVERY_PART: &str = include_str!("fixtures/every-part.xml");

const HOUR_MS: u64 = 3_600_000;
/// 2026-12-01T22:00:00Z, in seconds since the epoch.
const FIRST_EXPIRY_S: u64 = 1_796_162_400;
const DAY_S: u64 = 86_400;

/// All elements in file order, each with all of its attributes.
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

fn configured(
    id: &str,
    kind: OverrideKind,
    author: &str,
    reason: &str,
    expires_at_s: u64,
) -> ConfiguredOverride {
    let expires_at = Moment::at_ns(expires_at_s * 1_000_000_000);
    ConfiguredOverride { id: id.into(), kind, author: author.into(), reason: reason.into(), expires_at }
}

fn expected() -> OperatorsFile {
    let weight = OverrideKind::Weight { replica: "s-1".into(), factor: 0.5 };
    let out = OverrideKind::Out { replica: "s-2".into() };
    let pin = OverrideKind::Pin { first: 40, last: 47, replica: "s-3".into() };
    OperatorsFile {
        log_format: LogFormat::Json,
        store_folder: Some("/var/lib/fleet".into()),
        management: Some(ManagementEndpoint::Address {
            address: "127.0.0.1:8600".parse().unwrap(),
            token_file: "/etc/fleet/token".into(),
        }),
        max_cores: Some(3),
        override_limits: OverrideLimits {
            max_duration: Span::ms(12 * HOUR_MS),
            max_active: 500,
            ended_retention: Span::ms(48 * HOUR_MS),
        },
        overrides: vec![
            configured("w-1", weight, "ann", "half its memory", FIRST_EXPIRY_S),
            configured("o-1", out, "bob", "disk is failing", FIRST_EXPIRY_S + DAY_S),
            configured("p-1", pin, "eve", "audit", FIRST_EXPIRY_S + 2 * DAY_S),
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

/// Returns the file with attribute `name` of the first `element` renamed to `misspelled`.
fn with_misspelled_attribute(element: &str, name: &str, misspelled: &str) -> String {
    let start = EVERY_PART.find(&format!("<{element} ")).unwrap();
    let (before, after) = EVERY_PART.split_at(start);
    before.to_string() + &after.replacen(&format!(" {name}=\""), &format!(" {misspelled}=\""), 1)
}

/// Returns the message of the parse error, without its location.
fn error_message(text: &str) -> String {
    let error = file::parse(text).unwrap_err();
    format!("<{}>: {}", error.element, error.reason)
}

#[test]
fn file_with_every_part_is_parsed() {
    assert_eq!(file::parse(EVERY_PART), Ok(expected()));
}

#[test]
fn misspelled_attribute_is_rejected() {
    for (element, attributes) in ELEMENTS {
        for attribute in attributes {
            let misspelled = format!("{attribute}s");
            let text = with_misspelled_attribute(element, attribute, &misspelled);
            assert_eq!(error_message(&text), format!("<{element}>: unknown attribute \"{misspelled}\""));
        }
    }
}

#[test]
fn missing_required_attribute_is_rejected() {
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
            let value_start = begin + EVERY_PART[begin..].find('"').unwrap() + 1;
            let end = value_start + EVERY_PART[value_start..].find('"').unwrap() + 1;
            let without = format!("{}{}", &EVERY_PART[..begin], &EVERY_PART[end..]);
            let expected = match (element, *attribute) {
                ("management", "address") => "either \"socket\" or \"address\" is required".to_string(),
                _ => format!("missing attribute {attribute:?}"),
            };
            assert_eq!(error_message(&without), format!("<{element}>: {expected}"));
        }
    }
}

#[test]
fn misspelled_element_is_rejected() {
    for (element, _) in ELEMENTS {
        let misspelled = format!("{element}x");
        let text = EVERY_PART
            .replace(&format!("<{element} "), &format!("<{misspelled} "))
            .replace(&format!("</{element}>"), &format!("</{misspelled}>"));
        let parent = match element {
            "operators" => {
                assert_eq!(error_message(&text), "<operatorsx>: the root element must be <operators>");
                continue;
            }
            "weight" | "out" | "pin" => "overrides",
            "governor" | "aggregator" => "subsetting",
            _ => "operators",
        };
        assert_eq!(error_message(&text), format!("<{misspelled}>: element not allowed in <{parent}>"));
    }
}

#[test]
fn management_socket_is_parsed() {
    let address = "address=\"127.0.0.1:8600\" token-file=\"/etc/fleet/token\"";
    let text = EVERY_PART.replace(address, "socket=\"/run/fleet.sock\"");
    let socket = ManagementEndpoint::Socket(PathBuf::from("/run/fleet.sock"));
    assert_eq!(file::parse(&text), Ok(OperatorsFile { management: Some(socket), ..expected() }));
}

#[test]
fn text_log_format_is_parsed() {
    let text = EVERY_PART.replace("form=\"json\"", "form=\"text\"");
    assert_eq!(file::parse(&text), Ok(OperatorsFile { log_format: LogFormat::Text, ..expected() }));
}

#[test]
fn absent_elements_have_their_defaults() {
    let parsed = file::parse("<operators version=\"1\"/>").unwrap();
    let day = Span::ms(24 * HOUR_MS);
    let override_limits = OverrideLimits { max_duration: day, max_active: 1000, ended_retention: day };
    assert_eq!(parsed, OperatorsFile { override_limits, ..OperatorsFile::default() });
    assert_eq!(
        (parsed.log_format, parsed.store_folder, parsed.management, parsed.max_cores, parsed.subsetting),
        (LogFormat::Text, None, None, None, None)
    );
}

#[test]
fn invalid_values_are_rejected_with_their_messages() {
    for (valid, invalid, expected) in [
        ("version=\"1\"", "version=\"2\"", "<operators>: version: unsupported version \"2\", expected \"1\""),
        ("form=\"json\"", "form=\"xml\"", "<log>: form: invalid log format \"xml\", expected \"text\" or \"json\""),
        ("\"/var/lib/fleet\"", "\"fleet\"", "<store>: folder: \"fleet\" is not an absolute path"),
        ("127.0.0.1:8600", "10.0.0.1:8600", "<management>: address: \"10.0.0.1:8600\" is not a loopback address"),
        ("<cores most=\"3\"", "<cores most=\"65\"", "<cores>: most: \"65\" is not an integer from 1 to 64"),
        ("most=\"500\"", "most=\"0\"", "<overrides>: most: \"0\" is not an integer from 1 to 10000"),
        ("most=\"500\"", "most=\"2\"", "<overrides>: 3 overrides, at most 2 allowed by \"most\""),
        ("id=\"o-1\"", "id=\"w-1\"", "<out>: id: duplicate value \"w-1\""),
        ("factor=\"0.5\"", "factor=\"half\"", "<weight>: factor: invalid number \"half\""),
        ("subset=\"48\"", "subset=\"0\"", "<subsetting>: subset: \"0\" is not an integer from 1 to 100000"),
        (
            "\"27000\"",
            "\"511\"",
            "<subsetting>: bytes-per-second: budget of 511 bytes per second, at least 512 needed for one report \
             line",
        ),
        (
            "\"27000\"",
            "\"1000000001\"",
            "<subsetting>: bytes-per-second: budget of 1000000001 bytes per second, at most 1000000000 allowed",
        ),
        ("0-19,30", "0-19,19", "<governor>: slices: duplicate slice 19"),
        (
            "127.0.0.1:7001",
            "127.0.0.1:0",
            "<aggregator>: address: \"127.0.0.1:0\" has port 0; a port from 1 to 65535 is required",
        ),
        (
            "name=\"m0\"",
            "name=\"m 0\"",
            "<aggregator>: name: invalid name \"m 0\", expected 1 to 64 letters, digits, dots, colons, dashes or \
             underscores",
        ),
    ] {
        let text = EVERY_PART.replace(valid, invalid);
        assert_ne!(text, EVERY_PART, "{valid} is not in the file");
        assert_eq!(error_message(&text), expected);
    }
}

#[test]
fn error_message_names_line_column_and_element() {
    let error = file::parse(&EVERY_PART.replace("form=\"json\"", "forms=\"json\"")).unwrap_err();
    assert_eq!(error.to_string(), "line 3, column 3: <log>: unknown attribute \"forms\"");
}
