//! Latencies of replicas against those of their like, and what links between zones add.

use crate::measure::windows::MIN_SAMPLES;
use crate::state::controller::ControllerState;
use crate::state::link_latency::Link;
use crate::state::replica::Replica;
use crate::time::Span;
use std::collections::BTreeMap;

/// The sum of some latencies in seconds, and their number.
#[derive(Default)]
struct LatencySum {
    seconds: f64,
    count: f64,
}

impl ControllerState {
    /// How many seconds each link between zones adds to a request, beyond what proxies in the replica's own zone find.
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

    /// Each replica's mean latency, in the order of their ids, against the mean of the usable ones of its kind; 1 where
    /// either is not known.
    pub(crate) fn relative_latencies(&self, window: Span) -> Vec<f64> {
        let latency = |replica: &Replica| replica.reports.mean_latency_seconds(self.now, window, MIN_SAMPLES);
        let latencies: Vec<_> = self.replicas.values().map(latency).collect();
        let mut by_kind: BTreeMap<&str, LatencySum> = BTreeMap::new();
        for (replica, latency) in self.replicas.values().zip(&latencies) {
            if self.is_usable(replica) {
                let sum = by_kind.entry(self.machine_kind(replica)).or_default();
                sum.seconds += latency.unwrap_or(0.0);
                sum.count += f64::from(u8::from(latency.is_some()));
            }
        }
        let relative = |(replica, latency): (&Replica, Option<f64>)| match (
            latency,
            by_kind.get(self.machine_kind(replica)),
        ) {
            (Some(latency), Some(sum)) if sum.seconds > 0.0 => latency * sum.count / sum.seconds,
            _ => 1.0,
        };
        self.replicas.values().zip(latencies).map(relative).collect()
    }

    /// The kind of machine, where the list's weights tell kinds apart; else all replicas are alike.
    fn machine_kind<'a>(&self, replica: &'a Replica) -> &'a str {
        if self.deployment.weights_known {
            &replica.machine
        } else {
            ""
        }
    }
}
