//! Reads the aggregator's configuration from the operators' file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;
use whinwall_aggregation::configuration::{Configuration, ConfigurationError, ControllerMember};
use whinwall_operator_config::file::{self, MAX_FILE_BYTES};
use whinwall_operator_config::{ConfigError, SubsettingConfig};

/// The members of the fleet as read from the file.
pub struct Members {
    /// Configuration of the reducer.
    pub configuration: Configuration,
    /// Addresses of the other aggregators, by name.
    pub peers: BTreeMap<String, SocketAddr>,
}

/// An error in the operators' file.
#[derive(Debug, Error)]
pub enum ConfigurationFileError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    /// The file exceeds the size limit.
    #[error("file larger than {MAX_FILE_BYTES} bytes")]
    TooLarge,
    /// The file is invalid at a certain position.
    #[error("{0}")]
    Invalid(ConfigError),
    /// The file does not configure subsetting.
    #[error("missing element <subsetting>")]
    NoSubsetting,
    /// The subsetting configuration is inconsistent.
    #[error("<subsetting>: {0}")]
    Inconsistent(#[from] ConfigurationError),
}

/// Reads the file for the aggregator named `own`.
///
/// # Errors
///
/// Fails if the file cannot be read, is invalid, or does not name this aggregator.
pub fn read(path: &Path, own: &str) -> Result<Members, ConfigurationFileError> {
    if std::fs::metadata(path)?.len() > MAX_FILE_BYTES as u64 {
        return Err(ConfigurationFileError::TooLarge);
    }
    let text = std::fs::read_to_string(path)?;
    let file = file::parse(&text).map_err(ConfigurationFileError::Invalid)?;
    build_members(file.subsetting.ok_or(ConfigurationFileError::NoSubsetting)?, own)
}

fn build_members(subsetting: SubsettingConfig, own: &str) -> Result<Members, ConfigurationFileError> {
    let parameters = subsetting.parameters();
    let names: Vec<_> = subsetting.aggregators.iter().map(|member| member.name.clone()).collect();
    let controllers = subsetting.controllers.into_iter();
    let controllers = controllers.map(|member| ControllerMember {
        name: member.name,
        address: member.address,
        slices: member.slices,
    });
    let (bytes, controllers) = (subsetting.bytes_per_second, controllers.collect());
    let configuration = Configuration::new(own, parameters, bytes, controllers, &names)?;
    let aggregators = subsetting.aggregators.into_iter();
    let peers = aggregators.filter(|member| member.name != own).map(|member| (member.name, member.address));
    Ok(Members { configuration, peers: peers.collect() })
}
