//! Requests to the override manager, its replies, and the effects that its caller has to carry out.

use crate::error::OverrideError;
use crate::record::{NewOverride, StoredRecord};
use crate::timeline::Timeline;
use std::fmt;
use whinwall_policy::api::OverrideNumber;

/// Identifies a request and its reply.
pub type RequestId = u64;

/// A request to change the overrides.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeRequest {
    /// Set an override.
    Set(NewOverride),
    /// Clear an override.
    Clear {
        /// The id of the override.
        id: String,
        /// The operator who clears it.
        by: String,
    },
}

/// The durability of a change: whether it survives a restart of the program.
#[derive(Clone, Debug, PartialEq)]
pub enum Durability {
    /// The change is on disk.
    OnDisk,
    /// The change is in memory only, as no store is configured.
    InMemory,
    /// The change is in memory and not on disk yet, for this reason. The write is retried.
    Pending(String),
}

/// The reply to a [`ChangeRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeReply {
    /// The override was set.
    Set {
        /// The number of the override.
        number: OverrideNumber,
        /// True if an earlier request had set it.
        is_repeat: bool,
        /// The durability of the override.
        durability: Durability,
    },
    /// The override has ended.
    Cleared {
        /// The number of the override.
        number: OverrideNumber,
        /// True if it had ended before the request.
        is_repeat: bool,
        /// The durability of the end.
        durability: Durability,
    },
    /// The request is rejected; nothing has changed.
    Rejected(OverrideError),
    /// The change could not be stored, for this reason; nothing has changed.
    NotStored(String),
    /// The request queue is full; nothing has changed.
    Busy,
}

/// An action that the caller of the override manager has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideEffect {
    /// Write to the store atomically, together with a clock stamp on this timeline, and pass the outcome to
    /// [`OverrideManager::handle_save_outcome`](super::OverrideManager::handle_save_outcome).
    Save {
        /// The serial number of the write, which identifies its outcome.
        serial: u64,
        /// Records to write.
        writes: Vec<StoredRecord>,
        /// The numbers of the records to remove.
        removals: Vec<OverrideNumber>,
        /// The timeline of the clock stamp.
        timeline: Timeline,
    },
    /// Reply to a request.
    Reply {
        /// The id of the request.
        request_id: RequestId,
        /// The reply.
        reply: ChangeReply,
    },
    /// Log an event.
    Log(StoreEvent),
}

/// An event of the override store for the log. Its text is the message followed by its fields.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// The store was read.
    Read {
        /// The number of active overrides.
        active: usize,
        /// The number of listed overrides that have ended.
        ended: usize,
    },
    /// The store cannot be opened or read. Requests to set an override are rejected until the store is read.
    Unavailable {
        /// The reason.
        reason: String,
    },
    /// A write failed; it is retried.
    WriteFailed {
        /// The reason.
        reason: String,
    },
    /// A write succeeded after failures.
    Recovered,
    /// A record cannot be decoded and was skipped.
    RecordUnreadable {
        /// The reason.
        reason: String,
    },
    /// The clock stamp cannot be decoded. Expiry times follow the wall clock instead.
    StampUnreadable {
        /// The reason.
        reason: String,
    },
    /// The overrides of the operators' file conflict with those in the store. None of the file's overrides is active.
    ConfigurationRejected {
        /// The reason.
        reason: String,
    },
}

impl StoreEvent {
    /// Returns the constant part of the text.
    pub fn message(&self) -> &'static str {
        match self {
            StoreEvent::Read { .. } => "override store read",
            StoreEvent::Unavailable { .. } => "override store unavailable, requests are rejected",
            StoreEvent::WriteFailed { .. } => "override store write failed",
            StoreEvent::Recovered => "override store recovered",
            StoreEvent::RecordUnreadable { .. } => "override record is corrupt, left out",
            StoreEvent::StampUnreadable { .. } => {
                "override store clock stamp is corrupt, expiry follows the wall clock"
            }
            StoreEvent::ConfigurationRejected { .. } => "overrides of the operators' file rejected",
        }
    }
}

impl fmt::Display for StoreEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.message())?;
        match self {
            StoreEvent::Read { active, ended } => write!(f, " active={active} ended={ended}"),
            StoreEvent::Recovered => Ok(()),
            StoreEvent::Unavailable { reason }
            | StoreEvent::WriteFailed { reason }
            | StoreEvent::RecordUnreadable { reason }
            | StoreEvent::StampUnreadable { reason }
            | StoreEvent::ConfigurationRejected { reason } => write!(f, " reason={reason:?}"),
        }
    }
}
