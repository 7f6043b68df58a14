//! The wall's time at the start, and from then on a clock that never jumps.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinwall::time::{Moment, Span};

pub struct Clock {
    wall: Moment,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { wall: Moment::at_ns(wall.as_nanos() as u64), start: Instant::now() }
    }

    pub fn now(&self) -> Moment {
        self.wall + Span::ns(self.start.elapsed().as_nanos() as u64)
    }

    pub fn until(&self, at: Moment) -> Duration {
        Duration::from_nanos((at - self.now()).as_ns())
    }
}
