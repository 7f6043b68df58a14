//! Graceful shutdown: sends no new relay requests, waits for the outcome of the request in flight, and answers all
//! input that was read.

use super::input::InputHandler;
use super::queues::InputQueues;
use actix_rt::time::sleep;
use std::future::Future;
use tokio::time::{sleep_until, Instant};
use whinwall_runtime::signals::{Signal, Signals, Termination};
use whinwall_serving::shutdown::{RunningConnections, ShutdownTrigger};
use whinwall_transport::{limits, Input};

/// Closes the connections accepted by the listener, and tracks those that are still open.
pub(super) struct ConnectionsShutdown {
    pub(super) trigger: ShutdownTrigger,
    pub(super) running: RunningConnections,
}

/// The event that ended a wait during the shutdown.
enum WaitOutcome {
    Signal,
    Input,
    StageEnded,
}

/// Waits for the outcome of the relay request in flight, up to [`limits::SHUTDOWN_TIMEOUT`]: the successor process
/// reads the relay's store and would miss a command that is applied after that. Then closes all connections, which
/// answer the input that was read. Further signals are ignored: the time limits apply anyway, and an immediate exit
/// would lose responses.
pub(super) async fn shut_down(
    input: &mut InputHandler<'_>,
    queues: &mut InputQueues,
    signals: &mut Signals,
    termination: Termination,
    connections: &mut ConnectionsShutdown,
) {
    let requests_in_flight = u8::from(input.dispatcher.relay.has_request_in_flight());
    tracing::info!(signal = termination.signal, requests_in_flight, "shutting down");
    input.dispatcher.relay.stop();
    input.dispatcher.services.drain();
    let deadline = Instant::now() + limits::SHUTDOWN_TIMEOUT;
    loop {
        let is_idle = !input.dispatcher.relay.has_request_in_flight()
            && !input.dispatcher.services.has_waiting_clients();
        let stage_end = async {
            tokio::select! {
                () = sleep(limits::SHUTDOWN_QUIET_PERIOD), if is_idle => {}
                () = sleep_until(deadline) => {}
            }
        };
        if let WaitOutcome::StageEnded = serve_until(input, queues, signals, stage_end).await {
            break;
        }
    }
    close_connections(input, queues, signals, connections).await;
}

/// Closes all connections, and handles the input that they have read until they have ended, up to
/// [`limits::CLOSE_TIMEOUT`].
async fn close_connections(
    input: &mut InputHandler<'_>,
    queues: &mut InputQueues,
    signals: &mut Signals,
    connections: &mut ConnectionsShutdown,
) {
    let deadline = Instant::now() + limits::CLOSE_TIMEOUT;
    connections.trigger.close(deadline);
    let mut management = input.dispatcher.services.close_management(deadline);
    loop {
        let ended = async {
            connections.running.ended().await;
            management.wait_until_closed().await;
        };
        let stage_end = async { _ = tokio::time::timeout_at(deadline, ended).await };
        if let WaitOutcome::StageEnded = serve_until(input, queues, signals, stage_end).await {
            break;
        }
    }
    // Clients without a reply are answered before their connections are closed.
    input.dispatcher.services.reject_pending_requests();
    drop(management);
}

/// Waits for the next signal, input or the end of the stage, whichever comes first, and handles it.
async fn serve_until(
    input: &mut InputHandler<'_>,
    queues: &mut InputQueues,
    signals: &mut Signals,
    stage_end: impl Future<Output = ()>,
) -> WaitOutcome {
    let outcome = tokio::select! {
        biased;
        signal = signals.next() => {
            if let Signal::Terminate(further) = signal {
                tracing::info!(signal = further.signal, "further signal, already shutting down");
            }
            WaitOutcome::Signal
        }
        Some(reply) = input.dispatcher.services.store_replies.recv() => {
            input.receive_store_reply(reply);
            WaitOutcome::Input
        }
        Some(message) = queues.peers.recv() => {
            let is_relay_response = matches!(message, Input::RelayResponse(_));
            input.receive_input(message);
            if is_relay_response {
                tracing::info!("relay request in flight completed");
            }
            WaitOutcome::Input
        }
        Some(request) = input.dispatcher.services.requests.recv() => {
            input.receive_management_request(request);
            WaitOutcome::Input
        }
        Some(message) = queues.collectors.recv() => {
            input.receive_input(message);
            WaitOutcome::Input
        }
        Some(batch) = queues.batches.recv() => {
            input.receive_batch(batch);
            WaitOutcome::Input
        }
        () = stage_end => WaitOutcome::StageEnded,
    };
    // A connection closes when all its command senders are dropped; `begin_iteration` drops those of this iteration.
    input.dispatcher.begin_iteration();
    outcome
}
