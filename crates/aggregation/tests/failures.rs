//! Reports to controllers while aggregators, zones, discovery or members fail, in virtual time. The recovery times in
//! `docs/design/aggregation.md` are printed by `cargo test -p whinwall-aggregation --test failures -- --nocapture`.

mod virtual_fleet;

use std::collections::BTreeSet;
use virtual_fleet::{member, replica, Fleet, Health};
use whinwall_aggregation::log_event::LogEvent;

const BUDGET: u64 = 27_000;
/// Upper bound of the time until another aggregator serves the controllers of a failed one: failure detection,
/// connection and the wait for the next batch.
const MAX_TAKEOVER_MS: f64 = 3_500.0;
/// Upper bound of the time until a restarted aggregator serves its controllers: heartbeats until it counts as alive,
/// the hold time after a start, connection and the wait for the next batch.
const MAX_RETURN_MS: f64 = 6_500.0;

fn fleet() -> Fleet {
    Fleet::settled(12, 60, 3, 10, BUDGET)
}

fn print_recovery(what: &str, ms: f64) {
    println!("recovery: {what}: {ms:.0} ms (virtual time)");
}

fn assert_all_counts_exact(fleet: &Fleet) {
    let zones = fleet.all_zones();
    fleet.assert_counts_exact(|_| zones.clone());
}

fn assert_budget(fleet: &Fleet) {
    let bytes = fleet.max_bytes_within(1000.0);
    assert!(bytes <= BUDGET as usize, "{bytes} bytes within 1 s, budget {BUDGET}");
}

/// Returns the controllers that a machine serves.
fn served_by(fleet: &Fleet, machine: usize) -> BTreeSet<String> {
    fleet.aggregator(machine).owned_controllers().map(str::to_string).collect()
}

#[test]
fn controllers_of_a_crashed_aggregator_are_taken_over_without_gaps() {
    let mut fleet = fleet();
    let (from, lost) = (fleet.now_ms, served_by(&fleet, 2));
    assert!(!lost.is_empty());
    fleet.kill(2);
    fleet.run(10_000);
    let recovered = fleet.single_owner_at_ms(from) - from as f64;
    print_recovery("one of four dies", recovered);
    assert!(recovered <= MAX_TAKEOVER_MS, "{recovered} ms");
    let (gap, _) = fleet.gaps_and_overlaps_ms(from - 2_000);
    assert!(gap < 0.01, "{gap} ms are not covered by any line");
    assert_all_counts_exact(&fleet);
    assert_budget(&fleet);
    // Only the controllers of the crashed aggregator were reassigned.
    let others = fleet.controllers.iter().filter(|controller| !lost.contains(&controller.name));
    for controller in others {
        let by: BTreeSet<_> = fleet
            .reports(&controller.name)
            .filter(|(line, _)| line.at_ms > from as f64)
            .map(|(line, _)| line.connection)
            .collect();
        assert_eq!(by.len(), 1, "{} was reassigned", controller.name);
    }
}

#[test]
fn hung_aggregator_is_replaced_and_resumes_without_gaps() {
    let mut fleet = fleet();
    let from = fleet.now_ms;
    fleet.set_health(1, Health::Hung);
    fleet.run(10_000);
    let resumed = fleet.now_ms;
    let taken_over = |fleet: &Fleet| {
        let others = (0..4).filter(|machine| *machine != 1).map(|machine| served_by(fleet, machine).len());
        others.sum::<usize>()
    };
    assert_eq!(taken_over(&fleet), 12);
    fleet.set_health(1, Health::Healthy);
    fleet.run(10_000);
    let recovered = fleet.single_owner_at_ms(resumed) - resumed as f64;
    print_recovery("one of four hangs for 10 s and goes on, from then", recovered);
    assert!(recovered <= MAX_RETURN_MS, "{recovered} ms");
    assert_eq!(fleet.aggregator(1).counters().stalls, 1);
    assert!(fleet.log_events(1).iter().any(|event| matches!(event, LogEvent::Stalled(_))));
    let (gap, _) = fleet.gaps_and_overlaps_ms(from - 2_000);
    assert!(gap < 0.01, "{gap} ms are not covered by any line");
    assert_all_counts_exact(&fleet);
    assert_budget(&fleet);
    assert_eq!(fleet.last_undercount_ms(), None);
}

