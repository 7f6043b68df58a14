//! A fleet of a given size: its endpoint list, its members and the lines of its collectors.

use crate::error::BenchError;
use serde::Serialize;
use whinwall_aggregation::heartbeat::Heartbeat;

/// Number of kinds of replicas. Subsets contain replicas of each kind that has enough for all controllers.
const REPLICA_KINDS: usize = 69;

/// Size of the fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// Replicas in the endpoint list.
    pub replicas: usize,
    /// Zones, with one collector each.
    pub zones: usize,
    /// Controllers of the fleet.
    pub controllers: usize,
    /// Slices per controller.
    pub slices: usize,
    /// Request classes per slice.
    pub classes: usize,
    /// Target size of subsets.
    pub subset: usize,
    /// Byte budget per controller and second.
    pub budget: u64,
    /// Aggregators that are alive, including the measured one.
    pub sharing: usize,
}

/// The result of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Size of the measured fleet.
    pub size: Size,
    /// Kind of measurement: in process and virtual time, or with the real program.
    pub way: &'static str,
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// CPU time divided by elapsed time.
    pub cores: f64,
    /// Resident memory at the end, in megabytes.
    pub memory_mb: f64,
    /// Peak of the resident memory, in megabytes.
    pub memory_peak_mb: f64,
    /// Collector lines received per second.
    pub lines_in_per_second: f64,
    /// Kilobytes received from collectors per second.
    pub kb_in_per_second: f64,
    /// Number of controllers served.
    pub controllers_served: usize,
    /// Report lines sent to controllers per second.
    pub lines_out_per_second: f64,
    /// Kilobytes sent to controllers per second.
    pub kb_out_per_second: f64,
    /// Kilobytes per second sent to one controller, on average.
    pub kb_out_per_second_each: f64,
    /// Batches in which not all lines fitted into the byte budget.
    pub budget_stretches: u64,
    /// Maximum CPU time of a tick, if measured.
    pub longest_tick_ms: Option<f64>,
    /// Maximum CPU time of a tick during warm-up, if measured. It includes the first computation of all subsets.
    pub longest_start_tick_ms: Option<f64>,
}

impl Size {
    /// Returns the endpoint list in the format of discovery.
    pub fn list(&self) -> String {
        let entry = |n: usize| {
            let (zone, kind) = (self.zone(n % self.zones), n % REPLICA_KINDS);
            format!(
                "{{\"id\":\"{}\",\"addr\":\"10.0.0.1:1\",\"zone\":\"{zone}\",\"kind\":\"k{kind}\",\"cell\":1,\
                 \"state\":\"active\",\"weight\":1.0,\"started_ms\":0}}",
                self.replica(n)
            )
        };
        let entries: Vec<_> = (0..self.replicas).map(entry).collect();
        format!("{{\"version\":1,\"full\":true,\"servers\":[{}]}}", entries.join(","))
    }

    /// Returns the name of a zone.
    pub fn zone(&self, n: usize) -> String {
        format!("zone-{n}")
    }

    fn replica(&self, n: usize) -> String {
        format!("s-{:08x}", (n as u32).wrapping_mul(0x9E37_79B9))
    }

    /// Returns the name of a controller.
    pub fn controller(&self, n: usize) -> String {
        format!("g{n}")
    }

    /// Returns the inclusive range of the slices of a controller.
    pub fn slices_of(&self, controller: usize) -> (u32, u32) {
        let first = controller * self.slices;
        (first as u32, (first + self.slices - 1) as u32)
    }

    /// Returns the lines of a zone's collector for one second: one per replica, and the zone's share of the slices and
    /// classes.
    pub fn collector_lines(&self, zone: usize, second: u64) -> String {
        let mut text = String::new();
        for n in 0..self.replicas {
            let attempts = 100 + (n as u64 * 7 + second * 13 + zone as u64) % 200;
            let (zone, host, mean) = (self.zone(zone), self.replica(n), 20.0 + (attempts % 37) as f64 / 3.0);
            text.push_str(&format!(
                "{{\"@type\":\"LOAD\",\"az\":\"{zone}\",\"host\":\"{host}\",\"n\":{attempts},\"bad\":{},\"avg\":{mean:.1},\
                 \"window\":1000.0,\"report\":{{\"inflight\":7,\"util\":0.61}}}}\n",
                attempts % 4
            ));
        }
        let shards = self.controllers * self.slices * self.classes;
        for shard in (zone..shards).step_by(self.zones) {
            let (slice, class) = (shard / self.classes, shard % self.classes);
            let requests = 1 + (shard as u64 + second * 11) % 60;
            text.push_str(&format!(
                "{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"class-{class}\",\"n\":{requests},\"bad\":{},\
                 \"window\":1000.0}}\n",
                requests % 2
            ));
        }
        text
    }

    /// Returns the names of the aggregators that are alive, the measured one first.
    pub fn aggregators(&self) -> Vec<String> {
        (0..self.sharing).map(|n| format!("m{n}")).collect()
    }

    /// Returns the heartbeats of the other aggregators.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        let zones: Vec<_> = (0..self.zones).map(|zone| self.zone(zone)).collect();
        let others = self.aggregators().into_iter().skip(1);
        let heartbeat =
            |name| Heartbeat { name, ready: true, list_age_ms: 0, version: 1, zones: zones.clone() };
        others.map(heartbeat).collect()
    }
}

/// Reads a memory value of a process from `/proc`, in kilobytes there, and returns it in megabytes.
pub fn memory_mb(process: &str, field: &str) -> Result<f64, BenchError> {
    let path = format!("/proc/{process}/status");
    let read = std::fs::read_to_string(&path);
    let text = read.map_err(|source| BenchError::StatusFile { path: path.clone(), source })?;
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let kb =
        line.and_then(|line| line.trim_start_matches(':').split_whitespace().next()?.parse::<f64>().ok());
    kb.map(|kb| kb / 1024.0).ok_or_else(|| BenchError::MissingField { path, field: field.into() })
}
