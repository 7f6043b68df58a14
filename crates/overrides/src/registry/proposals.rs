//! Proposals for requests to set or to clear an override.

use super::{OverrideRegistry, Proposal, RegistryChange};
use crate::error::OverrideError;
use crate::record::{EndCause, NewOverride, Origin, Override};
use crate::text::format_duration;
use crate::validation::{validate, InvalidField};
use whinwall_policy::time::{Moment, Span};

/// The shortest duration. A shorter override would expire before all proxies have received it.
const MIN_DURATION: Span = Span::ms(1000);

impl OverrideRegistry {
    /// Returns the change that setting this override would make.
    ///
    /// # Errors
    /// A field is invalid, another override has the id, or too many overrides are active.
    pub fn propose_set(&self, now: Moment, request: &NewOverride) -> Result<Proposal, OverrideError> {
        let NewOverride { id, kind, author, reason, duration } = request;
        validate(id, kind, author, reason)?;
        if let Some(known) = self.get_by_id(id) {
            return if known.has_contents(kind, author, reason) {
                Ok(Proposal::Unchanged(known.number))
            } else {
                Err(OverrideError::IdInUse { id: id.clone() })
            };
        }
        self.validate_duration(*duration)?;
        let entry = self.new_entry(now, request, Origin::Request, None);
        self.with_replaced(now, entry).map(Proposal::Change)
    }

    /// Returns an active override with the next number.
    pub(super) fn new_entry(
        &self,
        now: Moment,
        request: &NewOverride,
        origin: Origin,
        expires_at_wall_time: Option<Moment>,
    ) -> Override {
        Override {
            number: self.next_number,
            id: request.id.clone(),
            kind: request.kind.clone(),
            author: request.author.clone(),
            reason: request.reason.clone(),
            origin,
            set_at: now,
            expires_at: now + request.duration,
            expires_at_wall_time,
            ended: None,
        }
    }

    fn validate_duration(&self, duration: Span) -> Result<(), InvalidField> {
        let max_duration = self.limits.max_duration;
        if duration < MIN_DURATION {
            let reason = format!("shorter than {}", format_duration(MIN_DURATION));
            return Err(InvalidField::new("for", reason));
        }
        if duration > max_duration {
            let reason = format!("longer than {}, the longest", format_duration(max_duration));
            return Err(InvalidField::new("for", reason));
        }
        Ok(())
    }

    /// Returns the change that sets `entry` and ends the overrides that it replaces.
    pub(super) fn with_replaced(
        &self,
        now: Moment,
        entry: Override,
    ) -> Result<RegistryChange, OverrideError> {
        let is_replaced = |other: &&Override| entry.kind.replaces(&other.kind) || other.id == entry.id;
        let mut writes: Vec<Override> = self
            .active()
            .filter(is_replaced)
            .map(|other| other.with_end(now, EndCause::Replaced { by: entry.id.clone() }))
            .collect();
        let remaining = self.expiries.len().saturating_sub(writes.len());
        if remaining + 1 > self.limits.max_active {
            return Err(OverrideError::LimitReached { limit: self.limits.max_active });
        }
        writes.push(entry);
        Ok(RegistryChange::of_writes(writes))
    }

    /// Returns the change that clearing an override would make; no change if it has ended.
    ///
    /// # Errors
    /// [`OverrideError::UnknownId`].
    pub fn propose_clear(&self, now: Moment, id: &str, by: &str) -> Result<Proposal, OverrideError> {
        let entry = self.get_by_id(id).ok_or_else(|| OverrideError::UnknownId { id: id.into() })?;
        if !entry.is_active() {
            return Ok(Proposal::Unchanged(entry.number));
        }
        let cleared = entry.with_end(now, EndCause::Cleared { by: by.into() });
        Ok(Proposal::Change(RegistryChange::of_writes(vec![cleared])))
    }
}
