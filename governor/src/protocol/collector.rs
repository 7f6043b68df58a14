//! What comes to the governor's own address: JSON lines, mostly from the collectors of the places.

use super::{is_sane, is_sane_ms, Malformed};
use serde::Deserialize;

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
    #[serde(rename = "avg", default)]
    pub mean_latency_ms: f64,
    #[serde(rename = "window")]
    pub covers_ms: f64,
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

pub const PONG: &str = r#"{"@type":"PONG"}"#;

pub fn decode(line: &str) -> Result<Message, Malformed> {
    let message = serde_json::from_str(line).map_err(|why| Malformed::new(why, line))?;
    let sane = match &message {
        Message::Met(m) => {
            [m.tries, m.aborted].into_iter().all(is_sane)
                && [m.mean_latency_ms, m.covers_ms].into_iter().all(is_sane_ms)
        }
        Message::Asked(a) => [a.came, a.aborted].into_iter().all(is_sane) && is_sane_ms(a.covers_ms),
        _ => true,
    };
    sane.then_some(message).ok_or_else(|| Malformed::new("an absurd figure", line))
}
