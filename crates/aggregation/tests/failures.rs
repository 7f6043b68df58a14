//! What controllers are told while aggregators, zones, discovery or members fail, in virtual time. The times to
//! recover that `docs/design/aggregation.md` has are printed by `cargo test -p whinwall-aggregation --test failures
//! -- --nocapture`.

mod virtual_fleet;

use std::collections::BTreeSet;
use virtual_fleet::{member, replica, Fleet, Health};
use whinwall_aggregation::log_event::LogEvent;

const BUDGET: u64 = 27_000;
/// Suspicion, the dial, and the controller's turn.
const TAKEN_OVER_MS: f64 = 3_500.0;
/// Heartbeats until an aggregator counts as alive again, the hold after a start, the dial, and the turn.
const RETURNED_MS: f64 = 6_500.0;

fn fleet() -> Fleet {
    Fleet::settled(12, 60, 3, 10, BUDGET)
}

fn record(what: &str, ms: f64) {
    println!("recovery: {what}: {ms:.0} ms (virtual time)");
}

fn assert_exact(fleet: &Fleet) {
    let zones = fleet.all_zones();
    fleet.assert_counts_exact(|_| zones.clone());
}

fn assert_budget(fleet: &Fleet) {
    assert!(fleet.most_bytes_within(1000.0) <= BUDGET as usize);
}

/// The controllers that a machine serves.
fn served_by(fleet: &Fleet, machine: usize) -> BTreeSet<String> {
    fleet.aggregator(machine).owned().map(str::to_string).collect()
}

#[test]
fn one_of_four_aggregators_crashes() {
    let mut fleet = fleet();
    let (from, lost) = (fleet.now_ms, served_by(&fleet, 2));
    assert!(!lost.is_empty());
    fleet.kill(2);
    fleet.run(10_000);
    let recovered = fleet.served_alone_at_ms(from) - from as f64;
    record("one of four dies", recovered);
    assert!(recovered <= TAKEN_OVER_MS, "{recovered} ms");
    let (gap, _) = fleet.gaps_and_overlaps_ms(from - 2_000);
    assert!(gap < 0.01, "{gap} ms are in no line");
    assert_exact(&fleet);
    assert_budget(&fleet);
    // Only the dead one's controllers changed hands.
    let others = fleet.controllers.iter().filter(|controller| !lost.contains(&controller.name));
    for controller in others {
        let by: BTreeSet<_> = fleet
            .reports(&controller.name)
            .filter(|(heard, _)| heard.at_ms > from as f64)
            .map(|(heard, _)| heard.connection)
            .collect();
        assert_eq!(by.len(), 1, "{} was handed over", controller.name);
    }
}

#[test]
fn one_of_four_aggregators_hangs_and_resumes() {
    let mut fleet = fleet();
    let from = fleet.now_ms;
    fleet.set_health(1, Health::Hung);
    fleet.run(10_000);
    let went_on = fleet.now_ms;
    let taken_over = |fleet: &Fleet| {
        let others = (0..4).filter(|machine| *machine != 1).map(|machine| served_by(fleet, machine).len());
        others.sum::<usize>()
    };
    assert_eq!(taken_over(&fleet), 12);
    fleet.set_health(1, Health::Well);
    fleet.run(10_000);
    let recovered = fleet.served_alone_at_ms(went_on) - went_on as f64;
    record("one of four hangs for 10 s and goes on, from then", recovered);
    assert!(recovered <= RETURNED_MS, "{recovered} ms");
    assert_eq!(fleet.aggregator(1).counters().stalls, 1);
    assert!(fleet.notes(1).iter().any(|note| matches!(note, LogEvent::Stalled(_))));
    let (gap, _) = fleet.gaps_and_overlaps_ms(from - 2_000);
    assert!(gap < 0.01, "{gap} ms are in no line");
    assert_exact(&fleet);
    assert_budget(&fleet);
    assert_eq!(fleet.last_silent_lack_ms(), None);
}

