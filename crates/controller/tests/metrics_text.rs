//! The exact names, help texts, types and labels of the controller's metrics, which dashboards and alerts use.
//! The fixture is the exposition text with each value replaced by `_`.

use std::time::{Duration, Instant};
use whinwall_controller::program::metrics::{
    encode, ChannelMetrics, PoolBacklog, ReaderMetrics, ReportMetrics,
};
use whinwall_ingest::liveness::ReaderEvent;
use whinwall_management_api::messages::ReportFreshness;
use whinwall_policy::api::ChannelLoad;
use whinwall_policy::time::Span;
use whinwall_routing::RequestCounts;

/// Replaces the value of each sample with `_`.
fn without_values(text: &str) -> String {
    let line = |line: &str| match line.rsplit_once(' ') {
        Some((sample, _)) if !line.starts_with('#') => format!("{sample} _\n"),
        _ => format!("{line}\n"),
    };
    text.lines().map(line).collect()
}

fn report_metrics(age: Option<Span>) -> ReportMetrics {
    let freshness = ReportFreshness { bytes_per_second: 2.5, age, stale: true, partial_replicas: 3 };
    ReportMetrics { freshness, measured_load: 4.5 }
}

/// Metrics of two readers.
fn reader_metrics() -> ReaderMetrics {
    let metrics = ReaderMetrics::new(2);
    metrics.count_chunk(0, 100, 7, Instant::now());
    metrics.count_panic(0);
    metrics.count_reader_event(1, ReaderEvent::Stalled);
    metrics.count_reader_event(1, ReaderEvent::Died);
    let backlog = PoolBacklog { queued_chunks: 11, early_batches: 12, late_batches: 13 };
    metrics.set_backlog(backlog, |reader| 20 + reader);
    metrics.observe_report_lag(Duration::from_millis(5));
    metrics
}

#[test]
fn metric_names_help_and_labels_are_exact() {
    // With one reader, as the order of the samples of several readers is undefined.
    let text = encode(Some(&ReaderMetrics::new(1)), Some(&report_metrics(Some(Span::ms(250)))), None);
    assert_eq!(without_values(&text), include_str!("fixtures/metrics.txt"));
}

#[test]
fn each_metric_shows_its_value() {
    let text = encode(Some(&reader_metrics()), Some(&report_metrics(Some(Span::ms(250)))), None);
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
        assert!(text.lines().any(|sample| sample == line), "{line} in\n{text}");
    }
}

#[test]
fn report_age_is_left_out_before_the_first_report() {
    let text = encode(None, Some(&report_metrics(None)), None);
    assert!(!text.contains("age_seconds"), "{text}");
    assert!(text.starts_with("# HELP whinwall_aggregated_report_bytes_per_second "), "{text}");
}

#[test]
fn text_without_metrics_ends_with_the_end_marker() {
    assert_eq!(encode(None, None, None), "# EOF\n");
}

#[test]
fn channel_metrics_have_exact_names_and_values() {
    let load = ChannelLoad { proxies: 480, unacked_lines: 61161.0, capacity_lines: 153_000.0 };
    let requests = RequestCounts { sent: 9, accepted: 5, not_applied: 1, unknown: 2, held: 3 };
    let text = encode(None, None, Some(&ChannelMetrics { load, requests }));
    let expected = [
        "whinwall_connected_proxies 480.0",
        "whinwall_channel_unacked_lines 61161.0",
        "whinwall_channel_capacity_lines 153000.0",
        r#"whinwall_relay_requests_total{outcome="accepted"} 5"#,
        r#"whinwall_relay_requests_total{outcome="not-applied"} 1"#,
        r#"whinwall_relay_requests_total{outcome="unknown"} 2"#,
        "whinwall_relay_requests_sent_total 9",
        "whinwall_relay_requests_held_total 3",
    ];
    for line in expected {
        assert!(text.lines().any(|sample| sample == line), "{line} in\n{text}");
    }
}
