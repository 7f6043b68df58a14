//! Figures of the readers, for whoever looks for the one that is behind and why, counted where the work is done; and of the
//! reports that aggregators make. Read at the management front, in the text form that Prometheus reads.

use prometheus_client::encoding::text::{encode_eof, encode_registry};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};
use whinwall_ingest::watch::Found;
use whinwall_ingest::CoreId;
use whinwall_management_api::messages::ReportFreshness;

type OfCore = [(&'static str, String); 1];

fn of(core: CoreId) -> OfCore {
    [("reader", core.to_string())]
}

/// What is counted of one reader.
struct OfReader {
    lines: Counter,
    bytes: Counter,
    chunks: Counter,
    /// Microseconds of taking apart.
    busy: Counter,
    stalls: Counter,
    deaths: Counter,
    panics: Counter,
    connections: Gauge,
}

pub struct Meters {
    registry: Registry,
    readers: Vec<OfReader>,
    /// Chunks that wait for a reader, and batches that wait for an earlier one.
    waiting: Gauge,
    early: Gauge,
    late: Gauge,
    /// From the arrival of a chunk to its batch's turn.
    lag: Histogram,
}

impl Meters {
    pub fn of(readers: usize) -> Self {
        let mut registry = Registry::with_prefix("whinwall");
        let mut counters = |name: &str, help: &str| {
            let family = Family::<OfCore, Counter>::default();
            registry.register(name, help, family.clone());
            family
        };
        let lines = counters("reader_lines", "Lines taken apart");
        let bytes = counters("reader_bytes", "Bytes taken apart");
        let chunks = counters("reader_chunks", "Chunks taken apart");
        let busy = counters("reader_busy_microseconds", "Time spent taking chunks apart");
        let stalls = counters("reader_stalls", "Times that it was replaced because it did not go on");
        let deaths = counters("reader_deaths", "Times that it was replaced because its thread had ended");
        let panics = counters("reader_panics", "Chunks lost by a fault of ours");
        let connections = Family::<OfCore, Gauge>::default();
        registry.register("reader_connections", "Connections that it reads", connections.clone());
        let gauge = |registry: &mut Registry, name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let waiting = gauge(&mut registry, "chunks_waiting", "Chunks that wait for a reader");
        let early = gauge(&mut registry, "batches_early", "Batches that wait for an earlier one");
        let late = gauge(&mut registry, "batches_late", "Batches that came for nobody since the start");
        let lag = Histogram::new(exponential_buckets(0.0001, 2.0, 16));
        registry.register("report_lag_seconds", "From a report's arrival to the decisions", lag.clone());
        let reader = |core| OfReader {
            lines: lines.get_or_create(&of(core)).clone(),
            bytes: bytes.get_or_create(&of(core)).clone(),
            chunks: chunks.get_or_create(&of(core)).clone(),
            busy: busy.get_or_create(&of(core)).clone(),
            stalls: stalls.get_or_create(&of(core)).clone(),
            deaths: deaths.get_or_create(&of(core)).clone(),
            panics: panics.get_or_create(&of(core)).clone(),
            connections: connections.get_or_create(&of(core)).clone(),
        };
        Meters { readers: (0..readers).map(reader).collect(), registry, waiting, early, late, lag }
    }

    pub fn carried(&self, core: CoreId, bytes: usize, lines: usize, began: Instant) {
        if let Some(reader) = self.readers.get(core) {
            reader.lines.inc_by(lines as u64);
            reader.bytes.inc_by(bytes as u64);
            reader.chunks.inc();
            reader.busy.inc_by(began.elapsed().as_micros() as u64);
        }
    }

    pub fn panicked(&self, core: CoreId) {
        self.readers.get(core).map(|reader| reader.panics.inc());
    }

    pub fn stopped(&self, core: CoreId, found: Found) {
        if let Some(reader) = self.readers.get(core) {
            match found {
                Found::Stalled => _ = reader.stalls.inc(),
                Found::Dead => _ = reader.deaths.inc(),
                Found::Again => {}
            }
        }
    }

    pub fn state(&self, waiting: usize, early: usize, late: u64, connections: impl Fn(CoreId) -> usize) {
        self.waiting.set(waiting as i64);
        self.early.set(early as i64);
        self.late.set(late as i64);
        for (core, reader) in self.readers.iter().enumerate() {
            reader.connections.set(connections(core) as i64);
        }
    }

    pub fn applied(&self, lag: Duration) {
        self.lag.observe(lag.as_secs_f64());
    }

    /// The figures of the readers alone.
    pub fn text(&self) -> String {
        text(Some(self), None)
    }
}

/// What becomes of aggregated reports.
pub struct ReportFigures {
    pub freshness: ReportFreshness,
    /// Requests a second that they show for the controller's slices.
    pub measured_load: f64,
}

/// All figures that there are.
pub fn text(readers: Option<&Meters>, reports: Option<&ReportFigures>) -> String {
    let of_reports = reports.map(registry_of);
    let registries = [readers.map(|meters| &meters.registry), of_reports.as_ref()];
    let mut text = String::new();
    for registry in registries.into_iter().flatten() {
        _ = encode_registry(&mut text, registry);
    }
    _ = encode_eof(&mut text);
    text
}

fn registry_of(figures: &ReportFigures) -> Registry {
    let reports = &figures.freshness;
    let mut registry = Registry::with_prefix("whinwall");
    let mut gauge = |name: &str, help: &str, value: f64| {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(value);
        registry.register(name, help, gauge);
    };
    gauge(
        "aggregated_report_bytes_per_second",
        "Bytes of reports that came of late",
        reports.bytes_per_second,
    );
    if let Some(age) = reports.age {
        gauge("aggregated_report_age_seconds", "Time since the last report came", age.seconds());
    }
    let stale = f64::from(u8::from(reports.stale));
    gauge("aggregated_reports_stale", "1 while the governor goes on with what it has", stale);
    let partial = reports.partial_replicas as f64;
    gauge("partially_observed_replicas", "Replicas that no verdict is given on", partial);
    gauge("measured_requests_per_second", "Requests for the governor's slices", figures.measured_load);
    registry
}
