//! Reports to controllers in a fleet without failures.

mod virtual_fleet;

use std::collections::BTreeSet;
use virtual_fleet::Fleet;
use whinwall_aggregation::log_event::LogEvent;

const BUDGET: u64 = 27_000;

#[test]
fn each_controller_gets_reports_of_its_subset_and_slices_from_one_aggregator() {
    let mut fleet = Fleet::settled(12, 60, 3, 10, BUDGET);
    fleet.run(5_000);
    for controller in fleet.controllers.clone() {
        assert_eq!(fleet.owners(&controller.name).len(), 1);
        let loads = fleet.reports(&controller.name).filter_map(|(_, report)| report.host.clone());
        assert_eq!(loads.collect::<BTreeSet<_>>(), fleet.subset(&controller.name));
        let slices = fleet.reports(&controller.name).filter_map(|(_, report)| report.partition);
        let (first, last) = controller.slices[0];
        assert_eq!(slices.collect::<BTreeSet<_>>(), (first..=last).collect());
    }
}

#[test]
fn counts_are_exact_and_windows_leave_no_gap() {
    let mut fleet = Fleet::settled(12, 60, 3, 10, BUDGET);
    fleet.run(20_000);
    let zones = fleet.all_zones();
    fleet.assert_counts_exact(|_| zones.clone());
    let (gap, overlap) = fleet.gaps_and_overlaps_ms(0);
    assert!(gap < 0.01 && overlap < 0.01, "{gap} ms of gaps, {overlap} ms of overlaps");
}

#[test]
fn lines_have_the_same_zone_and_a_window_of_one_period() {
    let fleet = Fleet::settled(4, 20, 3, 8, BUDGET);
    for (line, report) in fleet.reports("g0").filter(|(line, _)| line.at_ms > 20_000.0) {
        assert!(report.az.as_ref().is_none_or(|zone| zone == "z0"));
        assert_eq!(report.window, 1000.0, "at {}", line.at_ms);
        assert_eq!(report.missing, 0);
    }
    let after = fleet.reports("g0").filter(|(line, _)| line.at_ms > 20_000.0).count();
    assert!(after > 0);
}

#[test]
fn unlisted_replica_is_reported_to_no_controller() {
    let mut fleet = Fleet::settled(4, 20, 3, 8, BUDGET);
    fleet.change_registry(|replicas| _ = replicas.remove("s-3"));
    fleet.run(3_000);
    let removed_at = fleet.now_ms as f64;
    fleet.run(5_000);
    for controller in 0..4 {
        let mut reports =
            fleet.reports(&format!("g{controller}")).filter(|(line, _)| line.at_ms > removed_at);
        assert!(reports.all(|(_, report)| report.host.as_deref() != Some("s-3")));
    }
}

#[test]
fn idle_replica_is_reported_with_a_count_of_0() {
    let mut fleet = Fleet::settled(4, 20, 3, 8, BUDGET);
    let id = fleet.subset("g0").pop_first().unwrap();
    fleet.idle_replicas.insert(id.clone());
    fleet.run(1_100);
    let from = fleet.now_ms as f64;
    fleet.run(20_000);
    let is_about_replica = |report: &virtual_fleet::ReportLine| report.host.as_ref() == Some(&id);
    let lines = fleet.reports("g0").filter(|(line, report)| line.at_ms > from && is_about_replica(report));
    let lines: Vec<_> = lines.map(|(_, report)| (report.n, report.window)).collect();
    assert!(lines.len() >= 6, "{lines:?}");
    assert!(lines.iter().all(|(n, window)| *n == 0.0 && (2_500.0..=3_000.0).contains(window)), "{lines:?}");
    // When attempts resume, the window covers the time since the last line.
    fleet.idle_replicas.clear();
    fleet.run(5_000);
    let (gap, _) = fleet.gaps_and_overlaps_ms(20_000);
    assert!(gap < 0.01, "{gap} ms of gaps");
    let zones = fleet.all_zones();
    fleet.assert_counts_exact(|_| zones.clone());
}

#[test]
fn nothing_is_reported_without_a_collector() {
    let mut fleet = Fleet::settled(4, 20, 3, 8, BUDGET);
    fleet.reporting = false;
    fleet.run(8_000);
    let from = fleet.now_ms as f64;
    fleet.run(20_000);
    for controller in 0..4 {
        let after = fleet.reports(&format!("g{controller}")).filter(|(line, _)| line.at_ms > from);
        assert_eq!(after.count(), 0);
    }
}

#[test]
fn budgets_hold_over_any_second_and_no_key_waits_longer_than_the_maximum_window() {
    // About two fifths of the bytes that would be sent without a budget.
    let budget = 1_800;
    let mut fleet = Fleet::settled(6, 60, 3, 30, budget);
    fleet.run(30_000);
    let over_budget_batches: u64 =
        (0..4).map(|machine| fleet.aggregator(machine).counters().over_budget_batches).sum();
    assert!(over_budget_batches > 0, "all lines fitted into the budget");
    for seconds in 1..=10 {
        let bytes = fleet.max_bytes_within(seconds as f64 * 1000.0);
        assert!(bytes <= seconds * budget as usize, "{bytes} bytes in {seconds} s");
    }
    let longest = (0..6).map(|number| format!("g{number}")).flat_map(|controller| {
        let windows = fleet.reports(&controller).filter(|(line, _)| line.at_ms > 22_000.0);
        windows.map(|(_, report)| report.window).collect::<Vec<_>>()
    });
    let longest = longest.fold(0.0, f64::max);
    assert!(longest <= 5_000.0, "a key waited for {longest} ms");
    let zones = fleet.all_zones();
    fleet.assert_counts_exact(|_| zones.clone());
}

#[test]
fn budget_too_small_for_a_subset_is_logged_and_not_exceeded() {
    // The budget fits two or three lines, and there are 34 keys.
    let budget = 900;
    let mut fleet = Fleet::settled(2, 60, 3, 30, budget);
    fleet.run(30_000);
    let bytes = fleet.max_bytes_within(1000.0);
    assert!(bytes <= budget as usize, "{bytes} bytes within 1 s, budget {budget}");
    let events = (0..4).flat_map(|machine| fleet.log_events(machine));
    assert!(events.into_iter().any(|event| matches!(event, LogEvent::BudgetTooSmall { .. })));
    let zones = fleet.all_zones();
    fleet.assert_counts_exact(|_| zones.clone());
}
