//! The endpoint list of the service registry, as delivered by the registry watch: complete lists and changes.

use super::error::DecodeError;
use super::validate_count;
use serde::Deserialize;
use whinwall_policy::api::ReplicaState;

/// One message of the registry watch.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct List {
    /// The registry's version after this message.
    pub version: u64,
    /// True if the message lists all endpoints, so that every endpoint missing from it is gone.
    #[serde(rename = "full")]
    pub is_complete: bool,
    /// The listed endpoints.
    #[serde(rename = "servers")]
    pub entries: Vec<Entry>,
}

/// One endpoint of the registry.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    /// The replica's name.
    #[serde(rename = "id")]
    pub replica: String,
    /// The zone that the replica runs in.
    #[serde(rename = "zone")]
    pub zone: String,
    /// The type of the replica's machine; empty if the registry does not provide it.
    #[serde(rename = "kind", default)]
    pub machine: String,
    /// The lifecycle state of the endpoint.
    #[serde(rename = "state")]
    pub state: State,
    /// The capacity relative to other replicas.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The start time in milliseconds since the Unix epoch; 0 if the replica started long ago.
    #[serde(default)]
    pub started_ms: u64,
}

/// The lifecycle state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub enum State {
    /// Serving requests.
    #[serde(rename = "active")]
    Ready,
    /// Shutting down gracefully; must not receive new requests.
    #[serde(rename = "leaving")]
    Draining,
    /// No longer running.
    #[serde(rename = "left")]
    Gone,
}

impl From<State> for ReplicaState {
    fn from(state: State) -> ReplicaState {
        match state {
            State::Ready => ReplicaState::Ready,
            State::Draining => ReplicaState::Draining,
            State::Gone => ReplicaState::Gone,
        }
    }
}

fn default_weight() -> f64 {
    1.0
}

/// Returns the URL path of a watch that reports the changes after version `since` of the list.
pub fn watch_path(since: u64) -> String {
    format!("/registry/instances?follow=1&since={since}")
}

/// Decodes a line of the registry watch. Returns `None` for an empty line, which is a heartbeat.
///
/// # Errors
///
/// Fails if the line is not a JSON list message or contains an implausible weight.
pub fn decode(line: &str) -> Result<Option<List>, DecodeError> {
    if line.trim().is_empty() {
        return Ok(None);
    }
    let list: List = serde_json::from_str(line).map_err(|error| DecodeError::new(error, line))?;
    for entry in &list.entries {
        validate_count("weight", entry.weight).map_err(|reason| DecodeError::new(reason, line))?;
    }
    Ok(Some(list))
}
