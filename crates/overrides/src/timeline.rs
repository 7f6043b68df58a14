//! A line of time that goes on over restarts of the program and steps of the wall's clock. Ends are kept on
//! it: neither may prolong an override.

use whinwall_policy::time::{Moment, Span};

/// What the machine's clocks say at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// Names this start of the machine; empty where the machine has no such name.
    pub boot: String,
    pub since_boot: Span,
    pub wall: Moment,
}

/// What the clocks said when the line was here.
#[derive(Clone, Debug, PartialEq)]
pub struct Stamp {
    pub reading: Reading,
    pub line: Moment,
}

/// From the moments of this life to the line and back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeline {
    life: Moment,
    line: Moment,
}

impl Timeline {
    /// Goes on from the last stamp. Within one start of the machine its own clock tells how long we were
    /// away, whatever became of the wall's; else the wall tells, unless it went back: then nothing does, and
    /// the second part is false.
    pub fn resume(now: Moment, reading: &Reading, last: Option<&Stamp>) -> (Self, bool) {
        let Some(stamp) = last else { return (Timeline { life: now, line: reading.wall }, true) };
        let then = &stamp.reading;
        let same_boot = !reading.boot.is_empty() && reading.boot == then.boot;
        let (away, sure) = match () {
            _ if same_boot && reading.since_boot >= then.since_boot => {
                (reading.since_boot - then.since_boot, true)
            }
            _ => (reading.wall - then.wall, reading.wall >= then.wall),
        };
        (Timeline { life: now, line: stamp.line + away }, sure)
    }

    pub fn on_line(&self, at: Moment) -> Moment {
        if at >= self.life {
            self.line + (at - self.life)
        } else {
            self.line - (self.life - at)
        }
    }

    pub fn in_life(&self, on_line: Moment) -> Moment {
        if on_line >= self.line {
            self.life + (on_line - self.line)
        } else {
            self.life - (self.line - on_line)
        }
    }
}

/// Notices a step of the wall's clock against one that never jumps.
#[derive(Default)]
pub struct WallWatch {
    ahead: Option<i128>,
}

/// Less is drift, and a second is how exact an end has to be.
const STEP: Span = Span::ms(250);

impl WallWatch {
    /// Whether the wall's clock is elsewhere than when this last said so.
    pub fn has_stepped(&mut self, now: Moment, wall: Moment) -> bool {
        let ns = |at: Moment| i128::from((at - Moment::default()).as_ns());
        let ahead = ns(wall) - ns(now);
        let Some(before) = self.ahead else {
            self.ahead = Some(ahead);
            return false;
        };
        let stepped = (ahead - before).unsigned_abs() > u128::from(STEP.as_ns());
        if stepped {
            self.ahead = Some(ahead);
        }
        stepped
    }
}
