//! What the operators' file says of subsetting: the controllers of the fleet, the aggregators that report to them,
//! and how much each controller steers and is told.

use crate::tree::{Element, Wrong};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use whinwall_overrides::text;
use whinwall_subsetting::{Membership, MembershipError, Parameters, MAX_CONTROLLERS};

/// More aggregators than that are a mistake.
pub const MAX_AGGREGATORS: usize = 64;
/// A controller's budget has room for one report line of the longest names in each second.
pub const MIN_BYTES_PER_SECOND: u64 = 512;
/// More a second is no budget.
pub const MAX_BYTES_PER_SECOND: u64 = 1_000_000_000;
/// More replicas than any registry has.
pub const MAX_SUBSET_SIZE: usize = 100_000;
/// The longest name of a member.
pub const MAX_NAME_BYTES: usize = 64;
/// The most ranges of slices of one controller.
const MAX_SLICE_RANGES: usize = 256;

/// A range of slices; both ends are included.
pub type SliceRange = (u32, u32);

/// The element `<subsetting>`, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsettingConfig {
    /// Wished replicas a controller.
    pub subset_size: usize,
    /// What a controller may be told, in bytes a second.
    pub bytes_per_second: u64,
    /// The whole fleet, in the file's order.
    pub controllers: Vec<ControllerMember>,
    /// Who sums up reports for the fleet, in the file's order.
    pub aggregators: Vec<AggregatorMember>,
}

/// A controller of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerMember {
    /// As in the controller's own configuration.
    pub name: String,
    /// Where it listens; aggregators do not report to a controller without an address.
    pub address: Option<SocketAddr>,
    /// The slices that it owns; none where nothing is said, which means all that it may own.
    pub slices: Vec<SliceRange>,
}

/// An aggregator of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct AggregatorMember {
    /// Unique among the aggregators.
    pub name: String,
    /// Where it listens, for collectors and the other aggregators.
    pub address: SocketAddr,
}

/// A name that is not among the members it should be among.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownMember {
    /// No controller of the file has this name.
    #[error("<subsetting>: this governor's own name, {0:?}, is not among its governors")]
    Controller(String),
    /// No aggregator of the file has this name.
    #[error("<subsetting>: {0:?} is not among its aggregators")]
    Aggregator(String),
}

impl SubsettingConfig {
    /// The member of this name; the controller itself has to be one.
    pub fn controller(&self, name: &str) -> Result<&ControllerMember, UnknownMember> {
        let found = self.controllers.iter().find(|controller| controller.name == name);
        found.ok_or_else(|| UnknownMember::Controller(name.to_string()))
    }

    /// The member of this name; the aggregator itself has to be one.
    pub fn aggregator(&self, name: &str) -> Result<&AggregatorMember, UnknownMember> {
        let found = self.aggregators.iter().find(|aggregator| aggregator.name == name);
        found.ok_or_else(|| UnknownMember::Aggregator(name.to_string()))
    }

    /// The controllers' names, for computing subsets.
    pub fn membership(&self) -> Result<Membership, MembershipError> {
        Membership::new(self.controllers.iter().map(|controller| controller.name.clone()))
    }

    /// For computing subsets.
    pub fn parameters(&self) -> Parameters {
        Parameters { subset_size: self.subset_size }
    }
}

/// Reads the element.
pub(crate) fn subsetting(element: &Element) -> Result<SubsettingConfig, Wrong> {
    element.has_only(&["subset", "bytes-per-second"], &["governor", "aggregator"])?;
    let subset_size = element.must("subset", |text| whole(text, 1, MAX_SUBSET_SIZE))?;
    let bytes_per_second = element.must("bytes-per-second", bytes_per_second)?;
    let controllers = members(element, "governor", MAX_CONTROLLERS, controller)?;
    unique(&controllers, |(_, controller)| Some(&controller.name), "name")?;
    unique(&controllers, |(_, controller)| controller.address, "address")?;
    let aggregators = members(element, "aggregator", MAX_AGGREGATORS, aggregator)?;
    unique(&aggregators, |(_, aggregator)| Some(&aggregator.name), "name")?;
    unique(&aggregators, |(_, aggregator)| Some(aggregator.address), "address")?;
    Ok(SubsettingConfig {
        subset_size,
        bytes_per_second,
        controllers: controllers.into_iter().map(|(_, controller)| controller).collect(),
        aggregators: aggregators.into_iter().map(|(_, aggregator)| aggregator).collect(),
    })
}

