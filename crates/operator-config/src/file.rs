//! The contents of the operators' file. A feature whose element is absent is disabled.

use crate::error::{ConfigError, StructureError};
use crate::overrides::{parse_overrides, OverridesElement};
use crate::subsetting::{parse_subsetting, SubsettingConfig};
use crate::values::{parse_absolute_path, parse_loopback_address, parse_positive_integer, ValueError};
use crate::xml::{self, Element};
use std::net::SocketAddr;
use std::path::PathBuf;
use whinwall_overrides::{ConfiguredOverride, OverrideLimits};

/// The largest accepted file. Real files are far smaller, so a larger one is a mistake.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// The largest number of cores: reader threads beyond it would only wait for the reducer.
const MAX_CORES: usize = 64;
/// The supported version of the file format.
const VERSION: &str = "1";

/// The parsed operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorsFile {
    /// The format of the log.
    pub log_format: LogFormat,
    /// The folder of the override store. Without a store, overrides are lost when the program ends.
    pub store_folder: Option<PathBuf>,
    /// The endpoint of the management API.
    pub management: Option<ManagementEndpoint>,
    /// The number of cores that the program may use; one if absent.
    pub max_cores: Option<usize>,
    /// The limits on overrides.
    pub override_limits: OverrideLimits,
    /// The overrides defined in the file.
    pub overrides: Vec<ConfiguredOverride>,
    /// The fleet in which each controller controls a subset of the replicas and receives reports from aggregators.
    pub subsetting: Option<SubsettingConfig>,
}

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The endpoint on which the management API listens.
#[derive(Clone, Debug, PartialEq)]
pub enum ManagementEndpoint {
    /// A Unix socket to which only its owner can connect.
    Socket(PathBuf),
    /// A loopback address, for clients that authenticate with the token.
    Address {
        /// The address.
        address: SocketAddr,
        /// The path of the file that contains the token.
        token_file: PathBuf,
    },
}

/// Parses the operators' file.
///
/// # Errors
/// The first error in the file, with its location.
pub fn parse(text: &str) -> Result<OperatorsFile, ConfigError> {
    let root = xml::parse(text)?;
    if root.name != "operators" {
        return Err(root.error(StructureError::WrongRoot("operators")));
    }
    root.allow_only(&["version"], &["log", "store", "management", "cores", "overrides", "subsetting"])?;
    root.required("version", validate_version)?;
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

fn validate_version(version: &str) -> Result<(), ValueError> {
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
    element.required("most", |text| parse_positive_integer(text, MAX_CORES))
}
