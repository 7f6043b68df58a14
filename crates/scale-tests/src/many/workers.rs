//! Threads that share the in-process controllers between them.

use super::hollow::{Hollow, Surroundings};
use super::plan::{ControllerId, CUT_REGION};
use super::tracker::Site;
use super::ManyError;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// A change of the list is looked for so often.
const LOOK: Duration = Duration::from_millis(5);

/// What all in-process controllers of a thread are told.
#[derive(Clone)]
enum Command {
    Configure(Site),
    /// Nine in ten of them start again.
    Restart,
    /// The region is cut off.
    Cut,
    /// It is back.
    Reconnect,
}

struct Worker {
    commands: Sender<Command>,
    thread: JoinHandle<()>,
}

/// All in-process controllers.
#[derive(Default)]
pub struct Workers {
    workers: Vec<Worker>,
    processor: Arc<AtomicU64>,
}

impl Workers {
    /// Starts the threads; each starts its controllers at once.
    pub fn start(around: &Arc<Surroundings>) -> Result<Self, ManyError> {
        let (plan, mut workers, processor) = (&around.plan, Vec::new(), Arc::new(AtomicU64::new(0)));
        for worker in 0..plan.workers {
            let all = plan.real..plan.controllers();
            let own: Vec<ControllerId> = all.skip(worker).step_by(plan.workers).collect();
            let (commands, told) = channel();
            let (around, processor) = (around.clone(), processor.clone());
            let thread = std::thread::Builder::new().name(format!("hollow-{worker}"));
            let thread =
                thread.spawn(move || run(&own, &around, &processor, &told)).map_err(ManyError::Thread)?;
            workers.push(Worker { commands, thread });
        }
        Ok(Workers { workers, processor })
    }

    fn tell(&self, command: &Command) {
        // One that has ended is missed by whoever waits for its controllers.
        self.workers.iter().for_each(|worker| _ = worker.commands.send(command.clone()));
    }

    /// The configuration of all names another site.
    pub fn configure(&self, site: Site) {
        self.tell(&Command::Configure(site));
    }

    /// Nine in ten start again.
    pub fn restart(&self) {
        self.tell(&Command::Restart);
    }

    /// The region that is to be cut off is.
    pub fn cut(&self) {
        self.tell(&Command::Cut);
    }

    /// It is back.
    pub fn reconnect(&self) {
        self.tell(&Command::Reconnect);
    }

    /// Processor time of all reducers so far.
    pub fn cost(&self) -> Duration {
        Duration::from_nanos(self.processor.load(Ordering::Relaxed))
    }

    /// Ends the threads.
    pub fn end(self) {
        for Worker { commands, thread } in self.workers {
            drop(commands);
            // Where it panicked the event has failed for want of its controllers.
            _ = thread.join();
        }
    }
}

fn run(
    own: &[ControllerId],
    around: &Arc<Surroundings>,
    processor: &Arc<AtomicU64>,
    commands: &Receiver<Command>,
) {
    let start = |controller: &ControllerId| Hollow::start(*controller, around.clone(), processor.clone());
    let Ok(mut controllers) = own.iter().map(start).collect::<Result<Vec<_>, _>>() else { return };
    loop {
        let busy = controllers.iter_mut().fold(false, |busy, controller| controller.step() | busy);
        let due = controllers.iter().map(Hollow::due_in).min().unwrap_or(LOOK);
        let wait = if busy { Duration::ZERO } else { due.min(LOOK) };
        match commands.recv_timeout(wait) {
            Ok(command) => carry_out(&mut controllers, around, command),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn carry_out(controllers: &mut [Hollow], around: &Surroundings, command: Command) {
    let plan = &around.plan;
    match command {
        Command::Configure(site) => controllers.iter_mut().for_each(|controller| controller.configure(site)),
        Command::Restart => {
            let restarted =
                controllers.iter_mut().filter(|controller| plan.is_restarted(controller.controller()));
            restarted.for_each(Hollow::restart);
        }
        Command::Cut => {
            let cut = controllers
                .iter_mut()
                .filter(|controller| plan.region(controller.controller()) == CUT_REGION);
            cut.for_each(Hollow::cut);
        }
        Command::Reconnect => {
            controllers.iter_mut().filter(|controller| controller.is_cut()).for_each(Hollow::reconnect);
        }
    }
}
