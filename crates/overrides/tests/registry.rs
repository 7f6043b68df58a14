//! The book of overrides: ends, repeats, replacements, restarts, clocks, and what is on disk.

use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use whinwall_overrides::{
    encoding, text, ClockReading, ClockStamp, ConfiguredOverride, EndCause, Ending, InvalidField,
    NewOverride, OverrideError, OverrideKind, OverrideLimits, OverrideRegistry, Proposal, RegistryChange,
    RestoredRegistry, Timeline,
};
use whinwall_policy::time::{Moment, Span};

const START_S: u64 = 1_800_000_000;

fn at(s: u64) -> Moment {
    Moment::at_ns((START_S + s) * 1_000_000_000)
}

fn s(seconds: u64) -> Span {
    Span::ms(seconds * 1000)
}

fn reading(boot: &str, since_boot_s: u64, wall_s: u64) -> ClockReading {
    ClockReading { boot_id: boot.into(), uptime: s(since_boot_s), wall_time: at(wall_s) }
}

fn book() -> OverrideRegistry {
    let line = Timeline::resume(at(0), &reading("a", 100, 0), None).timeline;
    OverrideRegistry::new(OverrideLimits { max_active: 5, ..OverrideLimits::default() }, line)
}

fn out(id: &str, replica: &str, seconds: u64) -> NewOverride {
    let kind = OverrideKind::Out { replica: replica.into() };
    NewOverride { id: id.into(), kind, author: "mb".into(), reason: "disk".into(), duration: s(seconds) }
}

fn pin(id: &str, first: u32, last: u32) -> NewOverride {
    NewOverride { kind: OverrideKind::Pin { first, last, replica: "s-1".into() }, ..out(id, "", 60) }
}

fn set(book: &mut OverrideRegistry, now: Moment, order: &NewOverride) {
    match book.propose_set(now, order) {
        Ok(Proposal::Change(change)) => book.apply(change),
        other => panic!("{other:?}"),
    }
}

fn standing(book: &OverrideRegistry) -> Vec<&str> {
    book.active().map(|one| one.id.as_str()).collect()
}

/// What a disk would hold, and a new life's book from it.
#[derive(Default)]
struct Disk {
    records: BTreeMap<u64, Vec<u8>>,
    stamp: Option<ClockStamp>,
}

impl Disk {
    fn keep(&mut self, book: &OverrideRegistry, now: Moment, reading: ClockReading, change: &RegistryChange) {
        for one in &change.writes {
            self.records.insert(one.number, encoding::encode_override(one, book.timeline()));
        }
        change.removals.iter().for_each(|number| _ = self.records.remove(number));
        let stamp = ClockStamp { reading, position: book.timeline().to_persistent(now) };
        self.stamp = Some(encoding::decode_stamp(&encoding::encode_stamp(&stamp)).unwrap());
    }

    fn life(&self, now: Moment, reading: ClockReading) -> OverrideRegistry {
        let kept: Vec<_> = self.records.iter().map(|(number, bytes)| (*number, bytes.clone())).collect();
        let bounds = OverrideLimits { max_active: 5, ..OverrideLimits::default() };
        let RestoredRegistry { registry: book, unreadable: wrong } =
            OverrideRegistry::restore(bounds, now, &reading, self.stamp.as_ref(), &kept);
        assert!(wrong.is_empty(), "{wrong:?}");
        book
    }
}

#[test]
fn it_stands_until_its_end_and_not_a_moment_longer() {
    let mut book = book();
    set(&mut book, at(0), &out("a", "s-1", 60));
    assert_eq!(book.next_expiry(), Some(at(60)));
    assert!(!book.expire_due(at(59)));
    assert!(book.expire_due(at(75)));
    let one = book.get_by_id("a").unwrap();
    assert_eq!(
        (standing(&book).len(), one.ended.clone()),
        (0, Some(Ending { at: at(60), cause: EndCause::Expired }))
    );
    // Said again after its end, it is what it was, and does not stand again.
    assert_eq!(book.propose_set(at(76), &out("a", "s-1", 60)), Ok(Proposal::Unchanged(1)));
}

#[test]
fn a_repeat_sets_nothing_twice_and_prolongs_nothing() {
    let mut book = book();
    let proposed = book.propose_set(at(0), &out("a", "s-1", 60)).unwrap();
    assert_eq!(standing(&book).len(), 0, "a proposal changes nothing");
    let Proposal::Change(change) = proposed else { panic!("it is new") };
    book.apply(change.clone());
    book.apply(change);
    assert_eq!(book.propose_set(at(30), &out("a", "s-1", 60)), Ok(Proposal::Unchanged(1)));
    assert_eq!(book.next_expiry(), Some(at(60)));
    let other = book.propose_set(at(30), &out("a", "s-2", 60));
    assert_eq!(other, Err(OverrideError::IdInUse { id: "a".into() }));
}

