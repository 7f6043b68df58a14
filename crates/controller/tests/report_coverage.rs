//! Reports that aggregators make: what two of them tell counts once, what is missing is known as missing and no replica
//! is judged by it, and where nothing comes the controller goes on with what it has.

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

/// Requests a second for each slice, of one class.
const RATE: f64 = 30.0;
/// Time passes by so much.
const STEP_MS: u64 = 250;
/// Half of that for classes: a line is told of each.
const CLASS: &str = "lookup";

/// What becomes of the requests at a replica.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Answered,
    FailsQuickly,
    /// Nothing comes back, and so nothing is told of it.
    Hangs,
}

/// One aggregator's connection: each subject is told of once a window, at a time of its own within it.
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
        let apart = (self.window_ms / 6 / STEP_MS).max(1) * STEP_MS;
        let phase = subject as u64 * apart % self.window_ms;
        (at_ms + phase + self.connection * STEP_MS).is_multiple_of(self.window_ms)
    }

    fn line(&self, mut fields: Value) -> String {
        fields["window"] = json!(self.window_ms as f64);
        if self.missing > 0 {
            fields["missing"] = json!(self.missing);
        }
        fields.to_string()
    }

    /// The lines that are due: those of a slice's classes and of its replica at one time. Whoever is not well has not been
    /// for so long.
    fn lines(&self, rig: &Rig, at_ms: u64, fate: impl Fn(&str) -> Fate, ill_ms: u64) -> Vec<String> {
        let seconds = self.window_ms as f64 / 1000.0;
        let ill = (ill_ms as f64 / self.window_ms as f64).min(1.0);
        let mut lines = Vec::new();
        let replicas: Vec<_> = rig.replicas.iter().filter(|(_, state)| **state == "active").collect();
        for (_, (replica, _)) in replicas.iter().enumerate().filter(|(at, _)| self.is_due(at_ms, *at)) {
            let is_owner =
                |table: &&BTreeMap<String, f64>| table.get(*replica).is_some_and(|weight| *weight >= 1.0);
            let attempts = rig.store.values().filter(is_owner).count() as f64 * RATE * seconds;
            let (attempts, bad) = match fate(replica) {
                Fate::Answered => (attempts, 0.0),
                Fate::FailsQuickly => (attempts, attempts * ill),
                Fate::Hangs => (attempts * (1.0 - ill), 0.0),
            };
            lines.push(self.line(
                json!({"@type": "LOAD", "az": "north", "host": replica, "n": attempts, "bad": bad, "avg": self.mean_latency_ms}),
            ));
        }
        for (slice, table) in rig.store.iter().filter(|(slice, _)| self.is_due(at_ms, **slice as usize % 6)) {
            let owner = table.iter().find(|(_, weight)| **weight >= 1.0).map_or("", |(replica, _)| replica);
            let came = RATE * seconds;
            let bad = if fate(owner) == Fate::Answered { 0.0 } else { came * ill };
            lines.push(
                self.line(
                    json!({"@type": "SHARD", "partition": slice, "kind": CLASS, "n": came, "bad": bad}),
                ),
            );
        }
        lines
    }
}

/// A controller that aggregators report to, and the milliseconds since it began.
struct Served {
    rig: Rig,
    at_ms: u64,
    /// Since when some replica is not well.
    ill_since: Option<u64>,
}

impl Served {
    fn new() -> Self {
        let mut rig = Rig::serving();
        rig.apply(Event::SubsettingConfigured(Some(fleet())));
        let mut served = Served { rig, at_ms: 0, ill_since: None };
        (0..8).for_each(|connection| served.joins(connection));
        served
    }

