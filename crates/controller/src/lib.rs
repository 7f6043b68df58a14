//! The controller process. This package contains only its top layer, `program`; the lower layers are separate
//! packages: `whinwall-routing` holds all state behind one reducer, `whinwall-protocol` decodes and encodes messages,
//! and `whinwall-transport` reads and writes lines.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod program;
