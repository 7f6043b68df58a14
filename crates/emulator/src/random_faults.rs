//! Faults drawn at random, the same for the same seed.

use crate::config::ScenarioConfig;
use crate::fault::{Fault, FaultKind, ListAnomaly};
use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

/// The number of weighted choices among kinds of faults.
const KINDS: usize = 26;
/// The shortest fault.
const MIN_DURATION_MS: usize = 1000;

/// Draws so many faults, all of which start in the middle of the scenario.
pub fn random_faults(seed: u64, count: usize, config: &ScenarioConfig) -> Vec<Fault> {
    let mut draw = Draw { random: Random::from_seed(seed), config };
    (0..count).map(|_| draw.fault()).collect()
}

struct Draw<'a> {
    random: Random,
    config: &'a ScenarioConfig,
}

impl Draw<'_> {
    fn below(&mut self, limit: usize) -> usize {
        (self.random.draw() * limit as f64) as usize
    }

    fn fault(&mut self) -> Fault {
        let scenario_ms = (self.config.duration.as_ns() / 1_000_000) as usize;
        let kind = self.kind();
        let starts_after_ms = scenario_ms / 4 + self.below(scenario_ms / 3);
        let duration_ms = MIN_DURATION_MS + self.below(scenario_ms / 4);
        Fault::new(starts_after_ms as u64, duration_ms as u64, kind)
    }

    /// The end of a range that begins at `from` and has up to `limit` members.
    fn range_end(&mut self, from: usize, limit: usize, total: usize) -> usize {
        (from + 1 + self.below(limit)).min(total)
    }

    fn kind(&mut self) -> FaultKind {
        let config = self.config;
        let replica = self.below(config.replicas);
        match self.below(KINDS) {
            choice @ 0..=7 => self.replica_fault(choice, replica),
            8 => {
                FaultKind::HotSlice { slice: self.below(config.slices), factor: 5.0 + self.below(20) as f64 }
            }
            9 => FaultKind::Burst { factor: 1.2 + 0.1 * self.below(8) as f64 },
            10 => FaultKind::ZonePartitioned { zone: self.below(config.zones) },
            11 => FaultKind::RelayUnreachable,
            12 => FaultKind::RelayUnresponsive,
            13 => FaultKind::DiscoveryUnreachable,
            14 => FaultKind::ControllerKilled { controller: self.below(config.controllers) },
            15 => FaultKind::SlowChannel { rate_factor: 0.05 + 0.1 * self.below(9) as f64 },
            16 => FaultKind::ProxiesDisconnected { proxies: 1 + self.below(config.proxies / 2) },
            17 => {
                let from = self.below(config.slices);
                let to = self.range_end(from, config.slices / 3, config.slices);
                FaultKind::SlicesReassigned { from, to }
            }
            18 => FaultKind::GarbledRelay { share: 0.05 + 0.1 * self.below(5) as f64 },
            19 if config.controllers > 1 => {
                FaultKind::ControllersKilled { controllers: 1 + self.below(config.controllers - 1) }
            }
            20 => FaultKind::ZoneLost { zone: self.below(config.zones) },
            21 | 22 => {
                let to = self.range_end(replica, config.replicas / 2, config.replicas);
                FaultKind::BatchReplacement { from: replica, to }
            }
            23 => {
                let delay = Span::ms(200 + 200 * self.below(10) as u64);
                FaultKind::ListAnomaly { anomaly: ListAnomaly::Delayed(delay) }
            }
            24 => {
                let partial = ListAnomaly::Partial(2 + self.below(5));
                let anomalies = [ListAnomaly::Repeated, ListAnomaly::Reverted, partial];
                FaultKind::ListAnomaly { anomaly: anomalies[self.below(anomalies.len())] }
            }
            _ => FaultKind::OutOfService { replica },
        }
    }

    fn replica_fault(&mut self, choice: usize, replica: usize) -> FaultKind {
        let replicas = self.config.replicas;
        match choice {
            0 => FaultKind::Crash { replica },
            1 => FaultKind::Hang { replica },
            2 => FaultKind::Silence { replica },
            3 => FaultKind::Slow { replica, factor: 2.0 + self.below(8) as f64 },
            4 => FaultKind::FastErrors { replica, share: 0.4 + 0.1 * self.below(6) as f64 },
            5 => FaultKind::Drain { replica },
            6 => {
                let to = self.range_end(replica, replicas / 4, replicas);
                FaultKind::RollingRelease { from: replica, to }
            }
            _ => {
                let to = self.range_end(replica, replicas / 2, replicas);
                FaultKind::WrongList { from: replica, to }
            }
        }
    }
}
