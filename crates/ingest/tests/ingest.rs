//! Partitioning, reordering, pre-aggregation and liveness of the readers.

use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_ingest::aggregate::{demand_report, endpoint_report, ReportAggregator};
use whinwall_ingest::liveness::{LivenessMonitor, ReaderEvent};
use whinwall_ingest::partition::Partitioner;
use whinwall_ingest::reorder::{BufferSize, ReorderBuffer};
use whinwall_policy::api::{DemandReport, EndpointReport, ReportBody};
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::windowed_counter::WindowedCounter;

fn at(ms: u64) -> Moment {
    Moment::at_ns((1_800_000_000_000 + ms) * 1_000_000)
}

#[test]
fn connection_is_assigned_to_the_least_loaded_reader() {
    let mut partitioner = Partitioner::new(3);
    let placed: BTreeSet<_> = (0..3).filter_map(|id| partitioner.assign(id)).collect();
    assert_eq!(placed.len(), 3, "quiet ones are spread evenly");
    let hot = partitioner.reader_of(0).unwrap();
    partitioner.add_bytes(0, 10_000_000);
    let others: Vec<_> = (3..23).filter_map(|id| partitioner.assign(id)).collect();
    assert!(!others.contains(&hot), "nobody joins the one that floods its reader");
    (0..100).for_each(|_| partitioner.decay_load());
    assert_eq!(partitioner.assign(99), Some(hot), "and once it is quiet, they do again");
    partitioner.remove(99);
    partitioner.remove(99);
    assert_eq!(partitioner.connections_of(hot), 1);
}

#[test]
fn disabled_reader_is_assigned_no_connections_and_returns_its_own() {
    let mut partitioner = Partitioner::new(2);
    (0..4).for_each(|id| _ = partitioner.assign(id));
    let lost = partitioner.disable(0);
    assert_eq!(lost.len(), 2);
    assert!((4..8).all(|id| partitioner.assign(id) == Some(1)));
    assert_eq!(partitioner.disable(1).len(), 6);
    assert_eq!(partitioner.assign(9), None);
    partitioner.enable(0);
    assert_eq!(partitioner.assign(9), Some(0));
}

#[test]
fn chunks_of_a_connection_are_ready_in_order_independently_of_other_connections() {
    let mut buffer = ReorderBuffer::new(Span::ms(1000));
    buffer.open(1);
    buffer.open(2);
    assert!(buffer.insert(at(0), 1, 1, "b").chunks.is_empty());
    assert_eq!(buffer.insert(at(0), 2, 0, "x").chunks, ["x"]);
    assert!(!buffer.end(at(0), 1, 3).is_ended, "it lacks two");
    assert_eq!(buffer.insert(at(0), 1, 0, "a").chunks, ["a", "b"]);
    let ready = buffer.insert(at(0), 1, 2, "c");
    assert_eq!((ready.chunks, ready.is_ended), (vec!["c"], true));
    assert!(buffer.insert(at(0), 1, 3, "d").chunks.is_empty());
    assert!(buffer.insert(at(0), 2, 0, "x again").chunks.is_empty());
    assert_eq!((buffer.late_chunks(), size(&buffer)), (2, (1, 0)));
    assert!(buffer.end(at(0), 2, 1).is_ended, "nothing is missing");
}

#[test]
fn missing_chunk_ends_its_connection_after_the_timeout_and_no_other() {
    let mut buffer = ReorderBuffer::new(Span::ms(1000));
    (1..=3).for_each(|id| buffer.open(id));
    buffer.insert(at(0), 1, 1, "later");
    buffer.insert(at(500), 2, 0, "in time");
    // That nothing has come for long is no gap: it may have had nothing to say.
    assert_eq!(buffer.next_timeout_at(), Some(at(1000)));
    assert_eq!(buffer.take_overdue(at(1000)), []);
    assert_eq!(buffer.take_overdue(at(1001)), [1]);
    assert!(buffer.insert(at(1002), 1, 0, "too late").chunks.is_empty(), "a late chunk is dropped");
    assert_eq!(buffer.insert(at(1002), 2, 1, "goes on").chunks, ["goes on"]);
    // An end that is known, and chunks before it that do not come, are a gap as well.
    buffer.end(at(2000), 3, 2);
    assert_eq!(buffer.take_overdue(at(3001)), [3]);
    assert_eq!((size(&buffer), buffer.next_timeout_at()), ((1, 0), None));
}

