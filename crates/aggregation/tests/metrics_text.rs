//! The exact names, help texts and types of the aggregator's metrics, as dashboards and alerts use them. The
//! fixture is the exposition text with each value replaced by `_`.

#[allow(dead_code)] // other files of tests use the rest
mod support;

use support::{get, Discovery, Program};

const LIST: &str = r#"{"version":41,"full":true,"servers":[]}"#;

/// The body of an answer with `_` in place of each sample's value.
fn without_values(answer: &str) -> String {
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    let line = |line: &str| match line.rsplit_once(' ') {
        Some((sample, _)) if !line.starts_with('#') => format!("{sample} _\n"),
        _ => format!("{line}\n"),
    };
    body.lines().map(line).collect()
}

#[test]
fn metrics_are_named_and_described_to_the_letter() {
    let discovery = Discovery::start(LIST);
    let file = include_str!("fixtures/operators.xml");
    let mut program = Program::start("m0", file, &discovery, &["--metrics", "127.0.0.1:0"]);
    let metrics = program.logs("metrics at").rsplit(' ').next().unwrap().to_string();
    let answer = get(&metrics, "/metrics");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert_eq!(without_values(&answer), include_str!("fixtures/metrics.txt"));
}
