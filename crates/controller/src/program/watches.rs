//! The watches of the relay and of discovery. Each attempt has a number, so that messages of a former one are dropped.

use std::net::SocketAddr;
use whinwall_protocol::{discovery, relay};
use whinwall_runtime::task::Task;
use whinwall_transport::{registry_watch, relay_watch, InputSender, WatchId};

/// An attempt to watch; its task ends with it.
struct Watch {
    id: WatchId,
    _task: Task,
}

/// The watches that are open.
pub(super) struct Watches {
    inbox: InputSender,
    client: awc::Client,
    last_id: WatchId,
    relay: Option<Watch>,
    registry: Option<Watch>,
    /// A registry watch beside the current one, which goes on until the new one delivers a message.
    renewed_registry: Option<Watch>,
}

impl Watches {
    /// None is open; their messages go to the inbox.
    pub(super) fn new(inbox: InputSender) -> Self {
        // The watch has time-outs of its own.
        let client = awc::Client::builder().disable_timeout().finish();
        Watches { inbox, client, last_id: 0, relay: None, registry: None, renewed_registry: None }
    }

    /// Opens a watch of the relay in place of a former one.
    pub(super) fn watch_relay(&mut self, address: SocketAddr) {
        let id = self.next_id();
        let task = Task::spawn(relay_watch::follow(id, address, relay::WATCH_REQUEST, self.inbox.clone()));
        self.relay = Some(Watch { id, _task: task });
    }

    /// Opens a watch of discovery in place of former ones.
    pub(super) fn watch_registry(&mut self, address: SocketAddr, since: u64) {
        self.renewed_registry = None;
        self.registry = Some(self.open_registry_watch(address, since));
    }

    /// Opens a watch of discovery beside the current one.
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

    /// The renewed registry watch replaces the current one, if it is this one.
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