fn size<C>(buffer: &ReorderBuffer<C>) -> (usize, usize) {
    let BufferSize { connections, early_chunks } = buffer.size();
    (connections, early_chunks)
}

/// Chunks of some connections in any order.
#[derive(Clone, Debug)]
struct Shuffled(Vec<(u64, u64)>);

impl Arbitrary for Shuffled {
    fn arbitrary(gen: &mut Gen) -> Self {
        let chunk_count = |gen: &mut Gen| u64::from(u8::arbitrary(gen) % 12);
        let mut all: Vec<_> = (0..5).flat_map(|id| (0..chunk_count(gen)).map(move |n| (id, n))).collect();
        for at in (1..all.len()).rev() {
            all.swap(at, usize::arbitrary(gen) % (at + 1));
        }
        Shuffled(all)
    }
}

#[test]
fn chunks_inserted_in_any_order_are_ready_once_and_in_order() {
    fn holds(shuffled: Shuffled) -> bool {
        let mut buffer = ReorderBuffer::new(Span::ms(1000));
        let mut counted: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        let mut ended = BTreeSet::new();
        (0..5).for_each(|id| buffer.open(id));
        let chunk_count = |id| shuffled.0.iter().filter(|(of, _)| *of == id).count() as u64;
        for (position, (id, number)) in shuffled.0.iter().enumerate() {
            let mut outcomes = vec![buffer.insert(at(0), *id, *number, *number)];
            // Ends are heard of at any time, mostly before all chunks are there.
            if position % 3 == 0 {
                outcomes.push(buffer.end(at(0), *id, chunk_count(*id)));
            }
            for ready in outcomes {
                counted.entry(*id).or_default().extend(ready.chunks);
                assert!(!ready.is_ended || ended.insert(*id), "it ends once");
            }
        }
        for id in 0..5 {
            if buffer.end(at(0), id, chunk_count(id)).is_ended {
                assert!(ended.insert(id));
            }
            let all: Vec<_> = (0..chunk_count(id)).collect();
            assert_eq!(counted.get(&id).cloned().unwrap_or_default(), all);
        }
        ended.len() == 5 && size(&buffer) == (0, 0) && buffer.late_chunks() == 0
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
                endpoint_report(
                    few(3),
                    EndpointReport { zone, window: covers, attempts, failed, mean_latency },
                )
            } else {
                let (came, failed, request_class) = (f64::from(few(9)), f64::from(few(9)), few(2) as usize);
                demand_report(few(3), DemandReport { request_class, window: covers, requests: came, failed })
            }
        };
        Lines((0..40).map(|_| line(&mut few)).collect())
    }
}

#[test]
fn aggregation_keeps_totals_by_window_zone_and_request_class() {
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
        let mut aggregator = ReportAggregator::new(at(7));
        lines.0.iter().for_each(|line| aggregator.add(*line));
        let summed = aggregator.into_reports();
        assert!(summed.iter().all(|report| report.at == at(7)));
        let (single, summed_totals) = (
            totals(lines.0.iter().map(|line| (1.0, *line))),
            totals(summed.iter().map(|report| (report.line_count, report.body))),
        );
        assert_eq!(summed.len(), summed_totals.len(), "each sum is there once");
        let near = |a: &[f64; 4], b: &[f64; 4]| a.iter().zip(b).all(|(a, b)| (a - b).abs() < 1e-6);
        single.len() == summed_totals.len() && single.iter().all(|(key, sum)| near(sum, &summed_totals[key]))
    }
    quickcheck::QuickCheck::new().tests(500).quickcheck(holds as fn(Lines) -> bool);
}

