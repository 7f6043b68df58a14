//! The client of the management API: one attempt per call, with errors that say whether the request may have been
//! carried out.

use crate::wire::{ChangeOutcome, ClearBody, ControllerState, ErrorBody, OverrideList, SetBody};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::error::SendRequestError;
use awc::http::{Method, Uri};
use awc::{ClientRequest, Connector};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

/// Longer than the server takes to reply that the outcome is unknown.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(7);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Enough for a list of ten thousand overrides with their reasons.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How much of a response that is not JSON is shown.
const MAX_SHOWN_BYTES: usize = 200;
const NO_BODY: Option<&()> = None;

/// The address of a controller's management API.
#[derive(Clone, Debug, PartialEq)]
pub enum ManagementAddress {
    /// A Unix socket, written `unix:PATH` or as a path with a slash.
    Socket(PathBuf),
    /// A TCP address.
    Address(SocketAddr),
}

/// A text that is not a [`ManagementAddress`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is neither a path nor an address")]
pub struct InvalidAddress(String);

impl FromStr for ManagementAddress {
    type Err = InvalidAddress;

    fn from_str(text: &str) -> Result<Self, InvalidAddress> {
        let path = text.strip_prefix("unix:").or(text.contains('/').then_some(text));
        if let Some(path) = path {
            return Ok(ManagementAddress::Socket(path.into()));
        }
        text.parse().map(ManagementAddress::Address).map_err(|_| InvalidAddress(text.into()))
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

/// How a call failed, and so whether the request may have been carried out. The reasons are for operators; the HTTP
/// client's errors can be neither compared nor sent to another thread.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ClientError {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have been carried out.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The controller cannot carry out the request at present; nothing was carried out.
    #[error("not now: {0}")]
    Unavailable(String),
    /// The request is rejected; nothing was carried out.
    #[error("refused: {}", body.error)]
    Rejected {
        /// The HTTP status code.
        code: u16,
        /// Why.
        body: ErrorBody,
    },
}

impl ClientError {
    /// Whether a retry may succeed. The request's id is an idempotency key: a retry is never carried out twice.
    pub fn is_retryable(&self) -> bool {
        !matches!(self, ClientError::Rejected { .. })
    }

    fn outcome_unknown(error: impl fmt::Display) -> Self {
        ClientError::OutcomeUnknown(error.to_string())
    }

    fn from_response(code: u16, body: &[u8]) -> Self {
        let body: ErrorBody = serde_json::from_slice(body).unwrap_or_else(|_| {
            let shown = &body[..body.len().min(MAX_SHOWN_BYTES)];
            ErrorBody::new(String::from_utf8_lossy(shown))
        });
        match code {
            503 | 507 | 429 => ClientError::Unavailable(body.error),
            408 | 500 | 504 => ClientError::OutcomeUnknown(body.error),
            _ => ClientError::Rejected { code, body },
        }
    }
}

impl From<SendRequestError> for ClientError {
    fn from(error: SendRequestError) -> Self {
        match error {
            // The connection has ended in place of the response: the request was written by then.
            SendRequestError::Connect(awc::error::ConnectError::Disconnected) => {
                ClientError::OutcomeUnknown("the connection ended without a response".into())
            }
            SendRequestError::Connect(_) | SendRequestError::Url(_) => {
                ClientError::NotSent(error.to_string())
            }
            _ => ClientError::OutcomeUnknown(error.to_string()),
        }
    }
}

/// A client of one controller. It belongs to the thread of the runtime that it is used on.
pub struct Client {
    address: ManagementAddress,
    token: Option<String>,
    http: awc::Client,
}

impl Client {
    /// A client that sends this bearer token; it connects with the first call.
    pub fn new(address: ManagementAddress, token: Option<String>) -> Self {
        let http = match &address {
            ManagementAddress::Address(_) => {
                let connector = Connector::new().timeout(CONNECT_TIMEOUT);
                awc::Client::builder().timeout(REQUEST_TIMEOUT).connector(connector).finish()
            }
            ManagementAddress::Socket(path) => socket_client(path),
        };
        Client { address, token, http }
    }

    /// The controller's address.
    pub fn address(&self) -> &ManagementAddress {
        &self.address
    }

    /// Sets an override.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn set(&self, id: &str, body: &SetBody) -> Result<ChangeOutcome, ClientError> {
        self.call(Method::PUT, &format!("/v1/overrides/{id}"), Some(body)).await
    }

    /// Clears an override.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn clear(&self, id: &str, by: &str) -> Result<ChangeOutcome, ClientError> {
        let body = ClearBody { by: by.into() };
        self.call(Method::POST, &format!("/v1/overrides/{id}/clear"), Some(&body)).await
    }

    /// Lists the overrides.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn list(&self) -> Result<OverrideList, ClientError> {
        self.call(Method::GET, "/v1/overrides", NO_BODY).await
    }

    /// The controller's status.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn status(&self) -> Result<ControllerState, ClientError> {
        self.call(Method::GET, "/v1/status", NO_BODY).await
    }

    /// The controller's metrics in the OpenMetrics text format.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let body = self.send(Method::GET, "/v1/metrics", NO_BODY).await?;
        String::from_utf8(body).map_err(ClientError::outcome_unknown)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, ClientError> {
        let body = self.send(method, path, body).await?;
        serde_json::from_slice(&body).map_err(ClientError::outcome_unknown)
    }

    /// The body of a successful response.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<Vec<u8>, ClientError> {
        let request = self.request(method, path);
        let mut response = match body {
            Some(body) => request.send_json(body).await?,
            None => request.send().await?,
        };
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.map_err(ClientError::outcome_unknown)?;
        if status.is_success() {
            Ok(body.to_vec())
        } else {
            Err(ClientError::from_response(status.as_u16(), &body))
        }
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
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
}

/// An HTTP client that connects to a Unix socket, whatever the URL.
fn socket_client(path: &Path) -> awc::Client {
    let path = path.to_path_buf();
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let path = path.clone();
        async move {
            let stream = actix_rt::net::UnixStream::connect(path).await.map_err(ConnectError::Io)?;
            Ok::<_, ConnectError>(Connection::new(info.request().clone(), stream))
        }
    });
    let connector = Connector::new().timeout(CONNECT_TIMEOUT).connector(connect);
    awc::Client::builder().timeout(REQUEST_TIMEOUT).connector(connector).finish()
}
