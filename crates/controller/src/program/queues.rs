//! The input queues of the event loop.

use super::input::InputHandler;
use super::reader::ReportBatch;
use super::reader_pool::MAX_QUEUED_BATCHES;
use super::services::MAX_QUEUED_REQUESTS;
use tokio::sync::mpsc::Receiver;
use whinwall_transport::{limits, Input};

/// Input from other processes and from the readers. Collectors have a separate queue, so that a burst of reports
/// delays neither the relay nor discovery.
pub(super) struct InputQueues {
    /// Input from the relay and from discovery.
    pub(super) peers: Receiver<Input>,
    /// Lines from collectors if they are read on this thread, and in any case the ends of their connections.
    pub(super) collectors: Receiver<Input>,
    /// Batches from the reader pool, if there is one.
    pub(super) batches: Receiver<ReportBatch>,
}

impl InputQueues {
    /// Handles queued input without blocking. At most the capacity of each queue is handled; input beyond that is
    /// left for the next iteration.
    pub(super) fn drain_into(&mut self, input: &mut InputHandler) {
        for queue in [&mut self.peers, &mut self.collectors] {
            for _ in 0..limits::MAX_QUEUED_INPUTS {
                let Ok(message) = queue.try_recv() else { break };
                input.receive_input(message);
            }
        }
        for _ in 0..MAX_QUEUED_BATCHES {
            let Ok(batch) = self.batches.try_recv() else { break };
            input.receive_batch(batch);
        }
        drain_services(input);
    }
}

fn drain_services(input: &mut InputHandler) {
    while let Ok(reply) = input.dispatcher.services.store_replies.try_recv() {
        input.receive_store_reply(reply);
    }
    for _ in 0..MAX_QUEUED_REQUESTS {
        let Ok(request) = input.dispatcher.services.requests.try_recv() else { return };
        input.receive_management_request(request);
    }
}
