//! Random faults, deterministic for a seed.

use crate::config::ScenarioConfig;
use crate::fault::{Fault, FaultKind, ListAnomaly};
use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

/// The number of equally likely choices in `draw_kind`. Some kinds of faults have several choices.
const KIND_CHOICES: usize = 26;
/// The minimum duration of a fault.
const MIN_DURATION_MS: usize = 1000;

/// Draws `count` faults that start after a quarter to seven twelfths of the scenario's duration.
pub fn random_faults(seed: u64, count: usize, config: &ScenarioConfig) -> Vec<Fault> {
    let mut generator = FaultGenerator { random: Random::from_seed(seed), config };
    (0..count).map(|_| generator.draw_fault()).collect()
}

struct FaultGenerator<'a> {
    random: Random,
    config: &'a ScenarioConfig,
}

impl FaultGenerator<'_> {
    fn draw_below(&mut self, limit: usize) -> usize {
        (self.random.draw() * limit as f64) as usize
    }

    fn draw_fault(&mut self) -> Fault {
        let scenario_ms = (self.config.duration.as_ns() / 1_000_000) as usize;
        let kind = self.draw_kind();
        let starts_after_ms = scenario_ms / 4 + self.draw_below(scenario_ms / 3);
        let duration_ms = MIN_DURATION_MS + self.draw_below(scenario_ms / 4);
        Fault::new(starts_after_ms as u64, duration_ms as u64, kind)
    }

    /// Draws the end of a range that starts at `from` and has up to `limit` members.
    fn draw_range_end(&mut self, from: usize, limit: usize, total: usize) -> usize {
        (from + 1 + self.draw_below(limit)).min(total)
    }

    fn draw_kind(&mut self) -> FaultKind {
        let config = self.config;
        let replica = self.draw_below(config.replicas);
        match self.draw_below(KIND_CHOICES) {
            choice @ 0..=7 => self.draw_replica_fault(choice, replica),
            8 => FaultKind::HotSlice {
                slice: self.draw_below(config.slices),
                factor: 5.0 + self.draw_below(20) as f64,
            },
            9 => FaultKind::Burst { factor: 1.2 + 0.1 * self.draw_below(8) as f64 },
            10 => FaultKind::ZonePartitioned { zone: self.draw_below(config.zones) },
            11 => FaultKind::RelayUnreachable,
            12 => FaultKind::RelayUnresponsive,
            13 => FaultKind::DiscoveryUnreachable,
            14 => FaultKind::ControllerKilled { controller: self.draw_below(config.controllers) },
            15 => FaultKind::SlowChannel { rate_factor: 0.05 + 0.1 * self.draw_below(9) as f64 },
            16 => FaultKind::ProxiesDisconnected { proxies: 1 + self.draw_below(config.proxies / 2) },
            17 => {
                let from = self.draw_below(config.slices);
                let to = self.draw_range_end(from, config.slices / 3, config.slices);
                FaultKind::SlicesReassigned { from, to }
            }
            18 => FaultKind::GarbledRelay { share: 0.05 + 0.1 * self.draw_below(5) as f64 },
            19 if config.controllers > 1 => {
                FaultKind::ControllersKilled { controllers: 1 + self.draw_below(config.controllers - 1) }
            }
            20 => FaultKind::ZoneLost { zone: self.draw_below(config.zones) },
            21 | 22 => {
                let to = self.draw_range_end(replica, config.replicas / 2, config.replicas);
                FaultKind::BatchReplacement { from: replica, to }
            }
            23 => {
                let delay = Span::ms(200 + 200 * self.draw_below(10) as u64);
                FaultKind::ListAnomaly { anomaly: ListAnomaly::Delayed(delay) }
            }
            24 => {
                let partial = ListAnomaly::Partial(2 + self.draw_below(5));
                let anomalies = [ListAnomaly::Repeated, ListAnomaly::Reverted, partial];
                FaultKind::ListAnomaly { anomaly: anomalies[self.draw_below(anomalies.len())] }
            }
            _ => FaultKind::OutOfService { replica },
        }
    }

    fn draw_replica_fault(&mut self, choice: usize, replica: usize) -> FaultKind {
        let replicas = self.config.replicas;
        match choice {
            0 => FaultKind::Crash { replica },
            1 => FaultKind::Hang { replica },
            2 => FaultKind::Silence { replica },
            3 => FaultKind::Slow { replica, factor: 2.0 + self.draw_below(8) as f64 },
            4 => FaultKind::FastErrors { replica, share: 0.4 + 0.1 * self.draw_below(6) as f64 },
            5 => FaultKind::Drain { replica },
            6 => {
                let to = self.draw_range_end(replica, replicas / 4, replicas);
                FaultKind::RollingRelease { from: replica, to }
            }
            _ => {
                let to = self.draw_range_end(replica, replicas / 2, replicas);
                FaultKind::WrongList { from: replica, to }
            }
        }
    }
}
