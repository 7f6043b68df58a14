//! The validated configuration of an aggregator: the members of the fleet and the byte budget of a controller.

use crate::limits;
use crate::wire;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;
use whinwall_subsetting::{Membership, MembershipError, Parameters};

/// A controller in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerMember {
    /// Name of the controller.
    pub name: String,
    /// Address of the controller. A controller without an address is part of the membership but is not served.
    pub address: Option<SocketAddr>,
    /// Inclusive ranges of the slices whose reports the controller gets.
    pub slices: Vec<(u32, u32)>,
}

/// The configuration of an aggregator. [`Configuration::new`] is the only constructor, so it is always consistent.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub(crate) own: String,
    pub(crate) parameters: Parameters,
    pub(crate) bytes_per_period: usize,
    pub(crate) controllers: Vec<ControllerMember>,
    pub(crate) membership: Membership,
    pub(crate) aggregators: BTreeSet<String>,
}

/// An invalid configuration.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ConfigurationError {
    /// The aggregator's own name is not configured.
    #[error("no aggregator is named {0:?}")]
    OwnNameAbsent(String),
    /// An aggregator name occurs more than once.
    #[error("duplicate aggregator {0:?}")]
    DuplicateAggregator(String),
    /// There are more than [`limits::MAX_AGGREGATORS`] aggregators.
    #[error("{0} aggregators, at most {max} allowed", max = limits::MAX_AGGREGATORS)]
    TooManyAggregators(usize),
    /// A controller with an address has no slices.
    #[error(
        "governor {0:?} has an address but no slices: list its slices, the protocol does not transmit them"
    )]
    SlicesMissing(String),
    /// The first slice of a range is greater than the last.
    #[error("governor {0:?}: invalid slice range {1}-{2}, its first slice is greater than its last")]
    SlicesReversed(String, u32, u32),
    /// There are more than [`limits::MAX_SLICES`] slices.
    #[error("{0} slices, at most {max} allowed", max = limits::MAX_SLICES)]
    TooManySlices(usize),
    /// The byte budget of a controller for one report period is smaller than the longest line.
    #[error("budget of {budget} bytes per report period, at least {line} needed for one report line")]
    BudgetTooSmall {
        /// Budget of one report period, in bytes.
        budget: usize,
        /// Length of the longest line plus the overhead of a period, in bytes.
        line: usize,
    },
    /// The controllers are not a valid membership.
    #[error("governors: {0}")]
    Controllers(#[from] MembershipError),
}

impl Configuration {
    /// Validates the members and the byte budget for the aggregator named `own`.
    ///
    /// # Errors
    ///
    /// Fails if names or slices are inconsistent, or if the budget, in bytes per second, is too small for one line.
    pub fn new(
        own: &str,
        parameters: Parameters,
        bytes_per_second: u64,
        controllers: Vec<ControllerMember>,
        aggregators: &[String],
    ) -> Result<Self, ConfigurationError> {
        let mut names = BTreeSet::new();
        for name in aggregators {
            if !names.insert(name.clone()) {
                return Err(ConfigurationError::DuplicateAggregator(name.clone()));
            }
        }
        if !names.contains(own) {
            return Err(ConfigurationError::OwnNameAbsent(own.into()));
        }
        if names.len() > limits::MAX_AGGREGATORS {
            return Err(ConfigurationError::TooManyAggregators(names.len()));
        }
        check_slices(&controllers)?;
        let bytes = bytes_per_second as f64 * limits::REPORT_PERIOD.seconds();
        let (budget, line) = (bytes as usize, wire::overhead_bytes() + wire::longest_line_bytes());
        if budget < line {
            return Err(ConfigurationError::BudgetTooSmall { budget, line });
        }
        let membership = Membership::new(controllers.iter().map(|controller| controller.name.clone()))?;
        let own = own.to_string();
        Ok(Configuration {
            own,
            parameters,
            bytes_per_period: budget,
            controllers,
            membership,
            aggregators: names,
        })
    }
}

fn check_slices(controllers: &[ControllerMember]) -> Result<(), ConfigurationError> {
    let mut slices = 0;
    for controller in controllers {
        if controller.address.is_some() && controller.slices.is_empty() {
            return Err(ConfigurationError::SlicesMissing(controller.name.clone()));
        }
        for (first, last) in &controller.slices {
            if first > last {
                return Err(ConfigurationError::SlicesReversed(controller.name.clone(), *first, *last));
            }
            slices += (last - first) as usize + 1;
        }
    }
    match slices > limits::MAX_SLICES {
        true => Err(ConfigurationError::TooManySlices(slices)),
        false => Ok(()),
    }
}
