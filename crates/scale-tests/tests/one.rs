//! One real controller with a small fleet: report lines are counted correctly, measurements fit a line, memory is
//! bounded, and the controller reacts to draining replicas. No check depends on the speed of the machine.

use std::io::Write;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::time::Duration;
use whinwall_scale_tests::fakes::collectors::{connect_collector, flood};
use whinwall_scale_tests::fakes::fleet::{FleetSize, Random, ReportShape};
use whinwall_scale_tests::fit::{LinearFit, Point};
use whinwall_scale_tests::one::events::{self, Event};
use whinwall_scale_tests::one::report;
use whinwall_scale_tests::one::steady::{self, Case, Times};
use whinwall_scale_tests::one::test_bed::{Setup, TestBed};
use whinwall_scale_tests::process::Usage;
use whinwall_scale_tests::programs::controller_program;
use whinwall_scale_tests::results::Folder;

/// Limit of the resident memory of a controller with a small fleet. It leaves a wide margin for debug builds.
const MEMORY_LIMIT_BYTES: u64 = 64 << 20;
/// Time limit for each wait, far longer than any step takes.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Text of the log line that the controller writes for an invalid report.
const IGNORED_REPORT_LOG_TEXT: &str = "report ignored";
const SHORT_TIMES: Times =
    Times { warm_up: Duration::from_millis(100), measured: Duration::from_millis(500) };

fn program() -> &'static PathBuf {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| controller_program().unwrap())
}

fn setup(replicas: usize, zones: usize) -> Setup {
    Setup::reported(FleetSize { replicas, zones, slices: 6, proxies: 5, ..FleetSize::target() })
}

#[test]
fn report_lines_are_counted_as_written_and_fit_a_line() {
    const PERIODS: usize = 8;
    let mut points = Vec::new();
    for (replicas, zones) in [(20, 1), (20, 3), (60, 1), (60, 3), (180, 3)] {
        let setup = setup(replicas, zones);
        let test_bed = TestBed::start(program(), &setup).unwrap();
        // The controller ignores reports on replicas that are not in its endpoint list yet.
        assert!(test_bed.wait_for_first_table_command(TIMEOUT).latency.is_some());
        let schedules = setup.schedules();
        let before = test_bed.traffic.read().reports;
        let flooded = flood(test_bed.controller.address(), &schedules, PERIODS, &test_bed.traffic).unwrap();
        let received = test_bed.traffic.read().reports.since(before);
        let written =
            schedules.iter().flat_map(|schedule| schedule.periods.iter().cycle().take(PERIODS).flatten());
        let source_lines: usize = schedules
            .iter()
            .map(|schedule| format!("{{\"@type\":\"SOURCE\",\"az\":\"{}\"}}\n", schedule.zone).len())
            .sum();
        let (bytes, line_count) = written
            .fold((0, 0), |(bytes, line_count), block| (bytes + block.bytes.len(), line_count + block.lines));
        assert_eq!(received.bytes as usize, bytes + source_lines);
        assert_eq!(flooded.lines as usize, line_count);
        assert_eq!(line_count, PERIODS * zones * (replicas + 6 * 2));
        // An invalid line would be logged, or would close the connection before its PONG.
        let log_problems: Vec<String> = test_bed
            .controller
            .take_log_lines()
            .into_iter()
            .filter(|line| {
                [IGNORED_REPORT_LOG_TEXT, " warn ", " error "].iter().any(|text| line.contains(text))
            })
            .collect();
        assert!(log_problems.is_empty(), "{log_problems:?}");
        let usage = test_bed.controller.usage().unwrap();
        assert!(
            usage.resident_peak < MEMORY_LIMIT_BYTES && usage.resident <= usage.resident_peak,
            "{usage:?}"
        );
        assert!(!usage.processor_time.is_zero() && usage.threads >= 1, "{usage:?}");
        points.push(Point { regressors: vec![line_count as f64], measured: received.bytes as f64 });
    }
    let fit = LinearFit::least_squares(&points).unwrap();
    assert!(fit.r_squared > 0.99 && (80.0..150.0).contains(&fit.slopes[0]), "{fit:?}");
}

