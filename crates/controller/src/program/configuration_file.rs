//! The JSON file that `PROXY_CONFIG` names, as it is written: its keys, their types and their defaults.

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use whinwall_settings::Settings;

/// The keys of the file.
#[derive(Deserialize)]
pub(super) struct ConfigFile {
    pub(super) name: Option<String>,
    pub(super) listen: Option<String>,
    pub(super) discovery: Option<String>,
    #[serde(default, deserialize_with = "seed")]
    pub(super) seed: Option<u64>,
    #[serde(default)]
    pub(super) limits: Limits,
    #[serde(rename = "distributor")]
    pub(super) relay: Relay,
    /// The endpoint list of a former run; decoded separately, as an unreadable one is no error.
    #[serde(default, rename = "known")]
    pub(super) known_endpoints: Value,
    pub(super) settings: Settings,
}

/// The key `distributor`.
#[derive(Deserialize)]
pub(super) struct Relay {
    pub(super) address: String,
}

/// What the platform grants the process.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    pub(super) cores: Option<f64>,
    /// File descriptors.
    pub(super) sockets: f64,
    /// Megabytes of 10^6 bytes.
    pub(super) memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cores: None, sockets: 1024.0, memory_mb: 192.0 }
    }
}

/// Sixteen hexadecimal digits, or a plain number.
fn seed<'de, D: Deserializer<'de>>(raw: D) -> Result<Option<u64>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Seed {
        Number(u64),
        Digits(String),
    }
    match Option::deserialize(raw)? {
        None => Ok(None),
        Some(Seed::Number(seed)) => Ok(Some(seed)),
        Some(Seed::Digits(digits)) => {
            u64::from_str_radix(&digits, 16).map(Some).map_err(serde::de::Error::custom)
        }
    }
}
