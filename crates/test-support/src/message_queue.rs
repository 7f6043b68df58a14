//! Messages of another party, which a test waits for in any order.

use std::collections::VecDeque;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Messages that arrive on a channel.
pub struct MessageQueue<T> {
    /// Where they arrive.
    pub receiver: Receiver<T>,
    /// Those that arrived and did not fit a call of [`MessageQueue::wait`] yet.
    pub skipped: VecDeque<T>,
    timeout: Duration,
}

impl<T> MessageQueue<T> {
    /// A queue whose calls wait for so long: far longer than anything takes, so that a test that waits it out has failed.
    pub fn new(receiver: Receiver<T>, timeout: Duration) -> Self {
        MessageQueue { receiver, skipped: VecDeque::new(), timeout }
    }

    /// The first message that fits; those before it stay for later calls.
    ///
    /// # Panics
    ///
    /// Where none arrives within the timeout.
    pub fn wait(&mut self, what: &str, fits: impl Fn(&T) -> bool) -> T {
        if let Some(message) = self.take_skipped(&fits) {
            return message;
        }
        let end = Instant::now() + self.timeout;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.receiver.recv_timeout(left) {
                Ok(next) if fits(&next) => return next,
                Ok(next) => self.skipped.push_back(next),
                Err(_) => panic!("waited in vain for {what}"),
            }
        }
    }

    fn take_skipped(&mut self, fits: impl Fn(&T) -> bool) -> Option<T> {
        let index = self.skipped.iter().position(fits)?;
        self.skipped.remove(index)
    }

    /// Forgets all that has arrived so far.
    pub fn clear(&mut self) {
        self.skipped.clear();
        while self.receiver.try_recv().is_ok() {}
    }
}
