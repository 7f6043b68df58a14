//! An override's form on disk: a protobuf message behind its checksum. Fields are only ever added; a reader
//! passes over those that it does not know.

use crate::record::{End, Kind, Origin, Override};
use crate::timeline::{Reading, Stamp, Timeline};
use prost::Message;
use whinwall_policy::time::{Moment, Span};

/// Of the whole file: one that is newer is not read.
pub const FORM: u64 = 1;

#[derive(Clone, PartialEq, Message)]
struct Record {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, tag = "2")]
    id: String,
    #[prost(string, tag = "3")]
    replica: String,
    #[prost(oneof = "What", tags = "4, 5, 6")]
    what: Option<What>,
    #[prost(string, tag = "7")]
    author: String,
    #[prost(string, tag = "8")]
    reason: String,
    #[prost(bool, tag = "9")]
    from_file: bool,
    /// Times lie on the line that outlives a restart, in nanoseconds.
    #[prost(uint64, tag = "10")]
    set: u64,
    #[prost(uint64, tag = "11")]
    ends: u64,
    #[prost(uint64, optional, tag = "12")]
    until_wall: Option<u64>,
    #[prost(uint64, optional, tag = "13")]
    ended: Option<u64>,
    #[prost(oneof = "Why", tags = "14, 15, 16, 17")]
    why: Option<Why>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum What {
    #[prost(double, tag = "4")]
    Weight(f64),
    #[prost(bool, tag = "5")]
    Out(bool),
    #[prost(message, tag = "6")]
    Pin(Range),
}

#[derive(Clone, Copy, PartialEq, Message)]
struct Range {
    #[prost(uint32, tag = "1")]
    first: u32,
    #[prost(uint32, tag = "2")]
    last: u32,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Why {
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
struct Clocks {
    #[prost(string, tag = "1")]
    boot: String,
    #[prost(uint64, tag = "2")]
    since_boot: u64,
    #[prost(uint64, tag = "3")]
    wall: u64,
    #[prost(uint64, tag = "4")]
    line: u64,
}

fn ns(at: Moment) -> u64 {
    (at - Moment::default()).as_ns()
}

fn sealed(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    let mut bytes = crc32fast::hash(&body).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

fn opened<M: Message + Default>(bytes: &[u8]) -> Result<M, String> {
    let (sum, body) = bytes.split_at_checked(4).ok_or("it is cut off")?;
    if sum != crc32fast::hash(body).to_be_bytes() {
        return Err("its checksum is wrong".into());
    }
    M::decode(body).map_err(|why| why.to_string())
}

pub fn write(one: &Override, line: &Timeline) -> Vec<u8> {
    let what = match &one.kind {
        Kind::Weight { factor, .. } => What::Weight(*factor),
        Kind::Out { .. } => What::Out(true),
        Kind::Pin { first, last, .. } => What::Pin(Range { first: *first, last: *last }),
    };
    let why = one.ended.as_ref().map(|(_, why)| match why {
        End::Expired => Why::Expired(true),
        End::Cleared { by } => Why::ClearedBy(by.clone()),
        End::Replaced { by } => Why::ReplacedBy(by.clone()),
        End::ClockWentBack => Why::ClockWentBack(true),
    });
    sealed(&Record {
        number: one.number,
        id: one.id.clone(),
        replica: one.kind.replica().to_string(),
        what: Some(what),
        author: one.author.clone(),
        reason: one.reason.clone(),
        from_file: one.origin == Origin::File,
        set: ns(line.on_line(one.set)),
        ends: ns(line.on_line(one.ends)),
        until_wall: one.until_wall.map(ns),
        ended: one.ended.as_ref().map(|(at, _)| ns(line.on_line(*at))),
        why,
    })
}

/// What is not understood is refused whole: half an override would be another one.
pub fn read(bytes: &[u8], line: &Timeline) -> Result<Override, String> {
    let record: Record = opened(bytes)?;
    let replica = record.replica;
    let kind = match record.what.ok_or("it is of a kind that this version does not know")? {
        What::Weight(factor) => Kind::Weight { replica, factor },
        What::Out(_) => Kind::Out { replica },
        What::Pin(Range { first, last }) => Kind::Pin { first, last, replica },
    };
    crate::record::check(&record.id, &kind, &record.author, &record.reason)
        .map_err(|(part, why)| format!("{part}: {why}"))?;
    let at = |on_line| line.in_life(Moment::at_ns(on_line));
    let ended = match (record.ended, record.why) {
        (None, _) => None,
        (Some(ended), Some(why)) => Some((
            at(ended),
            match why {
                Why::Expired(_) => End::Expired,
                Why::ClearedBy(by) => End::Cleared { by },
                Why::ReplacedBy(by) => End::Replaced { by },
                Why::ClockWentBack(_) => End::ClockWentBack,
            },
        )),
        (Some(_), None) => return Err("it ended for a reason that this version does not know".into()),
    };
    Ok(Override {
        number: record.number,
        id: record.id,
        kind,
        author: record.author,
        reason: record.reason,
        origin: if record.from_file { Origin::File } else { Origin::Request },
        set: at(record.set),
        ends: at(record.ends),
        until_wall: record.until_wall.map(Moment::at_ns),
        ended,
    })
}

pub fn write_stamp(stamp: &Stamp) -> Vec<u8> {
    let Stamp { reading, line } = stamp;
    let (since_boot, wall) = (reading.since_boot.as_ns(), ns(reading.wall));
    sealed(&Clocks { boot: reading.boot.clone(), since_boot, wall, line: ns(*line) })
}

pub fn read_stamp(bytes: &[u8]) -> Result<Stamp, String> {
    let Clocks { boot, since_boot, wall, line } = opened(bytes)?;
    let reading = Reading { boot, since_boot: Span::ns(since_boot), wall: Moment::at_ns(wall) };
    Ok(Stamp { reading, line: Moment::at_ns(line) })
}
