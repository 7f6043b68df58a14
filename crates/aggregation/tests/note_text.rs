//! The exact text of what an aggregator logs for its operators, and which of it is a warning.

use whinwall_aggregation::messages::Note;

fn info(note: Note) -> String {
    assert!(!note.is_warning(), "{note}");
    note.to_string()
}

fn warning(note: Note) -> String {
    assert!(note.is_warning(), "{note}");
    note.to_string()
}

#[test]
fn notes_on_peers_are_worded_to_the_letter() {
    let alive = |alive| Note::PeerAlive { peer: "m1".into(), alive };
    assert_eq!(info(alive(true)), "aggregator m1 is alive");
    assert_eq!(warning(alive(false)), "aggregator m1 is not heard any more");
    let serving = Note::Serving { controllers: 3, aggregators: 2 };
    assert_eq!(info(serving), "serves 3 governors, as one of 2 aggregators");
}

#[test]
fn notes_on_zones_are_worded_to_the_letter() {
    let missing = warning(Note::ZoneMissing("b".into()));
    assert_eq!(missing, "zone b is missing: its collectors are not heard");
    assert_eq!(info(Note::ZoneBack("b".into())), "zone b is heard again");
    assert_eq!(warning(Note::ZoneForgotten("b".into())), "zone b is not waited for any longer");
}

#[test]
fn notes_on_the_registry_are_worded_to_the_letter() {
    assert_eq!(warning(Note::RegistryStale(true)), "discovery is silent; the list may be old");
    assert_eq!(info(Note::RegistryStale(false)), "discovery is heard");
    let behind = Note::RegistryBehind { own: 4, peer: 9 };
    assert_eq!(warning(behind), "the list has version 4, a peer's has 9");
}

#[test]
fn notes_on_controllers_are_worded_to_the_letter() {
    let reachable = |reachable| Note::ControllerReachable { controller: "g0".into(), reachable };
    assert_eq!(info(reachable(true)), "governor g0 is reached");
    assert_eq!(warning(reachable(false)), "governor g0 is out of reach");
    let small = warning(Note::BudgetTooSmall { controller: "g0".into() });
    assert_eq!(small, "the byte budget of governor g0 is too small for its subset");
}

#[test]
fn notes_on_the_aggregator_itself_are_worded_to_the_letter() {
    assert_eq!(warning(Note::Stalled(1200)), "was not running for 1200 ms and starts anew");
    let bound = warning(Note::BoundReached("zones"));
    assert_eq!(bound, "more zones than there is room for; the rest is left out");
}
