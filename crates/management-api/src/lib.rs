//! The management API of a controller.
//!
//! [`messages`] defines the typed requests and replies that the controller's reducer handles, [`wire`] their JSON form.
//! [`server`] is the HTTP server, which runs on its own thread, and [`client`] the HTTP client.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod client;
pub mod messages;
pub mod server;
pub mod wire;
