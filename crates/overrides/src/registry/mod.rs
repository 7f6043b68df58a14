//! The registry of all overrides of a controller, active and ended. A change is first proposed, then stored by the
//! caller, and then applied; a proposal alone changes nothing. Expiry takes effect without being stored first.

mod configured;
mod proposals;

use crate::encoding::{self, DecodeError};
use crate::record::{EndCause, Ending, Origin, Override, StoredRecord};
use crate::timeline::{ClockReading, ClockStamp, Timeline};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::api::OverrideNumber;
use whinwall_policy::time::{Moment, Span};

const DAY: Span = Span::ms(24 * 3_600_000);
/// Default of [`OverrideLimits::max_active`].
const DEFAULT_MAX_ACTIVE: usize = 1000;

/// Limits on overrides, which the operators' file can set.
#[derive(Clone, Debug, PartialEq)]
pub struct OverrideLimits {
    /// The longest duration of an override.
    pub max_duration: Span,
    /// The largest number of active overrides, and the largest number of ended overrides that are listed.
    pub max_active: usize,
    /// The time for which an ended override stays listed.
    pub ended_retention: Span,
}

impl Default for OverrideLimits {
    fn default() -> Self {
        OverrideLimits { max_duration: DAY, max_active: DEFAULT_MAX_ACTIVE, ended_retention: DAY }
    }
}

/// The difference between two states of the registry, or between the registry and the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegistryChange {
    /// Overrides to write, new or with a changed state.
    pub writes: Vec<Override>,
    /// The numbers of the overrides to remove.
    pub removals: Vec<OverrideNumber>,
}

impl RegistryChange {
    /// Returns a change without removals.
    fn of_writes(writes: Vec<Override>) -> Self {
        RegistryChange { writes, removals: Vec::new() }
    }

    /// Returns true if the change has neither writes nor removals.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.removals.is_empty()
    }
}

/// The change that a request would make.
#[derive(Debug, PartialEq)]
pub enum Proposal {
    /// No change, as the request was already carried out on this override, which may have ended since.
    Unchanged(OverrideNumber),
    /// A change that has to be stored and applied.
    Change(RegistryChange),
}

/// A stored record that was skipped.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The record is stored under another number than it contains.
    #[error("record {key} contains number {number}")]
    WrongNumber {
        /// The number under which it is stored.
        key: OverrideNumber,
        /// The number that it contains.
        number: OverrideNumber,
    },
    /// The record cannot be decoded.
    #[error("record {key}: {source}")]
    Undecodable {
        /// The number under which it is stored.
        key: OverrideNumber,
        /// The decoding error.
        source: DecodeError,
    },
}

/// A registry restored from the store.
pub struct RestoredRegistry {
    /// The registry, without the unreadable records.
    pub registry: OverrideRegistry,
    /// The errors of the records that were skipped.
    pub unreadable: Vec<RecordError>,
}

/// All overrides of a controller.
pub struct OverrideRegistry {
    limits: OverrideLimits,
    timeline: Timeline,
    overrides: BTreeMap<OverrideNumber, Override>,
    /// The number of the newest override with each id.
    newest_by_id: BTreeMap<String, OverrideNumber>,
    /// The active overrides, ordered by expiry time.
    expiries: BTreeSet<(Moment, OverrideNumber)>,
    next_number: OverrideNumber,
    /// Overrides that are no longer listed but still stored.
    pending_removals: Vec<OverrideNumber>,
    /// Overrides whose current state is not stored yet.
    pending_writes: BTreeSet<OverrideNumber>,
}

impl OverrideRegistry {
    /// Returns an empty registry on this timeline.
    pub fn new(limits: OverrideLimits, timeline: Timeline) -> Self {
        OverrideRegistry {
            limits,
            timeline,
            overrides: BTreeMap::new(),
            newest_by_id: BTreeMap::new(),
            expiries: BTreeSet::new(),
            next_number: 1,
            pending_removals: Vec::new(),
            pending_writes: BTreeSet::new(),
        }
    }