#[test]
fn one_of_four_aggregators_restarts() {
    let mut fleet = fleet();
    let from = fleet.now_ms;
    let before = served_by(&fleet, 3);
    fleet.kill(3);
    fleet.run(1_000);
    fleet.start(3);
    fleet.run(15_000);
    let recovered = fleet.served_alone_at_ms(from) - from as f64;
    record("one of four restarts within 1 s", recovered);
    assert!(recovered <= 1_000.0 + RETURNED_MS, "{recovered} ms");
    assert_eq!(served_by(&fleet, 3), before);
    let (gap, _) = fleet.gaps_and_overlaps_ms(from - 2_000);
    assert!(gap < 0.01, "{gap} ms are in no line");
    assert_exact(&fleet);
    assert_budget(&fleet);
    assert_eq!(fleet.last_silent_lack_ms(), None);
}

#[test]
fn one_of_four_aggregators_is_slow() {
    let mut fleet = fleet();
    let from = fleet.now_ms;
    fleet.set_health(0, Health::Slow(15));
    fleet.run(20_000);
    // It is late and says so: its windows are longer, and what it says covers all time.
    let (gap, _) = fleet.gaps_and_overlaps_ms(from - 2_000);
    assert!(gap < 0.01, "{gap} ms are in no line");
    assert_exact(&fleet);
    assert_budget(&fleet);
    assert_eq!(fleet.last_silent_lack_ms(), None);
    let healthy = fleet.now_ms;
    fleet.set_health(0, Health::Well);
    fleet.run(5_000);
    let recovered = fleet.served_alone_at_ms(healthy) - healthy as f64;
    record("one of four runs each 1.5 s only, from when it is well", recovered);
    assert!(recovered <= 2_000.0, "{recovered} ms");
}

#[test]
fn one_of_four_aggregators_has_an_outdated_list() {
    let mut fleet = fleet();
    let from = fleet.now_ms;
    assert!(!served_by(&fleet, 1).is_empty());
    fleet.silence_list(1, true);
    fleet.list(|replicas| _ = replicas.insert("s-new".into(), replica("s-new", 0)));
    fleet.run(12_000);
    // Those with a fresh list serve its controllers, so that all are told of the new replica.
    assert!(served_by(&fleet, 1).is_empty());
    assert!(fleet.notes(1).contains(&LogEvent::RegistryStale(true)));
    assert!(fleet.notes(1).iter().any(|note| matches!(note, LogEvent::RegistryBehind { .. })));
    let recovered = fleet.served_alone_at_ms(from) - from as f64;
    record("one of four sees an old list", recovered);
    assert!(recovered <= 9_000.0, "{recovered} ms");
    for controller in &fleet.controllers {
        let told = fleet.reports(&controller.name).any(|(_, told)| told.host.as_deref() == Some("s-new"));
        assert_eq!(told, fleet.subset(&controller.name).contains("s-new"), "{}", controller.name);
    }
    let back = fleet.now_ms;
    fleet.silence_list(1, false);
    fleet.run(8_000);
    assert!(!served_by(&fleet, 1).is_empty());
    record("its list is fresh again", fleet.served_alone_at_ms(back) - back as f64);
    assert_exact(&fleet);
    assert_budget(&fleet);
}

#[test]
fn one_of_four_aggregators_misses_a_change_on_a_live_watch() {
    let mut fleet = fleet();
    let from = fleet.now_ms as f64;
    fleet.list(|replicas| _ = replicas.insert("s-new".into(), replica("s-new", 0)));
    let new = fleet.controllers.iter().find(|controller| fleet.subset(&controller.name).contains("s-new"));
    let serves_it = fleet.owners(&new.unwrap().name)[0];
    fleet.stick_list(serves_it);
    fleet.run(15_000);
    let told = fleet.controllers.iter().flat_map(|controller| {
        let own = fleet.subset(&controller.name).contains("s-new").then_some(&controller.name);
        own.map(|name| {
            let mut reports = fleet.reports(name);
            let first = reports.find(|(_, told)| told.host.as_deref() == Some("s-new"));
            first.unwrap().0.at_ms
        })
    });
    let recovered = told.fold(0.0, f64::max) - from;
    record("one of four misses a change of the list, until all are told of the new replica", recovered);
    assert!(recovered <= 9_500.0, "{recovered} ms");
    assert_exact(&fleet);
}

