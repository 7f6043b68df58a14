//! The text protocol of the relay: watch events that the relay sends, requests with commands, and responses to them.

use super::error::{DecodeError, InvalidLine};
use super::validate_count;
use std::str::{FromStr, SplitAsciiWhitespace};
use whinwall_policy::api::{ProxyId, SliceId};

/// The largest total size of the commands in one request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 60_000;
/// The request line that subscribes a connection to watch events.
pub const WATCH_REQUEST: &str = "WATCH";

/// An event of the relay watch.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    /// The watch is open. A snapshot of the current state follows, then each change as it happens.
    SnapshotStarted,
    /// Sent periodically while nothing changes.
    Heartbeat,
    /// A proxy has connected to the relay.
    ProxyJoined {
        /// The proxy.
        proxy: ProxyId,
        /// True if the proxy starts without routing tables, that is, has none from an earlier connection.
        starts_without_tables: bool,
    },
    /// A proxy has disconnected from the relay.
    ProxyLeft {
        /// The proxy.
        proxy: ProxyId,
    },
    /// A proxy has applied all commands up to a version.
    Acknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The version of the `Sync` command.
        version: u16,
    },
    /// This controller is responsible for a slice from now on.
    SliceGranted {
        /// The slice.
        slice: SliceId,
    },
    /// This controller is no longer responsible for a slice.
    SliceRevoked {
        /// The slice.
        slice: SliceId,
    },
    /// An endpoint in a slice's routing table, as stored by the relay.
    EndpointSet {
        /// The slice.
        slice: SliceId,
        /// The replica's name.
        replica: String,
        /// The weight of the endpoint in the routing table.
        weight: f64,
    },
}

/// Decodes a line of the relay watch.
///
/// # Errors
///
/// Fails if the line is not a known event, or if one of its fields is missing or invalid.
pub fn decode_event(line: &str) -> Result<RelayEvent, DecodeError> {
    let mut fields = Fields { words: line.split_ascii_whitespace(), line };
    match fields.words.next() {
        Some("OK") => return Ok(RelayEvent::SnapshotStarted),
        Some("*") => {}
        _ => return Err(DecodeError::new(InvalidLine::NotAnEvent, line)),
    }
    let Some(kind) = fields.words.next() else { return Ok(RelayEvent::Heartbeat) };
    Ok(match kind {
        "SUBSCRIBE" => {
            let proxy = fields.number("proxy")?;
            let (_zone, _requests_per_second) = (fields.word("place")?, fields.word("share")?);
            RelayEvent::ProxyJoined { proxy, starts_without_tables: fields.flag("standing")? }
        }
        "CLOSED" => RelayEvent::ProxyLeft { proxy: fields.number("proxy")? },
        "ACK" => RelayEvent::Acknowledged { proxy: fields.number("proxy")?, version: fields.number("mark")? },
        "GRANT" => {
            let slice = fields.number("slice")?;
            match fields.flag("yes")? {
                true => RelayEvent::SliceGranted { slice },
                false => RelayEvent::SliceRevoked { slice },
            }
        }
        "ROW" => {
            let slice = fields.number("slice")?;
            let replica = fields.word("server")?.to_string();
            let weight = fields.number("weight")?;
            validate_count("weight", weight).map_err(|reason| DecodeError::new(reason, line))?;
            RelayEvent::EndpointSet { slice, replica, weight }
        }
        _ => return Err(DecodeError::new(InvalidLine::UnknownEvent, line)),
    })
}

/// The remaining words of a line.
struct Fields<'a> {
    words: SplitAsciiWhitespace<'a>,
    line: &'a str,
}

