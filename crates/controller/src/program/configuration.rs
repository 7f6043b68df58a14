//! Reads the configuration from the environment and the files, validates it and applies defaults. Errors name the
//! invalid key.

use super::configuration_file::ConfigFile;
use serde_json::Value;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::level_filters::LevelFilter;
use whinwall_operator_config::{file, OperatorsFile};
use whinwall_protocol::discovery::List;
use whinwall_routing::subset::{Fleet, FleetError};
use whinwall_settings::Settings;
use whinwall_transport::{limits, Targets};

/// Maximum number of log lines of one kind per second if `WHINWALL_LOG_LINES` is not set.
const DEFAULT_LOG_LINES_PER_SECOND: u32 = 40;
/// Keys of the configuration file that are read only at start-up; a reload does not apply changes to them.
const RESTART_ONLY_KEYS: [&str; 4] = ["name", "listen", "limits", "settings"];

/// Errors in the configuration. Their texts are shown to the operator.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `PROXY_CONFIG` is not set.
    #[error("PROXY_CONFIG is not set; set it to the path of the configuration file")]
    NoFile,
    /// The configuration file cannot be read.
    #[error("PROXY_CONFIG: {}: {source}", path.display())]
    UnreadableFile {
        /// Path of the configuration file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The configuration file is not valid JSON.
    #[error("PROXY_CONFIG: {}: {source}", path.display())]
    InvalidJson {
        /// Path of the configuration file.
        path: PathBuf,
        /// The syntax error and its position.
        source: serde_json::Error,
    },
    /// A top-level key is missing, or the file does not contain a JSON object.
    #[error("{0}")]
    InvalidFile(#[source] serde_json::Error),
    /// A value has the wrong type, or a nested key is missing.
    #[error("{key}: {source}")]
    InvalidValue {
        /// The path of the key in the file.
        key: String,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// A required value is given neither in the file nor in the environment.
    #[error("{key} is missing: set the key in the file or PROXY_{}", key.to_uppercase())]
    MissingValue {
        /// The key of the file.
        key: &'static str,
    },
    /// An address does not have the form `IP:PORT`.
    #[error("{key}: invalid address {value:?}: {source}")]
    InvalidAddress {
        /// The key of the file.
        key: &'static str,
        /// The configured value.
        value: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// The limit of file descriptors leaves none for connections from collectors.
    #[error("limits.sockets: {sockets} is too low to accept connections, minimum {minimum}")]
    TooFewSockets {
        /// The configured limit.
        sockets: f64,
        /// The lowest limit that leaves file descriptors for one connection.
        minimum: usize,
    },
    /// `WHINWALL_LOG` is not a log level.
    #[error("WHINWALL_LOG: invalid log level {value:?}, expected error, warn, info or debug")]
    InvalidLogLevel {
        /// The value of the variable.
        value: String,
    },
    /// `WHINWALL_LOG_LINES` is not a non-negative integer.
    #[error("WHINWALL_LOG_LINES: invalid number {value:?}: {source}")]
    InvalidLogLines {
        /// The value of the variable.
        value: String,
        /// The parse error.
        source: ParseIntError,
    },
    /// The operators' file is unreadable or invalid.
    #[error(transparent)]
    OperatorsFile(#[from] OperatorsFileError),
    /// The fleet in the operators' file is invalid or does not list this controller.
    #[error("operators' file: {0}")]
    Fleet(#[from] FleetError),
}

/// Errors in the operators' file. Their texts name the file and, if its contents are invalid, the position in it.
#[derive(Debug, thiserror::Error)]
pub enum OperatorsFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the operators' file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is larger than `file::MAX_FILE_BYTES` bytes.
    #[error("{}: file too large: {bytes} bytes, limit {} bytes", path.display(), file::MAX_FILE_BYTES)]
    TooLarge {
        /// Path of the operators' file.
        path: PathBuf,
        /// Size of the file.
        bytes: u64,
    },
    /// The contents of the file are invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// Path of the operators' file.
        path: PathBuf,
        /// The error and its position.
        source: whinwall_operator_config::ConfigError,
    },
}

/// The logging options given by the environment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoggingConfig {
    /// The least severe level that is logged.
    pub level: LevelFilter,
    /// Maximum number of lines of one kind per second.
    pub lines_per_second: u32,
}

/// The environment variables that the program reads. Variables that correspond to keys of the configuration file take
/// precedence over the file.
#[derive(Clone, Debug, Default)]
pub struct ProcessEnvironment {
    /// `PROXY_NAME`: the name of this controller.
    pub name: Option<String>,
    /// `PROXY_LISTEN`: the address that collectors connect to.
    pub listen: Option<String>,
    /// `PROXY_DISCOVERY`: the address of the discovery agent.
    pub discovery: Option<String>,
    /// `PROXY_CONFIG`: the path of the configuration file.
    pub config_file: Option<PathBuf>,
    /// `WHINWALL_LOG`: the least severe level that is logged.
    pub log_level: Option<String>,
    /// `WHINWALL_LOG_LINES`: maximum number of log lines of one kind per second.
    pub log_lines: Option<String>,
    /// `WHINWALL_OPERATORS`: the path of the operators' file.
    pub operators_file: Option<PathBuf>,
}

impl ProcessEnvironment {
    /// Reads the environment variables of this process; an empty variable counts as unset.
    pub fn from_process() -> Self {
        let variable = |key| std::env::var(key).ok().filter(|value| !value.is_empty());
        ProcessEnvironment {
            name: variable("PROXY_NAME"),
            listen: variable("PROXY_LISTEN"),
            discovery: variable("PROXY_DISCOVERY"),
            config_file: variable("PROXY_CONFIG").map(PathBuf::from),
            log_level: variable("WHINWALL_LOG"),
            log_lines: variable("WHINWALL_LOG_LINES"),
            operators_file: variable("WHINWALL_OPERATORS").map(PathBuf::from),
        }
    }

    /// Parses the logging variables.
    ///
    /// # Errors
    /// If one of them has an invalid value.
    pub fn logging(&self) -> Result<LoggingConfig, ConfigError> {
        let level = self.log_level.as_deref().map_or(Ok(LevelFilter::INFO), |value| {
            value.parse().map_err(|_| ConfigError::InvalidLogLevel { value: value.into() })
        })?;
        let lines_per_second =
            self.log_lines.as_deref().map_or(Ok(DEFAULT_LOG_LINES_PER_SECOND), |value| {
                value.parse().map_err(|source| ConfigError::InvalidLogLines { value: value.into(), source })
            })?;
        Ok(LoggingConfig { level, lines_per_second })
    }
}

/// The complete configuration of a controller.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// The name of this controller.
    pub name: String,
    /// The address that collectors connect to.
    pub listen: SocketAddr,
    /// The addresses of the relay and of discovery.
    pub targets: Targets,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of connections from collectors.
    pub max_connections: usize,
    /// Memory for incomplete lines, in bytes. Queued complete lines may use the same amount in addition.
    pub line_memory_bytes: usize,
    /// The endpoint list of a previous run, used until discovery sends the current one.
    pub known_endpoints: List,
    /// The settings of the policy.
    pub settings: Settings,
    /// The operators' file, if one is configured.
    pub operators: Option<OperatorsFile>,
    /// The fleet configured in the operators' file, in which each controller manages a subset of the replicas.
    pub fleet: Option<Fleet>,
    /// The number of reader threads beside the event loop thread; with 1, the event loop thread itself reads reports.
    pub cores: usize,
    /// The environment and the decoded file that the configuration was built from; a reload compares against them.
    environment: ProcessEnvironment,
    file: Value,
}

/// Reads and checks the configuration file and the operators' file.
///
/// # Errors
/// Names the invalid variable, file or key.
pub fn load(environment: ProcessEnvironment) -> Result<ControllerConfig, ConfigError> {
    let file = read_config_file(&environment)?;
    build_config(environment, file)
}

impl ControllerConfig {
    /// Derives another seed after a panic, so that acknowledgements of versions sent by the previous incarnation
    /// are not taken for acknowledgements of versions of the new one.
    pub fn begin_new_incarnation(&mut self) {
        self.seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(1);
    }

    /// Reads the files again and applies them. Returns the changed keys that take effect only after a restart.
    ///
    /// # Errors
    /// Same as `load`; the configuration is unchanged in this case.
    pub fn reload(&mut self) -> Result<Vec<&'static str>, ConfigError> {
        let file = read_config_file(&self.environment)?;
        let mut environment = self.environment.clone();
        // PROXY_DISCOVERY takes precedence until the operator changes the key in the file.
        let previous_discovery = self.file.get("discovery");
        if file.get("discovery").is_some_and(|discovery| Some(discovery) != previous_discovery) {
            environment.discovery = None;
        }
        let new = build_config(environment, file)?;
        let not_applied = self.changed_restart_only_keys(&new);
        self.targets = new.targets;
        self.environment = new.environment;
        self.file = new.file;
        self.operators = new.operators;
        self.fleet = new.fleet;
        Ok(not_applied)
    }

    fn changed_restart_only_keys(&self, new: &Self) -> Vec<&'static str> {
        let has_changed = |key: &&str| new.file.get(key) != self.file.get(key);
        let mut changes: Vec<_> = RESTART_ONLY_KEYS.into_iter().filter(has_changed).collect();
        let store_folder =
            |config: &Self| config.operators.as_ref().and_then(|file| file.store_folder.clone());
        if store_folder(new) != store_folder(self) {
            changes.push("operators' file: <store>");
        }
        if new.cores != self.cores {
            changes.push("operators' file: <cores>");
        }
        changes
    }
}