#[test]
fn zone_named_by_an_unauthenticated_peer_is_not_missing() {
    let mut fleet = fleet();
    let from = fleet.now_ms as f64;
    for machine in 0..4 {
        fleet.stranger(machine, "a-zone-that-is-none");
    }
    fleet.run(5_000);
    for controller in &fleet.controllers {
        let mut after = fleet.reports(&controller.name).filter(|(heard, _)| heard.at_ms > from);
        assert!(after.all(|(_, told)| told.missing == 0));
    }
}

#[test]
fn all_aggregators_serve_where_all_lists_are_outdated() {
    let mut fleet = fleet();
    (0..4).for_each(|machine| fleet.silence_list(machine, true));
    fleet.run(20_000);
    let all: usize = (0..4).map(|machine| served_by(&fleet, machine).len()).sum();
    assert_eq!(all, 12);
    let (gap, overlap) = fleet.gaps_and_overlaps_ms(0);
    assert!(gap < 0.01 && overlap < 0.01, "{gap} ms of gaps, {overlap} ms of overlaps");
    assert!((0..4).all(|machine| fleet.notes(machine).contains(&LogEvent::RegistryStale(true))));
}

#[test]
fn windows_of_two_aggregators_of_one_controller_overlap() {
    let mut fleet = Fleet::settled(24, 60, 3, 10, BUDGET);
    // Neither hears the other, and the other two hear both.
    fleet.deafen(0, 1);
    fleet.deafen(1, 0);
    fleet.run(10_000);
    let twice = fleet.controllers.iter().filter(|controller| fleet.owners(&controller.name).len() == 2);
    assert!(twice.count() > 0);
    // Each connection's lines are exact and whole by themselves; what two say overlaps, and can be told by time.
    assert_exact(&fleet);
    assert_eq!(fleet.last_silent_lack_ms(), None);
    let (gap, overlap) = fleet.gaps_and_overlaps_ms(20_000);
    assert!(gap < 0.01, "{gap} ms are in no line");
    assert!(overlap >= 900.0, "{overlap} ms of overlaps");
}

#[test]
fn all_four_aggregators_start_at_once() {
    let mut fleet = Fleet::new(12, 60, 3, 10, BUDGET);
    let from = fleet.now_ms;
    for machine in 0..4 {
        fleet.start(machine);
        fleet.run(300);
    }
    fleet.run(12_000);
    let recovered = fleet.served_alone_at_ms(from) - from as f64;
    record("all four start cold within 1 s", recovered);
    assert!(recovered <= 7_000.0, "{recovered} ms");
    assert_exact(&fleet);
    assert_budget(&fleet);
    assert_eq!(fleet.last_silent_lack_ms(), None);
}

#[test]
fn zone_is_partitioned_for_an_hour_and_returns() {
    const HOUR_MS: u64 = 3_600_000;
    let mut fleet = Fleet::settled(3, 9, 3, 4, BUDGET);
    let cut = fleet.now_ms;
    fleet.silent_zones.insert(2);
    fleet.run(HOUR_MS);
    let during = |fleet: &Fleet, missing: usize, from: f64, to: f64| {
        let controllers = fleet.controllers.iter().map(|controller| controller.name.clone());
        let mut lines = controllers.flat_map(|controller| {
            let lines = fleet.reports(&controller).filter(|(heard, _)| (from..to).contains(&heard.at_ms));
            lines.map(|(_, told)| told.missing).collect::<Vec<_>>()
        });
        lines.all(|marked| marked == missing)
    };
    let noticed = cut as f64 + 3_700.0;
    assert!(during(&fleet, 1, noticed, fleet.now_ms as f64 + 1.0));
    assert!(fleet.notes(0).contains(&LogEvent::ZoneMissing("z2".into())));
    let back = fleet.now_ms;
    fleet.silent_zones.remove(&2);
    fleet.run(10_000);
    assert!(fleet.notes(0).contains(&LogEvent::ZoneBack("z2".into())));
    let last_marked = fleet.controllers.iter().flat_map(|controller| {
        let lines = fleet.reports(&controller.name).filter(|(_, told)| told.missing > 0);
        lines.map(|(heard, _)| heard.at_ms).collect::<Vec<_>>()
    });
    let recovered = last_marked.fold(0.0, f64::max) - back as f64;
    record("a zone's collectors are silent for an hour, until no line is marked", recovered);
    assert!(recovered <= 3_000.0, "{recovered} ms");
    assert_exact(&fleet);
}