#[test]
fn restarted_aggregator_serves_the_same_controllers_without_gaps() {
    let mut fleet = fleet();
    let from = fleet.now_ms;
    let before = served_by(&fleet, 3);
    fleet.kill(3);
    fleet.run(1_000);
    fleet.start(3);
    fleet.run(15_000);
    let recovered = fleet.single_owner_at_ms(from) - from as f64;
    print_recovery("one of four restarts within 1 s", recovered);
    assert!(recovered <= 1_000.0 + MAX_RETURN_MS, "{recovered} ms");
    assert_eq!(served_by(&fleet, 3), before);
    let (gap, _) = fleet.gaps_and_overlaps_ms(from - 2_000);
    assert!(gap < 0.01, "{gap} ms are not covered by any line");
    assert_all_counts_exact(&fleet);
    assert_budget(&fleet);
    assert_eq!(fleet.last_undercount_ms(), None);
}

#[test]
fn slow_aggregator_leaves_no_gaps_and_keeps_the_budget() {
    let mut fleet = fleet();
    let from = fleet.now_ms;
    fleet.set_health(0, Health::Slow(15));
    fleet.run(20_000);
    // Its lines are late but have longer windows, so that all time is covered.
    let (gap, _) = fleet.gaps_and_overlaps_ms(from - 2_000);
    assert!(gap < 0.01, "{gap} ms are not covered by any line");
    assert_all_counts_exact(&fleet);
    assert_budget(&fleet);
    assert_eq!(fleet.last_undercount_ms(), None);
    let healthy = fleet.now_ms;
    fleet.set_health(0, Health::Healthy);
    fleet.run(5_000);
    let recovered = fleet.single_owner_at_ms(healthy) - healthy as f64;
    print_recovery("one of four runs each 1.5 s only, from when it is well", recovered);
    assert!(recovered <= 2_000.0, "{recovered} ms");
}

#[test]
fn aggregator_with_an_outdated_list_serves_no_controllers_until_it_is_fresh() {
    let mut fleet = fleet();
    let from = fleet.now_ms;
    assert!(!served_by(&fleet, 1).is_empty());
    fleet.silence_list(1, true);
    fleet.change_registry(|replicas| _ = replicas.insert("s-new".into(), replica("s-new", 0)));
    fleet.run(12_000);
    // The aggregators with a fresh list serve its controllers, so that all controllers get reports of the new replica.
    assert!(served_by(&fleet, 1).is_empty());
    assert!(fleet.log_events(1).contains(&LogEvent::RegistryStale(true)));
    assert!(fleet.log_events(1).iter().any(|event| matches!(event, LogEvent::RegistryBehind { .. })));
    let recovered = fleet.single_owner_at_ms(from) - from as f64;
    print_recovery("one of four sees an old list", recovered);
    assert!(recovered <= 9_000.0, "{recovered} ms");
    for controller in &fleet.controllers {
        let is_reported =
            fleet.reports(&controller.name).any(|(_, report)| report.host.as_deref() == Some("s-new"));
        assert_eq!(is_reported, fleet.subset(&controller.name).contains("s-new"), "{}", controller.name);
    }
    let back = fleet.now_ms;
    fleet.silence_list(1, false);
    fleet.run(8_000);
    assert!(!served_by(&fleet, 1).is_empty());
    print_recovery("its list is fresh again", fleet.single_owner_at_ms(back) - back as f64);
    assert_all_counts_exact(&fleet);
    assert_budget(&fleet);
}

#[test]
fn change_missed_on_a_live_watch_is_recovered() {
    let mut fleet = fleet();
    let from = fleet.now_ms as f64;
    fleet.change_registry(|replicas| _ = replicas.insert("s-new".into(), replica("s-new", 0)));
    let new = fleet.controllers.iter().find(|controller| fleet.subset(&controller.name).contains("s-new"));
    let owner = fleet.owners(&new.unwrap().name)[0];
    fleet.freeze_list(owner);
    fleet.run(15_000);
    let first_reports = fleet.controllers.iter().flat_map(|controller| {
        let own = fleet.subset(&controller.name).contains("s-new").then_some(&controller.name);
        own.map(|name| {
            let mut reports = fleet.reports(name);
            let first = reports.find(|(_, report)| report.host.as_deref() == Some("s-new"));
            first.unwrap().0.at_ms
        })
    });
    let recovered = first_reports.fold(0.0, f64::max) - from;
    print_recovery(
        "one of four misses a change of the list, until all are told of the new replica",
        recovered,
    );
    assert!(recovered <= 9_500.0, "{recovered} ms");
    assert_all_counts_exact(&fleet);
}

