//! The message with which aggregators tell their peers that they are alive.

use serde::{Deserialize, Serialize};

/// One heartbeat. Its fields are names on the wire.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub name: String,
    /// Whether it has a list and sums that are worth passing on.
    pub ready: bool,
    /// How long ago discovery was heard.
    pub list_age_ms: u64,
    /// The version of its list.
    pub version: u64,
    /// The zones whose collectors it hears.
    pub zones: Vec<String>,
}
