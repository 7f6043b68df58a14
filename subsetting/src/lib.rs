//! Deterministic subsetting of replicas by rendezvous hashing, without I/O or clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
