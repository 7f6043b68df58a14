//! Text formats of durations, ranges of slices and wall-clock times in files, on the command line and in requests.

use std::fmt::Write;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;
use whinwall_policy::api::SliceId;
use whinwall_policy::time::{Moment, Span};
use winnow::ascii::{dec_uint, digit1};
use winnow::combinator::{eof, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ParseError};
use winnow::prelude::*;
use winnow::token::one_of;

const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
/// The unit letters of a duration with their length in seconds, longest first. A duration contains each unit at most
/// once, in this order.
const UNITS: [(char, u64); 4] = [('d', 86_400), ('h', 3600), ('m', 60), ('s', 1)];

/// Text that cannot be parsed. The messages are shown to operators and are part of the management API.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TextError {
    /// Not a duration.
    #[error("{0:?} is no span of time; write it like 90s, 30m, 1h30m or 2d")]
    NotDuration(String),
    /// Not a slice or a range of slices.
    #[error("{0:?} is no slice or range of slices; write it like 17 or 4-9")]
    NotSlices(String),
    /// A range of slices whose last slice precedes its first.
    #[error("{0:?} ends before it begins")]
    ReversedSlices(String),
    /// Not an RFC 3339 time.
    #[error("invalid time {text:?}, expected a time like 2026-12-01T22:00:00Z: {source}")]
    NotWallTime {
        /// The text.
        text: String,
        /// The parse error.
        source: time::error::Parse,
    },
    /// A time before 1970, or one whose nanoseconds since 1970 exceed 64 bits.
    #[error("time {0:?} is out of range, expected 1970-01-01 to 2554-07-21")]
    WallTimeOutOfRange(String),
}

/// Parses a duration such as `30m`, `1h30m`, `90s` or `2d`.
///
/// # Errors
/// [`TextError::NotDuration`].
pub fn parse_duration(text: &str) -> Result<Span, TextError> {
    let not_duration = || TextError::NotDuration(text.into());
    let part = (digit1::<_, ContextError>.parse_to::<u64>(), one_of(UNITS.map(|(letter, _)| letter)));
    let parts: Result<Vec<(u64, char)>, ParseError<&str, ContextError>> =
        terminated(repeat(1.., part), eof).parse(text);
    let mut seconds = 0u64;
    let mut remaining_units = UNITS.iter();
    for (count, letter) in parts.map_err(|_| not_duration())? {
        // `find` continues after the last unit found, so repeated units and units out of order are not found.
        let (_, unit_s) = remaining_units.find(|(unit, _)| *unit == letter).ok_or_else(not_duration)?;
        seconds = count
            .checked_mul(*unit_s)
            .and_then(|part_s| seconds.checked_add(part_s))
            .filter(|total_s| *total_s <= u64::MAX / NANOSECONDS_PER_SECOND)
            .ok_or_else(not_duration)?;
    }
    Ok(Span::ns(seconds * NANOSECONDS_PER_SECOND))
}

/// Formats a duration in the format of [`parse_duration`], rounded down to the second.
pub fn format_duration(duration: Span) -> String {
    let mut remaining_s = duration.as_ns() / NANOSECONDS_PER_SECOND;
    let mut text = String::new();
    for (letter, unit_s) in UNITS {
        if remaining_s >= unit_s {
            _ = write!(text, "{}{letter}", remaining_s / unit_s);
            remaining_s %= unit_s;
        }
    }
    if text.is_empty() {
        text.push_str("0s");
    }
    text
}

/// Parses a slice such as `17`, or a range such as `4-9` that includes both ends.
///
/// # Errors
/// [`TextError::NotSlices`] or [`TextError::ReversedSlices`].
pub fn parse_slices(text: &str) -> Result<(SliceId, SliceId), TextError> {
    let range = (dec_uint::<_, SliceId, ContextError>, opt(preceded('-', dec_uint)));
    let (first, last) = terminated(range, eof).parse(text).map_err(|_| TextError::NotSlices(text.into()))?;
    let last = last.unwrap_or(first);
    if last < first {
        return Err(TextError::ReversedSlices(text.into()));
    }
    Ok((first, last))
}

/// Formats a range of slices in the format of [`parse_slices`].
pub fn format_slices(first: SliceId, last: SliceId) -> String {
    if first == last {
        first.to_string()
    } else {
        format!("{first}-{last}")
    }
}

/// Parses a wall-clock time in RFC 3339 format.
///
/// # Errors
/// [`TextError::NotWallTime`] or [`TextError::WallTimeOutOfRange`].
pub fn parse_wall_time(text: &str) -> Result<Moment, TextError> {
    let at = OffsetDateTime::parse(text, &Rfc3339)
        .map_err(|source| TextError::NotWallTime { text: text.into(), source })?;
    let nanoseconds =
        u64::try_from(at.unix_timestamp_nanos()).map_err(|_| TextError::WallTimeOutOfRange(text.into()))?;
    Ok(Moment::at_ns(nanoseconds))
}

/// Formats a wall-clock time in RFC 3339 format, in UTC and rounded down to the second.
pub fn format_wall_time(at: Moment) -> String {
    let seconds = (at - Moment::default()).as_ns() / NANOSECONDS_PER_SECOND;
    let at = OffsetDateTime::from_unix_timestamp(seconds as i64).ok();
    at.and_then(|at| at.format(&Rfc3339).ok()).unwrap_or_default()
}
