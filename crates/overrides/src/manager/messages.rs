//! Requests to the override manager, its replies, and the effects that its caller carries out.

use crate::error::OverrideError;
use crate::record::{NewOverride, StoredRecord};
use crate::timeline::Timeline;
use std::fmt;
use whinwall_policy::api::OverrideNumber;

/// Identifies the reply to a request.
pub type RequestId = u64;

/// A request to change the overrides.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeRequest {
    /// Set an override.
    Set(NewOverride),
    /// End an override.
    Clear {
        /// Its id.
        id: String,
        /// Who ends it.
        by: String,
    },
}

/// Whether a change outlives the program.
#[derive(Clone, Debug, PartialEq)]
pub enum Durability {
    /// It is stored.
    OnDisk,
    /// No store is configured.
    InMemory,
    /// The store cannot be written to now, for this reason; the write is retried.
    Pending(String),
}

/// The reply to a [`ChangeRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeReply {
    /// The override is set.
    Set {
        /// Its number.
        number: OverrideNumber,
        /// Whether an earlier request had set it.
        is_repeat: bool,
        /// Whether it outlives the program.
        durability: Durability,
    },
    /// The override has ended.
    Cleared {
        /// Its number.
        number: OverrideNumber,
        /// Whether it had ended before.
        is_repeat: bool,
        /// Whether the end outlives the program.
        durability: Durability,
    },
    /// The request is rejected; nothing has changed.
    Rejected(OverrideError),
    /// The store cannot be written to, for this reason; nothing has changed.
    NotStored(String),
    /// Too many requests are queued; nothing has changed.
    Busy,
}

/// What the caller of the override manager has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideEffect {
    /// Write to the store, atomically, with a clock stamp on this timeline, and pass the outcome to
    /// [`OverrideManager::handle_save_outcome`](super::OverrideManager::handle_save_outcome).
    Save {
        /// Identifies the outcome.
        serial: u64,
        /// Records to write.
        writes: Vec<StoredRecord>,
        /// Numbers of the records to remove.
        removals: Vec<OverrideNumber>,
        /// The timeline to stamp the store with.
        timeline: Timeline,
    },
    /// Reply to a request.
    Reply {
        /// The request.
        request_id: RequestId,
        /// The reply.
        reply: ChangeReply,
    },
    /// Log an event.
    Log(StoreEvent),
}

/// An event of the override store, for the log. The text is the message with its fields.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// The store was read.
    Read {
        /// How many overrides are active.
        active: usize,
        /// How many listed overrides have ended.
        ended: usize,
    },
    /// The store cannot be opened or read; requests to set an override are rejected until it can.
    Unavailable {
        /// Why.
        reason: String,
    },
    /// A write failed; it is retried.
    WriteFailed {
        /// Why.
        reason: String,
    },
    /// A write succeeded after failures.
    Recovered,
    /// A record cannot be read and was left out.
    RecordUnreadable {
        /// Why.
        reason: String,
    },
    /// The clock stamp cannot be read; expiry times follow the wall clock.
    StampUnreadable {
        /// Why.
        reason: String,
    },
    /// The overrides of the operators' file contradict those of the store; none of the file's is active.
    ConfigurationRejected {
        /// Why.
        reason: String,
    },
}

impl StoreEvent {
    /// The constant part of the text.
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