#[test]
fn zone_named_by_an_unauthenticated_peer_is_not_missing() {
    let mut fleet = fleet();
    let from = fleet.now_ms as f64;
    for machine in 0..4 {
        fleet.connect_unauthenticated_peer(machine, "a-zone-that-is-none");
    }
    fleet.run(5_000);
    for controller in &fleet.controllers {
        let mut after = fleet.reports(&controller.name).filter(|(line, _)| line.at_ms > from);
        assert!(after.all(|(_, report)| report.missing == 0));
    }
}

#[test]
fn all_aggregators_keep_serving_if_all_lists_are_outdated() {
    let mut fleet = fleet();
    (0..4).for_each(|machine| fleet.silence_list(machine, true));
    fleet.run(20_000);
    let all: usize = (0..4).map(|machine| served_by(&fleet, machine).len()).sum();
    assert_eq!(all, 12);
    let (gap, overlap) = fleet.gaps_and_overlaps_ms(0);
    assert!(gap < 0.01 && overlap < 0.01, "{gap} ms of gaps, {overlap} ms of overlaps");
    assert!((0..4).all(|machine| fleet.log_events(machine).contains(&LogEvent::RegistryStale(true))));
}

#[test]
fn windows_of_two_aggregators_of_one_controller_overlap() {
    let mut fleet = Fleet::settled(24, 60, 3, 10, BUDGET);
    // Aggregators 0 and 1 do not receive each other's heartbeats; the other two receive both.
    fleet.block_heartbeats(0, 1);
    fleet.block_heartbeats(1, 0);
    fleet.run(10_000);
    let twice = fleet.controllers.iter().filter(|controller| fleet.owners(&controller.name).len() == 2);
    assert!(twice.count() > 0);
    // The lines of each connection are exact and complete. Only the windows of different connections overlap.
    assert_all_counts_exact(&fleet);
    assert_eq!(fleet.last_undercount_ms(), None);
    let (gap, overlap) = fleet.gaps_and_overlaps_ms(20_000);
    assert!(gap < 0.01, "{gap} ms are not covered by any line");
    assert!(overlap >= 900.0, "{overlap} ms of overlaps");
}

#[test]
fn aggregators_that_start_together_serve_all_controllers_with_exact_counts() {
    let mut fleet = Fleet::new(12, 60, 3, 10, BUDGET);
    let from = fleet.now_ms;
    for machine in 0..4 {
        fleet.start(machine);
        fleet.run(300);
    }
    fleet.run(12_000);
    let recovered = fleet.single_owner_at_ms(from) - from as f64;
    print_recovery("all four start cold within 1 s", recovered);
    assert!(recovered <= 7_000.0, "{recovered} ms");
    assert_all_counts_exact(&fleet);
    assert_budget(&fleet);
    assert_eq!(fleet.last_undercount_ms(), None);
}

#[test]
fn zone_partitioned_for_an_hour_is_marked_missing_until_it_returns() {
    const HOUR_MS: u64 = 3_600_000;
    let mut fleet = Fleet::settled(3, 9, 3, 4, BUDGET);
    let cut = fleet.now_ms;
    fleet.silent_zones.insert(2);
    fleet.run(HOUR_MS);
    let all_lines_have_missing = |fleet: &Fleet, missing: usize, from: f64, to: f64| {
        let controllers = fleet.controllers.iter().map(|controller| controller.name.clone());
        let mut lines = controllers.flat_map(|controller| {
            let lines = fleet.reports(&controller).filter(|(line, _)| (from..to).contains(&line.at_ms));
            lines.map(|(_, report)| report.missing).collect::<Vec<_>>()
        });
        lines.all(|marked| marked == missing)
    };
    // Each line is marked after the zone timeout, one report period and two simulation steps.
    let marked_from = cut as f64 + 3_700.0;
    assert!(all_lines_have_missing(&fleet, 1, marked_from, fleet.now_ms as f64 + 1.0));
    assert!(fleet.log_events(0).contains(&LogEvent::ZoneMissing("z2".into())));
    let back = fleet.now_ms;
    fleet.silent_zones.remove(&2);
    fleet.run(10_000);
    assert!(fleet.log_events(0).contains(&LogEvent::ZoneBack("z2".into())));
    let last_marked = fleet.controllers.iter().flat_map(|controller| {
        let lines = fleet.reports(&controller.name).filter(|(_, report)| report.missing > 0);
        lines.map(|(line, _)| line.at_ms).collect::<Vec<_>>()
    });
    let recovered = last_marked.fold(0.0, f64::max) - back as f64;
    print_recovery("a zone's collectors are silent for an hour, until no line is marked", recovered);
    assert!(recovered <= 3_000.0, "{recovered} ms");
    assert_all_counts_exact(&fleet);
}