#[test]
fn a_newer_one_takes_the_place_of_what_it_contradicts() {
    let mut book = book();
    set(&mut book, at(0), &out("a", "s-1", 60));
    set(&mut book, at(1), &out("b", "s-1", 600));
    assert_eq!(
        book.get_by_id("a").unwrap().ended,
        Some(Ending { at: at(1), cause: EndCause::Replaced { by: "b".into() } })
    );
    set(&mut book, at(2), &pin("c", 3, 5));
    set(&mut book, at(3), &pin("d", 4, 9));
    assert_eq!(standing(&book), ["b", "c", "d"], "an overlap leaves the older one its rest");
    set(&mut book, at(4), &pin("e", 0, 9));
    assert_eq!(standing(&book), ["b", "e"]);
}

#[test]
fn bounds_hold_and_name_what_is_wrong() {
    let mut book = book();
    let wrong = |order: NewOverride| match book.propose_set(at(0), &order) {
        Err(OverrideError::InvalidField(InvalidField { field, .. })) => field,
        other => panic!("{other:?}"),
    };
    assert_eq!(wrong(out("a b", "s-1", 60)), "id");
    assert_eq!(wrong(out("a", "", 60)), "server");
    assert_eq!(wrong(out("a", "s-1", 0)), "for");
    assert_eq!(wrong(out("a", "s-1", 90_000)), "for");
    assert_eq!(wrong(NewOverride { reason: " ".into(), ..out("a", "s-1", 60) }), "reason");
    assert_eq!(wrong(NewOverride { author: "x\n".into(), ..out("a", "s-1", 60) }), "author");
    assert_eq!(wrong(pin("a", 5, 4)), "slices");
    for factor in [0.0, f64::NAN, -1.0, 1e9] {
        let kind = OverrideKind::Weight { replica: "s-1".into(), factor };
        assert_eq!(wrong(NewOverride { kind, ..out("a", "", 60) }), "factor");
    }
    for n in 0..5 {
        set(&mut book, at(0), &out(&format!("o{n}"), &format!("s-{n}"), 60));
    }
    assert_eq!(
        book.propose_set(at(0), &out("more", "s-9", 60)),
        Err(OverrideError::LimitReached { limit: 5 })
    );
    // Taking another's place needs none.
    set(&mut book, at(0), &out("instead", "s-0", 60));
}

#[test]
fn ended_ones_are_listed_for_a_time_and_leave_the_disk() {
    let mut book = book();
    for n in 0..20 {
        set(&mut book, at(n), &out(&format!("o{n}"), "s-1", 60));
    }
    book.expire_due(at(1000));
    book.prune_ended(at(1000));
    assert_eq!(book.listed().count(), 5);
    assert_eq!(book.unsaved().removals.len(), 15);
    let change = book.unsaved();
    book.mark_saved(&change);
    assert!(book.unsaved().is_empty());
    book.prune_ended(at(200_000));
    assert_eq!((book.listed().count(), book.get_by_id("o19")), (0, None));
}

#[test]
fn a_thousand_end_in_the_same_second() {
    let mut book = book();
    book.set_limits(OverrideLimits::default());
    for n in 0..1000 {
        set(&mut book, at(0), &out(&format!("o{n}"), &format!("s-{n}"), 60));
    }
    assert!(book.expire_due(at(60)));
    assert_eq!((book.active().count(), book.next_expiry()), (0, None));
}

#[test]
fn a_restart_neither_prolongs_nor_loses() {
    let (book, mut disk) = (book(), Disk::default());
    let Ok(Proposal::Change(change)) = book.propose_set(at(0), &out("a", "s-1", 60)) else {
        panic!("it is new")
    };
    disk.keep(&book, at(0), reading("a", 100, 0), &change);
    // The same start of the machine: 20 s were passed, whatever the wall's clock says.
    for wall_s in [20, 5000, 1] {
        let life = disk.life(at(wall_s), reading("a", 120, wall_s));
        assert_eq!(life.next_expiry(), Some(at(wall_s + 40)), "wall at {wall_s}");
    }
    // Another start: the wall tells.
    assert_eq!(disk.life(at(20), reading("b", 3, 20)).next_expiry(), Some(at(60)));
    let late = disk.life(at(70), reading("b", 3, 70));
    assert_eq!(late.get_by_id("a").unwrap().ended, Some(Ending { at: at(60), cause: EndCause::Expired }));
    // The wall went back meanwhile: nobody knows how long we were away.
    let back = ClockReading { wall_time: at(0) - s(7200), ..reading("b", 3, 0) };
    let life = disk.life(at(0) - s(7200), back);
    assert_eq!(life.get_by_id("a").unwrap().ended.clone().unwrap().cause, EndCause::ClockWentBack);
}

