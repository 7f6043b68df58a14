//! Messages at the controller's own address: JSON lines, mostly from the collectors of the zones.

use super::error::{DecodeError, InvalidLine, InvalidMessage};
use super::{is_plausible_count, is_plausible_time_ms};
use serde::{Deserialize, Serialize};
use serde_json::error::Category;

/// A message of a peer.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "@type")]
pub enum Message {
    /// Asks for a `Pong`.
    #[serde(rename = "PING")]
    Ping,
    /// The first message of a collector or aggregator, which authenticates it.
    #[serde(rename = "SOURCE")]
    Source {
        /// The zone that it reports for.
        #[serde(rename = "az")]
        zone: String,
    },
    /// A load report on a replica.
    #[serde(rename = "LOAD")]
    EndpointReport(EndpointReport),
    /// A load report on a slice.
    #[serde(rename = "SHARD")]
    DemandReport(DemandReport),
    /// A message of an unknown type.
    #[serde(other)]
    Unknown,
}

/// The outcome of the requests that the proxies of a zone sent to a replica.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointReport {
    /// The zone of the proxies.
    #[serde(rename = "az")]
    pub zone: String,
    /// The replica's name.
    #[serde(rename = "host")]
    pub replica: String,
    /// The number of attempts that ended.
    #[serde(rename = "n")]
    pub attempts: f64,
    /// How count of these failed.
    #[serde(rename = "bad")]
    pub failed: f64,
    /// Their mean latency in milliseconds.
    #[serde(rename = "avg")]
    pub mean_latency_ms: f64,
    /// The time that the report covers, in milliseconds.
    #[serde(rename = "window")]
    pub window_ms: f64,
    /// The number of zones whose reports are not in the sum, where an aggregator made the line.
    #[serde(default)]
    pub missing: u32,
}

/// An endpoint report with what the replica reported of itself.
#[derive(Deserialize)]
struct WithReplicaReport {
    #[serde(rename = "report", default)]
    replica_report: Option<ReplicaReport>,
}

/// What the replica last reported of itself.
#[derive(Deserialize)]
struct ReplicaReport {
    #[serde(rename = "inflight", default)]
    in_flight: Option<f64>,
}

/// The requests of one request class for a slice.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DemandReport {
    /// The slice.
    #[serde(rename = "partition")]
    pub slice: u32,
    /// The request class's name.
    #[serde(rename = "kind")]
    pub request_class: String,
    /// The number of requests that arrived.
    #[serde(rename = "n")]
    pub requests: f64,
    /// The number of requests that failed; some may have arrived before the time that the report covers.
    #[serde(rename = "bad")]
    pub failed: f64,
    /// The time that the report covers, in milliseconds.
    #[serde(rename = "window")]
    pub window_ms: f64,
    /// The number of zones whose reports are not in the sum, where an aggregator made the line.
    #[serde(default)]
    pub missing: u32,
}

/// A reply of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "@type")]
pub enum Reply {
    /// The reply to a `Ping`.
    #[serde(rename = "PONG")]
    Pong,
    /// The last message to a peer that is disconnected.
    #[serde(rename = "NACK")]
    Nack {
        /// The reason.
        why: &'static str,
    },
}

/// Encodes a reply, without the end of its line.
pub fn encode(reply: Reply) -> String {
    serde_json::to_string(&reply).unwrap_or_default()
}

/// A valid report whose names borrow from its line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report<'a> {
    /// See [`EndpointReport`].
    EndpointReport {
        /// The zone of the proxies.
        zone: &'a str,
        /// The replica's name.
        replica: &'a str,
        /// The number of attempts that ended.
        attempts: f64,
        /// How count of these failed.
        failed: f64,
        /// Their mean latency in milliseconds.
        mean_latency_ms: f64,
        /// The time that the report covers, in milliseconds.
        window_ms: f64,
        /// The number of zones whose reports are not in the sum.
        missing: u32,
    },
    /// See [`DemandReport`].
    DemandReport {
        /// The slice.
        slice: u32,
        /// The request class's name.
        request_class: &'a str,
        /// The number of requests that arrived.
        requests: f64,
        /// The number of requests that failed.
        failed: f64,
        /// The time that the report covers, in milliseconds.
        window_ms: f64,
        /// The number of zones whose reports are not in the sum.
        missing: u32,
    },
}

/// The fields of both kinds of report, decoded in one pass.
#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(rename = "@type", borrow)]
    kind: &'a str,
    #[serde(rename = "az", borrow, default)]
    zone: Option<&'a str>,
    #[serde(rename = "host", borrow, default)]
    replica: Option<&'a str>,
    #[serde(rename = "kind", borrow, default)]
    request_class: Option<&'a str>,
    #[serde(rename = "partition", default)]
    slice: Option<u32>,
    #[serde(rename = "n", default)]
    count: Option<f64>,
    #[serde(rename = "bad", default)]
    failed: Option<f64>,
    #[serde(rename = "avg", default)]
    mean_latency_ms: Option<f64>,
    #[serde(rename = "window", default)]
    window_ms: Option<f64>,
    #[serde(default)]
    missing: u32,
    #[serde(rename = "report", default)]
    replica_report: Option<ReplicaReport>,
}