fn read_config_file(environment: &ProcessEnvironment) -> Result<Value, ConfigError> {
    let path = environment.config_file.as_ref().ok_or(ConfigError::NoFile)?;
    let text =
        std::fs::read(path).map_err(|source| ConfigError::UnreadableFile { path: path.clone(), source })?;
    serde_json::from_slice(&text).map_err(|source| ConfigError::InvalidJson { path: path.clone(), source })
}

/// Reads and checks the operators' file.
///
/// # Errors
/// Names the file and the position in it.
pub fn read_operators_file(path: &Path) -> Result<OperatorsFile, OperatorsFileError> {
    let unreadable = |source| OperatorsFileError::Unreadable { path: path.into(), source };
    let bytes = std::fs::metadata(path).map_err(unreadable)?.len();
    if bytes > file::MAX_FILE_BYTES as u64 {
        return Err(OperatorsFileError::TooLarge { path: path.into(), bytes });
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    file::parse(&text).map_err(|source| OperatorsFileError::Invalid { path: path.into(), source })
}

/// Decodes the list of known endpoints. An invalid list is logged and ignored, as discovery soon sends the current
/// one.
fn decode_known_endpoints(value: Value) -> List {
    if value.is_null() {
        return List::default();
    }
    serde_json::from_value(value).unwrap_or_else(|error| {
        tracing::warn!(key = "known", %error, "invalid known endpoint list ignored");
        List::default()
    })
}

/// Builds the fleet configured in the operators' file as seen by the controller `name`.
fn build_fleet(operators: Option<&OperatorsFile>, name: &str) -> Result<Option<Fleet>, FleetError> {
    let subsetting = operators.and_then(|file| file.subsetting.as_ref());
    subsetting.map(|subsetting| Fleet::new(subsetting, name)).transpose()
}

fn decode_config_file(file: &Value) -> Result<ConfigFile, ConfigError> {
    serde_path_to_error::deserialize(file).map_err(|error| {
        let path = error.path();
        if path.iter().next().is_none() {
            return ConfigError::InvalidFile(error.into_inner());
        }
        ConfigError::InvalidValue { key: path.to_string(), source: error.into_inner() }
    })
}

/// Returns the value of the environment variable if it is set, otherwise the value from the file.
fn required_value(
    variable: Option<&String>,
    file_value: Option<String>,
    key: &'static str,
) -> Result<String, ConfigError> {
    variable.cloned().or(file_value).ok_or(ConfigError::MissingValue { key })
}

fn parse_address(value: String, key: &'static str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|source| ConfigError::InvalidAddress { key, value, source })
}

fn seed_from_wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}

