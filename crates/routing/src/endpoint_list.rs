//! The known version of the registry's endpoint list, and the comparison of received lists to it.

use whinwall_policy::time::Moment;
use whinwall_transport::limits;

/// The known version of the endpoint list.
pub(crate) struct EndpointListVersion {
    version: u64,
    /// The time since which all lists have had lower versions.
    lagging_since: Option<Moment>,
}

/// The result of comparing the version of a list to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListAge {
    /// The version is equal or higher.
    Current,
    /// The version is lower: the discovery agent lags behind.
    Lagging,
    /// The version is lower, and has been for [`limits::REGISTRY_LAG_TIMEOUT`]: the agent must have restarted its
    /// version count.
    Restarted,
}

impl EndpointListVersion {
    pub fn new(version: u64) -> Self {
        EndpointListVersion { version, lagging_since: None }
    }

    /// The version from which a new watch continues.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Forgets the version, so that the next watch delivers a complete list.
    pub fn forget(&mut self) {
        self.version = 0;
    }

    /// Records the version of a list and compares it to the known one.
    pub fn advance(&mut self, now: Moment, version: u64) -> ListAge {
        if version >= self.version {
            (self.version, self.lagging_since) = (version, None);
            return ListAge::Current;
        }
        let since = *self.lagging_since.get_or_insert(now);
        if now - since < limits::to_span(limits::REGISTRY_LAG_TIMEOUT) {
            return ListAge::Lagging;
        }
        (self.version, self.lagging_since) = (0, None);
        ListAge::Restarted
    }
}
