//! The controllers of a fleet, by name.

use std::sync::Arc;

/// The maximum number of controllers; a larger fleet is taken for an error in the configuration.
pub const MAX_CONTROLLERS: usize = 4096;

/// One controller of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Controller {
    /// Name of the controller, unique in the fleet.
    pub name: String,
}

/// An invalid list of controller names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The list is empty.
    #[error("no governor is named")]
    Empty,
    /// A name occurs more than once.
    #[error("duplicate governor {0:?}")]
    Duplicate(String),
    /// There are more than [`MAX_CONTROLLERS`] names.
    #[error("{0} governors, at most {MAX_CONTROLLERS} allowed")]
    TooMany(usize),
    /// A required name is missing.
    #[error("this governor's own name, {0:?}, is not among the governors")]
    Absent(String),
}

/// The sorted, unique names of a fleet's controllers. Cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    controllers: Arc<[Controller]>,
}

impl Membership {
    /// Sorts and checks the names.
    ///
    /// # Errors
    /// Fails if there are no names, more than [`MAX_CONTROLLERS`], or duplicates.
    pub fn new(names: impl IntoIterator<Item = String>) -> Result<Self, MembershipError> {
        let mut controllers: Vec<_> = names.into_iter().map(|name| Controller { name }).collect();
        controllers.sort_unstable();
        if controllers.is_empty() {
            return Err(MembershipError::Empty);
        }
        if controllers.len() > MAX_CONTROLLERS {
            return Err(MembershipError::TooMany(controllers.len()));
        }
        if let Some(pair) = controllers.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(MembershipError::Duplicate(pair[0].name.clone()));
        }
        Ok(Membership { controllers: controllers.into() })
    }

    /// Returns the position of a name that is required to be a member.
    ///
    /// # Errors
    /// Fails with [`MembershipError::Absent`] if the name is not a member.
    pub fn require(&self, name: &str) -> Result<usize, MembershipError> {
        self.index(name).ok_or_else(|| MembershipError::Absent(name.to_string()))
    }

    /// Returns true if the name is a member.
    pub fn contains(&self, name: &str) -> bool {
        self.index(name).is_some()
    }

    /// Returns the position of a name among the sorted names.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.controllers.binary_search_by(|controller| controller.name.as_str().cmp(name)).ok()
    }

    /// Iterates over the sorted names.
    pub fn names(&self) -> impl ExactSizeIterator<Item = &str> {
        self.controllers.iter().map(|controller| controller.name.as_str())
    }

    /// Returns the name at a position, or `None` beyond the last one.
    pub fn name(&self, index: usize) -> Option<&str> {
        self.controllers.get(index).map(|controller| controller.name.as_str())
    }

    /// Returns the number of controllers, at least 1.
    pub fn len(&self) -> usize {
        self.controllers.len()
    }

    /// Always false. It exists because types with `len` conventionally have it.
    pub fn is_empty(&self) -> bool {
        self.controllers.is_empty()
    }
}
