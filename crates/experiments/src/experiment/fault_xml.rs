//! Reads and writes faults as XML elements.

use super::attributes::{lookup_name, parse_duration, parse_number_below, parse_positive};
use std::fmt::Write;
use std::ops::Range;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::{Fault, FaultKind, ListAnomaly};
use whinwall_operator_config::xml::Element;
use whinwall_operator_config::ConfigError;

/// The smallest interval of a partial list. An interval of 1 would drop every entry.
const MIN_PARTIAL_INTERVAL: usize = 2;

/// The kinds of faults and the attributes of each, besides `kind`, `begins` and `lasts`.
const FAULT_KINDS: [(&str, &[&str]); 27] = [
    ("crash", &["server"]),
    ("hang", &["server"]),
    ("silence", &["server"]),
    ("slow", &["server", "factor"]),
    ("fast-errors", &["server", "share"]),
    ("drain", &["server"]),
    ("release", &["from", "to"]),
    ("replaced", &["from", "to"]),
    ("place-lost", &["place"]),
    ("wrong-list", &["from", "to"]),
    ("list-late", &["by"]),
    ("list-again", &[]),
    ("list-back", &[]),
    ("list-lossy", &["each"]),
    ("hot-slice", &["slice", "factor"]),
    ("burst", &["factor"]),
    ("place-cut", &["place"]),
    ("relay-away", &[]),
    ("relay-mute", &[]),
    ("discovery-away", &[]),
    ("governor-killed", &["governor"]),
    ("herd", &["governors"]),
    ("slow-channel", &["share"]),
    ("proxies-leave", &["many"]),
    ("hand-over", &["from", "to"]),
    ("garbled", &["share"]),
    ("out-of-service", &["server"]),
];

/// The XML element of a fault, with the fleet whose sizes limit its attributes.
struct FaultElement<'a> {
    element: &'a Element,
    config: &'a ScenarioConfig,
}

/// Parses a fault from its `trouble` element.
pub(super) fn parse_fault(element: &Element, config: &ScenarioConfig) -> Result<Fault, ConfigError> {
    let attributes = element.required("kind", |text| lookup_name(text, &FAULT_KINDS))?;
    element.allow_only(&[&["kind", "begins", "lasts"], attributes].concat(), &[])?;
    let kind = FaultElement { element, config }.kind()?;
    let starts_after = element.required("begins", parse_duration)?;
    Ok(Fault { starts_after, duration: element.required("lasts", parse_duration)?, kind })
}

impl FaultElement<'_> {
    fn index(&self, attribute: &str, limit: usize) -> Result<usize, ConfigError> {
        self.element.required(attribute, |text| parse_number_below(text, limit))
    }

    fn positive(&self, attribute: &str) -> Result<f64, ConfigError> {
        self.element.required(attribute, parse_positive)
    }

    fn replica(&self) -> Result<usize, ConfigError> {
        self.index("server", self.config.replicas)
    }

    fn zone(&self) -> Result<usize, ConfigError> {
        self.index("place", self.config.zones)
    }

    /// Parses the attributes `from` and `to` as a range that is not empty and ends at `limit` or before.
    fn range(&self, limit: usize) -> Result<Range<usize>, ConfigError> {
        let (from, to) = (self.index("from", limit)?, self.index("to", limit + 1)?);
        if to <= from {
            return Err(self.element.error(format!("to: {to} must be greater than from, which is {from}")));
        }
        Ok(from..to)
    }

    fn kind(&self) -> Result<FaultKind, ConfigError> {
        let config = self.config;
        let kind = match self.element.attribute("kind").unwrap_or_default() {
            "place-lost" => FaultKind::ZoneLost { zone: self.zone()? },
            "place-cut" => FaultKind::ZonePartitioned { zone: self.zone()? },
            "hot-slice" => FaultKind::HotSlice {
                slice: self.index("slice", config.slices)?,
                factor: self.positive("factor")?,
            },
            "burst" => FaultKind::Burst { factor: self.positive("factor")? },
            "relay-away" => FaultKind::RelayUnreachable,
            "relay-mute" => FaultKind::RelayUnresponsive,
            "garbled" => FaultKind::GarbledRelay { share: self.positive("share")? },
            "slow-channel" => FaultKind::SlowChannel { rate_factor: self.positive("share")? },
            "discovery-away" => FaultKind::DiscoveryUnreachable,
            "governor-killed" => {
                FaultKind::ControllerKilled { controller: self.index("governor", config.controllers)? }
            }
            "herd" => {
                FaultKind::ControllersKilled { controllers: self.index("governors", config.controllers)? }
            }
            "proxies-leave" => {
                FaultKind::ProxiesDisconnected { proxies: self.index("many", config.proxies + 1)? }
            }
            "hand-over" => {
                let Range { start: from, end: to } = self.range(config.slices)?;
                FaultKind::SlicesReassigned { from, to }
            }
            "list-late" | "list-again" | "list-back" | "list-lossy" => {
                FaultKind::ListAnomaly { anomaly: self.list_anomaly()? }
            }
            "release" | "replaced" | "wrong-list" => self.replica_range_kind()?,
            _ => self.replica_kind()?,
        };
        Ok(kind)
    }

    /// Parses the kinds that affect how discovery delivers updates of the endpoint list.
    fn list_anomaly(&self) -> Result<ListAnomaly, ConfigError> {
        let anomaly = match self.element.attribute("kind").unwrap_or_default() {
            "list-late" => ListAnomaly::Delayed(self.element.required("by", parse_duration)?),
            "list-again" => ListAnomaly::Repeated,
            "list-back" => ListAnomaly::Reverted,
            _ => {
                let interval = self.index("each", self.config.replicas)?;
                if interval < MIN_PARTIAL_INTERVAL {
                    let reason = format!(
                        "each: {interval} is out of range: must be at least {MIN_PARTIAL_INTERVAL}, otherwise the list would contain no server"
                    );
                    return Err(self.element.error(reason));
                }
                ListAnomaly::Partial(interval)
            }
        };
        Ok(anomaly)
    }

    /// Parses the kinds that affect a range of replicas.
    fn replica_range_kind(&self) -> Result<FaultKind, ConfigError> {
        let Range { start: from, end: to } = self.range(self.config.replicas)?;
        let kind = match self.element.attribute("kind").unwrap_or_default() {
            "release" => FaultKind::RollingRelease { from, to },
            "replaced" => FaultKind::BatchReplacement { from, to },
            _ => FaultKind::WrongList { from, to },
        };
        Ok(kind)
    }

    /// Parses the kinds that affect a single replica.
    fn replica_kind(&self) -> Result<FaultKind, ConfigError> {
        let replica = self.replica()?;
        let kind = match self.element.attribute("kind").unwrap_or_default() {
            "crash" => FaultKind::Crash { replica },
            "hang" => FaultKind::Hang { replica },
            "silence" => FaultKind::Silence { replica },
            "slow" => FaultKind::Slow { replica, factor: self.positive("factor")? },
            "fast-errors" => FaultKind::FastErrors { replica, share: self.positive("share")? },
            "drain" => FaultKind::Drain { replica },
            _ => FaultKind::OutOfService { replica },
        };
        Ok(kind)
    }
}

