//! Handles requests to change overrides. With a store, a new override is stored before it takes effect; further
//! requests are queued meanwhile, as one write to the store is in flight at a time. The end of an override takes effect
//! without waiting for the store.

mod messages;
mod saving;

pub use messages::{ChangeReply, ChangeRequest, Durability, OverrideEffect, RequestId, StoreEvent};

use crate::encoding;
use crate::error::OverrideError;
use crate::record::{ConfiguredOverride, NewOverride, StoredRecord};
use crate::registry::{OverrideLimits, OverrideRegistry, Proposal, RegistryChange};
use crate::timeline::{ClockReading, ClockStamp, Timeline};
use saving::{PendingClear, PendingSave, PendingSet};
use std::collections::{BTreeMap, VecDeque};
use std::mem::take;
use whinwall_policy::api::OverrideNumber;
use whinwall_policy::time::Moment;

/// The limit on requests of each kind that wait for the store. Beyond it, requests to set an override are rejected, and
/// requests to clear one are answered before the end is on disk.
const MAX_QUEUED_REQUESTS: usize = 256;

/// The state of the store.
enum StoreState {
    /// There is no store: overrides are lost when the program ends.
    NotConfigured,
    /// The store has not been read yet, for this reason.
    Unavailable(String),
    /// The store has been read.
    Open,
}

/// A request to set an override that waits for an earlier write.
struct QueuedSet {
    request_id: RequestId,
    request: NewOverride,
}

/// Manages the overrides of a controller: the registry, the requests to change it, and the writes to the store.
pub struct OverrideManager {
    registry: OverrideRegistry,
    store: StoreState,
    queued_sets: VecDeque<QueuedSet>,
    pending_clears: Vec<PendingClear>,
    pending_save: Option<PendingSave>,
    /// The overrides of the operators' file that were cleared before the store was read, by id, with the operator who
    /// cleared each. At most as many as the file has overrides.
    early_clears: BTreeMap<String, String>,
    last_serial: u64,
    /// The overrides of the operators' file; `None` until it is read.
    configured: Option<Vec<ConfiguredOverride>>,
    retry_at: Option<Moment>,
    stamp_due_at: Moment,
    has_write_failed: bool,
    has_changed: bool,
    effects: Vec<OverrideEffect>,
}

impl OverrideManager {
    /// Returns a manager without a store: all overrides are lost when the program ends.
    pub fn in_memory(now: Moment, reading: &ClockReading, limits: OverrideLimits) -> Self {
        Self::new(now, reading, limits, StoreState::NotConfigured)
    }

    /// Returns a manager with a store. Requests to set an override are rejected until the store has been read.
    pub fn with_store(now: Moment, reading: &ClockReading, limits: OverrideLimits) -> Self {
        Self::new(now, reading, limits, StoreState::Unavailable("it is not read yet".into()))
    }

    fn new(now: Moment, reading: &ClockReading, limits: OverrideLimits, store: StoreState) -> Self {
        OverrideManager {
            registry: OverrideRegistry::new(limits, Timeline::resume(now, reading, None).timeline),
            store,
            queued_sets: VecDeque::new(),
            pending_clears: Vec::new(),
            pending_save: None,
            early_clears: BTreeMap::new(),
            last_serial: 0,
            configured: None,
            retry_at: None,
            stamp_due_at: now,
            has_write_failed: false,
            has_changed: false,
            effects: Vec::new(),
        }
    }

    /// Returns the registry of overrides.
    pub fn registry(&self) -> &OverrideRegistry {
        &self.registry
    }

