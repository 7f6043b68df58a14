//! Detects interruptions of aggregated reports. A pause between two lines is normal up to a limit. During a longer one
//! the policy keeps its load estimates unchanged, and after [`STALE_AFTER`] the reports are stale, which is logged for
//! operators. No I/O or clock.

use super::report_coverage::MAX_WINDOW;
use whinwall_policy::api::ReportFlow;
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::windowed_counter::WindowedCounter;

/// The amount by which a pause between two lines may exceed the longest recent pause before it is an interruption.
/// The policy keeps load estimates for one second longer than lines cover, and an interruption may be passed to it one
/// tick (250 ms) late. With 750 ms, estimates therefore never fall just because no lines arrive.
const PAUSE_TOLERANCE: Span = Span::ms(750);
/// Reports are stale after three times the longest window. Within the first window the other aggregators detect that
/// an aggregator is gone, within the second its successor reports on all subjects, and the third allows for delays.
pub const STALE_AFTER: Span = Span::ms(24_000);
/// The period over which the byte rate is averaged. It is longer than the longest window, because lines may arrive in
/// bursts.
const RATE_WINDOW: Span = Span::ms(10_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Flowing,
    /// No lines arrive.
    Interrupted {
        is_stale: bool,
    },
    /// Lines arrive again. By the time `until`, lines on all subjects have arrived.
    Recovering {
        until: Moment,
        is_stale: bool,
    },
}

/// A change of freshness to log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessChange {
    /// Reports are stale; no line arrived for this duration.
    Stale(Span),
    /// Reports are fresh again, this duration after the last line before the interruption.
    Fresh(Span),
}

/// Tracks the arrival of lines on all subjects together while aggregated reports are enabled. Its size is constant.
#[derive(Debug)]
pub struct ReportStream {
    state: State,
    /// The time at which aggregated reports were enabled.
    enabled_at: Moment,
    last_line: Option<Moment>,
    /// The arrival of the last line before the current or latest interruption.
    interrupted_since: Moment,
    recent: RecentMaxima,
    bytes: WindowedCounter,
}

impl ReportStream {
    /// Creates the state of the stream. Called when aggregated reports are enabled.
    pub fn new(now: Moment) -> Self {
        ReportStream {
            state: State::Interrupted { is_stale: false },
            enabled_at: now,
            last_line: None,
            interrupted_since: now,
            recent: RecentMaxima::default(),
            bytes: WindowedCounter::new(Span::ms(500), 40),
        }
    }

    /// Records a line with a window of this length. Returns true if it ends an interruption.
    pub fn record_line(&mut self, now: Moment, window: Span) -> bool {
        // An interruption may end before the next check.
        self.detect_interruption(now);
        let silence = self.silence(now);
        let is_long_silence = self.last_line.is_none() || silence > MAX_WINDOW;
        self.last_line = self.last_line.max(Some(now));
        // A pause of up to one window may recur, because lines may arrive in bursts. A longer one is an exception, and
        // is not recorded.
        self.recent.record(now, window, if is_long_silence { Span::default() } else { silence });
        let State::Interrupted { is_stale } = self.state else { return false };
        // After a long interruption, and at the start, the interval between lines is unknown.
        let all_reported_after = if is_long_silence { MAX_WINDOW } else { self.recent.window() };
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
                    (State::Interrupted { is_stale: false }, self.silent_since());
            }
            State::Recovering { is_stale, .. } => self.state = State::Interrupted { is_stale },
            State::Interrupted { .. } => {}
        }
    }

    /// Records the arrival of a number of bytes.
    pub fn record_bytes(&mut self, now: Moment, bytes: u64) {
        self.bytes.add(now, bytes as f64);
    }

    /// Updates the state to this time, and returns the change of freshness since the last call, if any.
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

    /// The report flow, as passed to the policy.
    pub fn flow(&self) -> ReportFlow {
        match self.state {
            State::Flowing => ReportFlow::Aggregated { longest_window: self.recent.window() },
            _ => ReportFlow::Interrupted,
        }
    }

    /// Returns true from the time [`FreshnessChange::Stale`] is returned until [`FreshnessChange::Fresh`] is.
    pub fn is_stale(&self) -> bool {
        matches!(self.state, State::Interrupted { is_stale: true } | State::Recovering { is_stale: true, .. })
    }

    /// The time since the last line; `None` if no line arrived yet.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.last_line.map(|last| now - last)
    }

    /// The arrival of the last line, or the start if no line arrived yet.
    fn silent_since(&self) -> Moment {
        self.last_line.unwrap_or(self.enabled_at)
    }

    fn silence(&self, now: Moment) -> Span {
        now - self.silent_since()
    }

    /// The recent rate of reports, in bytes per second.
    pub fn bytes_per_second(&self, now: Moment) -> f64 {
        self.bytes.sum(now, RATE_WINDOW) / RATE_WINDOW.seconds()
    }
}

/// The longest window and the longest pause between two lines, in the current and the previous period of
/// [`RATE_WINDOW`].
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
