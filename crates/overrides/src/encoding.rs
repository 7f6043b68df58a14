//! The stored format of overrides and of the clock stamp: a CRC-32 followed by a protobuf message. Later versions only
//! add fields, and unknown fields are ignored. All times are in nanoseconds on the persistent timeline.

use crate::record::{EndCause, Ending, Origin, Override, OverrideKind};
use crate::timeline::{ClockReading, ClockStamp, Timeline};
use crate::validation::{validate, InvalidField};
use prost::Message;
use whinwall_policy::time::{Moment, Span};

/// The version of the store's file format. A file with a later version is not read.
pub const FORMAT_VERSION: u64 = 1;

/// The length of the checksum that precedes each message.
const CHECKSUM_BYTES: usize = 4;

/// Stored bytes that cannot be decoded. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// There are fewer bytes than the checksum has.
    #[error("truncated within the checksum of {CHECKSUM_BYTES} bytes")]
    Truncated,
    /// The checksum does not match the message.
    #[error("checksum mismatch")]
    ChecksumMismatch,
    /// The message is not valid protobuf.
    #[error(transparent)]
    Malformed(#[from] prost::DecodeError),
    /// The kind of the override is unknown, as a later version added it.
    #[error("unknown override kind, added by a later version")]
    UnknownKind,
    /// The end cause of the override is unknown, as a later version added it.
    #[error("unknown end cause, added by a later version")]
    UnknownEndCause,
    /// A field is outside its limits.
    #[error(transparent)]
    InvalidField(#[from] InvalidField),
}

#[derive(Clone, PartialEq, Message)]
struct Record {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, tag = "2")]
    id: String,
    #[prost(string, tag = "3")]
    replica: String,
    #[prost(oneof = "RecordKind", tags = "4, 5, 6")]
    kind: Option<RecordKind>,
    #[prost(string, tag = "7")]
    author: String,
    #[prost(string, tag = "8")]
    reason: String,
    #[prost(bool, tag = "9")]
    is_from_file: bool,
    #[prost(uint64, tag = "10")]
    set_at_ns: u64,
    #[prost(uint64, tag = "11")]
    expires_at_ns: u64,
    /// Unlike the other times, a time of the wall clock.
    #[prost(uint64, optional, tag = "12")]
    expires_at_wall_ns: Option<u64>,
    #[prost(uint64, optional, tag = "13")]
    ended_at_ns: Option<u64>,
    #[prost(oneof = "RecordEndCause", tags = "14, 15, 16, 17")]
    end_cause: Option<RecordEndCause>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum RecordKind {
    #[prost(double, tag = "4")]
    Weight(f64),
    #[prost(bool, tag = "5")]
    Out(bool),
    #[prost(message, tag = "6")]
    Pin(SliceRange),
}

