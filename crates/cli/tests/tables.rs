//! The overrides and the status of several controllers in one table.

use whinwall_cli::replies::{ControllerReply, Replies};
use whinwall_cli::tables::{collect_rows, format_rows, format_status, Listing, OverrideRow};
use whinwall_management_api::client::{ClientError, NotSentCause};
use whinwall_management_api::wire::{
    ControllerState, KindName, OverrideItem, OverrideList, ReportState, SubsettingState,
};

fn override_item(id: &str, state: &str, remaining_s: f64) -> OverrideItem {
    OverrideItem {
        id: id.into(),
        kind: KindName::Out,
        replica: "s-1".into(),
        factor: None,
        slices: None,
        author: "mb".into(),
        reason: "disk".into(),
        origin: "request".into(),
        set_at: "2026-12-01T21:30:00Z".into(),
        expires_at: "2026-12-01T22:00:00Z".into(),
        remaining_s,
        state: state.into(),
        cause: None,
    }
}

fn list_replies(lists: &[&[OverrideItem]]) -> Replies<OverrideList> {
    let list = |(n, items): (usize, &&[OverrideItem])| {
        let address = format!("127.0.0.1:{}", 8600 + n).parse().unwrap();
        ControllerReply { address, result: Ok(OverrideList { overrides: items.to_vec() }) }
    };
    Replies(lists.iter().enumerate().map(list).collect())
}

#[test]
fn controllers_with_the_same_overrides_agree() {
    let replies =
        list_replies(&[&[override_item("a", "in force", 600.0)], &[override_item("a", "waiting", 598.0)]]);
    assert!(collect_rows(&replies, Listing::Active).iter().all(OverrideRow::agrees));
}

#[test]
fn controllers_disagree_if_an_override_is_missing_ended_or_expires_later_at_one_of_them() {
    let missing_at_one = list_replies(&[&[override_item("a", "in force", 600.0)], &[]]);
    let rows = collect_rows(&missing_at_one, Listing::Active);
    assert!(!rows[0].agrees());
    let text = format_rows(&rows, 2);
    assert!(text.contains("! 127.0.0.1:8601: missing"), "{text}");
    let cleared_at_one =
        list_replies(&[&[override_item("a", "ended", 0.0)], &[override_item("a", "in force", 600.0)]]);
    assert!(!collect_rows(&cleared_at_one, Listing::Active)[0].agrees());
    let later_expiry_at_one =
        list_replies(&[&[override_item("a", "in force", 600.0)], &[override_item("a", "in force", 900.0)]]);
    assert!(!collect_rows(&later_expiry_at_one, Listing::Active)[0].agrees());
}

#[test]
fn ended_overrides_are_listed_on_request_and_an_unreachable_controller_is_no_disagreement() {
    let mut replies =
        list_replies(&[&[override_item("a", "ended", 0.0), override_item("b", "in force", 9.0)]]);
    let unreachable = "127.0.0.1:8601".parse().unwrap();
    let error = ClientError::NotSent(NotSentCause::ConnectFailed("away".into()));
    replies.0.push(ControllerReply { address: unreachable, result: Err(error) });
    assert_eq!(
        (collect_rows(&replies, Listing::Active).len(), collect_rows(&replies, Listing::All).len()),
        (1, 2)
    );
    assert!(collect_rows(&replies, Listing::All).iter().all(OverrideRow::agrees));
}

fn controller_state() -> ControllerState {
    ControllerState {
        name: "n1".into(),
        version: "0.1.0".into(),
        uptime_s: 65.0,
        proxies: 3,
        slices: 6,
        replicas: 2200,
        has_outstanding_commands: false,
        failures: vec![],
        active_overrides: 0,
        listed_overrides: 0,
        subsetting: None,
        reports: None,
    }
}

#[test]
fn status_contains_fleet_subset_and_reports_if_subsetting_is_on() {
    let without_subsetting = format_status(&controller_state());
    assert!(
        without_subsetting.ends_with("0 active overrides, 0 listed; no failures"),
        "{without_subsetting}"
    );
    let subsetting = SubsettingState {
        controllers: 650,
        aggregators: 4,
        subset_size: 48,
        own_replicas: 51,
        listed_replicas: 2200,
        report_budget_bytes_per_second: 27_000,
    };
    let reports =
        ReportState { bytes_per_second: 21_300.4, age_s: Some(0.84), stale: false, partial_replicas: 0 };
    let with_subsetting = ControllerState {
        subsetting: Some(subsetting),
        reports: Some(reports.clone()),
        ..controller_state()
    };
    let expected = "; steers 51 of 2200 replicas (subset size 48) in a fleet of 650 controllers; \
                    4 aggregators, report budget 27000 bytes/s; receives 21300 bytes/s of reports, \
                    latest report 0.8 s old";
    assert_eq!(format_status(&with_subsetting), format!("{without_subsetting}{expected}"));
    let stale_reports = ReportState { age_s: None, stale: true, partial_replicas: 7, ..reports };
    let text = format_status(&ControllerState { reports: Some(stale_reports), ..with_subsetting });
    let expected = "no report yet, STALE: outlier ejection paused, 7 replicas with partial reports";
    assert!(text.ends_with(expected), "{text}");
}
