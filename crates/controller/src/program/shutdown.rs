//! Graceful shutdown: no new relay requests, an outcome for the one in flight, and an answer to all that was read.

use super::input::InputHandler;
use super::queues::InputQueues;
use actix_rt::time::sleep;
use std::future::Future;
use tokio::time::{sleep_until, Instant};
use whinwall_runtime::signals::{Signal, Signals, Termination};
use whinwall_serving::shutdown::{RunningConnections, ShutdownTrigger};
use whinwall_transport::{limits, Input};

/// The end of the connections to the program's own address.
pub(super) struct ConnectionsEnd {
    pub(super) trigger: ShutdownTrigger,
    pub(super) running: RunningConnections,
}

/// What a stage of the shutdown has waited for.
enum Waited {
    Signal,
    Input,
    Over,
}

/// Waits, for a bounded time, until the relay request in flight has its outcome: the successor reads the relay's store,
/// and must not miss what is carried out after that. Then closes all connections, which answer what was read. Further
/// signals change nothing: the end comes in time without them, and at once it would cost answers.
pub(super) async fn shut_down(
    input: &mut InputHandler<'_>,
    queues: &mut InputQueues,
    signals: &mut Signals,
    termination: Termination,
    connections: &mut ConnectionsEnd,
) {
    let requests_in_flight = u8::from(input.dispatcher.relay.has_request_in_flight());
    tracing::info!(signal = termination.signal, requests_in_flight, "shutting down");
    input.dispatcher.relay.stop();
    input.dispatcher.services.drain();
    let deadline = Instant::now() + limits::SHUTDOWN_TIMEOUT;
    loop {
        let has_outcomes =
            !input.dispatcher.relay.has_request_in_flight() && !input.dispatcher.services.has_clients();
        let over = async {
            tokio::select! {
                () = sleep(limits::SHUTDOWN_QUIET_PERIOD), if has_outcomes => {}
                () = sleep_until(deadline) => {}
            }
        };
        if let Waited::Over = serve_until(input, queues, signals, over).await {
            break;
        }
    }
    close(input, queues, signals, connections).await;
}

/// Closes all connections, and serves what they have read until they have ended, or for a bounded time.
async fn close(
    input: &mut InputHandler<'_>,
    queues: &mut InputQueues,
    signals: &mut Signals,
    connections: &mut ConnectionsEnd,
) {
    let deadline = Instant::now() + limits::CLOSE_TIMEOUT;
    connections.trigger.close(deadline);
    let mut management = input.dispatcher.services.close_management(deadline);
    loop {
        let ended = async {
            connections.running.ended().await;
            management.wait_until_closed().await;
        };
        let over = async { _ = tokio::time::timeout_at(deadline, ended).await };
        if let Waited::Over = serve_until(input, queues, signals, over).await {
            break;
        }
    }
    // Whoever has no reply by now learns it before its connection ends.
    input.dispatcher.services.reject_waiting();
    drop(management);
}

/// Handles one input, whatever comes first: it, a signal or the end of the stage.
async fn serve_until(
    input: &mut InputHandler<'_>,
    queues: &mut InputQueues,
    signals: &mut Signals,
    over: impl Future<Output = ()>,
) -> Waited {
    let waited = tokio::select! {
        biased;
        signal = signals.next() => {
            if let Signal::Terminate(further) = signal {
                tracing::info!(signal = further.signal, "further signal, already shutting down");
            }
            Waited::Signal
        }
        Some(reply) = input.dispatcher.services.store_replies.recv() => {
            input.receive_store_reply(reply);
            Waited::Input
        }
        Some(message) = queues.peers.recv() => {
            let is_relay_response = matches!(message, Input::RelayResponse(_));
            input.receive(message);
            if is_relay_response {
                tracing::info!("relay request in flight has its outcome");
            }
            Waited::Input
        }
        Some(request) = input.dispatcher.services.requests.recv() => {
            input.receive_management_request(request);
            Waited::Input
        }
        Some(message) = queues.collectors.recv() => {
            input.receive(message);
            Waited::Input
        }
        Some(batch) = queues.batches.recv() => {
            input.receive_batch(batch);
            Waited::Input
        }
        () = over => Waited::Over,
    };
    // A connection closes once nobody can send it a reply any more.
    input.dispatcher.begin_iteration();
    waited
}
