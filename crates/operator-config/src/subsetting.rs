//! The element `<subsetting>`: the controllers of the fleet, the aggregators that report to them, the size of subsets
//! and the budget of reports.

use crate::error::{ConfigError, StructureError};
use crate::values::{
    parse_address_with_port, parse_name, parse_slice_ranges, parse_whole_number, SliceRange, ValueError,
};
use crate::xml::Element;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use whinwall_subsetting::{Membership, MembershipError, Parameters, MAX_CONTROLLERS};

/// The most aggregators of a fleet; more are a mistake.
pub const MAX_AGGREGATORS: usize = 64;
/// The smallest budget of a controller's reports: one report line of the longest names per second.
pub const MIN_BYTES_PER_SECOND: u64 = 512;
/// The largest budget of a controller's reports.
pub const MAX_BYTES_PER_SECOND: u64 = 1_000_000_000;
/// The largest desired size of a subset, more than any registry has replicas.
pub const MAX_SUBSET_SIZE: usize = 100_000;

/// The element `<subsetting>`, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsettingConfig {
    /// The desired number of replicas per controller.
    pub subset_size: usize,
    /// The budget of the reports to one controller, in bytes per second.
    pub bytes_per_second: u64,
    /// The whole fleet, in the file's order.
    pub controllers: Vec<ControllerMember>,
    /// The aggregators that sum up reports for the fleet, in the file's order.
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
    /// The controller of this name.
    ///
    /// # Errors
    /// [`UnknownMember::Controller`].
    pub fn controller(&self, name: &str) -> Result<&ControllerMember, UnknownMember> {
        let found = self.controllers.iter().find(|controller| controller.name == name);
        found.ok_or_else(|| UnknownMember::Controller(name.to_string()))
    }

    /// The aggregator of this name.
    ///
    /// # Errors
    /// [`UnknownMember::Aggregator`].
    pub fn aggregator(&self, name: &str) -> Result<&AggregatorMember, UnknownMember> {
        let found = self.aggregators.iter().find(|aggregator| aggregator.name == name);
        found.ok_or_else(|| UnknownMember::Aggregator(name.to_string()))
    }

    /// The controllers' names, for computing subsets.
    ///
    /// # Errors
    /// Names that are not a fleet; those of a file always are.
    pub fn membership(&self) -> Result<Membership, MembershipError> {
        Membership::new(self.controllers.iter().map(|controller| controller.name.clone()))
    }

    /// The parameters for computing subsets.
    pub fn parameters(&self) -> Parameters {
        Parameters { subset_size: self.subset_size }
    }
}

pub(crate) fn parse_subsetting(element: &Element) -> Result<SubsettingConfig, ConfigError> {
    element.allow_only(&["subset", "bytes-per-second"], &["governor", "aggregator"])?;
    let subset_size = element.required("subset", |text| parse_whole_number(text, MAX_SUBSET_SIZE))?;
    let bytes_per_second = element.required("bytes-per-second", parse_bytes_per_second)?;
    let controllers = parse_members(element, "governor", MAX_CONTROLLERS, parse_controller)?;
    require_unique(&controllers, "name", |controller| Some(&controller.name))?;
    require_unique(&controllers, "address", |controller| controller.address)?;
    let aggregators = parse_members(element, "aggregator", MAX_AGGREGATORS, parse_aggregator)?;
    require_unique(&aggregators, "name", |aggregator| Some(&aggregator.name))?;
    require_unique(&aggregators, "address", |aggregator| Some(aggregator.address))?;
    Ok(SubsettingConfig {
        subset_size,
        bytes_per_second,
        controllers: controllers.into_iter().map(|controller| controller.value).collect(),
        aggregators: aggregators.into_iter().map(|aggregator| aggregator.value).collect(),
    })
}

/// A member with its element, which an error about it names.
struct Located<'a, T> {
    element: &'a Element,
    value: T,
}

/// All members of one kind, of which there is at least one.
fn parse_members<'a, T>(
    element: &'a Element,
    name: &str,
    max: usize,
    parse: fn(&Element) -> Result<T, ConfigError>,
) -> Result<Vec<Located<'a, T>>, ConfigError> {
    let children = element.children.iter().filter(|child| child.name == name);
    let members = children
        .map(|child| Ok(Located { element: child, value: parse(child)? }))
        .collect::<Result<Vec<_>, ConfigError>>()?;
    match members.len() {
        0 => Err(element.error(StructureError::MissingElement(name.into()))),
        count if count > max => {
            Err(element.error(StructureError::TooManyElements { count, name: name.into(), max }))
        }
        _ => Ok(members),
    }
}

/// Rejects a member that has the same key as an earlier one.
fn require_unique<'a, T, K: Ord + std::fmt::Debug>(
    members: &'a [Located<T>],
    attribute: &str,
    key: impl Fn(&'a T) -> Option<K>,
) -> Result<(), ConfigError> {
    let mut seen = BTreeSet::new();
    for member in members {
        let Some(key) = key(&member.value) else { continue };
        if seen.contains(&key) {
            let value = format!("{key:?}");
            let attribute = attribute.into();
            return Err(member.element.error(StructureError::DuplicateValue { attribute, value }));
        }
        seen.insert(key);
    }
    Ok(())
}

fn parse_controller(element: &Element) -> Result<ControllerMember, ConfigError> {
    element.allow_only(&["name", "address", "slices"], &[])?;
    Ok(ControllerMember {
        name: element.required("name", parse_name)?,
        address: element.optional("address", parse_address_with_port)?,
        slices: element.optional("slices", parse_slice_ranges)?.unwrap_or_default(),
    })
}

fn parse_aggregator(element: &Element) -> Result<AggregatorMember, ConfigError> {
    element.allow_only(&["name", "address"], &[])?;
    Ok(AggregatorMember {
        name: element.required("name", parse_name)?,
        address: element.required("address", parse_address_with_port)?,
    })
}

fn parse_bytes_per_second(text: &str) -> Result<u64, ValueError> {
    let found: u64 = text.parse().map_err(|_| ValueError::NotWholeNumber(text.into()))?;
    if found < MIN_BYTES_PER_SECOND {
        return Err(ValueError::BudgetTooSmall { found, min: MIN_BYTES_PER_SECOND });
    }
    if found > MAX_BYTES_PER_SECOND {
        return Err(ValueError::BudgetTooLarge { found, max: MAX_BYTES_PER_SECOND });
    }
    Ok(found)
}
