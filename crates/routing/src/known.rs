//! What a reader has to know to take reports apart: numbers for names, as they were when it was made. It may
//! be behind: a number is never given to another, and a name that it lacks is left to the reducer.

use std::collections::BTreeMap;
use whinwall_policy::interface::{Asked, Met, PlaceId, Reported, ServerId};
use whinwall_policy::time::Span;
use whinwall_protocol::collector::Report;

#[derive(Clone, Debug, Default)]
pub struct Known {
    pub places: Vec<String>,
    pub op_types: Vec<String>,
    pub servers: BTreeMap<String, ServerId>,
    /// Which state of the names it is.
    pub changes: u64,
}

/// A time as reports give it.
pub fn span(ms: f64) -> Span {
    Span::ms(1).times(ms)
}

/// FNV-1a, as published by Fowler, Noll and Vo: the same at every governor and in every build.
pub fn lot(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |lot, byte| (lot ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Where the settings name no places, any will do.
pub fn place(places: &[String], name: &str) -> Option<PlaceId> {
    let any = places.is_empty().then_some(PlaceId::MAX);
    places.iter().position(|known| known == name).or(any)
}

impl Known {
    pub fn op_type(&self, name: &str) -> Option<usize> {
        self.op_types.iter().position(|known| known == name)
    }

    /// The report in numbers; none where it names what is not known here. Neither is there one where zones are missing
    /// in it: such a line is never summed with others, and goes to the reducer as the message that it is.
    pub fn numbered(&self, report: &Report) -> Option<Reported> {
        match *report {
            Report::Met { missing: 1.., .. } | Report::Asked { missing: 1.., .. } => None,
            Report::Met { place, server, tries, aborted, mean_latency_ms, covers_ms, missing: 0 } => {
                let (place, server) = (self::place(&self.places, place)?, *self.servers.get(server)?);
                let (covers, mean_latency) = (span(covers_ms), span(mean_latency_ms));
                let met = Met { place, covers, tries, aborted, mean_latency };
                Some(Reported::Met { server, met, latest: mean_latency })
            }
            Report::Asked { slice, op_type, came, aborted, covers_ms, missing: 0 } => {
                let asked = Asked { op_type: self.op_type(op_type)?, covers: span(covers_ms), came, aborted };
                Some(Reported::Asked { slice, asked })
            }
        }
    }
}
