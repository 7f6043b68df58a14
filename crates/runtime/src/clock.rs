//! A monotonic clock that is set to the wall-clock time once, when it starts.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinwall_overrides::ClockReading;
use whinwall_policy::time::{Moment, Span};

/// The clock that decisions are based on. Starts at the wall-clock time and advances monotonically, so that steps of
/// the wall clock do not affect it.
#[derive(Clone, Copy)]
pub struct Clock {
    wall_at_start: Moment,
    start: Instant,
}

impl Clock {
    /// Starts the clock at the current wall-clock time.
    pub fn start() -> Self {
        Clock { wall_at_start: Clock::wall_time(), start: Instant::now() }
    }

    /// Returns the current time of this clock.
    pub fn now(&self) -> Moment {
        self.moment_of(Instant::now())
    }

    /// Reads the clocks of the machine: the time since boot, which includes time in suspend and is not affected by
    /// steps of the wall clock, and the wall clock.
    pub fn read_machine_clocks() -> ClockReading {
        let boot_id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
        let since_boot = clock_gettime(ClockId::Boottime);
        let uptime = Duration::new(since_boot.tv_sec.max(0) as u64, since_boot.tv_nsec.max(0) as u32);
        let uptime = Span::ns(uptime.as_nanos() as u64);
        ClockReading { boot_id: boot_id.trim().into(), uptime, wall_time: Clock::wall_time() }
    }

    /// Returns the machine's wall-clock time, which may be stepped.
    pub fn wall_time() -> Moment {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Moment::at_ns(since_epoch.as_nanos() as u64)
    }

    /// Returns the time of this clock at an instant, or its start time if the instant is earlier.
    pub fn moment_of(&self, instant: Instant) -> Moment {
        let since_start = instant.saturating_duration_since(self.start);
        self.wall_at_start + Span::ns(since_start.as_nanos() as u64)
    }

    /// Returns the duration from now until `at`; zero if `at` has passed.
    pub fn duration_until(&self, at: Moment) -> Duration {
        Duration::from_nanos((at - self.now()).as_ns())
    }
}
