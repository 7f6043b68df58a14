//! An emulator of the fleet that a controller serves, in virtual time and deterministic for a seed.
//!
//! It models clients whose requests arrive at random, proxies that route by their tables, replicas with cores,
//! queues and key caches, a relay with a store and a paced channel, service discovery and collectors. The
//! controllers are the real reducers. [`scenario`] plays a scenario, [`fault`] lists what can be injected into it,
//! [`rules`] checks what proxies and replicas really did, and [`real_time`] plays a scenario against controllers
//! that run as programs of their own.
#![warn(clippy::unwrap_used)]

pub mod channel;
pub mod command;
pub mod config;
pub mod fault;
pub mod policy;
pub mod proxy;
pub mod random_faults;
pub mod real_time;
pub mod relay_store;
pub mod replica;
pub mod rules;
pub mod scenario;
pub mod subsets;

/// The position of a replica in the fleet, from 0.
pub type ReplicaIndex = usize;
/// The position of a proxy in the fleet, from 0.
pub type ProxyIndex = usize;
/// The number of a slice, from 0.
pub type SliceIndex = usize;
/// The position of a controller in the fleet, from 0.
pub type ControllerIndex = usize;
/// The number of a zone, from 0.
pub type ZoneIndex = usize;
/// The position of a request class in the configuration, from 0.
pub type RequestClassIndex = usize;
