//! The one place where configuration is read, checked and given defaults. A message names the faulty key.

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::level_filters::LevelFilter;
use whinwall_operator_config::{file, OperatorsFile};
use whinwall_protocol::discovery::List;
use whinwall_routing::subset::Fleet;
use whinwall_settings::Settings;
use whinwall_transport::{limits, Targets};

const LOG_LINES: u32 = 40;
/// What a running program can't change.
const ONLY_AT_START: [&str; 4] = ["name", "listen", "limits", "settings"];

/// What the process finds around it; variables win over the file.
#[derive(Clone, Debug, Default)]
pub struct Surroundings {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub file: Option<PathBuf>,
    pub log_level: Option<String>,
    pub log_lines: Option<String>,
    pub operators: Option<PathBuf>,
}

impl Surroundings {
    pub fn of_process() -> Self {
        let variable = |key| std::env::var(key).ok().filter(|value| !value.is_empty());
        Surroundings {
            name: variable("PROXY_NAME"),
            listen: variable("PROXY_LISTEN"),
            discovery: variable("PROXY_DISCOVERY"),
            file: variable("PROXY_CONFIG").map(PathBuf::from),
            log_level: variable("WHINWALL_LOG"),
            log_lines: variable("WHINWALL_LOG_LINES"),
            operators: variable("WHINWALL_OPERATORS").map(PathBuf::from),
        }
    }

    /// How much is logged: the least level, and lines a second at the most.
    pub fn logging(&self) -> Result<(LevelFilter, u32), String> {
        let level = self.log_level.as_deref().map_or(Ok(LevelFilter::INFO), str::parse);
        let lines = self.log_lines.as_deref().map_or(Ok(LOG_LINES), str::parse);
        Ok((
            level.map_err(|_| "WHINWALL_LOG: no level (error, warn, info, debug)")?,
            lines.map_err(|why| format!("WHINWALL_LOG_LINES: {why}"))?,
        ))
    }
}

/// All that the controller is told before it starts.
#[derive(Clone, Debug)]
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub targets: Targets,
    pub seed: u64,
    /// Connections to our address at the most.
    pub connections: usize,
    /// What lines without their end may take in memory, in bytes; and those that wait as much again.
    pub line_bytes: usize,
    pub known: List,
    pub settings: Settings,
    /// What the operators' file says, where there is one.
    pub operators: Option<OperatorsFile>,
    /// The fleet that the operators' file names, where each controller steers a subset of the replicas.
    pub fleet: Option<Fleet>,
    /// Threads for the way of reports: one, or one that decides and readers beside it.
    pub cores: usize,
    /// Where all this is from, for reading it anew.
    around: Surroundings,
    file: Value,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default, deserialize_with = "seed")]
    seed: Option<u64>,
    #[serde(default)]
    limits: Limits,
    distributor: Distributor,
    #[serde(default)]
    known: Value,
    settings: Settings,
}

#[derive(Deserialize)]
struct Distributor {
    address: String,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    cores: Option<f64>,
    sockets: f64,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cores: None, sockets: 1024.0, memory_mb: 192.0 }
    }
}

/// Sixteen hexadecimal digits, or a plain number.
fn seed<'de, D: Deserializer<'de>>(raw: D) -> Result<Option<u64>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Seed {
        Number(u64),
        Digits(String),
    }
    match Option::deserialize(raw)? {
        None => Ok(None),
        Some(Seed::Number(seed)) => Ok(Some(seed)),
        Some(Seed::Digits(digits)) => {
            u64::from_str_radix(&digits, 16).map(Some).map_err(serde::de::Error::custom)
        }
    }
}

pub fn read(around: Surroundings) -> Result<Start, String> {
    let written = written(&around)?;
    check(around, written)
}

impl Start {
    /// A life after a panic draws anew: an ack of the former one's versions must not pass for one of this.
    pub fn begin_new_incarnation(&mut self) {
        self.seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(1);
    }

