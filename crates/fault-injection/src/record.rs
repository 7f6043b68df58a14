//! Records of injected faults. Each fault is identified by its connection, its direction and its offset in bytes. A
//! file has a header with the version, length-delimited protobuf messages, and a checksum of all preceding bytes.

use crate::injector::InjectedFault;
use crate::schedule::{FaultKind, Garble};
use crate::{ConnectionNumber, Direction};
use prost::Message;
use std::collections::BTreeMap;
use thiserror::Error;
use whinwall_policy::time::Span;

/// The header of a record, which includes the version.
const MAGIC: &[u8; 8] = b"wwfault1";
/// The size of the checksum at the end of a record.
const CHECKSUM_BYTES: usize = 4;

#[derive(Clone, PartialEq, Message)]
struct Entry {
    #[prost(uint64, tag = "1")]
    connection: u64,
    #[prost(bool, tag = "2")]
    down: bool,
    #[prost(uint64, tag = "3")]
    offset: u64,
    #[prost(uint32, tag = "4")]
    kind: u32,
    #[prost(uint64, tag = "5")]
    figure: u64,
    #[prost(uint64, tag = "6")]
    wait: u64,
    #[prost(bytes = "vec", tag = "7")]
    bytes: Vec<u8>,
}

/// Returns the number of a kind in the file, and its parameter. Numbers are stable: new kinds get new numbers.
fn encode_kind(kind: FaultKind) -> (u32, u64) {
    match kind {
        FaultKind::Delay(..) => (1, 0),
        FaultKind::Rate(rate) => (2, rate),
        FaultKind::Pieces(size) => (3, size),
        FaultKind::Stall(_) => (4, 0),
        FaultKind::Silence => (5, 0),
        FaultKind::Cut => (6, 0),
        FaultKind::End => (7, 0),
        FaultKind::HalfClose => (8, 0),
        FaultKind::Garble(Garble::Flip, count) => (9, count),
        FaultKind::Garble(Garble::Drop, count) => (10, count),
        FaultKind::Garble(Garble::Insert, count) => (11, count),
        FaultKind::Garble(Garble::Repeat, count) => (12, count),
        FaultKind::Swap => (13, 0),
        FaultKind::Refuse => (14, 0),
        FaultKind::Mute => (15, 0),
    }
}

fn decode_kind(entry: &Entry) -> Option<FaultKind> {
    let (figure, wait) = (entry.figure, Span::ns(entry.wait));
    Some(match entry.kind {
        1 => FaultKind::Delay(wait, wait),
        2 => FaultKind::Rate(figure),
        3 => FaultKind::Pieces(figure),
        4 => FaultKind::Stall(wait),
        5 => FaultKind::Silence,
        6 => FaultKind::Cut,
        7 => FaultKind::End,
        8 => FaultKind::HalfClose,
        9 => FaultKind::Garble(Garble::Flip, figure),
        10 => FaultKind::Garble(Garble::Drop, figure),
        11 => FaultKind::Garble(Garble::Insert, figure),
        12 => FaultKind::Garble(Garble::Repeat, figure),
        13 => FaultKind::Swap,
        14 => FaultKind::Refuse,
        15 => FaultKind::Mute,
        _ => return None,
    })
}

/// Encodes a record, sorted by connection, direction and offset, so that equal faults give equal files.
pub fn write(faults: &[InjectedFault]) -> Vec<u8> {
    let mut sorted: Vec<_> = faults.iter().collect();
    sorted.sort_by_key(|fault| (fault.connection, fault.direction, fault.offset));
    let mut bytes = MAGIC.to_vec();
    for fault in sorted {
        let (kind, figure) = encode_kind(fault.kind);
        let entry = Entry {
            connection: fault.connection,
            down: fault.direction == Direction::Down,
            offset: fault.offset,
            kind,
            figure,
            wait: fault.wait.as_ns(),
            bytes: fault.bytes.clone(),
        };
        bytes.extend(entry.encode_length_delimited_to_vec());
    }
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_be_bytes());
    bytes
}

/// The faults of a record, by connection and direction, in order of their offsets.
pub type RecordedFaults = BTreeMap<(ConnectionNumber, Direction), Vec<InjectedFault>>;

/// Why a file is not a usable record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The file is shorter than a checksum.
    #[error("fault record is truncated: got {0} bytes, expected at least {CHECKSUM_BYTES}")]
    Truncated(usize),
    /// The header is not that of a record of this version.
    #[error("not a fault record, or a fault record of another version")]
    UnknownFormat,
    /// The checksum does not match the content.
    #[error("checksum of the fault record does not match: stored {stored:08x}, computed {computed:08x}")]
    Checksum {
        /// The checksum at the end of the file.
        stored: u32,
        /// The checksum of the preceding bytes.
        computed: u32,
    },
    /// A message cannot be decoded.
    #[error("malformed entry in the fault record: {0}")]
    Message(#[from] prost::DecodeError),
    /// A fault of an unknown kind.
    #[error("fault of kind {0}, which is unknown to this version")]
    UnknownFault(u32),
}

/// Decodes a record.
///
/// # Errors
///
/// Fails if the bytes are not a complete record of this version.
pub fn read(bytes: &[u8]) -> Result<RecordedFaults, RecordError> {
    let (body, checksum) =
        bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(RecordError::Truncated(bytes.len()))?;
    let mut rest = body.strip_prefix(MAGIC).ok_or(RecordError::UnknownFormat)?;
    let (stored, computed) = (u32::from_be_bytes(*checksum), crc32fast::hash(body));
    if stored != computed {
        return Err(RecordError::Checksum { stored, computed });
    }
    let mut faults = RecordedFaults::new();
    while !rest.is_empty() {
        let entry = Entry::decode_length_delimited(&mut rest)?;
        let kind = decode_kind(&entry).ok_or(RecordError::UnknownFault(entry.kind))?;
        let direction = if entry.down { Direction::Down } else { Direction::Up };
        let Entry { connection, offset, wait, bytes, .. } = entry;
        let fault = InjectedFault { connection, direction, offset, kind, wait: Span::ns(wait), bytes };
        faults.entry((connection, direction)).or_default().push(fault);
    }
    Ok(faults)
}
