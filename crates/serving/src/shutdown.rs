//! Graceful shutdown of a listener and its connections. In the draining phase, responses announce that the connection
//! will close. In the closing phase, each connection answers the requests that were read, shuts down its write side
//! and closes. [`RunningConnections`] completes when the last of them has closed.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// The time that connections have to close if the trigger is dropped without a deadline.
const DEFAULT_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Requests are served, and responses announce that the connection will close.
    Draining,
    /// No new connection is accepted and no new request is begun. Requests that were read are answered until the
    /// deadline.
    Closing {
        deadline: Instant,
    },
}

/// Starts the phases of a shutdown. Dropping it starts the closing phase.
pub struct ShutdownTrigger(watch::Sender<Phase>);

/// Notifies a listener and its connections of the shutdown. Each of them holds a clone until it has closed.
#[derive(Clone)]
pub struct ShutdownSignal {
    phase: watch::Receiver<Phase>,
    _running: Option<mpsc::Sender<Infallible>>,
    /// Set for a signal that never fires: keeps its trigger alive, because dropping the trigger would start closing.
    _trigger: Option<Arc<ShutdownTrigger>>,
}

/// Waits for all holders of a signal to drop it.
pub struct RunningConnections(mpsc::Receiver<Infallible>);

/// Creates the trigger, the signal and the handle to wait on for one shutdown.
pub fn channel() -> (ShutdownTrigger, ShutdownSignal, RunningConnections) {
    let (trigger, phase) = watch::channel(Phase::Serving);
    let (running, all_dropped) = mpsc::channel(1);
    let signal = ShutdownSignal { phase, _running: Some(running), _trigger: None };
    (ShutdownTrigger(trigger), signal, RunningConnections(all_dropped))
}

impl ShutdownTrigger {
    /// Starts the draining phase: each response announces that its connection will close.
    pub fn drain(&self) {
        self.0.send_if_modified(|phase| {
            let is_serving = *phase == Phase::Serving;
            if is_serving {
                *phase = Phase::Draining;
            }
            is_serving
        });
    }

    /// Starts the closing phase. Requests that were read are answered until the deadline.
    pub fn close(&self, deadline: Instant) {
        self.0.send_replace(Phase::Closing { deadline });
    }
}

impl ShutdownSignal {
    /// Creates a signal that never fires.
    pub fn never() -> Self {
        let (trigger, phase) = watch::channel(Phase::Serving);
        ShutdownSignal { phase, _running: None, _trigger: Some(Arc::new(ShutdownTrigger(trigger))) }
    }

    /// Returns true if the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        *self.phase.borrow() != Phase::Serving || self.phase.has_changed().is_err()
    }

    /// Returns a signal for the same shutdown. [`RunningConnections`] does not wait for its holder.
    pub fn observer(&self) -> Self {
        ShutdownSignal { _running: None, ..self.clone() }
    }

    /// Waits for the closing phase. Returns the deadline for answering the requests that were read.
    pub async fn closing(&mut self) -> Instant {
        self.closing_before(None).await
    }

    /// Waits for the closing phase with a deadline earlier than `known_deadline`, or with any deadline if that is `None`.
    pub async fn closing_before(&mut self, known_deadline: Option<Instant>) -> Instant {
        let is_earlier_deadline = |phase: &Phase| match phase {
            Phase::Closing { deadline } => known_deadline.is_none_or(|known| *deadline < known),
            Phase::Serving | Phase::Draining => false,
        };
        let phase = self.phase.wait_for(is_earlier_deadline).await.map(|phase| *phase);
        match (phase, known_deadline) {
            (Ok(Phase::Closing { deadline }), _) => deadline,
            // The trigger was dropped, so the deadline cannot change any more.
            (_, Some(_)) => std::future::pending().await,
            (_, None) => Instant::now() + DEFAULT_CLOSE_TIMEOUT,
        }
    }
}

impl RunningConnections {
    /// Waits until all holders of the signal have dropped it.
    pub async fn ended(&mut self) {
        while self.0.recv().await.is_some() {}
    }

    /// Waits until all holders of the signal have dropped it, but not longer than `grace_period` after the closing
    /// deadline of `signal`. Returns false if some holders remain.
    pub async fn ended_by(&mut self, mut signal: ShutdownSignal, grace_period: Duration) -> bool {
        let mut deadline = signal.closing().await;
        loop {
            tokio::select! {
                () = self.ended() => return true,
                () = sleep_until(deadline + grace_period) => return false,
                earlier = signal.closing_before(Some(deadline)) => deadline = earlier,
            }
        }
    }
}
