//! A persistent timeline that continues over restarts of the program and steps of the wall clock. Expiry times
//! are stored on it, as neither may prolong an override.

use whinwall_policy::time::{Moment, Span};

/// What the machine's clocks show at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockReading {
    /// Identifies the boot of the machine; empty where the machine has no such id.
    pub boot_id: String,
    /// The time since that boot, sleep included.
    pub uptime: Span,
    /// The wall clock.
    pub wall_time: Moment,
}

/// A clock reading with the position on the persistent timeline at that moment.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockStamp {
    /// The machine's clocks.
    pub reading: ClockReading,
    /// The position on the persistent timeline.
    pub position: Moment,
}

/// Converts between process time and the persistent timeline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeline {
    process_start: Moment,
    persistent_start: Moment,
}

/// A timeline that was continued after a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResumedTimeline {
    /// The timeline.
    pub timeline: Timeline,
    /// False where no clock shows how long the program was down, as the wall clock went back over a reboot.
    pub is_reliable: bool,
}

impl Timeline {
    /// Continues from the last stamp, or begins at the wall time where there is none. Within one boot the
    /// uptime shows how long the program was down, whatever happened to the wall clock; over a reboot the wall
    /// clock does, unless it went back.
    pub fn resume(now: Moment, reading: &ClockReading, last: Option<&ClockStamp>) -> ResumedTimeline {
        let Some(stamp) = last else {
            let timeline = Timeline { process_start: now, persistent_start: reading.wall_time };
            return ResumedTimeline { timeline, is_reliable: true };
        };
        let former = &stamp.reading;
        let is_same_boot = !reading.boot_id.is_empty() && reading.boot_id == former.boot_id;
        let (downtime, is_reliable) = if is_same_boot && reading.uptime >= former.uptime {
            (reading.uptime - former.uptime, true)
        } else {
            (reading.wall_time - former.wall_time, reading.wall_time >= former.wall_time)
        };
        let timeline = Timeline { process_start: now, persistent_start: stamp.position + downtime };
        ResumedTimeline { timeline, is_reliable }
    }

    /// The position on the persistent timeline of a process time.
    pub fn to_persistent(&self, process_time: Moment) -> Moment {
        translate(process_time, self.process_start, self.persistent_start)
    }

    /// The process time of a position on the persistent timeline.
    pub fn to_process(&self, position: Moment) -> Moment {
        translate(position, self.persistent_start, self.process_start)
    }
}

/// The time that is as far from `to` as `at` is from `from`. The difference of times is never negative, so the
/// direction decides between adding and subtracting.
fn translate(at: Moment, from: Moment, to: Moment) -> Moment {
    if at >= from {
        to + (at - from)
    } else {
        to - (from - at)
    }
}

/// A smaller change of the wall clock is drift; expiry has to be exact to a second.
const WALL_CLOCK_STEP_THRESHOLD: Span = Span::ms(250);

/// Detects steps of the wall clock against a monotonic clock.
#[derive(Default)]
pub struct WallClockMonitor {
    /// How far the wall clock is ahead of the monotonic one, in nanoseconds, when it was last compared.
    lead_ns: Option<i128>,
}

impl WallClockMonitor {
    /// Whether the wall clock was stepped since the last step, or the first call.
    pub fn has_stepped(&mut self, now: Moment, wall_time: Moment) -> bool {
        let nanoseconds = |at: Moment| i128::from((at - Moment::default()).as_ns());
        let lead_ns = nanoseconds(wall_time) - nanoseconds(now);
        let Some(former_lead_ns) = self.lead_ns else {
            self.lead_ns = Some(lead_ns);
            return false;
        };
        let change_ns = (lead_ns - former_lead_ns).unsigned_abs();
        let has_stepped = change_ns > u128::from(WALL_CLOCK_STEP_THRESHOLD.as_ns());
        if has_stepped {
            self.lead_ns = Some(lead_ns);
        }
        has_stepped
    }
}
