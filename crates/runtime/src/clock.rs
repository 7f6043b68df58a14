//! The wall's time at the start, and from then on a clock that never jumps.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinwall_overrides::ClockReading;
use whinwall_policy::time::{Moment, Span};

#[derive(Clone, Copy)]
pub struct Clock {
    wall: Moment,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Clock { wall: Clock::wall(), start: Instant::now() }
    }

    pub fn now(&self) -> Moment {
        self.wall + Span::ns(self.start.elapsed().as_nanos() as u64)
    }

    /// What the machine's clocks say; its own goes on in sleep and over steps of the wall's.
    pub fn reading() -> ClockReading {
        let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
        let since = clock_gettime(ClockId::Boottime);
        let uptime = Duration::new(since.tv_sec.max(0) as u64, since.tv_nsec.max(0) as u32);
        let uptime = Span::ns(uptime.as_nanos() as u64);
        ClockReading { boot_id: boot.trim().into(), uptime, wall_time: Clock::wall() }
    }

    pub fn wall() -> Moment {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Moment::at_ns(wall.as_nanos() as u64)
    }

    /// The moment of this instant.
    pub fn at(&self, instant: Instant) -> Moment {
        self.wall + Span::ns(instant.saturating_duration_since(self.start).as_nanos() as u64)
    }

    pub fn until(&self, at: Moment) -> Duration {
        Duration::from_nanos((at - self.now()).as_ns())
    }
}
