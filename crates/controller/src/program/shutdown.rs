//! Graceful shutdown: no new relay requests, an outcome for the one in flight, replies to what has arrived.

use super::input::InputHandler;
use super::queues::InputQueues;
use actix_rt::time::sleep;
use tokio::time::{sleep_until, timeout_at, Instant};
use whinwall_runtime::signals::{Signal, Signals, Termination};
use whinwall_transport::{limits, Input};

/// Waits, for a bounded time, until the relay request in flight has its outcome: the successor reads the relay's store,
/// and must not miss what is carried out after that. Peers that have sent something by now get their replies.
pub(super) async fn drain(
    input: &mut InputHandler<'_>,
    queues: &mut InputQueues,
    signals: &mut Signals,
    termination: Termination,
) {
    let requests_in_flight = u8::from(input.dispatcher.relay.has_request_in_flight());
    tracing::info!(signal = termination.signal, requests_in_flight, "shutting down");
    input.dispatcher.relay.stop();
    let deadline = Instant::now() + limits::SHUTDOWN_TIMEOUT;
    loop {
        let idle = timeout_at(deadline, sleep(limits::SHUTDOWN_QUIET_PERIOD));
        tokio::select! {
            biased;
            signal = signals.next() => match signal {
                Signal::Terminate(second) => {
                    tracing::info!(signal = second.signal, "second signal, shutting down at once");
                    return;
                }
                Signal::Reload => {}
            },
            () = sleep_until(deadline) => return,
            Some(message) = queues.peers.recv() => {
                let is_relay_response = matches!(message, Input::RelayResponse(_));
                input.receive(message);
                if is_relay_response {
                    tracing::info!("relay request in flight has its outcome");
                }
            }
            Some(message) = queues.collectors.recv() => input.receive(message),
            Some(batch) = queues.batches.recv() => input.receive_batch(batch),
            _ = idle, if !input.dispatcher.relay.has_request_in_flight() => return,
        }
    }
}
