//! Serves metrics in the Prometheus text format over HTTP on a loopback address.

use super::error::MetricsError;
use actix_http::StatusCode;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use whinwall_aggregation::status::{Counters, Status};
use whinwall_serving::accept;
use whinwall_serving::http::{self, Handler, HttpLimits, HttpRequest, HttpResponse};
use whinwall_serving::shutdown::ShutdownSignal;

const LIMITS: HttpLimits = HttpLimits {
    max_connections: 64,
    // Requests for metrics have no body.
    max_body_bytes: 0,
    request_timeout: Duration::from_secs(2),
    keep_alive: Duration::from_secs(15),
};

/// Counters of the process, in addition to those of the reducer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Lines received.
    pub lines_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Lines that were malformed or not accepted from the peer.
    pub rejected_lines: u64,
    /// Batches dropped because the controller read too slowly.
    pub batches_dropped: u64,
}

/// All metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Metrics {
    /// Counters of the process.
    pub traffic: Traffic,
    /// Counters of the reducer.
    pub counters: Counters,
    /// Current values of the reducer.
    pub status: Status,
}

/// The latest metrics, shared with the HTTP service.
pub type SharedMetrics = Rc<RefCell<Metrics>>;

fn encode_metrics(metrics: &Metrics) -> String {
    let Metrics { traffic, counters, status } = *metrics;
    let mut registry = Registry::with_prefix("whinwall_aggregator");
    let counts = [
        ("lines_in", "Lines that came", traffic.lines_in),
        ("bytes_in", "Bytes that came", traffic.bytes_in),
        ("lines_spoilt", "Lines that were no usable messages", traffic.rejected_lines),
        ("batches_dropped", "Batches for governors that read too slowly", traffic.batches_dropped),
        ("reports", "Reports summed", counters.reports),
        (
            "reports_unknown",
            "Reports of unlisted replicas or slices of no governor",
            counters.reports_unknown,
        ),
        ("reports_dropped", "Reports for which there was no room", counters.reports_dropped),
        ("lines_out", "Report lines to governors", counters.lines_sent),
        ("bytes_out", "Bytes to governors", counters.bytes_sent),
        ("budget_stretches", "Turns in which lines had to wait for the budget", counters.over_budget_batches),
        ("stalls", "Times that it was not running and started anew", counters.stalls),
        ("assignments", "Times that subsets were computed", counters.assignments),
    ];
    for (name, help, count) in counts {
        let counter: Counter = Counter::default();
        counter.inc_by(count);
        registry.register(name, help, counter);
    }
    let gauges = [
        ("ready", "Whether it passes reports on", usize::from(status.ready)),
        ("governors_owned", "Governors that are its to serve", status.controllers_owned),
        ("governors_connected", "Governors that it is connected to", status.controllers_connected),
        ("peers_alive", "Other aggregators that are alive", status.peers_alive),
        ("zones", "Zones that are known", status.zones),
        ("zones_missing", "Zones that are missing", status.zones_missing),
        ("replicas", "Replicas listed", status.replicas),
        ("series", "Series held", status.series),
        ("registry_version", "The version of the list", status.registry_version as usize),
    ];
    for (name, help, value) in gauges {
        let gauge: Gauge = Gauge::default();
        gauge.set(value as i64);
        registry.register(name, help, gauge);
    }
    let mut text = String::new();
    // Writing to a string cannot fail.
    _ = encode(&mut text, &registry);
    text
}

/// The HTTP handler of the metrics.
struct MetricsHandler(SharedMetrics);

impl Handler for MetricsHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        match request.head.uri.path() {
            "/metrics" => response(StatusCode::OK, encode_metrics(&self.0.borrow())),
            _ => response(StatusCode::NOT_FOUND, String::new()),
        }
    }

    fn reject(&self, status: StatusCode, reason: &str) -> HttpResponse {
        response(status, format!("{reason}\n"))
    }
}

fn response(status: StatusCode, body: String) -> HttpResponse {
    HttpResponse { status, content_type: "application/openmetrics-text", body }
}

/// Serves the metrics until the shutdown signal is closed.
///
/// # Errors
///
/// Fails if the program cannot listen on the address.
pub async fn serve(
    address: SocketAddr,
    metrics: SharedMetrics,
    signal: ShutdownSignal,
) -> Result<(), MetricsError> {
    let listen_error = |source| MetricsError::Listen { address, source };
    let listener = accept::listen(address).map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    tracing::info!("metrics at {bound}");
    http::serve(listener, LIMITS, Rc::new(MetricsHandler(metrics)), signal).await;
    Ok(())
}
