//! An override manager with a simulated store.
//!
//! Each test program uses a part of this module.

#![allow(dead_code)]

use std::collections::BTreeMap;
use whinwall_overrides::{
    encoding, ChangeReply, ChangeRequest, ClockReading, ClockStamp, ConfiguredOverride, NewOverride,
    OverrideEffect, OverrideError, OverrideKind, OverrideLimits, OverrideManager, RequestId, SaveError,
};
use whinwall_policy::time::{Moment, Span};

/// Returns the time `ms` milliseconds after the start of the test.
pub fn moment_ms(ms: u64) -> Moment {
    Moment::at_ns((1_800_000_000_000 + ms) * 1_000_000)
}

pub fn reading(ms: u64) -> ClockReading {
    ClockReading { boot_id: "a".into(), uptime: Span::ms(ms), wall_time: moment_ms(ms) }
}

pub fn out_of_service(id: &str, replica: &str, duration_ms: u64) -> NewOverride {
    let (kind, duration) = (OverrideKind::Out { replica: replica.into() }, Span::ms(duration_ms));
    NewOverride { id: id.into(), kind, author: "mb".into(), reason: "disk".into(), duration }
}

pub fn set_request(id: &str) -> ChangeRequest {
    ChangeRequest::Set(out_of_service(id, &format!("s-{id}"), 60_000))
}

/// An override of the operators' file that takes the replica out of service until this time.
pub fn configured(id: &str, replica: &str, expires_at_ms: u64) -> ConfiguredOverride {
    let NewOverride { id, kind, author, reason, .. } = out_of_service(id, replica, 0);
    ConfiguredOverride { id, kind, author, reason, expires_at: moment_ms(expires_at_ms) }
}

pub fn limits() -> OverrideLimits {
    OverrideLimits { max_active: 300, ..OverrideLimits::default() }
}

/// A manager with a simulated store. Tests decide whether each write succeeds or fails.
pub struct Harness {
    pub manager: OverrideManager,
    pub stored: BTreeMap<u64, Vec<u8>>,
    pub stamp: Option<Vec<u8>>,
    pub now_ms: u64,
    pub replies: BTreeMap<RequestId, ChangeReply>,
    pub logged: Vec<String>,
    pub pending_save: Option<(u64, OverrideEffect)>,
}

impl Harness {
    pub fn in_memory() -> Self {
        Harness::new(OverrideManager::in_memory(moment_ms(0), &reading(0), limits()))
    }

    pub fn with_unread_store() -> Self {
        Harness::new(OverrideManager::with_store(moment_ms(0), &reading(0), limits()))
    }

    pub fn new(manager: OverrideManager) -> Self {
        Harness {
            manager,
            stored: BTreeMap::new(),
            stamp: None,
            now_ms: 0,
            replies: BTreeMap::new(),
            logged: Vec::new(),
            pending_save: None,
        }
    }

    pub fn with_store_read() -> Self {
        let mut harness = Harness::with_unread_store();
        harness.read_store();
        harness
    }

    pub fn read_store(&mut self) {
        let records: Vec<_> = self.stored.iter().map(|(n, bytes)| (*n, bytes.clone())).collect();
        self.manager.handle_store_read(
            moment_ms(self.now_ms),
            &reading(self.now_ms),
            self.stamp.as_deref(),
            &records,
        );
        self.take_effects();
    }

    /// Replaces the manager by a new one that reads the stored records, as after a kill and restart of the program.
    pub fn restart(&mut self) {
        let restarted = Harness::with_unread_store();
        (self.manager, self.pending_save) = (restarted.manager, None);
        self.read_store();
    }

    pub fn take_effects(&mut self) {
        for effect in self.manager.take_effects() {
            match effect {
                OverrideEffect::Save { serial, .. } => {
                    assert!(self.pending_save.replace((serial, effect)).is_none(), "one write at a time");
                }
                OverrideEffect::Reply { request_id, reply } => {
                    assert!(self.replies.insert(request_id, reply).is_none(), "{request_id} has two replies");
                }
                OverrideEffect::Log(event) => self.logged.push(event.to_string()),
            }
        }
    }

    pub fn request(&mut self, request_id: RequestId, request: ChangeRequest) {
        self.manager.handle_request(moment_ms(self.now_ms), request_id, request);
        self.take_effects();
    }

    /// Stores the pending write without reporting an outcome. Returns its serial number.
    pub fn store_pending(&mut self) -> Option<u64> {
        let (serial, effect) = self.pending_save.take()?;
        let OverrideEffect::Save { writes, removals, timeline, .. } = effect else { panic!("not a write") };
        self.stored.extend(writes);
        self.stored.retain(|number, _| !removals.contains(number));
        let stamp = ClockStamp {
            reading: reading(self.now_ms),
            position: timeline.to_persistent(moment_ms(self.now_ms)),
        };
        self.stamp = Some(encoding::encode_stamp(&stamp));
        Some(serial)
    }

    /// Lets the pending write succeed. Returns false if there is none.
    pub fn complete_save(&mut self) -> bool {
        let serial = self.store_pending();
        self.report_outcome(serial, Ok(()))
    }

    /// Lets the pending write fail without storing anything. Returns false if there is none.
    pub fn fail_save(&mut self) -> bool {
        let serial = self.pending_save.take().map(|(serial, _)| serial);
        self.report_outcome(serial, Err(SaveError::new("full")))
    }

    /// Stores the pending write, which is reported as failed. Returns false if there is none.
    pub fn store_and_fail_save(&mut self) -> bool {
        let serial = self.store_pending();
        self.report_outcome(serial, Err(SaveError::new("flush")))
    }

    pub fn report_outcome(&mut self, serial: Option<u64>, outcome: Result<(), SaveError>) -> bool {
        let Some(serial) = serial else { return false };
        self.manager.handle_save_outcome(moment_ms(self.now_ms), serial, outcome);
        self.take_effects();
        true
    }

    /// Reads the operators' file with these overrides.
    pub fn reload(&mut self, file: &[ConfiguredOverride]) -> Result<(), OverrideError> {
        let now = moment_ms(self.now_ms);
        let outcome = self.manager.apply_configuration(now, now, limits(), file.to_vec());
        self.take_effects();
        outcome
    }

    pub fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        if self.manager.next_tick_at().is_some_and(|due| due <= moment_ms(self.now_ms)) {
            self.manager.tick(moment_ms(self.now_ms));
            self.take_effects();
        }
    }

    pub fn active_ids(&self) -> Vec<&str> {
        self.manager.registry().active().map(|entry| entry.id.as_str()).collect()
    }

    /// Returns the ids of the overrides that would be active after a restart.
    pub fn stored_ids(&self) -> Vec<String> {
        let mut restarted = Harness::with_unread_store();
        (restarted.stored, restarted.stamp, restarted.now_ms) =
            (self.stored.clone(), self.stamp.clone(), self.now_ms);
        restarted.read_store();
        restarted.active_ids().into_iter().map(str::to_string).collect()
    }
}
