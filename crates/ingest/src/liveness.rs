//! Notices readers that have stopped, by a heartbeat counter that each of them increments, and says when to restart
//! them.

use crate::ReaderId;
use whinwall_policy::time::{Moment, Span};

/// A reader whose heartbeat stands still for longer has stopped: it grows ten times as often.
const HEARTBEAT_TIMEOUT: Span = Span::ms(1000);
/// Where the checks themselves were further apart, the whole machine may have paused, and no reader is to blame.
const CHECK_GAP: Span = Span::ms(400);
/// Before the first restart of a reader; doubled with each further one.
const FIRST_RESTART_BACKOFF: Span = Span::ms(100);
/// Before any restart, at most.
const MAX_RESTART_BACKOFF: Span = Span::ms(10_000);
/// A reader that has run for longer begins with the first backoff again.
const BACKOFF_RESET: Span = Span::ms(60_000);

/// What a check finds of a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderEvent {
    /// Its thread runs and makes no progress.
    Stalled,
    /// Its thread has ended.
    Died,
    /// It has stopped before, and is to be restarted now.
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
    /// Before its next restart.
    backoff: Span,
}

/// The states of all readers.
#[derive(Clone, Debug)]
pub struct LivenessMonitor {
    readers: Vec<Reader>,
    last_check: Moment,
}

impl LivenessMonitor {
    /// So many readers, all started now.
    pub fn new(readers: usize, now: Moment) -> Self {
        let state = ReaderState::Running { since: now, heartbeat: 0, last_progress: now };
        let reader = Reader { state, backoff: FIRST_RESTART_BACKOFF };
        LivenessMonitor { readers: vec![reader; readers], last_check: now }
    }

    /// A restart that was due is not possible now; it is due again after the backoff.
    pub fn postpone_restart(&mut self, now: Moment, reader: ReaderId) {
        if let Some(reader) = self.readers.get_mut(reader) {
            reader.state = ReaderState::Stopped { restart_at: now + reader.backoff };
        }
    }

    /// Begins a check of all readers.
    pub fn begin_check(&mut self, now: Moment) {
        if now - self.last_check > CHECK_GAP {
            for reader in &mut self.readers {
                if let ReaderState::Running { last_progress, .. } = &mut reader.state {
                    *last_progress = now;
                }
            }
        }
        self.last_check = now;
    }

    /// What has become of one reader since the last check. A reader that was due for a restart counts as running again.
    pub fn check(
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
                if now - *since > BACKOFF_RESET {
                    *backoff = FIRST_RESTART_BACKOFF;
                }
                *state = ReaderState::Stopped { restart_at: now + *backoff };
                *backoff = (*backoff + *backoff).min(MAX_RESTART_BACKOFF);
                Some(if is_running { ReaderEvent::Stalled } else { ReaderEvent::Died })
            }
        }
    }
}
