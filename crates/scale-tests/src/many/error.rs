//! Why a run of many controllers could not be made, or has failed.

use std::path::PathBuf;
use std::time::TryFromFloatSecsError;
use thiserror::Error;

/// Why a run could not be made, or has failed.
#[derive(Debug, Error)]
pub enum ManyError {
    /// The controller program was not built.
    #[error(
        "no whinwall-controller beside this program: cargo build --release --locked -p whinwall-controller"
    )]
    NoProgram,
    /// It can't be started.
    #[error("{}: {why}", program.display())]
    Start {
        /// Its path.
        program: PathBuf,
        /// What the system says.
        why: std::io::Error,
    },
    /// It ended, or closed its log, before it had named its address.
    #[error("governor n{controller} does not serve")]
    NotServing {
        /// Its number.
        controller: usize,
    },
    /// A process ended that had not been signalled.
    #[error("governor n{controller} has ended by itself")]
    Ended {
        /// Its number.
        controller: usize,
    },
    /// A thread can't be started.
    #[error("a thread: {0}")]
    Thread(std::io::Error),
    /// A file, a folder or a socket.
    #[error("{what}: {why}")]
    Io {
        /// What was done.
        what: String,
        /// What the system says.
        why: std::io::Error,
    },
    /// An argument is out of range.
    #[error(transparent)]
    Sizes(#[from] SizesError),
    /// Controllers and harness took more memory than they may.
    #[error("{taken_kb} kB of memory are taken, {limit_kb} may be")]
    Memory {
        /// What they took.
        taken_kb: u64,
        /// What they may take.
        limit_kb: u64,
    },
    /// A signal ended the run.
    #[error("ended by a signal")]
    Signal,
    /// Some controllers did not complete an event.
    #[error("{event}: {missing} governors did not come to its end; the report says which")]
    Missing {
        /// The event's name.
        event: &'static str,
        /// How many.
        missing: usize,
    },
}

/// Which argument of a run is out of range.
#[derive(Clone, Debug, Error)]
pub enum SizesError {
    /// No process at all, or more than are started.
    #[error("--real: from 1 to 290")]
    Processes,
    /// Fewer controllers than processes.
    #[error("--governors: no fewer than --real")]
    Controllers,
    /// A size is below its least value.
    #[error("--replicas 4, --slices 2, --zones, --proxies and --workers 1 at the least")]
    TooSmall,
    /// A number of seconds that is no duration.
    #[error("{seconds} s: {why}")]
    Duration {
        /// The argument.
        seconds: f64,
        /// What is wrong with it.
        why: TryFromFloatSecsError,
    },
}

impl ManyError {
    /// Wraps an I/O error with what was attempted.
    pub(super) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ManyError {
        let what = what.into();
        move |why| ManyError::Io { what, why }
    }
}
