//! What comes to the governor's own address: JSON lines, mostly from the collectors of the places.

use super::{is_sane, is_sane_ms, Malformed, Wrong};
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
        place: String,
    },
    #[serde(rename = "LOAD")]
    Met(Met),
    #[serde(rename = "SHARD")]
    Asked(Asked),
    #[serde(other)]
    Unknown,
}

/// What the proxies of a place met at a server.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Met {
    #[serde(rename = "az")]
    pub place: String,
    #[serde(rename = "host")]
    pub server: String,
    #[serde(rename = "n")]
    pub tries: f64,
    #[serde(rename = "bad")]
    pub aborted: f64,
    #[serde(rename = "avg")]
    pub mean_latency_ms: f64,
    #[serde(rename = "window")]
    pub covers_ms: f64,
    /// Nothing rests on it, but where it is spoilt so is the message.
    #[serde(rename = "report", default)]
    pub own: Option<Own>,
}

/// What the server last said of itself.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Own {
    #[serde(rename = "inflight", default)]
    pub in_flight: Option<f64>,
}

/// What came for a slice, of one op type.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Asked {
    #[serde(rename = "partition")]
    pub slice: u32,
    #[serde(rename = "kind")]
    pub op_type: String,
    #[serde(rename = "n")]
    pub came: f64,
    #[serde(rename = "bad")]
    pub aborted: f64,
    #[serde(rename = "window")]
    pub covers_ms: f64,
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

pub fn decode(line: &str) -> Result<Message, Wrong> {
    if !line.trim_start().starts_with('{') {
        return Err(Wrong::Unreadable(Malformed::new("no JSON object", line)));
    }
    let message = serde_json::from_str(line).map_err(|why| match why.classify() {
        Category::Data => Wrong::Spoilt(Malformed::new(why, line)),
        _ => Wrong::Unreadable(Malformed::new(why, line)),
    })?;
    let sane = match &message {
        Message::Met(m) => {
            is_sane(m.tries)
                && (0.0..=m.tries).contains(&m.aborted)
                && is_sane_ms(m.mean_latency_ms)
                && covers(m.covers_ms)
                && m.own.as_ref().is_none_or(|own| is_sane(own.in_flight.unwrap_or(0.0)))
        }
        // More may be aborted than came: what came before the report's time is aborted in it.
        Message::Asked(a) => [a.came, a.aborted].into_iter().all(is_sane) && covers(a.covers_ms),
        _ => true,
    };
    sane.then_some(message).ok_or_else(|| Wrong::Spoilt(Malformed::new("an absurd figure", line)))
}

/// A report covers some time.
fn covers(ms: f64) -> bool {
    ms > 0.0 && is_sane_ms(ms)
}
