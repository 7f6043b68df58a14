//! Records of injected faults, each by its cause: which connection, which direction, after how many bytes. A file
//! of length-delimited protobuf messages, behind a head with the version, and with a checksum over all at the end.

use crate::injector::InjectedFault;
use crate::schedule::{FaultKind, Garble};
use crate::{ConnectionNumber, Direction};
use prost::Message;
use std::collections::BTreeMap;
use thiserror::Error;
use whinwall_policy::time::Span;

/// The first bytes of a record, with the version.
const MAGIC: &[u8; 8] = b"wwfault1";

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

/// The number of a kind in the file, and its parameter. Numbers are only ever added.
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
        FaultKind::Garble(Garble::Flip, many) => (9, many),
        FaultKind::Garble(Garble::Drop, many) => (10, many),
        FaultKind::Garble(Garble::Insert, many) => (11, many),
        FaultKind::Garble(Garble::Repeat, many) => (12, many),
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

/// Encodes a record, in the order of connections, directions and offsets: the same faults make the same file.
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
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_be_bytes());
    bytes
}

/// The faults of a record, by connection and direction, in order of their offsets.
pub type RecordedFaults = BTreeMap<(ConnectionNumber, Direction), Vec<InjectedFault>>;

/// Why a file is not a usable record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// It is shorter than its checksum.
    #[error("it is cut off")]
    Truncated,
    /// It does not begin as a record of this version does.
    #[error("it is no record of faults, or of another version")]
    UnknownFormat,
    /// Its checksum does not fit.
    #[error("its checksum is wrong")]
    Checksum,
    /// A message in it can't be decoded.
    #[error("{0}")]
    Message(#[from] prost::DecodeError),
    /// A fault of an unknown kind.
    #[error("it has a fault that this version does not know")]
    UnknownFault,
}

/// Decodes a record.
///
/// # Errors
///
/// Where the bytes are no complete record of this version.
pub fn read(bytes: &[u8]) -> Result<RecordedFaults, RecordError> {
    let (body, sum) = bytes.split_last_chunk::<4>().ok_or(RecordError::Truncated)?;
    let mut rest = body.strip_prefix(MAGIC).ok_or(RecordError::UnknownFormat)?;
    if crc32fast::hash(body).to_be_bytes() != *sum {
        return Err(RecordError::Checksum);
    }
    let mut faults = RecordedFaults::new();
    while !rest.is_empty() {
        let entry = Entry::decode_length_delimited(&mut rest)?;
        let kind = decode_kind(&entry).ok_or(RecordError::UnknownFault)?;
        let direction = if entry.down { Direction::Down } else { Direction::Up };
        let Entry { connection, offset, wait, bytes, .. } = entry;
        let fault = InjectedFault { connection, direction, offset, kind, wait: Span::ns(wait), bytes };
        faults.entry((connection, direction)).or_default().push(fault);
    }
    Ok(faults)
}
