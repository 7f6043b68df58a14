//! The heartbeat message that aggregators exchange.

use serde::{Deserialize, Serialize};

/// One heartbeat. Its field names are part of the wire format.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub name: String,
    /// True if the sender has an endpoint list and complete sums, so that it can serve controllers.
    pub ready: bool,
    /// Time since the last message from discovery.
    pub list_age_ms: u64,
    /// Version of the sender's endpoint list.
    pub version: u64,
    /// Zones whose collectors report to the sender.
    pub zones: Vec<String>,
}
