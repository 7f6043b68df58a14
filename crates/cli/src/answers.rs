//! What controllers answered, as `calls` collects it and `tables` shows it.

use whinwall_management_api::client::{ClientError, ManagementAddress};

/// The answer or failure of each controller, in the order in which they were named.
pub type Said<T> = Vec<(ManagementAddress, Result<T, ClientError>)>;
