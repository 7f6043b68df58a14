//! The clerk: what is asked, kept, refused by the disk, cleared meanwhile, restored and repeated.

use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use whinwall_overrides::{
    encoding, ChangeReply, ChangeRequest, ClockReading, ClockStamp, ConfiguredOverride, Durability,
    NewOverride, OverrideController, OverrideEffect, OverrideError, OverrideKind, OverrideLimits,
};
use whinwall_policy::time::{Moment, Span};

fn at(ms: u64) -> Moment {
    Moment::at_ns((1_800_000_000_000 + ms) * 1_000_000)
}

fn reading(ms: u64) -> ClockReading {
    ClockReading { boot_id: "a".into(), uptime: Span::ms(ms), wall_time: at(ms) }
}

fn order(id: &str, replica: &str, lasts_ms: u64) -> NewOverride {
    let (kind, duration) = (OverrideKind::Out { replica: replica.into() }, Span::ms(lasts_ms));
    NewOverride { id: id.into(), kind, author: "mb".into(), reason: "disk".into(), duration }
}

fn set(id: &str) -> ChangeRequest {
    ChangeRequest::Set(order(id, &format!("s-{id}"), 60_000))
}

/// A clerk with the disk that it writes to, each job done or refused by word.
struct Office {
    clerk: OverrideController,
    disk: BTreeMap<u64, Vec<u8>>,
    stamp: Option<Vec<u8>>,
    now: u64,
    answers: BTreeMap<u64, ChangeReply>,
    notes: Vec<String>,
    open: Option<(u64, OverrideEffect)>,
}

impl Office {
    fn new(has_store: bool) -> Self {
        let limits = OverrideLimits { max_active: 300, ..OverrideLimits::default() };
        Office {
            clerk: if has_store {
                OverrideController::with_store(at(0), &reading(0), limits)
            } else {
                OverrideController::in_memory(at(0), &reading(0), limits)
            },
            disk: BTreeMap::new(),
            stamp: None,
            now: 0,
            answers: BTreeMap::new(),
            notes: Vec::new(),
            open: None,
        }
    }

    fn opened() -> Self {
        let mut office = Office::new(true);
        office.restore();
        office
    }

    fn restore(&mut self) {
        let records: Vec<_> = self.disk.iter().map(|(n, bytes)| (*n, bytes.clone())).collect();
        self.clerk.handle_store_read(at(self.now), &reading(self.now), self.stamp.as_deref(), &records);
        self.acts();
    }

    /// Killed and started again, with what the disk has.
    fn restart(&mut self) {
        let fresh = Office::new(true);
        (self.clerk, self.open) = (fresh.clerk, None);
        self.restore();
    }

    fn acts(&mut self) {
        for act in self.clerk.take_effects() {
            match act {
                OverrideEffect::Save { serial, .. } => {
                    assert!(self.open.replace((serial, act)).is_none(), "one job at a time");
                }
                OverrideEffect::Reply { request_id, reply } => {
                    assert!(
                        self.answers.insert(request_id, reply).is_none(),
                        "{request_id} is answered twice"
                    );
                }
                OverrideEffect::Log(event) => self.notes.push(event.to_string()),
            }
        }
    }

    fn ask(&mut self, ticket: u64, ask: ChangeRequest) {
        self.clerk.handle_request(at(self.now), ticket, ask);
        self.acts();
    }

    fn write(&mut self) -> Option<u64> {
        let (serial, act) = self.open.take()?;
        let OverrideEffect::Save { writes, removals, timeline, .. } = act else { panic!("a job") };
        self.disk.extend(writes);
        self.disk.retain(|number, _| !removals.contains(number));
        let stamp = ClockStamp { reading: reading(self.now), position: timeline.to_persistent(at(self.now)) };
        self.stamp = Some(encoding::encode_stamp(&stamp));
        Some(serial)
    }

    /// The disk does, or refuses, what is open; false where nothing is.
    fn disk(&mut self, does: bool) -> bool {
        let serial = match does {
            true => self.write(),
            false => self.open.take().map(|(serial, _)| serial),
        };
        let Some(serial) = serial else { return false };
        let outcome = if does { Ok(()) } else { Err("full".into()) };
        self.clerk.handle_save_outcome(at(self.now), serial, outcome);
        self.acts();
        true
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        if self.clerk.next_tick_at().is_some_and(|due| due <= at(self.now)) {
            self.clerk.tick(at(self.now));
            self.acts();
        }
    }

