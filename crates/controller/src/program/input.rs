//! Decodes input from peers, readers, the storage thread and management clients into events and applies them to the
//! reducer.

use super::effects::Dispatcher;
use super::metrics::{self, ChannelMetrics, ReaderMetrics, ReportMetrics};
use super::reader::{BatchItem, ReportBatch};
use super::reader_pool::{PoolEvent, ReaderPool};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use whinwall_ingest::reorder::ReadyChunks;
use whinwall_management_api::messages::{Reply, Request};
use whinwall_management_api::server::PendingRequest;
use whinwall_override_store::storage_thread::StoreReply;
use whinwall_overrides::SaveError;
use whinwall_policy::time::Moment;
use whinwall_protocol::{collector, discovery, relay, DecodeError};
use whinwall_routing::Event;
use whinwall_runtime::clock::Clock;
use whinwall_transport::{
    limits, Cause, ConnectionCommand, ConnectionId, Input, RequestError, StreamError, WatchId,
};

/// Time between two checks of the reader threads.
pub(super) const READER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The reader pool and its metrics; used if reports are not read on the event loop thread.
pub(super) struct Readers {
    pub(super) pool: Rc<RefCell<ReaderPool>>,
    pub(super) metrics: Arc<ReaderMetrics>,
}

/// Decodes all input of the event loop and applies it to the reducer.
pub(super) struct InputHandler<'a> {
    pub(super) dispatcher: Dispatcher<'a>,
    readers: Option<Readers>,
    readers_checked_at: Moment,
    /// Number of bytes received from collectors in the current iteration.
    received_bytes: u64,
}

fn malformed_line(error: &DecodeError) -> StreamError {
    StreamError::Unreadable(Cause::new(error.clone()))
}

impl<'a> InputHandler<'a> {
    pub(super) fn new(dispatcher: Dispatcher<'a>, readers: Option<Readers>) -> Self {
        let readers_checked_at = dispatcher.clock.now();
        InputHandler { dispatcher, readers, readers_checked_at, received_bytes: 0 }
    }

    pub(super) fn has_readers(&self) -> bool {
        self.readers.is_some()
    }

    /// Handles one input from a peer.
    pub(super) fn receive_input(&mut self, input: Input) {
        let event = match input {
            Input::Line { from, line, commands, .. } => Some(self.decode_line(from, &line, commands)),
            Input::Disconnected(id, chunk_count) => self.end_connection(id, chunk_count),
            Input::WatchLine(id, line) => self.decode_relay_event(id, line),
            Input::RegistryLine(id, line) => self.decode_registry_message(id, line),
            Input::RelayResponse(outcome) => Some(self.decode_relay_response(outcome)),
            Input::UnsolicitedResponse => Some(Event::UnsolicitedResponse),
        };
        if let Some(event) = event {
            self.dispatcher.apply(event);
        }
    }

    fn decode_line(
        &mut self,
        from: ConnectionId,
        line: &str,
        commands: tokio::sync::mpsc::Sender<ConnectionCommand>,
    ) -> Event {
        tracing::debug!(connection = from, line, "line from a collector");
        self.received_bytes += line.len() as u64 + 1;
        self.dispatcher.set_connection(from, commands);
        match collector::decode(line) {
            Ok(message) => Event::Message { from, message },
            Err(error) => Event::InvalidMessage { from, error },
        }
    }

    /// Handles the end of a connection. With a reader pool, the reducer is notified only after all chunks of the
    /// connection are applied.
    fn end_connection(&mut self, id: ConnectionId, chunk_count: u64) -> Option<Event> {
        let Some(readers) = &self.readers else { return Some(Event::Disconnected(id)) };
        let ready = readers.pool.borrow_mut().end_connection(self.dispatcher.clock.now(), id, chunk_count);
        self.apply_ready(id, ready);
        None
    }

    fn decode_relay_event(&mut self, id: WatchId, line: Result<String, StreamError>) -> Option<Event> {
        if !self.dispatcher.watches.is_current_relay_watch(id) {
            return None;
        }
        let line = match line {
            Ok(line) => line,
            Err(error) => return Some(Event::RelayWatchLost(error)),
        };
        Some(match relay::decode_event(&line) {
            Ok(event) => {
                tracing::debug!(event = line, "relay event");
                Event::Relay(event)
            }
            Err(error) => {
                self.dispatcher.watches.close_relay_watch();
                Event::RelayWatchLost(malformed_line(&error))
            }
        })
    }

    fn decode_registry_message(&mut self, id: WatchId, line: Result<String, StreamError>) -> Option<Event> {
        if line.is_ok() {
            self.dispatcher.watches.promote_renewed_registry_watch(id);
        }
        if !self.dispatcher.watches.is_current_registry_watch(id) {
            return None;
        }
        let line = match line {
            Ok(line) => line,
            Err(error) => return Some(Event::EndpointListWatchLost(error)),
        };
        match discovery::decode(&line) {
            Ok(heartbeat_or_list) => {
                let list = heartbeat_or_list?;
                let entries = list.entries.len();
                tracing::debug!(version = list.version, entries, "endpoint list");
                Some(Event::EndpointListReceived(list))
            }
            Err(error) => {
                self.dispatcher.watches.close_registry_watch();
                Some(Event::EndpointListWatchLost(malformed_line(&error)))
            }
        }
    }

    fn decode_relay_response(&mut self, outcome: Result<String, RequestError>) -> Event {
        tracing::debug!(?outcome, "relay response");
        self.dispatcher.relay.complete_request();
        let decode = |line: String| {
            relay::decode_response(&line)
                .map_err(|error| RequestError::OutcomeUnknown(malformed_line(&error)))
        };
        Event::RelayResponse(outcome.and_then(decode))
    }

