//! Encoding of the lines sent to controllers, and of the heartbeat between aggregators.

use crate::heartbeat::Heartbeat;
use crate::limits;
use crate::sums::Sum;
use serde::{Deserialize, Serialize};
use whinwall_policy::time::Span;

/// The first line of a collector or aggregator on a connection.
#[derive(Serialize)]
#[serde(tag = "@type", rename = "SOURCE")]
struct Source<'a> {
    az: &'a str,
}

#[derive(Serialize)]
#[serde(tag = "@type", rename = "LOAD")]
struct Load<'a> {
    az: &'a str,
    host: &'a str,
    n: Count,
    bad: Count,
    avg: f64,
    window: f64,
    #[serde(skip_serializing_if = "is_zero")]
    missing: usize,
}

#[derive(Serialize)]
#[serde(tag = "@type", rename = "SHARD")]
struct Shard<'a> {
    partition: u32,
    kind: &'a str,
    n: Count,
    bad: Count,
    window: f64,
    #[serde(skip_serializing_if = "is_zero")]
    missing: usize,
}

/// The line that pings a controller, with its newline.
pub const PING_LINE: &str = "{\"@type\":\"PING\"}\n";

/// A count, encoded as an integer if it is one.
#[derive(Serialize)]
#[serde(untagged)]
enum Count {
    Whole(u64),
    Part(f64),
}

/// 2^53; every non-negative integer below it is exact as an `f64`.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

impl From<f64> for Count {
    fn from(count: f64) -> Self {
        match count.fract() == 0.0 && (0.0..MAX_EXACT_INTEGER).contains(&count) {
            true => Count::Whole(count as u64),
            false => Count::Part(count),
        }
    }
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// The contents of a report line besides its key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportValues {
    /// Sum of the reports.
    pub sum: Sum,
    /// Length of the window that the sum covers.
    pub window: Span,
    /// Number of zones that are missing from the sum for all or part of the window.
    pub missing: usize,
}

fn rounded_ms(span: Span) -> f64 {
    // Rounds to 0.1 us; readers need no higher resolution.
    (span.seconds() * 1e7).round() / 1e4
}

fn round_latency(ms: f64) -> f64 {
    (ms * 1e4).round() / 1e4
}

fn append_line(message: &impl Serialize, text: &mut String) {
    // Structs of strings and finite numbers can always be serialized to JSON.
    text.push_str(&serde_json::to_string(message).unwrap_or_default());
    text.push('\n');
}

/// Encodes the `SOURCE` line, which names the zone of a connection.
pub fn encode_source(zone: &str) -> String {
    let mut text = String::new();
    append_line(&Source { az: zone }, &mut text);
    text
}

/// Encodes a `LOAD` line with its newline.
pub fn encode_endpoint_report(zone: &str, replica: &str, values: &ReportValues) -> String {
    let ReportValues { sum, window, missing } = *values;
    let (n, bad) = (sum.attempts.into(), sum.failed.min(sum.attempts).into());
    let (avg, window) = (round_latency(sum.mean_latency_ms()), rounded_ms(window));
    let mut text = String::new();
    append_line(&Load { az: zone, host: replica, n, bad, avg, window, missing }, &mut text);
    text
}

/// Encodes a `SHARD` line with its newline.
pub fn encode_demand_report(slice: u32, class: &str, values: &ReportValues) -> String {
    let ReportValues { sum, window, missing } = *values;
    let (n, bad, window) = (sum.attempts.into(), sum.failed.into(), rounded_ms(window));
    let mut text = String::new();
    append_line(&Shard { partition: slice, kind: class, n, bad, window, missing }, &mut text);
    text
}

/// Returns the bytes of a report period that are reserved for the `SOURCE` line and the ping.
pub fn overhead_bytes() -> usize {
    encode_source(&"x".repeat(limits::MAX_NAME_BYTES)).len() + PING_LINE.len()
}

/// Returns the maximum length of a report line, with names of the maximum length.
pub fn longest_line_bytes() -> usize {
    const MAX_NUMBER_BYTES: usize = 24;
    let name = "x".repeat(limits::MAX_NAME_BYTES);
    let values = ReportValues { sum: Sum::default(), window: Span::default(), missing: limits::MAX_ZONES };
    encode_endpoint_report(&name, &name, &values).len() + 4 * MAX_NUMBER_BYTES
}

/// A line between aggregators.
#[derive(Deserialize, Serialize)]
#[serde(tag = "@type")]
enum PeerLine {
    #[serde(rename = "HEARTBEAT")]
    Heartbeat(Heartbeat),
}

/// Encodes a heartbeat with its newline.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> String {
    let mut text = String::new();
    append_line(&PeerLine::Heartbeat(heartbeat.clone()), &mut text);
    text
}

/// Decodes a heartbeat. Returns `None` for any other line, and for a heartbeat that exceeds the limits of names or
/// zones.
pub fn decode_heartbeat(line: &str) -> Option<Heartbeat> {
    let PeerLine::Heartbeat(heartbeat) = serde_json::from_str(line).ok()?;
    let is_valid_name = |name: &String| name.len() <= limits::MAX_NAME_BYTES;
    let has_valid_zones =
        heartbeat.zones.len() <= limits::MAX_ZONES && heartbeat.zones.iter().all(is_valid_name);
    (has_valid_zones && is_valid_name(&heartbeat.name)).then_some(heartbeat)
}
