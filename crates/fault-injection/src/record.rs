//! What was injected, by its cause: which connection, which direction, after how many bytes. A file of
//! protobuf messages, each behind its length, after a head with the version, and a checksum over all at the
//! end.

use crate::decide::Injected;
use crate::schedule::{Garble, What};
use crate::{Direction, Number};
use prost::Message;
use std::collections::BTreeMap;
use whinwall_policy::time::Span;

const HEAD: &[u8; 8] = b"wwfault1";

#[derive(Clone, PartialEq, Message)]
struct Entry {
    #[prost(uint64, tag = "1")]
    conn: u64,
    #[prost(bool, tag = "2")]
    down: bool,
    #[prost(uint64, tag = "3")]
    offset: u64,
    #[prost(uint32, tag = "4")]
    what: u32,
    #[prost(uint64, tag = "5")]
    figure: u64,
    #[prost(uint64, tag = "6")]
    wait: u64,
    #[prost(bytes = "vec", tag = "7")]
    bytes: Vec<u8>,
}

/// Kinds by number; the place in this list is what the file says, so it is only ever added to.
fn kind(what: What) -> (u32, u64) {
    match what {
        What::Delay(..) => (1, 0),
        What::Rate(rate) => (2, rate),
        What::Pieces(size) => (3, size),
        What::Stall(_) => (4, 0),
        What::Silence => (5, 0),
        What::Cut => (6, 0),
        What::End => (7, 0),
        What::HalfClose => (8, 0),
        What::Garble(Garble::Flip, many) => (9, many),
        What::Garble(Garble::Drop, many) => (10, many),
        What::Garble(Garble::Insert, many) => (11, many),
        What::Garble(Garble::Repeat, many) => (12, many),
        What::Swap => (13, 0),
        What::Refuse => (14, 0),
        What::Mute => (15, 0),
    }
}

fn what(entry: &Entry) -> Option<What> {
    let (figure, wait) = (entry.figure, Span::ns(entry.wait));
    Some(match entry.what {
        1 => What::Delay(wait, wait),
        2 => What::Rate(figure),
        3 => What::Pieces(figure),
        4 => What::Stall(wait),
        5 => What::Silence,
        6 => What::Cut,
        7 => What::End,
        8 => What::HalfClose,
        9 => What::Garble(Garble::Flip, figure),
        10 => What::Garble(Garble::Drop, figure),
        11 => What::Garble(Garble::Insert, figure),
        12 => What::Garble(Garble::Repeat, figure),
        13 => What::Swap,
        14 => What::Refuse,
        15 => What::Mute,
        _ => return None,
    })
}

/// In the order of connections, directions and offsets: the same faults make the same file.
pub fn write(faults: &[Injected]) -> Vec<u8> {
    let mut sorted: Vec<_> = faults.iter().collect();
    sorted.sort_by_key(|fault| (fault.conn, fault.direction, fault.offset));
    let mut bytes = HEAD.to_vec();
    for fault in sorted {
        let (what, figure) = kind(fault.what);
        let entry = Entry {
            conn: fault.conn,
            down: fault.direction == Direction::Down,
            offset: fault.offset,
            what,
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

/// By connection and direction.
pub type Faults = BTreeMap<(Number, Direction), Vec<Injected>>;

pub fn read(bytes: &[u8]) -> Result<Faults, String> {
    let (body, sum) = bytes.split_last_chunk::<4>().ok_or("it is cut off")?;
    let mut rest = body.strip_prefix(HEAD).ok_or("it is no record of faults, or of another version")?;
    if crc32fast::hash(body).to_be_bytes() != *sum {
        return Err("its checksum is wrong".into());
    }
    let mut faults = Faults::new();
    while !rest.is_empty() {
        let entry = Entry::decode_length_delimited(&mut rest).map_err(|why| why.to_string())?;
        let what = what(&entry).ok_or("it has a fault that this version does not know")?;
        let direction = if entry.down { Direction::Down } else { Direction::Up };
        let Entry { conn, offset, wait, bytes, .. } = entry;
        let fault = Injected { conn, direction, offset, what, wait: Span::ns(wait), bytes };
        faults.entry((conn, direction)).or_default().push(fault);
    }
    Ok(faults)
}
