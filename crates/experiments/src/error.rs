//! Why a subcommand fails.

use std::path::PathBuf;
use std::process::ExitStatus;
use thiserror::Error;
use whinwall_experiments::charts::ChartError;
use whinwall_experiments::results::ResultsError;
use whinwall_operator_config::ConfigError;

#[derive(Debug, Error)]
pub(crate) enum CommandError {
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: std::io::Error },
    #[error("{}: {source}", path.display())]
    Experiment { path: PathBuf, source: ConfigError },
    #[error(transparent)]
    Results(#[from] ResultsError),
    #[error(transparent)]
    Charts(#[from] ChartError),
    #[error("{}: it holds {held} of {held_commit}, not {experiment} of {commit}", folder.display())]
    OtherResults { folder: PathBuf, held: String, held_commit: String, experiment: String, commit: String },
    #[error("{}: it ended with {status}", program.display())]
    OtherBuild { program: PathBuf, status: ExitStatus },
    #[error("no day was played")]
    NothingPlayed,
    #[error("no governed day of the experiment fits")]
    NoMatchingScenario,
}
