//! What happens in a run, drawn from its seed.

use rustix::process::Signal;
use std::fmt;
use std::time::Duration;
use whinwall_policy::random::Random;

/// How long the program runs in a round, at least and at most.
const MIN_UPTIME_MS: f64 = 300.0;
const MAX_UPTIME_MS: f64 = 1500.0;
/// How long a fault lasts, at least and at most.
const MIN_FAULT_MS: f64 = 50.0;
const MAX_FAULT_MS: f64 = 500.0;
/// The longest time between two signals of a series.
const MAX_SIGNAL_GAP_MS: f64 = 60.0;
/// The share of rounds with a crowd, with each kind of fault, and with a kill that no signal announces.
const CROWD_SHARE: f64 = 0.25;
const FAULT_SHARE: f64 = 0.35;
const KILL_SHARE: f64 = 0.2;

/// Something that fails for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Files cannot be written to.
    DiskFull,
    /// There are no more descriptors.
    DescriptorsShort,
    /// The process does not run.
    Stopped,
}

impl FaultKind {
    const ALL: [FaultKind; 3] = [FaultKind::DiskFull, FaultKind::DescriptorsShort, FaultKind::Stopped];
}

/// When something fails, counted from the beginning of the round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From then on.
    pub from: Duration,
    /// Until then, or the end of the process.
    pub until: Duration,
}

/// How a process is ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// By a kill that nothing announces.
    Kill,
    /// By signals, each after a pause; a kill follows where they have not ended it in time.
    Signals(Vec<(Duration, Signal)>),
}

/// One start and end of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// From the start to the first signal.
    pub uptime: Duration,
    /// Whether hundreds of silent or rubbish connections come too.
    pub has_crowd: bool,
    /// What fails, alone or in pairs.
    pub faults: Vec<Fault>,
    /// How it ends.
    pub ending: Ending,
}

impl fmt::Display for Round {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let crowd = if self.has_crowd { ", crowd" } else { "" };
        let faults: Vec<_> = self.faults.iter().map(|fault| fault.kind).collect();
        write!(f, "{:?}{crowd}, {faults:?}, {:?}", self.uptime, self.ending)
    }
}

/// Draws the rounds of a run.
pub struct Plan {
    random: Random,
}

impl Plan {
    /// The plan of a seed.
    pub fn new(seed: u64) -> Self {
        Plan { random: Random::from_seed(seed) }
    }

    fn milliseconds(&mut self, least: f64, most: f64) -> Duration {
        Duration::from_secs_f64((least + (most - least) * self.random.draw()) / 1000.0)
    }

    fn happens(&mut self, share: f64) -> bool {
        self.random.draw() < share
    }

    fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[(self.random.draw() * choices.len() as f64) as usize % choices.len()]
    }

    /// The next round.
    pub fn draw_round(&mut self) -> Round {
        let uptime = self.milliseconds(MIN_UPTIME_MS, MAX_UPTIME_MS);
        let has_crowd = self.happens(CROWD_SHARE);
        let faults =
            FaultKind::ALL.into_iter().filter_map(|kind| self.draw_fault(kind, uptime)).take(2).collect();
        let ending =
            if self.happens(KILL_SHARE) { Ending::Kill } else { Ending::Signals(self.draw_signals()) };
        Round { uptime, has_crowd, faults, ending }
    }

    fn draw_fault(&mut self, kind: FaultKind, uptime: Duration) -> Option<Fault> {
        if !self.happens(FAULT_SHARE) {
            return None;
        }
        let from = uptime.mul_f64(self.random.draw());
        let until = from + self.milliseconds(MIN_FAULT_MS, MAX_FAULT_MS);
        // One that is stopped at its end could not end in time.
        let until = if kind == FaultKind::Stopped { until.min(uptime) } else { until };
        Some(Fault { kind, from, until })
    }

    /// Some of those that come before the end change nothing; one at least ends the program, and more may follow it.
    fn draw_signals(&mut self) -> Vec<(Duration, Signal)> {
        let before = [Signal::HUP, Signal::USR1, Signal::USR2, Signal::PIPE];
        let after = [Signal::TERM, Signal::INT, Signal::HUP, Signal::USR1, Signal::PIPE];
        let count_before = self.pick(&[0, 0, 1, 3, 20]);
        let count_after = self.pick(&[0, 0, 1, 2, 5]);
        let mut signals = Vec::new();
        for _ in 0..count_before {
            signals.push((self.milliseconds(0.0, MAX_SIGNAL_GAP_MS / 4.0), self.pick(&before)));
        }
        signals.push((Duration::ZERO, self.pick(&[Signal::TERM, Signal::TERM, Signal::INT])));
        for _ in 0..count_after {
            signals.push((self.milliseconds(0.0, MAX_SIGNAL_GAP_MS), self.pick(&after)));
        }
        signals
    }
}
