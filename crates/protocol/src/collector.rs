//! Messages that the controller receives on its listening address. They are JSON lines, most of them load reports from
//! the collectors of the zones.

use super::error::{DecodeError, InvalidLine, InvalidMessage};
use super::{validate_count, validate_range, validate_time_ms};
use serde::{Deserialize, Serialize};
use serde_json::error::Category;

/// A message from a peer.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "@type")]
pub enum Message {
    /// Requests a `Pong` reply.
    #[serde(rename = "PING")]
    Ping,
    /// The first message of a collector or aggregator, which authenticates it.
    #[serde(rename = "SOURCE")]
    Source {
        /// The zone that the peer reports for.
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

/// The outcomes of the attempts that the proxies of one zone sent to one replica.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointReport {
    /// The zone of the proxies.
    #[serde(rename = "az")]
    pub zone: String,
    /// The replica's name.
    #[serde(rename = "host")]
    pub replica: String,
    /// The number of attempts that completed.
    #[serde(rename = "n")]
    pub attempts: f64,
    /// The number of completed attempts that failed.
    #[serde(rename = "bad")]
    pub failed: f64,
    /// The mean latency of the completed attempts, in milliseconds.
    #[serde(rename = "avg")]
    pub mean_latency_ms: f64,
    /// The length of the reported window, in milliseconds.
    #[serde(rename = "window")]
    pub window_ms: f64,
    /// The number of zones whose reports are missing from the aggregate, if an aggregator sent the line.
    #[serde(default)]
    pub missing: u32,
}

/// The part of an endpoint report that holds the replica's own report.
#[derive(Deserialize)]
struct WithReplicaReport {
    #[serde(rename = "report", default)]
    replica_report: Option<ReplicaReport>,
}

/// The replica's most recent report about itself.
#[derive(Deserialize)]
struct ReplicaReport {
    #[serde(rename = "inflight", default)]
    in_flight: Option<f64>,
}

/// The requests of one request class for one slice.
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
    /// The number of requests that failed within the window; some may have arrived before it.
    #[serde(rename = "bad")]
    pub failed: f64,
    /// The length of the reported window, in milliseconds.
    #[serde(rename = "window")]
    pub window_ms: f64,
    /// The number of zones whose reports are missing from the aggregate, if an aggregator sent the line.
    #[serde(default)]
    pub missing: u32,
}

/// A reply from the controller.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "@type")]
pub enum Reply {
    /// The reply to a `Ping`.
    #[serde(rename = "PONG")]
    Pong,
    /// The last message to a peer before it is disconnected.
    #[serde(rename = "NACK")]
    Nack {
        /// The reason for the disconnection.
        why: &'static str,
    },
}

/// Encodes a reply as JSON, without a line terminator.
pub fn encode(reply: Reply) -> String {
    serde_json::to_string(&reply).unwrap_or_default()
}

/// A valid report whose names are borrowed from the line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report<'a> {
    /// See [`EndpointReport`].
    EndpointReport {
        /// The zone of the proxies.
        zone: &'a str,
        /// The replica's name.
        replica: &'a str,
        /// The number of attempts that completed.
        attempts: f64,
        /// The number of completed attempts that failed.
        failed: f64,
        /// The mean latency of the completed attempts, in milliseconds.
        mean_latency_ms: f64,
        /// The length of the reported window, in milliseconds.
        window_ms: f64,
        /// The number of zones whose reports are missing from the aggregate.
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
        /// The length of the reported window, in milliseconds.
        window_ms: f64,
        /// The number of zones whose reports are missing from the aggregate.
        missing: u32,
    },
}

/// The fields of both report types, decoded in one pass.
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

/// Decodes a valid report without allocating: the fast path, taken by nearly every line. Returns `None` for any other
/// line; [`decode_with_diagnosis`] decodes other messages and reports why a line is invalid.
pub fn decode_report(line: &str) -> Option<Report<'_>> {
    let fields: Fields = serde_json::from_str(line).ok()?;
    let (count, failed, window_ms, missing) =
        (fields.count?, fields.failed?, fields.window_ms?, fields.missing);
    match fields.kind {
        "LOAD" => {
            let (zone, replica, mean_latency_ms) = (fields.zone?, fields.replica?, fields.mean_latency_ms?);
            let validity = validate_endpoint_report(
                count,
                failed,
                mean_latency_ms,
                window_ms,
                fields.replica_report.as_ref(),
            );
            validity.is_ok().then_some(Report::EndpointReport {
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
            let validity = validate_demand_report(count, failed, window_ms);
            validity.is_ok().then_some(Report::DemandReport {
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
/// The same as those of [`decode_with_diagnosis`].
pub fn decode(line: &str) -> Result<Message, InvalidMessage> {
    decode_report(line).map_or_else(|| decode_with_diagnosis(line), |report| Ok(report.into()))
}

/// Decodes a message of any type with its fields in any order. Slower than [`decode_report`].
///
/// # Errors
///
/// Returns `Unreadable` if the line is not a JSON object, and `Malformed` if the object is not a valid message or
/// contains an implausible number.
pub fn decode_with_diagnosis(line: &str) -> Result<Message, InvalidMessage> {
    if !line.trim_start().starts_with('{') {
        return Err(InvalidMessage::Unreadable(DecodeError::new(InvalidLine::NotAnObject, line)));
    }
    let message: Message = serde_json::from_str(line).map_err(|error| match error.classify() {
        Category::Data => malformed(error, line),
        _ => InvalidMessage::Unreadable(DecodeError::new(error, line)),
    })?;
    let validity = match &message {
        Message::EndpointReport(report) => {
            // The replica's own report is not used, but if it is malformed, the whole message is rejected.
            let extension: WithReplicaReport =
                serde_json::from_str(line).map_err(|error| malformed(error, line))?;
            let (attempts, failed) = (report.attempts, report.failed);
            let replica_report = extension.replica_report.as_ref();
            validate_endpoint_report(
                attempts,
                failed,
                report.mean_latency_ms,
                report.window_ms,
                replica_report,
            )
        }
        Message::DemandReport(report) => {
            validate_demand_report(report.requests, report.failed, report.window_ms)
        }
        _ => Ok(()),
    };
    validity.map(|()| message).map_err(|reason| malformed(reason, line))
}

fn malformed(reason: impl Into<InvalidLine>, line: &str) -> InvalidMessage {
    InvalidMessage::Malformed(DecodeError::new(reason, line))
}

fn validate_endpoint_report(
    attempts: f64,
    failed: f64,
    mean_latency_ms: f64,
    window_ms: f64,
    replica_report: Option<&ReplicaReport>,
) -> Result<(), InvalidLine> {
    validate_count("n", attempts)?;
    validate_range("bad", failed, attempts)?;
    validate_time_ms("avg", mean_latency_ms)?;
    validate_window(window_ms)?;
    let in_flight = replica_report.and_then(|report| report.in_flight);
    validate_count("inflight", in_flight.unwrap_or(0.0))
}

/// Failures may outnumber requests, because requests that arrived before the window can fail within it.
fn validate_demand_report(requests: f64, failed: f64, window_ms: f64) -> Result<(), InvalidLine> {
    validate_count("n", requests)?;
    validate_count("bad", failed)?;
    validate_window(window_ms)
}

/// Returns an error if the length of a window is not plausible, or if it is 0.
fn validate_window(window_ms: f64) -> Result<(), InvalidLine> {
    validate_time_ms("window", window_ms)?;
    if window_ms > 0.0 {
        Ok(())
    } else {
        Err(InvalidLine::NotPositive("window"))
    }
}
