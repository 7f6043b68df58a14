//! The signals that end the program.

use actix_rt::signal::unix::{signal, Signal, SignalKind};
use std::io;

pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    pub fn listen() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// The name of the first that comes.
    pub async fn come(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
