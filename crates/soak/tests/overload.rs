//! Each listener of the programs under bad clients: the memory limit is kept, and sound clients are answered.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use whinwall_soak::overload::{run, Attack, Listener};

/// The time of one attack. Longer runs are started by hand.
const DURATION: Duration = Duration::from_millis(1200);

/// Held during the attacks on a listener: those on another one would take processor time from its sound client.
static MACHINE: Mutex<()> = Mutex::new(());

fn assert_limits_are_kept(listener: Listener) {
    let _alone = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    let reports: Vec<_> =
        Attack::ALL.into_iter().map(|attack| run(listener, attack, DURATION).unwrap()).collect();
    reports.iter().for_each(|report| println!("{report}"));
    let violations: Vec<_> = reports
        .iter()
        .filter(|report| !report.violations().is_empty())
        .map(|report| format!("{report}: {:?}", report.violations()))
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn controller_keeps_its_limits_under_bad_clients() {
    assert_limits_are_kept(Listener::Controller);
}

#[test]
fn management_socket_keeps_its_limits_under_bad_clients() {
    assert_limits_are_kept(Listener::ManagementSocket);
}

#[test]
fn management_address_keeps_its_limits_under_bad_clients() {
    assert_limits_are_kept(Listener::ManagementAddress);
}

#[test]
fn aggregator_keeps_its_limits_under_bad_clients() {
    assert_limits_are_kept(Listener::Aggregator);
}

#[test]
fn metrics_of_the_aggregator_keep_their_limits_under_bad_clients() {
    assert_limits_are_kept(Listener::AggregatorMetrics);
}
