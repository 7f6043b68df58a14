//! The sizes and durations of a run, and the assignment of replicas to zones, slices to replicas and controllers to
//! regions.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// The index of a controller in the fleet. The real processes come first, followed by the simulated controllers.
pub type ControllerId = usize;

/// The replica that is drained while no other event takes place. Every controller initially has a slice on it.
pub const DRAINED_WHILE_IDLE: usize = 0;
/// The replica that is drained while a region is partitioned from the network. Every controller initially has a slice
/// on it.
pub const DRAINED_DURING_PARTITION: usize = 1;
/// The region that is partitioned from the network.
pub const PARTITIONED_REGION: usize = 0;
/// The request class of all demand reports.
pub const REQUEST_CLASS: &str = "lookup";
/// One controller in ten keeps running while the others are restarted.
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
    /// Regions that the controllers are distributed over.
    pub regions: usize,
    /// Slices owned by each controller.
    pub slices: usize,
    /// Proxies subscribed to the relay of each controller.
    pub proxies: usize,
    /// Threads that the simulated controllers share.
    pub workers: usize,
    /// Time between two reports on a replica to a process.
    pub report_period: Duration,
    /// Time between two reports on a replica to a simulated controller.
    pub simulated_report_period: Duration,
    /// Duration of the cost measurement without an event.
    pub idle: Duration,
    /// Minimum duration of the region's network partition for the real processes.
    pub partition_duration: Duration,
    /// Duration of the region's network partition for the simulated controllers, by their own clocks.
    pub virtual_partition_duration: Duration,
    /// Time limit for an event.
    pub event_timeout: Duration,
    /// Limit of the memory of controllers and harness together, in kB.
    pub memory_limit_kb: u64,
    /// The path of the controller program.
    pub program: PathBuf,
}

impl Plan {
    /// Returns the number of all controllers.
    pub fn controllers(&self) -> usize {
        self.real + self.simulated
    }

    /// Returns true if the controller runs as a process.
    pub fn is_real(&self, controller: ControllerId) -> bool {
        controller < self.real
    }

    /// Returns the region of a controller.
    pub fn region(&self, controller: ControllerId) -> usize {
        controller % self.regions.max(1)
    }

    /// Returns true if the controller is one of the nine in ten that are restarted at the same time.
    pub fn is_restarted(&self, controller: ControllerId) -> bool {
        !controller.is_multiple_of(UNRESTARTED_INTERVAL)
    }

    /// Returns the name of a zone.
    pub fn zone(&self, zone: usize) -> String {
        format!("zone-{zone}")
    }

    /// Returns the zone of a replica.
    pub fn zone_of(&self, replica: usize) -> usize {
        replica % self.zones.max(1)
    }

    /// Returns the id of a replica, of the same length as the ids in the protocol's examples.
    pub fn replica(&self, replica: usize) -> String {
        format!("s-{replica:08x}")
    }

    /// Returns the initial routing tables of a controller in the relay's store. Its first two slices are on the
    /// replicas that the events drain; the others are distributed over the remaining replicas.
    pub fn tables(&self, controller: ControllerId) -> BTreeMap<u32, BTreeMap<String, f64>> {
        let first_slice = controller * self.slices;
        let undrained_replicas = self.replicas.saturating_sub(2).max(1);
        let replica_number = |index: usize| match index {
            DRAINED_WHILE_IDLE | DRAINED_DURING_PARTITION => index,
            _ => 2 + (first_slice + index) % undrained_replicas,
        };
        let table = |index: usize| BTreeMap::from([(self.replica(replica_number(index)), 1.0)]);
        (0..self.slices).map(|index| ((first_slice + index) as u32, table(index))).collect()
    }

    /// Returns the content of a controller's configuration file, without the addresses of relay and discovery.
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
