//! Notices readers that stopped. Each says that it goes on by a figure that grows; the owner looks at it.

use crate::CoreId;
use whinwall_policy::time::{Moment, Span};

/// A reader whose figure stands for so long has stopped: it grows ten times as often.
const PATIENCE: Span = Span::ms(1000);
/// Where we ourselves did not look for so long it may be the machine, and nobody is judged by it.
const OWN_PAUSE: Span = Span::ms(400);
/// Before a reader is started again, doubled with each stop up to the bound; one that ran so long is as new.
const FIRST_PAUSE: Span = Span::ms(100);
const LONGEST_PAUSE: Span = Span::ms(10_000);
const AS_NEW: Span = Span::ms(60_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// It goes on with something and comes to no end, or gets no time.
    Stalled,
    /// Its thread is gone.
    Dead,
    /// It is to be started again.
    Again,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Up { since: Moment, figure: u64, changed: Moment },
    Down { until: Moment },
}

#[derive(Clone, Debug)]
pub struct Watch {
    readers: Vec<(State, Span)>,
    looked: Moment,
}

impl Watch {
    pub fn over(readers: usize, now: Moment) -> Self {
        let state = State::Up { since: now, figure: 0, changed: now };
        Watch { readers: vec![(state, FIRST_PAUSE); readers], looked: now }
    }

    /// It can't be started now.
    pub fn postpone(&mut self, now: Moment, core: CoreId) {
        if let Some((state, pause)) = self.readers.get_mut(core) {
            *state = State::Down { until: now + *pause };
        }
    }

    /// Once a look, before the readers are looked at.
    pub fn begin(&mut self, now: Moment) {
        if now - self.looked > OWN_PAUSE {
            for (state, _) in &mut self.readers {
                if let State::Up { changed, .. } = state {
                    *changed = now;
                }
            }
        }
        self.looked = now;
    }

    /// What became of one reader since the last look.
    pub fn look(&mut self, now: Moment, core: CoreId, figure: u64, lives: bool) -> Option<Found> {
        let (state, pause) = self.readers.get_mut(core)?;
        match state {
            State::Down { until } if *until <= now => {
                *state = State::Up { since: now, figure: 0, changed: now };
                Some(Found::Again)
            }
            State::Down { .. } => None,
            State::Up { figure: known, changed, .. } if lives && *known != figure => {
                (*known, *changed) = (figure, now);
                None
            }
            State::Up { changed, .. } if lives && now - *changed <= PATIENCE => None,
            State::Up { since, .. } => {
                *pause = if now - *since > AS_NEW { FIRST_PAUSE } else { *pause };
                *state = State::Down { until: now + *pause };
                *pause = (*pause + *pause).min(LONGEST_PAUSE);
                Some(if lives { Found::Stalled } else { Found::Dead })
            }
        }
    }
}
