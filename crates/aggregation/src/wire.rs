//! Lines as controllers read them, and the heartbeat between aggregators.

use crate::heartbeat::Heartbeat;
use crate::limits;
use crate::sums::Sum;
use serde::{Deserialize, Serialize};
use whinwall_policy::time::Span;

/// A collector's or an aggregator's first line.
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

/// Asks a controller for a heartbeat, in a line with its end.
pub const PING: &str = "{\"@type\":\"PING\"}\n";

/// A count as the protocol writes it: whole where it is whole.
#[derive(Serialize)]
#[serde(untagged)]
enum Count {
    Whole(u64),
    Part(f64),
}

/// The largest number that a `f64` holds with all whole numbers below it.
const LARGEST_WHOLE: f64 = 9_007_199_254_740_992.0;

impl From<f64> for Count {
    fn from(count: f64) -> Self {
        match count.fract() == 0.0 && (0.0..LARGEST_WHOLE).contains(&count) {
            true => Count::Whole(count as u64),
            false => Count::Part(count),
        }
    }
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// What a line says besides its key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Covered {
    /// What came.
    pub sum: Sum,
    /// The time that it covers.
    pub window: Span,
    /// How many zones lack in the sum, for all or a part of that time.
    pub missing: usize,
}

fn ms(span: Span) -> f64 {
    // A tenth of a microsecond is beyond what any reader makes use of.
    (span.seconds() * 1e7).round() / 1e4
}

fn rounded(ms: f64) -> f64 {
    (ms * 1e4).round() / 1e4
}

fn line(message: &impl Serialize, into: &mut String) {
    // Structs of names and finite numbers always have a JSON form.
    into.push_str(&serde_json::to_string(message).unwrap_or_default());
    into.push('\n');
}

/// The line that says for which zone this connection speaks.
pub fn source(zone: &str) -> String {
    let mut text = String::new();
    line(&Source { az: zone }, &mut text);
    text
}

/// A `LOAD` line with its end.
pub fn load(zone: &str, replica: &str, covered: &Covered) -> String {
    let Covered { sum, window, missing } = *covered;
    let (n, bad) = (sum.attempts.into(), sum.failed.min(sum.attempts).into());
    let (avg, window) = (rounded(sum.mean_latency_ms()), ms(window));
    let mut text = String::new();
    line(&Load { az: zone, host: replica, n, bad, avg, window, missing }, &mut text);
    text
}

/// A `SHARD` line with its end.
pub fn shard(slice: u32, class: &str, covered: &Covered) -> String {
    let Covered { sum, window, missing } = *covered;
    let (n, bad, window) = (sum.attempts.into(), sum.failed.into(), ms(window));
    let mut text = String::new();
    line(&Shard { partition: slice, kind: class, n, bad, window, missing }, &mut text);
    text
}

/// Bytes of a report period that are not for reports: the first line of a connection and a heartbeat.
pub fn overhead() -> usize {
    source(&"x".repeat(limits::MAX_NAME)).len() + PING.len()
}

/// The longest line that there is, with names of the longest kind.
pub fn longest_line() -> usize {
    const NUMBER: usize = 24;
    let name = "x".repeat(limits::MAX_NAME);
    let covered = Covered { sum: Sum::default(), window: Span::default(), missing: limits::MAX_ZONES };
    load(&name, &name, &covered).len() + 4 * NUMBER
}

/// Lines between aggregators.
#[derive(Deserialize, Serialize)]
#[serde(tag = "@type")]
enum PeerLine {
    #[serde(rename = "HEARTBEAT")]
    Heartbeat(Heartbeat),
}

/// A heartbeat with its end of line.
pub fn heartbeat(heartbeat: &Heartbeat) -> String {
    let mut text = String::new();
    line(&PeerLine::Heartbeat(heartbeat.clone()), &mut text);
    text
}

/// The heartbeat in a line; none where it is something else, or names more than there may be.
pub fn decode_heartbeat(line: &str) -> Option<Heartbeat> {
    let PeerLine::Heartbeat(heartbeat) = serde_json::from_str(line).ok()?;
    let short = |name: &String| name.len() <= limits::MAX_NAME;
    let bounded = heartbeat.zones.len() <= limits::MAX_ZONES && heartbeat.zones.iter().all(short);
    (bounded && short(&heartbeat.name)).then_some(heartbeat)
}
