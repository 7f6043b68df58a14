//! Limits on the memory that peers can make an aggregator use, and handling of outdated endpoint lists.

mod virtual_fleet;

use virtual_fleet::{moment, replica, Fleet};
use whinwall_aggregation::aggregator::Aggregator;
use whinwall_aggregation::limits::{CLASS_IDLE_TIMEOUT, MAX_CLASSES_PER_SLICE, MAX_NAME_BYTES, MAX_ZONES};
use whinwall_aggregation::log_event::LogEvent;
use whinwall_aggregation::messages::{Effect, Event};
use whinwall_aggregation::registry::Registry;
use whinwall_policy::time::Moment;
use whinwall_protocol::collector::Report;
use whinwall_protocol::discovery::{Entry, List, State};

const START_MS: f64 = 10_000.0;

/// Returns an aggregator with two replicas, two slices and one collector.
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

fn demand_report(slice: u32, class: &str) -> Report<'_> {
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
fn request_classes_are_bounded_and_idle_ones_are_removed() {
    let mut aggregator = aggregator();
    let mut now = moment(START_MS + 100.0);
    for class in 0..1000 {
        report(&mut aggregator, now, demand_report(0, &format!("class-{class}")));
    }
    report(&mut aggregator, now, demand_report(1, &"x".repeat(MAX_NAME_BYTES + 1)));
    assert_eq!(aggregator.status().series, 2 + MAX_CLASSES_PER_SLICE);
    assert_eq!(aggregator.counters().reports_dropped, 1000 - MAX_CLASSES_PER_SLICE as u64 + 1);
    // A slice that no controller has is not summed.
    report(&mut aggregator, now, demand_report(77, "lookup"));
    assert_eq!(
        (aggregator.status().series, aggregator.counters().reports_unknown),
        (2 + MAX_CLASSES_PER_SLICE, 1)
    );
    for _ in 0..3 * CLASS_IDLE_TIMEOUT.as_ns() / 1_000_000_000 {
        now = moment(START_MS + (now - moment(START_MS)).seconds() * 1000.0 + 1000.0);
        aggregator.apply(now, Event::Tick);
    }
    assert_eq!(aggregator.status().series, 2);
}

/// Guards against collectors that are refused because one peer has named, and reported for, as many zones as there may be.
#[test]
fn zones_that_one_connection_makes_up_keep_no_collector_out() {
    let mut aggregator = aggregator();
    let now = moment(START_MS + 100.0);
    for zone in 0..1000 {
        let name = format!("made-up-{zone}");
        aggregator.apply(now, Event::CollectorJoined { connection: 100, zone: &name });
        let report = demand_report(1, "lookup");
        aggregator.apply(now, Event::ReportReceived { connection: 100, report });
    }
    assert_eq!(aggregator.status().zones, MAX_ZONES);
    let effects = aggregator.apply(now, Event::CollectorJoined { connection: 101, zone: "north" });
    assert!(!effects.contains(&Effect::RefuseCollector(101)));
    // The limit still holds.
    assert_eq!(aggregator.status().zones, MAX_ZONES);
}

#[test]
fn collectors_of_zones_above_the_limit_are_refused() {
    let mut aggregator = aggregator();
    let now = moment(START_MS + 100.0);
    for zone in 0..1000 {
        let name = format!("made-up-{zone}");
        let effects = aggregator.apply(now, Event::CollectorJoined { connection: 100 + zone, zone: &name });
        let refused = effects.contains(&Effect::RefuseCollector(100 + zone));
        assert_eq!(refused, zone as usize + 1 >= MAX_ZONES, "zone {zone}");
    }
    assert_eq!(aggregator.status().zones, MAX_ZONES);
    // The zones are removed with their connections, because none has reported.
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
    let event = Event::ReportReceived { connection: 9, report: demand_report(0, "lookup") };
    let effects = aggregator.apply(moment(START_MS + 100.0), event);
    assert_eq!(effects, vec![Effect::RefuseCollector(9)]);
    assert_eq!(aggregator.counters().reports, 0);
}

fn entries(registry: &Registry) -> Vec<&str> {
    registry.replicas().map(|entry| entry.replica.as_str()).collect()
}

fn list(version: u64, complete: bool, entries: Vec<Entry>) -> List {
    List { version, is_complete: complete, entries }
}

#[test]
fn older_list_version_is_accepted_only_after_the_lag_timeout() {
    let mut registry = Registry::default();
    let after_start = |ms| moment(START_MS + ms);
    registry.apply(after_start(0.0), list(41, true, vec![replica("s-0", 0), replica("s-1", 0)]));
    let outcome = registry.apply(after_start(1000.0), list(3, true, vec![replica("s-9", 0)]));
    assert!(outcome.is_outdated && !outcome.changed);
    assert_eq!((entries(&registry), registry.version()), (vec!["s-0", "s-1"], 41));
    // The version numbering has been restarted, and the new list is accepted.
    let outcome = registry.apply(after_start(7500.0), list(3, true, vec![replica("s-9", 0)]));
    assert!(!outcome.is_outdated && outcome.changed);
    assert_eq!((entries(&registry), registry.version()), (vec!["s-9"], 3));
}

#[test]
fn changes_extend_the_list_and_a_gone_replica_is_removed() {
    let mut registry = Registry::default();
    let now = moment(START_MS);
    registry.apply(now, list(41, true, vec![replica("s-0", 0), replica("s-1", 0)]));
    let gone = Entry { state: State::Gone, ..replica("s-0", 0) };
    let leaving = Entry { state: State::Draining, ..replica("s-1", 0) };
    let outcome =
        registry.apply(now, list(42, false, vec![gone.clone(), leaving.clone(), replica("s-2", 1)]));
    assert!(outcome.changed);
    assert_eq!(entries(&registry), ["s-1", "s-2"]);
    let again = registry.apply(now, list(43, false, vec![gone, leaving]));
    assert!(!again.changed);
    let long = registry.apply(now, list(44, false, vec![replica(&"x".repeat(MAX_NAME_BYTES + 1), 0)]));
    assert!(long.has_skipped && !long.changed);
}

#[test]
fn controller_without_answers_is_reconnected() {
    let mut aggregator = aggregator();
    let (mut attempts, mut disconnects, mut elapsed_ms) = (0, 0, 100.0);
    while elapsed_ms < 30_000.0 {
        let now = moment(START_MS + elapsed_ms);
        if elapsed_ms % 1000.0 == 0.0 {
            report(&mut aggregator, now, demand_report(0, "lookup"));
        }
        for effect in aggregator.apply(now, Event::Tick) {
            match effect {
                // The controller accepts the connection but never answers.
                Effect::Connect { controller, .. } => {
                    attempts += 1;
                    aggregator.apply(now, Event::ControllerConnected(&controller));
                }
                Effect::Disconnect { .. } => disconnects += 1,
                Effect::Log(LogEvent::ControllerReachable { reachable, .. }) => {
                    assert!(!reachable || attempts > 0);
                }
                _ => {}
            }
        }
        elapsed_ms += 100.0;
    }
    // Each cycle takes 5 s without an answer and at least 1 s until the next attempt to connect.
    assert!(
        (3..=5).contains(&attempts) && (3..=5).contains(&disconnects),
        "{attempts} attempts, {disconnects} disconnects"
    );
}
