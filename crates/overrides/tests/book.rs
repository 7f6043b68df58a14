//! The book of overrides: ends, repeats, replacements, restarts, clocks, and what is on disk.

use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use whinwall_overrides::book::FileOrder;
use whinwall_overrides::{
    saved, words, Book, Bounds, Change, End, Kind, Order, Proposal, Reading, Refused, Stamp, Timeline,
};
use whinwall_policy::time::{Moment, Span};

const START_S: u64 = 1_800_000_000;

fn at(s: u64) -> Moment {
    Moment::at_ns((START_S + s) * 1_000_000_000)
}

fn s(seconds: u64) -> Span {
    Span::ms(seconds * 1000)
}

fn reading(boot: &str, since_boot_s: u64, wall_s: u64) -> Reading {
    Reading { boot: boot.into(), since_boot: s(since_boot_s), wall: at(wall_s) }
}

fn book() -> Book {
    let line = Timeline::resume(at(0), &reading("a", 100, 0), None).0;
    Book::open(Bounds { most: 5, ..Bounds::default() }, line)
}

fn out(id: &str, replica: &str, seconds: u64) -> Order {
    let kind = Kind::Out { replica: replica.into() };
    Order { id: id.into(), kind, author: "mb".into(), reason: "disk".into(), lasts: s(seconds) }
}

fn pin(id: &str, first: u32, last: u32) -> Order {
    Order { kind: Kind::Pin { first, last, replica: "s-1".into() }, ..out(id, "", 60) }
}

fn set(book: &mut Book, now: Moment, order: &Order) {
    match book.propose(now, order) {
        Ok(Proposal::New(change)) => book.make(change),
        other => panic!("{other:?}"),
    }
}

fn standing(book: &Book) -> Vec<&str> {
    book.standing().map(|one| one.id.as_str()).collect()
}

/// What a disk would hold, and a new life's book from it.
#[derive(Default)]
struct Disk {
    records: BTreeMap<u64, Vec<u8>>,
    stamp: Option<Stamp>,
}

impl Disk {
    fn keep(&mut self, book: &Book, now: Moment, reading: Reading, change: &Change) {
        for one in &change.puts {
            self.records.insert(one.number, saved::write(one, book.line()));
        }
        change.drops.iter().for_each(|number| _ = self.records.remove(number));
        let stamp = Stamp { reading, line: book.line().on_line(now) };
        self.stamp = Some(saved::read_stamp(&saved::write_stamp(&stamp)).unwrap());
    }

    fn life(&self, now: Moment, reading: Reading) -> Book {
        let kept: Vec<_> = self.records.iter().map(|(number, bytes)| (*number, bytes.clone())).collect();
        let bounds = Bounds { most: 5, ..Bounds::default() };
        let (book, wrong) = Book::restore(bounds, now, &reading, self.stamp.as_ref(), &kept);
        assert!(wrong.is_empty(), "{wrong:?}");
        book
    }
}

#[test]
fn it_stands_until_its_end_and_not_a_moment_longer() {
    let mut book = book();
    set(&mut book, at(0), &out("a", "s-1", 60));
    assert_eq!(book.next_end(), Some(at(60)));
    assert!(!book.expire(at(59)));
    assert!(book.expire(at(75)));
    let one = book.get("a").unwrap();
    assert_eq!((standing(&book).len(), one.ended.clone()), (0, Some((at(60), End::Expired))));
    // Said again after its end, it is what it was, and does not stand again.
    assert_eq!(book.propose(at(76), &out("a", "s-1", 60)), Ok(Proposal::Known(1)));
}

