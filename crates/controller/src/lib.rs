//! The parts of the controller, by layer; a layer knows only those below it.
//! `program` starts and ends it and turns the loop; `routing` holds all state, behind one reducer; `protocol`
//! decodes and encodes messages; `transport` reads and writes lines.
#![forbid(unsafe_code)]

pub mod program;
