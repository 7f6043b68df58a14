//! Proposals for the overrides of the operators' file.

use super::{OverrideLimits, OverrideRegistry, RegistryChange};
use crate::error::OverrideError;
use crate::record::{ConfiguredOverride, EndCause, NewOverride, Origin, Override};
use crate::text::format_duration;
use crate::validation::{validate, InvalidField};
use std::collections::BTreeSet;
use whinwall_policy::time::{Moment, Span};

/// The author shown to operators for the end of an override that was removed from the file.
const FILE_AUTHOR: &str = "the operators' file";

/// The process time and the wall-clock time at the same point in time.
#[derive(Clone, Copy)]
struct Clocks {
    now: Moment,
    wall_time: Moment,
}

impl OverrideRegistry {
    /// Returns the change that applying the operators' file would make. New overrides are set, changed ones replace
    /// their previous version, and those removed from the file end. An override that was cleared stays cleared until
    /// its entry in the file changes.
    ///
    /// `being_stored` is a change that was proposed before, and takes effect once it is stored. The file is compared with
    /// the overrides as they are then, so that neither change undoes the other.
    ///
    /// # Errors
    /// The first override that cannot be set. In this case no override is set.
    pub fn propose_configured(
        &self,
        now: Moment,
        wall_time: Moment,
        configured: &[ConfiguredOverride],
        being_stored: Option<&RegistryChange>,
    ) -> Result<RegistryChange, OverrideError> {
        let clocks = Clocks { now, wall_time };
        let mut draft = Draft::new(self, being_stored);
        draft.end_removed(now, configured);
        for entry in configured {
            draft.set(clocks, entry)?;
        }
        Ok(draft.change)
    }

    /// Returns a copy of the registry without its pending writes and removals.
    fn copy_overrides(&self) -> OverrideRegistry {
        let mut copy = OverrideRegistry {
            limits: self.limits.clone(),
            ..OverrideRegistry::new(OverrideLimits::default(), self.timeline)
        };
        for entry in self.overrides.values() {
            copy.insert(entry.clone());
        }
        copy.next_number = self.next_number;
        copy
    }
}

/// A copy of the registry to which the overrides of the file are applied one after another. Each may replace an earlier
/// one, so each is compared with the result of those before it.
struct Draft {
    registry: OverrideRegistry,
    /// The difference between the copy and the original registry.
    change: RegistryChange,
}

impl Draft {
    /// The overrides that a change being stored would end stay active in the copy, since it may fail.
    fn new(registry: &OverrideRegistry, being_stored: Option<&RegistryChange>) -> Self {
        let mut registry = registry.copy_overrides();
        let new_entries = being_stored.into_iter().flat_map(|change| &change.writes);
        for entry in new_entries.filter(|entry| entry.is_active()) {
            registry.insert(entry.clone());
        }
        Draft { registry, change: RegistryChange::default() }
    }

    fn apply(&mut self, writes: Vec<Override>) {
        for entry in writes {
            self.registry.insert(entry.clone());
            self.change.writes.retain(|other| other.number != entry.number);
            self.change.writes.push(entry);
        }
    }

    /// Ends the overrides that were removed from the file.
    fn end_removed(&mut self, now: Moment, configured: &[ConfiguredOverride]) {
        let configured_ids: BTreeSet<&str> = configured.iter().map(|entry| entry.id.as_str()).collect();
        let is_removed =
            |entry: &&Override| entry.origin == Origin::File && !configured_ids.contains(entry.id.as_str());
        let ended = self.registry.active().filter(is_removed);
        let ended =
            ended.map(|entry| entry.with_end(now, EndCause::Cleared { by: FILE_AUTHOR.into() })).collect();
        self.apply(ended);
    }

    fn set(&mut self, clocks: Clocks, configured: &ConfiguredOverride) -> Result<(), OverrideError> {
        let ConfiguredOverride { id, kind, author, reason, expires_at } = configured;
        validate(id, kind, author, reason)?;
        if let Some(known) = self.registry.get_by_id(id) {
            if known.origin == Origin::Request {
                return Err(OverrideError::IdInUse { id: id.clone() });
            }
            let is_same_expiry = known.expires_at_wall_time == Some(*expires_at);
            if known.has_contents(kind, author, reason) && is_same_expiry {
                return Ok(());
            }
        }
        let remaining = *expires_at - clocks.wall_time;
        // An override that had expired before the file was read is never set.
        if remaining == Span::default() {
            return Ok(());
        }
        let max_duration = self.registry.limits.max_duration;
        if remaining > max_duration {
            let longest = format_duration(max_duration);
            let reason = format!("{id} expires more than {longest} from now, the longest duration allowed");
            return Err(InvalidField::new("until", reason).into());
        }
        let request = NewOverride {
            id: id.clone(),
            kind: kind.clone(),
            author: author.clone(),
            reason: reason.clone(),
            duration: remaining,
        };
        let entry = self.registry.new_entry(clocks.now, &request, Origin::File, Some(*expires_at));
        let change = self.registry.with_replaced(clocks.now, entry)?;
        self.apply(change.writes);
        Ok(())
    }
}
