//! Overload by bad clients: each listener of the real programs is attacked in several ways, while a sound client measures
//! how long it waits and the peak of the program's memory is read.

mod attack;
mod probe;
mod protocol;
mod stream;
mod target;

pub use attack::Attack;
pub use probe::ProbeReport;
pub use target::{Listener, Target};

use crate::program::SoakError;
use attack::RunningAttack;
use probe::Probe;
use std::fmt;
use std::time::Duration;

/// The memory limit of a program, in bytes.
pub const MEMORY_LIMIT_BYTES: u64 = 192 * 1_000_000;
/// The longest time that a sound client may wait for an answer.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// What was measured during an attack.
#[derive(Clone, Debug)]
pub struct OverloadReport {
    /// The attacked listener.
    pub listener: Listener,
    /// The attack.
    pub attack: Attack,
    /// What the sound client has seen.
    pub probe: ProbeReport,
    /// The peak of the program's resident memory since its start, in bytes.
    pub peak_bytes: u64,
    /// True if the program still ran at the end.
    pub is_running: bool,
}

impl OverloadReport {
    /// Returns the limits that were exceeded.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        if !self.is_running {
            violations.push("the program has ended".to_string());
        }
        if self.peak_bytes > MEMORY_LIMIT_BYTES {
            violations.push(format!("{} MB of memory", self.peak_bytes / 1_000_000));
        }
        if self.probe.longest_wait > MAX_WAIT || self.probe.answered == 0 {
            violations.push(format!("a sound client waited for {:?}", self.probe.longest_wait));
        }
        violations
    }
}

impl fmt::Display for OverloadReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let OverloadReport { listener, attack, probe, peak_bytes, .. } = self;
        let ProbeReport { answered, failed_attempts, longest_wait } = probe;
        write!(
            f,
            "{listener}, {attack}: peak {} MB, longest wait {longest_wait:?}, {answered} answered, \
             {failed_attempts} failed attempts",
            peak_bytes / 1_000_000
        )
    }
}

/// Attacks a listener of a new process for this long.
///
/// # Errors
/// [`SoakError`] if the program cannot be started or observed.
pub fn run(listener: Listener, attack: Attack, duration: Duration) -> Result<OverloadReport, SoakError> {
    let mut target = Target::start(listener)?;
    let (endpoint, protocol) = (target.endpoint(), target.protocol());
    let probe = Probe::start(&endpoint, protocol);
    let running = RunningAttack::start(attack, &endpoint, protocol);
    std::thread::sleep(duration);
    let peak_bytes = target.peak_bytes().unwrap_or(0);
    drop(running);
    let probe = probe.stop();
    let is_running = target.is_running()?;
    Ok(OverloadReport { listener, attack, probe, peak_bytes, is_running })
}
