//! Tests of overrides in the reducer, without sockets and without an override store.

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
    /// Enables overrides without a store.
    fn with_overrides(mut self) -> Self {
        let config =
            OverrideConfig { limits: OverrideLimits::default(), configured: Vec::new(), has_store: false };
        let reading = ClockReading { boot_id: String::new(), uptime: Span::default(), wall_time: self.now };
        self.apply(Event::OperatorConfigChanged(config, reading));
        self
    }

    fn set(&mut self, id: &str, kind: OverrideKind, duration_ms: u64) {
        let (author, reason, duration) = ("mb".into(), "disk".into(), Span::ms(duration_ms));
        let new_override = NewOverride { id: id.into(), kind, author, reason, duration };
        self.apply(Event::ManagementRequest {
            request_id: 1,
            request: Request::Change(ChangeRequest::Set(new_override)),
        });
        assert!(matches!(self.replies.pop(), Some(Reply::Set { .. })));
        self.drain_input();
    }

    fn out(&mut self, replica: &str, duration_ms: u64) {
        self.set(replica, OverrideKind::Out { replica: replica.into() }, duration_ms);
    }

    /// Returns the ids of the overrides that are listed as active. Panics if one of them has expired.
    fn active_override_ids(&mut self) -> Vec<String> {
        self.apply(Event::ManagementRequest { request_id: 2, request: Request::List });
        let Some(Reply::Listed { overrides, now }) = self.replies.pop() else {
            panic!("no list of overrides in the reply")
        };
        let active: Vec<_> = overrides.into_iter().filter(|listed| listed.entry.is_active()).collect();
        assert!(
            active.iter().all(|listed| listed.entry.expires_at > now),
            "an override is active after its expiry"
        );
        active.into_iter().map(|listed| listed.entry.id).collect()
    }
}

#[test]
fn override_ends_on_time_while_a_request_is_pending() {
    let mut rig = Rig::serving().with_overrides();
    rig.out("s-1", 3000);
    rig.advance_ms(500);
    assert!(rig.requests.join(" ").contains("OUT,s-1;") && !rig.owners().contains("s-1"));
    // A relay request of unknown outcome delays all newer commands, but not the expiry of an override.
    rig.drain("s-2");
    let pending = rig.pending_request.take().expect("no relay request for the drain");
    for _ in 0..30 {
        rig.now = rig.now + Span::ms(100);
        rig.apply(OUTCOME_UNKNOWN);
        rig.drain_input();
        rig.pending_request = None;
    }
    assert!(rig.active_override_ids().is_empty());
    assert!(
        !rig.requests.join(" ").contains("IN,s-1"),
        "a newer command was sent before the pending request: {pending}"
    );
    rig.apply(OUTCOME_UNKNOWN);
    rig.drain_input();
    rig.advance_ms(1000);
    assert!(rig.requests.join(" ").contains("IN,s-1"), "the reinstatement follows the pending request");
}

#[test]
fn override_applies_to_its_replica_after_the_replica_returns() {
    let mut rig = Rig::serving().with_overrides();
    rig.out("s-1", 3_600_000);
    rig.advance_ms(1000);
    // The replica leaves, the reducer removes it, and it is listed again under the same name.
    rig.replicas.remove("s-1");
    rig.send_list();
    rig.advance_ms(60_000);
    rig.replicas.insert("s-1".into(), "active");
    rig.send_list();
    rig.advance_ms(60_000);
    assert!(!rig.owners().contains("s-1"), "the override still applies");
    assert_eq!(rig.active_override_ids(), ["s-1"]);
    // An override for an unknown replica applies once the replica is listed.
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
    assert!(rig.active_override_ids().is_empty());
    rig.out("s-2", 10_000);
    rig.apply(Event::WallClockStepped(rig.now + Span::ms(7_200_000)));
    rig.advance_ms(9000);
    assert_eq!(rig.active_override_ids(), ["s-2"], "a step forwards does not shorten the override");
}

#[test]
fn thousand_overrides_with_one_expiry_end_together() {
    let mut rig = Rig::serving().with_overrides();
    for n in 0..1000 {
        let replica = format!("s-{}", n % 6);
        rig.set(&format!("p{n}"), OverrideKind::Pin { first: n, last: n, replica }, 60_000);
    }
    rig.advance_ms(30_000);
    assert_eq!(rig.active_override_ids().len(), 1000);
    rig.advance_ms(30_000);
    assert!(rig.active_override_ids().is_empty());
}

/// Random endpoint lists, drains, overrides, expiries, lost relay requests and lost watches. The store never has an
/// empty table or an unknown replica (checked by the rig), no override is active after its expiry, and at the end no
/// draining replica owns a slice.
#[derive(Clone, Debug)]
struct RandomOperations(Vec<(u8, u8)>);

impl Arbitrary for RandomOperations {
    fn arbitrary(gen: &mut Gen) -> Self {
        RandomOperations((0..30).map(|_| (u8::arbitrary(gen), u8::arbitrary(gen))).collect())
    }
}

#[test]
fn rules_hold_and_overrides_end_under_random_requests() {
    fn holds(operations: RandomOperations) -> bool {
        let mut rig = Rig::serving().with_overrides();
        for (n, (action, value)) in operations.0.into_iter().enumerate() {
            let (id, replica) = (format!("o{n}"), format!("s-{}", value % 6));
            let duration = 1000 + u64::from(value) * 50;
            let first = u32::from(value % 12);
            match action % 8 {
                0 => rig.set(&id, OverrideKind::Out { replica }, duration),
                1 => rig.set(
                    &id,
                    OverrideKind::Weight { replica, factor: f64::from(value) / 20.0 + 0.05 },
                    duration,
                ),
                2 | 3 => rig.set(&id, OverrideKind::Pin { first, last: first + 3, replica }, duration),
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
            rig.active_override_ids();
        }
        rig.advance_ms(20_000);
        let draining: Vec<_> =
            rig.replicas.iter().filter(|(_, state)| **state == "leaving").map(|(id, _)| id.clone()).collect();
        rig.active_override_ids().is_empty()
            && draining.iter().all(|replica| !rig.owners().contains(replica.as_str()))
    }
    quickcheck::QuickCheck::new().tests(60).quickcheck(holds as fn(RandomOperations) -> bool);
}
