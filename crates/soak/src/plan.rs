//! The rounds of a run, drawn from its seed.

use rustix::process::Signal;
use std::fmt;
use std::time::Duration;
use whinwall_policy::random::Random;

/// Bounds of the time between start-up and the first signal of a round.
const MIN_UPTIME_MS: f64 = 300.0;
const MAX_UPTIME_MS: f64 = 1500.0;
/// Bounds of the duration of a fault.
const MIN_FAULT_MS: f64 = 50.0;
const MAX_FAULT_MS: f64 = 500.0;
/// The longest time between two signals of a series.
const MAX_SIGNAL_GAP_MS: f64 = 60.0;
/// The shares of rounds with a connection flood, with each kind of fault, and with a kill without preceding signals.
const FLOOD_SHARE: f64 = 0.25;
const FAULT_SHARE: f64 = 0.35;
const KILL_SHARE: f64 = 0.2;

/// A temporary fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Writes to files fail.
    DiskFull,
    /// No further descriptor can be opened.
    DescriptorsShort,
    /// The process is stopped.
    Stopped,
}

impl FaultKind {
    const ALL: [FaultKind; 3] = [FaultKind::DiskFull, FaultKind::DescriptorsShort, FaultKind::Stopped];
}

/// A fault with its time range, counted from the beginning of the round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The beginning.
    pub from: Duration,
    /// The end, unless the process exits earlier.
    pub until: Duration,
}

/// How the process of a round is ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// By SIGKILL, without preceding signals.
    Kill,
    /// By signals, each after a pause. The process is killed if it has not exited in time.
    Signals(Vec<(Duration, Signal)>),
}

/// One start and end of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// The time from start-up to the first signal.
    pub uptime: Duration,
    /// True if hundreds of connections that send nothing or invalid data are opened.
    pub has_flood: bool,
    /// At most two faults.
    pub faults: Vec<Fault>,
    /// How the process is ended.
    pub ending: Ending,
}

impl fmt::Display for Round {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let flood = if self.has_flood { ", flood" } else { "" };
        let faults: Vec<_> = self.faults.iter().map(|fault| fault.kind).collect();
        write!(f, "{:?}{flood}, {faults:?}, {:?}", self.uptime, self.ending)
    }
}

/// Draws the rounds of a run.
pub struct Plan {
    random: Random,
}

impl Plan {
    /// Creates the plan of a seed.
    pub fn new(seed: u64) -> Self {
        Plan { random: Random::from_seed(seed) }
    }

    fn draw_duration(&mut self, min_ms: f64, max_ms: f64) -> Duration {
        Duration::from_secs_f64((min_ms + (max_ms - min_ms) * self.random.draw()) / 1000.0)
    }

    fn draw_bool(&mut self, share: f64) -> bool {
        self.random.draw() < share
    }

    fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[(self.random.draw() * choices.len() as f64) as usize % choices.len()]
    }

    /// Draws the next round.
    pub fn draw_round(&mut self) -> Round {
        let uptime = self.draw_duration(MIN_UPTIME_MS, MAX_UPTIME_MS);
        let has_flood = self.draw_bool(FLOOD_SHARE);
        let faults =
            FaultKind::ALL.into_iter().filter_map(|kind| self.draw_fault(kind, uptime)).take(2).collect();
        let ending =
            if self.draw_bool(KILL_SHARE) { Ending::Kill } else { Ending::Signals(self.draw_signals()) };
        Round { uptime, has_flood, faults, ending }
    }

    fn draw_fault(&mut self, kind: FaultKind, uptime: Duration) -> Option<Fault> {
        if !self.draw_bool(FAULT_SHARE) {
            return None;
        }
        let from = uptime.mul_f64(self.random.draw());
        let until = from + self.draw_duration(MIN_FAULT_MS, MAX_FAULT_MS);
        // A process that is still stopped at the end of the round could not exit in time.
        let until = if kind == FaultKind::Stopped { until.min(uptime) } else { until };
        Some(Fault { kind, from, until })
    }

    /// Draws signals that do not end the program, then one that does, then possibly further ones.
    fn draw_signals(&mut self) -> Vec<(Duration, Signal)> {
        let before = [Signal::HUP, Signal::USR1, Signal::USR2, Signal::PIPE];
        let after = [Signal::TERM, Signal::INT, Signal::HUP, Signal::USR1, Signal::PIPE];
        let count_before = self.pick(&[0, 0, 1, 3, 20]);
        let count_after = self.pick(&[0, 0, 1, 2, 5]);
        let mut signals = Vec::new();
        for _ in 0..count_before {
            signals.push((self.draw_duration(0.0, MAX_SIGNAL_GAP_MS / 4.0), self.pick(&before)));
        }
        signals.push((Duration::ZERO, self.pick(&[Signal::TERM, Signal::TERM, Signal::INT])));
        for _ in 0..count_after {
            signals.push((self.draw_duration(0.0, MAX_SIGNAL_GAP_MS), self.pick(&after)));
        }
        signals
    }
}