    /// Returns true if the active overrides may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        take(&mut self.has_changed)
    }

    /// Returns the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<OverrideEffect> {
        take(&mut self.effects)
    }

    /// Handles a request. The reply is an effect, of this call or of a later one.
    pub fn handle_request(&mut self, now: Moment, request_id: RequestId, request: ChangeRequest) {
        match request {
            ChangeRequest::Set(_) if self.queued_sets.len() >= MAX_QUEUED_REQUESTS => {
                self.reply(request_id, ChangeReply::Busy);
            }
            ChangeRequest::Set(request) => self.queued_sets.push_back(QueuedSet { request_id, request }),
            ChangeRequest::Clear { id, by } => self.clear(now, request_id, &id, &by),
        }
        self.process_queues(now);
    }

    fn reply(&mut self, request_id: RequestId, reply: ChangeReply) {
        self.effects.push(OverrideEffect::Reply { request_id, reply });
    }

    fn log(&mut self, event: StoreEvent) {
        self.effects.push(OverrideEffect::Log(event));
    }

    fn clear(&mut self, now: Moment, request_id: RequestId, id: &str, by: &str) {
        let (number, is_repeat) = match self.registry.propose_clear(now, id, by) {
            Err(error) => return self.reply(request_id, self.clear_rejection(error)),
            Ok(Proposal::Unchanged(number)) => (number, true),
            Ok(Proposal::Change(change)) => {
                let number = change.writes.first().map_or(0, |entry| entry.number);
                self.apply(change);
                (number, false)
            }
        };
        let durability = match &self.store {
            StoreState::NotConfigured => Durability::InMemory,
            StoreState::Unavailable(reason) => {
                let reason = reason.clone();
                self.early_clears.insert(id.into(), by.into());
                Durability::Pending(reason)
            }
            // A repeated clear is on disk only if the end is. An end in memory only would be undone by a restart.
            StoreState::Open if is_repeat && !self.registry.is_unsaved(number) => Durability::OnDisk,
            StoreState::Open if self.pending_clears.len() < MAX_QUEUED_REQUESTS => {
                return self.pending_clears.push(PendingClear { request_id, number, is_repeat });
            }
            StoreState::Open => Durability::Pending("too many wait for the disk".into()),
        };
        self.reply(request_id, ChangeReply::Cleared { number, is_repeat, durability });
    }

    /// Returns the reply to a rejected clear. Before the store has been read, an unknown id may belong to a stored
    /// override.
    fn clear_rejection(&self, error: OverrideError) -> ChangeReply {
        match (error, &self.store) {
            (OverrideError::UnknownId { .. }, StoreState::Unavailable(reason)) => {
                ChangeReply::NotStored(reason.clone())
            }
            (error, _) => ChangeReply::Rejected(error),
        }
    }

    fn apply(&mut self, change: RegistryChange) {
        self.registry.apply(change);
        self.has_changed = true;
    }

    /// Replaces the registry with the contents of the store. Then repeats the changes that the store lacks: the
    /// overrides of the operators' file, and the clears from before the store was read.
    pub fn handle_store_read(
        &mut self,
        now: Moment,
        reading: &ClockReading,
        stamp: Option<&[u8]>,
        records: &[StoredRecord],
    ) {
        let stamp = stamp.and_then(|bytes| self.decode_stamp(bytes));
        let limits = self.registry.limits().clone();
        let restored = OverrideRegistry::restore(limits, now, reading, stamp.as_ref(), records);
        for error in restored.unreadable {
            self.log(StoreEvent::RecordUnreadable { reason: error.to_string() });
        }
        self.registry = restored.registry;
        let active = self.registry.active().count();
        self.log(StoreEvent::Read { active, ended: self.registry.listed().count() - active });
        self.store = StoreState::Open;
        self.has_changed = true;
        self.pending_save = None;
        self.registry.adjust_to_wall_clock(now, reading.wall_time);
        if let Some(configured) = self.configured.take() {
            let limits = self.registry.limits().clone();
            if let Err(error) = self.apply_configuration(now, reading.wall_time, limits, configured) {
                self.log(StoreEvent::ConfigurationRejected { reason: error.to_string() });
            }
        }
        self.repeat_early_clears(now);
        self.process_queues(now);
    }

    /// Repeats the clears from before the store was read, which the registry restored from the store lacks.
    fn repeat_early_clears(&mut self, now: Moment) {
        for (id, by) in take(&mut self.early_clears) {
            if let Ok(Proposal::Change(change)) = self.registry.propose_clear(now, &id, &by) {
                self.apply(change);
            }
        }
    }

    /// Returns the reason why the store has not been read yet; `None` if it has been read or if there is no store.
    pub fn store_unavailable_reason(&self) -> Option<&str> {
        match &self.store {
            StoreState::Unavailable(reason) => Some(reason),
            StoreState::Open | StoreState::NotConfigured => None,
        }
    }

    fn decode_stamp(&mut self, bytes: &[u8]) -> Option<ClockStamp> {
        match encoding::decode_stamp(bytes) {
            Ok(stamp) => Some(stamp),
            Err(error) => {
                self.log(StoreEvent::StampUnreadable { reason: error.to_string() });
                None
            }
        }
    }

    /// Handles a failure to read the store. A reason that repeats the last one is not logged again.
    pub fn handle_store_unavailable(&mut self, reason: &str) {
        let is_repeated = matches!(&self.store, StoreState::Unavailable(last) if last == reason);
        if !is_repeated {
            self.log(StoreEvent::Unavailable { reason: reason.into() });
        }
        self.store = StoreState::Unavailable(reason.into());
    }

    /// Applies the limits and overrides of the operators' file.
    ///
    /// # Errors
    /// The first override that cannot be set. In this case nothing changes.
    pub fn apply_configuration(
        &mut self,
        now: Moment,
        wall_time: Moment,
        limits: OverrideLimits,
        configured: Vec<ConfiguredOverride>,
    ) -> Result<(), OverrideError> {
        let previous_limits = self.registry.limits().clone();
        self.registry.set_limits(limits);
        let being_stored = self.pending_save.as_ref().and_then(PendingSave::new_change);
        match self.registry.propose_configured(now, wall_time, &configured, being_stored) {
            Ok(change) => {
                self.has_changed |= !change.is_empty();
                self.registry.apply(change);
                self.configured = Some(configured);
                self.process_queues(now);
                Ok(())
            }
            Err(error) => {
                self.registry.set_limits(previous_limits);
                Err(error)
            }
        }
    }

    /// Adjusts expiry times to a step of the wall clock and schedules a write of a new clock stamp.
    pub fn handle_wall_clock_step(&mut self, now: Moment, wall_time: Moment) {
        self.registry.adjust_to_wall_clock(now, wall_time);
        self.stamp_due_at = now;
        self.tick(now);
    }

    /// Ends overrides that have expired, and starts a write if one is due.
    pub fn tick(&mut self, now: Moment) {
        if self.registry.expire_due(now) {
            self.has_changed = true;
            self.registry.prune_ended(now);
        }
        self.process_queues(now);
    }

    /// Returns the time at which [`Self::tick`] has to be called next.
    pub fn next_tick_at(&self) -> Option<Moment> {
        let expiry = self.registry.next_expiry();
        if !matches!(self.store, StoreState::Open) || self.pending_save.is_some() {
            return expiry;
        }
        let retry = self.retry_at.filter(|_| !self.registry.unsaved().is_empty());
        let stamp = expiry.map(|_| self.stamp_due_at.max(self.retry_at.unwrap_or_default()));
        [expiry, retry, stamp].into_iter().flatten().min()
    }

    fn process_queues(&mut self, now: Moment) {
        while self.pending_save.is_none() {
            let Some(queued) = self.queued_sets.pop_front() else { break };
            self.process_set(now, queued);
        }
        match self.store {
            StoreState::NotConfigured => {
                let unsaved = self.registry.unsaved();
                self.registry.mark_saved(&unsaved);
            }
            StoreState::Open if self.pending_save.is_none() && self.is_save_due(now) => self.start_save(None),
            StoreState::Open | StoreState::Unavailable(_) => {}
        }
    }

    fn process_set(&mut self, now: Moment, QueuedSet { request_id, request }: QueuedSet) {
        let proposal = match self.registry.propose_set(now, &request) {
            Ok(proposal) => proposal,
            Err(error) => return self.reply(request_id, ChangeReply::Rejected(error)),
        };
        let durability = match &self.store {
            StoreState::Unavailable(reason) => {
                let reply = ChangeReply::NotStored(reason.clone());
                return self.reply(request_id, reply);
            }
            StoreState::Open => Durability::OnDisk,
            StoreState::NotConfigured => Durability::InMemory,
        };
        let (number, is_repeat) = match proposal {
            Proposal::Unchanged(number) => (number, true),
            Proposal::Change(change) if durability == Durability::OnDisk => {
                return self.start_save(Some(PendingSet { request_id, change }));
            }
            Proposal::Change(change) => {
                let number = new_override_number(&change);
                self.apply(change);
                (number, false)
            }
        };
        self.reply(request_id, ChangeReply::Set { number, is_repeat, durability });
    }
}

/// Returns the number of the override that a request sets. It is the last write, after the overrides that it replaces.
fn new_override_number(change: &RegistryChange) -> OverrideNumber {
    change.writes.last().map_or(0, |entry| entry.number)
}
