//! Whether aggregated reports come at all. Between two lines nothing may come for a while; beyond that the decisions
//! hold on to what they have, and beyond three times that somebody has to be told. No input, output or clock.

use super::report_coverage::LONGEST_WINDOW;
use whinwall_policy::api::ReportFlow;
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::windowed_counter::WindowedCounter;

/// How much longer than the longest pause of late one between two lines may be. The decisions hold their figures for a
/// second longer than lines cover; a beat of theirs, 250 ms, may pass before they hear of it. So figures never fall because
/// nothing comes.
const LATE: Span = Span::ms(750);
/// Reports are stale after three longest windows: the others notice within one that an aggregator is gone, the one
/// that takes over tells of all within the second, and the third is for what is slow.
pub const STALE_AFTER: Span = Span::ms(24_000);
/// Bytes a second are counted over so long: longer than the longest window, as lines may come in heaps.
const RATE_OVER: Span = Span::ms(10_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Flowing,
    /// Nothing comes.
    Silent {
        stale: bool,
    },
    /// Lines come again; not every subject has been told of until then.
    Returning {
        until: Moment,
        stale: bool,
    },
}

/// What somebody has to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedChange {
    /// Reports are stale: nothing came for so long.
    Stale(Span),
    /// They are fresh again, so long after the last line that came before.
    Fresh(Span),
}

/// Follows the arrival of lines of all subjects together. Of fixed size; lives as long as aggregated reports are on.
#[derive(Debug)]
pub struct ReportFeed {
    state: State,
    /// When reports were switched on, and when a line last came.
    started: Moment,
    last: Option<Moment>,
    /// When a line last came before the present or last interruption.
    interrupted: Moment,
    recent: Recent,
    bytes: WindowedCounter,
}

impl ReportFeed {
    /// Aggregated reports are switched on.
    pub fn start(now: Moment) -> Self {
        ReportFeed {
            state: State::Silent { stale: false },
            started: now,
            last: None,
            interrupted: now,
            recent: Recent::default(),
            bytes: WindowedCounter::new(Span::ms(500), 40),
        }
    }

    /// A line came that covers so much. True where it ends a silence.
    pub fn heard(&mut self, now: Moment, window: Span) -> bool {
        // The line may come before anybody looked.
        self.look_for_silence(now);
        let silent = self.silent(now);
        let is_long = self.last.is_none() || silent > LONGEST_WINDOW;
        self.last = self.last.max(Some(now));
        // A long silence is no pause between lines; one of a window may come again and again, where lines come in heaps.
        self.recent.note(now, window, if is_long { Span::default() } else { silent });
        let State::Silent { stale } = self.state else { return false };
        // After a long one, and at the start, nobody knows how far apart lines will be.
        let each_is_told = if is_long { LONGEST_WINDOW } else { self.recent.window() };
        self.state = State::Returning { until: now + each_is_told, stale };
        true
    }

    fn look_for_silence(&mut self, now: Moment) {
        let pause = match self.state {
            State::Returning { .. } => LONGEST_WINDOW,
            _ => self.recent.pause(),
        };
        if self.silent(now) <= pause + LATE {
            return;
        }
        match self.state {
            State::Flowing => {
                (self.state, self.interrupted) = (State::Silent { stale: false }, self.last_or_start())
            }
            State::Returning { stale, .. } => self.state = State::Silent { stale },
            State::Silent { .. } => {}
        }
    }

    /// So many bytes came.
    pub fn received(&mut self, now: Moment, bytes: u64) {
        self.bytes.add(now, bytes as f64);
    }

    /// Time has passed; says what there is to be said, once.
    pub fn look(&mut self, now: Moment) -> Option<FeedChange> {
        self.look_for_silence(now);
        match self.state {
            State::Silent { stale: false } if self.silent(now) > STALE_AFTER => {
                self.state = State::Silent { stale: true };
                Some(FeedChange::Stale(self.silent(now)))
            }
            State::Returning { until, stale } if now >= until => {
                self.state = State::Flowing;
                stale.then_some(FeedChange::Fresh(now - self.interrupted))
            }
            _ => None,
        }
    }

    /// What the decisions have to know.
    pub fn flow(&self) -> ReportFlow {
        match self.state {
            State::Flowing => ReportFlow::Aggregated { longest_window: self.recent.window() },
            _ => ReportFlow::Interrupted,
        }
    }

    /// Whether it was said that reports are stale, and not yet that they are fresh again.
    pub fn is_stale(&self) -> bool {
        matches!(self.state, State::Silent { stale: true } | State::Returning { stale: true, .. })
    }

    /// How long ago a line last came; none where none did.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.last.map(|last| now - last)
    }

    fn last_or_start(&self) -> Moment {
        self.last.unwrap_or(self.started)
    }

    fn silent(&self, now: Moment) -> Span {
        now - self.last_or_start()
    }

    /// Bytes a second of late.
    pub fn bytes_per_second(&self, now: Moment) -> f64 {
        self.bytes.sum(now, RATE_OVER) / RATE_OVER.seconds()
    }
}

/// The longest window and the longest pause between two lines of late: of this period and the one before.
#[derive(Debug, Default)]
struct Recent {
    period: u64,
    this: Longest,
    former: Longest,
}

#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    window: Span,
    pause: Span,
}

impl Recent {
    fn note(&mut self, now: Moment, window: Span, pause: Span) {
        let period = now.count_of(RATE_OVER);
        if period > self.period {
            let follows = period == self.period + 1;
            self.former = if follows { self.this } else { Longest::default() };
            (self.period, self.this) = (period, Longest::default());
        }
        self.this.window = self.this.window.max(window.min(LONGEST_WINDOW));
        self.this.pause = self.this.pause.max(pause.min(LONGEST_WINDOW));
    }

    fn window(&self) -> Span {
        self.this.window.max(self.former.window)
    }

    fn pause(&self) -> Span {
        self.this.pause.max(self.former.pause)
    }
}
