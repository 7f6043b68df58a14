//! Detects readers that have stopped, by a heartbeat counter that each of them increments, and schedules their
//! restarts with exponential backoff.

use crate::ReaderId;
use whinwall_policy::time::{Moment, Span};

/// A reader whose heartbeat counter does not change for longer than this has stalled. A running reader increments it
/// ten times in this period.
const HEARTBEAT_TIMEOUT: Span = Span::ms(1000);
/// If two rounds of checks are further apart than this, the whole machine may have been paused, and the heartbeat
/// time-outs of all readers start again.
const MAX_CHECK_GAP: Span = Span::ms(400);
/// The backoff before the first restart of a reader; doubled with each further restart.
const FIRST_RESTART_BACKOFF: Span = Span::ms(100);
/// The maximum backoff before a restart.
const MAX_RESTART_BACKOFF: Span = Span::ms(10_000);
/// The backoff of a reader that has run for longer than this is reset to the first one.
const BACKOFF_RESET_AFTER: Span = Span::ms(60_000);

/// An event that a check of one reader has detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderEvent {
    /// Its thread runs but makes no progress.
    Stalled,
    /// Its thread has ended.
    Died,
    /// The backoff of a stopped reader is over, and it is to be restarted now.
    RestartDue,
}

#[derive(Clone, Copy, Debug)]
enum ReaderState {
    Running { since: Moment, heartbeat: u64, last_progress: Moment },
    Stopped { restart_at: Moment },
}

#[derive(Clone, Debug)]
struct Reader {
    state: ReaderState,
    /// The backoff before its next restart.
    backoff: Span,
}

/// Monitors the states of all readers.
#[derive(Clone, Debug)]
pub struct LivenessMonitor {
    readers: Vec<Reader>,
    last_check: Moment,
}

impl LivenessMonitor {
    /// Creates a monitor of readers that were all started at `now`.
    pub fn new(reader_count: usize, now: Moment) -> Self {
        let state = ReaderState::Running { since: now, heartbeat: 0, last_progress: now };
        let reader = Reader { state, backoff: FIRST_RESTART_BACKOFF };
        LivenessMonitor { readers: vec![reader; reader_count], last_check: now }
    }

    /// Schedules a restart that is due, but not possible yet, again after the current backoff.
    pub fn postpone_restart(&mut self, now: Moment, reader: ReaderId) {
        if let Some(reader) = self.readers.get_mut(reader) {
            reader.state = ReaderState::Stopped { restart_at: now + reader.backoff };
        }
    }

    /// Begins a round of checks. Call [`LivenessMonitor::check_reader`] for each reader after it.
    pub fn begin_check(&mut self, now: Moment) {
        if now - self.last_check > MAX_CHECK_GAP {
            for reader in &mut self.readers {
                if let ReaderState::Running { last_progress, .. } = &mut reader.state {
                    *last_progress = now;
                }
            }
        }
        self.last_check = now;
    }

    /// Checks one reader and returns what changed since the last check. A reader whose restart is due counts as
    /// running from then on.
    pub fn check_reader(
        &mut self,
        now: Moment,
        reader: ReaderId,
        heartbeat: u64,
        is_running: bool,
    ) -> Option<ReaderEvent> {
        let Reader { state, backoff } = self.readers.get_mut(reader)?;
        match state {
            ReaderState::Stopped { restart_at } if *restart_at <= now => {
                *state = ReaderState::Running { since: now, heartbeat: 0, last_progress: now };
                Some(ReaderEvent::RestartDue)
            }
            ReaderState::Stopped { .. } => None,
            ReaderState::Running { heartbeat: last, last_progress, .. }
                if is_running && *last != heartbeat =>
            {
                (*last, *last_progress) = (heartbeat, now);
                None
            }
            ReaderState::Running { last_progress, .. }
                if is_running && now - *last_progress <= HEARTBEAT_TIMEOUT =>
            {
                None
            }
            ReaderState::Running { since, .. } => {
                if now - *since > BACKOFF_RESET_AFTER {
                    *backoff = FIRST_RESTART_BACKOFF;
                }
                *state = ReaderState::Stopped { restart_at: now + *backoff };
                *backoff = (*backoff + *backoff).min(MAX_RESTART_BACKOFF);
                Some(if is_running { ReaderEvent::Stalled } else { ReaderEvent::Died })
            }
        }
    }
}
