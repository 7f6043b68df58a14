//! The endpoint list of the service registry, as its watch delivers it: complete, or as changes.

use super::error::{DecodeError, InvalidLine};
use super::is_plausible_count;
use serde::Deserialize;
use whinwall_policy::api::ReplicaState;

/// One message of the registry watch.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct List {
    /// The version that the registry has after this message.
    pub version: u64,
    /// Whether it names all endpoints: those that it does not name are gone.
    #[serde(rename = "full")]
    pub is_complete: bool,
    /// The endpoints that it names.
    #[serde(rename = "servers")]
    pub entries: Vec<Entry>,
}

/// One endpoint of the registry.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    /// The replica's name.
    #[serde(rename = "id")]
    pub replica: String,
    /// The zone that it runs in.
    #[serde(rename = "zone")]
    pub zone: String,
    /// The kind of machine that it runs on; empty where the registry does not say.
    #[serde(rename = "kind", default)]
    pub machine: String,
    /// Where it is in its life cycle.
    #[serde(rename = "state")]
    pub state: State,
    /// Its capacity relative to other replicas.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// When it started, in milliseconds of Unix time; 0 where that was long ago.
    #[serde(default)]
    pub started_ms: u64,
}

/// Where an endpoint is in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub enum State {
    /// It serves requests.
    #[serde(rename = "active")]
    Ready,
    /// It is shutting down gracefully, and is to get no new requests.
    #[serde(rename = "leaving")]
    Draining,
    /// It is no longer there.
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

/// The path of a watch that continues after this version of the list.
pub fn watch_path(since: u64) -> String {
    format!("/registry/instances?follow=1&since={since}")
}

/// Decodes a line of the watch; none for an empty one, which is a heartbeat.
///
/// # Errors
///
/// Fails where the line is not a list in JSON, or a weight in it is implausible.
pub fn decode(line: &str) -> Result<Option<List>, DecodeError> {
    if line.trim().is_empty() {
        return Ok(None);
    }
    let list: List = serde_json::from_str(line).map_err(|error| DecodeError::new(error, line))?;
    let is_plausible = list.entries.iter().all(|entry| is_plausible_count(entry.weight));
    is_plausible
        .then_some(Some(list))
        .ok_or_else(|| DecodeError::new(InvalidLine::OutOfRange("an absurd size"), line))
}