impl<'a> Fields<'a> {
    fn word(&mut self, field: &'static str) -> Result<&'a str, DecodeError> {
        let word = self.words.next();
        word.ok_or_else(|| DecodeError::new(InvalidLine::MissingField(field), self.line))
    }

    fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, DecodeError> {
        let word = self.word(field)?;
        let invalid = |_| DecodeError::new(InvalidLine::InvalidNumber(word.into()), self.line);
        word.parse().map_err(invalid)
    }

    fn flag(&mut self, field: &'static str) -> Result<bool, DecodeError> {
        self.word(field).map(|word| matches!(word, "1" | "true" | "yes"))
    }
}

/// A command to the relay, with slices and replicas by their names on the wire.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sets an endpoint of a routing table, or removes it if the weight is 0.
    SetEndpoint {
        /// The slice whose routing table changes.
        slice: SliceId,
        /// The replica's name.
        replica: String,
        /// The weight of the endpoint in the routing table.
        weight: f64,
    },
    /// Withdraws a replica from all routing tables without changing their endpoints.
    Withdraw {
        /// The replica's name.
        replica: String,
    },
    /// Ends a replica's withdrawal.
    Reinstate {
        /// The replica's name.
        replica: String,
    },
    /// Sets the admission rate and the retry limit of the proxies.
    SetAdmission {
        /// The slice that the limits apply to; `None` for all slices.
        slice: Option<SliceId>,
        /// The request classes that the limits apply to; empty for all.
        request_classes: Vec<String>,
        /// The fraction of requests that is admitted, from 0 to 1.
        admission_rate: f64,
        /// The maximum number of retries per request.
        retries: u8,
    },
    /// Requests that proxies acknowledge all commands up to this one with a version.
    Sync {
        /// The version.
        version: u16,
    },
}

/// The set of proxies that acknowledge a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncScope {
    /// The proxies that are affected by the other commands of the same request.
    ReachedProxies,
    /// All connected proxies.
    AllProxies,
}

impl Command {
    /// Returns the slice whose routing table or admission the command changes, if it concerns a single slice.
    pub fn slice(&self) -> Option<SliceId> {
        match self {
            Command::SetEndpoint { slice, .. } => Some(*slice),
            Command::SetAdmission { slice, .. } => *slice,
            Command::Withdraw { .. } | Command::Reinstate { .. } | Command::Sync { .. } => None,
        }
    }

    /// Returns the version that proxies are to acknowledge, if the command is a `Sync`.
    pub fn version(&self) -> Option<u16> {
        match self {
            Command::Sync { version } => Some(*version),
            _ => None,
        }
    }

    /// Encodes the command for a request. `scope` only affects `Sync`.
    pub fn encode(&self, scope: SyncScope) -> String {
        match self {
            Command::SetEndpoint { slice, replica, weight } => format!("SET,{slice},{replica},{weight}"),
            Command::Withdraw { replica } => format!("OUT,{replica}"),
            Command::Reinstate { replica } => format!("IN,{replica}"),
            Command::SetAdmission { slice, request_classes, admission_rate, retries } => {
                let slice = slice.map_or("*".into(), |slice| slice.to_string());
                let request_classes =
                    if request_classes.is_empty() { "*".into() } else { request_classes.join("+") };
                format!("LIMIT,{slice},{request_classes},{admission_rate},{retries}")
            }
            Command::Sync { version } => {
                format!("SYNC,{version},{}", u8::from(scope == SyncScope::AllProxies))
            }
        }
    }
}

/// Encodes a request that applies the commands in order.
pub fn encode_request(commands: &[&str]) -> String {
    format!("APPLY {}", commands.join(";"))
}

/// The relay's response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The number of commands that were applied, counted from the first command of the request.
    Accepted(usize),
    /// No command was applied; a retry may succeed. Holds the relay's text.
    Retryable(String),
    /// No command was applied, and a retry would fail in the same way. Holds the relay's text.
    Rejected(String),
}

/// Decodes the relay's response to a request.
///
/// # Errors
///
/// Fails if the line is not a response; the outcome of the request is then unknown.
pub fn decode_response(line: &str) -> Result<Response, DecodeError> {
    let not_a_response = || DecodeError::new(InvalidLine::NotAResponse, line);
    let mut words = line.split_ascii_whitespace();
    if words.next() == Some("OK") {
        let accepted = words.next().filter(|_| words.next().is_none()).and_then(|word| word.parse().ok());
        return accepted.map(Response::Accepted).ok_or_else(not_a_response);
    }
    // The error code may be the whole line, or follow a prefix such as `ERR`.
    let mut words = line.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
    words
        .find_map(|word| match word {
            "bad_request" => Some(Response::Rejected(line.into())),
            "too_many_calls" | "unavailable" | "out_of_date" => Some(Response::Retryable(line.into())),
            _ => None,
        })
        .ok_or_else(not_a_response)
}