/// Two regions: the first has half of the machines, zone 0 and half of the controllers, the second has the rest.
fn set_regions_apart(fleet: &mut Fleet, apart: bool) {
    let names: Vec<_> = fleet.controllers.iter().map(|controller| controller.name.clone()).collect();
    for machine in 0..4 {
        let region = machine / 2;
        for zone in (0..fleet.zones).filter(|zone| (*zone).min(1) != region) {
            match apart {
                true => fleet.mute_zone(machine, zone),
                false => fleet.join_zone(machine, zone),
            }
        }
        for (_, name) in names.iter().enumerate().filter(|(n, _)| n % 2 != region) {
            fleet.set_reachable_from(machine, name, !apart);
        }
        for other in (0..4).filter(|other| apart && other / 2 != region) {
            fleet.deafen(machine, other);
        }
    }
    if !apart {
        fleet.undeafen();
    }
}

#[test]
fn regions_are_partitioned_for_an_hour() {
    let mut fleet = Fleet::settled(4, 9, 3, 4, BUDGET);
    let cut = fleet.now_ms as f64;
    set_regions_apart(&mut fleet, true);
    fleet.run(3_600_000);
    // Each controller is told all the time, by its own side alone and of what that hears: the rest is marked.
    for (n, controller) in fleet.controllers.iter().enumerate() {
        let during = fleet.reports(&controller.name).filter(|(heard, _)| heard.at_ms > cut + 10_000.0);
        let during: Vec<_> = during.collect();
        let lacks = if n % 2 == 0 { 2 } else { 1 };
        assert!(during.iter().all(|(heard, told)| heard.aggregator / 2 == n % 2 && told.missing == lacks));
        assert!(during.len() > 3_500 * 4, "{} is told too little", controller.name);
    }
    let back = fleet.now_ms;
    set_regions_apart(&mut fleet, false);
    fleet.run(15_000);
    let alone = fleet.served_alone_at_ms(back);
    let last_marked = fleet.controllers.iter().flat_map(|controller| {
        let lines = fleet.reports(&controller.name).filter(|(_, told)| told.missing > 0);
        lines.map(|(heard, _)| heard.at_ms).collect::<Vec<_>>()
    });
    let recovered = last_marked.fold(alone, f64::max) - back as f64;
    record("regions lose each other for an hour, until each is told by one of all zones", recovered);
    assert!(recovered <= 10_000.0, "{recovered} ms");
}

#[test]
fn removed_zone_is_missing_for_a_time_only() {
    let mut fleet = Fleet::settled(1, 2, 2, 2, BUDGET);
    fleet.silent_zones.insert(1);
    for machine in 0..4 {
        fleet.cut_zone(machine, 1);
    }
    fleet.run(2 * 3_600_000 + 10_000);
    assert!((0..4).all(|machine| fleet.aggregator(machine).status().zones_missing == 0));
    assert!(fleet.notes(0).contains(&LogEvent::ZoneForgotten("z1".into())));
    let last = fleet.reports("g0").last().unwrap().1.clone();
    assert_eq!(last.missing, 0);
}

