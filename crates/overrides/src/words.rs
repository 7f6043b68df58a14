//! How people write spans, ranges of slices and points in time, in files, on the command line and in
//! requests.

use std::fmt::Write;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;
use whinwall_policy::api::SliceId;
use whinwall_policy::time::{Moment, Span};
use winnow::ascii::{dec_uint, digit1};
use winnow::combinator::{eof, opt, preceded, repeat, terminated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::one_of;

/// From the longest on; a span is written with each at most once, in this order.
const UNITS: [(char, u64); 4] = [('d', 86_400), ('h', 3600), ('m', 60), ('s', 1)];

/// `30m`, `1h30m`, `90s`, `2d`.
pub fn span(text: &str) -> Result<Span, String> {
    let piece = (digit1::<_, ContextError>.parse_to::<u64>(), one_of(UNITS.map(|(letter, _)| letter)));
    let pieces: Result<Vec<(u64, char)>, _> = terminated(repeat(1.., piece), eof).parse(text);
    let wrong = || format!("{text:?} is no span of time; write it like 90s, 30m, 1h30m or 2d");
    let (mut seconds, mut units) = (0u64, UNITS.iter());
    for (many, letter) in
        pieces.map_err(|_: winnow::error::ParseError<&str, winnow::error::ContextError>| wrong())?
    {
        // `find` goes on where it stopped: what comes again or out of order is not found.
        let (_, length) = units.find(|(unit, _)| *unit == letter).ok_or_else(wrong)?;
        let more = many.checked_mul(*length).and_then(|more| seconds.checked_add(more));
        seconds = more.filter(|all| *all <= u64::MAX / 1_000_000_000).ok_or_else(wrong)?;
    }
    Ok(Span::ns(seconds * 1_000_000_000))
}

/// The same again for reading, to the second; what is shorter is `0s`.
pub fn write_span(span: Span) -> String {
    let mut left = span.as_ns() / 1_000_000_000;
    let mut text = String::new();
    for (letter, length) in UNITS {
        if left >= length {
            _ = write!(text, "{}{letter}", left / length);
            left %= length;
        }
    }
    if text.is_empty() {
        text.push_str("0s");
    }
    text
}

/// `17`, or `4-9` with both ends.
pub fn slices(text: &str) -> Result<(SliceId, SliceId), String> {
    let range = (dec_uint::<_, SliceId, ContextError>, opt(preceded('-', dec_uint)));
    let (first, last) = terminated(range, eof)
        .parse(text)
        .map_err(|_| format!("{text:?} is no slice or range of slices; write it like 17 or 4-9"))?;
    let last = last.unwrap_or(first);
    if last < first {
        return Err(format!("{text:?} ends before it begins"));
    }
    Ok((first, last))
}

pub fn write_slices(first: SliceId, last: SliceId) -> String {
    if first == last {
        first.to_string()
    } else {
        format!("{first}-{last}")
    }
}

/// A point in time by the wall's clock, as RFC 3339 has it.
pub fn wall(text: &str) -> Result<Moment, String> {
    let at = OffsetDateTime::parse(text, &Rfc3339)
        .map_err(|why| format!("{text:?} is no point in time like 2026-12-01T22:00:00Z: {why}"))?;
    let ns = u64::try_from(at.unix_timestamp_nanos()).map_err(|_| format!("{text:?} is out of range"))?;
    Ok(Moment::at_ns(ns))
}

/// In UTC, to the second.
pub fn write_wall(at: Moment) -> String {
    let seconds = (at - Moment::default()).as_ns() / 1_000_000_000;
    let at = OffsetDateTime::from_unix_timestamp(seconds as i64).ok();
    at.and_then(|at| at.format(&Rfc3339).ok()).unwrap_or_default()
}
