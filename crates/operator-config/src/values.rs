//! Parsers of attribute values.

use std::net::{AddrParseError, SocketAddr};
use std::num::ParseFloatError;
use std::path::PathBuf;
use whinwall_overrides::text::{parse_slices, TextError};

/// The longest name of a fleet member.
pub const MAX_NAME_BYTES: usize = 64;
/// The largest number of slice ranges of one controller.
const MAX_SLICE_RANGES: usize = 256;

/// A range of slices, from the first to the last, both included.
pub type SliceRange = (u32, u32);

/// An invalid attribute value. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// An unsupported version of the file format.
    #[error("unsupported version {found:?}, expected {expected:?}")]
    WrongVersion {
        /// The value in the file.
        found: String,
        /// The supported version.
        expected: &'static str,
    },
    /// Not a log format.
    #[error("invalid log format {0:?}, expected \"text\" or \"json\"")]
    NotLogFormat(String),
    /// Not an absolute path.
    #[error("{0:?} is not an absolute path")]
    NotAbsolutePath(String),
    /// Not a socket address.
    #[error("invalid address {text:?}: {source}")]
    NotAddress {
        /// The value in the file.
        text: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// An address that other machines could reach.
    #[error("{0:?} is not a loopback address")]
    NotLoopback(String),
    /// An address with port 0.
    #[error("{0:?} has port 0; a port from 1 to 65535 is required")]
    NoPort(String),
    /// Not a number.
    #[error("invalid number {text:?}")]
    NotNumber {
        /// The value in the file.
        text: String,
        /// The parse error.
        source: ParseFloatError,
    },
    /// Not an integer.
    #[error("invalid integer {0:?}")]
    NotInteger(String),
    /// Not an integer, or one outside the allowed range.
    #[error("{text:?} is not an integer from 1 to {max}")]
    OutOfRange {
        /// The value in the file.
        text: String,
        /// The largest allowed number.
        max: usize,
    },
    /// Not a valid name of a fleet member.
    #[error("invalid name {0:?}, expected 1 to {MAX_NAME_BYTES} letters, digits, dots, colons, dashes or underscores")]
    NotName(String),
    /// Not a slice or a range of slices.
    #[error(transparent)]
    NotSlices(#[from] TextError),
    /// More slice ranges than one controller may have.
    #[error("{0} slice ranges, at most {MAX_SLICE_RANGES} allowed")]
    TooManySliceRanges(usize),
    /// Slice ranges that overlap.
    #[error("duplicate slice {0}")]
    DuplicateSlice(u32),
    /// A report budget that is too small for one report line.
    #[error("budget of {found} bytes per second, at least {min} needed for one report line")]
    BudgetTooSmall {
        /// The value in the file, in bytes per second.
        found: u64,
        /// The smallest allowed budget, in bytes per second.
        min: u64,
    },
    /// A report budget that is too large.
    #[error("budget of {found} bytes per second, at most {max} allowed")]
    BudgetTooLarge {
        /// The value in the file, in bytes per second.
        found: u64,
        /// The largest allowed budget, in bytes per second.
        max: u64,
    },
}

/// Parses an integer from 1 to `max`.
///
/// # Errors
/// [`ValueError::OutOfRange`].
pub fn parse_positive_integer(text: &str, max: usize) -> Result<usize, ValueError> {
    let number = text.parse().ok().filter(|number| (1..=max).contains(number));
    number.ok_or_else(|| ValueError::OutOfRange { text: text.into(), max })
}

/// Parses a floating-point number.
///
/// # Errors
/// [`ValueError::NotNumber`].
pub fn parse_number(text: &str) -> Result<f64, ValueError> {
    text.parse().map_err(|source| ValueError::NotNumber { text: text.into(), source })
}

/// Parses an absolute path.
///
/// # Errors
/// [`ValueError::NotAbsolutePath`].
pub fn parse_absolute_path(text: &str) -> Result<PathBuf, ValueError> {
    let path = PathBuf::from(text);
    if path.is_absolute() {
        Ok(path)
    } else {
        Err(ValueError::NotAbsolutePath(text.into()))
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().map_err(|source| ValueError::NotAddress { text: text.into(), source })
}

/// Parses a loopback address with its port.
///
/// # Errors
/// [`ValueError::NotAddress`] or [`ValueError::NotLoopback`].
pub fn parse_loopback_address(text: &str) -> Result<SocketAddr, ValueError> {
    let address = parse_address(text)?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(ValueError::NotLoopback(text.into()))
    }
}

/// Parses an address with a port other than 0.
///
/// # Errors
/// [`ValueError::NotAddress`] or [`ValueError::NoPort`].
pub fn parse_address_with_port(text: &str) -> Result<SocketAddr, ValueError> {
    let address = parse_address(text)?;
    if address.port() > 0 {
        Ok(address)
    } else {
        Err(ValueError::NoPort(text.into()))
    }
}

/// Parses the name of a fleet member.
///
/// # Errors
/// [`ValueError::NotName`].
pub fn parse_name(text: &str) -> Result<String, ValueError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:".contains(&byte);
    if (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed) {
        Ok(text.to_string())
    } else {
        Err(ValueError::NotName(text.into()))
    }
}

/// Parses slice ranges that are separated by commas and do not overlap. Returns them sorted.
///
/// # Errors
/// [`ValueError::NotSlices`], [`ValueError::TooManySliceRanges`] or [`ValueError::DuplicateSlice`].
pub fn parse_slice_ranges(text: &str) -> Result<Vec<SliceRange>, ValueError> {
    let mut ranges = text.split(',').map(parse_slices).collect::<Result<Vec<SliceRange>, _>>()?;
    if ranges.len() > MAX_SLICE_RANGES {
        return Err(ValueError::TooManySliceRanges(ranges.len()));
    }
    ranges.sort_unstable();
    if let Some(pair) = ranges.windows(2).find(|pair| pair[1].0 <= pair[0].1) {
        return Err(ValueError::DuplicateSlice(pair[1].0));
    }
    Ok(ranges)
}
