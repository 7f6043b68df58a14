//! The operators' file as the aggregator's configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;
use whinwall_aggregation::configuration::{Configuration, ConfigurationError, ControllerMember};
use whinwall_operator_config::file::{self, MAX_FILE_BYTES};
use whinwall_operator_config::{ConfigError, SubsettingConfig};

/// What the file says.
pub struct Members {
    /// For the reducer.
    pub configuration: Configuration,
    /// Where the other aggregators listen, by name.
    pub peers: BTreeMap<String, SocketAddr>,
}

/// Why the file can't be used.
#[derive(Debug, Error)]
pub enum ConfigurationFileError {
    /// It can't be read.
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    /// It is larger than any file that somebody wrote.
    #[error("it has more than {MAX_FILE_BYTES} bytes")]
    TooLarge,
    /// It is faulty at a place.
    #[error("{0}")]
    Faulty(ConfigError),
    /// It says nothing of subsetting.
    #[error("it has no element <subsetting>")]
    NoSubsetting,
    /// What it says does not fit together.
    #[error("<subsetting>: {0}")]
    Inconsistent(#[from] ConfigurationError),
}

/// Reads the file, for the aggregator of this name.
///
/// # Errors
///
/// Where the file can't be read, is invalid, or does not name this aggregator.
pub fn read(path: &Path, own: &str) -> Result<Members, ConfigurationFileError> {
    if std::fs::metadata(path)?.len() > MAX_FILE_BYTES as u64 {
        return Err(ConfigurationFileError::TooLarge);
    }
    let text = std::fs::read_to_string(path)?;
    let file = file::parse(&text).map_err(ConfigurationFileError::Faulty)?;
    members(file.subsetting.ok_or(ConfigurationFileError::NoSubsetting)?, own)
}

fn members(subsetting: SubsettingConfig, own: &str) -> Result<Members, ConfigurationFileError> {
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
