//! The signals that end the program, or have it read its configuration anew.

use actix_rt::signal::unix::{self, signal, SignalKind};
use std::io;

pub enum Signal {
    /// To end, under this name.
    End(&'static str),
    ReadAnew,
}

pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    pub fn listen() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    pub async fn come(&mut self) -> Signal {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Signal::End("SIGTERM"),
            _ = self.interrupt.recv() => Signal::End("SIGINT"),
            _ = self.hangup.recv() => Signal::ReadAnew,
        }
    }
}
