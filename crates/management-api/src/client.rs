//! The other end of the management front: one call, and how far it came.

use crate::wire::{Clear, List, Outcome, Problem, Set, State};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{ClientRequest, Connector};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// The server says within five seconds that it does not know.
const PATIENCE: Duration = Duration::from_secs(7);
const CONNECT: Duration = Duration::from_secs(2);
/// A list of ten thousand overrides with their reasons.
const LARGEST: usize = 16 << 20;

/// Where a controller is managed: `unix:PATH`, a path, or an address.
#[derive(Clone, Debug, PartialEq)]
pub enum ManagementAddress {
    Socket(PathBuf),
    Address(SocketAddr),
}

impl FromStr for ManagementAddress {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let path = text.strip_prefix("unix:").or(text.contains('/').then_some(text));
        if let Some(path) = path {
            return Ok(ManagementAddress::Socket(path.into()));
        }
        let address = text.parse().map_err(|_| format!("{text:?} is neither a path nor an address"))?;
        Ok(ManagementAddress::Address(address))
    }
}

impl fmt::Display for ManagementAddress {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ManagementAddress::Socket(path) => write!(f, "{}", path.display()),
            ManagementAddress::Address(address) => write!(f, "{address}"),
        }
    }
}

/// How a call failed, and so whether it may have been carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// Nothing was carried out.
    NotSent(String),
    OutcomeUnknown(String),
    /// Answered, and nothing was carried out; the same may be taken later.
    NotNow(String),
    Refused {
        code: u16,
        problem: Problem,
    },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Failure::NotSent(why) => write!(f, "not sent: {why}"),
            Failure::OutcomeUnknown(why) => write!(f, "outcome unknown: {why}"),
            Failure::NotNow(why) => write!(f, "not now: {why}"),
            Failure::Refused { problem, .. } => write!(f, "refused: {}", problem.error),
        }
    }
}

impl Failure {
    /// Whether the same call, said again, may come further: its id keeps it from being carried out twice.
    pub fn may_pass(&self) -> bool {
        !matches!(self, Failure::Refused { .. })
    }
}

/// Not for more than one thread.
pub struct Client {
    address: ManagementAddress,
    token: Option<String>,
    http: awc::Client,
}

impl Client {
    pub fn new(address: ManagementAddress, token: Option<String>) -> Self {
        let builder = awc::Client::builder().timeout(PATIENCE);
        let http = match address.clone() {
            ManagementAddress::Address(_) => builder.connector(Connector::new().timeout(CONNECT)).finish(),
            ManagementAddress::Socket(path) => {
                let connect = fn_service(move |to: ConnectInfo<Uri>| {
                    let path = path.clone();
                    async move {
                        let stream =
                            actix_rt::net::UnixStream::connect(path).await.map_err(ConnectError::Io)?;
                        Ok::<_, ConnectError>(Connection::new(to.request().clone(), stream))
                    }
                });
                builder.connector(Connector::new().timeout(CONNECT).connector(connect)).finish()
            }
        };
        Client { address, token, http }
    }

    pub fn address(&self) -> &ManagementAddress {
        &self.address
    }

    fn request(&self, method: awc::http::Method, path: &str) -> ClientRequest {
        let host = match &self.address {
            ManagementAddress::Socket(_) => "localhost".to_string(),
            ManagementAddress::Address(address) => address.to_string(),
        };
        let request = self.http.request(method, format!("http://{host}{path}"));
        match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }

    pub async fn set(&self, id: &str, set: &Set) -> Result<Outcome, Failure> {
        self.call(awc::http::Method::PUT, &format!("/v1/overrides/{id}"), Some(set)).await
    }

    pub async fn clear(&self, id: &str, by: &str) -> Result<Outcome, Failure> {
        let clear = Clear { by: by.into() };
        self.call(awc::http::Method::POST, &format!("/v1/overrides/{id}/clear"), Some(&clear)).await
    }

    pub async fn list(&self) -> Result<List, Failure> {
        self.call(awc::http::Method::GET, "/v1/overrides", None::<&()>).await
    }

    pub async fn status(&self) -> Result<State, Failure> {
        self.call(awc::http::Method::GET, "/v1/status", None::<&()>).await
    }

    /// In the text form that Prometheus reads.
    pub async fn metrics(&self) -> Result<String, Failure> {
        let body = self.bytes(awc::http::Method::GET, "/v1/metrics", None::<&()>).await?;
        String::from_utf8(body).map_err(|why| Failure::OutcomeUnknown(why.to_string()))
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: awc::http::Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, Failure> {
        let body = self.bytes(method, path, body).await?;
        serde_json::from_slice(&body).map_err(|why| Failure::OutcomeUnknown(why.to_string()))
    }

    /// The body of an answer that says it was done.
    async fn bytes(
        &self,
        method: awc::http::Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<Vec<u8>, Failure> {
        use awc::error::SendRequestError;
        let request = self.request(method, path);
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let mut answer = sent.map_err(|why| match why {
            SendRequestError::Connect(_) | SendRequestError::Url(_) => Failure::NotSent(why.to_string()),
            _ => Failure::OutcomeUnknown(why.to_string()),
        })?;
        let code = answer.status().as_u16();
        let body = answer.body().limit(LARGEST).await;
        let body = body.map_err(|why| Failure::OutcomeUnknown(why.to_string()))?;
        if answer.status().is_success() {
            return Ok(body.to_vec());
        }
        let text = || String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        let problem: Problem = serde_json::from_slice(&body).unwrap_or_else(|_| Problem::new(text()));
        Err(match code {
            503 | 507 | 429 => Failure::NotNow(problem.error),
            408 | 500 | 504 => Failure::OutcomeUnknown(problem.error),
            _ => Failure::Refused { code, problem },
        })
    }
}