#[test]
fn broken_collector_connection_marks_its_zone_missing_at_once() {
    let mut fleet = fleet();
    let machine = (0..4).find(|machine| !served_by(&fleet, *machine).is_empty()).unwrap();
    let cut = fleet.now_ms as f64;
    fleet.cut_zone(machine, 1);
    fleet.run(5_000);
    assert_eq!(fleet.last_silent_lack_ms(), None);
    let marked = |fleet: &Fleet, by: usize| {
        let controllers = fleet.controllers.iter().map(|controller| controller.name.clone());
        controllers
            .flat_map(|controller| {
                let lines = fleet
                    .reports(&controller)
                    .filter(|(heard, _)| heard.aggregator == by && heard.at_ms > cut);
                lines.map(|(_, told)| told.missing).collect::<Vec<_>>()
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
    (0..4).for_each(|machine| fleet.mute_zone(machine, 1));
    fleet.run(10_000);
    let lack = fleet.last_silent_lack_ms().unwrap() - from;
    record("a zone falls silent on open connections, until its lack is marked", lack);
    assert!(lack <= 2_700.0, "{lack} ms");
}

#[test]
fn controller_is_partitioned_and_returns() {
    let mut fleet = fleet();
    let cut = fleet.now_ms as f64;
    fleet.set_reachable("g3", false);
    fleet.run(60_000);
    assert!(fleet.reports("g3").all(|(heard, _)| heard.at_ms <= cut));
    let back = fleet.now_ms;
    fleet.set_reachable("g3", true);
    fleet.run(10_000);
    let first = fleet.reports("g3").find(|(heard, _)| heard.at_ms > back as f64).unwrap();
    let recovered = first.0.at_ms - back as f64;
    record("a governor is out of reach for a minute and comes back", recovered);
    assert!(recovered <= 6_500.0, "{recovered} ms");
    // It is not told of the minute, only of as far back as a late start goes.
    assert!(first.1.window <= 5_000.0, "{} ms", first.1.window);
    assert_exact(&fleet);
}

#[test]
fn list_changes_470_times_and_loses_a_zone_at_once() {
    let mut fleet = fleet();
    for change in 0..470 {
        let (old, new) = (format!("s-{}", change % 60), format!("s-{}", (change + 7) % 60));
        fleet.list(|replicas| match change % 3 {
            0 => _ = replicas.remove(&old),
            1 => {
                let id = format!("s-n{}", change % 9);
                replicas.insert(id.clone(), replica(&id, change % 3));
            }
            _ => _ = replicas.insert(new.clone(), replica(&new, change % 3)),
        });
        fleet.run(300);
    }
    fleet.list(|replicas| replicas.retain(|_, entry| entry.zone != "z1"));
    fleet.run(5_000);
    fleet.list(|replicas| {
        (0..20).map(|n| format!("s-b{n}")).for_each(|id| _ = replicas.insert(id.clone(), replica(&id, 1)));
    });
    fleet.run(10_000);
    assert_exact(&fleet);
    assert_budget(&fleet);
    for machine in 0..4 {
        let status = fleet.aggregator(machine).status();
        assert_eq!(status.series, status.replicas + 12 * 2 * 2, "series that nobody needs");
    }
    let after = fleet.now_ms as f64 - 1_100.0;
    for controller in &fleet.controllers {
        let told = fleet.reports(&controller.name).filter(|(heard, _)| heard.at_ms > after);
        let told: BTreeSet<_> = told.filter_map(|(_, told)| told.host.clone()).collect();
        assert_eq!(told, fleet.subset(&controller.name), "{}", controller.name);
    }
}

#[test]
fn controllers_are_added_and_removed() {
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
    assert_exact(&fleet);
    assert_budget(&fleet);
    for controller in &fleet.controllers {
        assert_eq!(fleet.owners(&controller.name).len(), 1);
        let told =
            fleet.reports(&controller.name).any(|(heard, _)| heard.at_ms > fleet.now_ms as f64 - 1_100.0);
        assert!(told, "{} hears nothing", controller.name);
    }
}
