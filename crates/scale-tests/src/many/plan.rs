//! The sizes of one run, and which replica, slice and region belongs where.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// Position of a controller in the fleet: the real processes come first, the simulated ones after them.
pub type ControllerId = usize;

/// The replica that is drained in the event of that name; every controller has a slice on it.
pub const DRAINED_WHILE_IDLE: usize = 0;
/// The replica that is drained while a region is partitioned from the network; every controller has a slice on it.
pub const DRAINED_DURING_PARTITION: usize = 1;
/// The region that is partitioned from the network.
pub const PARTITIONED_REGION: usize = 0;
/// The request class that all load is reported for.
pub const REQUEST_CLASS: &str = "lookup";
/// One controller in this many keeps running when the others are restarted.
const UNRESTARTED_INTERVAL: usize = 10;

/// The sizes and durations of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Controllers that run as processes.
    pub real: usize,
    /// Controllers that run inside this process, without sockets.
    pub simulated: usize,
    /// Replicas in the list.
    pub replicas: usize,
    /// Zones, each with a collector.
    pub zones: usize,
    /// Regions that the controllers are spread over.
    pub regions: usize,
    /// Slices owned by each controller.
    pub slices: usize,
    /// Proxies that keep their streams to each controller.
    pub proxies: usize,
    /// Threads that the simulated controllers share.
    pub workers: usize,
    /// Time between the reports about one replica to a process.
    pub report_period: Duration,
    /// Time between the reports about one replica to a simulated controller.
    pub simulated_report_period: Duration,
    /// How long the costs without an event are measured.
    pub idle: Duration,
    /// How long the region is partitioned from the network, at least, for the real processes.
    pub partition_duration: Duration,
    /// How long the region is partitioned from the network for the simulated controllers, in their own time.
    pub virtual_partition_duration: Duration,
    /// An event that takes longer than this has failed.
    pub event_timeout: Duration,
    /// Memory that controllers and harness may take together.
    pub memory_limit_kb: u64,
    /// The controller program.
    pub program: PathBuf,
}

impl Plan {
    /// All controllers.
    pub fn controllers(&self) -> usize {
        self.real + self.simulated
    }

    /// Whether this controller runs as a process.
    pub fn is_real(&self, controller: ControllerId) -> bool {
        controller < self.real
    }

    /// The region of a controller.
    pub fn region(&self, controller: ControllerId) -> usize {
        controller % self.regions.max(1)
    }

    /// Whether this controller is restarted in a release that takes nine in ten at once.
    pub fn is_restarted(&self, controller: ControllerId) -> bool {
        !controller.is_multiple_of(UNRESTARTED_INTERVAL)
    }

    /// The name of a zone.
    pub fn zone(&self, zone: usize) -> String {
        format!("zone-{zone}")
    }

    /// The zone of a replica.
    pub fn zone_of(&self, replica: usize) -> usize {
        replica % self.zones.max(1)
    }

    /// The id of a replica, as long as the ids in the protocol's examples.
    pub fn replica(&self, replica: usize) -> String {
        format!("s-{replica:08x}")
    }

    /// The tables that the store holds for this controller at the start: its first two slices sit on the replicas that
    /// the events drain, the others are spread over the rest.
    pub fn tables(&self, controller: ControllerId) -> BTreeMap<u32, BTreeMap<String, f64>> {
        let first = controller * self.slices;
        let spread = self.replicas.saturating_sub(2).max(1);
        let replica_number = |at: usize| match at {
            DRAINED_WHILE_IDLE | DRAINED_DURING_PARTITION => at,
            _ => 2 + (first + at) % spread,
        };
        let table = |at: usize| BTreeMap::from([(self.replica(replica_number(at)), 1.0)]);
        (0..self.slices).map(|at| ((first + at) as u32, table(at))).collect()
    }

    /// The configuration file of a controller, but for its addresses.
    pub fn configuration(&self, controller: ControllerId) -> Value {
        let mut file: Value =
            serde_json::from_str(include_str!("../../../../deploy/example.json")).unwrap_or_default();
        file["name"] = json!(format!("n{controller}"));
        file["listen"] = json!("127.0.0.1:0");
        file["settings"]["zones"] = (0..self.zones).map(|zone| self.zone(zone)).collect();
        file["settings"]["peersTotal"] = json!(self.controllers());
        file["settings"]["me"] = json!(controller);
        file["settings"]["familyInfo"]["partitionsN"] = json!(self.controllers() * self.slices);
        file["settings"]["obligations"]["drainGraceNs"] = json!(2_500_000_000u64);
        file
    }
}
