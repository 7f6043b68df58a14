//! One incarnation of the controller: its tasks, and the event loop that runs until a signal ends it. A panic ends an
//! incarnation too, and all its tasks with it.

use super::configuration::ControllerConfig;
use super::effects::{Dispatcher, RelayRequests};
use super::input::{InputHandler, Readers, READER_CHECK_INTERVAL};
use super::metrics::ReaderMetrics;
use super::queues::InputQueues;
use super::reader::ReportBatch;
use super::reader_pool::{PoolConfig, PoolHandle, ReaderPool};
use super::reload::Reloader;
use super::services::OperatorServices;
use super::shutdown::drain;
use super::watches::Watches;
use actix_rt::net::TcpListener;
use actix_rt::time::sleep;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, Receiver};
use tokio::sync::watch;
use whinwall_overrides::WallClockMonitor;
use whinwall_routing::Event;
use whinwall_runtime::clock::Clock;
use whinwall_runtime::signals::{Signal, Signals, Termination};
use whinwall_runtime::task::Task;
use whinwall_transport::{limits, listener, relay_requests, Bounds, InputSender};

/// An iteration of the event loop begins at least so often, whatever the reducer asks for.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Serves until a signal ends the program.
pub(super) async fn run_incarnation(
    config: &mut ControllerConfig,
    listener: Rc<TcpListener>,
    signals: &mut Signals,
    services: &mut OperatorServices,
) -> Termination {
    let clock = Clock::start();
    let (inbox, peers) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let (collector_inbox, collectors) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let (request_sender, requests) = mpsc::channel(1);
    let (relay_target, target_receiver) = watch::channel(Some(config.targets.relay));
    let _relay_task = Task::spawn(relay_requests::serve(requests, target_receiver, inbox.clone()));
    let Ingress { readers, batches, _listener_task } =
        Ingress::start(config, clock, listener, collector_inbox);
    let mut queues = InputQueues { peers, collectors, batches };
    let relay = RelayRequests::new(request_sender, relay_target);
    let dispatcher = Dispatcher::new(config, clock, relay, Watches::new(inbox), services);
    let mut input = InputHandler::new(dispatcher, readers);
    start_reducer(config, &mut input.dispatcher);
    run_event_loop(config, &mut input, &mut queues, signals).await
}

/// Where reports come in: the listener, and the readers if there are some.
struct Ingress {
    readers: Option<Readers>,
    /// Yields nothing where there are no readers.
    batches: Receiver<ReportBatch>,
    _listener_task: Task,
}

impl Ingress {
    fn start(config: &ControllerConfig, clock: Clock, listener: Rc<TcpListener>, inbox: InputSender) -> Self {
        let bounds = Bounds::new(config.max_connections, config.line_bytes);
        if config.cores > 1 {
            match start_pool(config.cores, clock, bounds.clone(), inbox.clone()) {
                Ok((readers, batches)) => {
                    tracing::info!(readers = config.cores, "reader pool started");
                    let handle = PoolHandle(readers.pool.clone());
                    let task = Task::spawn(listener::listen(listener, bounds, handle));
                    return Ingress { readers: Some(readers), batches, _listener_task: task };
                }
                Err(error) => {
                    tracing::error!(%error, "reader pool not started, reports are read on one core");
                }
            }
        }
        let this_thread = listener::LocalReader { bounds: bounds.clone(), inputs: inbox };
        let task = Task::spawn(listener::listen(listener, bounds, this_thread));
        let (_, no_batches) = mpsc::channel(1);
        Ingress { readers: None, batches: no_batches, _listener_task: task }
    }
}

fn start_pool(
    readers: usize,
    clock: Clock,
    bounds: Bounds,
    inbox: InputSender,
) -> std::io::Result<(Readers, Receiver<ReportBatch>)> {
    let metrics = Arc::new(ReaderMetrics::new(readers));
    let hook = Arc::new(|_, _| {});
    let pool_config = PoolConfig { readers, clock, bounds, inbox, metrics: metrics.clone(), hook };
    let (pool, batches) = ReaderPool::start(pool_config)?;
    Ok((Readers { pool: Rc::new(RefCell::new(pool)), metrics }, batches))
}

fn start_reducer(config: &ControllerConfig, dispatcher: &mut Dispatcher) {
    dispatcher.apply(Event::Started);
    dispatcher.apply(Event::SubsettingConfigured(config.fleet.clone()));
    dispatcher.apply_override_config(config);
    dispatcher.services.read_store();
}

async fn run_event_loop(
    config: &mut ControllerConfig,
    input: &mut InputHandler<'_>,
    queues: &mut InputQueues,
    signals: &mut Signals,
) -> Termination {
    let mut reloader = Reloader::default();
    let mut wall_monitor = WallClockMonitor::default();
    loop {
        input.dispatcher.clear_wake_at();
        check_wall_clock(&mut wall_monitor, &mut input.dispatcher);
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
                    drain(input, queues, signals, termination).await;
                    return termination;
                }
                Signal::Reload => reloader.reload(config, &mut input.dispatcher),
            },
            Some(reply) = input.dispatcher.services.store_replies.recv() => input.receive_store_reply(reply),
            Some(request) = input.dispatcher.services.requests.recv() => {
                input.receive_management_request(request);
            }
            Some(message) = queues.peers.recv() => input.receive(message),
            Some(message) = queues.collectors.recv() => input.receive(message),
            Some(batch) = queues.batches.recv() => input.receive_batch(batch),
            () = sleep(wait) => {}
        }
        queues.drain_into(input);
    }
}

fn check_wall_clock(wall_monitor: &mut WallClockMonitor, dispatcher: &mut Dispatcher) {
    let (now, wall) = (dispatcher.clock.now(), Clock::wall_time());
    if wall_monitor.has_stepped(now, wall) {
        tracing::warn!("wall clock stepped");
        dispatcher.apply(Event::WallStepped(wall));
    }
}

/// Until the reducer, the supervision of the readers or a retry of a reload has something to do.
fn sleep_duration(input: &InputHandler, reloader: &Reloader) -> Duration {
    let max_sleep = if reloader.has_retry() {
        limits::RETRY_BACKOFF
    } else if input.has_readers() {
        READER_CHECK_INTERVAL
    } else {
        MAX_SLEEP
    };
    let wake_at = input.dispatcher.wake_at();
    wake_at.map_or(max_sleep, |at| input.dispatcher.clock.duration_until(at).min(max_sleep))
}