    fn standing(&self) -> Vec<&str> {
        self.clerk.registry().active().map(|one| one.id.as_str()).collect()
    }

    /// What a new life would find.
    fn on_disk(&self) -> Vec<String> {
        let mut other = Office::new(true);
        (other.disk, other.stamp, other.now) = (self.disk.clone(), self.stamp.clone(), self.now);
        other.restore();
        other.standing().into_iter().map(str::to_string).collect()
    }
}

#[test]
fn an_order_stands_once_it_is_on_disk() {
    let mut office = Office::opened();
    office.ask(1, set("a"));
    assert!(office.standing().is_empty() && office.answers.is_empty());
    assert!(!office.clerk.take_changed() || office.standing().is_empty());
    office.disk(true);
    assert_eq!(office.standing(), ["a"]);
    assert!(office.clerk.take_changed());
    assert!(matches!(
        office.answers[&1],
        ChangeReply::Set { is_repeat: false, durability: Durability::OnDisk, .. }
    ));
    office.ask(2, set("a"));
    assert!(matches!(office.answers[&2], ChangeReply::Set { is_repeat: true, .. }));
    office.ask(3, ChangeRequest::Set(order("a", "other", 60_000)));
    assert_eq!(office.answers[&3], ChangeReply::Rejected(OverrideError::IdInUse { id: "a".into() }));
}

#[test]
fn what_the_disk_refuses_has_not_been_even_if_it_came_through() {
    let mut office = Office::opened();
    office.ask(1, set("a"));
    office.disk(false);
    assert_eq!(office.answers[&1], ChangeReply::NotStored("full".into()));
    assert!(office.standing().is_empty());
    // Written, though the disk said no: it is taken off the disk with the next job.
    office.ask(2, set("b"));
    let serial = office.write().unwrap();
    office.clerk.handle_save_outcome(at(office.now), serial, Err("flush".into()));
    office.acts();
    assert_eq!(office.on_disk(), ["b"], "until then it is there");
    office.pass(5000);
    assert!(office.disk(true), "tried again by itself");
    assert!(office.on_disk().is_empty() && office.standing().is_empty());
    assert!(office.notes.iter().any(|note| note.contains("override store recovered")));
    office.ask(3, set("b"));
    office.disk(true);
    assert_eq!(office.on_disk(), ["b"]);
}

#[test]
fn clearing_asks_for_no_disk_and_expiry_neither() {
    let mut office = Office::opened();
    for (ticket, id) in [(1, "a"), (2, "b")] {
        office.ask(ticket, set(id));
        office.disk(true);
    }
    // The disk hangs over a third one.
    office.ask(3, set("c"));
    office.ask(4, ChangeRequest::Clear { id: "a".into(), by: "mb".into() });
    assert_eq!(office.standing(), ["b"], "at once");
    office.pass(60_000);
    assert!(office.standing().is_empty(), "ended, whatever the disk does");
    assert!(!office.answers.contains_key(&4), "nobody is told it is kept before it is");
    office.disk(false);
    assert!(matches!(office.answers[&3], ChangeReply::NotStored(_)));
    office.disk(false);
    assert!(matches!(office.answers[&4], ChangeReply::Cleared { durability: Durability::Pending(_), .. }));
    office.pass(5000);
    while office.disk(true) {}
    assert!(office.on_disk().is_empty());
}

#[test]
fn orders_wait_for_their_store_and_too_many_are_turned_away() {
    let mut office = Office::new(true);
    office.ask(1, set("a"));
    assert!(matches!(office.answers[&1], ChangeReply::NotStored(_)), "not read yet");
    office.clerk.handle_store_unavailable("in use");
    office.clerk.handle_store_unavailable("in use");
    office.acts();
    assert_eq!(office.notes.len(), 1, "said once: {:?}", office.notes);
    office.restore();
    for ticket in 10..300 {
        office.ask(ticket, set(&ticket.to_string()));
    }
    let busy = office.answers.values().filter(|answer| **answer == ChangeReply::Busy).count();
    assert_eq!(busy, 290 - 256 - 1, "one is with the disk, 256 wait");
    while office.disk(true) {}
    assert_eq!(office.standing().len(), 257);
}

