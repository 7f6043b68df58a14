//! The names used in experiment files. They must not change, because existing files and results use them.

use whinwall_emulator::policy::Policy;

/// The policies by name.
pub const POLICIES: [(&str, Policy); 5] = [
    ("governed", Policy::Controlled),
    ("hands-off", Policy::StaticTables),
    ("hashing", Policy::Hashing),
    ("two-choices", Policy::TwoChoices),
    ("least-loaded", Policy::LeastLoaded),
];

/// The sizes of fleets by name.
pub(super) const FLEET_SIZES: [(&str, FleetSize); 2] =
    [("small", FleetSize::Small), ("large", FleetSize::Large)];

/// The parameters that can be varied, by name.
pub(super) const VARIED_PARAMETERS: [(&str, VariedParameter); 4] = [
    ("load", VariedParameter::Load),
    ("proxies", VariedParameter::Proxies),
    ("pace", VariedParameter::LinesPerSecond),
    ("governors", VariedParameter::Controllers),
];

/// A fleet size, which provides the defaults of the fleet's parameters. An experiment file can override each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetSize {
    /// A small fleet with one controller.
    Small,
    /// A large production fleet with three controllers.
    Large,
}

impl FleetSize {
    pub(super) fn name(self) -> &'static str {
        name_of(self, &FLEET_SIZES)
    }
}

/// A parameter that an experiment can vary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VariedParameter {
    /// The request rate, as a fraction of what all warm replicas can serve.
    Load,
    /// The number of proxies.
    Proxies,
    /// The rate of the controllers' command channels, in lines per second.
    LinesPerSecond,
    /// The number of controllers.
    Controllers,
}

impl VariedParameter {
    pub(super) fn name(self) -> &'static str {
        name_of(self, &VARIED_PARAMETERS)
    }
}

/// Returns the name of a policy in files, results and reports.
pub fn policy_name(policy: Policy) -> &'static str {
    name_of(policy, &POLICIES)
}

fn name_of<T: PartialEq>(value: T, names: &[(&'static str, T)]) -> &'static str {
    names.iter().find(|(_, candidate)| *candidate == value).map_or("", |(name, _)| name)
}
