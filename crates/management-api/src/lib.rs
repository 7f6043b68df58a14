//! The management front. `ask` has the typed requests and replies that a controller's reducer knows, `wire`
//! their JSON, `server` the HTTP that carries them on a thread of its own, `client` the other end of it.
#![forbid(unsafe_code)]

pub mod ask;
pub mod client;
pub mod server;
pub mod wire;
