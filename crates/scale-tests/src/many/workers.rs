//! Worker threads that run the simulated controllers.

use super::error::ManyError;
use super::plan::{ControllerId, PARTITIONED_REGION};
use super::simulated::{Environment, SimulatedController};
use super::tracker::Site;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two checks for a new version of the endpoint list.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A command to all simulated controllers of a thread.
#[derive(Clone)]
enum Command {
    Configure(Site),
    /// Restarts nine in ten controllers.
    Restart,
    /// Partitions the region from the network.
    Partition,
    /// Reconnects the region.
    Reconnect,
}

struct Worker {
    commands: Sender<Command>,
    thread: JoinHandle<()>,
}

/// The worker threads of all simulated controllers.
#[derive(Default)]
pub struct Workers {
    workers: Vec<Worker>,
    total_processor_time: Arc<AtomicU64>,
}

impl Workers {
    /// Starts the threads. Each starts its controllers immediately.
    pub fn start(environment: &Arc<Environment>) -> Result<Self, ManyError> {
        let (plan, mut workers, total_processor_time) =
            (&environment.plan, Vec::new(), Arc::new(AtomicU64::new(0)));
        for worker in 0..plan.workers {
            let simulated = plan.real..plan.controllers();
            let controller_ids: Vec<ControllerId> = simulated.skip(worker).step_by(plan.workers).collect();
            let (commands, receiver) = channel();
            let (environment, total_processor_time) = (environment.clone(), total_processor_time.clone());
            let thread = std::thread::Builder::new()
                .name(format!("simulated-{worker}"))
                .spawn(move || run(&controller_ids, &environment, &total_processor_time, &receiver))
                .map_err(ManyError::Thread)?;
            workers.push(Worker { commands, thread });
        }
        Ok(Workers { workers, total_processor_time })
    }

    fn broadcast(&self, command: &Command) {
        // A worker that has ended needs no handling: its controllers do not complete the event, which fails.
        self.workers.iter().for_each(|worker| _ = worker.commands.send(command.clone()));
    }

    /// Configures another site in all controllers.
    pub fn configure(&self, site: Site) {
        self.broadcast(&Command::Configure(site));
    }

    /// Restarts nine in ten controllers.
    pub fn restart(&self) {
        self.broadcast(&Command::Restart);
    }

    /// Partitions the region [`PARTITIONED_REGION`] from the network.
    pub fn partition(&self) {
        self.broadcast(&Command::Partition);
    }

    /// Reconnects the partitioned region.
    pub fn reconnect(&self) {
        self.broadcast(&Command::Reconnect);
    }

    /// Returns the CPU time of all reducers so far.
    pub fn processor_time(&self) -> Duration {
        Duration::from_nanos(self.total_processor_time.load(Ordering::Relaxed))
    }

    /// Ends the threads.
    pub fn end(self) {
        for Worker { commands, thread } in self.workers {
            drop(commands);
            // If the thread panicked, the event has already failed because its controllers did not complete it.
            _ = thread.join();
        }
    }
}

fn run(
    controller_ids: &[ControllerId],
    environment: &Arc<Environment>,
    total_processor_time: &Arc<AtomicU64>,
    commands: &Receiver<Command>,
) {
    let start = |controller: &ControllerId| {
        SimulatedController::start(*controller, environment.clone(), total_processor_time.clone())
    };
    let Ok(mut controllers) = controller_ids.iter().map(start).collect::<Result<Vec<_>, _>>() else { return };
    loop {
        let has_more_work = controllers
            .iter_mut()
            .fold(false, |has_more_work, controller| controller.run_due_work() | has_more_work);
        let due = controllers.iter().map(SimulatedController::next_work_in).min().unwrap_or(POLL_INTERVAL);
        let wait = if has_more_work { Duration::ZERO } else { due.min(POLL_INTERVAL) };
        match commands.recv_timeout(wait) {
            Ok(command) => execute_command(&mut controllers, environment, command),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn execute_command(controllers: &mut [SimulatedController], environment: &Environment, command: Command) {
    let plan = &environment.plan;
    match command {
        Command::Configure(site) => controllers.iter_mut().for_each(|controller| controller.configure(site)),
        Command::Restart => {
            let restarted =
                controllers.iter_mut().filter(|controller| plan.is_restarted(controller.controller()));
            restarted.for_each(SimulatedController::restart);
        }
        Command::Partition => {
            let partitioned = controllers
                .iter_mut()
                .filter(|controller| plan.region(controller.controller()) == PARTITIONED_REGION);
            partitioned.for_each(SimulatedController::partition);
        }
        Command::Reconnect => {
            controllers
                .iter_mut()
                .filter(|controller| controller.is_partitioned())
                .for_each(SimulatedController::reconnect);
        }
    }
}
