//! The controller's process. `program` is the only layer here; the layers below it are packages of their own:
//! `whinwall-routing` holds all state behind one reducer, `whinwall-protocol` decodes and encodes messages, and
//! `whinwall-transport` reads and writes lines.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod program;
