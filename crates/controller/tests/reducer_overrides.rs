//! Overrides in the reducer, without sockets and without a store.

mod support;

use quickcheck::{Arbitrary, Gen};
use support::rig::*;
use whinwall_management_api::messages::{Reply, Request};
use whinwall_overrides::{ChangeRequest, ClockReading, NewOverride, OverrideKind, OverrideLimits};
use whinwall_policy::time::Span;
use whinwall_routing::overrides::OverrideConfig;
use whinwall_routing::Event;
use whinwall_transport::StreamError;

impl Rig {
    /// Overrides are switched on, and kept nowhere.
    fn with_overrides(mut self) -> Self {
        let wanted =
            OverrideConfig { limits: OverrideLimits::default(), configured: Vec::new(), has_store: false };
        let reading = ClockReading { boot_id: String::new(), uptime: Span::default(), wall_time: self.now };
        self.apply(Event::OperatorConfigChanged(wanted, reading));
        self
    }

    fn set(&mut self, id: &str, kind: OverrideKind, lasts_ms: u64) {
        let (author, reason, duration) = ("mb".into(), "disk".into(), Span::ms(lasts_ms));
        let order = NewOverride { id: id.into(), kind, author, reason, duration };
        self.apply(Event::ManagementRequest {
            request_id: 1,
            request: Request::Change(ChangeRequest::Set(order)),
        });
        assert!(matches!(self.replies.pop(), Some(Reply::Set { .. })));
        self.drain_input();
    }

    fn out(&mut self, replica: &str, lasts_ms: u64) {
        self.set(replica, OverrideKind::Out { replica: replica.into() }, lasts_ms);
    }

    /// Those that are listed as standing, checked against the time.
    fn standing_overrides(&mut self) -> Vec<String> {
        self.apply(Event::ManagementRequest { request_id: 2, request: Request::List });
        let Some(Reply::Listed { overrides, now }) = self.replies.pop() else { panic!("a list") };
        let standing: Vec<_> = overrides.into_iter().filter(|listed| listed.entry.is_active()).collect();
        assert!(standing.iter().all(|listed| listed.entry.expires_at > now), "one stands after its end");
        standing.into_iter().map(|listed| listed.entry.id).collect()
    }
}

#[test]
fn override_ends_on_time_while_a_request_is_pending() {
    let mut rig = Rig::serving().with_overrides();
    rig.out("s-1", 3000);
    rig.advance_ms(500);
    assert!(rig.requests.join(" ").contains("OUT,s-1;") && !rig.owners().contains("s-1"));
    // A call whose outcome stays unknown holds back all newer orders, and no end.
    rig.drain("s-2");
    let open = rig.pending_request.take().expect("the drain's call");
    for _ in 0..30 {
        rig.now = rig.now + Span::ms(100);
        rig.apply(OUTCOME_UNKNOWN);
        rig.drain_input();
        rig.pending_request = None;
    }
    assert!(rig.standing_overrides().is_empty());
    assert!(!rig.requests.join(" ").contains("IN,s-1"), "nothing newer before it: {open}");
    rig.apply(OUTCOME_UNKNOWN);
    rig.drain_input();
    rig.advance_ms(1000);
    assert!(rig.requests.join(" ").contains("IN,s-1"), "and then at once");
}

#[test]
fn override_follows_its_replica_under_another_id() {
    let mut rig = Rig::serving().with_overrides();
    rig.out("s-1", 3_600_000);
    rig.advance_ms(1000);
    // It leaves, is forgotten, and its name returns.
    rig.replicas.remove("s-1");
    rig.send_list();
    rig.advance_ms(60_000);
    rig.replicas.insert("s-1".into(), "active");
    rig.send_list();
    rig.advance_ms(60_000);
    assert!(!rig.owners().contains("s-1"), "out of service still");
    assert_eq!(rig.standing_overrides(), ["s-1"]);
    // One for a replica that nobody has heard of waits for it.
    rig.out("s-77", 3_600_000);
    rig.replicas.insert("s-77".into(), "active");
    rig.send_list();
    rig.advance_ms(60_000);
    assert!(!rig.owners().contains("s-77"));
}

#[test]
fn wall_clock_step_prolongs_no_override() {
    let mut rig = Rig::serving().with_overrides();
    rig.out("s-1", 10_000);
    rig.apply(Event::WallClockStepped(rig.now - Span::ms(7_200_000)));
    rig.advance_ms(10_000);
    assert!(rig.standing_overrides().is_empty());
    rig.out("s-2", 10_000);
    rig.apply(Event::WallClockStepped(rig.now + Span::ms(7_200_000)));
    rig.advance_ms(9000);
    assert_eq!(rig.standing_overrides(), ["s-2"], "forwards it has its time");
}

#[test]
fn thousand_overrides_of_one_end_end_in_one_turn() {
    let mut rig = Rig::serving().with_overrides();
    for n in 0..1000 {
        let replica = format!("s-{}", n % 6);
        rig.set(&format!("p{n}"), OverrideKind::Pin { first: n, last: n, replica }, 60_000);
    }
    rig.advance_ms(30_000);
    assert_eq!(rig.standing_overrides().len(), 1000);
    rig.advance_ms(30_000);
    assert!(rig.standing_overrides().is_empty());
}

/// Lists, drains, overrides and their ends, calls lost and news broken off, drawn: the store has no bare
/// table and no unknown replica (the rig looks on), nothing stands after its end, and in the end what drains
/// has nothing.
#[derive(Clone, Debug)]
struct Operated(Vec<(u8, u8)>);

impl Arbitrary for Operated {
    fn arbitrary(gen: &mut Gen) -> Self {
        Operated((0..30).map(|_| (u8::arbitrary(gen), u8::arbitrary(gen))).collect())
    }
}

#[test]
fn rules_hold_and_overrides_end_under_drawn_requests() {
    fn holds(days: Operated) -> bool {
        let mut rig = Rig::serving().with_overrides();
        for (n, (deed, figure)) in days.0.into_iter().enumerate() {
            let (id, replica) = (format!("o{n}"), format!("s-{}", figure % 6));
            let lasts = 1000 + u64::from(figure) * 50;
            let first = u32::from(figure % 12);
            match deed % 8 {
                0 => rig.set(&id, OverrideKind::Out { replica }, lasts),
                1 => rig.set(
                    &id,
                    OverrideKind::Weight { replica, factor: f64::from(figure) / 20.0 + 0.05 },
                    lasts,
                ),
                2 | 3 => rig.set(&id, OverrideKind::Pin { first, last: first + 3, replica }, lasts),
                4 if rig.replicas.values().filter(|state| **state == "leaving").count() < 2 => {
                    rig.drain(&replica);
                }
                5 => {
                    rig.replicas.insert(replica, "active");
                    rig.send_list();
                }
                6 => {
                    rig.apply(Event::RelayWatchLost(StreamError::Closed));
                    rig.advance_ms(200);
                    rig.resend_snapshot_if_requested();
                }
                _ if rig.pending_request.take().is_some() => {
                    rig.apply(OUTCOME_UNKNOWN);
                    rig.drain_input();
                }
                _ => {}
            }
            rig.advance_ms(700);
            rig.standing_overrides();
        }
        rig.advance_ms(20_000);
        let gone: Vec<_> =
            rig.replicas.iter().filter(|(_, s)| **s == "leaving").map(|(n, _)| n.clone()).collect();
        rig.standing_overrides().is_empty()
            && gone.iter().all(|replica| !rig.owners().contains(replica.as_str()))
    }
    quickcheck::QuickCheck::new().tests(60).quickcheck(holds as fn(Operated) -> bool);
}