    /// Takes over what the file says now; where that can't be used, all stays as it was. Returns the keys
    /// that changed and that only a start can take over.
    pub fn read_anew(&mut self) -> Result<Vec<&'static str>, String> {
        let written = written(&self.around)?;
        let mut around = self.around.clone();
        // A variable wins until its key changes in the file: whoever changes that means it.
        let before = self.file.get("discovery");
        if written.get("discovery").is_some_and(|now| Some(now) != before) {
            around.discovery = None;
        }
        let new = check(around, written)?;
        let changed = |key: &&str| new.file.get(key) != self.file.get(key);
        let mut left: Vec<_> = ONLY_AT_START.into_iter().filter(changed).collect();
        let store = |file: &Option<OperatorsFile>| file.as_ref().and_then(|file| file.store_folder.clone());
        if store(&new.operators) != store(&self.operators) {
            left.push("operators' file: <store>");
        }
        if new.cores != self.cores {
            left.push("operators' file: <cores>");
        }
        (self.targets, self.around, self.file, self.operators, self.fleet) =
            (new.targets, new.around, new.file, new.operators, new.fleet);
        Ok(left)
    }
}

fn written(around: &Surroundings) -> Result<Value, String> {
    let path = around.file.as_ref().ok_or("PROXY_CONFIG is not set; it names the configuration file")?;
    let text = std::fs::read(path).map_err(|why| format!("PROXY_CONFIG: {}: {why}", path.display()))?;
    serde_json::from_slice(&text).map_err(|why| format!("PROXY_CONFIG: {}: {why}", path.display()))
}

/// Errors name the file and the place in it.
pub fn operators(path: &Path) -> Result<OperatorsFile, String> {
    let wrong = |why: &dyn std::fmt::Display| format!("{}: {why}", path.display());
    let size = std::fs::metadata(path).map_err(|why| wrong(&why))?.len();
    if size > file::MAX_FILE_BYTES as u64 {
        return Err(wrong(&format!("{size} bytes are too many")));
    }
    let text = std::fs::read_to_string(path).map_err(|why| wrong(&why))?;
    file::parse(&text).map_err(|why| wrong(&why))
}

/// Only a help until the list is told: what can't be read of it keeps nobody from starting.
fn known(written: Value) -> List {
    if written.is_null() {
        return List::default();
    }
    serde_json::from_value(written).unwrap_or_else(|why| {
        tracing::warn!("configuration: known: {why}; begun without it");
        List::default()
    })
}

/// The fleet that the operators' file names; this controller is one of it.
fn fleet(operators: Option<&OperatorsFile>, name: &str) -> Result<Option<Fleet>, String> {
    let subsetting = operators.and_then(|file| file.subsetting.as_ref());
    let fleet = subsetting.map(|subsetting| Fleet::new(subsetting, name)).transpose();
    fleet.map_err(|why| format!("operators' file: {why}"))
}

fn check(around: Surroundings, written: Value) -> Result<Start, String> {
    let file: File = serde_path_to_error::deserialize(&written).map_err(|wrong| match wrong.path() {
        path if path.iter().next().is_none() => wrong.inner().to_string(),
        path => format!("{path}: {}", wrong.inner()),
    })?;
    let either = |variable: &Option<String>, key: Option<String>, name: &str| {
        let value = variable.clone().or(key);
        value.ok_or_else(|| {
            format!("{name} is given neither in the file nor as PROXY_{}", name.to_uppercase())
        })
    };
    let address = |value: String, name: &str| {
        value.parse::<SocketAddr>().map_err(|why| format!("{name}: {value:?} is no address: {why}"))
    };
    let clock = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
    let operators = around.operators.as_deref().map(operators).transpose()?;
    // More than the platform lends would only take turns.
    let lent = file.limits.cores.map_or(usize::MAX, |cores| (cores as usize).max(1));
    let cores = operators.as_ref().and_then(|file| file.max_cores).unwrap_or(1).min(lent);
    // Beside readers the one who decides has a second hand on each connection.
    let hands = if cores > 1 { 2 } else { 1 };
    let connections = (file.limits.sockets as usize).saturating_sub(limits::RESERVED_DESCRIPTORS) / hands;
    if connections == 0 {
        return Err(format!("limits.sockets: {} are too few", file.limits.sockets));
    }
    let name = either(&around.name, file.name, "name")?;
    let fleet = fleet(operators.as_ref(), &name)?;
    Ok(Start {
        name,
        listen: address(either(&around.listen, file.listen, "listen")?, "listen")?,
        targets: Targets {
            discovery: address(either(&around.discovery, file.discovery, "discovery")?, "discovery")?,
            relay: address(file.distributor.address, "distributor.address")?,
        },
        seed: file.seed.unwrap_or_else(clock),
        connections,
        line_bytes: (file.limits.memory_mb * 1e6) as usize / limits::LINE_MEMORY_DIVISOR,
        known: known(file.known),
        settings: file.settings,
        operators,
        fleet,
        cores,
        around,
        file: written,
    })
}
