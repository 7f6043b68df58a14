//! Test utilities shared by several packages. Only tests and benchmarks depend on this package.

pub mod help_text;
pub mod message_queue;
