//! Errors of a run of many controllers.

use super::MAX_PROCESSES;
use std::path::PathBuf;
use std::time::TryFromFloatSecsError;
use thiserror::Error;

/// The reason why a run could not be started, or failed.
#[derive(Debug, Error)]
pub enum ManyError {
    /// The controller program does not exist.
    #[error(
        "whinwall-controller not found next to this program: cargo build --release --locked -p whinwall-controller"
    )]
    NoProgram,
    /// The controller program could not be started.
    #[error("cannot start {}: {error}", program.display())]
    Start {
        /// The path of the program.
        program: PathBuf,
        /// The I/O error.
        error: std::io::Error,
    },
    /// A controller exited or closed its log before it logged its address, or did not become ready within the time
    /// limit.
    #[error("controller n{controller} did not start serving")]
    NotServing {
        /// The number of the controller.
        controller: usize,
    },
    /// A controller process exited without a signal of the harness.
    #[error("controller n{controller} exited unexpectedly")]
    Ended {
        /// The number of the controller.
        controller: usize,
    },
    /// A thread could not be started.
    #[error("cannot start thread: {0}")]
    Thread(std::io::Error),
    /// An operation on a file, folder, socket or the runtime failed.
    #[error("{operation}: {error}")]
    Io {
        /// The failed operation or the path.
        operation: String,
        /// The I/O error.
        error: std::io::Error,
    },
    /// An argument is out of range.
    #[error(transparent)]
    Sizes(#[from] SizesError),
    /// Controllers and harness used more memory than the limit.
    #[error("memory use of {used_kb} kB exceeds the limit of {limit_kb} kB")]
    Memory {
        /// The memory in use, in kB.
        used_kb: u64,
        /// The limit, in kB.
        limit_kb: u64,
    },
    /// The run was terminated by a signal.
    #[error("terminated by a signal")]
    Signal,
    /// Some controllers did not complete an event within the time limit.
    #[error("{event}: {missing} controllers did not complete the event; see the report")]
    Missing {
        /// The name of the event.
        event: &'static str,
        /// The number of these controllers.
        missing: usize,
    },
}

/// An argument of a run that is out of range.
#[derive(Clone, Debug, Error)]
pub enum SizesError {
    /// The number of processes is 0 or above the limit.
    #[error("--real must be from 1 to {MAX_PROCESSES}, got {processes}")]
    Processes {
        /// The number of processes.
        processes: usize,
    },
    /// The number of controllers is lower than the number of processes.
    #[error("--governors must be at least --real, got --governors {controllers} and --real {processes}")]
    Controllers {
        /// The number of controllers.
        controllers: usize,
        /// The number of processes.
        processes: usize,
    },
    /// A size is below its minimum.
    #[error("{argument} must be at least {minimum}, got {value}")]
    TooSmall {
        /// The name of the argument.
        argument: &'static str,
        /// The value of the argument.
        value: usize,
        /// The minimum.
        minimum: usize,
    },
    /// A number of seconds does not convert to a duration.
    #[error("invalid duration of {seconds} s: {error}")]
    Duration {
        /// The value of the argument.
        seconds: f64,
        /// The conversion error.
        error: TryFromFloatSecsError,
    },
}

impl ManyError {
    /// Returns a function that adds the failed operation to an I/O error.
    pub(super) fn io(operation: impl Into<String>) -> impl FnOnce(std::io::Error) -> ManyError {
        let operation = operation.into();
        move |error| ManyError::Io { operation, error }
    }
}
