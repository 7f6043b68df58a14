//! Counters of the bytes and lines that go over the channels of one controller.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes and lines of one kind in one direction.
#[derive(Debug, Default)]
pub struct Counter {
    bytes: AtomicU64,
    lines: AtomicU64,
}

/// The value of a counter at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Bytes so far, without those of TCP and IP.
    pub bytes: u64,
    /// Lines so far.
    pub lines: u64,
}

impl Counter {
    /// Adds bytes that hold this many lines.
    pub fn add(&self, bytes: usize, lines: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.lines.fetch_add(lines as u64, Ordering::Relaxed);
    }

    /// The count at this moment.
    pub fn read(&self) -> Count {
        Count { bytes: self.bytes.load(Ordering::Relaxed), lines: self.lines.load(Ordering::Relaxed) }
    }
}

impl Count {
    /// What was added since an earlier count.
    pub fn since(self, earlier: Count) -> Count {
        Count { bytes: self.bytes - earlier.bytes, lines: self.lines - earlier.lines }
    }
}

/// Counters of all channels of one controller.
#[derive(Debug, Default)]
pub struct Traffic {
    /// From collectors: reports on replicas and slices.
    pub reports: Counter,
    /// From the relay: the lines of its watch.
    pub relay_events: Counter,
    /// From the relay: answers to relay requests.
    pub relay_responses: Counter,
    /// From discovery: the list and its changes.
    pub endpoint_list: Counter,
    /// To the relay: relay requests.
    pub relay_requests: Counter,
    /// To discovery: requests.
    pub discovery_requests: Counter,
}

/// All counters at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// From collectors.
    pub reports: Count,
    /// Events of the relay.
    pub relay_events: Count,
    /// Answers to relay requests.
    pub relay_responses: Count,
    /// The list and its changes.
    pub endpoint_list: Count,
    /// Requests to the relay.
    pub relay_requests: Count,
    /// Requests to discovery.
    pub discovery_requests: Count,
}

impl Traffic {
    /// All counts at this moment.
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
    /// What was added since an earlier count.
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

    /// Bytes that were sent to the controller on all channels.
    pub fn bytes_in(&self) -> u64 {
        self.reports.bytes + self.relay_events.bytes + self.relay_responses.bytes + self.endpoint_list.bytes
    }

    /// Bytes that the controller sent on all channels.
    pub fn bytes_out(&self) -> u64 {
        self.relay_requests.bytes + self.discovery_requests.bytes
    }
}
