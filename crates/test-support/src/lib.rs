//! What the tests of several packages share. Nothing outside tests depends on it.

pub mod help_text;
pub mod message_queue;