/// Ensures that the log check of `report_lines_are_counted_as_written_and_fit_a_line` detects an invalid line.
#[test]
fn invalid_report_line_is_logged() {
    let setup = setup(20, 1);
    let test_bed = TestBed::start(program(), &setup).unwrap();
    let mut collector = connect_collector(test_bed.controller.address(), "z0", &test_bed.traffic).unwrap();
    let valid_line = setup.reports.unwrap().lines(&setup.size, 0, &mut Random::new(1)).remove(0);
    writeln!(collector, "{}", valid_line.replace("\"bad\":0", "\"bad\":-1")).unwrap();
    assert!(test_bed.controller.process.wait_for_log_line(IGNORED_REPORT_LOG_TEXT, TIMEOUT));
}

#[test]
fn reader_threads_read_all_lines() {
    let mut setup = setup(60, 3);
    setup.operators = Some("<operators version=\"1\"><cores most=\"2\"/></operators>".into());
    let test_bed = TestBed::start(program(), &setup).unwrap();
    let lines = flood(test_bed.controller.address(), &setup.schedules(), 5, &test_bed.traffic).unwrap().lines;
    assert_eq!(lines, 5 * 3 * (60 + 12));
    assert!(test_bed.controller.usage().unwrap().threads >= 3);
}

#[test]
fn draining_replica_is_withdrawn_and_loses_its_slices() {
    let outcomes =
        events::run_events(program(), &setup(40, 2), &[Event::Drain(1), Event::FullList], SHORT_TIMES)
            .unwrap();
    for outcome in &outcomes {
        let (first, last) = (outcome.first_command.unwrap(), outcome.last_command.unwrap());
        assert!(first <= outcome.measured_for && last <= outcome.measured_for, "{outcome:?}");
        assert!(outcome.commands > 0 && outcome.traffic.endpoint_list.bytes > 0, "{outcome:?}");
    }
    // The full list contains all entries; the first event sends only one.
    assert!(
        outcomes[1].traffic.endpoint_list.bytes > 10 * outcomes[0].traffic.endpoint_list.bytes,
        "{outcomes:?}"
    );
}

#[test]
fn configuration_reload_sends_no_command() {
    let outcomes =
        events::run_events(program(), &setup(40, 2), &[Event::ConfigurationReload], SHORT_TIMES).unwrap();
    assert!(outcomes[0].first_command.is_some() && outcomes[0].last_command.is_none(), "{outcomes:?}");
}

#[test]
fn start_sends_commands() {
    let started = events::start(program(), &setup(40, 2)).unwrap();
    assert!(started.first_command.is_some() && started.traffic.endpoint_list.bytes > 0, "{started:?}");
}

#[test]
fn results_are_written_as_rows_table_and_charts() {
    let folder = tempfile::tempdir().unwrap();
    let (mut small, mut large) = (setup(20, 1), setup(40, 1));
    // Sums over zones with their own window, as in aggregated reports.
    small.reports = Some(ReportShape { window_ms: 200.0, zones_summed: 9, ..ReportShape::full(&small.size) });
    large.reports = Some(ReportShape { replicas: 0..10, ..ReportShape::full(&large.size) });
    let case = |setup| Case { sweep: "size", setup, churn: 4.0 };
    let points: Vec<_> = [small, large]
        .into_iter()
        .map(|setup| steady::measure(program(), &case(setup), SHORT_TIMES).unwrap())
        .collect();
    for point in &points {
        assert!(
            point.measured_for >= SHORT_TIMES.measured && point.usage.resident < MEMORY_LIMIT_BYTES,
            "{point:?}"
        );
    }
    report::write_steady(&Folder::create(folder.path()).unwrap(), &points).unwrap();
    let table = std::fs::read_to_string(folder.path().join("steady.md")).unwrap();
    assert_eq!(table.lines().filter(|line| line.starts_with("| size |")).count(), points.len());
    for file in ["steady.parquet", "processor.svg", "bytes.svg", "memory.svg"] {
        assert!(folder.path().join(file).metadata().unwrap().len() > 0, "{file}");
    }
}

#[test]
fn harness_reads_its_own_usage() {
    let before = Usage::of_self().unwrap();
    let mut sum = 0u64;
    while Usage::of_self().unwrap().processor_time <= before.processor_time {
        sum = (0..100_000u64).fold(sum, |sum, n| sum.wrapping_mul(31).wrapping_add(n));
    }
    assert!(before.resident > 0 && sum != 1);
}