    fn joins(&mut self, connection: u64) {
        self.rig.collector_line(connection, r#"{"@type":"SOURCE","az":"north"}"#);
    }

    fn run(&mut self, seconds: u64, feeds: &[Feed], fate: impl Fn(&str) -> Fate + Copy) {
        for _ in 0..seconds * 1000 / STEP_MS {
            self.step(feeds, fate);
        }
    }

    fn step(&mut self, feeds: &[Feed], fate: impl Fn(&str) -> Fate + Copy) {
        self.rig.advance_ms(STEP_MS);
        self.at_ms += STEP_MS;
        let is_ill = self.rig.replicas.keys().any(|replica| fate(replica) != Fate::Answered);
        self.ill_since = self.ill_since.or(Some(self.at_ms - STEP_MS)).filter(|_| is_ill);
        let ill_ms = self.ill_since.map_or(0, |since| self.at_ms - since);
        for feed in feeds {
            for line in feed.lines(&self.rig, self.at_ms, fate, ill_ms) {
                self.rig.collector_line(feed.connection, &line);
            }
        }
        self.rig.advance_ms(0);
    }

    fn loads(&self) -> Vec<f64> {
        let active = self.rig.replicas.iter().filter(|(_, state)| **state == "active");
        active.map(|(replica, _)| self.rig.reducer.measured_load(replica).unwrap()).collect()
    }

    /// The load of each active replica is what is asked of it, within this part.
    #[track_caller]
    fn loads_are_right(&self, within: f64) {
        for (at, load) in self.loads().iter().enumerate() {
            let right = 2.0 * RATE;
            assert!((load / right - 1.0).abs() <= within, "{at}: {load} of {right} at {} ms", self.at_ms);
        }
    }

    fn notes_with(&self, with: &str) -> usize {
        self.rig.logs.iter().filter(|note| note.contains(with)).count()
    }

    fn sick(&self) -> usize {
        self.notes_with("replica ejected")
    }

    fn freshness(&mut self) -> ReportFreshness {
        self.rig.apply(Event::ManagementRequest { request_id: 1, request: Request::Status });
        match self.rig.replies.pop() {
            Some(Reply::Status(status)) => status.reports.unwrap(),
            other => panic!("{other:?}"),
        }
    }
}

/// This controller alone, which steers all replicas.
fn fleet() -> Fleet {
    let controllers = vec![ControllerMember { name: "n0".into(), address: None, slices: vec![] }];
    let aggregators = vec![AggregatorMember { name: "m1".into(), address: ([127, 0, 0, 1], 7001).into() }];
    let config = SubsettingConfig { subset_size: 6, bytes_per_second: 27_000, controllers, aggregators };
    Fleet::new(&config, "n0").expect("it is one of the fleet")
}

fn well(_: &str) -> Fate {
    Fate::Answered
}

fn third_fails(replica: &str) -> Fate {
    if replica == "s-3" {
        Fate::FailsQuickly
    } else {
        Fate::Answered
    }
}

fn third_hangs(replica: &str) -> Fate {
    if replica == "s-3" {
        Fate::Hangs
    } else {
        Fate::Answered
    }
}

fn at(ms: u64) -> Moment {
    Moment::default() + Span::ms(1_000_000 + ms)
}

fn line(from: u64, at_ms: u64, window_ms: u64) -> ReportLine {
    ReportLine {
        subject: Subject::Replica(7),
        from,
        at: at(at_ms),
        window: Span::ms(window_ms),
        line_count: 1.0,
    }
}

#[test]
fn time_covered_by_another_connection_does_not_count() {
    let mut coverage = ReportCoverage::default();
    let first = coverage.count_line(&line(1, 1000, 1000)).unwrap();
    assert_eq!((first.fraction, first.continuity), (1.0, Continuity::Unknown));
    let second = coverage.count_line(&line(2, 1250, 1000)).unwrap();
    assert_eq!(
        (second.fraction, second.window, second.continuity),
        (0.25, Span::ms(250), Continuity::Continuous)
    );
    assert_eq!(coverage.count_line(&line(1, 1250, 1000)), None, "all of it is covered");
    assert_eq!(coverage.count_line(&line(1, 1200, 1000)), None, "it comes late");
    let next = coverage.count_line(&line(2, 2150, 1000)).unwrap();
    assert_eq!((next.fraction, next.window), (1.0, Span::ms(1000)), "one connection's lines do not overlap");
    let third = coverage.count_line(&line(1, 2500, 1000)).unwrap();
    assert_eq!((third.fraction, third.window), (0.25, Span::ms(250)));
    assert_eq!(coverage.len(), 1);
}

#[test]
fn gap_is_known_and_filled_at_the_rate_of_the_line_that_ends_it() {
    let mut coverage = ReportCoverage::default();
    coverage.count_line(&line(1, 1000, 1000));
    let jitter = coverage.count_line(&line(2, 2250, 1000)).unwrap();
    assert_eq!((jitter.fraction, jitter.continuity), (1.25, Continuity::Continuous));
    let gap = coverage.count_line(&line(1, 6250, 1000)).unwrap();
    assert_eq!(
        (gap.fraction, gap.window, gap.continuity),
        (4.0, Span::ms(4000), Continuity::Gap(Span::ms(3000)))
    );
    let long = coverage.count_line(&line(2, 60_000, 1000)).unwrap();
    assert_eq!((long.fraction, long.window, long.continuity), (1.0, Span::ms(1000), Continuity::Unknown));
    let same = coverage.count_line(&line(2, 90_000, 1000)).unwrap();
    assert_eq!((same.fraction, same.continuity), (1.0, Continuity::Gap(Span::ms(29_000))));
    let slice = |from, at_ms| ReportLine { subject: Subject::Slice(3, 0), ..line(from, at_ms, 1000) };
    coverage.count_line(&slice(1, 1000));
    let same = coverage.count_line(&slice(1, 90_000)).unwrap();
    assert_eq!(
        same.continuity,
        Continuity::Continuous,
        "nobody asked for the slice, and so nothing was told of it"
    );
}

/// Whoever tells, in whatever order and with whatever delay: an even rate adds up to itself, but for the delays at both
/// ends.
#[test]
fn even_rate_is_preserved_whichever_connection_reports() {
    fn holds(turns: Vec<(u8, u8)>) -> bool {
        let (window, jitter) = (1000, 100);
        let mut coverage = ReportCoverage::default();
        // Each connection tells each second, at a phase of its own; some lines are lost with their connection.
        let mut lines = Vec::new();
        for (second, (who, delay)) in turns.iter().enumerate() {
            for connection in 0..2u64 {
                let told = second as u64 * window + connection * 400 + u64::from(*delay) % jitter;
                // One at least tells.
                if who % 3 != connection as u8 {
                    lines.push(line(connection, told, window));
                }
            }
        }
        lines.sort_by_key(|line| line.at);
        let (Some(first), Some(last)) = (lines.first(), lines.last()) else { return true };
        let time = (last.at - first.at).seconds() + 1.0;
        let counted: f64 =
            lines.iter().filter_map(|line| coverage.count_line(line)).map(|c| c.fraction).sum();
        (counted - time).abs() <= 0.2 + 1e-6
    }
    quickcheck::QuickCheck::new().tests(2000).quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn two_aggregators_at_once_count_as_one() {
    for window in [1000, 4000] {
        let (mut one, mut two) = (Served::new(), Served::new());
        let feeds = [Feed::of(1, window), Feed::of(2, window)];
        one.run(30, &feeds[..1], well);
        two.run(10, &feeds[..1], well);
        let calls = two.rig.requests.len();
        for _ in 0..20 {
            two.run(1, &feeds, well);
            two.loads_are_right(0.07);
        }
        two.run(20, &feeds[1..], well);
        two.loads_are_right(0.07);
        assert_eq!((two.sick(), two.rig.requests.len()), (0, calls), "windows of {window} ms");
        let sums = |served: &Served| served.loads().iter().sum::<f64>();
        assert!((sums(&one) / sums(&two) - 1.0).abs() < 0.03, "{} and {}", sums(&one), sums(&two));
    }
}

/// Without coverage the same lines count twice: what the test above holds is no accident of the stand-ins.
#[test]
fn two_aggregators_count_twice_without_coverage() {
    let mut two = Served::new();
    two.rig.apply(Event::SubsettingConfigured(None));
    two.run(20, &[Feed::of(1, 1000), Feed::of(2, 1000)], well);
    two.loads().iter().for_each(|load| assert!(*load > 3.8 * RATE, "{load}"));
}

#[test]
fn takeover_after_a_gap_lowers_no_load_and_ejects_nobody() {
    for (window, gap) in [(1000, 3), (1000, 7), (4000, 3), (8000, 3)] {
        let mut served = Served::new();
        served.run(30, &[Feed::of(1, window)], well);
        let calls = served.rig.requests.len();
        served.rig.apply(Event::Disconnected(1));
        served.run(gap, &[], well);
        for _ in 0..40 {
            served.run(1, &[Feed::of(2, window)], well);
            served.loads_are_right(0.15);
        }
        assert_eq!((served.sick(), served.rig.requests.len()), (0, calls), "{window} ms, {gap} s");
    }
}

/// The replica is well, but whoever takes over tells of what was asked before telling of what was answered.
#[test]
fn replica_not_reported_yet_does_not_look_silent() {
    let mut served = Served::new();
    served.run(20, &[Feed::of(1, 1000)], well);
    for at_ms in (20_000..36_000).step_by(STEP_MS as usize) {
        served.rig.advance_ms(STEP_MS);
        let asked = Feed::of(2, 1000).lines(&served.rig, at_ms, well, 0).into_iter();
        for line in asked.filter(|line| line.contains("SHARD") || at_ms > 28_000) {
            served.rig.collector_line(2, &line);
        }
    }
    assert_eq!(served.sick(), 0, "{:?}", served.rig.logs);
}

#[test]
fn outlier_is_ejected_by_aggregated_reports_too() {
    for window in [1000, 4000, 8000] {
        for fate in [third_fails, third_hangs] {
            let mut served = Served::new();
            served.run(30, &[Feed::of(1, window)], well);
            assert_eq!(served.sick(), 0);
            let mut seconds = 0;
            while served.sick() == 0 {
                served.run(1, &[Feed::of(1, window)], fate);
                seconds += 1;
                assert!(seconds < 40, "windows of {window} ms");
            }
            println!("windows of {window} ms: sick after {seconds} s");
            // The line that the fault began in tells of answers in all of its window; then there is one that tells of
            // none, and three seconds of that are looked at.
            assert!(seconds * 1000 <= 3000 + 2 * window, "{seconds} s with windows of {window} ms");
            assert!(served.rig.logs.iter().any(|note| note.contains("replica ejected replica=s-3 ")));
        }
    }
}

#[test]
fn incomplete_lines_eject_nobody() {
    for fate in [third_fails, third_hangs] {
        let mut served = Served::new();
        let (whole, partial) = (Feed::of(1, 1000), Feed { missing: 2, ..Feed::of(1, 1000) });
        served.run(20, &[whole], well);
        served.run(2, &[partial], well);
        served.run(30, &[partial], fate);
        assert_eq!(served.sick(), 0, "{:?}", served.rig.logs);
        assert_eq!(served.freshness().partial_replicas, 6);
        // The zones are back: it is judged once the judging window has only whole lines.
        served.run(3, &[whole], fate);
        assert_eq!(served.sick(), 0, "{:?}", served.rig.logs);
        served.run(3, &[whole], fate);
        assert_eq!(served.sick(), 1, "{:?}", served.rig.logs);
        assert_eq!(served.freshness().partial_replicas, 0);
    }
}

/// An aggregator that goes by an old list tells nothing of a replica, and all else as it should.
#[test]
fn unreported_replica_is_known_as_missing() {
    let mut served = Served::new();
    served.run(20, &[Feed::of(1, 1000)], well);
    assert_eq!(served.freshness().partial_replicas, 0);
    for at_ms in (20_000..50_000).step_by(STEP_MS as usize) {
        served.rig.advance_ms(STEP_MS);
        for line in Feed::of(1, 1000).lines(&served.rig, at_ms + STEP_MS, well, 0) {
            if !line.contains("s-3") {
                served.rig.collector_line(1, &line);
            }
        }
    }
    assert_eq!((served.freshness().partial_replicas, served.sick()), (1, 0), "{:?}", served.rig.logs);
}

/// Where no aggregators are, the field says nothing: all is as it was.
#[test]
fn missing_field_changes_nothing_without_aggregators() {
    let mut with = Served::new();
    with.rig.apply(Event::SubsettingConfigured(None));
    with.run(10, &[Feed { missing: 2, ..Feed::of(1, 1000) }], third_fails);
    assert_eq!(with.sick(), 1);
}

#[test]
fn hour_without_reports_changes_no_table_and_ends_by_itself() {
    for window in [1000, 8000] {
        let mut served = Served::new();
        served.run(40, &[Feed::of(1, window)], well);
        let (calls, before, loads) = (served.rig.requests.len(), served.rig.store.clone(), served.loads());
        served.run(STALE_AFTER.as_ns() / 1_000_000_000 - 2, &[], well);
        assert!(!served.freshness().stale);
        served.run(4, &[], well);
        let freshness = served.freshness();
        assert!(freshness.stale && freshness.age > Some(STALE_AFTER) && freshness.bytes_per_second == 0.0);
        served.run(1770, &[], well);
        assert_eq!(
            (&served.rig.store, served.rig.requests.len()),
            (&before, calls),
            "{:?}",
            served.rig.requests.last()
        );
        assert_eq!(served.loads(), loads);
        // The registry is obeyed.
        served.rig.drain("s-2");
        served.run(2, &[], well);
        assert!(!served.rig.owners().contains("s-2"));
        served.run(1800, &[], well);
        let calls = served.rig.requests.len();
        assert_eq!((served.notes_with("reports stale"), served.sick()), (1, 0));
        // Back: nothing rests on them until each replica and slice was told of.
        let mut recovered = 0;
        while served.freshness().stale {
            served.run(1, &[Feed::of(2, window)], well);
            recovered += 1;
            assert!(recovered < 60);
        }
        println!("windows of {window} ms: {recovered} s after the first line");
        assert!(recovered <= MAX_WINDOW.as_ns() / 1_000_000_000 + 2, "{recovered} s");
        assert_eq!((served.notes_with("reports stale"), served.notes_with("reports fresh")), (1, 1));
        let total: f64 = served.loads().iter().sum();
        assert!((total / (12.0 * RATE) - 1.0).abs() < 0.1, "{:?}", served.loads());
        served.run(30, &[Feed::of(2, window)], well);
        assert_eq!(served.sick(), 0);
        // It decides again.
        served.run(30, &[Feed::of(2, window)], third_fails);
        assert_eq!(served.sick(), 1, "{:?}", served.rig.logs);
        assert!(served.rig.requests.len() > calls);
    }
}

/// Some slices are told of seconds after others: until all were, replicas of the others only look light.
#[test]
fn cold_start_migrates_nothing() {
    for window in [1000, 5000, 8000] {
        let mut served = Served::new();
        let calls = served.rig.requests.len();
        served.run(40, &[Feed::of(1, window)], well);
        assert_eq!((served.rig.requests.len(), served.sick()), (calls, 0), "windows of {window} ms");
        served.loads_are_right(0.07);
    }
}

/// Answers are late, so levels are cut: how far is decided by reports alone.
#[test]
fn admission_rates_stay_while_no_reports_arrive() {
    let late = Feed { mean_latency_ms: 900.0, ..Feed::of(1, 1000) };
    let mut served = Served::new();
    served.run(20, &[late], well);
    let orders = |served: &Served| served.rig.requests.iter().filter(|call| call.contains("LIMIT")).count();
    let before = orders(&served);
    assert!(before > 3, "{:?}", served.rig.requests);
    served.run(600, &[], well);
    assert_eq!(orders(&served), before, "{:?}", served.rig.requests.last());
    // Quick answers lift the cut again.
    served.run(60, &[Feed::of(1, 1000)], well);
    assert!(orders(&served) > before);
}

/// Shorter than what is worth an alarm, and longer than between two lines: nothing is said, and nothing decided.
#[test]
fn short_silence_only_holds_the_load_estimates() {
    let mut served = Served::new();
    served.run(30, &[Feed::of(1, 1000)], well);
    let (calls, loads) = (served.rig.requests.len(), served.loads());
    served.run(20, &[], well);
    served.run(30, &[Feed::of(2, 1000)], well);
    served.loads_are_right(0.05);
    assert_eq!((served.rig.requests.len(), served.sick(), served.notes_with("stale")), (calls, 0, 0));
    assert_eq!(loads.len(), served.loads().len());
}

#[test]
fn reports_count_after_their_connection_ends_and_later_ones_do_not() {
    let mut served = Served::new();
    served.run(20, &[Feed::of(1, 1000)], well);
    served.rig.apply(Event::Disconnected(1));
    // Its lines come on; whoever has not joined is nobody's collector.
    served.run(1, &[Feed::of(1, 1000)], well);
    served.rig.other_effects.clear();
    served.run(1, &[Feed::of(1, 1000), Feed::of(2, 1000)], well);
    assert!(served
        .rig
        .other_effects
        .iter()
        .any(|effect| format!("{effect:?}").contains("Disconnect { to: 1")));
    for _ in 0..15 {
        served.run(1, &[Feed::of(2, 1000)], well);
        served.loads_are_right(0.1);
    }
    // It comes again as another, while the second goes on.
    served.joins(9);
    for _ in 0..15 {
        served.run(1, &[Feed::of(2, 1000), Feed::of(9, 1000)], well);
        served.loads_are_right(0.1);
    }
    assert_eq!(served.sick(), 0);
}

#[test]
fn coverage_ends_with_its_replica_or_slice() {
    let mut served = Served::new();
    let feed = Feed::of(1, 1000);
    served.run(3, &[feed], well);
    assert_eq!(served.rig.reducer.covered_subjects(), 6 + 12);
    // What nobody knows leaves nothing, however much of it comes.
    for n in 100..2000 {
        served.rig.collector_line(
            1,
            &feed.line(
                json!({"@type": "LOAD", "az": "north", "host": format!("s-{n}"), "n": 1, "bad": 0, "avg": 1}),
            ),
        );
        served.rig.collector_line(
            1,
            &feed.line(json!({"@type": "SHARD", "partition": n, "kind": CLASS, "n": 1, "bad": 0})),
        );
        served.rig.collector_line(
            1,
            &feed.line(json!({"@type": "SHARD", "partition": 1, "kind": format!("k-{n}"), "n": 1, "bad": 0})),
        );
    }
    assert_eq!(served.rig.reducer.covered_subjects(), 6 + 12);
    for slice in [2, 8] {
        served.rig.store.remove(&slice);
        served.rig.relay_event(&format!("* GRANT {slice} 0"));
    }
    served.rig.drain_input();
    assert_eq!(served.rig.reducer.covered_subjects(), 6 + 10);
    served.rig.drain("s-2");
    served.run(5, &[feed], well);
    served.rig.replicas.remove("s-2");
    served.rig.send_list();
    served.run(30, &[feed], well);
    assert_eq!(served.rig.reducer.covered_subjects(), 5 + 10);
    // A reader that does not know yet that the replica is gone makes no entry of it.
    let known = known();
    let met = r#"{"@type":"LOAD","az":"north","host":"s-2","n":9,"bad":0,"avg":41.7,"window":1000.0}"#;
    let what = known.resolve(&collector::decode_report(met).unwrap()).unwrap();
    served.rig.apply(Event::Reports {
        from: 1,
        reports: vec![Report { at: served.rig.now, line_count: 1.0, body: what }],
    });
    assert_eq!(served.rig.reducer.covered_subjects(), 5 + 10);
    served.rig.apply(Event::SubsettingConfigured(None));
    assert_eq!(served.rig.reducer.covered_subjects(), 0);
}

/// As the rig's controller numbers its replicas.
fn known() -> ReportNames {
    let replicas: BTreeMap<_, _> = (0..6).map(|n| (format!("s-{n}"), n)).collect();
    ReportNames { zones: vec!["north".into()], request_classes: vec![CLASS.into()], replicas, version: 1 }
}

/// A reader's chunk is one connection's: what it adds up was told by one, and it counts as its lines do one by one.
#[test]
fn sums_of_readers_count_as_their_lines() {
    let (mut lines, mut sums) = (Served::new(), Served::new());
    let known = known();
    let feeds = [Feed::of(1, 1000), Feed::of(2, 1000)];
    for step in 0..160 {
        let both = &feeds[usize::from(step > 120)..if step > 40 { 2 } else { 1 }];
        lines.step(both, well);
        sums.rig.advance_ms(STEP_MS);
        sums.at_ms += STEP_MS;
        for feed in both {
            let mut chunk = ReportAggregator::new(sums.rig.now);
            for line in feed.lines(&sums.rig, sums.at_ms, well, 0) {
                chunk.add(known.resolve(&collector::decode_report(&line).unwrap()).unwrap());
            }
            sums.rig.apply(Event::Reports { from: feed.connection, reports: chunk.into_reports() });
        }
        sums.rig.advance_ms(0);
        for (one, other) in lines.loads().iter().zip(sums.loads()) {
            assert!((one - other).abs() < 1e-6, "{one} and {other}");
        }
    }
    sums.loads_are_right(0.05);
}

#[test]
fn simultaneous_lines_count_alike_one_by_one_and_summed() {
    let (mut one_by_one, mut summed) = (ReportCoverage::default(), ReportCoverage::default());
    for coverage in [&mut one_by_one, &mut summed] {
        coverage.count_line(&line(1, 1000, 1000));
    }
    let late = line(2, 1300, 1000);
    let shares: f64 =
        (0..3).filter_map(|_| one_by_one.count_line(&late)).map(|counted| counted.fraction).sum();
    let counted = summed.count_line(&ReportLine { line_count: 3.0, ..late }).unwrap();
    assert!((3.0 * counted.fraction - shares).abs() < 1e-9, "{counted:?} and {shares}");
}

/// Lines that lack zones are not summed with others, and reach the reducer as the messages that they are.
#[test]
fn readers_leave_incomplete_lines_as_they_are() {
    let known = known();
    let mut fields: BTreeSet<u32> = BTreeSet::new();
    for (text, lacks) in [("", 0), (r#","missing":0"#, 0), (r#","missing":3"#, 3)] {
        let met = format!(
            r#"{{"@type":"LOAD","az":"north","host":"s-1","n":9,"bad":0,"avg":1.5,"window":1000.0{text}}}"#
        );
        let asked = format!(
            r#"{{"@type":"SHARD","partition":1,"kind":"{CLASS}","n":9,"bad":0,"window":1000.0{text}}}"#
        );
        for line in [met, asked] {
            let report = collector::decode_report(&line).unwrap();
            assert_eq!(known.resolve(&report).is_none(), lacks > 0, "{line}");
            assert_eq!(collector::decode_with_diagnosis(&line), collector::decode(&line));
            match collector::decode(&line).unwrap() {
                Message::EndpointReport(met) => assert_eq!(met.missing, lacks),
                Message::DemandReport(asked) => assert_eq!(asked.missing, lacks),
                other => panic!("{other:?}"),
            }
            fields.insert(lacks);
        }
    }
    assert_eq!(fields.len(), 2);
    for absurd in ["-1", "1.5", "\"two\"", "5000000000", "null"] {
        let line = format!(
            r#"{{"@type":"SHARD","partition":1,"kind":"{CLASS}","n":9,"bad":0,"window":1000.0,"missing":{absurd}}}"#
        );
        assert_eq!(collector::decode_report(&line), None);
        assert!(collector::decode(&line).is_err(), "{line}");
    }
}
