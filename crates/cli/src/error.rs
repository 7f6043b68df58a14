//! Why a command is not carried out at all.

use std::path::PathBuf;
use whinwall_overrides::InvalidField;

/// Why no controller was called, or the replies cannot be shown. The messages are shown to operators.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// No controller is named.
    #[error("no governor is named: give --governor, or set WHINWALL_GOVERNORS")]
    NoController,
    /// The token file cannot be read.
    #[error("{}: {source}", path.display())]
    TokenFile { path: PathBuf, source: std::io::Error },
    /// All controllers would reject the override.
    #[error(transparent)]
    InvalidOverride(#[from] InvalidField),
    /// A reply cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
