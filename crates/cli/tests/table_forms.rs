//! The exact text of the tables for people and the exact JSON for scripts.

use whinwall_cli::replies::{ControllerReply, Replies};
use whinwall_cli::tables::{self, Listing};
use whinwall_management_api::client::{ClientError, NotSentCause, UnknownOutcomeCause};
use whinwall_management_api::wire::{
    ChangeOutcome, ControllerState, ErrorBody, KindName, OverrideItem, OverrideList, RepeatedFailure,
    ReportState, SubsettingState,
};

fn override_item(id: &str, kind: KindName) -> OverrideItem {
    OverrideItem {
        id: id.into(),
        kind,
        replica: "s-1".into(),
        factor: (kind == KindName::Weight).then_some(0.5),
        slices: (kind == KindName::Pin).then(|| "4-9".into()),
        author: "mb".into(),
        reason: "disk is failing".into(),
        origin: "request".into(),
        set_at: "2026-12-01T21:30:00Z".into(),
        expires_at: "2026-12-01T22:00:00Z".into(),
        remaining_s: 1_800.0,
        state: "in force".into(),
        cause: None,
    }
}

fn suspended(id: &str) -> OverrideItem {
    let cause = Some("no other server is well".into());
    OverrideItem { state: "suspended".into(), cause, ..override_item(id, KindName::Out) }
}

fn list_replies(lists: &[&[OverrideItem]]) -> Replies<OverrideList> {
    let list = |(n, items): (usize, &&[OverrideItem])| {
        let address = format!("127.0.0.1:{}", 8600 + n).parse().unwrap();
        ControllerReply { address, result: Ok(OverrideList { overrides: items.to_vec() }) }
    };
    Replies(lists.iter().enumerate().map(list).collect())
}

#[test]
fn table_of_overrides_matches_its_fixture() {
    let items = [override_item("w", KindName::Weight), suspended("out-1"), override_item("p", KindName::Pin)];
    let rows = tables::collect_rows(&list_replies(&[&items]), Listing::Active);
    assert_eq!(tables::format_rows(&rows, 1), include_str!("fixtures/override-list.txt"));
}

#[test]
fn table_of_overrides_has_notes_where_controllers_disagree() {
    let rows = tables::collect_rows(&list_replies(&[&[suspended("a")], &[]]), Listing::Active);
    assert_eq!(tables::format_rows(&rows, 2), include_str!("fixtures/override-list-disagreement.txt"));
}

#[test]
fn empty_table_of_overrides_is_one_line() {
    assert_eq!(tables::format_rows(&[], 1), "no overrides\n");
}

#[test]
fn overrides_match_their_json() {
    let rows = tables::collect_rows(&list_replies(&[&[suspended("a")], &[]]), Listing::Active);
    let item = r#"{"author":"mb","cause":"no other server is well","ends":"2026-12-01T22:00:00Z","id":"a","kind":"out","left_s":1800.0,"origin":"request","reason":"disk is failing","server":"s-1","set":"2026-12-01T21:30:00Z","state":"suspended"}"#;
    let expected = format!(
        r#"{{"overrides":[{{"agrees":false,"governors":{{"127.0.0.1:8600":{item},"127.0.0.1:8601":null}},"id":"a"}}]}}"#
    );
    assert_eq!(tables::format_rows_as_json(&rows), expected);
}

fn format_outcome(durability: &str, item: OverrideItem) -> String {
    tables::format_outcome(&ChangeOutcome { outcome: "set".into(), durability: durability.into(), item })
}

#[test]
fn outcome_of_an_override_on_disk_matches_its_text() {
    let expected = "a set: s-1 out of service, ends 2026-12-01T22:00:00Z (30m); in force";
    assert_eq!(format_outcome("on disk", override_item("a", KindName::Out)), expected);
}

#[test]
fn outcome_of_an_override_that_is_not_on_disk_matches_its_text() {
    let expected = "a set: s-1 out of service, ends 2026-12-01T22:00:00Z (30m); in force";
    let in_memory = format!("{expected}; in memory only: lost when the controller stops");
    assert_eq!(format_outcome("nowhere", override_item("a", KindName::Out)), in_memory);
    let pending = format!("{expected}; not on disk yet: full");
    assert_eq!(format_outcome("not on disk yet: full", override_item("a", KindName::Out)), pending);
}

#[test]
fn outcome_of_an_ended_override_matches_its_text() {
    let cause = Some("expired at 2026-12-01T22:00:00Z".into());
    let ended = OverrideItem { state: "ended".into(), cause, ..override_item("a", KindName::Out) };
    let expected = "a set: s-1 out of service; ended: expired at 2026-12-01T22:00:00Z";
    assert_eq!(format_outcome("on disk", ended), expected);
}

fn controller_state() -> ControllerState {
    ControllerState {
        name: "n1".into(),
        version: "0.1.0".into(),
        uptime_s: 65.0,
        proxies: 3,
        slices: 6,
        replicas: 2200,
        has_outstanding_commands: true,
        failures: vec![RepeatedFailure { source: "discovery".into(), count: 4 }],
        active_overrides: 1,
        listed_overrides: 2,
        subsetting: Some(SubsettingState {
            controllers: 650,
            aggregators: 4,
            subset_size: 48,
            own_replicas: 51,
            listed_replicas: 2200,
            report_budget_bytes_per_second: 27_000,
        }),
        reports: Some(ReportState {
            bytes_per_second: 21_300.4,
            age_s: Some(0.84),
            stale: true,
            partial_replicas: 7,
        }),
    }
}

#[test]
fn status_with_every_field_matches_its_text() {
    let expected = "n1 0.1.0, up 1m5s; 3 proxies, 6 slices, 2200 replicas; 1 active overrides, 2 listed; \
                    failing: discovery (4 times in a row); commands to the relay outstanding; steers 51 of 2200 \
                    replicas (subset size 48) in a fleet of 650 controllers; 4 aggregators, report budget 27000 \
                    bytes/s; receives 21300 bytes/s of reports, latest report 0.8 s old, STALE: outlier ejection \
                    paused, 7 replicas with partial reports";
    assert_eq!(tables::format_status(&controller_state()), expected);
}

#[test]
fn status_without_failures_matches_its_text() {
    let state = ControllerState {
        has_outstanding_commands: false,
        failures: vec![],
        subsetting: None,
        reports: None,
        ..controller_state()
    };
    let expected = "n1 0.1.0, up 1m5s; 3 proxies, 6 slices, 2200 replicas; 1 active overrides, 2 listed; \
                    no failures";
    assert_eq!(tables::format_status(&state), expected);
}

#[test]
fn errors_of_calls_match_their_text() {
    assert_eq!(
        ClientError::NotSent(NotSentCause::ConnectFailed("away".into())).to_string(),
        "request not sent: away"
    );
    assert_eq!(
        ClientError::OutcomeUnknown(UnknownOutcomeCause::ExchangeFailed("cut off".into())).to_string(),
        "outcome unknown: cut off"
    );
    assert_eq!(
        ClientError::Unavailable { code: 503, body: ErrorBody::new("busy") }.to_string(),
        "request cannot be carried out now: busy"
    );
    assert_eq!(
        ClientError::Rejected { code: 404, body: ErrorBody::new("no such override") }.to_string(),
        "request rejected: no such override"
    );
}