    /// Restores a registry from the store after a restart. Ends the overrides that expired meanwhile, and ends all
    /// overrides if the downtime of the program is unknown.
    pub fn restore(
        limits: OverrideLimits,
        now: Moment,
        reading: &ClockReading,
        stamp: Option<&ClockStamp>,
        records: &[StoredRecord],
    ) -> RestoredRegistry {
        let resumed = Timeline::resume(now, reading, stamp);
        let mut registry = OverrideRegistry::new(limits, resumed.timeline);
        let unreadable = records.iter().filter_map(|record| registry.restore_record(record).err()).collect();
        if !resumed.is_reliable {
            let active: Vec<_> = registry.expiries.iter().map(|(_, number)| *number).collect();
            for number in active {
                registry.end(number, now, EndCause::ClockWentBack);
            }
        }
        registry.expire_due(now);
        registry.prune_ended(now);
        RestoredRegistry { registry, unreadable }
    }

    fn restore_record(&mut self, (key, bytes): &StoredRecord) -> Result<(), RecordError> {
        // The number of an unreadable record must not be reused either.
        self.reserve_number(*key);
        let entry = encoding::decode_override(bytes, &self.timeline)
            .map_err(|source| RecordError::Undecodable { key: *key, source })?;
        if entry.number != *key {
            return Err(RecordError::WrongNumber { key: *key, number: entry.number });
        }
        self.insert(entry);
        Ok(())
    }

    /// Returns the limits on new overrides.
    pub fn limits(&self) -> &OverrideLimits {
        &self.limits
    }

    /// Replaces the limits on new overrides.
    pub fn set_limits(&mut self, limits: OverrideLimits) {
        self.limits = limits;
    }

    /// Returns the timeline on which overrides are stored.
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Returns the active overrides, oldest first.
    pub fn active(&self) -> impl Iterator<Item = &Override> {
        self.overrides.values().filter(|entry| entry.is_active())
    }

    /// Returns all overrides, including ended ones, oldest first.
    pub fn listed(&self) -> impl Iterator<Item = &Override> {
        self.overrides.values()
    }

    /// Returns the newest override with this id.
    pub fn get_by_id(&self, id: &str) -> Option<&Override> {
        self.overrides.get(self.newest_by_id.get(id)?)
    }

    /// Returns the override with this number.
    pub fn get_by_number(&self, number: OverrideNumber) -> Option<&Override> {
        self.overrides.get(&number)
    }

