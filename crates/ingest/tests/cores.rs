//! Assignment, order, sums and supervision, closely.

use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_ingest::sequence::Sequence;
use whinwall_ingest::spread::Spread;
use whinwall_ingest::sums::{asked, met, Sums};
use whinwall_ingest::watch::{Found, Watch};
use whinwall_policy::api::{DemandReport, EndpointReport, ReportBody};
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::windowed_counter::WindowedCounter;

fn at(ms: u64) -> Moment {
    Moment::at_ns((1_800_000_000_000 + ms) * 1_000_000)
}

#[test]
fn a_connection_goes_to_the_reader_with_least_to_do() {
    let mut spread = Spread::over(3);
    let placed: BTreeSet<_> = (0..3).filter_map(|id| spread.zone(id)).collect();
    assert_eq!(placed.len(), 3, "quiet ones are spread evenly");
    let hot = spread.reader_of(0).unwrap();
    spread.carried(0, 10_000_000);
    let others: Vec<_> = (3..23).filter_map(|id| spread.zone(id)).collect();
    assert!(!others.contains(&hot), "nobody joins the one that floods its reader");
    (0..100).for_each(|_| spread.beat());
    assert_eq!(spread.zone(99), Some(hot), "and once it is quiet, they do again");
    spread.ended(99);
    spread.ended(99);
    assert_eq!(spread.connections(hot), 1);
}

#[test]
fn a_reader_that_is_down_gets_nobody_and_its_connections_are_told() {
    let mut spread = Spread::over(2);
    (0..4).for_each(|id| _ = spread.zone(id));
    let lost = spread.down(0);
    assert_eq!(lost.len(), 2);
    assert!((4..8).all(|id| spread.zone(id) == Some(1)));
    assert_eq!(spread.down(1).len(), 6);
    assert_eq!(spread.zone(9), None);
    spread.up(0);
    assert_eq!(spread.zone(9), Some(0));
}

#[test]
fn chunks_of_a_connection_keep_their_order_and_connections_do_not_wait_for_each_other() {
    let mut sequence = Sequence::new(Span::ms(1000));
    sequence.open(1);
    sequence.open(2);
    assert!(sequence.take(at(0), 1, 1, "b").chunks.is_empty());
    assert_eq!(sequence.take(at(0), 2, 0, "x").chunks, ["x"]);
    assert!(!sequence.ends(at(0), 1, 3).ended, "it lacks two");
    assert_eq!(sequence.take(at(0), 1, 0, "a").chunks, ["a", "b"]);
    let due = sequence.take(at(0), 1, 2, "c");
    assert_eq!((due.chunks, due.ended), (vec!["c"], true));
    assert!(sequence.take(at(0), 1, 3, "d").chunks.is_empty());
    assert!(sequence.take(at(0), 2, 0, "x again").chunks.is_empty());
    assert_eq!((sequence.late(), sequence.held()), (2, (1, 0)));
    assert!(sequence.ends(at(0), 2, 1).ended, "nothing is missing");
}

#[test]
fn a_chunk_that_does_not_come_costs_its_connection_and_no_other() {
    let mut sequence = Sequence::new(Span::ms(1000));
    (1..=3).for_each(|id| sequence.open(id));
    sequence.take(at(0), 1, 1, "later");
    sequence.take(at(500), 2, 0, "in time");
    // That nothing has come for long is no gap: it may have had nothing to say.
    assert_eq!(sequence.next(), Some(at(1000)));
    assert_eq!(sequence.overdue(at(1000)), []);
    assert_eq!(sequence.overdue(at(1001)), [1]);
    assert!(sequence.take(at(1002), 1, 0, "too late").chunks.is_empty(), "late news is not fresh");
    assert_eq!(sequence.take(at(1002), 2, 1, "goes on").chunks, ["goes on"]);
    // An end that is known, and chunks before it that do not come, are a gap as well.
    sequence.ends(at(2000), 3, 2);
    assert_eq!(sequence.overdue(at(3001)), [3]);
    assert_eq!((sequence.held(), sequence.next()), ((1, 0), None));
}

