//! What all listeners of the programs share: [`accept`] accepts connections whatever single ones do. Nothing here knows what is
//! served.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod accept;
