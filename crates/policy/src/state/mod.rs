//! What a controller remembers.

pub(crate) mod averages;
pub(crate) mod command_channel;
pub(crate) mod controller;
pub(crate) mod link;
pub(crate) mod pins;
pub(crate) mod ranking;
pub(crate) mod replica;
pub(crate) mod schedule;
pub(crate) mod shared_load;
pub(crate) mod slice;
