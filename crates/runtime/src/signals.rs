//! The process signals that end the program or have it reload its configuration, and those that it ignores on purpose.

use actix_rt::signal::unix::{self, signal, SignalKind};
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A signal has asked the program to end.
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

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// End the program.
    Terminate(Termination),
    /// Reload the configuration (`SIGHUP`).
    Reload,
}

/// Receives the signals of the process.
pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
    /// Their default action would end the program, and no request in flight would be answered.
    ignored: [unix::Signal; 2],
    /// A reload was asked for while `sleep` was waiting.
    is_reload_pending: bool,
}

impl Signals {
    /// Replaces the default actions of the signals; needs a running runtime.
    ///
    /// # Errors
    /// Where the system refuses a handler.
    pub fn listen() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            ignored: [signal(SignalKind::user_defined1())?, signal(SignalKind::user_defined2())?],
            is_reload_pending: false,
        })
    }

    /// Waits for the next signal. Termination comes before a reload.
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

    /// Sleeps. A reload that is asked for meanwhile is returned by `next` later, as the configuration that was read
    /// before may be old.
    ///
    /// # Errors
    /// Where the program is to end; at once.
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
