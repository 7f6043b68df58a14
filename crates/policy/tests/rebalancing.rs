//! Rebalancing by DDMC, with values computed by hand. phi is 0.35 of AvgL, omega 0.8, Delta 0.3.

mod fleet;
mod reports;

use fleet::{at_ms, deployment, fleet_with_loads, listing, owners_of};
use reports::{collect_acked_reply, policy_with_replicas, report_second};
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;
use whinwall_policy::time::Span;

/// AvgL 5.97, band 3.88 to 8.05. Replica 2 has 11.9, replica 1 has 2, and 0.14 from slices for which it may be a
/// standby. Moving the heaviest slice, 5.9, leaves 6 on the source and gives 8.04 on the destination.
#[test]
fn heaviest_slice_that_fits_moves_to_the_lightest_replica() {
    let mut fleet = fleet_with_loads(false, &[&[4.0], &[2.0], &[4.0, 2.0, 5.9]]);
    fleet.advance(3900);
    assert_eq!(owners_of(&fleet, 4), [2], "moved before the third round outside the band");
    fleet.advance(10_100);
    assert_eq!(owners_of(&fleet, 4), [1]);
    assert_eq!(
        (owners_of(&fleet, 0), owners_of(&fleet, 2), owners_of(&fleet, 3)),
        (vec![0], vec![2], vec![2])
    );
}

/// AvgL 8.17, band 5.31 to 11.03. A slice of 7 would raise the light replica from 5 to 12; in exchange for its
/// slice of 1 it has 11.
#[test]
fn slices_are_swapped_where_no_single_move_fits() {
    let mut fleet = fleet_with_loads(false, &[&[7.0, 7.0], &[5.5], &[4.0, 1.0]]);
    fleet.advance(14_000);
    assert_eq!(owners_of(&fleet, 4), [0]);
    assert!(owners_of(&fleet, 0) == [2] || owners_of(&fleet, 1) == [2]);
    assert_eq!(owners_of(&fleet, 3), [2]);
}

/// Slice 0 (3.8) leaves the replica on which a second slice has a load of 8.05. 0.8^5 is 0.33 and 0.8^6 is 0.26,
/// so six moves are permitted.
#[test]
fn slice_that_moved_often_is_not_moved_again() {
    let mut fleet = fleet_with_loads(true, &[&[3.8, 8.05], &[0.1]]);
    let mut moves = 0;
    for _ in 0..20 {
        let owners = owners_of(&fleet, 0);
        for other_slice in 1..3 {
            fleet
                .request_rates
                .insert(other_slice, if owners_of(&fleet, other_slice) == owners { 8.05 } else { 0.1 });
        }
        fleet.advance(16_000);
        moves += usize::from(owners_of(&fleet, 0) != owners);
    }
    assert_eq!(moves, 6);
}

/// A new replica that one controller owns alone has the band of a whole replica. With the wider band of replicas
/// that other controllers fill too, it would no longer be light after its second slice (in `join+vast`, warm
/// replicas then had ten times as many).
#[test]
fn cold_replica_of_one_controller_has_the_band_of_a_whole_replica() {
    let count_endpoints_added = |controller_index| {
        let mut policy = policy_with_replicas(
            Deployment { controller_count: 5, controller_index, slice_count: 55, ..deployment() },
            6,
        );
        (6..11).for_each(|slice| policy.slice_granted(at_ms(0), slice, &[(0, 1.0)]));
        let mut endpoints_added = 0;
        for second in 1..15 {
            let now = at_ms(second * 1000);
            report_second(&mut policy, now, |replica| (if replica == 0 { 6.0 } else { 1.0 }, 1.0));
            let demand =
                DemandReport { request_class: 0, window: Span::ms(1000), requests: 1.0, failed: 0.0 };
            (6..11).for_each(|slice| policy.demand_reported(now, slice, demand));
            if second == 5 {
                // So many start that the warm ones do not suffice.
                let started = (6..10).map(|replica| listing(replica, ReplicaState::Ready, 5000));
                policy.replicas_listed(now, ListScope::Changes, &started.collect::<Vec<_>>());
            }
            let owner_added = |action: &&Action| {
                matches!(action, Action::SetEndpoint { replica: 6, weight, .. }
                    if *weight >= 1.0)
            };
            endpoints_added += collect_acked_reply(&mut policy, now).iter().filter(owner_added).count();
        }
        endpoints_added
    };
    let max_added = (0..5).map(count_endpoints_added).max();
    assert!(max_added >= Some(3), "at most {max_added:?} slices moved to the new replica");
}
