//! The one place where configuration is read, checked and given defaults. An error names the faulty key.

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

/// Log lines of one kind in a second, where `WHINWALL_LOG_LINES` is not set.
const DEFAULT_LOG_LINES_PER_SECOND: u32 = 40;
/// Keys that a reload cannot apply.
const KEYS_THAT_NEED_A_RESTART: [&str; 4] = ["name", "listen", "limits", "settings"];

/// Why the configuration cannot be used; the text is shown to the operator.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment names no configuration file.
    #[error("PROXY_CONFIG is not set; it names the configuration file")]
    NoFile,
    /// The configuration file cannot be read.
    #[error("PROXY_CONFIG: {}: {source}", path.display())]
    UnreadableFile {
        /// The configuration file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The configuration file is not JSON.
    #[error("PROXY_CONFIG: {}: {source}", path.display())]
    InvalidJson {
        /// The configuration file.
        path: PathBuf,
        /// Where it is faulty.
        source: serde_json::Error,
    },
    /// A key at the top of the file is missing, or the file is no object.
    #[error("{0}")]
    InvalidFile(#[source] serde_json::Error),
    /// A value has the wrong type, or a key below the top is missing.
    #[error("{key}: {source}")]
    InvalidValue {
        /// The path of the value.
        key: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A required value is in neither place.
    #[error("{key} is given neither in the file nor as PROXY_{}", key.to_uppercase())]
    MissingValue {
        /// The key in the file.
        key: &'static str,
    },
    /// An address is not of the form `IP:PORT`.
    #[error("{key}: {value:?} is no address: {source}")]
    InvalidAddress {
        /// The key in the file.
        key: &'static str,
        /// Its value.
        value: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// No connection could be accepted.
    #[error("limits.sockets: {sockets} are too few")]
    TooFewSockets {
        /// The value of the key.
        sockets: f64,
    },
    /// `WHINWALL_LOG` is not a log level.
    #[error("WHINWALL_LOG: no level (error, warn, info, debug)")]
    InvalidLogLevel,
    /// `WHINWALL_LOG_LINES` is not a number.
    #[error("WHINWALL_LOG_LINES: {0}")]
    InvalidLogLines(#[source] ParseIntError),
    /// The operators' file cannot be used.
    #[error(transparent)]
    OperatorsFile(#[from] OperatorsFileError),
    /// The fleet in the operators' file is not one with this controller.
    #[error("operators' file: {0}")]
    Fleet(#[from] FleetError),
}

/// Why the operators' file cannot be used; the text names the file and the position in it.
#[derive(Debug, thiserror::Error)]
pub enum OperatorsFileError {
    /// It cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The operators' file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// It is larger than `file::MAX_FILE_BYTES` bytes.
    #[error("{}: {bytes} bytes are too many", path.display())]
    TooLarge {
        /// The operators' file.
        path: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// Its contents are not valid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The operators' file.
        path: PathBuf,
        /// The position and what is wrong there.
        source: whinwall_operator_config::ConfigError,
    },
}

/// Log output as the environment asks for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoggingConfig {
    /// The least severe level that is logged.
    pub level: LevelFilter,
    /// Lines of one kind in a second, at most.
    pub lines_per_second: u32,
}

/// The environment variables that the program reads; those for keys of the file take precedence over it.
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
    /// `WHINWALL_LOG_LINES`: log lines of one kind in a second, at most.
    pub log_lines: Option<String>,
    /// `WHINWALL_OPERATORS`: the path of the operators' file.
    pub operators_file: Option<PathBuf>,
}

impl ProcessEnvironment {
    /// Reads the variables of this process; an empty one counts as not set.
    pub fn of_process() -> Self {
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

    /// Parses the variables of the log.
    ///
    /// # Errors
    /// Where one of them has no valid value.
    pub fn logging(&self) -> Result<LoggingConfig, ConfigError> {
        let level = self.log_level.as_deref().map_or(Ok(LevelFilter::INFO), str::parse);
        let lines = self.log_lines.as_deref().map_or(Ok(DEFAULT_LOG_LINES_PER_SECOND), str::parse);
        Ok(LoggingConfig {
            level: level.map_err(|_| ConfigError::InvalidLogLevel)?,
            lines_per_second: lines.map_err(ConfigError::InvalidLogLines)?,
        })
    }
}

/// The complete configuration of a controller.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// The name of this controller.
    pub name: String,
    /// The address that collectors connect to.
    pub listen: SocketAddr,
    /// Where the relay and discovery are.
    pub targets: Targets,
    /// Seed of all random draws.
    pub seed: u64,
    /// Connections from collectors, at most.
    pub max_connections: usize,
    /// Memory for incomplete lines, in bytes; complete lines that wait may take as much again.
    pub line_bytes: usize,
    /// The endpoint list of a former run, until discovery sends one.
    pub known_endpoints: List,
    /// Settings of the policy.
    pub settings: Settings,
    /// The operators' file, if one is named.
    pub operators: Option<OperatorsFile>,
    /// The fleet that the operators' file names, where each controller manages a subset of the replicas.
    pub fleet: Option<Fleet>,
    /// Threads that handle reports: one does everything, or one decides and as many read beside it.
    pub cores: usize,
    /// Where all this is from, for the reload.
    environment: ProcessEnvironment,
    file: Value,
}

/// Reads and checks the configuration file and the operators' file.
///
/// # Errors
/// Names the variable, the file or the key that is at fault.
pub fn load(environment: ProcessEnvironment) -> Result<ControllerConfig, ConfigError> {
    let file = read_config_file(&environment)?;
    build_config(environment, file)
}

impl ControllerConfig {
    /// Draws another seed after a panic: an acknowledgement of the former incarnation's versions must not pass for
    /// one of this incarnation.
    pub fn begin_new_incarnation(&mut self) {
        self.seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(1);
    }

    /// Applies what the files say now, and returns the keys that have changed but need a restart.
    ///
    /// # Errors
    /// As `load`; the configuration is unchanged then.
    pub fn reload(&mut self) -> Result<Vec<&'static str>, ConfigError> {
        let file = read_config_file(&self.environment)?;
        let mut environment = self.environment.clone();
        // The variable takes precedence until the key changes in the file: whoever changes it means it.
        let former_discovery = self.file.get("discovery");
        if file.get("discovery").is_some_and(|discovery| Some(discovery) != former_discovery) {
            environment.discovery = None;
        }
        let new = build_config(environment, file)?;
        let not_applied = self.changes_that_need_a_restart(&new);
        self.targets = new.targets;
        self.environment = new.environment;
        self.file = new.file;
        self.operators = new.operators;
        self.fleet = new.fleet;
        Ok(not_applied)
    }

    fn changes_that_need_a_restart(&self, new: &Self) -> Vec<&'static str> {
        let has_changed = |key: &&str| new.file.get(key) != self.file.get(key);
        let mut changes: Vec<_> = KEYS_THAT_NEED_A_RESTART.into_iter().filter(has_changed).collect();
        let store = |config: &Self| config.operators.as_ref().and_then(|file| file.store_folder.clone());
        if store(new) != store(self) {
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

/// An unreadable list is no error: discovery sends the current one soon.
fn decode_known_endpoints(value: Value) -> List {
    if value.is_null() {
        return List::default();
    }
    serde_json::from_value(value).unwrap_or_else(|error| {
        tracing::warn!(key = "known", %error, "known endpoint list ignored, it is invalid");
        List::default()
    })
}

/// The fleet that the operators' file names, with this controller in it.
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

/// The variable's value if it is set, otherwise the file's.
fn required(
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
    // More threads than the platform grants cores would only take turns.
    let granted_cores = file.limits.cores.map_or(usize::MAX, |cores| (cores as usize).max(1));
    let cores = operators.as_ref().and_then(|file| file.max_cores).unwrap_or(1).min(granted_cores);
    // Beside readers the event loop has a second descriptor of each connection.
    let descriptors_per_connection = if cores > 1 { 2 } else { 1 };
    let sockets = file.limits.sockets;
    let max_connections =
        (sockets as usize).saturating_sub(limits::RESERVED_DESCRIPTORS) / descriptors_per_connection;
    if max_connections == 0 {
        return Err(ConfigError::TooFewSockets { sockets });
    }
    let name = required(environment.name.as_ref(), file.name, "name")?;
    let fleet = build_fleet(operators.as_ref(), &name)?;
    let listen = required(environment.listen.as_ref(), file.listen, "listen")?;
    let listen = parse_address(listen, "listen")?;
    let discovery = required(environment.discovery.as_ref(), file.discovery, "discovery")?;
    Ok(ControllerConfig {
        name,
        listen,
        targets: Targets {
            discovery: parse_address(discovery, "discovery")?,
            relay: parse_address(file.relay.address, "distributor.address")?,
        },
        seed: file.seed.unwrap_or_else(seed_from_wall_clock),
        max_connections,
        line_bytes: (file.limits.memory_mb * 1e6) as usize / limits::LINE_MEMORY_DIVISOR,
        known_endpoints: decode_known_endpoints(file.known_endpoints),
        settings: file.settings,
        operators,
        fleet,
        cores,
        environment,
        file: raw_file,
    })
}
