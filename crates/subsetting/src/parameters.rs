//! What an assignment is computed from, beside the fleet's controllers.

/// Each replica has at least this many controllers where the fleet has them, so that the failure of one leaves no
/// replica without.
pub const MIN_CONTROLLERS_PER_REPLICA: usize = 2;

/// What subsetting needs to know of a replica, from the registry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica<'a> {
    /// Unique in the registry.
    pub id: &'a str,
    /// Subsets are spread over zones.
    pub zone: &'a str,
    /// A kind, cell or service; subsets have replicas of each group that is large enough for all controllers.
    pub group: &'a str,
    /// The listed weight; a replica of twice the weight has twice the controllers.
    pub weight: f64,
}

/// Why parameters are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParametersError {
    /// A controller would steer nothing.
    #[error("a subset of 0 replicas steers nothing")]
    EmptySubset,
}

/// Validated parameters of an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parameters {
    /// Desired number of replicas per controller.
    pub subset_size: usize,
}

impl Parameters {
    /// Checks the parameters.
    ///
    /// # Errors
    /// [`ParametersError::EmptySubset`].
    pub fn new(subset_size: usize) -> Result<Self, ParametersError> {
        if subset_size == 0 {
            return Err(ParametersError::EmptySubset);
        }
        Ok(Parameters { subset_size })
    }
}
