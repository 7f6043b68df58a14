//! The checked configuration of an aggregator: the fleet's members and the byte budget of a controller.

use crate::limits;
use crate::wire;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;
use whinwall_subsetting::{Membership, MembershipError, Parameters};

/// A controller of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerMember {
    /// Its name.
    pub name: String,
    /// Where it listens; without an address it is in the membership, and is not served.
    pub address: Option<SocketAddr>,
    /// The slices whose reports it gets, as ranges with both ends included.
    pub slices: Vec<(u32, u32)>,
}

/// What an aggregator goes by; only [`Configuration::new`] makes one, so it is consistent.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub(crate) own: String,
    pub(crate) parameters: Parameters,
    pub(crate) bytes_per_period: usize,
    pub(crate) controllers: Vec<ControllerMember>,
    pub(crate) membership: Membership,
    pub(crate) aggregators: BTreeSet<String>,
}

/// Why a configuration can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ConfigurationError {
    /// The aggregator's own name is not among the members.
    #[error("{0:?} is not among the aggregators")]
    OwnNameAbsent(String),
    /// An aggregator is named twice.
    #[error("aggregator {0:?} is there twice")]
    DuplicateAggregator(String),
    /// More aggregators than peers are kept for.
    #[error("{0} aggregators are more than {max}", max = limits::MAX_AGGREGATORS)]
    TooManyAggregators(usize),
    /// A controller is to be served, and nothing says which slices it steers.
    #[error("governor {0:?} has an address and no slices: the protocol does not tell which ones it has")]
    SlicesMissing(String),
    /// A controller has no usable slices.
    #[error("the slices of governor {0:?} go from {1} to {2}")]
    SlicesReversed(String, u32, u32),
    /// More slices than there is room for.
    #[error("{0} slices are more than {max}", max = limits::MAX_SLICES)]
    TooManySlices(usize),
    /// A controller's budget for one report period does not hold the longest line.
    #[error("a budget of {budget} bytes a report period is less than {line}, what one line may take")]
    BudgetTooSmall {
        /// Bytes of one report period.
        budget: usize,
        /// Bytes of the longest line, and of what else a period has.
        line: usize,
    },
    /// The controllers are no usable membership.
    #[error("governors: {0}")]
    Controllers(#[from] MembershipError),
}

impl Configuration {
    /// Checks the members and the budget of an aggregator called `own`.
    ///
    /// # Errors
    ///
    /// Where names or slices do not fit together, or the budget, in bytes a second, does not hold one line.
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
        let (budget, line) = (bytes as usize, wire::overhead() + wire::longest_line());
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
