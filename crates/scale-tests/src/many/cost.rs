//! CPU time and memory of processes, as reported by the kernel.

use rustix::param::clock_ticks_per_second;
use rustix::time::{clock_gettime, ClockId};
use std::ops::{AddAssign, Sub};
use std::time::Duration;

/// Resources used by one or more processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// CPU time since the start of the process.
    pub processor_time: Duration,
    /// Resident memory, in kB.
    pub memory_kb: u64,
    /// Number of threads.
    pub threads: u64,
}

impl AddAssign for Cost {
    fn add_assign(&mut self, added: Cost) {
        self.processor_time += added.processor_time;
        self.memory_kb += added.memory_kb;
        self.threads += added.threads;
    }
}

/// The difference in CPU time to an earlier reading; memory and threads are those of the later reading.
impl Sub for Cost {
    type Output = Cost;
    fn sub(self, earlier: Cost) -> Cost {
        Cost { processor_time: self.processor_time.saturating_sub(earlier.processor_time), ..self }
    }
}

/// Returns the cost of this process.
pub fn of_self() -> Cost {
    of_process(std::process::id()).unwrap_or_default()
}

/// Returns the cost of a process; `None` if it does not exist.
pub fn of_process(process: u32) -> Option<Cost> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    // The process name in parentheses may contain spaces. User and system time are the 12th and 13th fields after it.
    let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let field = |key: &str| -> Option<u64> {
        let line = status.lines().find_map(|line| line.strip_prefix(key))?;
        line.split_whitespace().next()?.parse().ok()
    };
    // A process that has exited but has not been waited for has no memory fields.
    Some(Cost {
        processor_time: Duration::from_secs_f64(ticks as f64 / clock_ticks_per_second() as f64),
        memory_kb: field("VmRSS:").unwrap_or(0),
        threads: field("Threads:").unwrap_or(0),
    })
}

/// Returns the CPU time of the calling thread.
pub fn of_current_thread() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

/// Returns half of the machine's memory, in kB.
pub fn half_of_memory_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let total: u64 = line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    total / 2
}