#[test]
fn spoilt_records_are_told_and_the_others_are_read() {
    let (mut book, mut disk) = (book(), Disk::default());
    for (n, order) in [out("a", "s-1", 60), pin("b", 0, 3)].iter().enumerate() {
        let Ok(Proposal::Change(change)) = book.propose_set(at(0), order) else { panic!("{n} is new") };
        disk.keep(&book, at(0), reading("a", 100, 0), &change);
        book.apply(change);
    }
    let whole = disk.records[&1].clone();
    for at_byte in 0..whole.len() {
        disk.records.get_mut(&1).unwrap()[at_byte] ^= 0x20;
        let kept: Vec<_> = disk.records.iter().map(|(n, bytes)| (*n, bytes.clone())).collect();
        let reading = reading("a", 101, 1);
        let RestoredRegistry { registry: life, unreadable: wrong } =
            OverrideRegistry::restore(OverrideLimits::default(), at(1), &reading, disk.stamp.as_ref(), &kept);
        assert_eq!((standing(&life), wrong.len()), (vec!["b"], 1), "byte {at_byte}");
        disk.records.insert(1, whole.clone());
    }
    assert!(encoding::decode_override(&whole[..3], book.timeline()).is_err());
}

fn file(id: &str, replica: &str, until_s: u64) -> ConfiguredOverride {
    let NewOverride { id, kind, author, reason, .. } = out(id, replica, 0);
    ConfiguredOverride { id, kind, author, reason, expires_at: at(until_s) }
}

#[test]
fn the_file_says_what_stands_and_what_was_cleared_stays_so() {
    let mut book = book();
    let read = |book: &mut OverrideRegistry, now_s, orders: &[ConfiguredOverride]| {
        let change = book.propose_configured(at(now_s), at(now_s), orders)?;
        book.apply(change);
        Ok::<_, OverrideError>(())
    };
    let orders = [file("f-1", "s-1", 600), file("f-2", "s-2", 600), file("old", "s-3", 5)];
    read(&mut book, 10, &orders).unwrap();
    assert_eq!(standing(&book), ["f-1", "f-2"]);
    let Ok(Proposal::Change(change)) = book.propose_clear(at(11), "f-1", "mb") else { panic!("it stands") };
    book.apply(change);
    read(&mut book, 20, &orders).unwrap();
    assert_eq!(standing(&book), ["f-2"], "not again while the file has it unchanged");
    read(&mut book, 30, &[file("f-1", "s-1", 900)]).unwrap();
    assert_eq!(standing(&book), ["f-1"], "changed it is a new one; f-2 is gone from the file");
    // One wrong one, and nothing of the file is taken over.
    let longer = read(&mut book, 40, &[file("f-3", "s-3", 900), file("f-4", "s-4", 1_000_000)]);
    assert!(matches!(longer, Err(OverrideError::InvalidField(InvalidField { field: "until", .. }))));
    assert_eq!(standing(&book), ["f-1"]);
}

#[test]
fn a_step_of_the_walls_clock_ends_what_it_passes_and_prolongs_nothing() {
    let mut book = book();
    let change = book.propose_configured(at(0), at(0), &[file("f-1", "s-1", 600)]).unwrap();
    book.apply(change);
    set(&mut book, at(0), &out("a", "s-2", 600));
    book.adjust_to_wall_clock(at(10), at(0) - s(3600));
    assert_eq!(book.next_expiry(), Some(at(600)), "back: as before");
    book.adjust_to_wall_clock(at(20), at(500));
    assert!(book.expire_due(at(120)));
    assert_eq!(
        standing(&book),
        ["a"],
        "forwards: the one that names an hour ends then, the other runs its time"
    );
}

