//! The JSON configuration file (`PROXY_CONFIG`): its keys, their types and their defaults.

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use whinwall_settings::Settings;

/// The top-level keys of the file.
#[derive(Deserialize)]
pub(super) struct ConfigFile {
    pub(super) name: Option<String>,
    pub(super) listen: Option<String>,
    pub(super) discovery: Option<String>,
    #[serde(default, deserialize_with = "decode_seed")]
    pub(super) seed: Option<u64>,
    #[serde(default)]
    pub(super) limits: Limits,
    #[serde(rename = "distributor")]
    pub(super) relay: Relay,
    /// The endpoint list of a previous run. It is decoded separately, as an invalid list is ignored.
    #[serde(default, rename = "known")]
    pub(super) known_endpoints: Value,
    pub(super) settings: Settings,
}

/// The value of the key `distributor`.
#[derive(Deserialize)]
pub(super) struct Relay {
    pub(super) address: String,
}

/// The resources that the platform grants the process.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    pub(super) cores: Option<f64>,
    /// Number of file descriptors.
    pub(super) sockets: f64,
    /// Memory in megabytes of 10^6 bytes.
    pub(super) memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cores: None, sockets: 1024.0, memory_mb: 192.0 }
    }
}

/// Decodes a seed: a string of up to 16 hexadecimal digits, or a number.
fn decode_seed<'de, D: Deserializer<'de>>(raw: D) -> Result<Option<u64>, D::Error> {
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
            let seed = u64::from_str_radix(&digits, 16);
            seed.map(Some).map_err(|error| {
                serde::de::Error::custom(format_args!("invalid hexadecimal number {digits:?}: {error}"))
            })
        }
    }
}