#[test]
fn a_repeat_sets_nothing_twice_and_prolongs_nothing() {
    let mut book = book();
    let proposed = book.propose(at(0), &out("a", "s-1", 60)).unwrap();
    assert_eq!(standing(&book).len(), 0, "a proposal changes nothing");
    let Proposal::New(change) = proposed else { panic!("it is new") };
    book.make(change.clone());
    book.make(change);
    assert_eq!(book.propose(at(30), &out("a", "s-1", 60)), Ok(Proposal::Known(1)));
    assert_eq!(book.next_end(), Some(at(60)));
    let other = book.propose(at(30), &out("a", "s-2", 60));
    assert_eq!(other, Err(Refused::Taken { id: "a".into() }));
}

#[test]
fn a_newer_one_takes_the_place_of_what_it_contradicts() {
    let mut book = book();
    set(&mut book, at(0), &out("a", "s-1", 60));
    set(&mut book, at(1), &out("b", "s-1", 600));
    assert_eq!(book.get("a").unwrap().ended, Some((at(1), End::Replaced { by: "b".into() })));
    set(&mut book, at(2), &pin("c", 3, 5));
    set(&mut book, at(3), &pin("d", 4, 9));
    assert_eq!(standing(&book), ["b", "c", "d"], "an overlap leaves the older one its rest");
    set(&mut book, at(4), &pin("e", 0, 9));
    assert_eq!(standing(&book), ["b", "e"]);
}

#[test]
fn bounds_hold_and_name_what_is_wrong() {
    let mut book = book();
    let wrong = |order: Order| match book.propose(at(0), &order) {
        Err(Refused::Wrong { part, .. }) => part,
        other => panic!("{other:?}"),
    };
    assert_eq!(wrong(out("a b", "s-1", 60)), "id");
    assert_eq!(wrong(out("a", "", 60)), "server");
    assert_eq!(wrong(out("a", "s-1", 0)), "for");
    assert_eq!(wrong(out("a", "s-1", 90_000)), "for");
    assert_eq!(wrong(Order { reason: " ".into(), ..out("a", "s-1", 60) }), "reason");
    assert_eq!(wrong(Order { author: "x\n".into(), ..out("a", "s-1", 60) }), "author");
    assert_eq!(wrong(pin("a", 5, 4)), "slices");
    for factor in [0.0, f64::NAN, -1.0, 1e9] {
        let kind = Kind::Weight { replica: "s-1".into(), factor };
        assert_eq!(wrong(Order { kind, ..out("a", "", 60) }), "factor");
    }
    for n in 0..5 {
        set(&mut book, at(0), &out(&format!("o{n}"), &format!("s-{n}"), 60));
    }
    assert_eq!(book.propose(at(0), &out("more", "s-9", 60)), Err(Refused::Full { most: 5 }));
    // Taking another's place needs none.
    set(&mut book, at(0), &out("instead", "s-0", 60));
}

#[test]
fn ended_ones_are_listed_for_a_time_and_leave_the_disk() {
    let mut book = book();
    for n in 0..20 {
        set(&mut book, at(n), &out(&format!("o{n}"), "s-1", 60));
    }
    book.expire(at(1000));
    book.prune(at(1000));
    assert_eq!(book.listed().count(), 5);
    assert_eq!(book.unkept().drops.len(), 15);
    let change = book.unkept();
    book.kept(&change);
    assert!(book.unkept().is_empty());
    book.prune(at(200_000));
    assert_eq!((book.listed().count(), book.get("o19")), (0, None));
}

#[test]
fn a_thousand_end_in_the_same_second() {
    let mut book = book();
    book.rebound(Bounds::default());
    for n in 0..1000 {
        set(&mut book, at(0), &out(&format!("o{n}"), &format!("s-{n}"), 60));
    }
    assert!(book.expire(at(60)));
    assert_eq!((book.standing().count(), book.next_end()), (0, None));
}

