//! The end of a listener and its connections in order: at first they only announce it, then each answers what was read,
//! ends its write side and closes. Whoever waits for the end learns when the last of them has closed.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// How long connections may take to close where nobody has said it.
const DEFAULT_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Requests are served, and clients are told that the connection ends.
    Draining,
    /// No connection is accepted, and no request is begun; what was read is answered until then.
    Closing {
        deadline: Instant,
    },
}

/// Begins the phases of a shutdown. Dropping it closes.
pub struct ShutdownTrigger(watch::Sender<Phase>);

/// Tells a listener and its connections about the shutdown. Each of them holds a clone until it has ended.
#[derive(Clone)]
pub struct ShutdownSignal {
    phase: watch::Receiver<Phase>,
    _running: Option<mpsc::Sender<Infallible>>,
    /// Of a signal that never comes: as long as its trigger is there it does not close.
    _trigger: Option<Arc<ShutdownTrigger>>,
}

/// Tells when all holders of a signal have ended.
pub struct RunningConnections(mpsc::Receiver<Infallible>);

/// The parts of one shutdown.
pub fn channel() -> (ShutdownTrigger, ShutdownSignal, RunningConnections) {
    let (trigger, phase) = watch::channel(Phase::Serving);
    let (running, all) = mpsc::channel(1);
    let signal = ShutdownSignal { phase, _running: Some(running), _trigger: None };
    (ShutdownTrigger(trigger), signal, RunningConnections(all))
}

impl ShutdownTrigger {
    /// From now on each response says that its connection ends.
    pub fn drain(&self) {
        self.0.send_if_modified(|phase| {
            let is_serving = *phase == Phase::Serving;
            if is_serving {
                *phase = Phase::Draining;
            }
            is_serving
        });
    }

    /// Closes; what was read is answered until the deadline.
    pub fn close(&self, deadline: Instant) {
        self.0.send_replace(Phase::Closing { deadline });
    }
}

impl ShutdownSignal {
    /// A signal that never comes.
    pub fn never() -> Self {
        let (trigger, phase) = watch::channel(Phase::Serving);
        ShutdownSignal { phase, _running: None, _trigger: Some(Arc::new(ShutdownTrigger(trigger))) }
    }

    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        *self.phase.borrow() != Phase::Serving || self.phase.has_changed().is_err()
    }

    /// The same signal for one that nobody waits for.
    pub fn observer(&self) -> Self {
        ShutdownSignal { _running: None, ..self.clone() }
    }

    /// Waits until connections are to close; returns until when they may answer what was read.
    pub async fn closing(&mut self) -> Instant {
        self.closing_before(None).await
    }

    /// The same for one that knows a deadline already: waits for an earlier one.
    pub async fn closing_before(&mut self, known: Option<Instant>) -> Instant {
        let is_news = |phase: &Phase| match phase {
            Phase::Closing { deadline } => known.is_none_or(|known| *deadline < known),
            Phase::Serving | Phase::Draining => false,
        };
        let phase = self.phase.wait_for(is_news).await.map(|phase| *phase);
        match (phase, known) {
            (Ok(Phase::Closing { deadline }), _) => deadline,
            // The trigger is gone: there is no other deadline to come.
            (_, Some(_)) => std::future::pending().await,
            (_, None) => Instant::now() + DEFAULT_CLOSE_TIMEOUT,
        }
    }
}

impl RunningConnections {
    /// Waits until all holders of the signal have ended.
    pub async fn ended(&mut self) {
        while self.0.recv().await.is_some() {}
    }

    /// Waits until all holders of the signal have ended, or until the grace after the deadline of its end is over; false
    /// where some have not ended by then.
    pub async fn ended_by(&mut self, mut signal: ShutdownSignal, grace: Duration) -> bool {
        let mut deadline = signal.closing().await;
        loop {
            tokio::select! {
                () = self.ended() => return true,
                () = sleep_until(deadline + grace) => return false,
                earlier = signal.closing_before(Some(deadline)) => deadline = earlier,
            }
        }
    }
}
