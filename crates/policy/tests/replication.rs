//! Replication of hot slices, and standby endpoints.

mod fleet;
mod reports;

use fleet::{at, owners_of, site, Fleet};
use reports::{acked_reply, policy_with_replicas, report};
use std::collections::BTreeSet;
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;

/// Against one failure that doubles another replica's load.
#[test]
fn standbys_of_one_replica_are_spread_over_several() {
    let mut fleet = Fleet::new(site(), 10, 60, 5);
    fleet.advance(8000);
    let own = fleet.store.values().filter(|t| t.get(&0) == Some(&1.0));
    let endpoints: BTreeSet<_> = own.flat_map(|t| t.keys().copied()).collect();
    assert!(endpoints.len() > 3, "server 0 and those who stand by for it: {endpoints:?}");
}

/// Against a key in demand: more owners while it is hot, one again when cooled; never where there is a single writer.
#[test]
fn hot_slice_gets_more_owners_and_loses_them_when_it_cools() {
    for single_writer in [false, true] {
        let mut fleet = Fleet::new(Deployment { single_writer, ..site() }, 10, 40, 5);
        fleet.request_rates.insert(0, 40.0);
        fleet.advance(15_000);
        assert_eq!(owners_of(&fleet, 0).len() > 1, !single_writer);
        fleet.request_rates.insert(0, 2.0);
        fleet.advance(60_000);
        assert_eq!(owners_of(&fleet, 0).len(), 1);
    }
}

/// Of five controllers each has one slice a replica (the fleet days): one slice of twice the others' load overfills
/// the part of a replica that one controller sees, and no replica.
#[test]
fn bands_are_those_of_whole_replicas_where_other_controllers_fill_them_too() {
    for (slices, replicates) in [(0, true), (6, true), (30, false)] {
        let mut policy = policy_with_replicas(Deployment { slice_count: slices, ..site() }, 6);
        let mut whole_lines = 0;
        for second in 1..12 {
            let now = at(second * 1000);
            report(&mut policy, now, |s| if s == 0 { (4.0, 4.0) } else { (2.0, 2.0) });
            let owner_added =
                |s: &&Action| matches!(s, Action::SetEndpoint { slice: 0, weight, .. } if *weight >= 1.0);
            whole_lines += acked_reply(&mut policy, now).iter().filter(owner_added).count();
        }
        assert_eq!(whole_lines > 0, replicates, "{slices} slices in all");
    }
}
