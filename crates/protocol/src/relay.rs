//! The relay's lines of text: news in, calls out, and their answers.

use super::{is_sane, Malformed};
use std::str::FromStr;
use whinwall_policy::api::{ProxyId, SliceId};

/// A call holds so many bytes of orders at the most.
pub const CALL_LIMIT: usize = 60_000;
/// Asks for the news on this connection.
pub const WATCH: &str = "WATCH";

#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    /// The relay will send news from here on, what stands first.
    Begins,
    Alive,
    Joined {
        proxy: ProxyId,
        bare: bool,
    },
    Left {
        proxy: ProxyId,
    },
    Acked {
        proxy: ProxyId,
        version: u16,
    },
    Granted {
        slice: SliceId,
    },
    Revoked {
        slice: SliceId,
    },
    Line {
        slice: SliceId,
        replica: String,
        weight: f64,
    },
}

pub fn decode_event(line: &str) -> Result<RelayEvent, Malformed> {
    let wrong = |what: &str| Malformed::new(what, line);
    let mut words = line.split_ascii_whitespace();
    match words.next() {
        Some("OK") => return Ok(RelayEvent::Begins),
        Some("*") => {}
        _ => return Err(wrong("no news")),
    }
    let Some(kind) = words.next() else { return Ok(RelayEvent::Alive) };
    let mut word = |what: &str| words.next().ok_or_else(|| wrong(&format!("no {what}")));
    fn number<T: FromStr>(word: &str, line: &str) -> Result<T, Malformed> {
        word.parse().map_err(|_| Malformed::new(format!("{word:?} is no usable number"), line))
    }
    let proxy = |word: Result<&str, Malformed>| number::<ProxyId>(word?, line);
    let slice = |word: Result<&str, Malformed>| number::<SliceId>(word?, line);
    Ok(match kind {
        "SUBSCRIBE" => {
            let (proxy, _zone, _requests_a_second) = (proxy(word("proxy"))?, word("place")?, word("share")?);
            RelayEvent::Joined { proxy, bare: is_set(word("standing")?) }
        }
        "CLOSED" => RelayEvent::Left { proxy: proxy(word("proxy"))? },
        "ACK" => RelayEvent::Acked { proxy: proxy(word("proxy"))?, version: number(word("mark")?, line)? },
        "GRANT" => match (slice(word("slice"))?, is_set(word("yes")?)) {
            (slice, true) => RelayEvent::Granted { slice },
            (slice, false) => RelayEvent::Revoked { slice },
        },
        "ROW" => {
            let (slice, replica) = (slice(word("slice"))?, word("server")?.to_string());
            let weight = number(word("weight")?, line)?;
            RelayEvent::Line {
                slice,
                replica,
                weight: Some(weight).filter(|w| is_sane(*w)).ok_or(wrong("weight"))?,
            }
        }
        _ => return Err(wrong("news of an unknown kind")),
    })
}

fn is_set(word: &str) -> bool {
    matches!(word, "1" | "true" | "yes")
}

/// An order, in the names that the relay knows.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    SetEndpoint { slice: SliceId, replica: String, weight: f64 },
    Withdraw { replica: String, out: bool },
    SetAdmission { slice: Option<SliceId>, request_classes: Vec<String>, share: f64, retries: u8 },
    Sync { number: u16 },
}

impl Command {
    /// The slice whose table it changes.
    pub fn slice(&self) -> Option<SliceId> {
        match self {
            Command::SetEndpoint { slice, .. } => Some(*slice),
            Command::SetAdmission { slice, .. } => *slice,
            Command::Withdraw { .. } | Command::Sync { .. } => None,
        }
    }

    pub fn version(&self) -> Option<u16> {
        match self {
            Command::Sync { number } => Some(*number),
            _ => None,
        }
    }

    /// A version is answered by the proxies that the call reaches, or by all that are joined.
    pub fn encode(&self, by_all: bool) -> String {
        match self {
            Command::SetEndpoint { slice, replica, weight } => format!("SET,{slice},{replica},{weight}"),
            Command::Withdraw { replica, out: true } => format!("OUT,{replica}"),
            Command::Withdraw { replica, out: false } => format!("IN,{replica}"),
            Command::SetAdmission { slice, request_classes, share, retries } => {
                let slice = slice.map_or("*".into(), |n| n.to_string());
                let request_classes =
                    if request_classes.is_empty() { "*".into() } else { request_classes.join("+") };
                format!("LIMIT,{slice},{request_classes},{share},{retries}")
            }
            Command::Sync { number } => format!("SYNC,{number},{}", u8::from(by_all)),
        }
    }
}

pub fn encode_call(orders: &[&str]) -> String {
    format!("APPLY {}", orders.join(";"))
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// So many orders stand, counted from the first.
    Taken(usize),
    /// Nothing was done; the same call may be taken later.
    NotNow(String),
    /// Nothing was done, and never will be.
    Unusable(String),
}

pub fn decode_answer(line: &str) -> Result<Answer, Malformed> {
    let unreadable = || Malformed::new("no answer to a call", line);
    let mut words = line.split_ascii_whitespace();
    if words.next() == Some("OK") {
        let taken = words.next().filter(|_| words.next().is_none()).and_then(|n| n.parse().ok());
        return taken.map(Answer::Taken).ok_or_else(unreadable);
    }
    // An error stands alone or behind a word of its kind.
    let mut named = line.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
    named
        .find_map(|word| match word {
            "bad_request" => Some(Answer::Unusable(line.into())),
            "too_many_calls" | "unavailable" | "out_of_date" => Some(Answer::NotNow(line.into())),
            _ => None,
        })
        .ok_or_else(unreadable)
}
