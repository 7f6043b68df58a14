//! Errors that prevent a command from being carried out.

use std::path::PathBuf;
use whinwall_overrides::InvalidField;

/// The reason why no controller was called or why the replies cannot be printed. The messages are for operators.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The command line and the environment contain no controller address.
    #[error("no controller address: use --governor or set WHINWALL_GOVERNORS")]
    NoController,
    /// The token file cannot be read.
    #[error("cannot read the token file {}: {source}", path.display())]
    TokenFile { path: PathBuf, source: std::io::Error },
    /// The override is invalid, so all controllers would reject it.
    #[error(transparent)]
    InvalidOverride(#[from] InvalidField),
    /// A reply cannot be encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
