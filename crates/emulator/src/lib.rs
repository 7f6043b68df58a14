//! An emulator of what a controller serves, in virtual time and the same for the same seed: clients whose requests
//! come, proxies that do as their tables say, replicas with cores, queues and keys they remember, a relay with
//! a store and a channel, discovery, collectors. It drives the real reducer. `day` plays a day, `trouble` has
//! what can happen in it, `rules` looks at what the proxies and replicas really did.
#![forbid(unsafe_code)]

pub mod channel;
pub mod day;
pub mod live;
pub mod policy;
pub mod proxy;
pub mod replica;
pub mod rules;
pub mod sizes;
pub mod subsets;
pub mod trouble;

/// Replicas, proxies and slices by their position.
pub type ReplicaIx = usize;
pub type ProxyIx = usize;
pub type SliceIx = usize;
