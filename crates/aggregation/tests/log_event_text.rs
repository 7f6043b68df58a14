//! The exact texts and levels of the log events of an aggregator.

use whinwall_aggregation::log_event::LogEvent;

fn info(event: LogEvent) -> String {
    assert!(!event.is_warning(), "{event}");
    event.to_string()
}

fn warning(event: LogEvent) -> String {
    assert!(event.is_warning(), "{event}");
    event.to_string()
}

#[test]
fn log_events_on_peers_have_exact_texts() {
    let alive = |alive| LogEvent::PeerAlive { peer: "m1".into(), alive };
    assert_eq!(info(alive(true)), "aggregator m1 is alive");
    assert_eq!(warning(alive(false)), "aggregator m1 is not responding");
    let serving = LogEvent::Serving { controllers: 3, aggregators: 2 };
    assert_eq!(info(serving), "serving 3 controllers, as one of 2 aggregators");
}

#[test]
fn log_events_on_zones_have_exact_texts() {
    let missing = warning(LogEvent::ZoneMissing("b".into()));
    assert_eq!(missing, "zone b is missing: its collectors are silent");
    assert_eq!(info(LogEvent::ZoneBack("b".into())), "zone b is back: its collectors report again");
    assert_eq!(warning(LogEvent::ZoneExpired("b".into())), "zone b is no longer expected to report");
}

#[test]
fn log_events_on_the_registry_have_exact_texts() {
    assert_eq!(warning(LogEvent::RegistryStale(true)), "discovery is silent, endpoint list may be stale");
    assert_eq!(info(LogEvent::RegistryStale(false)), "discovery is responding again");
    let behind = LogEvent::RegistryBehind { own: 4, peer: 9 };
    assert_eq!(warning(behind), "endpoint list has version 4, a peer has version 9");
}

#[test]
fn log_events_on_controllers_have_exact_texts() {
    let reachable = |reachable| LogEvent::ControllerReachable { controller: "g0".into(), reachable };
    assert_eq!(info(reachable(true)), "controller g0 is reachable again");
    assert_eq!(warning(reachable(false)), "controller g0 is unreachable");
    let small = warning(LogEvent::BudgetTooSmall { controller: "g0".into() });
    assert_eq!(small, "byte budget of controller g0 is too small for its subset");
}

#[test]
fn log_events_on_the_aggregator_itself_have_exact_texts() {
    assert_eq!(warning(LogEvent::Stalled(1200)), "was not running for 1200 ms, discarding partial sums");
    let limit = warning(LogEvent::LimitReached("zones"));
    assert_eq!(limit, "limit of zones reached, further zones are ignored");
}
