//! Tests of the reader pool's logic: partitioning, reordering, pre-aggregation and liveness.

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
    let assigned: BTreeSet<_> = (0..3).filter_map(|id| partitioner.assign(id)).collect();
    assert_eq!(assigned.len(), 3, "idle connections are spread evenly");
    let loaded_reader = partitioner.reader_of(0).unwrap();
    partitioner.add_bytes(0, 10_000_000);
    let later_assigned: Vec<_> = (3..23).filter_map(|id| partitioner.assign(id)).collect();
    assert!(!later_assigned.contains(&loaded_reader), "the loaded reader is assigned no connection");
    (0..100).for_each(|_| partitioner.decay_load());
    assert_eq!(
        partitioner.assign(99),
        Some(loaded_reader),
        "it is assigned connections after its load has decayed"
    );
    partitioner.remove(99);
    partitioner.remove(99);
    assert_eq!(partitioner.connections_of(loaded_reader), 1);
}

#[test]
fn disabling_a_reader_returns_its_connections_and_assigns_it_no_others() {
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
    buffer.open_connection(1);
    buffer.open_connection(2);
    assert!(buffer.insert_chunk(at(0), 1, 1, "b").chunks.is_empty());
    assert_eq!(buffer.insert_chunk(at(0), 2, 0, "x").chunks, ["x"]);
    assert!(!buffer.end_connection(at(0), 1, 3).is_ended, "two chunks are missing");
    assert_eq!(buffer.insert_chunk(at(0), 1, 0, "a").chunks, ["a", "b"]);
    let ready = buffer.insert_chunk(at(0), 1, 2, "c");
    assert_eq!((ready.chunks, ready.is_ended), (vec!["c"], true));
    assert!(buffer.insert_chunk(at(0), 1, 3, "d").chunks.is_empty());
    assert!(buffer.insert_chunk(at(0), 2, 0, "x again").chunks.is_empty());
    assert_eq!((buffer.late_chunks(), size(&buffer)), (2, (1, 0)));
    assert!(buffer.end_connection(at(0), 2, 1).is_ended, "nothing is missing");
}

#[test]
fn only_connections_with_a_missing_chunk_are_abandoned_after_the_timeout() {
    let mut buffer = ReorderBuffer::new(Span::ms(1000));
    (1..=3).for_each(|id| buffer.open_connection(id));
    buffer.insert_chunk(at(0), 1, 1, "later");
    buffer.insert_chunk(at(500), 2, 0, "in time");
    // A connection without later chunks has no gap, however long it was idle.
    assert_eq!(buffer.next_timeout_at(), Some(at(1000)));
    assert_eq!(buffer.take_overdue(at(1000)), []);
    assert_eq!(buffer.take_overdue(at(1001)), [1]);
    assert!(buffer.insert_chunk(at(1002), 1, 0, "too late").chunks.is_empty(), "a late chunk is dropped");
    assert_eq!(buffer.insert_chunk(at(1002), 2, 1, "goes on").chunks, ["goes on"]);
    // A connection that has ended with chunks missing has a gap, too.
    buffer.end_connection(at(2000), 3, 2);
    assert_eq!(buffer.take_overdue(at(3001)), [3]);
    assert_eq!((size(&buffer), buffer.next_timeout_at()), ((1, 0), None));
}

fn size<C>(buffer: &ReorderBuffer<C>) -> (usize, usize) {
    let BufferSize { connections, early_chunks } = buffer.size();
    (connections, early_chunks)
}

/// The chunks of five connections in random order, each with its connection and its number.
#[derive(Clone, Debug)]
struct ShuffledChunks(Vec<(u64, u64)>);

impl Arbitrary for ShuffledChunks {
    fn arbitrary(gen: &mut Gen) -> Self {
        let chunk_count = |gen: &mut Gen| u64::from(u8::arbitrary(gen) % 12);
        let mut chunks: Vec<_> =
            (0..5).flat_map(|id| (0..chunk_count(gen)).map(move |number| (id, number))).collect();
        for last in (1..chunks.len()).rev() {
            chunks.swap(last, usize::arbitrary(gen) % (last + 1));
        }
        ShuffledChunks(chunks)
    }
}