/// Chunks of some connections in any order.
#[derive(Clone, Debug)]
struct Shuffled(Vec<(u64, u64)>);

impl Arbitrary for Shuffled {
    fn arbitrary(gen: &mut Gen) -> Self {
        let many = |gen: &mut Gen| u64::from(u8::arbitrary(gen) % 12);
        let mut all: Vec<_> = (0..5).flat_map(|id| (0..many(gen)).map(move |n| (id, n))).collect();
        for at in (1..all.len()).rev() {
            all.swap(at, usize::arbitrary(gen) % (at + 1));
        }
        Shuffled(all)
    }
}

#[test]
fn whatever_order_chunks_come_in_they_count_once_and_in_theirs() {
    fn holds(shuffled: Shuffled) -> bool {
        let mut sequence = Sequence::new(Span::ms(1000));
        let mut counted: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        let mut ended = BTreeSet::new();
        (0..5).for_each(|id| sequence.open(id));
        let many = |id| shuffled.0.iter().filter(|(of, _)| *of == id).count() as u64;
        for (zone, (id, n)) in shuffled.0.iter().enumerate() {
            let mut dues = vec![sequence.take(at(0), *id, *n, *n)];
            // Ends are heard of at any time, mostly before all chunks are there.
            if zone % 3 == 0 {
                dues.push(sequence.ends(at(0), *id, many(*id)));
            }
            for due in dues {
                counted.entry(*id).or_default().extend(due.chunks);
                assert!(!due.ended || ended.insert(*id), "it ends once");
            }
        }
        for id in 0..5 {
            if sequence.ends(at(0), id, many(id)).ended {
                assert!(ended.insert(id));
            }
            let all: Vec<_> = (0..many(id)).collect();
            assert_eq!(counted.get(&id).cloned().unwrap_or_default(), all);
        }
        ended.len() == 5 && sequence.held() == (0, 0) && sequence.late() == 0
    }
    quickcheck::QuickCheck::new().tests(500).quickcheck(holds as fn(Shuffled) -> bool);
}

#[derive(Clone, Debug)]
struct Lines(Vec<ReportBody>);

impl Arbitrary for Lines {
    fn arbitrary(gen: &mut Gen) -> Self {
        let mut few = |most: u32| u32::arbitrary(gen) % most;
        let line = |few: &mut dyn FnMut(u32) -> u32| {
            let covers = Span::ms(u64::from(1000 * (1 + few(2))));
            if few(2) == 0 {
                let (attempts, failed) = (f64::from(few(9)), f64::from(few(4)));
                let mean_latency = Span::ms(u64::from(few(400)));
                let (attempts, zone) = (attempts + failed, few(2) as usize);
                met(few(3), EndpointReport { zone, window: covers, attempts, failed, mean_latency })
            } else {
                let (came, failed, request_class) = (f64::from(few(9)), f64::from(few(9)), few(2) as usize);
                asked(few(3), DemandReport { request_class, window: covers, requests: came, failed })
            }
        };
        Lines((0..40).map(|_| line(&mut few)).collect())
    }
}

#[test]
fn sums_lose_nothing_and_keep_windows_zones_and_times_apart() {
    type Totals = BTreeMap<(u8, u32, usize, Span), [f64; 4]>;
    fn totals(reports: impl Iterator<Item = (f64, ReportBody)>) -> Totals {
        let mut totals = Totals::new();
        for (lines, what) in reports {
            let (key, figures) = match what {
                ReportBody::Endpoint { replica, report: met, .. } => {
                    let busy = (met.attempts - met.failed) * met.mean_latency.seconds();
                    ((0, replica, met.zone, met.window), [lines, met.attempts, met.failed, busy])
                }
                ReportBody::Demand { slice, report: asked } => (
                    (1, slice, asked.request_class, asked.window),
                    [lines, asked.requests, asked.failed, 0.0],
                ),
            };
            let sum = totals.entry(key).or_default();
            (0..4).for_each(|n| sum[n] += figures[n]);
        }
        totals
    }
    fn holds(lines: Lines) -> bool {
        let mut sums = Sums::at(at(7));
        lines.0.iter().for_each(|line| sums.add(*line));
        let summed = sums.summed();
        assert!(summed.iter().all(|report| report.at == at(7)));
        let (one, many) = (
            totals(lines.0.iter().map(|line| (1.0, *line))),
            totals(summed.iter().map(|r| (r.line_count, r.body))),
        );
        assert_eq!(summed.len(), many.len(), "each sum is there once");
        let near = |a: &[f64; 4], b: &[f64; 4]| a.iter().zip(b).all(|(a, b)| (a - b).abs() < 1e-6);
        one.len() == many.len() && one.iter().all(|(key, sum)| near(sum, &many[key]))
    }
    quickcheck::QuickCheck::new().tests(500).quickcheck(holds as fn(Lines) -> bool);
}

