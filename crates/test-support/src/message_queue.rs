//! A queue of received messages from which a test can take messages out of order.

use std::collections::VecDeque;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Messages received on a channel.
pub struct MessageQueue<T> {
    /// The receiving end of the channel.
    pub receiver: Receiver<T>,
    /// Messages that were received but have not matched a call of [`MessageQueue::wait`] yet, oldest first.
    pub skipped: VecDeque<T>,
    timeout: Duration,
}

impl<T> MessageQueue<T> {
    /// Creates a queue whose [`wait`](MessageQueue::wait) panics after `timeout`. The time-out should be far longer
    /// than any expected delay, so that reaching it means that the message does not come.
    pub fn new(receiver: Receiver<T>, timeout: Duration) -> Self {
        MessageQueue { receiver, skipped: VecDeque::new(), timeout }
    }

    /// Returns the first message for which `matches` returns true; earlier messages stay queued for later calls.
    /// `description` names the expected message in the panic text.
    ///
    /// # Panics
    ///
    /// If no matching message arrives within the time-out, or before the sending end of the channel is closed.
    pub fn wait(&mut self, description: &str, matches: impl Fn(&T) -> bool) -> T {
        if let Some(message) = self.take_skipped(&matches) {
            return message;
        }
        let deadline = Instant::now() + self.timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.receiver.recv_timeout(remaining) {
                Ok(next) if matches(&next) => return next,
                Ok(next) => self.skipped.push_back(next),
                Err(error) => panic!(
                    "failed to receive {description} within {:?}: {error}; {} other messages received",
                    self.timeout,
                    self.skipped.len()
                ),
            }
        }
    }

    fn take_skipped(&mut self, matches: impl Fn(&T) -> bool) -> Option<T> {
        let index = self.skipped.iter().position(matches)?;
        self.skipped.remove(index)
    }

    /// Discards all messages received so far.
    pub fn clear(&mut self) {
        self.skipped.clear();
        while self.receiver.try_recv().is_ok() {}
    }
}