#[test]
fn chunks_inserted_in_any_order_are_ready_once_and_in_order() {
    fn holds(shuffled: ShuffledChunks) -> bool {
        let mut buffer = ReorderBuffer::new(Span::ms(1000));
        let mut ready_chunks: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        let mut ended_connections = BTreeSet::new();
        (0..5).for_each(|id| buffer.open_connection(id));
        let chunk_count = |id| shuffled.0.iter().filter(|(connection, _)| *connection == id).count() as u64;
        for (position, (id, number)) in shuffled.0.iter().enumerate() {
            let mut outcomes = vec![buffer.insert_chunk(at(0), *id, *number, *number)];
            // The end of a connection is reported at arbitrary times, mostly before all of its chunks have arrived.
            if position % 3 == 0 {
                outcomes.push(buffer.end_connection(at(0), *id, chunk_count(*id)));
            }
            for ready in outcomes {
                ready_chunks.entry(*id).or_default().extend(ready.chunks);
                assert!(!ready.is_ended || ended_connections.insert(*id), "the connection ends once");
            }
        }
        for id in 0..5 {
            if buffer.end_connection(at(0), id, chunk_count(id)).is_ended {
                assert!(ended_connections.insert(id));
            }
            let all_chunks: Vec<_> = (0..chunk_count(id)).collect();
            assert_eq!(ready_chunks.get(&id).cloned().unwrap_or_default(), all_chunks);
        }
        ended_connections.len() == 5 && size(&buffer) == (0, 0) && buffer.late_chunks() == 0
    }
    quickcheck::QuickCheck::new().tests(500).quickcheck(holds as fn(ShuffledChunks) -> bool);
}

#[derive(Clone, Debug)]
struct RandomReports(Vec<ReportBody>);

impl Arbitrary for RandomReports {
    fn arbitrary(gen: &mut Gen) -> Self {
        let mut below = |limit: u32| u32::arbitrary(gen) % limit;
        let report = |below: &mut dyn FnMut(u32) -> u32| {
            let window_length = Span::ms(u64::from(1000 * (1 + below(2))));
            if below(2) == 0 {
                let (attempts, failed) = (f64::from(below(9)), f64::from(below(4)));
                let mean_latency = Span::ms(u64::from(below(400)));
                let (attempts, zone) = (attempts + failed, below(2) as usize);
                endpoint_report(
                    below(3),
                    EndpointReport { zone, window: window_length, attempts, failed, mean_latency },
                )
            } else {
                let (request_count, failed, request_class) =
                    (f64::from(below(9)), f64::from(below(9)), below(2) as usize);
                demand_report(
                    below(3),
                    DemandReport { request_class, window: window_length, requests: request_count, failed },
                )
            }
        };
        RandomReports((0..40).map(|_| report(&mut below)).collect())
    }
}

#[test]
fn aggregation_keeps_totals_by_window_zone_and_request_class() {
    type Totals = BTreeMap<(u8, u32, usize, Span), [f64; 4]>;
    fn totals(reports: impl Iterator<Item = (f64, ReportBody)>) -> Totals {
        let mut totals = Totals::new();
        for (lines, body) in reports {
            let (key, values) = match body {
                ReportBody::Endpoint { replica, report: endpoint, .. } => {
                    let total_latency =
                        (endpoint.attempts - endpoint.failed) * endpoint.mean_latency.seconds();
                    (
                        (0, replica, endpoint.zone, endpoint.window),
                        [lines, endpoint.attempts, endpoint.failed, total_latency],
                    )
                }
                ReportBody::Demand { slice, report: demand } => (
                    (1, slice, demand.request_class, demand.window),
                    [lines, demand.requests, demand.failed, 0.0],
                ),
            };
            let sum = totals.entry(key).or_default();
            (0..4).for_each(|n| sum[n] += values[n]);
        }
        totals
    }
    fn holds(reports: RandomReports) -> bool {
        let mut aggregator = ReportAggregator::new(at(7));
        reports.0.iter().for_each(|report| aggregator.add(*report));
        let summed = aggregator.into_reports();
        assert!(summed.iter().all(|report| report.window_end == at(7)));
        let (single, summed_totals) = (
            totals(reports.0.iter().map(|report| (1.0, *report))),
            totals(summed.iter().map(|report| (report.line_count, report.body))),
        );
        assert_eq!(summed.len(), summed_totals.len(), "each subject has one sum");
        let are_close = |a: &[f64; 4], b: &[f64; 4]| a.iter().zip(b).all(|(a, b)| (a - b).abs() < 1e-6);
        single.len() == summed_totals.len()
            && single.iter().all(|(key, sum)| are_close(sum, &summed_totals[key]))
    }
    quickcheck::QuickCheck::new().tests(500).quickcheck(holds as fn(RandomReports) -> bool);
}