#[test]
fn aggregation_keeps_the_latest_latency() {
    let line = |attempts, failed, ms| {
        let (covers, mean_latency) = (Span::ms(1000), Span::ms(ms));
        endpoint_report(1, EndpointReport { zone: 0, window: covers, attempts, failed, mean_latency })
    };
    let mut aggregator = ReportAggregator::new(at(0));
    [line(1.0, 0.0, 100), line(3.0, 0.0, 300), line(2.0, 2.0, 900)]
        .into_iter()
        .for_each(|line| aggregator.add(line));
    let ReportBody::Endpoint { report: met, latest_latency: latest, .. } = aggregator.into_reports()[0].body
    else {
        panic!("a sum of these")
    };
    assert_eq!(
        (met.mean_latency, latest),
        (Span::ms(250), Span::ms(300)),
        "nothing was answered in the last"
    );
}

#[test]
fn late_reports_count_in_the_interval_that_they_cover() {
    let windowed_counter = || WindowedCounter::new(Span::ms(500), 40);
    let (mut late, mut in_time) = (windowed_counter(), windowed_counter());
    in_time.add_over(at(2000), Span::ms(1000), 8.0);
    in_time.add_over(at(6000), Span::ms(1000), 4.0);
    late.add_over(at(6000), Span::ms(1000), 4.0);
    late.add_over(at(2000), Span::ms(1000), 8.0);
    for over in [500, 1000, 3000, 5000, 9000] {
        assert_eq!(late.sum(at(6000), Span::ms(over)), in_time.sum(at(6000), Span::ms(over)), "{over} ms");
    }
    assert_eq!(
        late.newest_bucket_end(),
        in_time.newest_bucket_end(),
        "it does not make the counter look fresh"
    );
    let before = late.sum(at(6000), Span::ms(20_000));
    late.add_over(at(0) - Span::ms(60_000), Span::ms(1000), 99.0);
    assert_eq!(late.sum(at(6000), Span::ms(20_000)), before, "older than any rule looks back, it is gone");
}

#[test]
fn stalled_reader_is_restarted_with_exponential_backoff() {
    let mut monitor = LivenessMonitor::new(2, at(0));
    let (mut backoffs, mut stopped, mut heartbeat) = (Vec::new(), None, 0);
    for ms in (0..60_000).step_by(100) {
        heartbeat += 1;
        monitor.begin_check(at(ms));
        assert_eq!(monitor.check(at(ms), 1, heartbeat, true), None, "it goes on");
        match monitor.check(at(ms), 0, 7, true) {
            Some(ReaderEvent::Stalled) => stopped = Some(ms),
            Some(ReaderEvent::RestartDue) => backoffs.push(ms - stopped.take().unwrap()),
            Some(ReaderEvent::Died) => panic!("it lives"),
            None => {}
        }
    }
    assert_eq!(backoffs[..4], [100, 200, 400, 800]);
    assert!(backoffs.iter().all(|backoff| *backoff <= 10_000), "{backoffs:?}");
}

#[test]
fn dead_reader_is_noticed_at_once_and_a_pause_of_the_machine_is_no_stall() {
    let mut monitor = LivenessMonitor::new(2, at(0));
    monitor.begin_check(at(100));
    assert_eq!(monitor.check(at(100), 0, 0, false), Some(ReaderEvent::Died));
    assert_eq!(monitor.check(at(100), 1, 5, true), None);
    // The machine stood still for a minute: so did we.
    monitor.begin_check(at(60_000));
    assert_eq!(monitor.check(at(60_000), 1, 5, true), None);
    monitor.begin_check(at(60_200));
    assert_eq!(monitor.check(at(60_200), 1, 5, true), None);
}
