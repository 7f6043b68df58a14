//! Values of attributes.

use std::net::{AddrParseError, SocketAddr};
use std::num::ParseFloatError;
use std::path::PathBuf;
use whinwall_overrides::text::{parse_slices, TextError};

/// The longest name of a member of the fleet.
pub const MAX_NAME_BYTES: usize = 64;
/// The most ranges of slices of one controller.
const MAX_SLICE_RANGES: usize = 256;

/// A range of slices; both ends are included.
pub type SliceRange = (u32, u32);

/// Why a value is invalid. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// Not the version of the file's format.
    #[error("{found:?} is not {expected:?}")]
    WrongVersion {
        /// What was read.
        found: String,
        /// The version that is supported.
        expected: &'static str,
    },
    /// Not a log format.
    #[error("{0:?} is neither \"text\" nor \"json\"")]
    NotLogFormat(String),
    /// Not an absolute path.
    #[error("{0:?} is no absolute path")]
    NotAbsolutePath(String),
    /// Not a socket address.
    #[error("{text:?} is no address: {source}")]
    NotAddress {
        /// What was read.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// An address that other machines could reach.
    #[error("{0:?} is no loopback address")]
    NotLoopback(String),
    /// An address with port 0.
    #[error("{0:?} lacks a port")]
    NoPort(String),
    /// Not a number.
    #[error("{text:?} is no number")]
    NotNumber {
        /// What was read.
        text: String,
        /// What is wrong with it.
        source: ParseFloatError,
    },
    /// Not a whole number.
    #[error("{0:?} is no whole number")]
    NotWholeNumber(String),
    /// Not a whole number of a range.
    #[error("{text:?} is no whole number from 1 to {max}")]
    OutOfRange {
        /// What was read.
        text: String,
        /// The largest number.
        max: usize,
    },
    /// Not a name of a member of the fleet.
    #[error("{0:?} is no name: 1 to {MAX_NAME_BYTES} letters, digits, dots, colons, dashes or underscores")]
    NotName(String),
    /// Not slices.
    #[error(transparent)]
    NotSlices(#[from] TextError),
    /// More ranges than a controller may own.
    #[error("{0} ranges are more than {MAX_SLICE_RANGES}")]
    TooManySliceRanges(usize),
    /// Ranges that overlap.
    #[error("slice {0} is there twice")]
    DuplicateSlice(u32),
    /// A budget that is too small.
    #[error("{found} bytes a second are too few for one report line, which needs up to {min}")]
    BudgetTooSmall {
        /// What was read.
        found: u64,
        /// The smallest budget.
        min: u64,
    },
    /// A budget that is too large.
    #[error("{found} is more than {max}")]
    BudgetTooLarge {
        /// What was read.
        found: u64,
        /// The largest budget.
        max: u64,
    },
}

/// A whole number from 1 to `max`.
///
/// # Errors
/// [`ValueError::OutOfRange`].
pub fn parse_whole_number(text: &str, max: usize) -> Result<usize, ValueError> {
    let number = text.parse().ok().filter(|number| (1..=max).contains(number));
    number.ok_or_else(|| ValueError::OutOfRange { text: text.into(), max })
}

/// A number.
///
/// # Errors
/// [`ValueError::NotNumber`].
pub fn parse_number(text: &str) -> Result<f64, ValueError> {
    text.parse().map_err(|source| ValueError::NotNumber { text: text.into(), source })
}

/// An absolute path.
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

/// A loopback address.
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

/// An address with a port other than 0.
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

/// The name of a member of the fleet.
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

/// Ranges of slices, separated by commas, none of which overlaps another; sorted.
///
/// # Errors
/// Text that is no range, too many ranges, and ranges that overlap.
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
