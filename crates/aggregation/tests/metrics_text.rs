//! The exact names, help texts and types of the aggregator's metrics, because dashboards and alerts depend on them. The
//! fixture is the exposition text with each value replaced by `_`.

#[allow(dead_code)] // other test files use the rest
mod support;

use support::{get, Discovery, Program};

const LIST: &str = r#"{"version":41,"full":true,"servers":[]}"#;

/// Returns the body of a response with the value of each sample replaced by `_`.
fn mask_values(response: &str) -> String {
    let (_, body) = response.split_once("\r\n\r\n").unwrap();
    let line = |line: &str| match line.rsplit_once(' ') {
        Some((sample, _)) if !line.starts_with('#') => format!("{sample} _\n"),
        _ => format!("{line}\n"),
    };
    body.lines().map(line).collect()
}

#[test]
fn metrics_have_exact_names_help_texts_and_types() {
    let discovery = Discovery::start(LIST);
    let file = include_str!("fixtures/operators.xml");
    let mut program = Program::start("m0", file, &discovery, &["--metrics", "127.0.0.1:0"]);
    let metrics = program.wait_for_log("metrics at").rsplit(' ').next().unwrap().to_string();
    let response = get(&metrics, "/metrics");
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert_eq!(mask_values(&response), include_str!("fixtures/metrics.txt"));
}
