//! The exact text of what an aggregator logs for its operators, and which of it is a warning.

use whinwall_aggregation::log_event::LogEvent;

fn info(note: LogEvent) -> String {
    assert!(!note.is_warning(), "{note}");
    note.to_string()
}

fn warning(note: LogEvent) -> String {
    assert!(note.is_warning(), "{note}");
    note.to_string()
}

#[test]
fn log_events_on_peers_are_worded_to_the_letter() {
    let alive = |alive| LogEvent::PeerAlive { peer: "m1".into(), alive };
    assert_eq!(info(alive(true)), "aggregator m1 is alive");
    assert_eq!(warning(alive(false)), "aggregator m1 is not heard any more");
    let serving = LogEvent::Serving { controllers: 3, aggregators: 2 };
    assert_eq!(info(serving), "serves 3 controllers, as one of 2 aggregators");
}

#[test]
fn log_events_on_zones_are_worded_to_the_letter() {
    let missing = warning(LogEvent::ZoneMissing("b".into()));
    assert_eq!(missing, "zone b is missing: its collectors are not heard");
    assert_eq!(info(LogEvent::ZoneBack("b".into())), "zone b is heard again");
    assert_eq!(warning(LogEvent::ZoneForgotten("b".into())), "zone b is not waited for any longer");
}

#[test]
fn log_events_on_the_registry_are_worded_to_the_letter() {
    assert_eq!(warning(LogEvent::RegistryStale(true)), "discovery is silent; the list may be old");
    assert_eq!(info(LogEvent::RegistryStale(false)), "discovery is heard");
    let behind = LogEvent::RegistryBehind { own: 4, peer: 9 };
    assert_eq!(warning(behind), "the list has version 4, a peer's has 9");
}

#[test]
fn log_events_on_controllers_are_worded_to_the_letter() {
    let reachable = |reachable| LogEvent::ControllerReachable { controller: "g0".into(), reachable };
    assert_eq!(info(reachable(true)), "controller g0 is reached");
    assert_eq!(warning(reachable(false)), "controller g0 is out of reach");
    let small = warning(LogEvent::BudgetTooSmall { controller: "g0".into() });
    assert_eq!(small, "the byte budget of controller g0 is too small for its subset");
}

#[test]
fn log_events_on_the_aggregator_itself_are_worded_to_the_letter() {
    assert_eq!(warning(LogEvent::Stalled(1200)), "was not running for 1200 ms and starts anew");
    let bound = warning(LogEvent::BoundReached("zones"));
    assert_eq!(bound, "more zones than there is room for; the rest is left out");
}
