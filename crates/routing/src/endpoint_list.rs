//! Which version of the registry's endpoint list is known.

use whinwall_policy::time::Moment;
use whinwall_transport::limits;

/// The known version of the endpoint list.
pub(crate) struct EndpointListVersion {
    version: u64,
    /// Since when lists have had lower versions.
    lagging_since: Option<Moment>,
}

/// How a list's version compares to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListAge {
    /// It is the same or newer.
    Current,
    /// It comes from an agent that lags behind.
    Lagging,
    /// The agent lags for so long that its versions must have begun anew.
    Restarted,
}

impl EndpointListVersion {
    pub fn new(version: u64) -> Self {
        EndpointListVersion { version, lagging_since: None }
    }

    /// The version from which a watch is to continue.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Forgets the version, so that the next watch delivers a complete list.
    pub fn forget(&mut self) {
        self.version = 0;
    }

    /// Takes note of a list's version.
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
