//! The language of schedules, one statement per line:
//!
//! ```text
//! # seed of the random generator
//! seed 7
//! on conn 2 up line 5: garble flip 3
//! on down offset 1000: cut
//! on up line ~ "APPLY": delay 50ms..200ms, 3 times
//! on conn 1 down after 2s: half-close
//! on start: refuse
//! ```
//!
//! Without `conn` a rule applies to all connections, without `up` or `down` to both directions. For each connection and
//! direction it applies once, or N times with `N times`, or each time with `always`.

use crate::{ConnectionNumber, Direction};
use thiserror::Error;
use whinwall_policy::time::Span;
use winnow::ascii::{dec_uint, space0, space1};
use winnow::combinator::{alt, delimited, empty, eof, opt, preceded, separated_pair, seq, terminated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_till;

/// A schedule of faults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// The seed of the random generator.
    pub seed: u64,
    /// The rules, in the order of application.
    pub rules: Vec<Rule>,
}

/// A rule: injects a fault each time its trigger matches, up to a number of times.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The connection to which the rule applies, or `None` for all.
    pub connection: Option<ConnectionNumber>,
    /// The direction to which the rule applies, or `None` for both.
    pub direction: Option<Direction>,
    /// When the fault is injected.
    pub trigger: Trigger,
    /// The fault.
    pub kind: FaultKind,
    /// The maximum number of times for each connection and direction; `None` for `always`.
    pub times: Option<u32>,
}

/// When a fault is injected.
#[derive(Clone, Debug, PartialEq)]
pub enum Trigger {
    /// Before the first byte.
    Start,
    /// After this number of bytes.
    Offset(u64),
    /// At the beginning of this line, counted from 1.
    Line(u64),
    /// At the beginning of a line that contains this text.
    Matches(String),
    /// This duration after the connection was opened to the target.
    After(Span),
}

/// How bytes are corrupted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Garble {
    /// Bits of a byte are flipped.
    Flip,
    /// Bytes are dropped.
    Drop,
    /// Random bytes are inserted before them.
    Insert,
    /// Bytes are sent twice.
    Repeat,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Waits for a duration drawn from this range, which delays all following bytes of the direction.
    Delay(Span, Span),
    /// Limits the rate of all following bytes to this number of bytes per second.
    Rate(u64),
    /// Splits all following writes into chunks of at most this number of bytes.
    Pieces(u64),
    /// Passes nothing for this duration, then all pending bytes.
    Stall(Span),
    /// Discards all following bytes and keeps the connection open.
    Silence,
    /// Resets both sides of the connection.
    Cut,
    /// Closes both directions gracefully.
    End,
    /// Closes this direction gracefully; the opposite direction stays open.
    HalfClose,
    /// Corrupts this number of bytes.
    Garble(Garble, u64),
    /// Swaps this line with the next one.
    Swap,
    /// Resets the connection before any byte is passed.
    Refuse,
    /// Accepts the connection, but does not forward it.
    Mute,
}

/// The first syntax error of a schedule, with its position.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("line {line}, column {column}: {expectation}")]
pub struct ScheduleError {
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1.
    pub column: usize,
    /// The description of the expected input.
    pub expectation: String,
}

/// The maximum parameter of `rate`, `pieces` and `garble`, in bytes.
const MAX_FAULT_BYTES: u64 = 1 << 20;
/// The exclusive upper bound of a duration in milliseconds.
const DURATION_LIMIT_MS: u64 = 1 << 40;

enum Statement {
    Seed(u64),
    Rule(Rule),
}

/// Parses a schedule.
///
/// # Errors
///
/// Fails at the first line that is not a valid statement; the error names its line and column.
pub fn read(text: &str) -> Result<Schedule, ScheduleError> {
    let mut schedule = Schedule::default();
    for (line_index, full_line) in text.lines().enumerate() {
        // A comment extends to the end of the line; a `#` in quotes does not begin one.
        let mut is_quoted = false;
        let comment_start = full_line.find(|c| {
            is_quoted ^= c == '"';
            c == '#' && !is_quoted
        });
        let line = full_line[..comment_start.unwrap_or(full_line.len())].trim_end();
        if line.trim().is_empty() {
            continue;
        }
        let statement =
            terminated(preceded(space0, statement), (space0, eof.context(expected("the end of the line"))));
        match { statement }.parse(line) {
            Ok(Statement::Seed(seed)) => schedule.seed = seed,
            Ok(Statement::Rule(rule)) => schedule.rules.push(rule),
            Err(error) => {
                let column = line[..error.offset().min(line.len())].chars().count() + 1;
                let expectation = error.inner().to_string().replace('\n', ", ");
                let expectation =
                    if expectation.is_empty() { "invalid statement".into() } else { expectation };
                return Err(ScheduleError { line: line_index + 1, column, expectation });
            }
        }
    }
    Ok(schedule)
}