#[test]
fn aggregation_keeps_the_latest_latency() {
    let report = |attempts, failed, ms| {
        let (window_length, mean_latency) = (Span::ms(1000), Span::ms(ms));
        endpoint_report(1, EndpointReport { zone: 0, window: window_length, attempts, failed, mean_latency })
    };
    let mut aggregator = ReportAggregator::new(at(0));
    [report(1.0, 0.0, 100), report(3.0, 0.0, 300), report(2.0, 2.0, 900)]
        .into_iter()
        .for_each(|report| aggregator.add(report));
    let ReportBody::Endpoint { report: sum, latest_latency, .. } = aggregator.into_reports()[0].body else {
        panic!("the sum is not an endpoint report")
    };
    assert_eq!(
        (sum.mean_latency, latest_latency),
        (Span::ms(250), Span::ms(300)),
        "the last report has no successful attempt"
    );
}

#[test]
fn late_reports_count_in_the_interval_that_they_cover() {
    let counter = || WindowedCounter::new(Span::ms(500), 40);
    let (mut late, mut in_time) = (counter(), counter());
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
        "a late report does not change the newest time"
    );
    let before = late.sum(at(6000), Span::ms(20_000));
    late.add_over(at(0) - Span::ms(60_000), Span::ms(1000), 99.0);
    assert_eq!(
        late.sum(at(6000), Span::ms(20_000)),
        before,
        "a report older than the counter's period is not counted"
    );
}

#[test]
fn stalled_reader_is_restarted_with_exponential_backoff() {
    let mut monitor = LivenessMonitor::new(2, at(0));
    let (mut backoffs, mut stopped_at, mut heartbeat) = (Vec::new(), None, 0);
    for ms in (0..60_000).step_by(100) {
        heartbeat += 1;
        monitor.begin_check(at(ms));
        assert_eq!(monitor.check_reader(at(ms), 1, heartbeat, true), None, "the reader makes progress");
        match monitor.check_reader(at(ms), 0, 7, true) {
            Some(ReaderEvent::Stalled) => stopped_at = Some(ms),
            Some(ReaderEvent::RestartDue) => backoffs.push(ms - stopped_at.take().unwrap()),
            Some(ReaderEvent::Died) => panic!("a running thread was reported as dead"),
            None => {}
        }
    }
    assert_eq!(backoffs[..4], [100, 200, 400, 800]);
    assert!(backoffs.iter().all(|backoff| *backoff <= 10_000), "{backoffs:?}");
}

#[test]
fn dead_reader_is_detected_at_once_and_a_pause_of_the_machine_is_not_a_stall() {
    let mut monitor = LivenessMonitor::new(2, at(0));
    monitor.begin_check(at(100));
    assert_eq!(monitor.check_reader(at(100), 0, 0, false), Some(ReaderEvent::Died));
    assert_eq!(monitor.check_reader(at(100), 1, 5, true), None);
    // No check ran for a minute, because the whole machine was paused.
    monitor.begin_check(at(60_000));
    assert_eq!(monitor.check_reader(at(60_000), 1, 5, true), None);
    monitor.begin_check(at(60_200));
    assert_eq!(monitor.check_reader(at(60_200), 1, 5, true), None);
}
