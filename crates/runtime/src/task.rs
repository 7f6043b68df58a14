//! A task that is aborted when its owner drops it.

use actix_rt::task::JoinHandle;
use std::future::Future;

/// A handle that aborts its task when dropped.
pub struct Task(JoinHandle<()>);

impl Task {
    /// Spawns `work` on the runtime of the current thread.
    pub fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
        Task(actix_rt::spawn(work))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