fn build_config(environment: ProcessEnvironment, raw_file: Value) -> Result<ControllerConfig, ConfigError> {
    let file = decode_config_file(&raw_file)?;
    let operators = environment.operators_file.as_deref().map(read_operators_file).transpose()?;
    // Threads beyond the number of granted cores would only compete for them.
    let granted_cores = file.limits.cores.map_or(usize::MAX, |cores| (cores as usize).max(1));
    let cores = operators.as_ref().and_then(|file| file.max_cores).unwrap_or(1).min(granted_cores);
    // With a reader pool, the event loop holds a second file descriptor of each connection.
    let descriptors_per_connection = if cores > 1 { 2 } else { 1 };
    let sockets = file.limits.sockets;
    let minimum = limits::RESERVED_DESCRIPTORS + descriptors_per_connection;
    if (sockets as usize) < minimum {
        return Err(ConfigError::TooFewSockets { sockets, minimum });
    }
    let max_connections = (sockets as usize - limits::RESERVED_DESCRIPTORS) / descriptors_per_connection;
    let name = required_value(environment.name.as_ref(), file.name, "name")?;
    let fleet = build_fleet(operators.as_ref(), &name)?;
    let listen = required_value(environment.listen.as_ref(), file.listen, "listen")?;
    let listen = parse_address(listen, "listen")?;
    let discovery = required_value(environment.discovery.as_ref(), file.discovery, "discovery")?;
    Ok(ControllerConfig {
        name,
        listen,
        targets: Targets {
            discovery: parse_address(discovery, "discovery")?,
            relay: parse_address(file.relay.address, "distributor.address")?,
        },
        seed: file.seed.unwrap_or_else(seed_from_wall_clock),
        max_connections,
        line_memory_bytes: (file.limits.memory_mb * 1e6) as usize / limits::LINE_MEMORY_DIVISOR,
        known_endpoints: decode_known_endpoints(file.known_endpoints),
        settings: file.settings,
        operators,
        fleet,
        cores,
        environment,
        file: raw_file,
    })
}