#[test]
fn a_restart_neither_prolongs_nor_loses() {
    let (book, mut disk) = (book(), Disk::default());
    let Ok(Proposal::New(change)) = book.propose(at(0), &out("a", "s-1", 60)) else { panic!("it is new") };
    disk.keep(&book, at(0), reading("a", 100, 0), &change);
    // The same start of the machine: 20 s were passed, whatever the wall's clock says.
    for wall_s in [20, 5000, 1] {
        let life = disk.life(at(wall_s), reading("a", 120, wall_s));
        assert_eq!(life.next_end(), Some(at(wall_s + 40)), "wall at {wall_s}");
    }
    // Another start: the wall tells.
    assert_eq!(disk.life(at(20), reading("b", 3, 20)).next_end(), Some(at(60)));
    let late = disk.life(at(70), reading("b", 3, 70));
    assert_eq!(late.get("a").unwrap().ended, Some((at(60), End::Expired)));
    // The wall went back meanwhile: nobody knows how long we were away.
    let back = Reading { wall: at(0) - s(7200), ..reading("b", 3, 0) };
    let life = disk.life(at(0) - s(7200), back);
    assert_eq!(life.get("a").unwrap().ended.clone().unwrap().1, End::ClockWentBack);
}

#[test]
fn spoilt_records_are_told_and_the_others_are_read() {
    let (mut book, mut disk) = (book(), Disk::default());
    for (n, order) in [out("a", "s-1", 60), pin("b", 0, 3)].iter().enumerate() {
        let Ok(Proposal::New(change)) = book.propose(at(0), order) else { panic!("{n} is new") };
        disk.keep(&book, at(0), reading("a", 100, 0), &change);
        book.make(change);
    }
    let whole = disk.records[&1].clone();
    for at_byte in 0..whole.len() {
        disk.records.get_mut(&1).unwrap()[at_byte] ^= 0x20;
        let kept: Vec<_> = disk.records.iter().map(|(n, bytes)| (*n, bytes.clone())).collect();
        let reading = reading("a", 101, 1);
        let (life, wrong) = Book::restore(Bounds::default(), at(1), &reading, disk.stamp.as_ref(), &kept);
        assert_eq!((standing(&life), wrong.len()), (vec!["b"], 1), "byte {at_byte}");
        disk.records.insert(1, whole.clone());
    }
    assert!(saved::read(&whole[..3], book.line()).is_err());
}

fn file(id: &str, replica: &str, until_s: u64) -> FileOrder {
    let Order { id, kind, author, reason, .. } = out(id, replica, 0);
    FileOrder { id, kind, author, reason, until: at(until_s) }
}

#[test]
fn the_file_says_what_stands_and_what_was_cleared_stays_so() {
    let mut book = book();
    let read = |book: &mut Book, now_s, orders: &[FileOrder]| {
        let change = book.propose_file(at(now_s), at(now_s), orders)?;
        book.make(change);
        Ok::<_, Refused>(())
    };
    let orders = [file("f-1", "s-1", 600), file("f-2", "s-2", 600), file("old", "s-3", 5)];
    read(&mut book, 10, &orders).unwrap();
    assert_eq!(standing(&book), ["f-1", "f-2"]);
    let Ok(Proposal::New(change)) = book.propose_clear(at(11), "f-1", "mb") else { panic!("it stands") };
    book.make(change);
    read(&mut book, 20, &orders).unwrap();
    assert_eq!(standing(&book), ["f-2"], "not again while the file has it unchanged");
    read(&mut book, 30, &[file("f-1", "s-1", 900)]).unwrap();
    assert_eq!(standing(&book), ["f-1"], "changed it is a new one; f-2 is gone from the file");
    // One wrong one, and nothing of the file is taken over.
    let longer = read(&mut book, 40, &[file("f-3", "s-3", 900), file("f-4", "s-4", 1_000_000)]);
    assert!(matches!(longer, Err(Refused::Wrong { part: "until", .. })));
    assert_eq!(standing(&book), ["f-1"]);
}

