//! What others say costs no more than the bounds, and lists that are old change nothing.

mod virtual_fleet;

use virtual_fleet::{moment, replica, Fleet};
use whinwall_aggregation::aggregator::Aggregator;
use whinwall_aggregation::limits::{CLASS_IDLE, MAX_CLASSES, MAX_NAME, MAX_ZONES};
use whinwall_aggregation::log_event::LogEvent;
use whinwall_aggregation::messages::{Effect, Event};
use whinwall_aggregation::registry::Registry;
use whinwall_policy::time::Moment;
use whinwall_protocol::collector::Report;
use whinwall_protocol::discovery::{Entry, List, State};

const START_MS: f64 = 10_000.0;

/// One aggregator that knows two replicas and two slices, and one collector.
fn aggregator() -> Aggregator {
    let fleet = Fleet::new(1, 2, 1, 2, 27_000);
    let now = moment(START_MS);
    let mut aggregator = Aggregator::new(now, fleet.configuration(0), None);
    let entries = vec![replica("s-0", 0), replica("s-1", 0)];
    aggregator.apply(now, Event::RegistryListed(List { version: 1, is_complete: true, entries }));
    aggregator.apply(now, Event::Tick);
    aggregator.apply(now, Event::CollectorJoined { connection: 1, zone: "z0" });
    aggregator
}

fn shard(slice: u32, class: &str) -> Report<'_> {
    Report::DemandReport {
        slice,
        request_class: class,
        requests: 1.0,
        failed: 0.0,
        window_ms: 1000.0,
        missing: 0,
    }
}

fn report<'a>(aggregator: &mut Aggregator, now: Moment, report: Report<'a>) -> Vec<Effect> {
    aggregator.apply(now, Event::ReportReceived { connection: 1, report })
}

#[test]
fn request_classes_are_bounded_and_idle_ones_are_forgotten() {
    let mut aggregator = aggregator();
    let mut now = moment(START_MS + 100.0);
    for class in 0..1000 {
        report(&mut aggregator, now, shard(0, &format!("class-{class}")));
    }
    report(&mut aggregator, now, shard(1, &"x".repeat(MAX_NAME + 1)));
    assert_eq!(aggregator.status().series, 2 + MAX_CLASSES);
    assert_eq!(aggregator.counters().reports_dropped, 1000 - MAX_CLASSES as u64 + 1);
    // A slice that no controller has is in no sum at all.
    report(&mut aggregator, now, shard(77, "lookup"));
    assert_eq!((aggregator.status().series, aggregator.counters().reports_unknown), (2 + MAX_CLASSES, 1));
    for _ in 0..3 * CLASS_IDLE.as_ns() / 1_000_000_000 {
        now = moment(START_MS + (now - moment(START_MS)).seconds() * 1000.0 + 1000.0);
        aggregator.apply(now, Event::Tick);
    }
    assert_eq!(aggregator.status().series, 2);
}

#[test]
fn zones_are_bounded() {
    let mut aggregator = aggregator();
    let now = moment(START_MS + 100.0);
    for zone in 0..1000 {
        let name = format!("made-up-{zone}");
        let effects = aggregator.apply(now, Event::CollectorJoined { connection: 100 + zone, zone: &name });
        let refused = effects.contains(&Effect::RefuseCollector(100 + zone));
        assert_eq!(refused, zone as usize + 1 >= MAX_ZONES, "zone {zone}");
    }
    assert_eq!(aggregator.status().zones, MAX_ZONES);
    // They end with their connections, as none has reported ever.
    for zone in 0..1000 {
        aggregator.apply(now, Event::ConnectionEnded(100 + zone));
    }
    assert_eq!(aggregator.status().zones, 1);
}

#[test]
fn sums_of_another_aggregator_are_not_counted_again() {
    let mut aggregator = aggregator();
    let partial = Report::DemandReport {
        slice: 0,
        request_class: "lookup",
        requests: 1.0,
        failed: 0.0,
        window_ms: 1000.0,
        missing: 2,
    };
    let effects = report(&mut aggregator, moment(START_MS + 100.0), partial);
    assert_eq!(effects, vec![Effect::RefuseCollector(1)]);
    assert_eq!(aggregator.counters().reports, 0);
}

#[test]
fn report_without_a_zone_closes_the_connection() {
    let mut aggregator = aggregator();
    let event = Event::ReportReceived { connection: 9, report: shard(0, "lookup") };
    let effects = aggregator.apply(moment(START_MS + 100.0), event);
    assert_eq!(effects, vec![Effect::RefuseCollector(9)]);
    assert_eq!(aggregator.counters().reports, 0);
}

fn entries(registry: &Registry) -> Vec<&str> {
    registry.replicas().map(|entry| entry.replica.as_str()).collect()
}

fn list(version: u64, whole: bool, entries: Vec<Entry>) -> List {
    List { version, is_complete: whole, entries }
}

#[test]
fn older_list_version_is_believed_only_after_the_lag_timeout() {
    let mut registry = Registry::default();
    let at = |ms| moment(START_MS + ms);
    registry.apply(at(0.0), list(41, true, vec![replica("s-0", 0), replica("s-1", 0)]));
    let applied = registry.apply(at(1000.0), list(3, true, vec![replica("s-9", 0)]));
    assert!(applied.is_outdated && !applied.changed);
    assert_eq!((entries(&registry), registry.version()), (vec!["s-0", "s-1"], 41));
    // A new count: the old one does not come back.
    let applied = registry.apply(at(7500.0), list(3, true, vec![replica("s-9", 0)]));
    assert!(!applied.is_outdated && applied.changed);
    assert_eq!((entries(&registry), registry.version()), (vec!["s-9"], 3));
}

#[test]
fn changes_extend_the_list_and_a_gone_replica_is_removed() {
    let mut registry = Registry::default();
    let now = moment(START_MS);
    registry.apply(now, list(41, true, vec![replica("s-0", 0), replica("s-1", 0)]));
    let gone = Entry { state: State::Gone, ..replica("s-0", 0) };
    let leaving = Entry { state: State::Draining, ..replica("s-1", 0) };
    let applied =
        registry.apply(now, list(42, false, vec![gone.clone(), leaving.clone(), replica("s-2", 1)]));
    assert!(applied.changed);
    assert_eq!(entries(&registry), ["s-1", "s-2"]);
    let again = registry.apply(now, list(43, false, vec![gone, leaving]));
    assert!(!again.changed);
    let long = registry.apply(now, list(44, false, vec![replica(&"x".repeat(MAX_NAME + 1), 0)]));
    assert!(long.left_out && !long.changed);
}

#[test]
fn controller_without_heartbeats_is_dialled_again() {
    let mut aggregator = aggregator();
    let (mut dials, mut lost, mut at) = (0, 0, 100.0);
    while at < 30_000.0 {
        let now = moment(START_MS + at);
        if at % 1000.0 == 0.0 {
            report(&mut aggregator, now, shard(0, "lookup"));
        }
        for effect in aggregator.apply(now, Event::Tick) {
            match effect {
                // It takes the connection, and never says a word.
                Effect::Connect { controller, .. } => {
                    dials += 1;
                    aggregator.apply(now, Event::ControllerConnected(&controller));
                }
                Effect::Disconnect { .. } => lost += 1,
                Effect::Log(LogEvent::ControllerReachable { reachable, .. }) => {
                    assert!(!reachable || dials > 0);
                }
                _ => {}
            }
        }
        at += 100.0;
    }
    // 5 s of silence and a second or more before the next dial.
    assert!((3..=5).contains(&dials) && (3..=5).contains(&lost), "{dials} dials, {lost} lost");
}
