//! The event loop: waits for signals (SIGTERM and SIGINT end the program, SIGHUP reloads the configuration), input and
//! timers, and applies the resulting events to the reducer.

use super::configuration::ControllerConfig;
use super::effects::Dispatcher;
use super::input::{InputHandler, READER_CHECK_INTERVAL};
use super::queues::InputQueues;
use super::reload::Reloader;
use super::shutdown::{shut_down, ConnectionsShutdown};
use actix_rt::time::sleep;
use std::time::Duration;
use whinwall_overrides::WallClockMonitor;
use whinwall_routing::Event;
use whinwall_runtime::clock::Clock;
use whinwall_runtime::signals::{Signal, Signals, Termination};
use whinwall_transport::limits;

/// Maximum time between two iterations of the event loop, regardless of the reducer's wake-up time.
const MAX_SLEEP_DURATION: Duration = Duration::from_secs(1);

/// Runs the event loop until a termination signal, then shuts down gracefully.
pub(super) async fn run_event_loop(
    config: &mut ControllerConfig,
    input: &mut InputHandler<'_>,
    queues: &mut InputQueues,
    signals: &mut Signals,
    connections: &mut ConnectionsShutdown,
) -> Termination {
    let mut reloader = Reloader::default();
    let mut wall_clock_monitor = WallClockMonitor::default();
    loop {
        input.dispatcher.clear_wake_at();
        check_wall_clock(&mut wall_clock_monitor, &mut input.dispatcher);
        input.supervise_readers();
        reloader.retry(config, &mut input.dispatcher);
        input.report_received_bytes();
        input.dispatcher.apply(Event::InputDrained);
        input.dispatcher.begin_iteration();
        let wait = sleep_duration(input, &reloader);
        tokio::select! {
            biased;
            signal = signals.next() => match signal {
                Signal::Terminate(termination) => {
                    shut_down(input, queues, signals, termination, connections).await;
                    return termination;
                }
                Signal::Reload => reloader.reload(config, &mut input.dispatcher),
            },
            Some(reply) = input.dispatcher.services.store_replies.recv() => input.receive_store_reply(reply),
            Some(request) = input.dispatcher.services.requests.recv() => {
                input.receive_management_request(request);
            }
            Some(message) = queues.peers.recv() => input.receive_input(message),
            Some(message) = queues.collectors.recv() => input.receive_input(message),
            Some(batch) = queues.batches.recv() => input.receive_batch(batch),
            () = sleep(wait) => {}
        }
        queues.drain_into(input);
    }
}

fn check_wall_clock(monitor: &mut WallClockMonitor, dispatcher: &mut Dispatcher) {
    let (now, wall_time) = (dispatcher.clock.now(), Clock::wall_time());
    if monitor.has_stepped(now, wall_time) {
        tracing::warn!("wall clock stepped");
        dispatcher.apply(Event::WallClockStepped(wall_time));
    }
}

/// Returns the maximum time to wait for input: the time until the reducer's wake-up time, but not longer than the
/// interval at which a failed reload is retried or the readers are checked.
fn sleep_duration(input: &InputHandler, reloader: &Reloader) -> Duration {
    let max_sleep = if reloader.has_retry() {
        limits::RETRY_BACKOFF
    } else if input.has_readers() {
        READER_CHECK_INTERVAL
    } else {
        MAX_SLEEP_DURATION
    };
    let wake_at = input.dispatcher.wake_at();
    wake_at.map_or(max_sleep, |at| input.dispatcher.clock.duration_until(at).min(max_sleep))
}
