//! Latencies of replicas relative to replicas of the same machine type, and delays of the links between zones.

use crate::measure::windows::MIN_SAMPLES;
use crate::state::controller::ControllerState;
use crate::state::link_latency::Link;
use crate::state::replica::Replica;
use crate::time::Span;
use std::collections::BTreeMap;

/// A sum of latencies in seconds, and their count.
#[derive(Default)]
struct LatencySum {
    seconds: f64,
    count: f64,
}

impl ControllerState {
    /// Returns the latency in seconds that each link between zones adds to a request, compared with requests from
    /// proxies in the replica's own zone.
    pub(crate) fn measure_link_delays(&self, window: Span) -> BTreeMap<Link, f64> {
        let mean_latency = |link: Link| {
            let latency = self.links.latencies.get(&link)?;
            let succeeded = latency.succeeded.sum(self.now, window);
            (succeeded >= MIN_SAMPLES).then(|| latency.latency_seconds.sum(self.now, window) / succeeded)
        };
        let delay = |link: &Link| {
            let replica_zone = link.1;
            Some((mean_latency(*link)? - mean_latency((replica_zone, replica_zone))?).max(0.0))
        };
        self.links.latencies.keys().filter_map(|link| Some((*link, delay(link)?))).collect()
    }

    /// Returns each replica's mean latency divided by the mean of the usable replicas of its machine type, in the
    /// order of replica ids; 1 if either is unknown.
    pub(crate) fn relative_latencies(&self, window: Span) -> Vec<f64> {
        let latency = |replica: &Replica| replica.reports.mean_latency_seconds(self.now, window, MIN_SAMPLES);
        let latencies: Vec<_> = self.replicas.values().map(latency).collect();
        let mut by_machine_type: BTreeMap<&str, LatencySum> = BTreeMap::new();
        for (replica, latency) in self.replicas.values().zip(&latencies) {
            if self.is_usable(replica) {
                let sum = by_machine_type.entry(self.machine_type(replica)).or_default();
                sum.seconds += latency.unwrap_or(0.0);
                sum.count += f64::from(u8::from(latency.is_some()));
            }
        }
        let relative = |(replica, latency): (&Replica, Option<f64>)| match (
            latency,
            by_machine_type.get(self.machine_type(replica)),
        ) {
            (Some(latency), Some(sum)) if sum.seconds > 0.0 => latency * sum.count / sum.seconds,
            _ => 1.0,
        };
        self.replicas.values().zip(latencies).map(relative).collect()
    }

    /// Returns the replica's machine type if the listed weights are known, since these already cover differences in
    /// speed between types. Otherwise all replicas count as one type.
    fn machine_type<'a>(&self, replica: &'a Replica) -> &'a str {
        if self.deployment.weights_known {
            &replica.machine
        } else {
            ""
        }
    }
}
