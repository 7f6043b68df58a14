//! The errors of the subcommands.

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
    #[error("{}: contains results of experiment {found_experiment} at commit {found_commit}, expected experiment {experiment} at commit {commit}", folder.display())]
    OtherResults {
        folder: PathBuf,
        found_experiment: String,
        found_commit: String,
        experiment: String,
        commit: String,
    },
    #[error("{}: run failed: {status}", program.display())]
    OtherBuild { program: PathBuf, status: ExitStatus },
    #[error("no scenario was run: --days must be at least 1")]
    NoScenarios,
    #[error("{}: no run with policy governed has case {case} and seed {seed}", path.display())]
    NoMatchingRun { path: PathBuf, case: String, seed: String },
}