/// A member with its element, which an error about it names.
type Placed<'a, T> = (&'a Element, T);

/// All members of one kind: at least one.
fn members<'a, T>(
    element: &'a Element,
    name: &str,
    most: usize,
    read: fn(&Element) -> Result<T, Wrong>,
) -> Result<Vec<Placed<'a, T>>, Wrong> {
    let children = element.children.iter().filter(|child| child.name == name);
    let all = children.map(|child| Ok((child, read(child)?))).collect::<Result<Vec<_>, Wrong>>()?;
    match all.len() {
        0 => Err(element.wrong(format!("no <{name}> is named"))),
        many if many > most => Err(element.wrong(format!("{many} times <{name}> are more than {most}"))),
        _ => Ok(all),
    }
}

/// No two members have the same.
fn unique<'a, T, K: Ord + std::fmt::Debug>(
    members: &'a [Placed<T>],
    key: impl Fn(&'a Placed<T>) -> Option<K>,
    attribute: &str,
) -> Result<(), Wrong> {
    let mut seen = BTreeSet::new();
    for member in members {
        let Some(key) = key(member) else { continue };
        if seen.contains(&key) {
            return Err(member.0.wrong(format!("{attribute}: {key:?} is there twice")));
        }
        seen.insert(key);
    }
    Ok(())
}

fn controller(element: &Element) -> Result<ControllerMember, Wrong> {
    element.has_only(&["name", "address", "slices"], &[])?;
    Ok(ControllerMember {
        name: element.must("name", name)?,
        address: element.maybe("address", address)?,
        slices: element.maybe("slices", slice_ranges)?.unwrap_or_default(),
    })
}

fn aggregator(element: &Element) -> Result<AggregatorMember, Wrong> {
    element.has_only(&["name", "address"], &[])?;
    Ok(AggregatorMember { name: element.must("name", name)?, address: element.must("address", address)? })
}

fn name(text: &str) -> Result<String, String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:".contains(&byte);
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed);
    fits.then(|| text.to_string()).ok_or_else(|| {
        format!(
            "{text:?} is no name: 1 to {MAX_NAME_BYTES} letters, digits, dots, colons, dashes or underscores"
        )
    })
}

fn address(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text.parse().map_err(|why| format!("{text:?} is no address: {why}"))?;
    (address.port() > 0).then_some(address).ok_or_else(|| format!("{text:?} lacks a port"))
}

/// Ranges between commas; none overlaps another.
fn slice_ranges(text: &str) -> Result<Vec<SliceRange>, String> {
    let ranges = text.split(',').map(text::parse_slices).collect::<Result<Vec<SliceRange>, _>>();
    let mut ranges = ranges.map_err(|error| error.to_string())?;
    if ranges.len() > MAX_SLICE_RANGES {
        return Err(format!("{} ranges are more than {MAX_SLICE_RANGES}", ranges.len()));
    }
    ranges.sort_unstable();
    if let Some(pair) = ranges.windows(2).find(|pair| pair[1].0 <= pair[0].1) {
        return Err(format!("slice {} is there twice", pair[1].0));
    }
    Ok(ranges)
}

fn bytes_per_second(text: &str) -> Result<u64, String> {
    let number: u64 = text.parse().map_err(|_| format!("{text:?} is no whole number"))?;
    if number < MIN_BYTES_PER_SECOND {
        return Err(format!(
            "{number} bytes a second are too few for one report line, which needs up to {MIN_BYTES_PER_SECOND}"
        ));
    }
    let fits = number <= MAX_BYTES_PER_SECOND;
    fits.then_some(number).ok_or_else(|| format!("{number} is more than {MAX_BYTES_PER_SECOND}"))
}

fn whole(text: &str, least: usize, most: usize) -> Result<usize, String> {
    let number = text.parse().ok().filter(|number| (least..=most).contains(number));
    number.ok_or_else(|| format!("{text:?} is no whole number from {least} to {most}"))
}
