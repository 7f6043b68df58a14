//! The queues that the event loop reads.

use super::input::InputHandler;
use super::reader::ReportBatch;
use super::reader_pool::BATCH_QUEUE;
use super::services::REQUEST_QUEUE;
use tokio::sync::mpsc::Receiver;
use whinwall_transport::{limits, Input};

/// What arrives from other processes and from the readers. Collectors have a queue of their own, so that a flood of
/// theirs delays neither the relay nor discovery.
pub(super) struct InputQueues {
    /// From the relay and from discovery.
    pub(super) peers: Receiver<Input>,
    /// From collectors, where they are read on this thread, and the ends of their connections.
    pub(super) collectors: Receiver<Input>,
    /// From the readers, where there are some.
    pub(super) batches: Receiver<ReportBatch>,
}

impl InputQueues {
    /// Takes what has arrived, of each queue no more than it holds at once: the rest is for the next iteration.
    pub(super) fn drain_into(&mut self, input: &mut InputHandler) {
        for queue in [&mut self.peers, &mut self.collectors] {
            for _ in 0..limits::MAX_QUEUED_INPUTS {
                let Ok(message) = queue.try_recv() else { break };
                input.receive(message);
            }
        }
        for _ in 0..BATCH_QUEUE {
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
    for _ in 0..REQUEST_QUEUE {
        let Ok(request) = input.dispatcher.services.requests.try_recv() else { return };
        input.receive_management_request(request);
    }
}
