//! The signals that end the program, or have it read its configuration anew.

use actix_rt::signal::unix::{self, signal, SignalKind};
use std::io;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

pub enum Signal {
    /// To end, under this name.
    End(&'static str),
    ReadAnew,
}

pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
    /// One to read anew came while nobody could.
    kept: bool,
}

impl Signals {
    pub fn listen() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            kept: false,
        })
    }

    pub async fn come(&mut self) -> Signal {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Signal::End("SIGTERM"),
            _ = self.interrupt.recv() => Signal::End("SIGINT"),
            _ = std::future::ready(()), if std::mem::take(&mut self.kept) => Signal::ReadAnew,
            _ = self.hangup.recv() => Signal::ReadAnew,
        }
    }

    /// Sleeps, unless a signal ends the program, under that name. One to read anew is kept for whoever can: what was
    /// read before may be old.
    pub async fn sleep(&mut self, time: Duration) -> Result<(), &'static str> {
        let wakes = Instant::now() + time;
        let mut kept = false;
        while let Ok(signal) = timeout_at(wakes, self.come()).await {
            match signal {
                Signal::End(why) => return Err(why),
                Signal::ReadAnew => kept = true,
            }
        }
        self.kept |= kept;
        Ok(())
    }
}
