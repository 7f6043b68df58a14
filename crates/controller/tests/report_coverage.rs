//! Tests of aggregated reports: requests reported by two aggregators count once, incomplete reports eject no replica,
//! and without reports the controller keeps its tables and load estimates.

mod support;

use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use support::rig::*;
use whinwall_ingest::aggregate::ReportAggregator;
use whinwall_management_api::messages::{Reply, ReportFreshness, Request};
use whinwall_operator_config::{AggregatorMember, ControllerMember, SubsettingConfig};
use whinwall_policy::api::Report;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector;
use whinwall_protocol::collector::Message;
use whinwall_routing::report_coverage::{Continuity, ReportCoverage, ReportLine, Subject, MAX_WINDOW};
use whinwall_routing::report_names::ReportNames;
use whinwall_routing::report_stream::STALE_AFTER;
use whinwall_routing::subset::Fleet;
use whinwall_routing::Event;

/// Requests per second for each slice, all of one request class.
const REQUESTS_PER_SECOND: f64 = 30.0;
/// Time between two steps of a test.
const STEP_MS: u64 = 250;
/// The request class of all demand reports.
const REQUEST_CLASS: &str = "lookup";

/// How a replica handles its requests.
#[derive(Clone, Copy, PartialEq)]
enum ReplicaHealth {
    Healthy,
    FailsFast,
    /// Requests get no response, so that no endpoint report counts them.
    Hangs,
}

/// The connection of one aggregator. It reports each subject once per window, at a phase that depends on the subject.
#[derive(Clone, Copy)]
struct Feed {
    connection: u64,
    window_ms: u64,
    missing: u32,
    mean_latency_ms: f64,
}

impl Feed {
    fn of(connection: u64, window_ms: u64) -> Self {
        Feed { connection, window_ms, missing: 0, mean_latency_ms: 41.7 }
    }

    fn is_due(&self, at_ms: u64, subject: usize) -> bool {
        let phase_step = (self.window_ms / 6 / STEP_MS).max(1) * STEP_MS;
        let phase = subject as u64 * phase_step % self.window_ms;
        (at_ms + phase + self.connection * STEP_MS).is_multiple_of(self.window_ms)
    }

    fn line(&self, mut fields: Value) -> String {
        fields["window"] = json!(self.window_ms as f64);
        if self.missing > 0 {
            fields["missing"] = json!(self.missing);
        }
        fields.to_string()
    }

    /// Returns the lines that are due. Demand and endpoint reports of a subject are due at the same time. Unhealthy
    /// replicas have been unhealthy for `unhealthy_ms`.
    fn lines(
        &self,
        rig: &Rig,
        at_ms: u64,
        health: impl Fn(&str) -> ReplicaHealth,
        unhealthy_ms: u64,
    ) -> Vec<String> {
        let seconds = self.window_ms as f64 / 1000.0;
        let unhealthy_fraction = (unhealthy_ms as f64 / self.window_ms as f64).min(1.0);
        let mut lines = Vec::new();
        let replicas: Vec<_> = rig.replicas.iter().filter(|(_, state)| **state == "active").collect();
        for (_, (replica, _)) in replicas.iter().enumerate().filter(|(index, _)| self.is_due(at_ms, *index)) {
            let is_owner =
                |table: &&BTreeMap<String, f64>| table.get(*replica).is_some_and(|weight| *weight >= 1.0);
            let attempts = rig.store.values().filter(is_owner).count() as f64 * REQUESTS_PER_SECOND * seconds;
            let (attempts, bad) = match health(replica) {
                ReplicaHealth::Healthy => (attempts, 0.0),
                ReplicaHealth::FailsFast => (attempts, attempts * unhealthy_fraction),
                ReplicaHealth::Hangs => (attempts * (1.0 - unhealthy_fraction), 0.0),
            };
            lines.push(self.line(
                json!({"@type": "LOAD", "az": "north", "host": replica, "n": attempts, "bad": bad, "avg": self.mean_latency_ms}),
            ));
        }
        for (slice, table) in rig.store.iter().filter(|(slice, _)| self.is_due(at_ms, **slice as usize % 6)) {
            let owner = table.iter().find(|(_, weight)| **weight >= 1.0).map_or("", |(replica, _)| replica);
            let requests = REQUESTS_PER_SECOND * seconds;
            let bad =
                if health(owner) == ReplicaHealth::Healthy { 0.0 } else { requests * unhealthy_fraction };
            lines.push(
                self.line(
                    json!({"@type": "SHARD", "partition": slice, "kind": REQUEST_CLASS, "n": requests, "bad": bad}),
                ),
            );
        }
        lines
    }
}