fn expected(kind: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(kind))
}

fn keyword<'a>(text: &'static str) -> impl Parser<&'a str, &'a str, ContextError> {
    terminated(text, space0)
}

fn number(input: &mut &str) -> ParseResult<u64> {
    terminated(dec_uint, space0).context(expected("a number")).parse_next(input)
}

type ParseResult<T> = Result<T, ContextError>;

fn span(input: &mut &str) -> ParseResult<Span> {
    let unit = alt(("ms".value(1u64), "s".value(1000), "m".value(60_000)));
    let span = (dec_uint::<_, u64, _>, unit)
        .verify_map(|(count, unit)| count.checked_mul(unit).filter(|ms| *ms < DURATION_LIMIT_MS));
    terminated(span, space0)
        .map(Span::ms)
        .context(expected("a duration such as 50ms, 2s or 1m"))
        .parse_next(input)
}

fn statement(input: &mut &str) -> ParseResult<Statement> {
    alt((preceded(("seed", space1), number).map(Statement::Seed), rule.map(Statement::Rule)))
        .context(expected("`seed` or `on`"))
        .parse_next(input)
}

fn rule(input: &mut &str) -> ParseResult<Rule> {
    let mut connection = opt(preceded(("conn", space1), number));
    let mut direction =
        opt(alt((keyword("up").value(Direction::Up), keyword("down").value(Direction::Down))));
    seq! {Rule {
        _: ("on", space1),
        connection: connection,
        direction: direction,
        trigger: trigger,
        _: keyword(":").context(expected("`:` and a fault")),
        kind: kind,
        times: times,
    }}
    .parse_next(input)
}

fn trigger(input: &mut &str) -> ParseResult<Trigger> {
    let quoted = delimited('"', take_till(1.., '"'), ('"', space0)).context(expected("a text in quotes"));
    alt((
        keyword("start").value(Trigger::Start),
        preceded(("offset", space1), number).map(Trigger::Offset),
        preceded(("line", space0, '~', space0), quoted).map(|text: &str| Trigger::Matches(text.into())),
        preceded(("line", space1), number.verify(|line| *line > 0)).map(Trigger::Line),
        preceded(("after", space1), span).map(Trigger::After),
    ))
    .context(expected("`conn`, `up`, `down`, `start`, `offset`, `line` or `after`"))
    .parse_next(input)
}

fn kind(input: &mut &str) -> ParseResult<FaultKind> {
    let duration_range = alt((separated_pair(span, keyword(".."), span), span.map(|span| (span, span))));
    let garble = alt((
        keyword("flip").value(Garble::Flip),
        keyword("drop").value(Garble::Drop),
        keyword("insert").value(Garble::Insert),
        keyword("repeat").value(Garble::Repeat),
    ));
    let byte_count = || number.verify(|count| (1..=MAX_FAULT_BYTES).contains(count));
    alt((
        preceded(("delay", space1), duration_range.verify(|(from, to)| from <= to))
            .map(|(from, to)| FaultKind::Delay(from, to)),
        preceded(("rate", space1), byte_count()).map(FaultKind::Rate),
        preceded(("pieces", space1), byte_count()).map(FaultKind::Pieces),
        preceded(("stall", space1), span).map(FaultKind::Stall),
        preceded(("garble", space1), (garble, byte_count()))
            .map(|(garble, count)| FaultKind::Garble(garble, count)),
        keyword("silence").value(FaultKind::Silence),
        keyword("half-close").value(FaultKind::HalfClose),
        keyword("cut").value(FaultKind::Cut),
        keyword("end").value(FaultKind::End),
        keyword("swap").value(FaultKind::Swap),
        keyword("refuse").value(FaultKind::Refuse),
        keyword("mute").value(FaultKind::Mute),
    ))
    .context(expected(
        "a fault: delay, rate, pieces, stall, silence, cut, end, half-close, garble, swap, refuse or mute",
    ))
    .parse_next(input)
}

fn times(input: &mut &str) -> ParseResult<Option<u32>> {
    let times = alt((
        keyword("always").value(None),
        terminated(dec_uint::<_, u32, _>, (space1, "times", space0)).map(Some),
    ));
    alt((preceded(keyword(","), times), empty.value(Some(1)))).parse_next(input)
}
