//! Messages as typed values: each is decoded once and encoded once, and the wire's names appear here only.

pub mod collector;
pub mod discovery;
pub mod relay;

use std::fmt;

/// What keeps a line from being a message; it holds no more of the line than a log should.
#[derive(Clone, Debug, PartialEq)]
pub struct Malformed(String);

/// What is wrong with a message: spoilt, it alone is lost, and those around it are good; unreadable, so is
/// all that comes on its connection.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidMessage {
    Spoilt(Malformed),
    Unreadable(Malformed),
}

impl InvalidMessage {
    /// Bytes that are no text: nothing behind them can be told apart either.
    pub fn no_text() -> Self {
        InvalidMessage::Unreadable(Malformed("a line is no text".into()))
    }
}

impl Malformed {
    pub(crate) fn new(why: impl fmt::Display, line: &str) -> Self {
        let start: String = line.chars().take(80).collect();
        Malformed(format!("{why}, in {start:?}"))
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Figures out of nowhere (not a number, below nothing, beyond all measure) must not reach sums and means:
/// one report that claims to cover a year would make all others look late.
pub(crate) fn is_sane(figure: f64) -> bool {
    (0.0..=1e9).contains(&figure)
}

/// The like for times in milliseconds: nothing that is told here covers or takes an hour.
pub(crate) fn is_sane_ms(figure: f64) -> bool {
    (0.0..=3.6e6).contains(&figure)
}
