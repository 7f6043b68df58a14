//! The element `<subsetting>`: the controllers of the fleet, the aggregators that report to them, the subset size and
//! the budget of report bytes.

use crate::error::{ConfigError, StructureError};
use crate::values::{
    parse_address_with_port, parse_name, parse_positive_integer, parse_slice_ranges, SliceRange, ValueError,
};
use crate::xml::Element;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use whinwall_subsetting::{Membership, MembershipError, Parameters, MAX_CONTROLLERS};

/// The largest number of aggregators in a fleet. Real fleets have far fewer, so more are a mistake.
pub const MAX_AGGREGATORS: usize = 64;
/// The smallest report budget of a controller: one report line with the longest names per second.
pub const MIN_BYTES_PER_SECOND: u64 = 512;
/// The largest report budget of a controller.
pub const MAX_BYTES_PER_SECOND: u64 = 1_000_000_000;
/// The largest subset size, which exceeds the number of replicas in any registry.
pub const MAX_SUBSET_SIZE: usize = 100_000;

/// The validated contents of the `<subsetting>` element.
#[derive(Clone, Debug, PartialEq)]
pub struct SubsettingConfig {
    /// The desired number of replicas per controller.
    pub subset_size: usize,
    /// The budget of report bytes sent to one controller, in bytes per second.
    pub bytes_per_second: u64,
    /// All controllers of the fleet, in file order.
    pub controllers: Vec<ControllerMember>,
    /// The aggregators that sum up reports for the fleet, in file order.
    pub aggregators: Vec<AggregatorMember>,
}

/// A controller of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerMember {
    /// The name in the controller's own configuration.
    pub name: String,
    /// The address on which it listens. Aggregators do not report to a controller without an address.
    pub address: Option<SocketAddr>,
    /// The slices that it owns. Empty if the attribute is absent, which means all slices that it may own.
    pub slices: Vec<SliceRange>,
}

/// An aggregator of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct AggregatorMember {
    /// The name, unique among the aggregators.
    pub name: String,
    /// The address on which it listens for collectors and other aggregators.
    pub address: SocketAddr,
}

/// A lookup by a name that no member of the fleet has.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownMember {
    /// No controller of the file has this name.
    #[error("<subsetting>: this governor's own name, {0:?}, is not among its governors")]
    Controller(String),
    /// No aggregator of the file has this name.
    #[error("<subsetting>: no aggregator is named {0:?}")]
    Aggregator(String),
}

impl SubsettingConfig {
    /// Returns the controller with this name.
    ///
    /// # Errors
    /// [`UnknownMember::Controller`].
    pub fn controller(&self, name: &str) -> Result<&ControllerMember, UnknownMember> {
        let found = self.controllers.iter().find(|controller| controller.name == name);
        found.ok_or_else(|| UnknownMember::Controller(name.to_string()))
    }

    /// Returns the aggregator with this name.
    ///
    /// # Errors
    /// [`UnknownMember::Aggregator`].
    pub fn aggregator(&self, name: &str) -> Result<&AggregatorMember, UnknownMember> {
        let found = self.aggregators.iter().find(|aggregator| aggregator.name == name);
        found.ok_or_else(|| UnknownMember::Aggregator(name.to_string()))
    }

    /// Returns the names of the controllers, from which subsets are computed.
    ///
    /// # Errors
    /// The names do not form a valid fleet, which cannot happen with names from a parsed file.
    pub fn membership(&self) -> Result<Membership, MembershipError> {
        Membership::new(self.controllers.iter().map(|controller| controller.name.clone()))
    }

    /// Returns the parameters from which subsets are computed.
    pub fn parameters(&self) -> Parameters {
        Parameters { subset_size: self.subset_size }
    }
}

pub(crate) fn parse_subsetting(element: &Element) -> Result<SubsettingConfig, ConfigError> {
    element.allow_only(&["subset", "bytes-per-second"], &["governor", "aggregator"])?;
    let subset_size = element.required("subset", |text| parse_positive_integer(text, MAX_SUBSET_SIZE))?;
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

/// A member with its element, which errors about the member name.
struct Located<'a, T> {
    element: &'a Element,
    value: T,
}

/// Parses all members of one kind; at least one is required.
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
    let found: u64 = text.parse().map_err(|_| ValueError::NotInteger(text.into()))?;
    if found < MIN_BYTES_PER_SECOND {
        return Err(ValueError::BudgetTooSmall { found, min: MIN_BYTES_PER_SECOND });
    }
    if found > MAX_BYTES_PER_SECOND {
        return Err(ValueError::BudgetTooLarge { found, max: MAX_BYTES_PER_SECOND });
    }
    Ok(found)
}
