//! Replication of hot slices, and standby endpoints.

mod fleet;
mod reports;

use fleet::{at_ms, deployment, owners_of, Fleet};
use reports::{collect_acked_reply, policy_with_replicas, report_second};
use std::collections::BTreeSet;
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;

/// The failure of one replica must not double the load of another.
#[test]
fn standbys_of_one_replica_are_spread_over_several() {
    let mut fleet = Fleet::new(deployment(), 10, 60, 5);
    fleet.advance(8000);
    let own = fleet.store.values().filter(|table| table.get(&0) == Some(&1.0));
    let endpoints: BTreeSet<_> = own.flat_map(|table| table.keys().copied()).collect();
    assert!(endpoints.len() > 3, "replica 0 and its standbys: {endpoints:?}");
}

/// A slice with a hot key gets more owners while it is hot and one owner again after it has cooled down; never
/// under single writer.
#[test]
fn hot_slice_gets_more_owners_and_loses_them_when_it_cools() {
    for single_writer in [false, true] {
        let mut fleet = Fleet::new(Deployment { single_writer, ..deployment() }, 10, 40, 5);
        fleet.request_rates.insert(0, 40.0);
        fleet.advance(15_000);
        assert_eq!(owners_of(&fleet, 0).len() > 1, !single_writer);
        fleet.request_rates.insert(0, 2.0);
        fleet.advance(60_000);
        assert_eq!(owners_of(&fleet, 0).len(), 1);
    }
}

/// Each of five controllers has one slice per replica (fleet scenarios). One slice with twice the load of the
/// others overfills the part of a replica that one controller sees, but not the replica.
#[test]
fn bands_are_those_of_whole_replicas_where_other_controllers_fill_them_too() {
    for (slices, replicates) in [(0, true), (6, true), (30, false)] {
        let mut policy = policy_with_replicas(Deployment { slice_count: slices, ..deployment() }, 6);
        let mut owners_added = 0;
        for second in 1..12 {
            let now = at_ms(second * 1000);
            report_second(&mut policy, now, |replica| if replica == 0 { (4.0, 4.0) } else { (2.0, 2.0) });
            let owner_added = |action: &&Action| {
                matches!(action, Action::SetEndpoint { slice: 0, weight, .. }
                    if *weight >= 1.0)
            };
            owners_added += collect_acked_reply(&mut policy, now).iter().filter(owner_added).count();
        }
        assert_eq!(owners_added > 0, replicates, "{slices} slices in total");
    }
}
