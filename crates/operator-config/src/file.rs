//! The contents of the operators' file. Each part is off where it is not named.

use crate::error::{ConfigError, StructureError};
use crate::overrides::{parse_overrides, OverridesElement};
use crate::subsetting::{parse_subsetting, SubsettingConfig};
use crate::values::{parse_absolute_path, parse_loopback_address, parse_whole_number, ValueError};
use crate::xml::{self, Element};
use std::net::SocketAddr;
use std::path::PathBuf;
use whinwall_overrides::{ConfiguredOverride, OverrideLimits};

/// The largest file; a larger one is a mistake.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// The most reader threads: more would only wait for the reducer.
const MAX_CORES: usize = 64;
/// The version of the file's format.
const VERSION: &str = "1";

/// The operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorsFile {
    /// The format of the log.
    pub log_format: LogFormat,
    /// The folder of the override store; without one overrides are lost with the program.
    pub store_folder: Option<PathBuf>,
    /// The management API.
    pub management: Option<ManagementEndpoint>,
    /// How many cores the program may use; one where nothing is said.
    pub max_cores: Option<usize>,
    /// The limits on overrides.
    pub override_limits: OverrideLimits,
    /// The overrides that the file sets.
    pub overrides: Vec<ConfiguredOverride>,
    /// The fleet in which each controller steers a subset of the replicas, with reports from aggregators.
    pub subsetting: Option<SubsettingConfig>,
}

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Text,
    /// A JSON object per line.
    Json,
}

/// Where the management API listens.
#[derive(Clone, Debug, PartialEq)]
pub enum ManagementEndpoint {
    /// A Unix socket, for its owner alone.
    Socket(PathBuf),
    /// A loopback address, for clients that send the token.
    Address {
        /// The address.
        address: SocketAddr,
        /// The file with the token.
        token_file: PathBuf,
    },
}

/// Reads the operators' file.
///
/// # Errors
/// The first thing that is wrong with it, and where.
pub fn parse(text: &str) -> Result<OperatorsFile, ConfigError> {
    let root = xml::parse(text)?;
    if root.name != "operators" {
        return Err(root.error(StructureError::WrongRoot("operators")));
    }
    root.allow_only(&["version"], &["log", "store", "management", "cores", "overrides", "subsetting"])?;
    root.required("version", check_version)?;
    let (log, store) = (root.optional_child("log")?, root.optional_child("store")?);
    let management = root.optional_child("management")?.map(parse_management).transpose()?;
    let max_cores = root.optional_child("cores")?.map(parse_cores).transpose()?;
    let subsetting = root.optional_child("subsetting")?.map(parse_subsetting).transpose()?;
    let OverridesElement { limits, overrides } =
        root.optional_child("overrides")?.map(parse_overrides).transpose()?.unwrap_or_default();
    Ok(OperatorsFile {
        log_format: log.map(parse_log_format).transpose()?.unwrap_or_default(),
        store_folder: store.map(parse_store_folder).transpose()?,
        management,
        max_cores,
        override_limits: limits,
        overrides,
        subsetting,
    })
}

fn check_version(version: &str) -> Result<(), ValueError> {
    if version == VERSION {
        Ok(())
    } else {
        Err(ValueError::WrongVersion { found: version.into(), expected: VERSION })
    }
}

fn parse_log_format(element: &Element) -> Result<LogFormat, ConfigError> {
    element.allow_only(&["form"], &[])?;
    element.required("form", |format| match format {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err(ValueError::NotLogFormat(format.into())),
    })
}

fn parse_store_folder(element: &Element) -> Result<PathBuf, ConfigError> {
    element.allow_only(&["folder"], &[])?;
    element.required("folder", parse_absolute_path)
}

fn parse_management(element: &Element) -> Result<ManagementEndpoint, ConfigError> {
    element.allow_only(&["socket", "address", "token-file"], &[])?;
    match (element.attribute("socket"), element.attribute("address")) {
        (Some(_), None) if element.attribute("token-file").is_some() => {
            Err(element.error(StructureError::TokenForSocket))
        }
        (Some(_), None) => Ok(ManagementEndpoint::Socket(element.required("socket", parse_absolute_path)?)),
        (None, Some(_)) => Ok(ManagementEndpoint::Address {
            address: element.required("address", parse_loopback_address)?,
            token_file: element.required("token-file", parse_absolute_path)?,
        }),
        _ => Err(element.error(StructureError::SocketOrAddress)),
    }
}

fn parse_cores(element: &Element) -> Result<usize, ConfigError> {
    element.allow_only(&["most"], &[])?;
    element.required("most", |text| parse_whole_number(text, MAX_CORES))
}