#[test]
fn of_a_sum_the_latest_answers_time_is_kept() {
    let line = |attempts, failed, ms| {
        let (covers, mean_latency) = (Span::ms(1000), Span::ms(ms));
        met(1, EndpointReport { zone: 0, window: covers, attempts, failed, mean_latency })
    };
    let mut sums = Sums::at(at(0));
    [line(1.0, 0.0, 100), line(3.0, 0.0, 300), line(2.0, 2.0, 900)]
        .into_iter()
        .for_each(|line| sums.add(line));
    let ReportBody::Endpoint { report: met, latest_latency: latest, .. } = sums.summed()[0].body else {
        panic!("a sum of these")
    };
    assert_eq!(
        (met.mean_latency, latest),
        (Span::ms(250), Span::ms(300)),
        "nothing was answered in the last"
    );
}

#[test]
fn late_news_is_laid_where_it_belongs() {
    let windowed_counter = || WindowedCounter::new(Span::ms(500), 40);
    let (mut late, mut in_time) = (windowed_counter(), windowed_counter());
    in_time.spread(at(2000), Span::ms(1000), 8.0);
    in_time.spread(at(6000), Span::ms(1000), 4.0);
    late.spread(at(6000), Span::ms(1000), 4.0);
    late.spread(at(2000), Span::ms(1000), 8.0);
    for over in [500, 1000, 3000, 5000, 9000] {
        assert_eq!(late.sum(at(6000), Span::ms(over)), in_time.sum(at(6000), Span::ms(over)), "{over} ms");
    }
    assert_eq!(late.newest(), in_time.newest(), "it does not make the ring look fresh");
    let before = late.sum(at(6000), Span::ms(20_000));
    late.spread(at(0) - Span::ms(60_000), Span::ms(1000), 99.0);
    assert_eq!(late.sum(at(6000), Span::ms(20_000)), before, "older than any rule looks back, it is gone");
}

#[test]
fn a_reader_that_stopped_is_noticed_replaced_and_more_rarely_each_time() {
    let mut watch = Watch::over(2, at(0));
    let (mut pauses, mut stopped, mut figure) = (Vec::new(), None, 0);
    for ms in (0..60_000).step_by(100) {
        figure += 1;
        watch.begin(at(ms));
        assert_eq!(watch.look(at(ms), 1, figure, true), None, "it goes on");
        match watch.look(at(ms), 0, 7, true) {
            Some(Found::Stalled) => stopped = Some(ms),
            Some(Found::Again) => pauses.push(ms - stopped.take().unwrap()),
            Some(Found::Dead) => panic!("it lives"),
            None => {}
        }
    }
    assert_eq!(pauses[..4], [100, 200, 400, 800]);
    assert!(pauses.iter().all(|pause| *pause <= 10_000), "{pauses:?}");
}

#[test]
fn the_dead_are_noticed_at_once_and_nobody_is_judged_by_our_own_pause() {
    let mut watch = Watch::over(2, at(0));
    watch.begin(at(100));
    assert_eq!(watch.look(at(100), 0, 0, false), Some(Found::Dead));
    assert_eq!(watch.look(at(100), 1, 5, true), None);
    // The machine stood still for a minute: so did we.
    watch.begin(at(60_000));
    assert_eq!(watch.look(at(60_000), 1, 5, true), None);
    watch.begin(at(60_200));
    assert_eq!(watch.look(at(60_200), 1, 5, true), None);
}
