//! Metrics of the reader threads, of the reports received from aggregators and of the command channel. The
//! management API serves them in the Prometheus text format.

use prometheus_client::encoding::text::{encode_eof, encode_registry};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};
use whinwall_ingest::liveness::ReaderEvent;
use whinwall_ingest::ReaderId;
use whinwall_management_api::messages::ReportFreshness;
use whinwall_policy::api::ChannelLoad;
use whinwall_routing::RequestCounts;

/// Prefix of all metric names.
const METRIC_NAME_PREFIX: &str = "whinwall";
/// Exponential buckets of the report lag: upper bound of the first in seconds, growth factor, and number of buckets.
const REPORT_LAG_BUCKETS: (f64, f64, u16) = (0.0001, 2.0, 16);

type ReaderLabel = [(&'static str, String); 1];

fn reader_label(reader: ReaderId) -> ReaderLabel {
    [("reader", reader.to_string())]
}

/// The metric families of the readers, labelled by reader.
struct ReaderFamilies {
    lines: Family<ReaderLabel, Counter>,
    bytes: Family<ReaderLabel, Counter>,
    chunks: Family<ReaderLabel, Counter>,
    busy_microseconds: Family<ReaderLabel, Counter>,
    stalls: Family<ReaderLabel, Counter>,
    deaths: Family<ReaderLabel, Counter>,
    panics: Family<ReaderLabel, Counter>,
    connections: Family<ReaderLabel, Gauge>,
}

impl ReaderFamilies {
    fn register(registry: &mut Registry) -> Self {
        let mut counter_family = |name: &str, help: &str| {
            let family = Family::<ReaderLabel, Counter>::default();
            registry.register(name, help, family.clone());
            family
        };
        let lines = counter_family("reader_lines", "Lines taken apart");
        let bytes = counter_family("reader_bytes", "Bytes taken apart");
        let chunks = counter_family("reader_chunks", "Chunks taken apart");
        let busy_microseconds = counter_family("reader_busy_microseconds", "Time spent taking chunks apart");
        let stalls = counter_family("reader_stalls", "Times that it was replaced because it did not go on");
        let deaths =
            counter_family("reader_deaths", "Times that it was replaced because its thread had ended");
        let panics = counter_family("reader_panics", "Chunks lost by a fault of ours");
        let connections = Family::<ReaderLabel, Gauge>::default();
        registry.register("reader_connections", "Connections that it reads", connections.clone());
        ReaderFamilies { lines, bytes, chunks, busy_microseconds, stalls, deaths, panics, connections }
    }

    fn reader_counters(&self, reader: ReaderId) -> ReaderCounters {
        let label = &reader_label(reader);
        ReaderCounters {
            lines: self.lines.get_or_create(label).clone(),
            bytes: self.bytes.get_or_create(label).clone(),
            chunks: self.chunks.get_or_create(label).clone(),
            busy_microseconds: self.busy_microseconds.get_or_create(label).clone(),
            stalls: self.stalls.get_or_create(label).clone(),
            deaths: self.deaths.get_or_create(label).clone(),
            panics: self.panics.get_or_create(label).clone(),
            connections: self.connections.get_or_create(label).clone(),
        }
    }
}

/// The metrics of one reader.
struct ReaderCounters {
    lines: Counter,
    bytes: Counter,
    chunks: Counter,
    busy_microseconds: Counter,
    stalls: Counter,
    deaths: Counter,
    panics: Counter,
    connections: Gauge,
}

/// Queue lengths and the number of late batches of the reader pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolBacklog {
    /// Chunks queued for a reader.
    pub queued_chunks: usize,
    /// Batches that wait for an earlier batch of their connection.
    pub early_batches: usize,
    /// Number of batches since the start that arrived too late, for example for a closed connection, or twice.
    pub late_batches: u64,
}

/// Metrics of the reader pool.
pub struct ReaderMetrics {
    registry: Registry,
    readers: Vec<ReaderCounters>,
    queued_chunks: Gauge,
    early_batches: Gauge,
    late_batches: Gauge,
    /// Time from the arrival of a chunk until its reports are applied.
    report_lag: Histogram,
}

impl ReaderMetrics {
    /// Creates the metrics of a pool of `reader_count` readers, all zero.
    pub fn new(reader_count: usize) -> Self {
        let mut registry = Registry::with_prefix(METRIC_NAME_PREFIX);
        let families = ReaderFamilies::register(&mut registry);
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let queued_chunks = gauge("chunks_waiting", "Chunks that wait for a reader");
        let early_batches = gauge("batches_early", "Batches that wait for an earlier one");
        let late_batches = gauge("batches_late", "Batches that came for nobody since the start");
        let (first, factor, count) = REPORT_LAG_BUCKETS;
        let report_lag = Histogram::new(exponential_buckets(first, factor, count));
        registry.register(
            "report_lag_seconds",
            "From a report's arrival to the decisions",
            report_lag.clone(),
        );
        let readers = (0..reader_count).map(|reader| families.reader_counters(reader)).collect();
        ReaderMetrics { registry, readers, queued_chunks, early_batches, late_batches, report_lag }
    }

    /// Counts a chunk that a reader has just decoded; `started_at` is the time at which the decoding started.
    pub fn count_chunk(&self, reader: ReaderId, bytes: usize, lines: usize, started_at: Instant) {
        if let Some(reader) = self.readers.get(reader) {
            reader.lines.inc_by(lines as u64);
            reader.bytes.inc_by(bytes as u64);
            reader.chunks.inc();
            reader.busy_microseconds.inc_by(started_at.elapsed().as_micros() as u64);
        }
    }

    /// Counts a chunk that was lost because decoding it panicked.
    pub fn count_panic(&self, reader: ReaderId) {
        self.readers.get(reader).map(|reader| reader.panics.inc());
    }

    /// Counts stalls and terminations of a reader; restarts are not counted.
    pub fn count_reader_event(&self, reader: ReaderId, event: ReaderEvent) {
        if let Some(reader) = self.readers.get(reader) {
            match event {
                ReaderEvent::Stalled => _ = reader.stalls.inc(),
                ReaderEvent::Died => _ = reader.deaths.inc(),
                ReaderEvent::RestartDue => {}
            }
        }
    }

    /// Sets the gauges of the pool's queues and of each reader's number of connections.
    pub fn set_backlog(&self, backlog: PoolBacklog, connections: impl Fn(ReaderId) -> usize) {
        self.queued_chunks.set(backlog.queued_chunks as i64);
        self.early_batches.set(backlog.early_batches as i64);
        self.late_batches.set(backlog.late_batches as i64);
        for (id, reader) in self.readers.iter().enumerate() {
            reader.connections.set(connections(id) as i64);
        }
    }

    /// Records the time from the arrival of a chunk until its reports are applied.
    pub fn observe_report_lag(&self, lag: Duration) {
        self.report_lag.observe(lag.as_secs_f64());
    }

    /// Encodes the metrics of the readers alone in the text format.
    pub fn encode(&self) -> String {
        encode(Some(self), None, None)
    }
}

/// Metrics of the reports received from aggregators.
pub struct ReportMetrics {
    /// Age, rate and completeness of the reports.
    pub freshness: ReportFreshness,
    /// Requests per second for the controller's slices, according to the reports.
    pub measured_load: f64,
}

/// Metrics of the command channel to the proxies.
pub struct ChannelMetrics {
    /// Connected proxies, and the unacknowledged lines and capacity of the channel.
    pub load: ChannelLoad,
    /// Outcomes of relay requests.
    pub requests: RequestCounts,
}

/// Encodes the given metrics in the text format.
pub fn encode(
    readers: Option<&ReaderMetrics>,
    reports: Option<&ReportMetrics>,
    channel: Option<&ChannelMetrics>,
) -> String {
    let report_registry = reports.map(build_report_registry);
    let channel_registry = channel.map(build_channel_registry);
    let registries =
        [readers.map(|metrics| &metrics.registry), report_registry.as_ref(), channel_registry.as_ref()];
    let mut text = String::new();
    for registry in registries.into_iter().flatten() {
        // Writing to a `String` cannot fail.
        _ = encode_registry(&mut text, registry);
    }
    _ = encode_eof(&mut text);
    text
}

/// Registers a gauge with a fixed value.
fn register_gauge(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge = Gauge::<f64, AtomicU64>::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

fn build_report_registry(metrics: &ReportMetrics) -> Registry {
    let freshness = &metrics.freshness;
    let mut registry = Registry::with_prefix(METRIC_NAME_PREFIX);
    let mut gauge = |name, help, value| register_gauge(&mut registry, name, help, value);
    gauge(
        "aggregated_report_bytes_per_second",
        "Bytes of reports that came of late",
        freshness.bytes_per_second,
    );
    if let Some(age) = freshness.age {
        gauge("aggregated_report_age_seconds", "Time since the last report came", age.seconds());
    }
    let stale = f64::from(u8::from(freshness.stale));
    gauge("aggregated_reports_stale", "1 while the governor goes on with what it has", stale);
    let partial = freshness.partial_replicas as f64;
    gauge("partially_observed_replicas", "Replicas that no verdict is given on", partial);
    gauge("measured_requests_per_second", "Requests for the governor's slices", metrics.measured_load);
    registry
}

fn build_channel_registry(metrics: &ChannelMetrics) -> Registry {
    let mut registry = Registry::with_prefix(METRIC_NAME_PREFIX);
    let ChannelLoad { proxies, unacked_lines, capacity_lines } = metrics.load;
    let mut gauge = |name, help, value| register_gauge(&mut registry, name, help, value);
    gauge("connected_proxies", "Proxies that are connected to the relay", proxies as f64);
    gauge("channel_unacked_lines", "Lines that proxies have not acknowledged", unacked_lines);
    gauge("channel_capacity_lines", "Lines that may wait in the command channel", capacity_lines);
    let counts = metrics.requests;
    let outcomes = Family::<[(&'static str, &'static str); 1], Counter>::default();
    for (outcome, count) in
        [("accepted", counts.accepted), ("not-applied", counts.not_applied), ("unknown", counts.unknown)]
    {
        outcomes.get_or_create(&[("outcome", outcome)]).inc_by(count);
    }
    registry.register("relay_requests", "Attempts at relay requests, by their outcome", outcomes);
    let mut counter = |name: &str, help: &str, value: u64| {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        registry.register(name, help, counter);
    };
    counter("relay_requests_sent", "Attempts at relay requests that were sent", counts.sent);
    counter("relay_requests_held", "Resends that waited for room in the command channel", counts.held);
    registry
}