/// Decodes a valid report without allocating: the fast path of nearly every line. None for any other line, which
/// [`decode_with_diagnosis`] decodes or says what is wrong with.
pub fn decode_report(line: &str) -> Option<Report<'_>> {
    let fields: Fields = serde_json::from_str(line).ok()?;
    let (count, failed, window_ms, missing) =
        (fields.count?, fields.failed?, fields.window_ms?, fields.missing);
    match fields.kind {
        "LOAD" => {
            let (zone, replica, mean_latency_ms) = (fields.zone?, fields.replica?, fields.mean_latency_ms?);
            let is_plausible = is_plausible_endpoint_report(
                count,
                failed,
                mean_latency_ms,
                window_ms,
                fields.replica_report.as_ref(),
            );
            is_plausible.then_some(Report::EndpointReport {
                zone,
                replica,
                attempts: count,
                failed,
                mean_latency_ms,
                window_ms,
                missing,
            })
        }
        "SHARD" => {
            let (slice, request_class) = (fields.slice?, fields.request_class?);
            let is_plausible = is_plausible_demand_report(count, failed, window_ms);
            is_plausible.then_some(Report::DemandReport {
                slice,
                request_class,
                requests: count,
                failed,
                window_ms,
                missing,
            })
        }
        _ => None,
    }
}

impl From<Report<'_>> for Message {
    fn from(report: Report) -> Message {
        match report {
            Report::EndpointReport {
                zone,
                replica,
                attempts,
                failed,
                mean_latency_ms,
                window_ms,
                missing,
            } => Message::EndpointReport(EndpointReport {
                zone: zone.into(),
                replica: replica.into(),
                attempts,
                failed,
                mean_latency_ms,
                window_ms,
                missing,
            }),
            Report::DemandReport { slice, request_class, requests, failed, window_ms, missing } => {
                Message::DemandReport(DemandReport {
                    slice,
                    request_class: request_class.into(),
                    requests,
                    failed,
                    window_ms,
                    missing,
                })
            }
        }
    }
}

/// Decodes a message.
///
/// # Errors
///
/// As [`decode_with_diagnosis`].
pub fn decode(line: &str) -> Result<Message, InvalidMessage> {
    decode_report(line).map_or_else(|| decode_with_diagnosis(line), |report| Ok(report.into()))
}

/// Decodes a message of any type and any order of fields, more slowly than [`decode_report`].
///
/// # Errors
///
/// Fails with `Unreadable` where the line is not JSON, and with `Malformed` where it is not a message or has an
/// implausible number.
pub fn decode_with_diagnosis(line: &str) -> Result<Message, InvalidMessage> {
    if !line.trim_start().starts_with('{') {
        return Err(InvalidMessage::Unreadable(DecodeError::new(InvalidLine::NotAnObject, line)));
    }
    let message: Message = serde_json::from_str(line).map_err(|error| match error.classify() {
        Category::Data => malformed(error, line),
        _ => InvalidMessage::Unreadable(DecodeError::new(error, line)),
    })?;
    let is_plausible = match &message {
        Message::EndpointReport(report) => {
            // Nothing rests on what a replica reports of itself, but where that is malformed so is the message.
            let with_own: WithReplicaReport =
                serde_json::from_str(line).map_err(|error| malformed(error, line))?;
            let (attempts, failed) = (report.attempts, report.failed);
            let own = with_own.replica_report.as_ref();
            is_plausible_endpoint_report(attempts, failed, report.mean_latency_ms, report.window_ms, own)
        }
        Message::DemandReport(report) => {
            is_plausible_demand_report(report.requests, report.failed, report.window_ms)
        }
        _ => true,
    };
    is_plausible
        .then_some(message)
        .ok_or_else(|| malformed(InvalidLine::OutOfRange("an absurd figure"), line))
}

fn malformed(reason: impl Into<InvalidLine>, line: &str) -> InvalidMessage {
    InvalidMessage::Malformed(DecodeError::new(reason, line))
}

fn is_plausible_endpoint_report(
    attempts: f64,
    failed: f64,
    mean_latency_ms: f64,
    window_ms: f64,
    own: Option<&ReplicaReport>,
) -> bool {
    is_plausible_count(attempts)
        && (0.0..=attempts).contains(&failed)
        && is_plausible_time_ms(mean_latency_ms)
        && is_plausible_window(window_ms)
        && own.is_none_or(|own| is_plausible_count(own.in_flight.unwrap_or(0.0)))
}

/// There may be more failures than requests: those of requests that arrived before the report's window fail within it.
fn is_plausible_demand_report(requests: f64, failed: f64, window_ms: f64) -> bool {
    is_plausible_count(requests) && is_plausible_count(failed) && is_plausible_window(window_ms)
}

/// A report covers more than an instant.
fn is_plausible_window(window_ms: f64) -> bool {
    window_ms > 0.0 && is_plausible_time_ms(window_ms)
}
