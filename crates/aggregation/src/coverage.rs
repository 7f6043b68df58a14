//! Which zones' collectors are heard. A zone that was heard before, here or by a peer, and is not heard now is
//! *missing*: sums made meanwhile lack its part.

use crate::limits;
use crate::log_event::LogEvent;
use std::collections::BTreeMap;
use whinwall_policy::time::Moment;

/// One connection to the aggregator's address.
pub type ConnectionId = u64;

/// One zone. Owned by [`Coverage`], which has no more than `MAX_ZONES`; it ends when it is missing for
/// `ZONE_FORGOTTEN`.
#[derive(Clone, Debug)]
struct Zone {
    /// Collectors that are connected.
    collectors: usize,
    /// It reported once, here or to a peer: a zone that an unauthenticated peer made up never does.
    is_known: bool,
    last_heard: Moment,
    missing_since: Option<Moment>,
    /// When it was last missing, the end of that.
    was_missing_until: Option<Moment>,
}

/// All zones, and the collectors that speak for them.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    zones: BTreeMap<String, Zone>,
    collectors: BTreeMap<ConnectionId, String>,
}

impl Coverage {
    /// A collector says for which zone it speaks; false where there is no room for the zone.
    pub fn join(&mut self, now: Moment, connection: ConnectionId, zone: &str) -> bool {
        self.end(connection);
        let Some(known) = self.zone(now, zone) else { return false };
        known.collectors += 1;
        self.collectors.insert(connection, zone.into());
        true
    }

    /// A peer hears this zone, so it is there; false where there is no room for it. Until it is heard here it is
    /// missing.
    pub fn expect(&mut self, now: Moment, zone: &str) -> bool {
        let Some(known) = self.zone(now, zone) else { return false };
        known.is_known = true;
        true
    }

    fn zone(&mut self, now: Moment, name: &str) -> Option<&mut Zone> {
        let has_room = self.zones.len() < limits::MAX_ZONES && name.len() <= limits::MAX_NAME;
        if !self.zones.contains_key(name) && has_room {
            let (missing_since, was_missing_until) = (Some(now), None);
            let new =
                Zone { collectors: 0, is_known: false, last_heard: now, missing_since, was_missing_until };
            self.zones.insert(name.into(), new);
        }
        self.zones.get_mut(name)
    }

    /// A collector reports.
    ///
    /// # Errors
    ///
    /// Where the connection has not named its zone.
    pub fn heard(
        &mut self,
        now: Moment,
        connection: ConnectionId,
    ) -> Result<Option<LogEvent>, UnknownCollector> {
        let name = self.collectors.get(&connection).ok_or(UnknownCollector)?;
        let Some(zone) = self.zones.get_mut(name) else { return Ok(None) };
        zone.last_heard = now;
        let was_known = std::mem::replace(&mut zone.is_known, true);
        if zone.missing_since.take().is_none() {
            return Ok(None);
        }
        zone.was_missing_until = Some(now);
        Ok(was_known.then(|| LogEvent::ZoneBack(name.clone())))
    }

    /// A connection ended: the zone is missing at once where it was its last.
    pub fn end(&mut self, connection: ConnectionId) -> Option<LogEvent> {
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
        zone.missing_since = Some(zone.last_heard);
        Some(LogEvent::ZoneMissing(name))
    }

    /// Time passed.
    pub fn tick(&mut self, now: Moment) -> Vec<LogEvent> {
        let mut events = Vec::new();
        for (name, zone) in &mut self.zones {
            if zone.missing_since.is_none() && now - zone.last_heard > limits::ZONE_SILENT {
                zone.missing_since = Some(zone.last_heard);
                events.push(LogEvent::ZoneMissing(name.clone()));
            }
        }
        let collectors = &self.collectors;
        self.zones.retain(|name, zone| {
            let gone = zone.missing_since.is_some_and(|since| now - since > limits::ZONE_FORGOTTEN);
            let connected = collectors.values().any(|speaks_for| speaks_for == name);
            if gone && !connected {
                events.push(LogEvent::ZoneForgotten(name.clone()));
            }
            !gone || connected
        });
        events
    }

    /// What was heard before counts for nothing: all zones are missing until they are heard again.
    pub fn restart(&mut self, now: Moment) {
        for zone in self.zones.values_mut() {
            zone.missing_since.get_or_insert(zone.last_heard.min(now));
        }
    }

    /// How many zones lack in a sum that begins here and goes up to now.
    pub fn missing_since(&self, begins: Moment) -> usize {
        let lacks = |zone: &&Zone| {
            zone.missing_since.is_some() || zone.was_missing_until.is_some_and(|until| until > begins)
        };
        self.known().filter(lacks).count()
    }

    /// How many zones are missing now.
    pub fn missing(&self) -> usize {
        self.known().filter(|zone| zone.missing_since.is_some()).count()
    }

    fn known(&self) -> impl Iterator<Item = &Zone> {
        self.zones.values().filter(|zone| zone.is_known)
    }

    /// The first by name of the zones that reported once.
    pub fn first(&self) -> Option<&str> {
        self.zones.iter().find(|(_, zone)| zone.is_known).map(|(name, _)| name.as_str())
    }

    /// The zones that are heard now.
    pub fn present(&self) -> impl Iterator<Item = &str> {
        let present = self.zones.iter().filter(|(_, zone)| zone.missing_since.is_none());
        present.map(|(name, _)| name.as_str())
    }

    /// How many zones are known.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether no zone is known.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }
}

/// A connection reports that has not said for which zone it speaks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnknownCollector;
