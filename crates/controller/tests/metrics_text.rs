//! The exact names, help texts, types and labels of the controller's metrics, as dashboards and alerts use them.
//! The fixture is the exposition text with each value replaced by `_`.

use std::time::{Duration, Instant};
use whinwall_controller::program::meters::{text, Meters, ReportFigures};
use whinwall_ingest::watch::Found;
use whinwall_management_api::messages::ReportFreshness;
use whinwall_policy::time::Span;

/// The text with `_` in place of each sample's value.
fn without_values(text: &str) -> String {
    let line = |line: &str| match line.rsplit_once(' ') {
        Some((sample, _)) if !line.starts_with('#') => format!("{sample} _\n"),
        _ => format!("{line}\n"),
    };
    text.lines().map(line).collect()
}

fn figures(age: Option<Span>) -> ReportFigures {
    let freshness = ReportFreshness { bytes_per_second: 2.5, age, stale: true, partial_replicas: 3 };
    ReportFigures { freshness, measured_load: 4.5 }
}

/// What two readers count.
fn meters() -> Meters {
    let meters = Meters::of(2);
    meters.carried(0, 100, 7, Instant::now());
    meters.panicked(0);
    meters.stopped(1, Found::Stalled);
    meters.stopped(1, Found::Dead);
    meters.state(11, 12, 13, |core| 20 + core);
    meters.applied(Duration::from_millis(5));
    meters
}

#[test]
fn metrics_are_named_described_and_labelled_to_the_letter() {
    // Samples of several readers come in no certain order.
    let shown = text(Some(&Meters::of(1)), Some(&figures(Some(Span::ms(250)))));
    assert_eq!(without_values(&shown), include_str!("fixtures/metrics.txt"));
}

#[test]
fn each_metric_shows_the_value_that_its_name_says() {
    let shown = text(Some(&meters()), Some(&figures(Some(Span::ms(250)))));
    let expected = [
        r#"whinwall_reader_lines_total{reader="0"} 7"#,
        r#"whinwall_reader_bytes_total{reader="0"} 100"#,
        r#"whinwall_reader_chunks_total{reader="0"} 1"#,
        r#"whinwall_reader_panics_total{reader="0"} 1"#,
        r#"whinwall_reader_stalls_total{reader="1"} 1"#,
        r#"whinwall_reader_deaths_total{reader="1"} 1"#,
        r#"whinwall_reader_connections{reader="0"} 20"#,
        r#"whinwall_reader_connections{reader="1"} 21"#,
        "whinwall_chunks_waiting 11",
        "whinwall_batches_early 12",
        "whinwall_batches_late 13",
        "whinwall_report_lag_seconds_count 1",
        "whinwall_aggregated_report_bytes_per_second 2.5",
        "whinwall_aggregated_report_age_seconds 0.25",
        "whinwall_aggregated_reports_stale 1.0",
        "whinwall_partially_observed_replicas 3.0",
        "whinwall_measured_requests_per_second 4.5",
    ];
    for line in expected {
        assert!(shown.lines().any(|shown| shown == line), "{line} in\n{shown}");
    }
}

#[test]
fn the_age_of_reports_is_left_out_where_none_came() {
    let shown = text(None, Some(&figures(None)));
    assert!(!shown.contains("age_seconds"), "{shown}");
    assert!(shown.starts_with("# HELP whinwall_aggregated_report_bytes_per_second "), "{shown}");
}

#[test]
fn the_text_ends_with_an_end_version_also_where_it_has_no_metrics() {
    assert_eq!(text(None, None), "# EOF\n");
}
