//! What the operators' file switches on: the storage thread of overrides and the management server, each on a thread of
//! its own, and the clients that wait for a reply of the controller.

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

/// Management requests that may wait for the event loop; further ones are rejected and may be retried.
pub(super) const REQUEST_QUEUE: usize = 64;
/// Replies of the storage thread that may wait for the event loop; there is one write at a time.
const STORE_REPLY_QUEUE: usize = 16;

/// How long a management server that is replaced may take to answer what it has read.
const REPLACED_SERVER_TIMEOUT: Duration = Duration::from_secs(6);

/// Why a service cannot be started; its text is shown to the operator.
#[derive(Debug, thiserror::Error)]
pub(super) enum ServiceError {
    #[error("keeper: {0}")]
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
    /// Former servers, which still answer what they have read; each ends by its deadline.
    closing_servers: Vec<ClosingServer>,
    request_sender: Sender<PendingRequest>,
    pub(super) requests: Receiver<PendingRequest>,
    /// Clients that wait for a reply, by request_id.
    clients: BTreeMap<RequestId, oneshot::Sender<Reply>>,
    last_request_id: RequestId,
    log_format: LogFormatSwitch,
}

impl OperatorServices {
    /// Starts what the file asks for. The storage thread keeps its folder as long as the program runs.
    pub(super) fn start(
        controller: &str,
        file: Option<&OperatorsFile>,
        log_format: LogFormatSwitch,
    ) -> Result<Self, ServiceError> {
        let (reply_sender, store_replies) = channel(STORE_REPLY_QUEUE);
        let (request_sender, requests) = channel(REQUEST_QUEUE);
        let folder: Option<PathBuf> = file.and_then(|file| file.store_folder.clone());
        let storage = folder.map(|folder| {
            // Called on the storage thread, which alone waits where the event loop is slow.
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

    /// Applies what may change while the program runs: the format of the log and the management server.
    pub(super) fn reconfigure(
        &mut self,
        controller: &str,
        file: Option<&OperatorsFile>,
    ) -> Result<(), ServiceError> {
        let wants_json =
            file.is_some_and(|file| file.log_format == whinwall_operator_config::LogFormat::Json);
        self.log_format.set(if wants_json { LogFormat::Json } else { LogFormat::Text });
        match file.and_then(|file| file.management.clone()) {
            None => self.replace_management(),
            Some(endpoint) if self.is_serving_socket(&endpoint) => {}
            Some(endpoint) => self.start_management(controller, endpoint)?,
        }
        Ok(())
    }

    /// Whether the server is on this socket already. A server on an address is always restarted, as its token may have
    /// changed in the same file.
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
        self.replace_management();
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

    /// Frees the address of the server, which goes on to answer what it has read.
    fn replace_management(&mut self) {
        self.closing_servers.retain(|server| !server.is_closed());
        if let Some(former) = self.management.take() {
            let mut end = former.server.close(Instant::now() + REPLACED_SERVER_TIMEOUT);
            end.wait_until_address_released();
            self.closing_servers.push(end);
        }
    }

    /// Has each management response say that its connection ends.
    pub(super) fn drain(&self) {
        if let Some(management) = &self.management {
            management.server.drain();
        }
    }

    /// Whether management clients wait for a reply.
    pub(super) fn has_clients(&self) -> bool {
        self.clients.values().any(|client| !client.is_closed())
    }

    /// Closes the management server; it answers what it has read until the deadline.
    pub(super) fn close_management(&mut self, deadline: Instant) -> ClosingServer {
        self.closing_servers.iter().for_each(|server| server.close_by(deadline));
        self.management.take().map_or_else(ClosingServer::default, |running| running.server.close(deadline))
    }

    /// Answers the clients of a reducer that is gone: whether their requests were carried out is not known.
    pub(super) fn abandon_clients(&mut self) {
        self.clients.clear();
    }

    /// Answers all clients that wait, and takes no requests from now on: those in the queue are not carried out.
    pub(super) fn reject_waiting(&mut self) {
        self.abandon_clients();
        self.requests.close();
        while let Ok(PendingRequest { reply_to, .. }) = self.requests.try_recv() {
            _ = reply_to.send(Reply::ShuttingDown);
        }
    }

    /// Asks the storage thread for all records, where there is one.
    pub(super) fn read_store(&self) {
        if let Some(storage) = &self.storage {
            // A full queue holds a request already.
            _ = storage.request_open();
        }
    }

    pub(super) fn has_store(&self) -> bool {
        self.storage.is_some()
    }

    /// Hands a batch of writes to the storage thread; false where it takes none, and no reply follows.
    pub(super) fn write_store(&self, serial: u64, batch: WriteBatch) -> bool {
        self.storage.as_ref().is_some_and(|storage| storage.request_write(serial, batch).is_ok())
    }

    /// Keeps a client until the reply for its request_id.
    pub(super) fn register_client(&mut self, client: oneshot::Sender<Reply>) -> RequestId {
        self.clients.retain(|_, client| !client.is_closed());
        self.last_request_id += 1;
        self.clients.insert(self.last_request_id, client);
        self.last_request_id
    }

    pub(super) fn reply(&mut self, request_id: RequestId, reply: Reply) {
        if let Some(client) = self.clients.remove(&request_id) {
            // A client that has stopped waiting loses the reply.
            _ = client.send(reply);
        }
    }
}

impl Drop for OperatorServices {
    /// Clients get their answer before their connections end with the servers, which are dropped next.
    fn drop(&mut self) {
        self.reject_waiting();
    }
}