/// Partitions the fleet into two regions, or reconnects them. The first region has half of the machines, zone 0 and
/// half of the controllers; the second has the rest.
fn set_regions_partitioned(fleet: &mut Fleet, partitioned: bool) {
    let names: Vec<_> = fleet.controllers.iter().map(|controller| controller.name.clone()).collect();
    for machine in 0..4 {
        let region = machine / 2;
        for zone in (0..fleet.zones).filter(|zone| (*zone).min(1) != region) {
            match partitioned {
                true => fleet.silence_zone(machine, zone),
                false => fleet.connect_zone(machine, zone),
            }
        }
        for (_, name) in names.iter().enumerate().filter(|(n, _)| n % 2 != region) {
            fleet.set_reachable_from(machine, name, !partitioned);
        }
        for other in (0..4).filter(|other| partitioned && other / 2 != region) {
            fleet.block_heartbeats(machine, other);
        }
    }
    if !partitioned {
        fleet.unblock_heartbeats();
    }
}

#[test]
fn partitioned_regions_serve_their_own_controllers_and_recover() {
    let mut fleet = Fleet::settled(4, 9, 3, 4, BUDGET);
    let cut = fleet.now_ms as f64;
    set_regions_partitioned(&mut fleet, true);
    fleet.run(3_600_000);
    // Each controller gets reports all the time, only from aggregators of its own region, with the zones of the other
    // region marked as missing.
    for (n, controller) in fleet.controllers.iter().enumerate() {
        let during = fleet.reports(&controller.name).filter(|(line, _)| line.at_ms > cut + 10_000.0);
        let during: Vec<_> = during.collect();
        let missing = if n % 2 == 0 { 2 } else { 1 };
        assert!(during
            .iter()
            .all(|(line, report)| line.aggregator / 2 == n % 2 && report.missing == missing));
        assert!(during.len() > 3_500 * 4, "{} gets too few reports", controller.name);
    }
    let back = fleet.now_ms;
    set_regions_partitioned(&mut fleet, false);
    fleet.run(15_000);
    let alone = fleet.single_owner_at_ms(back);
    let last_marked = fleet.controllers.iter().flat_map(|controller| {
        let lines = fleet.reports(&controller.name).filter(|(_, report)| report.missing > 0);
        lines.map(|(line, _)| line.at_ms).collect::<Vec<_>>()
    });
    let recovered = last_marked.fold(alone, f64::max) - back as f64;
    print_recovery("regions lose each other for an hour, until each is told by one of all zones", recovered);
    assert!(recovered <= 10_000.0, "{recovered} ms");
}

#[test]
fn removed_zone_is_missing_for_a_limited_time() {
    let mut fleet = Fleet::settled(1, 2, 2, 2, BUDGET);
    fleet.silent_zones.insert(1);
    for machine in 0..4 {
        fleet.disconnect_zone(machine, 1);
    }
    fleet.run(2 * 3_600_000 + 10_000);
    assert!((0..4).all(|machine| fleet.aggregator(machine).status().zones_missing == 0));
    assert!(fleet.log_events(0).contains(&LogEvent::ZoneExpired("z1".into())));
    let last = fleet.reports("g0").last().unwrap().1.clone();
    assert_eq!(last.missing, 0);
}

#[test]
fn lost_collector_connection_marks_its_zone_missing_at_once() {
    let mut fleet = fleet();
    let machine = (0..4).find(|machine| !served_by(&fleet, *machine).is_empty()).unwrap();
    let cut = fleet.now_ms as f64;
    fleet.disconnect_zone(machine, 1);
    fleet.run(5_000);
    assert_eq!(fleet.last_undercount_ms(), None);
    let marked = |fleet: &Fleet, by: usize| {
        let controllers = fleet.controllers.iter().map(|controller| controller.name.clone());
        controllers
            .flat_map(|controller| {
                let lines =
                    fleet.reports(&controller).filter(|(line, _)| line.aggregator == by && line.at_ms > cut);
                lines.map(|(_, report)| report.missing).collect::<Vec<_>>()
            })
            .filter(|missing| *missing > 0)
            .count()
    };
    assert!(marked(&fleet, machine) > 0);
    assert!((0..4).filter(|other| *other != machine).all(|other| marked(&fleet, other) == 0));
}

