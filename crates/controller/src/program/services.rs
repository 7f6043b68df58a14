//! The services that the operators' file configures: the storage thread for overrides and the management server,
//! each on a separate thread. Also tracks the management clients that wait for a reply.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::oneshot;
use tokio::time::Instant;
use whinwall_management_api::messages::Reply;
use whinwall_management_api::server::{self, ClosingServer, ManagementServer, PendingRequest};
use whinwall_operator_config::{ManagementEndpoint, OperatorsFile};
use whinwall_override_store::storage_thread::{StorageThread, StoreReply};
use whinwall_override_store::{OverrideStore, WriteBatch};
use whinwall_overrides::RequestId;
use whinwall_runtime::logger::{LogFormat, LogFormatSwitch};

/// Capacity of the queue of management requests to the event loop. Requests beyond it are rejected and may be retried.
pub(super) const MAX_QUEUED_REQUESTS: usize = 64;
/// Capacity of the queue of storage thread replies to the event loop; only one write is in flight at a time.
const MAX_QUEUED_STORE_REPLIES: usize = 16;

/// Time limit for a replaced management server to answer the requests that it has read.
const REPLACED_SERVER_TIMEOUT: Duration = Duration::from_secs(6);

/// Errors that prevent the start of a service. Their texts are shown to the operator.
#[derive(Debug, thiserror::Error)]
pub(super) enum ServiceError {
    #[error("cannot start storage thread: {0}")]
    StorageThread(#[source] std::io::Error),
    #[error("management: token-file: {0}")]
    Token(#[from] server::TokenError),
    #[error("management: {endpoint:?}: {source}")]
    Management { endpoint: ManagementEndpoint, source: std::io::Error },
}

/// A running management server.
struct RunningServer {
    endpoint: ManagementEndpoint,
    server: ManagementServer,
}

/// The services, and the queues between their threads and the event loop.
pub(super) struct OperatorServices {
    storage: Option<StorageThread>,
    pub(super) store_replies: Receiver<StoreReply>,
    management: Option<RunningServer>,
    /// Replaced servers that still answer the requests that they have read; each ends by its deadline.
    closing_servers: Vec<ClosingServer>,
    request_sender: Sender<PendingRequest>,
    pub(super) requests: Receiver<PendingRequest>,
    /// Clients that wait for a reply, by request ID.
    clients: BTreeMap<RequestId, oneshot::Sender<Reply>>,
    last_request_id: RequestId,
    log_format: LogFormatSwitch,
}

impl OperatorServices {
    /// Starts the services that the file configures. The folder of the storage thread cannot change until a restart.
    pub(super) fn start(
        controller: &str,
        file: Option<&OperatorsFile>,
        log_format: LogFormatSwitch,
    ) -> Result<Self, ServiceError> {
        let (reply_sender, store_replies) = channel(MAX_QUEUED_STORE_REPLIES);
        let (request_sender, requests) = channel(MAX_QUEUED_REQUESTS);
        let folder: Option<PathBuf> = file.and_then(|file| file.store_folder.clone());
        let storage = folder.map(|folder| {
            // Runs on the storage thread, so a full queue blocks only that thread.
            StorageThread::spawn(OverrideStore::new(folder), move |reply| {
                _ = reply_sender.blocking_send(reply);
            })
        });
        let mut services = OperatorServices {
            storage: storage.transpose().map_err(ServiceError::StorageThread)?,
            store_replies,
            management: None,
            closing_servers: Vec::new(),
            request_sender,
            requests,
            clients: BTreeMap::new(),
            last_request_id: 0,
            log_format,
        };
        services.reconfigure(controller, file)?;
        Ok(services)
    }

    /// Applies the options that may change at runtime: the log format and the management server.
    pub(super) fn reconfigure(
        &mut self,
        controller: &str,
        file: Option<&OperatorsFile>,
    ) -> Result<(), ServiceError> {
        let is_json = file.is_some_and(|file| file.log_format == whinwall_operator_config::LogFormat::Json);
        self.log_format.set(if is_json { LogFormat::Json } else { LogFormat::Text });
        match file.and_then(|file| file.management.clone()) {
            None => self.close_running_server(),
            Some(endpoint) if self.is_serving_socket(&endpoint) => {}
            Some(endpoint) => self.start_management(controller, endpoint)?,
        }
        Ok(())
    }

    /// Returns true if the server already listens on this Unix socket. A server on a TCP address is always
    /// restarted, as the contents of its token file may have changed.
    fn is_serving_socket(&self, endpoint: &ManagementEndpoint) -> bool {
        let is_same = self.management.as_ref().is_some_and(|server| server.endpoint == *endpoint);
        is_same && matches!(endpoint, ManagementEndpoint::Socket(_))
    }

    fn start_management(
        &mut self,
        controller: &str,
        endpoint: ManagementEndpoint,
    ) -> Result<(), ServiceError> {
        let listen_on = match endpoint.clone() {
            ManagementEndpoint::Socket(path) => server::ListenAddress::Socket(path),
            ManagementEndpoint::Address { address, token_file } => {
                let token = server::read_token(&token_file)?;
                server::ListenAddress::Address { address, token }
            }
        };
        self.close_running_server();
        let server =
            match ManagementServer::start(listen_on, controller.to_string(), self.request_sender.clone()) {
                Ok(server) => server,
                Err(source) => return Err(ServiceError::Management { endpoint, source }),
            };
        match (&endpoint, server.address()) {
            (ManagementEndpoint::Socket(path), _) => {
                tracing::info!(socket = %path.display(), "management API listening");
            }
            (_, Some(address)) => tracing::info!(%address, "management API listening"),
            (_, None) => {}
        }
        self.management = Some(RunningServer { endpoint, server });
        Ok(())
    }

    /// Closes the running server, if any, and waits until its address is released. The server still answers the
    /// requests that it has read.
    fn close_running_server(&mut self) {
        self.closing_servers.retain(|server| !server.is_closed());
        if let Some(replaced) = self.management.take() {
            let mut closing = replaced.server.close(Instant::now() + REPLACED_SERVER_TIMEOUT);
            closing.wait_until_address_released();
            self.closing_servers.push(closing);
        }
    }

    /// Announces in each further management response that its connection will be closed.
    pub(super) fn drain(&self) {
        if let Some(management) = &self.management {
            management.server.drain();
        }
    }

    /// Returns true if management clients wait for a reply.
    pub(super) fn has_waiting_clients(&self) -> bool {
        self.clients.values().any(|client| !client.is_closed())
    }

    /// Closes the management server; until the deadline, it answers the requests that it has read.
    pub(super) fn close_management(&mut self, deadline: Instant) -> ClosingServer {
        self.closing_servers.iter().for_each(|server| server.close_by(deadline));
        self.management.take().map_or_else(ClosingServer::default, |running| running.server.close(deadline))
    }

    /// Drops all waiting clients after a panic, which loses the reducer. The management server responds to them that
    /// the outcome of the request is unknown.
    pub(super) fn abandon_clients(&mut self) {
        self.clients.clear();
    }

    /// Drops all waiting clients, rejects the queued requests without executing them, and accepts no further requests.
    pub(super) fn reject_pending_requests(&mut self) {
        self.abandon_clients();
        self.requests.close();
        while let Ok(PendingRequest { reply_to, .. }) = self.requests.try_recv() {
            _ = reply_to.send(Reply::ShuttingDown);
        }
    }

    /// Requests all records from the storage thread, if there is one.
    pub(super) fn read_store(&self) {
        if let Some(storage) = &self.storage {
            // If the queue is full, it already contains such a request.
            _ = storage.request_open();
        }
    }

    pub(super) fn has_store(&self) -> bool {
        self.storage.is_some()
    }

    /// Sends a batch of writes to the storage thread. Returns false if it is not accepted; no reply follows then.
    pub(super) fn write_store(&self, serial: u64, batch: WriteBatch) -> bool {
        self.storage.as_ref().is_some_and(|storage| storage.request_write(serial, batch).is_ok())
    }

    /// Registers a client that waits for a reply, and returns its request ID.
    pub(super) fn register_client(&mut self, client: oneshot::Sender<Reply>) -> RequestId {
        self.clients.retain(|_, client| !client.is_closed());
        self.last_request_id += 1;
        self.clients.insert(self.last_request_id, client);
        self.last_request_id
    }

    pub(super) fn reply(&mut self, request_id: RequestId, reply: Reply) {
        if let Some(client) = self.clients.remove(&request_id) {
            // Fails if the client no longer waits.
            _ = client.send(reply);
        }
    }
}

impl Drop for OperatorServices {
    /// Answers the clients before the servers are dropped, which closes the connections.
    fn drop(&mut self) {
        self.reject_pending_requests();
    }
}
