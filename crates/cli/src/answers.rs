//! What governors answered, as `calls` collects it and `tables` shows it.

use whinwall_management_api::client::{Failure, Place};

/// The answer or failure of each governor, in the order in which they were named.
pub type Said<T> = Vec<(Place, Result<T, Failure>)>;
