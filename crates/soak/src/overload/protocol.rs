//! The bytes that clients send at a listener, sound or not.

use super::attack::Attack;
use crate::clients::http::request_text_with_headers;

/// The number of short fields in a request, more than any limit.
const SHORT_FIELDS: usize = 60_000;
/// The size of a line of which only a part is sent, just below the limit on lines.
const LARGE_LINE_BYTES: usize = 1_000_000;
/// The size of a body of which only a half is sent, just below the limit on bodies.
const LARGE_BODY_BYTES: usize = 16_000;
/// The bearer token of the management API at an address.
pub(super) const TOKEN: &str = "0123456789abcdef0123456789abcdef";

/// The protocol of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Protocol {
    /// JSON lines of collectors.
    Lines,
    /// The management API.
    Management,
    /// Metrics by HTTP.
    Metrics,
}

impl Protocol {
    /// What a client sends first on a connection at full speed.
    pub fn greeting(self) -> Vec<u8> {
        match self {
            Protocol::Lines => source("z0"),
            Protocol::Management | Protocol::Metrics => Vec::new(),
        }
    }

    /// A request that is answered if its sender is served.
    pub fn sound_request(self) -> Vec<u8> {
        match self {
            Protocol::Lines => b"{\"@type\":\"PING\"}\n".to_vec(),
            Protocol::Management => http("GET", "/v1/status", ""),
            Protocol::Metrics => http("GET", "/metrics", ""),
        }
    }

    /// A request that its sender never completes.
    pub fn unfinished_request(self, attack: Attack) -> Vec<u8> {
        match (self, attack) {
            (Protocol::Lines, Attack::ManyShortFields) => {
                let fields: String = (0..SHORT_FIELDS).map(|n| format!(",\"{n:x}\":1")).collect();
                let line = format!("{{\"@type\":\"LOAD\",\"az\":\"z0\"{fields}}}\n");
                [source("z0"), line.repeat(3).into_bytes()].concat()
            }
            (Protocol::Lines, _) => {
                let name = "x".repeat(LARGE_LINE_BYTES / 2);
                [source("z0"), format!("{{\"@type\":\"LOAD\",\"az\":\"{name}").into_bytes()].concat()
            }
            (_, Attack::ManyShortFields) => {
                let fields: String = (0..SHORT_FIELDS).map(|n| format!("{n:x}:1\r\n")).collect();
                format!("GET /v1/status HTTP/1.1\r\n{fields}").into_bytes()
            }
            (_, Attack::SlowRequests) => {
                let filler = "x".repeat(LARGE_BODY_BYTES);
                format!("GET /v1/status HTTP/1.1\r\nauthorization: Bearer {TOKEN}\r\nx: {filler}")
                    .into_bytes()
            }
            (_, _) => {
                let request = http("PUT", "/v1/overrides/large", &"x".repeat(LARGE_BODY_BYTES));
                request[..request.len() - LARGE_BODY_BYTES / 2].to_vec()
            }
        }
    }

    /// Requests of one connection at full speed. Names that differ by request have the numbers from `first` on.
    pub fn requests(self, attack: Attack, first: u64, count: usize) -> Vec<u8> {
        (first..first + count as u64).flat_map(|number| self.request(attack, number)).collect()
    }

    fn request(self, attack: Attack, number: u64) -> Vec<u8> {
        match (self, attack) {
            (Protocol::Lines, Attack::UnsoundRequests) => {
                b"{\"@type\":\"LOAD\",\"az\":7,\"host\":[]}\n".to_vec()
            }
            (Protocol::Lines, Attack::NewNames) => {
                let (zone, slice) = (format!("zone-{number}"), number % 20);
                let reports = format!(
                    "{{\"@type\":\"LOAD\",\"az\":\"{zone}\",\"host\":\"host-{number}\",\"n\":5,\"bad\":0,\
                     \"avg\":1.0,\"window\":1000.0}}\n\
                     {{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"kind-{number}\",\"n\":5,\"bad\":0,\
                     \"window\":1000.0}}\n"
                );
                [source(&zone), reports.into_bytes()].concat()
            }
            (Protocol::Lines, _) => self.sound_request(),
            (_, Attack::UnsoundRequests) => b"NO SUCH THING\r\n\r\n".to_vec(),
            (Protocol::Management, Attack::NewNames | Attack::ClosedUnread) => {
                let body = r#"{"kind":"out","server":"s-0","by":"mb","why":"disk","for":"1h"}"#;
                http("PUT", &format!("/v1/overrides/new-{number}"), body)
            }
            (Protocol::Metrics, Attack::NewNames) => http("GET", &format!("/new-{number}"), ""),
            (_, _) => self.sound_request(),
        }
    }
}

fn source(zone: &str) -> Vec<u8> {
    format!("{{\"@type\":\"SOURCE\",\"az\":\"{zone}\"}}\n").into_bytes()
}

fn http(method: &str, path: &str, body: &str) -> Vec<u8> {
    let authorization = format!("authorization: Bearer {TOKEN}\r\n");
    request_text_with_headers(method, path, &authorization, body).into_bytes()
}
