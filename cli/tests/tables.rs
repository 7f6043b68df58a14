//! What several governors said, side by side.

use whinwall_cli::answers::Said;
use whinwall_cli::tables::*;
use whinwall_management::client::Failure;
use whinwall_management::wire::{Item, KindName, List};

fn item(id: &str, state: &str, left_s: f64) -> Item {
    Item {
        id: id.into(),
        kind: KindName::Out,
        server: "s-1".into(),
        factor: None,
        slices: None,
        author: "mb".into(),
        reason: "disk".into(),
        origin: "request".into(),
        set: "2026-12-01T21:30:00Z".into(),
        ends: "2026-12-01T22:00:00Z".into(),
        left_s,
        state: state.into(),
        cause: None,
    }
}

fn said(lists: &[&[Item]]) -> Said<List> {
    let list = |(n, items): (usize, &&[Item])| {
        let place = format!("127.0.0.1:{}", 8600 + n).parse().unwrap();
        (place, Ok(List { overrides: items.to_vec() }))
    };
    lists.iter().enumerate().map(list).collect()
}

#[test]
fn governors_that_hold_the_same_agree() {
    let both = said(&[&[item("a", "in force", 600.0)], &[item("a", "waiting", 598.0)]]);
    assert!(rows(&both, false).iter().all(Row::agrees));
}

#[test]
fn a_governor_that_was_away_when_it_was_set_or_cleared_is_shown() {
    let missing = said(&[&[item("a", "in force", 600.0)], &[]]);
    let shown = rows(&missing, false);
    assert!(!shown[0].agrees());
    let text = list(&shown, 2);
    assert!(text.contains("! 127.0.0.1:8601: missing"), "{text}");
    let cleared = said(&[&[item("a", "ended", 0.0)], &[item("a", "in force", 600.0)]]);
    assert!(!rows(&cleared, false)[0].agrees());
    let late = said(&[&[item("a", "in force", 600.0)], &[item("a", "in force", 900.0)]]);
    assert!(!rows(&late, false)[0].agrees());
}

#[test]
fn ended_ones_are_shown_on_request_and_a_silent_governor_is_no_disagreement() {
    let mut both = said(&[&[item("a", "ended", 0.0), item("b", "in force", 9.0)]]);
    let silent = "127.0.0.1:8601".parse().unwrap();
    both.push((silent, Err(Failure::NotSent("away".into()))));
    assert_eq!((rows(&both, false).len(), rows(&both, true).len()), (1, 2));
    assert!(rows(&both, true).iter().all(Row::agrees));
}
