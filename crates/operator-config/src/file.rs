//! What operators say in their file. Each part is off where it is not named.

use crate::subsetting::{self, SubsettingConfig};
use crate::tree::{self, Element, Wrong};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use whinwall_overrides::ConfiguredOverride;
use whinwall_overrides::{text, validation, OverrideKind, OverrideLimits};

/// A larger file is none that somebody wrote.
pub const LARGEST: usize = 1 << 20;
/// Overrides at the most, whatever the file says: each costs a little in every beat.
const MOST: usize = 10_000;
/// More readers than that would wait for the one who decides.
const MOST_CORES: usize = 64;
const VERSION: &str = "1";

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorsFile {
    pub log: LogForm,
    /// Where overrides are kept, so that they outlive the program.
    pub store: Option<PathBuf>,
    pub management: Option<Doors>,
    /// How many cores it may use; one where nothing is said.
    pub cores: Option<usize>,
    pub bounds: OverrideLimits,
    pub overrides: Vec<ConfiguredOverride>,
    /// Each controller steers a subset of the replicas, and is told of these by aggregators.
    pub subsetting: Option<SubsettingConfig>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

/// Where the management front is, and who may come in.
#[derive(Clone, Debug, PartialEq)]
pub enum Doors {
    /// A socket of the file system, for its owner alone.
    Socket(PathBuf),
    /// A loopback address, for whoever knows the token in the file.
    Address { address: SocketAddr, token_file: PathBuf },
}

pub fn read(text: &str) -> Result<OperatorsFile, Wrong> {
    let root = tree::read(text)?;
    if root.name != "operators" {
        return Err(root.wrong("the outermost element must be <operators>"));
    }
    root.has_only(&["version"], &["log", "store", "management", "cores", "overrides", "subsetting"])?;
    root.must("version", |version| {
        (version == VERSION).then_some(()).ok_or(format!("{version:?} is not {VERSION:?}"))
    })?;
    let (log, store) = (root.child("log")?, root.child("store")?);
    let management = root.child("management")?.map(doors).transpose()?;
    let cores = root.child("cores")?.map(cores).transpose()?;
    let subsetting = root.child("subsetting")?.map(subsetting::subsetting).transpose()?;
    let (bounds, overrides) = root.child("overrides")?.map(overrides).transpose()?.unwrap_or_default();
    Ok(OperatorsFile {
        log: log.map(log_form).transpose()?.unwrap_or_default(),
        store: store.map(folder).transpose()?,
        management,
        cores,
        bounds,
        overrides,
        subsetting,
    })
}

fn log_form(log: &Element) -> Result<LogForm, Wrong> {
    log.has_only(&["form"], &[])?;
    log.must("form", |form| match form {
        "text" => Ok(LogForm::Text),
        "json" => Ok(LogForm::Json),
        _ => Err(format!("{form:?} is neither \"text\" nor \"json\"")),
    })
}

fn path(text: &str) -> Result<PathBuf, String> {
    let path = PathBuf::from(text);
    path.is_absolute().then_some(path).ok_or(format!("{text:?} is no absolute path"))
}

fn folder(store: &Element) -> Result<PathBuf, Wrong> {
    store.has_only(&["folder"], &[])?;
    store.must("folder", path)
}

fn doors(front: &Element) -> Result<Doors, Wrong> {
    front.has_only(&["socket", "address", "token-file"], &[])?;
    let loopback = |text: &str| {
        let address: SocketAddr = text.parse().map_err(|why| format!("{text:?} is no address: {why}"))?;
        let near = address.ip().is_loopback();
        near.then_some(address).ok_or(format!("{text:?} is no loopback address"))
    };
    match (front.given("socket"), front.given("address")) {
        (Some(_), None) if front.given("token-file").is_some() => {
            Err(front.wrong("a socket is for its owner alone and takes no \"token-file\""))
        }
        (Some(_), None) => Ok(Doors::Socket(front.must("socket", path)?)),
        (None, Some(_)) => Ok(Doors::Address {
            address: front.must("address", loopback)?,
            token_file: front.must("token-file", path)?,
        }),
        _ => Err(front.wrong("it must have either \"socket\" or \"address\"")),
    }
}

fn cores(cores: &Element) -> Result<usize, Wrong> {
    cores.has_only(&["most"], &[])?;
    cores.must("most", |text| whole(text, MOST_CORES))
}

/// A whole number from 1 on.
fn whole(text: &str, most: usize) -> Result<usize, String> {
    let number = text.parse().ok().filter(|number| (1..=most).contains(number));
    number.ok_or_else(|| format!("{text:?} is no whole number from 1 to {most}"))
}

fn overrides(all: &Element) -> Result<(OverrideLimits, Vec<ConfiguredOverride>), Wrong> {
    all.has_only(&["longest", "most", "ended-kept"], &["weight", "out", "pin"])?;
    let usual = OverrideLimits::default();
    let bounds = OverrideLimits {
        max_duration: all.maybe("longest", text::parse_duration)?.unwrap_or(usual.max_duration),
        max_active: all.maybe("most", |text| whole(text, MOST))?.unwrap_or(usual.max_active),
        ended_retention: all.maybe("ended-kept", text::parse_duration)?.unwrap_or(usual.ended_retention),
    };
    let (mut ids, mut orders) = (BTreeSet::new(), Vec::new());
    for one in &all.children {
        let order = order(one)?;
        if !ids.insert(order.id.clone()) {
            return Err(one.wrong(format!("id: {:?} is there twice", order.id)));
        }
        orders.push(order);
    }
    if orders.len() > bounds.max_active {
        return Err(all.wrong(format!(
            "{} overrides are more than the most, {}",
            orders.len(),
            bounds.max_active
        )));
    }
    Ok((bounds, orders))
}

fn order(one: &Element) -> Result<ConfiguredOverride, Wrong> {
    let own: &[&str] = match one.name.as_str() {
        "weight" => &["id", "server", "author", "reason", "until", "factor"],
        "pin" => &["id", "server", "author", "reason", "until", "slices"],
        _ => &["id", "server", "author", "reason", "until"],
    };
    one.has_only(own, &[])?;
    let text = |name| one.must(name, |text| Ok::<_, Infallible>(text.to_string()));
    let replica = text("server")?;
    let kind = match one.name.as_str() {
        "weight" => {
            let number = |text: &str| text.parse().map_err(|_| format!("{text:?} is no number"));
            OverrideKind::Weight { replica, factor: one.must("factor", number)? }
        }
        "pin" => {
            let (first, last) = one.must("slices", text::parse_slices)?;
            OverrideKind::Pin { first, last, replica }
        }
        _ => OverrideKind::Out { replica },
    };
    let (id, author, reason) = (text("id")?, text("author")?, text("reason")?);
    validation::validate(&id, &kind, &author, &reason).map_err(|invalid| one.wrong(invalid))?;
    Ok(ConfiguredOverride { id, kind, author, reason, expires_at: one.must("until", text::parse_wall_time)? })
}
