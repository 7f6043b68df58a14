//! The keeper on a thread of its own: jobs go in, one after the other, and word of each comes out.

use crate::{Found, Job, Keeper, Unusable};
use std::sync::mpsc::{sync_channel, RecvTimeoutError, SyncSender, TrySendError};
use std::time::Duration;

/// Jobs that wait; whoever hands them in waits for one before the next.
const ROOM: usize = 4;
/// Before a store that can't be used is tried again.
const PAUSE: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// The store is open, with all that it has: once, and again for whoever asks anew.
    Opened(Found),
    /// It can't be opened yet.
    NotOpened(Unusable),
    Done {
        serial: u64,
        outcome: Result<(), Unusable>,
    },
}

enum Errand {
    Open,
    Keep { serial: u64, job: Job },
}

/// Ends the thread when it is dropped.
#[derive(Clone)]
pub struct Desk(SyncSender<Errand>);

impl Desk {
    /// `say` is called on the keeper's thread and must not wait.
    pub fn start(mut keeper: Keeper, say: impl Fn(Word) + Send + 'static) -> std::io::Result<Self> {
        let (hand_in, errands) = sync_channel(ROOM);
        std::thread::Builder::new().name("keeper".into()).spawn(move || {
            let mut unopened = false;
            loop {
                let errand = match errands.recv_timeout(PAUSE) {
                    Ok(errand) => errand,
                    Err(RecvTimeoutError::Timeout) if unopened => Errand::Open,
                    Err(RecvTimeoutError::Timeout) => continue,
                    Err(RecvTimeoutError::Disconnected) => return,
                };
                say(match errand {
                    Errand::Open => {
                        let opened = keeper.open();
                        unopened = opened.is_err();
                        opened.map_or_else(Word::NotOpened, Word::Opened)
                    }
                    Errand::Keep { serial, job } => Word::Done { serial, outcome: keeper.keep(&job) },
                });
            }
        })?;
        Ok(Desk(hand_in))
    }

    /// Asks for all that the store has; it is told once it can be.
    pub fn open(&self) -> bool {
        self.hand_in(Errand::Open)
    }

    /// False where there is no room, and the job is nobody's.
    pub fn keep(&self, serial: u64, job: Job) -> bool {
        self.hand_in(Errand::Keep { serial, job })
    }

    fn hand_in(&self, errand: Errand) -> bool {
        match self.0.try_send(errand) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}
