//! One real controller at small size: lines arrive and are counted as computed, figures fit, memory is bounded, a drain
//! is acted on. Nothing here depends on how fast the machine is.

use std::io::Write;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::time::Duration;
use whinwall_scale_tests::fit::{LinearFit, Point};
use whinwall_scale_tests::one::events::{self, Event};
use whinwall_scale_tests::one::report;
use whinwall_scale_tests::one::rig::{Rig, Setup};
use whinwall_scale_tests::one::steady::{self, Case, Times};
use whinwall_scale_tests::process::{controller_program, Usage};
use whinwall_scale_tests::results::Folder;
use whinwall_scale_tests::stand_ins::collectors::{flood, join};
use whinwall_scale_tests::stand_ins::fleet::{Draw, FleetSize, ReportShape};

/// What a small controller never needs, in a debug build with much room.
const MEMORY_BOUND: u64 = 64 << 20;
/// Far longer than anything takes: a test that waits so long has failed.
const PATIENCE: Duration = Duration::from_secs(20);
/// What the controller logs of a report that can't be used.
const PASSED_OVER: &str = "report ignored";
const SHORT: Times = Times { warm_up: Duration::from_millis(100), measured: Duration::from_millis(500) };

fn program() -> &'static PathBuf {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| controller_program().unwrap())
}

fn setup(replicas: usize, zones: usize) -> Setup {
    Setup::reported(FleetSize { replicas, zones, slices: 6, proxies: 5, ..FleetSize::target() })
}

#[test]
fn lines_arrive_are_counted_as_computed_and_fit_a_line() {
    const PERIODS: usize = 8;
    let mut points = Vec::new();
    for (replicas, zones) in [(20, 1), (20, 3), (60, 1), (60, 3), (180, 3)] {
        let setup = setup(replicas, zones);
        let rig = Rig::start(program(), &setup).unwrap();
        // Reports on what is not listed yet would be passed over.
        assert!(rig.wait_for_first_order(PATIENCE).0.is_some());
        let schedules = setup.schedules();
        let before = rig.traffic.read().reports;
        let (lines, _) = flood(rig.controller.address(), &schedules, PERIODS, &rig.traffic).unwrap();
        let told = rig.traffic.read().reports.since(before);
        let written =
            schedules.iter().flat_map(|schedule| schedule.periods.iter().cycle().take(PERIODS).flatten());
        let source_lines: usize = schedules
            .iter()
            .map(|schedule| format!("{{\"@type\":\"SOURCE\",\"az\":\"{}\"}}\n", schedule.zone).len())
            .sum();
        let (bytes, many) =
            written.fold((0, 0), |(bytes, many), block| (bytes + block.bytes.len(), many + block.lines));
        assert_eq!(told.bytes as usize, bytes + source_lines);
        assert_eq!(lines as usize, many);
        assert_eq!(many, PERIODS * zones * (replicas + 6 * 2));
        // A line that could not be read would be logged, or have cost the connection before its PONG.
        let complaints: Vec<String> = rig
            .controller
            .logged()
            .into_iter()
            .filter(|line| [PASSED_OVER, " warn ", " error "].iter().any(|sign| line.contains(sign)))
            .collect();
        assert!(complaints.is_empty(), "{complaints:?}");
        let usage = rig.controller.usage().unwrap();
        assert!(usage.resident_peak < MEMORY_BOUND && usage.resident <= usage.resident_peak, "{usage:?}");
        assert!(!usage.processor.is_zero() && usage.threads >= 1, "{usage:?}");
        points.push(Point { regressors: vec![many as f64], measured: told.bytes as f64 });
    }
    let fit = LinearFit::of(&points).unwrap();
    assert!(fit.r_squared > 0.99 && (80.0..150.0).contains(&fit.slopes[0]), "{fit:?}");
}