#[test]
fn a_step_of_the_walls_clock_ends_what_it_passes_and_prolongs_nothing() {
    let mut book = book();
    let change = book.propose_file(at(0), at(0), &[file("f-1", "s-1", 600)]).unwrap();
    book.make(change);
    set(&mut book, at(0), &out("a", "s-2", 600));
    book.wall_told(at(10), at(0) - s(3600));
    assert_eq!(book.next_end(), Some(at(600)), "back: as before");
    book.wall_told(at(20), at(500));
    assert!(book.expire(at(120)));
    assert_eq!(
        standing(&book),
        ["a"],
        "forwards: the one that names an hour ends then, the other runs its time"
    );
}

#[test]
fn words_are_read_and_written() {
    for (text, seconds) in [("90s", 90), ("30m", 1800), ("1h30m", 5400), ("2d", 172_800), ("0s", 0)] {
        assert_eq!(words::span(text), Ok(s(seconds)));
    }
    for wrong in
        ["", "30", "m", "30m1h", "1h1h", "1.5h", "30 m", "-3m", "99999999999999999999d", "9999999999999d"]
    {
        assert!(words::span(wrong).is_err(), "{wrong}");
    }
    assert_eq!((words::slices("17"), words::slices("4-9")), (Ok((17, 17)), Ok((4, 9))));
    for wrong in ["", "9-4", "4-", "-4", "4-9-11", "x", "99999999999"] {
        assert!(words::slices(wrong).is_err(), "{wrong}");
    }
    let noon = words::wall("2026-12-01T12:00:00+01:00").unwrap();
    assert_eq!(words::write_wall(noon), "2026-12-01T11:00:00Z");
    assert!(words::wall("tomorrow").is_err() && words::wall("1900-01-01T00:00:00Z").is_err());
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
        book.make(Change::default());
        let mut ends: BTreeMap<String, u64> = BTreeMap::new();
        for (n, (deed, figure)) in life.0.into_iter().enumerate() {
            true_s += u64::from(figure % 50);
            let now = at((life_wall + (true_s - life_s) as i64) as u64);
            let clocks = |wall_off: i64, boot: u32, boot_s| {
                reading(&boot.to_string(), true_s - boot_s, (true_s as i64 + wall_off) as u64)
            };
            book.expire(now);
            match deed % 6 {
                0 | 1 => {
                    let order =
                        out(&format!("o{n}"), &format!("s-{}", figure % 7), u64::from(figure % 300) + 1);
                    if let Ok(Proposal::New(change)) = book.propose(now, &order) {
                        for one in &change.puts {
                            if one.stands() {
                                ends.insert(one.id.clone(), true_s + u64::from(figure % 300) + 1);
                            } else {
                                ends.remove(&one.id);
                            }
                        }
                        disk.keep(&book, now, clocks(wall_off, boot, boot_s), &change);
                        book.make(change);
                    }
                }
                2 => {
                    let id = book.standing().next().map(|one| one.id.clone());
                    if let Some(Ok(Proposal::New(change))) = id.map(|id| book.propose_clear(now, &id, "x")) {
                        ends.remove(&change.puts[0].id);
                        disk.keep(&book, now, clocks(wall_off, boot, boot_s), &change);
                        book.make(change);
                    }
                }
                3 => {
                    // The program notices a step, and stamps it.
                    wall_off = (wall_off + i64::from(figure) - 30_000).max(0);
                    let seen = clocks(wall_off, boot, boot_s);
                    book.wall_told(now, seen.wall);
                    disk.keep(&book, now, seen, &Change::default());
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
            for one in book.standing() {
                assert!(ends[&one.id] >= true_s, "{} stands at {true_s}, {ends:?}", one.id);
            }
            ends.retain(|_, end| *end > true_s);
            for id in ends.keys() {
                assert!(book.get(id).is_some_and(|one| one.stands()), "{id} is lost at {true_s}");
            }
        }
        true
    }
    quickcheck::QuickCheck::new().tests(300).quickcheck(holds as fn(Life) -> bool);
}
