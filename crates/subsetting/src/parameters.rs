//! Inputs of an assignment besides the controllers of the fleet.

/// The minimum number of controllers per replica in a fleet that is large enough. With two, the failure of one
/// controller leaves no replica without a controller.
pub const MIN_CONTROLLERS_PER_REPLICA: usize = 2;

/// The properties of a registered replica that subsetting uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica<'a> {
    /// Id of the replica, unique in the registry.
    pub id: &'a str,
    /// Zone of the replica. Subsets are spread over zones.
    pub zone: &'a str,
    /// Group of the replica: a kind, cell or service. Subsets contain replicas of each group that has enough for all
    /// controllers.
    pub group: &'a str,
    /// Registered weight. The number of controllers of a replica is proportional to it.
    pub weight: f64,
}

/// Invalid parameters.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParametersError {
    /// The subset size is 0, so controllers would steer no replicas.
    #[error("subset of 0 replicas, at least 1 needed")]
    EmptySubset,
}

/// Parameters of an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parameters {
    /// Target number of replicas per controller.
    pub subset_size: usize,
}

impl Parameters {
    /// Checks the parameters.
    ///
    /// # Errors
    /// Fails with [`ParametersError::EmptySubset`] if the subset size is 0.
    pub fn new(subset_size: usize) -> Result<Self, ParametersError> {
        if subset_size == 0 {
            return Err(ParametersError::EmptySubset);
        }
        Ok(Parameters { subset_size })
    }
}
