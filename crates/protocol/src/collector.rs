//! What comes to the controller's own address: JSON lines, mostly from the collectors of the places.

use super::{is_sane, is_sane_ms, InvalidMessage, Malformed};
use serde::{Deserialize, Serialize};
use serde_json::error::Category;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "@type")]
pub enum Message {
    #[serde(rename = "PING")]
    Ping,
    /// A collector says for which place it speaks.
    #[serde(rename = "SOURCE")]
    Source {
        #[serde(rename = "az")]
        zone: String,
    },
    #[serde(rename = "LOAD")]
    EndpointReport(EndpointReport),
    #[serde(rename = "SHARD")]
    DemandReport(DemandReport),
    #[serde(other)]
    Unknown,
}

/// What the proxies of a place met at a replica.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointReport {
    #[serde(rename = "az")]
    pub zone: String,
    #[serde(rename = "host")]
    pub replica: String,
    #[serde(rename = "n")]
    pub attempts: f64,
    #[serde(rename = "bad")]
    pub failed: f64,
    #[serde(rename = "avg")]
    pub mean_latency_ms: f64,
    #[serde(rename = "window")]
    pub covers_ms: f64,
    /// The number of zones whose reports are not in the sum, where an aggregator made the line.
    #[serde(default)]
    pub missing: u32,
}

#[derive(Deserialize)]
struct WithOwn {
    #[serde(rename = "report", default)]
    own: Option<Own>,
}

/// What the replica last said of itself.
#[derive(Deserialize)]
struct Own {
    #[serde(rename = "inflight", default)]
    in_flight: Option<f64>,
}

/// What came for a slice, of one request class.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DemandReport {
    #[serde(rename = "partition")]
    pub slice: u32,
    #[serde(rename = "kind")]
    pub request_class: String,
    #[serde(rename = "n")]
    pub came: f64,
    #[serde(rename = "bad")]
    pub failed: f64,
    #[serde(rename = "window")]
    pub covers_ms: f64,
    /// The number of zones whose reports are not in the sum, where an aggregator made the line.
    #[serde(default)]
    pub missing: u32,
}

/// What we say there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "@type")]
pub enum Reply {
    #[serde(rename = "PONG")]
    Pong,
    /// To whoever is let go.
    #[serde(rename = "NACK")]
    Nack { why: &'static str },
}

pub fn encode(reply: Reply) -> String {
    serde_json::to_string(&reply).unwrap_or_default()
}

/// A report that is as it should be, in the words of its line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report<'a> {
    EndpointReport {
        zone: &'a str,
        replica: &'a str,
        attempts: f64,
        failed: f64,
        mean_latency_ms: f64,
        covers_ms: f64,
        missing: u32,
    },
    DemandReport {
        slice: u32,
        request_class: &'a str,
        came: f64,
        failed: f64,
        covers_ms: f64,
        missing: u32,
    },
}

/// All that any report has, in one pass.
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
    many: Option<f64>,
    #[serde(rename = "bad", default)]
    failed: Option<f64>,
    #[serde(rename = "avg", default)]
    mean_latency_ms: Option<f64>,
    #[serde(rename = "window", default)]
    covers_ms: Option<f64>,
    #[serde(default)]
    missing: u32,
    #[serde(rename = "report", default)]
    own: Option<Own>,
}

/// The way of nearly every line: where it is a report in order, and written as reports are, it is taken at
/// once. All else is for `decode`, which says what is wrong.
pub fn quick(line: &str) -> Option<Report<'_>> {
    let fields: Fields = serde_json::from_str(line).ok()?;
    let (many, failed, covers_ms, missing) =
        (fields.many?, fields.failed?, fields.covers_ms?, fields.missing);
    match fields.kind {
        "LOAD" => {
            let (zone, replica, mean_latency_ms) = (fields.zone?, fields.replica?, fields.mean_latency_ms?);
            let sane = met_is_sane(many, failed, mean_latency_ms, covers_ms, fields.own.as_ref());
            sane.then_some(Report::EndpointReport {
                zone,
                replica,
                attempts: many,
                failed,
                mean_latency_ms,
                covers_ms,
                missing,
            })
        }
        "SHARD" => {
            let (slice, request_class) = (fields.slice?, fields.request_class?);
            let sane = asked_is_sane(many, failed, covers_ms);
            sane.then_some(Report::DemandReport {
                slice,
                request_class,
                came: many,
                failed,
                covers_ms,
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
                covers_ms,
                missing,
            } => Message::EndpointReport(EndpointReport {
                zone: zone.into(),
                replica: replica.into(),
                attempts,
                failed,
                mean_latency_ms,
                covers_ms,
                missing,
            }),
            Report::DemandReport { slice, request_class, came, failed, covers_ms, missing } => {
                Message::DemandReport(DemandReport {
                    slice,
                    request_class: request_class.into(),
                    came,
                    failed,
                    covers_ms,
                    missing,
                })
            }
        }
    }
}

pub fn decode(line: &str) -> Result<Message, InvalidMessage> {
    quick(line).map_or_else(|| decode_slowly(line), |report| Ok(report.into()))
}

/// Says what is wrong, and takes what is written otherwise than reports mostly are.
pub fn decode_slowly(line: &str) -> Result<Message, InvalidMessage> {
    if !line.trim_start().starts_with('{') {
        return Err(InvalidMessage::Unreadable(Malformed::new("no JSON object", line)));
    }
    let message: Message = serde_json::from_str(line).map_err(|why| match why.classify() {
        Category::Data => InvalidMessage::Spoilt(Malformed::new(why, line)),
        _ => InvalidMessage::Unreadable(Malformed::new(why, line)),
    })?;
    // Nothing rests on what a replica says of itself, but where it is spoilt so is the message.
    let own = matches!(message, Message::EndpointReport(_)).then(|| serde_json::from_str::<WithOwn>(line));
    let own = own.transpose().map_err(|why| InvalidMessage::Spoilt(Malformed::new(why, line)))?;
    let own = own.and_then(|with| with.own);
    let sane = match &message {
        Message::EndpointReport(m) => {
            met_is_sane(m.attempts, m.failed, m.mean_latency_ms, m.covers_ms, own.as_ref())
        }
        Message::DemandReport(a) => asked_is_sane(a.came, a.failed, a.covers_ms),
        _ => true,
    };
    sane.then_some(message).ok_or_else(|| InvalidMessage::Spoilt(Malformed::new("an absurd figure", line)))
}

fn met_is_sane(attempts: f64, failed: f64, mean_latency_ms: f64, covers_ms: f64, own: Option<&Own>) -> bool {
    is_sane(attempts)
        && (0.0..=attempts).contains(&failed)
        && is_sane_ms(mean_latency_ms)
        && covers(covers_ms)
        && own.is_none_or(|own| is_sane(own.in_flight.unwrap_or(0.0)))
}

/// More may be aborted than came: what came before the report's time is aborted in it.
fn asked_is_sane(came: f64, failed: f64, covers_ms: f64) -> bool {
    is_sane(came) && is_sane(failed) && covers(covers_ms)
}

/// A report covers some time.
fn covers(ms: f64) -> bool {
    ms > 0.0 && is_sane_ms(ms)
}