    /// Returns the time at which the next override expires.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.expiries.first().map(|(at, _)| *at)
    }

    fn reserve_number(&mut self, number: OverrideNumber) {
        self.next_number = self.next_number.max(number.saturating_add(1));
    }

    fn insert(&mut self, entry: Override) {
        let number = entry.number;
        self.reserve_number(number);
        if let Some(previous) = self.overrides.get(&number) {
            self.expiries.remove(&(previous.expires_at, number));
        }
        if entry.is_active() {
            self.expiries.insert((entry.expires_at, number));
        }
        let newest = self.newest_by_id.entry(entry.id.clone()).or_insert(number);
        *newest = number.max(*newest);
        self.overrides.insert(number, entry);
    }

    fn end(&mut self, number: OverrideNumber, at: Moment, cause: EndCause) {
        let Some(entry) = self.overrides.get_mut(&number).filter(|entry| entry.is_active()) else { return };
        self.expiries.remove(&(entry.expires_at, number));
        entry.ended = Some(Ending { at, cause });
        self.pending_writes.insert(number);
    }

    /// Ends the overrides that have expired and returns true if there were any. The recorded end is the expiry time,
    /// even if this method is called later.
    pub fn expire_due(&mut self, now: Moment) -> bool {
        let mut has_expired = false;
        while let Some((at, number)) = self.expiries.first().copied().filter(|(at, _)| *at <= now) {
            self.end(number, at, EndCause::Expired);
            has_expired = true;
        }
        has_expired
    }

    /// Removes ended overrides that are past their retention, and the oldest of those that exceed the limit.
    pub fn prune_ended(&mut self, now: Moment) {
        let mut ended: Vec<(Moment, OverrideNumber)> = self
            .overrides
            .values()
            .filter_map(|entry| Some((entry.ended.as_ref()?.at, entry.number)))
            .collect();
        ended.sort_unstable();
        let excess = ended.len().saturating_sub(self.limits.max_active);
        for (rank, (at, number)) in ended.into_iter().enumerate() {
            // An override from the operators' file is kept past its retention. The file may still contain it and would
            // set it again otherwise.
            let is_from_file = self.overrides[&number].origin == Origin::File;
            if rank < excess || (now - at > self.limits.ended_retention && !is_from_file) {
                self.remove(number);
            }
        }
    }

    fn remove(&mut self, number: OverrideNumber) {
        if let Some(entry) = self.overrides.remove(&number) {
            if self.newest_by_id.get(&entry.id) == Some(&number) {
                self.newest_by_id.remove(&entry.id);
            }
            self.pending_removals.push(number);
            self.pending_writes.remove(&number);
        }
    }

    /// Applies a change. A change that is also stored has to be passed to [`Self::mark_saved`].
    pub fn apply(&mut self, change: RegistryChange) {
        for entry in change.writes {
            // The override may have expired while it was being stored.
            let has_ended = self.overrides.get(&entry.number).is_some_and(|known| !known.is_active());
            if !has_ended {
                self.pending_writes.insert(entry.number);
                self.insert(entry);
            }
        }
    }

    /// Reserves the numbers of a change that is about to be stored, so that no other override gets them meanwhile.
    pub fn reserve_numbers(&mut self, change: &RegistryChange) {
        change.writes.iter().for_each(|entry| self.reserve_number(entry.number));
    }

    /// Discards a change that could not be stored. It may nevertheless be in the store and must not be restored after a
    /// restart, so the next write removes the new override, also if it was replaced while it was being stored, and
    /// writes those again that it would have ended.
    pub fn abandon(&mut self, change: &RegistryChange) {
        for entry in &change.writes {
            let is_known = self.overrides.contains_key(&entry.number);
            match (entry.is_active(), is_known) {
                (true, true) => self.remove(entry.number),
                (true, false) => self.pending_removals.push(entry.number),
                (false, true) => _ = self.pending_writes.insert(entry.number),
                (false, false) => {}
            }
        }
    }

    /// Returns true if the current state of this override is not stored yet.
    pub fn is_unsaved(&self, number: OverrideNumber) -> bool {
        self.pending_writes.contains(&number)
    }

    /// Returns all changes that are not stored yet: changes that were applied before being stored, ends, and removals.
    pub fn unsaved(&self) -> RegistryChange {
        let writes = self.pending_writes.iter().filter_map(|number| self.overrides.get(number));
        RegistryChange { writes: writes.cloned().collect(), removals: self.pending_removals.clone() }
    }

    /// Marks a change as stored.
    pub fn mark_saved(&mut self, change: &RegistryChange) {
        // An override that has changed again since still has to be written.
        for entry in change.writes.iter().filter(|entry| self.overrides.get(&entry.number) == Some(*entry)) {
            self.pending_writes.remove(&entry.number);
        }
        self.pending_removals.retain(|number| !change.removals.contains(number));
    }

    /// Adjusts expiry times to a step of the wall clock. An override with a wall-clock expiry time then expires at that
    /// time, but never later than before the step: setting the clock back does not prolong overrides.
    pub fn adjust_to_wall_clock(&mut self, now: Moment, wall_time: Moment) {
        let earlier_expiry = |entry: &Override| {
            let expires_at = now + (entry.expires_at_wall_time? - wall_time);
            (entry.is_active() && expires_at < entry.expires_at).then_some((entry.number, expires_at))
        };
        let earlier: Vec<_> = self.overrides.values().filter_map(earlier_expiry).collect();
        for (number, expires_at) in earlier {
            if let Some(entry) = self.overrides.get_mut(&number) {
                self.expiries.remove(&(entry.expires_at, number));
                entry.expires_at = expires_at;
                self.expiries.insert((expires_at, number));
            }
        }
    }
}
