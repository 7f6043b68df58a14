//! The management API of a controller: [`messages`] has the typed requests and replies that the controller's reducer
//! handles, [`wire`] their JSON, [`server`] the HTTP server on a thread of its own, [`client`] its client.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod client;
pub mod messages;
pub mod server;
pub mod wire;
