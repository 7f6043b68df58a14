//! The controllers of a fleet, by name.

use std::sync::Arc;

/// The largest fleet; a larger number is a mistake in a file.
pub const MAX_CONTROLLERS: usize = 4096;

/// One controller of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Controller {
    /// Unique in the fleet.
    pub name: String,
}

/// Why names are not a fleet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// No names at all.
    #[error("no governor is named")]
    Empty,
    /// The same name more than once.
    #[error("governor {0:?} is there twice")]
    Duplicate(String),
    /// More than [`MAX_CONTROLLERS`].
    #[error("{0} governors are more than {MAX_CONTROLLERS}")]
    TooMany(usize),
    /// A name that should be among them is not.
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
    /// No names, too many, or the same name twice.
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

    /// The position of a name that has to be among them.
    ///
    /// # Errors
    /// [`MembershipError::Absent`].
    pub fn require(&self, name: &str) -> Result<usize, MembershipError> {
        self.index(name).ok_or_else(|| MembershipError::Absent(name.to_string()))
    }

    /// Whether the name is among them.
    pub fn contains(&self, name: &str) -> bool {
        self.index(name).is_some()
    }

    /// The name's position among the sorted names.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.controllers.binary_search_by(|controller| controller.name.as_str().cmp(name)).ok()
    }

    /// The sorted names.
    pub fn names(&self) -> impl ExactSizeIterator<Item = &str> {
        self.controllers.iter().map(|controller| controller.name.as_str())
    }

    /// The name at a position; none beyond the last.
    pub fn name(&self, index: usize) -> Option<&str> {
        self.controllers.get(index).map(|controller| controller.name.as_str())
    }

    /// How many there are; at least one.
    pub fn len(&self) -> usize {
        self.controllers.len()
    }

    /// Never true; callers expect it beside `len`.
    pub fn is_empty(&self) -> bool {
        self.controllers.is_empty()
    }
}