/// Writes a fault as a `trouble` element of its case.
pub(super) fn write_fault(text: &mut String, fault: &Fault) {
    let attributes = attributes_text(&fault.kind);
    let (begins, lasts) = (fault.starts_after.seconds(), fault.duration.seconds());
    _ = writeln!(text, "    <trouble {attributes} begins=\"{begins}s\" lasts=\"{lasts}s\"/>");
}

fn attributes_text(kind: &FaultKind) -> String {
    match kind {
        FaultKind::Crash { replica } => format!("kind=\"crash\" server=\"{replica}\""),
        FaultKind::Hang { replica } => format!("kind=\"hang\" server=\"{replica}\""),
        FaultKind::Silence { replica } => format!("kind=\"silence\" server=\"{replica}\""),
        FaultKind::Slow { replica, factor } => {
            format!("kind=\"slow\" server=\"{replica}\" factor=\"{factor}\"")
        }
        FaultKind::FastErrors { replica, share } => {
            format!("kind=\"fast-errors\" server=\"{replica}\" share=\"{share}\"")
        }
        FaultKind::Drain { replica } => format!("kind=\"drain\" server=\"{replica}\""),
        FaultKind::RollingRelease { from, to } => format!("kind=\"release\" from=\"{from}\" to=\"{to}\""),
        FaultKind::BatchReplacement { from, to } => format!("kind=\"replaced\" from=\"{from}\" to=\"{to}\""),
        FaultKind::ZoneLost { zone } => format!("kind=\"place-lost\" place=\"{zone}\""),
        FaultKind::ListAnomaly { anomaly } => list_anomaly_text(*anomaly),
        FaultKind::WrongList { from, to } => format!("kind=\"wrong-list\" from=\"{from}\" to=\"{to}\""),
        FaultKind::HotSlice { slice, factor } => {
            format!("kind=\"hot-slice\" slice=\"{slice}\" factor=\"{factor}\"")
        }
        FaultKind::Burst { factor } => format!("kind=\"burst\" factor=\"{factor}\""),
        FaultKind::ZonePartitioned { zone } => format!("kind=\"place-cut\" place=\"{zone}\""),
        FaultKind::RelayUnreachable => "kind=\"relay-away\"".into(),
        FaultKind::RelayUnresponsive => "kind=\"relay-mute\"".into(),
        FaultKind::DiscoveryUnreachable => "kind=\"discovery-away\"".into(),
        FaultKind::ControllerKilled { controller } => {
            format!("kind=\"governor-killed\" governor=\"{controller}\"")
        }
        FaultKind::ControllersKilled { controllers } => format!("kind=\"herd\" governors=\"{controllers}\""),
        FaultKind::SlowChannel { rate_factor } => format!("kind=\"slow-channel\" share=\"{rate_factor}\""),
        FaultKind::ProxiesDisconnected { proxies } => format!("kind=\"proxies-leave\" many=\"{proxies}\""),
        FaultKind::SlicesReassigned { from, to } => format!("kind=\"hand-over\" from=\"{from}\" to=\"{to}\""),
        FaultKind::GarbledRelay { share } => format!("kind=\"garbled\" share=\"{share}\""),
        FaultKind::OutOfService { replica } => format!("kind=\"out-of-service\" server=\"{replica}\""),
    }
}

fn list_anomaly_text(anomaly: ListAnomaly) -> String {
    match anomaly {
        ListAnomaly::Delayed(delay) => format!("kind=\"list-late\" by=\"{}s\"", delay.seconds()),
        ListAnomaly::Repeated => "kind=\"list-again\"".into(),
        ListAnomaly::Reverted => "kind=\"list-back\"".into(),
        ListAnomaly::Partial(interval) => format!("kind=\"list-lossy\" each=\"{interval}\""),
    }
}
