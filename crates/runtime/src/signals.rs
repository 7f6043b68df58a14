//! Process signals: termination, configuration reload, and signals that are deliberately ignored.

use actix_rt::signal::unix::{self, signal, SignalKind};
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A request to terminate the program, made by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Termination {
    /// The name of the signal: `SIGTERM` or `SIGINT`.
    pub signal: &'static str,
}

impl fmt::Display for Termination {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.signal)
    }
}

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Terminate the program (`SIGTERM` or `SIGINT`).
    Terminate(Termination),
    /// Reload the configuration (`SIGHUP`).
    Reload,
}

/// Receives the signals of the process.
pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
    /// Signals whose default action would terminate the program without responses to the requests in flight.
    ignored: [unix::Signal; 2],
    /// True if a reload was requested while `sleep` was waiting.
    is_reload_pending: bool,
}

impl Signals {
    /// Installs handlers that replace the default actions of the signals. Must be called within a running runtime.
    ///
    /// # Errors
    /// Fails if the operating system rejects a handler.
    pub fn listen() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            ignored: [signal(SignalKind::user_defined1())?, signal(SignalKind::user_defined2())?],
            is_reload_pending: false,
        })
    }

    /// Waits for the next signal. If several are pending, termination takes precedence over a reload.
    pub async fn next(&mut self) -> Signal {
        let [user_1, user_2] = &mut self.ignored;
        loop {
            let ignored = tokio::select! {
                biased;
                _ = self.terminate.recv() => return Signal::Terminate(Termination { signal: "SIGTERM" }),
                _ = self.interrupt.recv() => return Signal::Terminate(Termination { signal: "SIGINT" }),
                _ = std::future::ready(()), if std::mem::take(&mut self.is_reload_pending) => {
                    return Signal::Reload;
                }
                _ = self.hangup.recv() => return Signal::Reload,
                _ = user_1.recv() => "SIGUSR1",
                _ = user_2.recv() => "SIGUSR2",
            };
            tracing::info!(signal = ignored, "signal ignored");
        }
    }

    /// Sleeps for this duration. A reload requested in the meantime is returned by the next call of `next`, since the
    /// configuration that was read before may be out of date.
    ///
    /// # Errors
    /// Returns the termination without further delay if one is requested.
    pub async fn sleep(&mut self, duration: Duration) -> Result<(), Termination> {
        let wake_at = Instant::now() + duration;
        let mut is_reload_pending = false;
        while let Ok(signal) = timeout_at(wake_at, self.next()).await {
            match signal {
                Signal::Terminate(termination) => return Err(termination),
                Signal::Reload => is_reload_pending = true,
            }
        }
        self.is_reload_pending |= is_reload_pending;
        Ok(())
    }
}
