//! The fleet that the fakes describe: names of replicas and zones, entries of the registry, and report lines with
//! values drawn from a seeded random generator.

use serde_json::{json, Value};

/// Names of the request classes in the settings and in the report lines.
const REQUEST_CLASS_NAMES: [&str; 4] = ["lookup", "post", "search", "batch"];
/// The lowest mean latency in a report line, in milliseconds.
const MIN_LATENCY_MS: f64 = 20.0;
/// The width of the range of mean latencies above the lowest, in milliseconds.
const LATENCY_RANGE_MS: f64 = 40.0;
/// The mean number of requests in flight in a report line.
const MEAN_IN_FLIGHT: f64 = 4.0;

/// A replica's lifecycle state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// The replica accepts requests.
    Active,
    /// The replica drains: it completes its requests and accepts no new ones.
    Leaving,
    /// The replica is gone; a complete list does not contain it.
    Left,
}

impl ReplicaState {
    /// Returns the state's name in the registry's wire format.
    pub fn as_str(self) -> &'static str {
        match self {
            ReplicaState::Active => "active",
            ReplicaState::Leaving => "leaving",
            ReplicaState::Left => "left",
        }
    }
}

/// The variable fields of a replica's entry in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryState {
    /// The lifecycle state.
    pub state: ReplicaState,
    /// The time of its last start, in Unix milliseconds; 0 means long ago.
    pub started_ms: u64,
}

/// The size of the fleet, and of one controller's share of it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSize {
    /// Replicas in the list.
    pub replicas: usize,
    /// Zones, each with a collector.
    pub zones: usize,
    /// Slices owned by the controller.
    pub slices: usize,
    /// Proxies subscribed to the relay.
    pub proxies: usize,
    /// Number of request classes, 1 to 4.
    pub classes: usize,
    /// Number of controllers in the settings.
    pub controllers: usize,
    /// Requests per second to all replicas.
    pub requests: f64,
}

impl FleetSize {
    /// Returns the target size: 2,200 replicas, 9 zones, 650 controllers with 20 slices each, 58,000 requests per
    /// second.
    pub fn target() -> Self {
        FleetSize {
            replicas: 2200,
            zones: 9,
            slices: 20,
            proxies: 100,
            classes: 2,
            controllers: 650,
            requests: 58_000.0,
        }
    }

    /// Returns the name of a replica.
    pub fn replica(&self, index: usize) -> String {
        format!("s-{:08x}", (index as u32).wrapping_mul(0x9e37_79b1))
    }

    /// Returns the name of a zone.
    pub fn zone(&self, index: usize) -> String {
        format!("z{}", index % self.zones)
    }

    /// Returns the index of the replica that owns a slice initially.
    pub fn owner(&self, slice: usize) -> usize {
        // The slices are spread evenly over the replicas.
        (slice * self.replicas / self.slices.max(1)) % self.replicas.max(1)
    }

    /// Returns the registry's entry of a replica in the given state.
    pub fn entry(&self, index: usize, entry: EntryState) -> Value {
        json!({"id": self.replica(index), "addr": format!("10.1.{}.{}:8443", index / 256, index % 256),
            "zone": self.zone(index), "kind": "m2", "cell": index % 16, "state": entry.state.as_str(), "weight": 1.0,
            "started_ms": entry.started_ms})
    }

    /// Returns the settings of the controller.
    pub fn settings(&self) -> Value {
        let class = |name: &&str| json!({"name": name, "value": 2.0, "targetNs": 1_200_000_000u64});
        json!({
            "classes": REQUEST_CLASS_NAMES[..self.classes].iter().map(class).collect::<Vec<_>>(),
            "familyInfo": {
                "periodNs": 1_000_000_000u64, "levelKind": "fraction", "singleWriter": false,
                "partitionsN": self.slices * self.controllers, "tenureNs": 4_000_000_000u64,
                "writeLifeNs": 20_000_000u64, "fixedCost": 8.0, "pushRate": 40_000.0, "queueCap": 60_000.0,
                "updateCap": 0, "reloadSpanNs": 10_000_000_000u64
            },
            "obligations": {
                "coldFrom": 0.21, "warmAfterNs": 15_000_000_000u64, "fallMultiple": 3.0,
                "drainGraceNs": 2_500_000_000u64
            },
            "me": 0,
            "peersTotal": self.controllers,
            "membershipMode": "push",
            "weights": "rough",
            "zones": (0..self.zones).map(|index| self.zone(index)).collect::<Vec<_>>()
        })
    }

