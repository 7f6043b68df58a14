//! A task of the runtime that ends with its owner.

use actix_rt::task::JoinHandle;
use std::future::Future;

/// Aborts its task when it is dropped.
pub struct Task(JoinHandle<()>);

impl Task {
    /// Starts the work on the current thread's runtime.
    pub fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
        Task(actix_rt::spawn(work))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