#[test]
fn a_thousand_ends_are_one_job() {
    let mut office = Office::opened();
    for n in 0..300 {
        office.ask(n, ChangeRequest::Set(order(&format!("o{n}"), &format!("s-{n}"), 60_000)));
        office.disk(true);
    }
    office.pass(60_000);
    assert!(office.standing().is_empty());
    assert!(office.disk(true));
    assert!(!office.disk(true), "no second job");
    assert_eq!(office.clerk.next_tick_at(), None, "and nothing more to do");
}

#[test]
fn the_files_overrides_stand_before_the_store_is_read_and_after() {
    let mut office = Office::opened();
    office.ask(1, set("a"));
    office.disk(true);
    office.restart();
    let file = |until| {
        let NewOverride { id, kind, author, reason, .. } = order("f-1", "s-9", 0);
        vec![ConfiguredOverride { id, kind, author, reason, expires_at: at(until) }]
    };
    let mut fresh = Office::new(true);
    (fresh.disk, fresh.stamp) = (office.disk.clone(), office.stamp.clone());
    fresh.clerk.apply_configuration(at(0), at(0), OverrideLimits::default(), file(30_000)).unwrap();
    assert_eq!(fresh.standing(), ["f-1"]);
    fresh.clerk.handle_store_unavailable("in use");
    fresh.restore();
    assert_eq!(fresh.standing(), ["a", "f-1"], "{:?}", fresh.notes);
    while fresh.disk(true) {}
    assert_eq!(fresh.on_disk(), ["a", "f-1"]);
    // The wall went forwards by 20 s: the file's ends ten seconds from now, the other one in sixty.
    fresh.clerk.handle_wall_clock_step(at(0), at(20_000));
    fresh.pass(10_000);
    assert_eq!(fresh.standing(), ["a"]);
}

#[test]
fn without_a_store_all_is_done_at_once_and_nothing_piles_up() {
    let mut office = Office::new(false);
    for n in 0..500 {
        office.ask(n, ChangeRequest::Set(order(&format!("o{n}"), "s-1", 1000)));
        office.pass(1000);
    }
    assert!(matches!(office.answers[&7], ChangeReply::Set { durability: Durability::InMemory, .. }));
    assert!(office.open.is_none() && office.clerk.registry().unsaved().is_empty());
    assert!(office.clerk.registry().listed().count() <= 301);
}

/// Orders, clears, a disk that does, refuses or writes and says no, time, kills.
#[derive(Clone, Debug)]
struct Days(Vec<(u8, u8)>);

impl Arbitrary for Days {
    fn arbitrary(gen: &mut Gen) -> Self {
        Days((0..60).map(|_| (u8::arbitrary(gen), u8::arbitrary(gen))).collect())
    }
}

#[test]
fn acknowledged_is_on_disk_and_refused_does_not_come_up() {
    fn holds(days: Days) -> bool {
        let mut office = Office::opened();
        let mut asked: BTreeMap<u64, String> = BTreeMap::new();
        for (n, (deed, figure)) in days.0.into_iter().enumerate() {
            let ticket = n as u64;
            match deed % 8 {
                0..=2 => {
                    asked.insert(ticket, format!("o{}", figure % 12));
                    office.ask(ticket, set(&format!("o{}", figure % 12)));
                }
                3 => {
                    let id = format!("o{}", figure % 12);
                    office.ask(ticket, ChangeRequest::Clear { id, by: "mb".into() });
                }
                4 | 5 => _ = office.disk(true),
                6 => match figure % 3 {
                    0 => _ = office.disk(false),
                    1 => {
                        if let Some(serial) = office.write() {
                            office.clerk.handle_save_outcome(at(office.now), serial, Err("flush".into()));
                            office.acts();
                        }
                    }
                    _ => office.pass(u64::from(figure) * 100),
                },
                _ => office.restart(),
            }
            for one in office.clerk.registry().active() {
                assert!(one.expires_at > at(office.now), "{} stands after its end", one.id);
            }
            let on_disk = office.on_disk();
            for id in office.standing() {
                assert!(on_disk.iter().any(|kept| kept == id), "{id} stands and is not on disk");
            }
        }
        // With a disk that works again, both are the same.
        while office.disk(true) {}
        office.pass(5001);
        while office.disk(true) {}
        office.on_disk() == office.standing()
    }
    quickcheck::QuickCheck::new().tests(300).quickcheck(holds as fn(Days) -> bool);
}
