//! Tracks which zones' collectors report. A zone that reported earlier, to this aggregator or to a peer, and does not
//! report now is *missing*: sums of that time do not include its part.

use crate::limits;
use crate::log_event::LogEvent;
use std::collections::BTreeMap;
use whinwall_policy::time::Moment;

/// Identifies a connection to the aggregator's listener.
pub type ConnectionId = u64;

/// State of a zone. Owned by [`Coverage`], which has at most `MAX_ZONES`. Removed when it has been missing for
/// `ZONE_RETENTION`.
#[derive(Clone, Debug)]
struct Zone {
    /// Number of connected collectors.
    collectors: usize,
    /// True if the zone has reported to this aggregator or to a peer. False for a zone that connections have only named,
    /// such as one made up by an unauthenticated peer.
    is_known: bool,
    /// Time of the creation of the entry.
    added_at: Moment,
    /// Time of the last report, or of the creation of the entry if there has been none.
    last_report_at: Moment,
    missing_since: Option<Moment>,
    /// End of the last time that the zone was missing.
    was_missing_until: Option<Moment>,
}

/// All zones and their collectors.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    zones: BTreeMap<String, Zone>,
    collectors: BTreeMap<ConnectionId, String>,
}

impl Coverage {
    /// Registers a collector for a zone. Returns false if the zone exceeds a limit.
    pub fn join(&mut self, now: Moment, connection: ConnectionId, zone: &str) -> bool {
        self.end_connection(connection);
        let Some(entry) = self.zone_or_insert(now, zone) else { return false };
        entry.collectors += 1;
        self.collectors.insert(connection, zone.into());
        true
    }

    /// Registers a zone that reports to a peer. It is missing until it reports to this aggregator. Returns false if the
    /// zone exceeds a limit.
    pub fn expect_zone(&mut self, now: Moment, zone: &str) -> bool {
        let Some(entry) = self.zone_or_insert(now, zone) else { return false };
        entry.is_known = true;
        true
    }

    fn zone_or_insert(&mut self, now: Moment, name: &str) -> Option<&mut Zone> {
        if !self.zones.contains_key(name) && name.len() <= limits::MAX_NAME_BYTES && self.make_capacity() {
            let (missing_since, was_missing_until) = (Some(now), None);
            let new = Zone {
                collectors: 0,
                is_known: false,
                added_at: now,
                last_report_at: now,
                missing_since,
                was_missing_until,
            };
            self.zones.insert(name.into(), new);
        }
        self.zones.get_mut(name)
    }

    /// Removes the newest zone without a connected collector if there are too many to add one: a peer may have made up any
    /// number of names, after those of the fleet's zones. Returns true if a zone can be added.
    fn make_capacity(&mut self) -> bool {
        if self.zones.len() < limits::MAX_ZONES {
            return true;
        }
        let without_collector = self.zones.iter().filter(|(_, zone)| zone.collectors == 0);
        let newest = without_collector.max_by_key(|(_, zone)| zone.added_at).map(|(name, _)| name.clone());
        newest.is_some_and(|name| self.zones.remove(&name).is_some())
    }

    /// Records a report of a collector.
    ///
    /// # Errors
    ///
    /// Fails if the connection has not named its zone.
    pub fn record_report(
        &mut self,
        now: Moment,
        connection: ConnectionId,
    ) -> Result<Option<LogEvent>, UnknownCollector> {
        let name = self.collectors.get(&connection).ok_or(UnknownCollector)?;
        let Some(zone) = self.zones.get_mut(name) else { return Ok(None) };
        zone.last_report_at = now;
        let was_known = std::mem::replace(&mut zone.is_known, true);
        if zone.missing_since.take().is_none() {
            return Ok(None);
        }
        zone.was_missing_until = Some(now);
        Ok(was_known.then(|| LogEvent::ZoneBack(name.clone())))
    }

    /// Records the end of a connection. The zone is missing at once if this was its last collector.
    pub fn end_connection(&mut self, connection: ConnectionId) -> Option<LogEvent> {
        let name = self.collectors.remove(&connection)?;
        let zone = self.zones.get_mut(&name)?;
        zone.collectors = zone.collectors.saturating_sub(1);
        if zone.collectors == 0 && !zone.is_known {
            self.zones.remove(&name);
            return None;
        }
        if zone.collectors > 0 || zone.missing_since.is_some() {
            return None;
        }
        zone.missing_since = Some(zone.last_report_at);
        Some(LogEvent::ZoneMissing(name))
    }

    /// Marks zones as missing that have not reported for [`limits::ZONE_TIMEOUT`]. Removes zones that have been missing
    /// for [`limits::ZONE_RETENTION`] and have no connected collector.
    pub fn tick(&mut self, now: Moment) -> Vec<LogEvent> {
        let mut events = Vec::new();
        for (name, zone) in &mut self.zones {
            if zone.missing_since.is_none() && now - zone.last_report_at > limits::ZONE_TIMEOUT {
                zone.missing_since = Some(zone.last_report_at);
                events.push(LogEvent::ZoneMissing(name.clone()));
            }
        }
        let collectors = &self.collectors;
        self.zones.retain(|name, zone| {
            let is_expired = zone.missing_since.is_some_and(|since| now - since > limits::ZONE_RETENTION);
            let is_connected = collectors.values().any(|collector_zone| collector_zone == name);
            if is_expired && !is_connected {
                events.push(LogEvent::ZoneExpired(name.clone()));
            }
            !is_expired || is_connected
        });
        events
    }

    /// Marks all zones as missing until they report again.
    pub fn restart(&mut self, now: Moment) {
        for zone in self.zones.values_mut() {
            zone.missing_since.get_or_insert(zone.last_report_at.min(now));
        }
    }

    /// Returns the number of zones that were missing for all or part of the time from `window_start` until now.
    pub fn missing_count_since(&self, window_start: Moment) -> usize {
        let was_missing = |zone: &&Zone| {
            zone.missing_since.is_some() || zone.was_missing_until.is_some_and(|until| until > window_start)
        };
        self.known_zones().filter(was_missing).count()
    }

    /// Returns the number of zones that are missing now.
    pub fn missing_count(&self) -> usize {
        self.known_zones().filter(|zone| zone.missing_since.is_some()).count()
    }

    fn known_zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.values().filter(|zone| zone.is_known)
    }

    /// Returns the first zone by name among those that have reported.
    pub fn first_known_zone(&self) -> Option<&str> {
        self.zones.iter().find(|(_, zone)| zone.is_known).map(|(name, _)| name.as_str())
    }

    /// Iterates over the zones that report now.
    pub fn present_zones(&self) -> impl Iterator<Item = &str> {
        let present = self.zones.iter().filter(|(_, zone)| zone.missing_since.is_none());
        present.map(|(name, _)| name.as_str())
    }

    /// Returns the number of zones, including those that have not reported.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns true if there are no zones.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }
}

/// The error for a report on a connection that has not named its zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnknownCollector;