#[test]
fn silent_zone_is_marked_missing_after_its_timeout() {
    let mut fleet = fleet();
    let from = fleet.now_ms as f64;
    (0..4).for_each(|machine| fleet.silence_zone(machine, 1));
    fleet.run(10_000);
    let undercount = fleet.last_undercount_ms().unwrap() - from;
    print_recovery("a zone falls silent on open connections, until its lack is marked", undercount);
    assert!(undercount <= 2_700.0, "{undercount} ms");
}

#[test]
fn partitioned_controller_gets_reports_again_with_bounded_windows() {
    let mut fleet = fleet();
    let cut = fleet.now_ms as f64;
    fleet.set_reachable("g3", false);
    fleet.run(60_000);
    assert!(fleet.reports("g3").all(|(line, _)| line.at_ms <= cut));
    let back = fleet.now_ms;
    fleet.set_reachable("g3", true);
    fleet.run(10_000);
    let first = fleet.reports("g3").find(|(line, _)| line.at_ms > back as f64).unwrap();
    let recovered = first.0.at_ms - back as f64;
    print_recovery("a governor is out of reach for a minute and comes back", recovered);
    assert!(recovered <= 6_500.0, "{recovered} ms");
    // The first line covers only the maximum initial window, not the whole minute.
    assert!(first.1.window <= 5_000.0, "{} ms", first.1.window);
    assert_all_counts_exact(&fleet);
}

#[test]
fn reports_match_the_registry_after_470_changes_and_the_loss_of_a_zone() {
    let mut fleet = fleet();
    for change in 0..470 {
        let (old, new) = (format!("s-{}", change % 60), format!("s-{}", (change + 7) % 60));
        fleet.change_registry(|replicas| match change % 3 {
            0 => _ = replicas.remove(&old),
            1 => {
                let id = format!("s-n{}", change % 9);
                replicas.insert(id.clone(), replica(&id, change % 3));
            }
            _ => _ = replicas.insert(new.clone(), replica(&new, change % 3)),
        });
        fleet.run(300);
    }
    fleet.change_registry(|replicas| replicas.retain(|_, entry| entry.zone != "z1"));
    fleet.run(5_000);
    fleet.change_registry(|replicas| {
        (0..20).map(|n| format!("s-b{n}")).for_each(|id| _ = replicas.insert(id.clone(), replica(&id, 1)));
    });
    fleet.run(10_000);
    assert_all_counts_exact(&fleet);
    assert_budget(&fleet);
    for machine in 0..4 {
        let status = fleet.aggregator(machine).status();
        assert_eq!(status.series, status.replicas + 12 * 2 * 2, "unneeded series");
    }
    let after = fleet.now_ms as f64 - 1_100.0;
    for controller in &fleet.controllers {
        let reported = fleet.reports(&controller.name).filter(|(line, _)| line.at_ms > after);
        let reported: BTreeSet<_> = reported.filter_map(|(_, report)| report.host.clone()).collect();
        assert_eq!(reported, fleet.subset(&controller.name), "{}", controller.name);
    }
}

#[test]
fn added_and_removed_controllers_leave_counts_exact_and_one_owner_each() {
    let mut fleet = fleet();
    for round in 0..40 {
        match round % 2 {
            0 => _ = fleet.controllers.remove(round % 11),
            _ => {
                let slice = 100 + round as u32;
                fleet.controllers.push(member(&format!("h{round}"), &[(slice, slice)]));
            }
        }
        fleet.reconfigure();
        fleet.run(1_500);
    }
    fleet.run(5_000);
    assert_all_counts_exact(&fleet);
    assert_budget(&fleet);
    for controller in &fleet.controllers {
        assert_eq!(fleet.owners(&controller.name).len(), 1);
        let is_reported =
            fleet.reports(&controller.name).any(|(line, _)| line.at_ms > fleet.now_ms as f64 - 1_100.0);
        assert!(is_reported, "{} gets no reports", controller.name);
    }
}