    /// Returns the content of the configuration file of a controller that uses the given relay.
    pub fn configuration(&self, relay: std::net::SocketAddr) -> Value {
        json!({
            "name": "n0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 8.0, "memory_mb": 192, "sockets": 1024},
            "distributor": {"address": relay.to_string()},
            "known": {"version": 0, "full": true, "servers": []},
            "settings": self.settings()
        })
    }
}

/// A deterministic generator of uniform random numbers (xorshift64*).
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator with a seed.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a uniform random number from 0 up to, but not including, 1.
    pub fn uniform(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a random integer from 0 to twice the mean.
    fn integer_near(&mut self, mean: f64) -> u64 {
        (mean * 2.0 * self.uniform()).round() as u64
    }
}

/// The report lines that one collector sends in one period.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportShape {
    /// The indices of the replicas that it reports on.
    pub replicas: std::ops::Range<usize>,
    /// The window that each line covers, in milliseconds.
    pub window_ms: f64,
    /// The number of zones that each line sums up.
    pub zones_summed: usize,
    /// True to report on each slice of the controller as well.
    pub includes_slices: bool,
}

impl ReportShape {
    /// The reports of a zone's collector on all replicas and slices, with a window of one second.
    pub fn full(size: &FleetSize) -> Self {
        ReportShape { replicas: 0..size.replicas, window_ms: 1000.0, zones_summed: 1, includes_slices: true }
    }

    /// Generates the lines of one period.
    pub fn lines(&self, size: &FleetSize, zone: usize, random: &mut Random) -> Vec<String> {
        let mut lines: Vec<String> =
            self.replicas.clone().map(|replica| self.endpoint_line(size, zone, replica, random)).collect();
        if self.includes_slices {
            let slice_classes =
                (0..size.slices).flat_map(|slice| (0..size.classes).map(move |class| (slice, class)));
            lines.extend(slice_classes.map(|(slice, class)| self.demand_line(size, slice, class, random)));
        }
        lines
    }

    /// Returns the mean number of requests to the whole fleet in one window of the zones that a line covers.
    fn expected_requests(&self, size: &FleetSize) -> f64 {
        size.requests * self.window_ms / 1000.0 * self.zones_summed as f64 / size.zones as f64
    }

    fn endpoint_line(&self, size: &FleetSize, zone: usize, replica: usize, random: &mut Random) -> String {
        let attempts = random.integer_near(self.expected_requests(size) / size.replicas as f64);
        let latency = MIN_LATENCY_MS + LATENCY_RANGE_MS * random.uniform();
        let (in_flight, utilisation) = (random.integer_near(MEAN_IN_FLIGHT), random.uniform());
        format!(
            "{{\"@type\":\"LOAD\",\"az\":\"{}\",\"host\":\"{}\",\"n\":{attempts},\"bad\":0,\"avg\":{latency:.1},\
             \"window\":{:.1},\"report\":{{\"inflight\":{in_flight},\"util\":{utilisation:.2}}}}}",
            size.zone(zone),
            size.replica(replica),
            self.window_ms
        )
    }

    fn demand_line(&self, size: &FleetSize, slice: usize, class: usize, random: &mut Random) -> String {
        let slice_classes = (size.slices * size.controllers * size.classes) as f64;
        let requests = random.integer_near(self.expected_requests(size) / slice_classes);
        format!(
            "{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"{}\",\"n\":{requests},\"bad\":0,\"window\":{:.1}}}",
            REQUEST_CLASS_NAMES[class], self.window_ms
        )
    }
}
