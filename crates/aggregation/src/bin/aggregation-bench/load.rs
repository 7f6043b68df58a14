//! A fleet of a given size: its list, its members, and what its collectors say.

use serde::Serialize;
use whinwall_aggregation::heartbeat::Heartbeat;

/// How large the fleet is.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// Replicas in the list.
    pub replicas: usize,
    /// Zones with a collector each.
    pub zones: usize,
    /// Controllers.
    pub controllers: usize,
    /// Slices of each controller.
    pub slices: usize,
    /// Classes of each slice.
    pub classes: usize,
    /// The wished size of subsets.
    pub subset: usize,
    /// Bytes a second.
    pub budget: u64,
    /// Aggregators that are alive, the measured one among them.
    pub sharing: usize,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Of what.
    pub size: Size,
    /// In virtual time and process, or by the real program.
    pub way: &'static str,
    /// Seconds measured.
    pub seconds: f64,
    /// Processor time over time.
    pub cores: f64,
    /// Resident memory in the end, in megabytes.
    pub memory_mb: f64,
    /// The most resident memory.
    pub memory_peak_mb: f64,
    /// Collector lines a second.
    pub lines_in_per_second: f64,
    /// Their bytes.
    pub kb_in_per_second: f64,
    /// Controllers served.
    pub controllers_served: usize,
    /// Report lines to controllers a second.
    pub lines_out_per_second: f64,
    /// Bytes to them.
    pub kb_out_per_second: f64,
    /// Of these to one controller, on average.
    pub kb_out_per_second_each: f64,
    /// Turns in which a budget was short.
    pub budget_stretches: u64,
    /// The most processor time that one tick took, where it is measured.
    pub longest_tick_ms: Option<f64>,
    /// The same of the ticks before, the one that computes all subsets from nothing among them.
    pub longest_start_tick_ms: Option<f64>,
}

impl Size {
    /// The list of replicas, in discovery's form.
    pub fn list(&self) -> String {
        let entry = |n: usize| {
            let (zone, kind) = (self.zone(n % self.zones), n % 69);
            format!(
                "{{\"id\":\"{}\",\"addr\":\"10.0.0.1:1\",\"zone\":\"{zone}\",\"kind\":\"k{kind}\",\"cell\":1,\
                 \"state\":\"active\",\"weight\":1.0,\"started_ms\":0}}",
                self.replica(n)
            )
        };
        let entries: Vec<_> = (0..self.replicas).map(entry).collect();
        format!("{{\"version\":1,\"full\":true,\"servers\":[{}]}}", entries.join(","))
    }

    /// The name of a zone.
    pub fn zone(&self, n: usize) -> String {
        format!("zone-{n}")
    }

    fn replica(&self, n: usize) -> String {
        format!("s-{:08x}", (n as u32).wrapping_mul(0x9E37_79B9))
    }

    /// The name of a controller.
    pub fn controller(&self, n: usize) -> String {
        format!("g{n}")
    }

    /// The slices of a controller, both ends included.
    pub fn slices_of(&self, controller: usize) -> (u32, u32) {
        let first = controller * self.slices;
        (first as u32, (first + self.slices - 1) as u32)
    }

    /// What the collector of a zone says in a second: of each replica, and its part of the slices and classes.
    pub fn second(&self, zone: usize, second: u64) -> String {
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
            let came = 1 + (shard as u64 + second * 11) % 60;
            text.push_str(&format!(
                "{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"class-{class}\",\"n\":{came},\"bad\":{},\
                 \"window\":1000.0}}\n",
                came % 2
            ));
        }
        text
    }

    /// The names of the aggregators that are alive, the measured one first.
    pub fn aggregators(&self) -> Vec<String> {
        (0..self.sharing).map(|n| format!("m{n}")).collect()
    }

    /// What the others tell.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        let zones: Vec<_> = (0..self.zones).map(|zone| self.zone(zone)).collect();
        let others = self.aggregators().into_iter().skip(1);
        let heartbeat =
            |name| Heartbeat { name, ready: true, list_age_ms: 0, version: 1, zones: zones.clone() };
        others.map(heartbeat).collect()
    }
}

/// A figure of a process in `/proc`, in kilobytes.
pub fn memory_mb(process: &str, what: &str) -> Result<f64, String> {
    let path = format!("/proc/{process}/status");
    let text = std::fs::read_to_string(&path).map_err(|why| format!("{path}: {why}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(what));
    let kb =
        line.and_then(|line| line.trim_start_matches(':').split_whitespace().next()?.parse::<f64>().ok());
    kb.map(|kb| kb / 1024.0).ok_or_else(|| format!("{path} has no {what}"))
}