#[derive(Clone, Copy, PartialEq, Message)]
struct SliceRange {
    #[prost(uint32, tag = "1")]
    first: u32,
    #[prost(uint32, tag = "2")]
    last: u32,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum RecordEndCause {
    #[prost(bool, tag = "14")]
    Expired(bool),
    #[prost(string, tag = "15")]
    ClearedBy(String),
    #[prost(string, tag = "16")]
    ReplacedBy(String),
    #[prost(bool, tag = "17")]
    ClockWentBack(bool),
}

#[derive(Clone, PartialEq, Message)]
struct StampRecord {
    #[prost(string, tag = "1")]
    boot_id: String,
    #[prost(uint64, tag = "2")]
    uptime_ns: u64,
    #[prost(uint64, tag = "3")]
    wall_time_ns: u64,
    #[prost(uint64, tag = "4")]
    position_ns: u64,
}

impl From<&OverrideKind> for RecordKind {
    fn from(kind: &OverrideKind) -> Self {
        match kind {
            OverrideKind::Weight { factor, .. } => RecordKind::Weight(*factor),
            OverrideKind::Out { .. } => RecordKind::Out(true),
            OverrideKind::Pin { first, last, .. } => {
                RecordKind::Pin(SliceRange { first: *first, last: *last })
            }
        }
    }
}

impl RecordKind {
    fn into_kind(self, replica: String) -> OverrideKind {
        match self {
            RecordKind::Weight(factor) => OverrideKind::Weight { replica, factor },
            RecordKind::Out(_) => OverrideKind::Out { replica },
            RecordKind::Pin(SliceRange { first, last }) => OverrideKind::Pin { first, last, replica },
        }
    }
}

impl From<&EndCause> for RecordEndCause {
    fn from(cause: &EndCause) -> Self {
        match cause {
            EndCause::Expired => RecordEndCause::Expired(true),
            EndCause::Cleared { by } => RecordEndCause::ClearedBy(by.clone()),
            EndCause::Replaced { by } => RecordEndCause::ReplacedBy(by.clone()),
            EndCause::ClockWentBack => RecordEndCause::ClockWentBack(true),
        }
    }
}

impl From<RecordEndCause> for EndCause {
    fn from(cause: RecordEndCause) -> Self {
        match cause {
            RecordEndCause::Expired(_) => EndCause::Expired,
            RecordEndCause::ClearedBy(by) => EndCause::Cleared { by },
            RecordEndCause::ReplacedBy(by) => EndCause::Replaced { by },
            RecordEndCause::ClockWentBack(_) => EndCause::ClockWentBack,
        }
    }
}

fn nanoseconds_since_epoch(at: Moment) -> u64 {
    (at - Moment::default()).as_ns()
}

fn encode_with_checksum(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    let mut bytes = crc32fast::hash(&body).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

fn decode_with_checksum<M: Message + Default>(bytes: &[u8]) -> Result<M, DecodeError> {
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or(DecodeError::Truncated)?;
    if checksum != crc32fast::hash(body).to_be_bytes() {
        return Err(DecodeError::ChecksumMismatch);
    }
    Ok(M::decode(body)?)
}

/// Encodes an override, with its times converted to the persistent timeline.
pub fn encode_override(entry: &Override, timeline: &Timeline) -> Vec<u8> {
    let persistent_ns = |at| nanoseconds_since_epoch(timeline.to_persistent(at));
    encode_with_checksum(&Record {
        number: entry.number,
        id: entry.id.clone(),
        replica: entry.kind.replica().to_string(),
        kind: Some(RecordKind::from(&entry.kind)),
        author: entry.author.clone(),
        reason: entry.reason.clone(),
        is_from_file: entry.origin == Origin::File,
        set_at_ns: persistent_ns(entry.set_at),
        expires_at_ns: persistent_ns(entry.expires_at),
        expires_at_wall_ns: entry.expires_at_wall_time.map(nanoseconds_since_epoch),
        ended_at_ns: entry.ended.as_ref().map(|ending| persistent_ns(ending.at)),
        end_cause: entry.ended.as_ref().map(|ending| RecordEndCause::from(&ending.cause)),
    })
}

/// Decodes an override, with its times converted to process time.
///
/// # Errors
/// Any part of the record is corrupt or unknown. A partly decoded override would be a different override, so it is
/// rejected as a whole.
pub fn decode_override(bytes: &[u8], timeline: &Timeline) -> Result<Override, DecodeError> {
    let record: Record = decode_with_checksum(bytes)?;
    let kind = record.kind.ok_or(DecodeError::UnknownKind)?.into_kind(record.replica);
    validate(&record.id, &kind, &record.author, &record.reason)?;
    let process_time = |position_ns| timeline.to_process(Moment::at_ns(position_ns));
    let ended = match (record.ended_at_ns, record.end_cause) {
        (None, _) => None,
        (Some(at_ns), Some(cause)) => Some(Ending { at: process_time(at_ns), cause: cause.into() }),
        (Some(_), None) => return Err(DecodeError::UnknownEndCause),
    };
    Ok(Override {
        number: record.number,
        id: record.id,
        kind,
        author: record.author,
        reason: record.reason,
        origin: if record.is_from_file { Origin::File } else { Origin::Request },
        set_at: process_time(record.set_at_ns),
        expires_at: process_time(record.expires_at_ns),
        expires_at_wall_time: record.expires_at_wall_ns.map(Moment::at_ns),
        ended,
    })
}

/// Encodes a clock stamp.
pub fn encode_stamp(stamp: &ClockStamp) -> Vec<u8> {
    encode_with_checksum(&StampRecord {
        boot_id: stamp.reading.boot_id.clone(),
        uptime_ns: stamp.reading.uptime.as_ns(),
        wall_time_ns: nanoseconds_since_epoch(stamp.reading.wall_time),
        position_ns: nanoseconds_since_epoch(stamp.position),
    })
}

/// Decodes a clock stamp.
///
/// # Errors
/// The bytes are truncated, corrupt or malformed.
pub fn decode_stamp(bytes: &[u8]) -> Result<ClockStamp, DecodeError> {
    let record: StampRecord = decode_with_checksum(bytes)?;
    let reading = ClockReading {
        boot_id: record.boot_id,
        uptime: Span::ns(record.uptime_ns),
        wall_time: Moment::at_ns(record.wall_time_ns),
    };
    Ok(ClockStamp { reading, position: Moment::at_ns(record.position_ns) })
}
