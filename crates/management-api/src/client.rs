//! The client of the management API. Each call makes one attempt, and its error shows whether the request may have been
//! carried out.

use crate::wire::{ChangeOutcome, ClearBody, ControllerState, ErrorBody, OverrideList, SetBody};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::error::{PayloadError, SendRequestError};
use awc::http::{Method, Uri};
use awc::{ClientRequest, Connector};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::{FromStr, Utf8Error};
use std::time::Duration;

/// Longer than the server's own time-out, after which it replies that the outcome is unknown.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(7);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Enough for a list of 10,000 overrides with their reasons.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The maximum length of the excerpt that an error quotes from a response that is not JSON.
const MAX_QUOTED_BYTES: usize = 200;
const NO_BODY: Option<&()> = None;

/// The address of a controller's management API.
#[derive(Clone, Debug, PartialEq)]
pub enum ManagementAddress {
    /// A Unix socket, written as `unix:PATH` or as a path that contains a slash.
    Socket(PathBuf),
    /// A TCP address.
    Address(SocketAddr),
}

/// The text does not parse as a [`ManagementAddress`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid management address {0:?}: expected unix:PATH, a path with a slash, or IP:PORT")]
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

/// The reason why a call failed. The variant shows whether the controller may have carried out the request.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ClientError {
    /// The request was not sent.
    #[error("request not sent: {0}")]
    NotSent(#[from] NotSentCause),
    /// The request may have been carried out.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(#[from] UnknownOutcomeCause),
    /// The controller cannot carry out the request at the moment; nothing was carried out.
    #[error("request cannot be carried out now: {}", body.error)]
    Unavailable {
        /// The HTTP status code.
        code: u16,
        /// The controller's reason.
        body: ErrorBody,
    },
    /// The request is rejected; nothing was carried out.
    #[error("request rejected: {}", body.error)]
    Rejected {
        /// The HTTP status code.
        code: u16,
        /// The controller's reason.
        body: ErrorBody,
    },
}

/// The reason why a request was not sent. Errors of the HTTP client are kept as text, because they can neither be
/// compared nor sent to another thread.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotSentCause {
    /// No connection to the controller could be opened, for the reason that the HTTP client returned.
    #[error("{0}")]
    ConnectFailed(String),
    /// The URL of the request is invalid, for the reason that the HTTP client returned.
    #[error("{0}")]
    InvalidUrl(String),
}

/// The reason why it is unknown whether a request was carried out. Errors of the HTTP client are kept as text, because
/// they can neither be compared nor sent to another thread.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum UnknownOutcomeCause {
    /// The connection was closed instead of a response.
    #[error("connection closed before a response was received")]
    ConnectionClosed,
    /// The controller did not respond within the client's time limit.
    #[error("Timeout while waiting for response")]
    ResponseTimeout,
    /// Sending the request or reading the response failed, for the reason that the HTTP client returned.
    #[error("{0}")]
    ExchangeFailed(String),
    /// The body of a successful response is not the JSON that the call expects, for the reason that the decoder
    /// returned.
    #[error("{0}")]
    UnexpectedJson(String),
    /// The body of a successful response is not UTF-8 text.
    #[error("{0}")]
    InvalidUtf8(Utf8Error),
    /// The controller responded that the outcome is unknown.
    #[error("{}", body.error)]
    ErrorResponse {
        /// The HTTP status code.
        code: u16,
        /// The controller's reason.
        body: ErrorBody,
    },
}

impl ClientError {
    /// Returns true if a retry may succeed. Retries are safe because the request's id is an idempotency key: a request
    /// is never carried out twice.
    pub fn is_retryable(&self) -> bool {
        !matches!(self, ClientError::Rejected { .. })
    }

    fn from_response(code: u16, body: &[u8]) -> Self {
        let body: ErrorBody = serde_json::from_slice(body).unwrap_or_else(|_| {
            let quoted = &body[..body.len().min(MAX_QUOTED_BYTES)];
            ErrorBody::new(String::from_utf8_lossy(quoted))
        });
        match code {
            503 | 507 | 429 => ClientError::Unavailable { code, body },
            408 | 500 | 504 => UnknownOutcomeCause::ErrorResponse { code, body }.into(),
            _ => ClientError::Rejected { code, body },
        }
    }
}

impl From<SendRequestError> for ClientError {
    fn from(error: SendRequestError) -> Self {
        let text = error.to_string();
        match error {
            // awc reports a connection that is closed instead of a response as `Disconnected`. By then the request had
            // been written.
            SendRequestError::Connect(awc::error::ConnectError::Disconnected) => {
                UnknownOutcomeCause::ConnectionClosed.into()
            }
            SendRequestError::Connect(_) => NotSentCause::ConnectFailed(text).into(),
            SendRequestError::Url(_) => NotSentCause::InvalidUrl(text).into(),
            SendRequestError::Timeout => UnknownOutcomeCause::ResponseTimeout.into(),
            _ => UnknownOutcomeCause::ExchangeFailed(text).into(),
        }
    }
}

impl From<PayloadError> for ClientError {
    fn from(error: PayloadError) -> Self {
        UnknownOutcomeCause::ExchangeFailed(error.to_string()).into()
    }
}

/// A client of one controller. It is bound to the thread of the runtime on which it is used.
pub struct Client {
    address: ManagementAddress,
    token: Option<String>,
    http: awc::Client,
}

impl Client {
    /// Creates a client that sends the bearer token, if there is one. It connects on the first call.
    pub fn new(address: ManagementAddress, token: Option<String>) -> Self {
        let http = match &address {
            ManagementAddress::Address(_) => {
                let connector = Connector::new().timeout(CONNECT_TIMEOUT);
                awc::Client::builder().timeout(REQUEST_TIMEOUT).connector(connector).finish()
            }
            ManagementAddress::Socket(path) => unix_socket_client(path),
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

    /// Returns the controller's status.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn status(&self) -> Result<ControllerState, ClientError> {
        self.call(Method::GET, "/v1/status", NO_BODY).await
    }

    /// Returns the controller's metrics in the OpenMetrics text format.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let body = self.send(Method::GET, "/v1/metrics", NO_BODY).await?;
        String::from_utf8(body).map_err(|error| UnknownOutcomeCause::InvalidUtf8(error.utf8_error()).into())
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, ClientError> {
        let body = self.send(method, path, body).await?;
        serde_json::from_slice(&body)
            .map_err(|error| UnknownOutcomeCause::UnexpectedJson(error.to_string()).into())
    }

    /// Sends a request and returns the body of a successful response.
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
        let body = response.body().limit(MAX_RESPONSE_BYTES).await?;
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

/// Creates an HTTP client that connects to the Unix socket and ignores the host of the URL.
fn unix_socket_client(path: &Path) -> awc::Client {
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