#[test]
fn words_are_read_and_written() {
    for (text, seconds) in [("90s", 90), ("30m", 1800), ("1h30m", 5400), ("2d", 172_800), ("0s", 0)] {
        assert_eq!(text::parse_duration(text), Ok(s(seconds)));
    }
    for wrong in
        ["", "30", "m", "30m1h", "1h1h", "1.5h", "30 m", "-3m", "99999999999999999999d", "9999999999999d"]
    {
        assert!(text::parse_duration(wrong).is_err(), "{wrong}");
    }
    assert_eq!((text::parse_slices("17"), text::parse_slices("4-9")), (Ok((17, 17)), Ok((4, 9))));
    for wrong in ["", "9-4", "4-", "-4", "4-9-11", "x", "99999999999"] {
        assert!(text::parse_slices(wrong).is_err(), "{wrong}");
    }
    let noon = text::parse_wall_time("2026-12-01T12:00:00+01:00").unwrap();
    assert_eq!(text::format_wall_time(noon), "2026-12-01T11:00:00Z");
    assert!(
        text::parse_wall_time("tomorrow").is_err() && text::parse_wall_time("1900-01-01T00:00:00Z").is_err()
    );
}

/// Random lives: orders, clears, steps of the wall, kills and new starts of program and machine.
#[derive(Clone, Debug)]
struct Life(Vec<(u8, u16)>);

impl Arbitrary for Life {
    fn arbitrary(gen: &mut Gen) -> Self {
        Life((0..40).map(|_| (u8::arbitrary(gen), u16::arbitrary(gen))).collect())
    }
}

#[test]
fn none_stands_after_its_end_and_none_that_was_kept_is_lost() {
    fn holds(life: Life) -> bool {
        let (mut book, mut disk) = (book(), Disk::default());
        // True time, which nobody in the program sees, and how far the wall's clock is ahead of it.
        let (mut true_s, mut wall_off, mut boot, mut boot_s) = (0u64, 10_000i64, 0u32, 0u64);
        // This life's clock: its start by the wall, and by true time.
        let (mut life_wall, mut life_s) = (10_000i64, 0u64);
        book.apply(RegistryChange::default());
        let mut ends: BTreeMap<String, u64> = BTreeMap::new();
        for (n, (deed, figure)) in life.0.into_iter().enumerate() {
            true_s += u64::from(figure % 50);
            let now = at((life_wall + (true_s - life_s) as i64) as u64);
            let clocks = |wall_off: i64, boot: u32, boot_s| {
                reading(&boot.to_string(), true_s - boot_s, (true_s as i64 + wall_off) as u64)
            };
            book.expire_due(now);
            match deed % 6 {
                0 | 1 => {
                    let order =
                        out(&format!("o{n}"), &format!("s-{}", figure % 7), u64::from(figure % 300) + 1);
                    if let Ok(Proposal::Change(change)) = book.propose_set(now, &order) {
                        for one in &change.writes {
                            if one.is_active() {
                                ends.insert(one.id.clone(), true_s + u64::from(figure % 300) + 1);
                            } else {
                                ends.remove(&one.id);
                            }
                        }
                        disk.keep(&book, now, clocks(wall_off, boot, boot_s), &change);
                        book.apply(change);
                    }
                }
                2 => {
                    let id = book.active().next().map(|one| one.id.clone());
                    if let Some(Ok(Proposal::Change(change))) = id.map(|id| book.propose_clear(now, &id, "x"))
                    {
                        ends.remove(&change.writes[0].id);
                        disk.keep(&book, now, clocks(wall_off, boot, boot_s), &change);
                        book.apply(change);
                    }
                }
                3 => {
                    // The program notices a step, and stamps it.
                    wall_off = (wall_off + i64::from(figure) - 30_000).max(0);
                    let seen = clocks(wall_off, boot, boot_s);
                    book.adjust_to_wall_clock(now, seen.wall_time);
                    disk.keep(&book, now, seen, &RegistryChange::default());
                }
                deed => {
                    if deed == 4 {
                        (boot, boot_s) = (boot + 1, true_s);
                    }
                    let seen = clocks(wall_off, boot, boot_s);
                    (life_wall, life_s) = (true_s as i64 + wall_off, true_s);
                    book = disk.life(at(life_wall as u64), seen);
                }
            }
            for one in book.active() {
                assert!(ends[&one.id] >= true_s, "{} stands at {true_s}, {ends:?}", one.id);
            }
            ends.retain(|_, end| *end > true_s);
            for id in ends.keys() {
                assert!(book.get_by_id(id).is_some_and(|one| one.is_active()), "{id} is lost at {true_s}");
            }
        }
        true
    }
    quickcheck::QuickCheck::new().tests(300).quickcheck(holds as fn(Life) -> bool);
}
