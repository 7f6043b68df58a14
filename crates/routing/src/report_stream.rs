//! Whether aggregated reports arrive at all. Between two lines nothing may arrive for a while; beyond that the policy
//! keeps the load estimates that it has, and beyond three times that operators have to know. No I/O or clock.

use super::report_coverage::MAX_WINDOW;
use whinwall_policy::api::ReportFlow;
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::windowed_counter::WindowedCounter;

/// How much longer than the longest recent pause one between two lines may be. The policy keeps load estimates for a
/// second longer than lines cover, and may learn of an interruption one tick, 250 ms, late: so estimates never fall
/// because nothing arrives.
const PAUSE_TOLERANCE: Span = Span::ms(750);
/// Reports are stale after three of the longest windows: the other aggregators notice within one that an aggregator is
/// gone, the one that takes over reports on everything within the second, and the third is for what is slow.
pub const STALE_AFTER: Span = Span::ms(24_000);
/// The time over which the byte rate is taken: longer than the longest window, as lines may arrive in bursts.
const RATE_WINDOW: Span = Span::ms(10_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Flowing,
    /// Nothing arrives.
    Interrupted {
        is_stale: bool,
    },
    /// Lines arrive again, but not on every subject until then.
    Recovering {
        until: Moment,
        is_stale: bool,
    },
}

/// A change that operators have to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessChange {
    /// Reports are stale: nothing arrived for so long.
    Stale(Span),
    /// Reports are fresh again, so long after the last line before the interruption.
    Fresh(Span),
}

/// Follows the arrival of lines on all subjects together, while aggregated reports are on. It is of fixed size.
#[derive(Debug)]
pub struct ReportStream {
    state: State,
    /// When aggregated reports were switched on.
    started: Moment,
    last_line: Option<Moment>,
    /// When the last line before the present or last interruption arrived.
    interrupted_since: Moment,
    recent: RecentMaxima,
    bytes: WindowedCounter,
}

impl ReportStream {
    /// Aggregated reports are switched on.
    pub fn start(now: Moment) -> Self {
        ReportStream {
            state: State::Interrupted { is_stale: false },
            started: now,
            last_line: None,
            interrupted_since: now,
            recent: RecentMaxima::default(),
            bytes: WindowedCounter::new(Span::ms(500), 40),
        }
    }

    /// Records a line that covers such a window. True where it ends an interruption.
    pub fn record_line(&mut self, now: Moment, window: Span) -> bool {
        // The line may arrive before the next check.
        self.detect_interruption(now);
        let silence = self.silence(now);
        let is_long = self.last_line.is_none() || silence > MAX_WINDOW;
        self.last_line = self.last_line.max(Some(now));
        // A long silence is no pause between lines; one of a window may recur, where lines arrive in bursts.
        self.recent.record(now, window, if is_long { Span::default() } else { silence });
        let State::Interrupted { is_stale } = self.state else { return false };
        // After a long silence, and at the start, it is unknown how far apart lines will be.
        let all_reported_after = if is_long { MAX_WINDOW } else { self.recent.window() };
        self.state = State::Recovering { until: now + all_reported_after, is_stale };
        true
    }

    fn detect_interruption(&mut self, now: Moment) {
        let pause = match self.state {
            State::Recovering { .. } => MAX_WINDOW,
            _ => self.recent.pause(),
        };
        if self.silence(now) <= pause + PAUSE_TOLERANCE {
            return;
        }
        match self.state {
            State::Flowing => {
                (self.state, self.interrupted_since) =
                    (State::Interrupted { is_stale: false }, self.last_or_start());
            }
            State::Recovering { is_stale, .. } => self.state = State::Interrupted { is_stale },
            State::Interrupted { .. } => {}
        }
    }

    /// Records the arrival of so many bytes.
    pub fn record_bytes(&mut self, now: Moment, bytes: u64) {
        self.bytes.add(now, bytes as f64);
    }

    /// Checks freshness after some time; returns each change once.
    pub fn check_freshness(&mut self, now: Moment) -> Option<FreshnessChange> {
        self.detect_interruption(now);
        match self.state {
            State::Interrupted { is_stale: false } if self.silence(now) > STALE_AFTER => {
                self.state = State::Interrupted { is_stale: true };
                Some(FreshnessChange::Stale(self.silence(now)))
            }
            State::Recovering { until, is_stale } if now >= until => {
                self.state = State::Flowing;
                is_stale.then_some(FreshnessChange::Fresh(now - self.interrupted_since))
            }
            _ => None,
        }
    }

    /// The state of the stream for the policy.
    pub fn flow(&self) -> ReportFlow {
        match self.state {
            State::Flowing => ReportFlow::Aggregated { longest_window: self.recent.window() },
            _ => ReportFlow::Interrupted,
        }
    }

    /// Whether reports are stale: that was returned as a change, and not yet that they are fresh again.
    pub fn is_stale(&self) -> bool {
        matches!(self.state, State::Interrupted { is_stale: true } | State::Recovering { is_stale: true, .. })
    }

    /// The time since the last line; none where none arrived yet.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.last_line.map(|last| now - last)
    }

    fn last_or_start(&self) -> Moment {
        self.last_line.unwrap_or(self.started)
    }

    fn silence(&self, now: Moment) -> Span {
        now - self.last_or_start()
    }

    /// The recent rate of reports, in bytes per second.
    pub fn bytes_per_second(&self, now: Moment) -> f64 {
        self.bytes.sum(now, RATE_WINDOW) / RATE_WINDOW.seconds()
    }
}

/// The longest window and the longest pause between two lines, of this period and the one before.
#[derive(Debug, Default)]
struct RecentMaxima {
    period: u64,
    current: Maxima,
    previous: Maxima,
}

#[derive(Clone, Copy, Debug, Default)]
struct Maxima {
    window: Span,
    pause: Span,
}

impl RecentMaxima {
    fn record(&mut self, now: Moment, window: Span, pause: Span) {
        let period = now.elapsed_periods(RATE_WINDOW);
        if period > self.period {
            let is_next = period == self.period + 1;
            self.previous = if is_next { self.current } else { Maxima::default() };
            (self.period, self.current) = (period, Maxima::default());
        }
        self.current.window = self.current.window.max(window.min(MAX_WINDOW));
        self.current.pause = self.current.pause.max(pause.min(MAX_WINDOW));
    }

    fn window(&self) -> Span {
        self.current.window.max(self.previous.window)
    }

    fn pause(&self) -> Span {
        self.current.pause.max(self.previous.pause)
    }
}
