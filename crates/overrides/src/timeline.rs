//! A persistent timeline that continues across restarts of the program and steps of the wall clock. Expiry times are
//! stored on it, as neither a restart nor a clock step may prolong an override.

use whinwall_policy::time::{Moment, Span};

/// The readings of the machine's clocks at one point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockReading {
    /// Identifies the boot of the machine; empty if the machine provides no such id.
    pub boot_id: String,
    /// The time since that boot, including suspend.
    pub uptime: Span,
    /// The wall-clock time.
    pub wall_time: Moment,
}

/// A clock reading with the position on the persistent timeline at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockStamp {
    /// The readings of the machine's clocks.
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
    /// False if the downtime of the program is unknown, as the wall clock went back across a reboot.
    pub is_reliable: bool,
}

impl Timeline {
    /// Continues from the last stamp, or starts at the wall-clock time if there is none. Within one boot the uptime
    /// determines the downtime of the program, regardless of the wall clock. Across a reboot the wall clock determines
    /// it, unless it went back.
    pub fn resume(now: Moment, reading: &ClockReading, last: Option<&ClockStamp>) -> ResumedTimeline {
        let Some(stamp) = last else {
            let timeline = Timeline { process_start: now, persistent_start: reading.wall_time };
            return ResumedTimeline { timeline, is_reliable: true };
        };
        let previous = &stamp.reading;
        let is_same_boot = !reading.boot_id.is_empty() && reading.boot_id == previous.boot_id;
        let (downtime, is_reliable) = if is_same_boot && reading.uptime >= previous.uptime {
            (reading.uptime - previous.uptime, true)
        } else {
            (reading.wall_time - previous.wall_time, reading.wall_time >= previous.wall_time)
        };
        let timeline = Timeline { process_start: now, persistent_start: stamp.position + downtime };
        ResumedTimeline { timeline, is_reliable }
    }

    /// Converts a process time to a position on the persistent timeline.
    pub fn to_persistent(&self, process_time: Moment) -> Moment {
        translate(process_time, self.process_start, self.persistent_start)
    }

    /// Converts a position on the persistent timeline to a process time.
    pub fn to_process(&self, position: Moment) -> Moment {
        translate(position, self.persistent_start, self.process_start)
    }
}

/// Returns the time whose distance from `to` equals the distance of `at` from `from`. The difference of two times is
/// never negative, so the direction decides between addition and subtraction.
fn translate(at: Moment, from: Moment, to: Moment) -> Moment {
    if at >= from {
        to + (at - from)
    } else {
        to - (from - at)
    }
}

/// Smaller changes of the wall clock count as drift. Expiry has to be accurate to one second.
const WALL_CLOCK_STEP_THRESHOLD: Span = Span::ms(250);

/// Detects steps of the wall clock against a monotonic clock.
#[derive(Default)]
pub struct WallClockMonitor {
    /// How far the wall clock was ahead of the monotonic clock at the last step or at the first call, in nanoseconds.
    lead_ns: Option<i128>,
}

impl WallClockMonitor {
    /// Returns true if the wall clock was stepped since the last detected step or the first call.
    pub fn has_stepped(&mut self, now: Moment, wall_time: Moment) -> bool {
        let nanoseconds = |at: Moment| i128::from((at - Moment::default()).as_ns());
        let lead_ns = nanoseconds(wall_time) - nanoseconds(now);
        let Some(previous_lead_ns) = self.lead_ns else {
            self.lead_ns = Some(lead_ns);
            return false;
        };
        let change_ns = (lead_ns - previous_lead_ns).unsigned_abs();
        let has_stepped = change_ns > u128::from(WALL_CLOCK_STEP_THRESHOLD.as_ns());
        if has_stepped {
            self.lead_ns = Some(lead_ns);
        }
        has_stepped
    }
}
