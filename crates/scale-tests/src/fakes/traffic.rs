//! Counters of the bytes and lines on the connections of one controller.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts bytes and lines of one kind of traffic in one direction.
#[derive(Debug, Default)]
pub struct Counter {
    bytes: AtomicU64,
    lines: AtomicU64,
}

/// The value of a counter at a point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Payload bytes so far, without TCP and IP headers.
    pub bytes: u64,
    /// Lines so far.
    pub lines: u64,
}

impl Counter {
    /// Adds a number of bytes and the number of lines that they contain.
    pub fn add(&self, bytes: usize, lines: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.lines.fetch_add(lines as u64, Ordering::Relaxed);
    }

    /// Returns the current count.
    pub fn read(&self) -> Count {
        Count { bytes: self.bytes.load(Ordering::Relaxed), lines: self.lines.load(Ordering::Relaxed) }
    }
}

impl Count {
    /// Returns the difference to an earlier count.
    pub fn since(self, earlier: Count) -> Count {
        Count { bytes: self.bytes - earlier.bytes, lines: self.lines - earlier.lines }
    }
}

/// Counters of all connections of one controller.
#[derive(Debug, Default)]
pub struct Traffic {
    /// From collectors: reports on replicas and slices.
    pub reports: Counter,
    /// From the relay: the lines of its watch.
    pub relay_events: Counter,
    /// From the relay: responses to relay requests.
    pub relay_responses: Counter,
    /// From discovery: the endpoint list and its changes.
    pub endpoint_list: Counter,
    /// To the relay: relay requests.
    pub relay_requests: Counter,
    /// To discovery: requests.
    pub discovery_requests: Counter,
}

/// The values of all counters at a point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Reports from collectors.
    pub reports: Count,
    /// Lines of the relay's watch.
    pub relay_events: Count,
    /// Responses to relay requests.
    pub relay_responses: Count,
    /// The endpoint list and its changes.
    pub endpoint_list: Count,
    /// Requests to the relay.
    pub relay_requests: Count,
    /// Requests to discovery.
    pub discovery_requests: Count,
}

impl Traffic {
    /// Returns the current counts.
    pub fn read(&self) -> TrafficCount {
        TrafficCount {
            reports: self.reports.read(),
            relay_events: self.relay_events.read(),
            relay_responses: self.relay_responses.read(),
            endpoint_list: self.endpoint_list.read(),
            relay_requests: self.relay_requests.read(),
            discovery_requests: self.discovery_requests.read(),
        }
    }
}

impl TrafficCount {
    /// Returns the difference to an earlier count.
    pub fn since(self, earlier: TrafficCount) -> TrafficCount {
        TrafficCount {
            reports: self.reports.since(earlier.reports),
            relay_events: self.relay_events.since(earlier.relay_events),
            relay_responses: self.relay_responses.since(earlier.relay_responses),
            endpoint_list: self.endpoint_list.since(earlier.endpoint_list),
            relay_requests: self.relay_requests.since(earlier.relay_requests),
            discovery_requests: self.discovery_requests.since(earlier.discovery_requests),
        }
    }

    /// Returns the bytes sent to the controller on all connections.
    pub fn bytes_in(&self) -> u64 {
        self.reports.bytes + self.relay_events.bytes + self.relay_responses.bytes + self.endpoint_list.bytes
    }

    /// Returns the bytes sent by the controller on all connections.
    pub fn bytes_out(&self) -> u64 {
        self.relay_requests.bytes + self.discovery_requests.bytes
    }
}
