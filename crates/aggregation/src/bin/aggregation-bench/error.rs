//! Errors of the benchmark.

use std::io;
use thiserror::Error;
use whinwall_aggregation::configuration::ConfigurationError;
use whinwall_protocol::DecodeError;
use whinwall_subsetting::ParametersError;

/// An error that ends the benchmark.
#[derive(Debug, Error)]
pub enum BenchError {
    /// The subset size is invalid.
    #[error("{0}")]
    Parameters(#[from] ParametersError),
    /// The configuration of the aggregator is invalid.
    #[error("{0}")]
    Configuration(#[from] ConfigurationError),
    /// The generated endpoint list cannot be decoded.
    #[error("invalid endpoint list: {0}")]
    InvalidList(#[from] DecodeError),
    /// The generated endpoint list is decoded as a heartbeat.
    #[error("generated endpoint list is decoded as a heartbeat")]
    ListIsHeartbeat,
    /// A socket, file or process operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A status file cannot be read.
    #[error("{path}: {source}")]
    StatusFile {
        /// Path of the file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// A status file lacks a field or its value is not a number.
    #[error("{path}: field {field:?} is missing or not a number")]
    MissingField {
        /// Path of the file.
        path: String,
        /// Name of the field.
        field: String,
    },
    /// The CPU time of the measured process is not a number.
    #[error("invalid CPU time: {0}")]
    CpuTime(#[from] std::num::ParseFloatError),
    /// The result cannot be encoded as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}