/// The check for complaints in the test above would find a line that can't be used.
#[test]
fn a_spoilt_line_is_logged() {
    let setup = setup(20, 1);
    let rig = Rig::start(program(), &setup).unwrap();
    let mut collector = join(rig.controller.address(), "z0", &rig.traffic).unwrap();
    let spoilt = setup.reports.unwrap().lines(&setup.size, 0, &mut Draw::new(1)).remove(0);
    writeln!(collector, "{}", spoilt.replace("\"bad\":0", "\"bad\":-1")).unwrap();
    assert!(rig.controller.process.logs(PASSED_OVER, PATIENCE));
}

#[test]
fn readers_beside_the_loop_take_the_same_lines() {
    let mut setup = setup(60, 3);
    setup.operators = Some("<operators version=\"1\"><cores most=\"2\"/></operators>".into());
    let rig = Rig::start(program(), &setup).unwrap();
    let (lines, _) = flood(rig.controller.address(), &setup.schedules(), 5, &rig.traffic).unwrap();
    assert_eq!(lines, 5 * 3 * (60 + 12));
    assert!(rig.controller.usage().unwrap().threads >= 3);
}

#[test]
fn a_drain_and_a_whole_list_lead_to_a_withdrawal_and_to_tables_without_what_drains() {
    let played = events::play(program(), &setup(40, 2), &[Event::Drain(1), Event::WholeList], SHORT).unwrap();
    for outcome in &played {
        let (first, last) = (outcome.first_order.unwrap(), outcome.last_order.unwrap());
        assert!(first <= outcome.lasted && last <= outcome.lasted, "{outcome:?}");
        assert!(outcome.orders > 0 && outcome.traffic.list.bytes > 0, "{outcome:?}");
    }
    // The second was told all entries, the first one of them.
    assert!(played[1].traffic.list.bytes > 10 * played[0].traffic.list.bytes, "{played:?}");
}

#[test]
fn a_configuration_is_read_anew_and_costs_no_order() {
    let played = events::play(program(), &setup(40, 2), &[Event::Configured], SHORT).unwrap();
    assert!(played[0].first_order.is_some() && played[0].last_order.is_none(), "{played:?}");
}

#[test]
fn a_start_leads_to_orders() {
    let started = events::start(program(), &setup(40, 2)).unwrap();
    assert!(started.first_order.is_some() && started.traffic.list.bytes > 0, "{started:?}");
}

#[test]
fn results_are_written_as_rows_table_and_chart() {
    let folder = tempfile::tempdir().unwrap();
    let (mut few, mut many) = (setup(20, 1), setup(40, 1));
    // Sums over zones in long windows: the shape that aggregated reports have.
    few.reports = Some(ReportShape { window_ms: 200.0, zones_summed: 9, ..ReportShape::whole(&few.size) });
    many.reports = Some(ReportShape { replicas: 0..10, ..ReportShape::whole(&many.size) });
    let case = |setup| Case { sweep: "size", setup, churn: 4.0 };
    let points: Vec<_> = [few, many]
        .into_iter()
        .map(|setup| steady::measure(program(), &case(setup), SHORT).unwrap())
        .collect();
    for point in &points {
        assert!(point.lasted >= SHORT.measured && point.usage.resident < MEMORY_BOUND, "{point:?}");
    }
    report::write_steady(&Folder::create(folder.path()).unwrap(), &points).unwrap();
    let table = std::fs::read_to_string(folder.path().join("steady.md")).unwrap();
    assert_eq!(table.lines().filter(|line| line.starts_with("| size |")).count(), points.len());
    for file in ["steady.parquet", "processor.svg", "bytes.svg", "memory.svg"] {
        assert!(folder.path().join(file).metadata().unwrap().len() > 0, "{file}");
    }
}

#[test]
fn the_harness_sees_its_own_usage() {
    let before = Usage::of_self().unwrap();
    let mut sum = 0u64;
    while Usage::of_self().unwrap().processor <= before.processor {
        sum = (0..100_000u64).fold(sum, |sum, n| sum.wrapping_mul(31).wrapping_add(n));
    }
    assert!(before.resident > 0 && sum != 1);
}
