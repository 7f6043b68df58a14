//! The list of replicas, as discovery hands it out: whole, or what has changed.

use super::{is_sane, Malformed};
use serde::Deserialize;
use whinwall_policy::api::ReplicaState;

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct List {
    pub version: u64,
    #[serde(rename = "full")]
    pub whole: bool,
    #[serde(rename = "servers")]
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    #[serde(rename = "id")]
    pub replica: String,
    #[serde(rename = "zone")]
    pub zone: String,
    #[serde(rename = "kind", default)]
    pub machine: String,
    #[serde(rename = "state")]
    pub state: State,
    #[serde(rename = "weight", default = "usual_size")]
    pub size: f64,
    /// In Unix time; 0 for long ago.
    #[serde(default)]
    pub started_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub enum State {
    #[serde(rename = "active")]
    Ready,
    #[serde(rename = "leaving")]
    Draining,
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

fn usual_size() -> f64 {
    1.0
}

/// Where a watch goes on after this version of the list.
pub fn watch_path(since: u64) -> String {
    format!("/registry/instances?follow=1&since={since}")
}

/// A line of the watch; an empty one is a sign of life.
pub fn decode(line: &str) -> Result<Option<List>, Malformed> {
    if line.trim().is_empty() {
        return Ok(None);
    }
    let list: List = serde_json::from_str(line).map_err(|why| Malformed::new(why, line))?;
    let sane = list.entries.iter().all(|entry| is_sane(entry.size));
    sane.then_some(Some(list)).ok_or_else(|| Malformed::new("an absurd size", line))
}
