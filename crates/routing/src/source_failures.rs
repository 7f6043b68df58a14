//! Counts the failures of each source of information of the controller.

use std::collections::BTreeMap;

/// A source of information.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The relay watch.
    RelayWatch,
    /// The registry watch.
    RegistryWatch,
    /// Responses to relay requests.
    RelayRequests,
}

impl Source {
    /// The name in the status of the management API. It is part of that interface and must not change.
    pub(crate) fn status_name(self) -> &'static str {
        match self {
            Source::RelayWatch => "the relay's news",
            Source::RegistryWatch => "discovery's watch",
            Source::RelayRequests => "a call on the relay",
        }
    }

    /// The name in the log.
    pub(crate) fn log_name(self) -> &'static str {
        match self {
            Source::RelayWatch => "relay watch",
            Source::RegistryWatch => "registry watch",
            Source::RelayRequests => "relay request",
        }
    }
}

/// The number of failures of each source since it last worked.
#[derive(Default)]
pub(crate) struct SourceFailures(BTreeMap<Source, u32>);

impl SourceFailures {
    /// Counts a failure. Returns true if it is the first since the source last worked.
    pub fn add(&mut self, source: Source) -> bool {
        let failures = self.0.entry(source).or_default();
        *failures += 1;
        *failures == 1
    }

    /// Clears the failures of a source that works. Returns their number if there were any.
    pub fn clear(&mut self, source: Source) -> Option<u32> {
        self.0.remove(&source)
    }

    pub fn iter(&self) -> impl Iterator<Item = (Source, u32)> + '_ {
        self.0.iter().map(|(source, failures)| (*source, *failures))
    }
}
