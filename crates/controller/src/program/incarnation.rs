//! One incarnation of the controller: its tasks, its event loop and the reducer. A panic ends an incarnation together
//! with all its tasks.

use super::configuration::ControllerConfig;
use super::effects::{Dispatcher, RelayRequests};
use super::event_loop::run_event_loop;
use super::input::{InputHandler, Readers};
use super::metrics::ReaderMetrics;
use super::queues::InputQueues;
use super::reader::ReportBatch;
use super::reader_pool::{PoolConfig, PoolHandle, ReaderPool};
use super::services::OperatorServices;
use super::shutdown::ConnectionsShutdown;
use super::watches::Watches;
use actix_rt::net::TcpListener;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc::{self, Receiver};
use tokio::sync::watch;
use whinwall_protocol::collector;
use whinwall_routing::Event;
use whinwall_runtime::clock::Clock;
use whinwall_runtime::signals::{Signals, Termination};
use whinwall_runtime::task::Task;
use whinwall_serving::shutdown::{self, ShutdownSignal};
use whinwall_transport::{limits, listener, relay_requests, Bounds, ConnectionShutdown, InputSender};

/// Reason sent to a peer whose last line was still incomplete when its connection was closed for shutdown.
const SHUTTING_DOWN: &str = "shutting down";

/// Runs one incarnation until a termination signal.
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
    let (trigger, signal, running) = shutdown::channel();
    let mut connections = ConnectionsShutdown { trigger, running };
    let Ingress { readers, batches, _listener_task } =
        Ingress::start(config, clock, listener, collector_inbox, signal);
    let mut queues = InputQueues { peers, collectors, batches };
    let relay = RelayRequests::new(request_sender, relay_target);
    let dispatcher = Dispatcher::new(config, clock, relay, Watches::new(inbox), services);
    let mut input = InputHandler::new(dispatcher, readers);
    start_reducer(config, &mut input.dispatcher);
    run_event_loop(config, &mut input, &mut queues, signals, &mut connections).await
}

/// The input side for reports: the listener, and the reader pool if more than one core is configured.
struct Ingress {
    readers: Option<Readers>,
    /// Batches from the reader pool. Without a pool, the channel is closed and empty.
    batches: Receiver<ReportBatch>,
    _listener_task: Task,
}

impl Ingress {
    fn start(
        config: &ControllerConfig,
        clock: Clock,
        listener: Rc<TcpListener>,
        inbox: InputSender,
        signal: ShutdownSignal,
    ) -> Self {
        let bounds = Bounds::new(config.max_connections, config.line_memory_bytes);
        let notice = collector::encode(collector::Reply::Nack { why: SHUTTING_DOWN });
        let shutdown = ConnectionShutdown { signal, notice: notice.into() };
        if config.cores > 1 {
            match start_reader_pool(config.cores, clock, bounds.clone(), inbox.clone()) {
                Ok((readers, batches)) => {
                    tracing::info!(readers = config.cores, "reader pool started");
                    let handle = PoolHandle(readers.pool.clone());
                    let task = Task::spawn(listener::listen_until(listener, bounds, handle, shutdown));
                    return Ingress { readers: Some(readers), batches, _listener_task: task };
                }
                Err(error) => {
                    tracing::error!(%error, "failed to start reader pool, reading reports on the event loop thread");
                }
            }
        }
        let local_reader = listener::LocalReader { bounds: bounds.clone(), inputs: inbox };
        let task = Task::spawn(listener::listen_until(listener, bounds, local_reader, shutdown));
        let (_, no_batches) = mpsc::channel(1);
        Ingress { readers: None, batches: no_batches, _listener_task: task }
    }
}

fn start_reader_pool(
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