/// A controller that receives aggregated reports, and the time since its start in milliseconds.
struct TestController {
    rig: Rig,
    at_ms: u64,
    /// The time since which at least one replica is unhealthy.
    unhealthy_since: Option<u64>,
}

impl TestController {
    fn new() -> Self {
        let mut rig = Rig::serving();
        rig.apply(Event::SubsettingConfigured(Some(fleet())));
        let mut controller = TestController { rig, at_ms: 0, unhealthy_since: None };
        (0..8).for_each(|connection| controller.authenticate(connection));
        controller
    }

    fn authenticate(&mut self, connection: u64) {
        self.rig.collector_line(connection, r#"{"@type":"SOURCE","az":"north"}"#);
    }

    fn run(&mut self, seconds: u64, feeds: &[Feed], health: impl Fn(&str) -> ReplicaHealth + Copy) {
        for _ in 0..seconds * 1000 / STEP_MS {
            self.step(feeds, health);
        }
    }

    fn step(&mut self, feeds: &[Feed], health: impl Fn(&str) -> ReplicaHealth + Copy) {
        self.rig.advance_ms(STEP_MS);
        self.at_ms += STEP_MS;
        let has_unhealthy_replica =
            self.rig.replicas.keys().any(|replica| health(replica) != ReplicaHealth::Healthy);
        self.unhealthy_since =
            self.unhealthy_since.or(Some(self.at_ms - STEP_MS)).filter(|_| has_unhealthy_replica);
        let unhealthy_ms = self.unhealthy_since.map_or(0, |since| self.at_ms - since);
        for feed in feeds {
            for line in feed.lines(&self.rig, self.at_ms, health, unhealthy_ms) {
                self.rig.collector_line(feed.connection, &line);
            }
        }
        self.rig.advance_ms(0);
    }

    fn loads(&self) -> Vec<f64> {
        let active = self.rig.replicas.iter().filter(|(_, state)| **state == "active");
        active.map(|(replica, _)| self.rig.reducer.measured_load(replica).unwrap()).collect()
    }

    /// Asserts that the load of each active replica equals its demand within the relative `tolerance`.
    #[track_caller]
    fn assert_loads(&self, tolerance: f64) {
        for (index, load) in self.loads().iter().enumerate() {
            let expected = 2.0 * REQUESTS_PER_SECOND;
            assert!(
                (load / expected - 1.0).abs() <= tolerance,
                "active replica {index}: load {load}, expected {expected}, at {} ms",
                self.at_ms
            );
        }
    }

    fn log_lines_with(&self, text: &str) -> usize {
        self.rig.logs.iter().filter(|line| line.contains(text)).count()
    }

    fn ejections(&self) -> usize {
        self.log_lines_with("replica ejected")
    }

    fn freshness(&mut self) -> ReportFreshness {
        self.rig.apply(Event::ManagementRequest { request_id: 1, request: Request::Status });
        match self.rig.replies.pop() {
            Some(Reply::Status(status)) => status.reports.unwrap(),
            other => panic!("{other:?}"),
        }
    }
}

/// A fleet with this controller as its only member, so that its subset holds all replicas.
fn fleet() -> Fleet {
    let controllers = vec![ControllerMember { name: "n0".into(), address: None, slices: vec![] }];
    let aggregators = vec![AggregatorMember { name: "m1".into(), address: ([127, 0, 0, 1], 7001).into() }];
    let config = SubsettingConfig { subset_size: 6, bytes_per_second: 27_000, controllers, aggregators };
    Fleet::new(&config, "n0").expect("the controller is a member of the fleet")
}

fn healthy(_: &str) -> ReplicaHealth {
    ReplicaHealth::Healthy
}

fn s3_fails(replica: &str) -> ReplicaHealth {
    if replica == "s-3" {
        ReplicaHealth::FailsFast
    } else {
        ReplicaHealth::Healthy
    }
}

fn s3_hangs(replica: &str) -> ReplicaHealth {
    if replica == "s-3" {
        ReplicaHealth::Hangs
    } else {
        ReplicaHealth::Healthy
    }
}

fn moment_at_ms(ms: u64) -> Moment {
    Moment::default() + Span::ms(1_000_000 + ms)
}

fn report_line(from: u64, at_ms: u64, window_ms: u64) -> ReportLine {
    ReportLine {
        subject: Subject::Replica(7),
        from,
        at: moment_at_ms(at_ms),
        window: Span::ms(window_ms),
        line_count: 1.0,
    }
}

#[test]
fn time_covered_by_another_connection_does_not_count() {
    let mut coverage = ReportCoverage::default();
    let first = coverage.count_line(&report_line(1, 1000, 1000)).unwrap();
    assert_eq!((first.fraction, first.continuity), (1.0, Continuity::Unknown));
    let second = coverage.count_line(&report_line(2, 1250, 1000)).unwrap();
    assert_eq!(
        (second.fraction, second.window, second.continuity),
        (0.25, Span::ms(250), Continuity::Continuous)
    );
    assert_eq!(coverage.count_line(&report_line(1, 1250, 1000)), None, "the window is completely covered");
    assert_eq!(
        coverage.count_line(&report_line(1, 1200, 1000)),
        None,
        "the line is older than the covered time"
    );
    let next = coverage.count_line(&report_line(2, 2150, 1000)).unwrap();
    assert_eq!(
        (next.fraction, next.window),
        (1.0, Span::ms(1000)),
        "the lines of one connection do not overlap"
    );
    let third = coverage.count_line(&report_line(1, 2500, 1000)).unwrap();
    assert_eq!((third.fraction, third.window), (0.25, Span::ms(250)));
    assert_eq!(coverage.len(), 1);
}

#[test]
fn gap_is_detected_and_filled_at_the_rate_of_the_line_that_ends_it() {
    let mut coverage = ReportCoverage::default();
    coverage.count_line(&report_line(1, 1000, 1000));
    let jitter = coverage.count_line(&report_line(2, 2250, 1000)).unwrap();
    assert_eq!((jitter.fraction, jitter.continuity), (1.25, Continuity::Continuous));
    let gap = coverage.count_line(&report_line(1, 6250, 1000)).unwrap();
    assert_eq!(
        (gap.fraction, gap.window, gap.continuity),
        (4.0, Span::ms(4000), Continuity::Gap(Span::ms(3000)))
    );
    let long = coverage.count_line(&report_line(2, 60_000, 1000)).unwrap();
    assert_eq!((long.fraction, long.window, long.continuity), (1.0, Span::ms(1000), Continuity::Unknown));
    let same = coverage.count_line(&report_line(2, 90_000, 1000)).unwrap();
    assert_eq!((same.fraction, same.continuity), (1.0, Continuity::Gap(Span::ms(29_000))));
    let slice = |from, at_ms| ReportLine { subject: Subject::Slice(3, 0), ..report_line(from, at_ms, 1000) };
    coverage.count_line(&slice(1, 1000));
    let same = coverage.count_line(&slice(1, 90_000)).unwrap();
    assert_eq!(same.continuity, Continuity::Continuous, "a slice without requests is not reported");
}

/// The counted fractions of lines at an even rate add up to the covered time, except for the delays at both ends,
/// whichever connection reports, in whatever order and with whatever delay.
#[test]
fn even_rate_is_preserved_whichever_connection_reports() {
    fn holds(turns: Vec<(u8, u8)>) -> bool {
        let (window, jitter) = (1000, 100);
        let mut coverage = ReportCoverage::default();
        // Each connection reports every second at a phase of its own. Some lines are lost with their connection.
        let mut lines = Vec::new();
        for (second, (lost, delay)) in turns.iter().enumerate() {
            for connection in 0..2u64 {
                let sent_ms = second as u64 * window + connection * 400 + u64::from(*delay) % jitter;
                // At least one connection reports.
                if lost % 3 != connection as u8 {
                    lines.push(report_line(connection, sent_ms, window));
                }
            }
        }
        lines.sort_by_key(|line| line.at);
        let (Some(first), Some(last)) = (lines.first(), lines.last()) else { return true };
        let covered_time = (last.at - first.at).seconds() + 1.0;
        let counted: f64 =
            lines.iter().filter_map(|line| coverage.count_line(line)).map(|counted| counted.fraction).sum();
        (counted - covered_time).abs() <= 0.2 + 1e-6
    }
    quickcheck::QuickCheck::new().tests(2000).quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn two_aggregators_at_once_count_as_one() {
    for window in [1000, 4000] {
        let (mut with_one, mut with_two) = (TestController::new(), TestController::new());
        let feeds = [Feed::of(1, window), Feed::of(2, window)];
        with_one.run(30, &feeds[..1], healthy);
        with_two.run(10, &feeds[..1], healthy);
        let requests = with_two.rig.requests.len();
        for _ in 0..20 {
            with_two.run(1, &feeds, healthy);
            with_two.assert_loads(0.07);
        }
        with_two.run(20, &feeds[1..], healthy);
        with_two.assert_loads(0.07);
        assert_eq!(
            (with_two.ejections(), with_two.rig.requests.len()),
            (0, requests),
            "windows of {window} ms"
        );
        let total_load = |controller: &TestController| controller.loads().iter().sum::<f64>();
        let (load_with_one, load_with_two) = (total_load(&with_one), total_load(&with_two));
        assert!((load_with_one / load_with_two - 1.0).abs() < 0.03, "{load_with_one} and {load_with_two}");
    }
}

/// Without report coverage the same lines count twice: `two_aggregators_at_once_count_as_one` depends on coverage.
#[test]
fn two_aggregators_count_twice_without_coverage() {
    let mut controller = TestController::new();
    controller.rig.apply(Event::SubsettingConfigured(None));
    controller.run(20, &[Feed::of(1, 1000), Feed::of(2, 1000)], healthy);
    controller.loads().iter().for_each(|load| assert!(*load > 3.8 * REQUESTS_PER_SECOND, "{load}"));
}

#[test]
fn takeover_after_a_gap_lowers_no_load_and_ejects_no_replica() {
    for (window, gap) in [(1000, 3), (1000, 7), (4000, 3), (8000, 3)] {
        let mut controller = TestController::new();
        controller.run(30, &[Feed::of(1, window)], healthy);
        let requests = controller.rig.requests.len();
        controller.rig.apply(Event::Disconnected(1));
        controller.run(gap, &[], healthy);
        for _ in 0..40 {
            controller.run(1, &[Feed::of(2, window)], healthy);
            controller.assert_loads(0.15);
        }
        assert_eq!(
            (controller.ejections(), controller.rig.requests.len()),
            (0, requests),
            "windows of {window} ms, gap of {gap} s"
        );
    }
}

/// The replica is healthy, but the aggregator that takes over sends demand reports before endpoint reports.
#[test]
fn replica_not_reported_yet_is_not_ejected_as_silent() {
    let mut controller = TestController::new();
    controller.run(20, &[Feed::of(1, 1000)], healthy);
    for at_ms in (20_000..36_000).step_by(STEP_MS as usize) {
        controller.rig.advance_ms(STEP_MS);
        let lines = Feed::of(2, 1000).lines(&controller.rig, at_ms, healthy, 0).into_iter();
        for line in lines.filter(|line| line.contains("SHARD") || at_ms > 28_000) {
            controller.rig.collector_line(2, &line);
        }
    }
    assert_eq!(controller.ejections(), 0, "{:?}", controller.rig.logs);
}

#[test]
fn outlier_is_ejected_on_aggregated_reports() {
    for window in [1000, 4000, 8000] {
        for health in [s3_fails, s3_hangs] {
            let mut controller = TestController::new();
            controller.run(30, &[Feed::of(1, window)], healthy);
            assert_eq!(controller.ejections(), 0);
            let mut seconds = 0;
            while controller.ejections() == 0 {
                controller.run(1, &[Feed::of(1, window)], health);
                seconds += 1;
                assert!(seconds < 40, "windows of {window} ms");
            }
            println!("windows of {window} ms: ejected after {seconds} s");
            // The window in which the fault begins still contains successful attempts. The following window has none,
            // and three seconds of it are judged.
            assert!(seconds * 1000 <= 3000 + 2 * window, "{seconds} s with windows of {window} ms");
            assert!(controller.rig.logs.iter().any(|line| line.contains("replica ejected replica=s-3 ")));
        }
    }
}

#[test]
fn incomplete_lines_eject_no_replica() {
    for health in [s3_fails, s3_hangs] {
        let mut controller = TestController::new();
        let (complete, partial) = (Feed::of(1, 1000), Feed { missing: 2, ..Feed::of(1, 1000) });
        controller.run(20, &[complete], healthy);
        controller.run(2, &[partial], healthy);
        controller.run(30, &[partial], health);
        assert_eq!(controller.ejections(), 0, "{:?}", controller.rig.logs);
        assert_eq!(controller.freshness().partial_replicas, 6);
        // The zones are back. The replica is judged once the judging window has only complete lines.
        controller.run(3, &[complete], health);
        assert_eq!(controller.ejections(), 0, "{:?}", controller.rig.logs);
        controller.run(3, &[complete], health);
        assert_eq!(controller.ejections(), 1, "{:?}", controller.rig.logs);
        assert_eq!(controller.freshness().partial_replicas, 0);
    }
}

/// An aggregator with an outdated endpoint list reports all replicas but one.
#[test]
fn unreported_replica_counts_as_partially_observed() {
    let mut controller = TestController::new();
    controller.run(20, &[Feed::of(1, 1000)], healthy);
    assert_eq!(controller.freshness().partial_replicas, 0);
    for at_ms in (20_000..50_000).step_by(STEP_MS as usize) {
        controller.rig.advance_ms(STEP_MS);
        for line in Feed::of(1, 1000).lines(&controller.rig, at_ms + STEP_MS, healthy, 0) {
            if !line.contains("s-3") {
                controller.rig.collector_line(1, &line);
            }
        }
    }
    assert_eq!(
        (controller.freshness().partial_replicas, controller.ejections()),
        (1, 0),
        "{:?}",
        controller.rig.logs
    );
}

/// Without aggregators the `missing` field of a line is ignored.
#[test]
fn missing_field_changes_nothing_without_aggregators() {
    let mut controller = TestController::new();
    controller.rig.apply(Event::SubsettingConfigured(None));
    controller.run(10, &[Feed { missing: 2, ..Feed::of(1, 1000) }], s3_fails);
    assert_eq!(controller.ejections(), 1);
}

#[test]
fn hour_without_reports_changes_no_table_and_reports_resume() {
    for window in [1000, 8000] {
        let mut controller = TestController::new();
        controller.run(40, &[Feed::of(1, window)], healthy);
        let (requests, before, loads) =
            (controller.rig.requests.len(), controller.rig.store.clone(), controller.loads());
        controller.run(STALE_AFTER.as_ns() / 1_000_000_000 - 2, &[], healthy);
        assert!(!controller.freshness().stale);
        controller.run(4, &[], healthy);
        let freshness = controller.freshness();
        assert!(freshness.stale && freshness.age > Some(STALE_AFTER) && freshness.bytes_per_second == 0.0);
        controller.run(1770, &[], healthy);
        assert_eq!(
            (&controller.rig.store, controller.rig.requests.len()),
            (&before, requests),
            "{:?}",
            controller.rig.requests.last()
        );
        assert_eq!(controller.loads(), loads);
        // Drains in the endpoint list still lead to commands.
        controller.rig.drain("s-2");
        controller.run(2, &[], healthy);
        assert!(!controller.rig.owners().contains("s-2"));
        controller.run(1800, &[], healthy);
        let requests = controller.rig.requests.len();
        assert_eq!((controller.log_lines_with("reports stale"), controller.ejections()), (1, 0));
        // Reports resume. They stay stale until each replica and slice has been reported.
        let mut recovered = 0;
        while controller.freshness().stale {
            controller.run(1, &[Feed::of(2, window)], healthy);
            recovered += 1;
            assert!(recovered < 60);
        }
        println!("windows of {window} ms: fresh {recovered} s after the first line");
        assert!(recovered <= MAX_WINDOW.as_ns() / 1_000_000_000 + 2, "{recovered} s");
        assert_eq!(
            (controller.log_lines_with("reports stale"), controller.log_lines_with("reports fresh")),
            (1, 1)
        );
        let total: f64 = controller.loads().iter().sum();
        assert!((total / (12.0 * REQUESTS_PER_SECOND) - 1.0).abs() < 0.1, "{:?}", controller.loads());
        controller.run(30, &[Feed::of(2, window)], healthy);
        assert_eq!(controller.ejections(), 0);
        // The controller ejects outliers again.
        controller.run(30, &[Feed::of(2, window)], s3_fails);
        assert_eq!(controller.ejections(), 1, "{:?}", controller.rig.logs);
        assert!(controller.rig.requests.len() > requests);
    }
}

/// Some slices are reported seconds after others. Until all are reported, replicas of unreported slices only seem to
/// have a low load.
#[test]
fn cold_start_migrates_nothing() {
    for window in [1000, 5000, 8000] {
        let mut controller = TestController::new();
        let requests = controller.rig.requests.len();
        controller.run(40, &[Feed::of(1, window)], healthy);
        assert_eq!(
            (controller.rig.requests.len(), controller.ejections()),
            (requests, 0),
            "windows of {window} ms"
        );
        controller.assert_loads(0.07);
    }
}

/// High latency reduces the admission rates. They change only with reports.
#[test]
fn admission_rates_stay_while_no_reports_arrive() {
    let slow = Feed { mean_latency_ms: 900.0, ..Feed::of(1, 1000) };
    let mut controller = TestController::new();
    controller.run(20, &[slow], healthy);
    let admission_requests = |controller: &TestController| {
        controller.rig.requests.iter().filter(|request| request.contains("LIMIT")).count()
    };
    let before = admission_requests(&controller);
    assert!(before > 3, "{:?}", controller.rig.requests);
    controller.run(600, &[], healthy);
    assert_eq!(admission_requests(&controller), before, "{:?}", controller.rig.requests.last());
    // Low latency raises the admission rates again.
    controller.run(60, &[Feed::of(1, 1000)], healthy);
    assert!(admission_requests(&controller) > before);
}

/// The pause is longer than the time between two lines but shorter than the limit for stale reports: nothing is logged
/// and no command is sent.
#[test]
fn short_pause_of_reports_only_holds_the_load_estimates() {
    let mut controller = TestController::new();
    controller.run(30, &[Feed::of(1, 1000)], healthy);
    let (requests, loads) = (controller.rig.requests.len(), controller.loads());
    controller.run(20, &[], healthy);
    controller.run(30, &[Feed::of(2, 1000)], healthy);
    controller.assert_loads(0.05);
    assert_eq!(
        (controller.rig.requests.len(), controller.ejections(), controller.log_lines_with("stale")),
        (requests, 0, 0)
    );
    assert_eq!(loads.len(), controller.loads().len());
}

#[test]
fn reports_count_after_their_connection_ends_and_later_ones_do_not() {
    let mut controller = TestController::new();
    controller.run(20, &[Feed::of(1, 1000)], healthy);
    controller.rig.apply(Event::Disconnected(1));
    // Later lines of the connection are ignored, because it is not authenticated any more.
    controller.run(1, &[Feed::of(1, 1000)], healthy);
    controller.rig.other_effects.clear();
    controller.run(1, &[Feed::of(1, 1000), Feed::of(2, 1000)], healthy);
    assert!(controller
        .rig
        .other_effects
        .iter()
        .any(|effect| format!("{effect:?}").contains("Disconnect { to: 1")));
    for _ in 0..15 {
        controller.run(1, &[Feed::of(2, 1000)], healthy);
        controller.assert_loads(0.1);
    }
    // The aggregator reconnects under another id, while the second one keeps reporting.
    controller.authenticate(9);
    for _ in 0..15 {
        controller.run(1, &[Feed::of(2, 1000), Feed::of(9, 1000)], healthy);
        controller.assert_loads(0.1);
    }
    assert_eq!(controller.ejections(), 0);
}

#[test]
fn coverage_ends_with_its_replica_or_slice() {
    let mut controller = TestController::new();
    let feed = Feed::of(1, 1000);
    controller.run(3, &[feed], healthy);
    assert_eq!(controller.rig.reducer.covered_subjects(), 6 + 12);
    // Reports on unknown replicas, slices and request classes leave no entries.
    for n in 100..2000 {
        controller.rig.collector_line(
            1,
            &feed.line(
                json!({"@type": "LOAD", "az": "north", "host": format!("s-{n}"), "n": 1, "bad": 0, "avg": 1}),
            ),
        );
        controller.rig.collector_line(
            1,
            &feed.line(json!({"@type": "SHARD", "partition": n, "kind": REQUEST_CLASS, "n": 1, "bad": 0})),
        );
        controller.rig.collector_line(
            1,
            &feed.line(json!({"@type": "SHARD", "partition": 1, "kind": format!("k-{n}"), "n": 1, "bad": 0})),
        );
    }
    assert_eq!(controller.rig.reducer.covered_subjects(), 6 + 12);
    for slice in [2, 8] {
        controller.rig.store.remove(&slice);
        controller.rig.relay_event(&format!("* GRANT {slice} 0"));
    }
    controller.rig.drain_input();
    assert_eq!(controller.rig.reducer.covered_subjects(), 6 + 10);
    controller.rig.drain("s-2");
    controller.run(5, &[feed], healthy);
    controller.rig.replicas.remove("s-2");
    controller.rig.send_list();
    controller.run(30, &[feed], healthy);
    assert_eq!(controller.rig.reducer.covered_subjects(), 5 + 10);
    // A report that a reader decoded with names from before the replica left adds no entry.
    let names = report_names();
    let line = r#"{"@type":"LOAD","az":"north","host":"s-2","n":9,"bad":0,"avg":41.7,"window":1000.0}"#;
    let report_body = names.resolve(&collector::decode_report(line).unwrap()).unwrap();
    controller.rig.apply(Event::Reports {
        from: 1,
        reports: vec![Report { window_end: controller.rig.now, line_count: 1.0, body: report_body }],
    });
    assert_eq!(controller.rig.reducer.covered_subjects(), 5 + 10);
    controller.rig.apply(Event::SubsettingConfigured(None));
    assert_eq!(controller.rig.reducer.covered_subjects(), 0);
}

/// The names with the replica ids that the rig's controller assigns.
fn report_names() -> ReportNames {
    let replicas: BTreeMap<_, _> = (0..6).map(|n| (format!("s-{n}"), n)).collect();
    ReportNames {
        zones: vec!["north".into()],
        request_classes: vec![REQUEST_CLASS.into()],
        replicas,
        version: 1,
    }
}

/// A reader's chunk is from one connection. Its sums count the same as its lines one by one.
#[test]
fn sums_of_readers_count_the_same_as_their_lines() {
    let (mut lines, mut sums) = (TestController::new(), TestController::new());
    let names = report_names();
    let feeds = [Feed::of(1, 1000), Feed::of(2, 1000)];
    for step in 0..160 {
        let active_feeds = &feeds[usize::from(step > 120)..if step > 40 { 2 } else { 1 }];
        lines.step(active_feeds, healthy);
        sums.rig.advance_ms(STEP_MS);
        sums.at_ms += STEP_MS;
        for feed in active_feeds {
            let mut chunk = ReportAggregator::new(sums.rig.now);
            for line in feed.lines(&sums.rig, sums.at_ms, healthy, 0) {
                chunk.add(names.resolve(&collector::decode_report(&line).unwrap()).unwrap());
            }
            sums.rig.apply(Event::Reports { from: feed.connection, reports: chunk.into_reports() });
        }
        sums.rig.advance_ms(0);
        for (line_load, sum_load) in lines.loads().iter().zip(sums.loads()) {
            assert!((line_load - sum_load).abs() < 1e-6, "{line_load} and {sum_load}");
        }
    }
    sums.assert_loads(0.05);
}

#[test]
fn simultaneous_lines_count_the_same_one_by_one_and_summed() {
    let (mut one_by_one, mut summed) = (ReportCoverage::default(), ReportCoverage::default());
    for coverage in [&mut one_by_one, &mut summed] {
        coverage.count_line(&report_line(1, 1000, 1000));
    }
    let late = report_line(2, 1300, 1000);
    let fractions: f64 =
        (0..3).filter_map(|_| one_by_one.count_line(&late)).map(|counted| counted.fraction).sum();
    let counted = summed.count_line(&ReportLine { line_count: 3.0, ..late }).unwrap();
    assert!((3.0 * counted.fraction - fractions).abs() < 1e-9, "{counted:?} and {fractions}");
}

/// Lines with missing zones are not summed and reach the reducer as individual messages.
#[test]
fn readers_do_not_sum_incomplete_lines() {
    let names = report_names();
    let mut missing_counts: BTreeSet<u32> = BTreeSet::new();
    for (field, missing) in [("", 0), (r#","missing":0"#, 0), (r#","missing":3"#, 3)] {
        let endpoint_line = format!(
            r#"{{"@type":"LOAD","az":"north","host":"s-1","n":9,"bad":0,"avg":1.5,"window":1000.0{field}}}"#
        );
        let demand_line = format!(
            r#"{{"@type":"SHARD","partition":1,"kind":"{REQUEST_CLASS}","n":9,"bad":0,"window":1000.0{field}}}"#
        );
        for line in [endpoint_line, demand_line] {
            let report = collector::decode_report(&line).unwrap();
            assert_eq!(names.resolve(&report).is_none(), missing > 0, "{line}");
            assert_eq!(collector::decode_with_diagnosis(&line), collector::decode(&line));
            match collector::decode(&line).unwrap() {
                Message::EndpointReport(report) => assert_eq!(report.missing, missing),
                Message::DemandReport(report) => assert_eq!(report.missing, missing),
                other => panic!("{other:?}"),
            }
            missing_counts.insert(missing);
        }
    }
    assert_eq!(missing_counts.len(), 2);
    for invalid in ["-1", "1.5", "\"two\"", "5000000000", "null"] {
        let line = format!(
            r#"{{"@type":"SHARD","partition":1,"kind":"{REQUEST_CLASS}","n":9,"bad":0,"window":1000.0,"missing":{invalid}}}"#
        );
        assert_eq!(collector::decode_report(&line), None);
        assert!(collector::decode(&line).is_err(), "{line}");
    }
}
