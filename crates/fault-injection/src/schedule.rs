//! The language of schedules, one rule a line:
//!
//! ```text
//! # seeds chance, where something is drawn
//! seed 7
//! on conn 2 up line 5: garble flip 3
//! on down offset 1000: cut
//! on up line ~ "APPLY": delay 50ms..200ms, 3 times
//! on conn 1 down after 2s: half-close
//! on start: refuse
//! ```
//!
//! Without `conn` a rule is for all connections, without `up` or `down` for both directions. It holds once
//! for each of them, or as often as it says, or `always`.

use crate::{Direction, Number};
use std::fmt;
use whinwall_policy::time::Span;
use winnow::ascii::{dec_uint, space0, space1};
use winnow::combinator::{alt, delimited, empty, eof, opt, preceded, separated_pair, seq, terminated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_till;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    pub seed: u64,
    pub rules: Vec<Rule>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub conn: Option<Number>,
    pub direction: Option<Direction>,
    pub when: When,
    pub what: What,
    /// How often for each connection and direction; none for always.
    pub times: Option<u32>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum When {
    Start,
    /// Once so many bytes have passed.
    Offset(u64),
    /// At the beginning of this line, from 1.
    Line(u64),
    /// At the beginning of a line with this in it.
    Matches(String),
    /// So long after the connection came.
    After(Span),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Garble {
    Flip,
    Drop,
    Insert,
    Repeat,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// Drawn between both; what is behind waits too.
    Delay(Span, Span),
    /// From here on no more bytes a second.
    Rate(u64),
    /// From here on in pieces of this size.
    Pieces(u64),
    /// Nothing passes for so long, then all at once.
    Stall(Span),
    /// From here on nothing passes, and nobody hears of it.
    Silence,
    /// Both directions are reset.
    Cut,
    /// Both directions end in order.
    End,
    /// This direction ends in order, the other goes on.
    HalfClose,
    /// So many bytes.
    Garble(Garble, u64),
    /// This line and the next change places.
    Swap,
    /// The connection is closed before anything passes.
    Refuse,
    /// It is taken, and leads nowhere.
    Mute,
}

/// What keeps a schedule from being used, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    pub line: usize,
    pub column: usize,
    pub why: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}, column {}: {}", self.line, self.column, self.why)
    }
}

enum Statement {
    Seed(u64),
    Rule(Rule),
}

pub fn read(text: &str) -> Result<Schedule, Wrong> {
    let mut schedule = Schedule::default();
    for (at, whole) in text.lines().enumerate() {
        // A comment lasts to the end of its line; text in quotes has no part in that.
        let mut quoted = false;
        let comment = whole.find(|c| {
            quoted ^= c == '"';
            c == '#' && !quoted
        });
        let line = whole[..comment.unwrap_or(whole.len())].trim_end();
        if line.trim().is_empty() {
            continue;
        }
        let statement =
            terminated(preceded(space0, statement), (space0, eof.context(expected("the end of the line"))));
        match { statement }.parse(line) {
            Ok(Statement::Seed(seed)) => schedule.seed = seed,
            Ok(Statement::Rule(rule)) => schedule.rules.push(rule),
            Err(wrong) => {
                let column = line[..wrong.offset().min(line.len())].chars().count() + 1;
                let why = wrong.inner().to_string().replace('\n', ", ");
                let why = if why.is_empty() { "this is not understood".into() } else { why };
                return Err(Wrong { line: at + 1, column, why });
            }
        }
    }
    Ok(schedule)
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn word<'a>(text: &'static str) -> impl Parser<&'a str, &'a str, ContextError> {
    terminated(text, space0)
}

fn number(input: &mut &str) -> ModalFree<u64> {
    terminated(dec_uint, space0).context(expected("a number")).parse_next(input)
}

type ModalFree<T> = Result<T, ContextError>;

fn span(input: &mut &str) -> ModalFree<Span> {
    let unit = alt(("ms".value(1u64), "s".value(1000), "m".value(60_000)));
    let span = (dec_uint::<_, u64, _>, unit)
        .verify_map(|(many, unit)| many.checked_mul(unit).filter(|ms| *ms < 1 << 40));
    terminated(span, space0).map(Span::ms).context(expected("a span like 50ms, 2s or 1m")).parse_next(input)
}

fn statement(input: &mut &str) -> ModalFree<Statement> {
    alt((preceded(("seed", space1), number).map(Statement::Seed), rule.map(Statement::Rule)))
        .context(expected("`seed` or `on`"))
        .parse_next(input)
}

fn rule(input: &mut &str) -> ModalFree<Rule> {
    let mut conn = opt(preceded(("conn", space1), number));
    let mut direction = opt(alt((word("up").value(Direction::Up), word("down").value(Direction::Down))));
    seq! {Rule {
        _: ("on", space1),
        conn: conn,
        direction: direction,
        when: when,
        _: word(":").context(expected("`:` and what is done")),
        what: what,
        times: times,
    }}
    .parse_next(input)
}

fn when(input: &mut &str) -> ModalFree<When> {
    let quoted = delimited('"', take_till(1.., '"'), ('"', space0)).context(expected("a text in quotes"));
    alt((
        word("start").value(When::Start),
        preceded(("offset", space1), number).map(When::Offset),
        preceded(("line", space0, '~', space0), quoted).map(|text: &str| When::Matches(text.into())),
        preceded(("line", space1), number.verify(|n| *n > 0)).map(When::Line),
        preceded(("after", space1), span).map(When::After),
    ))
    .context(expected("`conn`, `up`, `down`, `start`, `offset`, `line` or `after`"))
    .parse_next(input)
}

fn what(input: &mut &str) -> ModalFree<What> {
    let drawn = alt((separated_pair(span, word(".."), span), span.map(|span| (span, span))));
    let kind = alt((
        word("flip").value(Garble::Flip),
        word("drop").value(Garble::Drop),
        word("insert").value(Garble::Insert),
        word("repeat").value(Garble::Repeat),
    ));
    let bytes = || number.verify(|n| (1..=1 << 20).contains(n));
    alt((
        preceded(("delay", space1), drawn.verify(|(from, to)| from <= to)).map(|(from, to)| What::Delay(from, to)),
        preceded(("rate", space1), bytes()).map(What::Rate),
        preceded(("pieces", space1), bytes()).map(What::Pieces),
        preceded(("stall", space1), span).map(What::Stall),
        preceded(("garble", space1), (kind, bytes())).map(|(kind, many)| What::Garble(kind, many)),
        word("silence").value(What::Silence),
        word("half-close").value(What::HalfClose),
        word("cut").value(What::Cut),
        word("end").value(What::End),
        word("swap").value(What::Swap),
        word("refuse").value(What::Refuse),
        word("mute").value(What::Mute),
    ))
    .context(expected("what is done: delay, rate, pieces, stall, silence, cut, end, half-close, garble, swap, refuse or mute"))
    .parse_next(input)
}

fn times(input: &mut &str) -> ModalFree<Option<u32>> {
    let times = alt((
        word("always").value(None),
        terminated(dec_uint::<_, u32, _>, (space1, "times", space0)).map(Some),
    ));
    alt((preceded(word(","), times), empty.value(Some(1)))).parse_next(input)
}