    /// Handles the batch of one chunk, together with later batches of the connection that waited for it.
    pub(super) fn receive_batch(&mut self, batch: ReportBatch) {
        let Some(readers) = &self.readers else { return };
        let from = batch.info.from;
        let ready = readers.pool.borrow_mut().accept_batch(self.dispatcher.clock.now(), batch);
        self.apply_ready(from, ready);
    }

    fn apply_ready(&mut self, from: ConnectionId, ready: ReadyChunks<ReportBatch>) {
        for batch in ready.chunks {
            let info = batch.info;
            tracing::debug!(connection = from, chunk = info.number, reader = batch.reader, "chunk decoded");
            self.received_bytes += info.bytes as u64;
            self.dispatcher.set_connection(from, batch.commands);
            for item in batch.items {
                let event = self.event_of_batch_item(from, item);
                self.dispatcher.apply(event);
            }
            if let Some(readers) = &self.readers {
                readers.metrics.observe_report_lag(info.received_at.elapsed());
            }
        }
        if ready.is_ended {
            self.dispatcher.apply(Event::Disconnected(from));
        }
    }

    fn event_of_batch_item(&self, from: ConnectionId, item: BatchItem) -> Event {
        match item {
            BatchItem::Reports(reports) => Event::Reports { from, reports },
            BatchItem::Message(message) => Event::Message { from, message },
            BatchItem::Invalid(error) => Event::InvalidMessage { from, error },
            BatchItem::Panicked => {
                tracing::error!(connection = from, "panic while decoding a chunk, connection closed");
                self.dispatcher.send_command(from, ConnectionCommand::Close(None));
                Event::Disconnected(from)
            }
        }
    }

    /// Publishes changed report names to the readers, and checks the readers every [`READER_CHECK_INTERVAL`].
    pub(super) fn supervise_readers(&mut self) {
        let Some(readers) = &self.readers else { return };
        let version = readers.pool.borrow().names_version();
        if let Some(names) = self.dispatcher.reducer.report_names(Some(version)) {
            readers.pool.borrow().publish_names(names);
        }
        let now = self.dispatcher.clock.now();
        if now - self.readers_checked_at < limits::to_span(READER_CHECK_INTERVAL) {
            return;
        }
        self.readers_checked_at = now;
        let events = readers.pool.borrow_mut().supervise(now);
        for event in events {
            self.handle_pool_event(event);
        }
    }

    fn handle_pool_event(&mut self, event: PoolEvent) {
        match event {
            PoolEvent::ReaderStalled { reader, connections } => {
                tracing::warn!(reader, connections, "reader stalled, closing its connections");
            }
            PoolEvent::ReaderDied { reader, connections } => {
                tracing::warn!(reader, connections, "reader thread terminated, closing its connections");
            }
            PoolEvent::ReaderRestarted { reader } => tracing::warn!(reader, "reader restarted"),
            PoolEvent::ReaderNotRestarted { reader, error } => {
                tracing::warn!(reader, %error, "failed to restart reader");
            }
            PoolEvent::ChunksOverdue { connections } => {
                tracing::warn!(connections, "chunks held by a stopped reader, closing their connections");
            }
            PoolEvent::ConnectionsLost(ids) => {
                for id in ids {
                    self.dispatcher.apply(Event::Disconnected(id));
                }
            }
        }
    }

    /// Passes the number of received bytes to the reducer, once per iteration instead of with each line.
    pub(super) fn report_received_bytes(&mut self) {
        let bytes = std::mem::take(&mut self.received_bytes);
        if bytes > 0 {
            self.dispatcher.apply(Event::ReportBytes(bytes));
        }
    }

    /// Handles a reply of the storage thread.
    pub(super) fn receive_store_reply(&mut self, reply: StoreReply) {
        let event = match reply {
            StoreReply::Opened(contents) => {
                if let Some(set_aside) = contents.set_aside {
                    let path = set_aside.path.display();
                    tracing::error!(%path, reason = %set_aside.reason, "override store file is corrupt, set aside");
                }
                let (records, stamp) = (contents.records, contents.stamp);
                Event::StoreRead { records, stamp, reading: Clock::read_machine_clocks() }
            }
            StoreReply::Unavailable(error) => Event::StoreUnavailable(error.to_string()),
            StoreReply::Written { serial, outcome } => Event::SaveCompleted {
                serial,
                outcome: outcome.map_err(|error| SaveError::new(error.to_string())),
            },
        };
        self.dispatcher.apply(event);
    }

    /// Handles a request of a management client.
    pub(super) fn receive_management_request(&mut self, pending: PendingRequest) {
        let PendingRequest { request, reply_to } = pending;
        let request_id = self.dispatcher.services.register_client(reply_to);
        tracing::debug!(?request, "management request");
        match request {
            Request::Metrics => {
                let text = self.encode_metrics();
                self.dispatcher.services.reply(request_id, Reply::Metrics(text));
            }
            request => self.dispatcher.apply(Event::ManagementRequest { request_id, request }),
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    fn encode_metrics(&self) -> String {
        let readers = self.readers.as_ref().map(|readers| &*readers.metrics);
        let reducer = &self.dispatcher.reducer;
        let measured_load = reducer.total_measured_load();
        let freshness = reducer.report_freshness(self.dispatcher.clock.now());
        let reports = freshness.map(|freshness| ReportMetrics { freshness, measured_load });
        let channel = ChannelMetrics { load: reducer.channel_load(), requests: reducer.request_counts() };
        metrics::encode(readers, reports.as_ref(), Some(&channel))
    }
}
