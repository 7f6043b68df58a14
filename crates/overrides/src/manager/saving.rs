//! Writes to the store, one at a time, and the handling of their outcomes.

use super::{
    new_override_number, ChangeReply, Durability, OverrideEffect, OverrideManager, RequestId, StoreEvent,
};
use crate::encoding;
use crate::error::SaveError;
use crate::registry::RegistryChange;
use std::mem::{replace, take};
use whinwall_policy::api::OverrideNumber;
use whinwall_policy::time::{Moment, Span};

/// The delay before a failed write is retried.
const WRITE_RETRY_DELAY: Span = Span::ms(5000);
/// The interval at which the clock stamp is stored. An undetected step of the wall clock prolongs an override by at
/// most this interval.
const STAMP_INTERVAL: Span = Span::ms(60_000);

/// A request to set an override whose write is in flight.
pub(super) struct PendingSet {
    pub request_id: RequestId,
    pub change: RegistryChange,
}

/// A request to clear an override that waits for the write of the end. The override itself has ended already.
pub(super) struct PendingClear {
    pub request_id: RequestId,
    pub number: OverrideNumber,
    /// True if the override had ended before the request.
    pub is_repeat: bool,
}

/// The write to the store that is in flight.
pub(super) struct PendingSave {
    pub serial: u64,
    pub set: Option<PendingSet>,
    /// Changes that have already taken effect.
    pub unsaved: RegistryChange,
    pub clears: Vec<PendingClear>,
}

impl PendingSave {
    /// Returns the change that takes effect once it is stored.
    pub fn new_change(&self) -> Option<&RegistryChange> {
        self.set.as_ref().map(|set| &set.change)
    }
}

impl OverrideManager {
    pub(super) fn is_save_due(&self, now: Moment) -> bool {
        if !self.pending_clears.is_empty() {
            return true;
        }
        let may_write = self.retry_at.is_none_or(|at| at <= now);
        let is_stamp_due = self.stamp_due_at <= now && self.registry.next_expiry().is_some();
        may_write && (is_stamp_due || !self.registry.unsaved().is_empty())
    }

    pub(super) fn start_save(&mut self, set: Option<PendingSet>) {
        self.last_serial += 1;
        let serial = self.last_serial;
        if let Some(set) = &set {
            self.registry.reserve_numbers(&set.change);
        }
        let unsaved = self.registry.unsaved();
        let timeline = *self.registry.timeline();
        let new_overrides = set.iter().flat_map(|set| &set.change.writes);
        let writes = unsaved
            .writes
            .iter()
            .chain(new_overrides)
            .map(|entry| (entry.number, encoding::encode_override(entry, &timeline)))
            .collect();
        let removals = unsaved.removals.clone();
        let clears = take(&mut self.pending_clears);
        self.effects.push(OverrideEffect::Save { serial, writes, removals, timeline });
        self.pending_save = Some(PendingSave { serial, set, unsaved, clears });
    }

    /// Handles the outcome of a write. The outcome of a write that is no longer in flight is ignored.
    pub fn handle_save_outcome(&mut self, now: Moment, serial: u64, outcome: Result<(), SaveError>) {
        let Some(save) = self.pending_save.take_if(|save| save.serial == serial) else { return };
        let durability = match &outcome {
            Ok(()) => {
                self.registry.mark_saved(&save.unsaved);
                self.record_successful_write(now);
                Durability::OnDisk
            }
            Err(error) => {
                self.record_failed_write(now, error);
                Durability::Pending(error.to_string())
            }
        };
        if let Some(set) = save.set {
            self.finish_set(set, outcome);
        }
        for PendingClear { request_id, number, is_repeat } in save.clears {
            let durability = durability.clone();
            self.reply(request_id, ChangeReply::Cleared { number, is_repeat, durability });
        }
        self.tick(now);
    }

    fn record_successful_write(&mut self, now: Moment) {
        self.retry_at = None;
        self.stamp_due_at = now + STAMP_INTERVAL;
        if take(&mut self.has_write_failed) {
            self.log(StoreEvent::Recovered);
        }
    }

    fn record_failed_write(&mut self, now: Moment, error: &SaveError) {
        self.retry_at = Some(now + WRITE_RETRY_DELAY);
        if !replace(&mut self.has_write_failed, true) {
            self.log(StoreEvent::WriteFailed { reason: error.to_string() });
        }
    }

    fn finish_set(&mut self, PendingSet { request_id, change }: PendingSet, outcome: Result<(), SaveError>) {
        let number = new_override_number(&change);
        let reply = match outcome {
            Ok(()) => {
                self.apply(change.clone());
                self.registry.mark_saved(&change);
                ChangeReply::Set { number, is_repeat: false, durability: Durability::OnDisk }
            }
            Err(error) => {
                self.registry.abandon(&change);
                ChangeReply::NotStored(error.to_string())
            }
        };
        self.reply(request_id, reply);
    }
}
