//! The fleet that the stand-ins emulate: names of replicas and zones, the registry's entries, and the report lines
//! about them, all drawn from a seed.

use serde_json::{json, Value};

/// Names of request classes that the settings and reports agree on.
const CLASSES: [&str; 4] = ["lookup", "post", "search", "batch"];
/// The least mean latency in a report line, in milliseconds.
const MIN_LATENCY_MS: f64 = 20.0;
/// The range of mean latencies above the least, in milliseconds.
const LATENCY_RANGE_MS: f64 = 40.0;
/// The mean number of requests in flight in a report line.
const MEAN_IN_FLIGHT: f64 = 4.0;

/// A replica's lifecycle state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// It takes requests.
    Active,
    /// It drains: it finishes what it has and takes nothing new.
    Leaving,
    /// It is gone; a complete list does not name it.
    Left,
}

impl ReplicaState {
    /// The word of the registry's wire format.
    pub fn as_str(self) -> &'static str {
        match self {
            ReplicaState::Active => "active",
            ReplicaState::Leaving => "leaving",
            ReplicaState::Left => "left",
        }
    }
}

/// What the list says of one replica, beside its constant fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryState {
    /// Its lifecycle state.
    pub state: ReplicaState,
    /// When it was started last, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

/// How large the fleet of one controller is.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSize {
    /// Replicas in the list.
    pub replicas: usize,
    /// Zones, each with a collector.
    pub zones: usize,
    /// Slices owned by the controller.
    pub slices: usize,
    /// Proxies that are subscribed.
    pub proxies: usize,
    /// Request classes, 1 to 4.
    pub classes: usize,
    /// Controllers of the tier, as the settings name them.
    pub controllers: usize,
    /// Requests a second to all replicas.
    pub requests: f64,
}

impl FleetSize {
    /// The target's size at one controller: 2,200 replicas, 9 zones, 20 slices, 650 controllers, 58,000 requests a second.
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

    /// The name of a replica.
    pub fn replica(&self, at: usize) -> String {
        format!("s-{:08x}", (at as u32).wrapping_mul(0x9e37_79b1))
    }

    /// The name of a zone.
    pub fn zone(&self, at: usize) -> String {
        format!("z{}", at % self.zones)
    }

    /// The replica that owns a slice at the start.
    pub fn owner(&self, slice: usize) -> usize {
        // Spread over the fleet, so that a controller's slices sit on many replicas.
        (slice * self.replicas / self.slices.max(1)) % self.replicas.max(1)
    }

    /// The registry's entry of a replica in a state.
    pub fn entry(&self, at: usize, entry: EntryState) -> Value {
        json!({"id": self.replica(at), "addr": format!("10.1.{}.{}:8443", at / 256, at % 256),
            "zone": self.zone(at), "kind": "m2", "cell": at % 16, "state": entry.state.as_str(), "weight": 1.0,
            "started_ms": entry.started_ms})
    }

    /// The settings of one controller of the tier.
    pub fn settings(&self) -> Value {
        let class = |name: &&str| json!({"name": name, "value": 2.0, "targetNs": 1_200_000_000u64});
        json!({
            "classes": CLASSES[..self.classes].iter().map(class).collect::<Vec<_>>(),
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
            "zones": (0..self.zones).map(|at| self.zone(at)).collect::<Vec<_>>()
        })
    }

    /// The whole configuration file of a controller in front of this relay.
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

/// A small generator of uniform numbers (xorshift64*), the same in each run.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Begins with a seed.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Uniform from 0 up to 1.
    pub fn uniform(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A whole number near the mean, from 0 to twice the mean.
    fn integer_near(&mut self, mean: f64) -> u64 {
        (mean * 2.0 * self.uniform()).round() as u64
    }
}

/// What one collector sends in one period.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportShape {
    /// Replicas that it reports on: those with these positions, step by step.
    pub replicas: std::ops::Range<usize>,
    /// The time that each line covers.
    pub window_ms: f64,
    /// Of how many zones a line is the sum.
    pub zones_summed: usize,
    /// Whether it reports on each slice of the controller too.
    pub includes_slices: bool,
}

impl ReportShape {
    /// Reports of a zone's collector on the complete fleet, once a second.
    pub fn full(size: &FleetSize) -> Self {
        ReportShape { replicas: 0..size.replicas, window_ms: 1000.0, zones_summed: 1, includes_slices: true }
    }

    /// Lines of one period.
    pub fn lines(&self, size: &FleetSize, zone: usize, random: &mut Random) -> Vec<String> {
        let mut lines: Vec<String> =
            self.replicas.clone().map(|at| self.endpoint_line(size, zone, at, random)).collect();
        if self.includes_slices {
            let slice_classes =
                (0..size.slices).flat_map(|slice| (0..size.classes).map(move |class| (slice, class)));
            lines.extend(slice_classes.map(|(slice, class)| self.demand_line(size, slice, class, random)));
        }
        lines
    }

    /// Requests to the whole fleet that fall to one report line, on average.
    fn expected_requests(&self, size: &FleetSize) -> f64 {
        size.requests * self.window_ms / 1000.0 * self.zones_summed as f64 / size.zones as f64
    }

    fn endpoint_line(&self, size: &FleetSize, zone: usize, at: usize, random: &mut Random) -> String {
        let attempts = random.integer_near(self.expected_requests(size) / size.replicas as f64);
        let latency = MIN_LATENCY_MS + LATENCY_RANGE_MS * random.uniform();
        let (in_flight, utilisation) = (random.integer_near(MEAN_IN_FLIGHT), random.uniform());
        format!(
            "{{\"@type\":\"LOAD\",\"az\":\"{}\",\"host\":\"{}\",\"n\":{attempts},\"bad\":0,\"avg\":{latency:.1},\
             \"window\":{:.1},\"report\":{{\"inflight\":{in_flight},\"util\":{utilisation:.2}}}}}",
            size.zone(zone),
            size.replica(at),
            self.window_ms
        )
    }

    fn demand_line(&self, size: &FleetSize, slice: usize, class: usize, random: &mut Random) -> String {
        let slice_classes = (size.slices * size.controllers * size.classes) as f64;
        let requests = random.integer_near(self.expected_requests(size) / slice_classes);
        format!(
            "{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"{}\",\"n\":{requests},\"bad\":0,\"window\":{:.1}}}",
            CLASSES[class], self.window_ms
        )
    }
}
