//! The watches of the relay and of discovery. Each watch has an ID, so that messages of replaced watches can be
//! dropped.

use std::net::SocketAddr;
use whinwall_protocol::{discovery, relay};
use whinwall_runtime::task::Task;
use whinwall_transport::{registry_watch, relay_watch, InputSender, WatchId};

/// An open watch. Dropping it ends its task.
struct Watch {
    id: WatchId,
    _task: Task,
}

/// The open watches.
pub(super) struct Watches {
    inbox: InputSender,
    client: awc::Client,
    last_id: WatchId,
    relay: Option<Watch>,
    registry: Option<Watch>,
    /// A second registry watch. The current one stays open until this one delivers a message and replaces it.
    renewed_registry: Option<Watch>,
}

impl Watches {
    /// Creates the set of watches with none open. Their messages are sent to `inbox`.
    pub(super) fn new(inbox: InputSender) -> Self {
        // The watch implements its own time-outs.
        let client = awc::Client::builder().disable_timeout().finish();
        Watches { inbox, client, last_id: 0, relay: None, registry: None, renewed_registry: None }
    }

    /// Opens a watch of the relay, which replaces the current one.
    pub(super) fn watch_relay(&mut self, address: SocketAddr) {
        let id = self.next_id();
        let task = Task::spawn(relay_watch::follow(id, address, relay::WATCH_REQUEST, self.inbox.clone()));
        self.relay = Some(Watch { id, _task: task });
    }

    /// Opens a watch of discovery, which replaces the current ones.
    pub(super) fn watch_registry(&mut self, address: SocketAddr, since: u64) {
        self.renewed_registry = None;
        self.registry = Some(self.open_registry_watch(address, since));
    }

    /// Opens a second watch of discovery while the current one stays open.
    pub(super) fn renew_registry_watch(&mut self, address: SocketAddr, since: u64) {
        self.renewed_registry = Some(self.open_registry_watch(address, since));
    }

    fn open_registry_watch(&mut self, address: SocketAddr, since: u64) -> Watch {
        let id = self.next_id();
        let url = format!("http://{address}{}", discovery::watch_path(since));
        let task = Task::spawn(registry_watch::follow(id, self.client.clone(), url, self.inbox.clone()));
        Watch { id, _task: task }
    }

    fn next_id(&mut self) -> WatchId {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn is_current_relay_watch(&self, id: WatchId) -> bool {
        self.relay.as_ref().is_some_and(|watch| watch.id == id)
    }

    pub(super) fn is_current_registry_watch(&self, id: WatchId) -> bool {
        self.registry.as_ref().is_some_and(|watch| watch.id == id)
    }

    /// Makes the renewed registry watch the current one if it has this ID.
    pub(super) fn promote_renewed_registry_watch(&mut self, id: WatchId) {
        if self.renewed_registry.as_ref().is_some_and(|watch| watch.id == id) {
            self.registry = self.renewed_registry.take();
        }
    }

    pub(super) fn close_relay_watch(&mut self) {
        self.relay = None;
    }

    pub(super) fn close_registry_watch(&mut self) {
        self.registry = None;
    }
}
