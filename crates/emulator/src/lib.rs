//! Emulates the fleet that a controller serves, in virtual time and deterministically for a seed.
//!
//! It models clients whose requests arrive at random, proxies that route by their routing tables, replicas with
//! cores, queues and key caches, a relay with a store and a rate-limited channel, discovery and collectors. The
//! controllers are not modelled: they run the production reducer of `whinwall-routing`.
//!
//! [`scenario`] runs a scenario, [`fault`] defines the faults that can be injected, [`rules`] checks the behaviour of
//! proxies and replicas, and [`real_time`] runs a scenario against controllers in separate processes.
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

/// The index of a replica in the fleet, from 0.
pub type ReplicaIndex = usize;
/// The index of a proxy in the fleet, from 0.
pub type ProxyIndex = usize;
/// The number of a slice, from 0.
pub type SliceIndex = usize;
/// The index of a controller in the fleet, from 0.
pub type ControllerIndex = usize;
/// The number of a zone, from 0.
pub type ZoneIndex = usize;
/// The index of a request class in the configuration, from 0.
pub type RequestClassIndex = usize;
