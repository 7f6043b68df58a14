//! The relay watch, which delivers connected proxies, granted slices and their routing tables.

use super::Reducer;
use crate::events::Effect;
use crate::log_event::LogEvent;
use crate::routing_snapshot::{RoutingSnapshot, RoutingTable};
use crate::source_failures::Source;
use crate::timers::Timer;
use std::collections::BTreeMap;
use whinwall_policy::api::{ProxyId, ProxyTables, SliceId};
use whinwall_policy::time::Moment;
use whinwall_protocol::relay::RelayEvent;
use whinwall_transport::StreamError;

/// The result of comparing a routing table of the relay watch with the known one.
enum TableComparison {
    /// They are equal, or pending commands explain the difference.
    Unchanged,
    /// The difference may be due to a command that was in flight meanwhile.
    Ambiguous,
    /// The table is new, or something else has changed it.
    Changed,
}

impl Reducer {
    pub(super) fn open_relay_watch(&mut self) {
        self.relay.overlapping_slices = self.commands.outbox.endpoint_changes_in_flight();
        self.relay.is_ambiguous = false;
        self.relay.is_being_read = true;
        self.relay.snapshot.clear_read();
        self.relay_events_interrupted();
        // The watch is opened now: a pending reopening after a backoff would only interrupt it.
        self.timers.cancel(Timer::RelayWatch);
        self.effects.push(Effect::WatchRelay { relay: self.targets.relay });
    }

    pub(super) fn relay_watch_lost(&mut self, now: Moment, error: &StreamError) {
        self.relay.snapshot = RoutingSnapshot::default();
        self.relay.needs_reread = false;
        self.relay.is_being_read = false;
        self.relay_events_interrupted();
        self.source_failed(Source::RelayWatch, error);
        self.start_after_backoff(now, Timer::RelayWatch);
    }

    /// Handles the time until the store has been read again. Meanwhile slices may be assigned to another controller and
    /// back, which ends the hold on requests that a change of a single writer depends on. Pending changes of this kind
    /// are dropped, and the policy decides again once it knows the stored tables.
    fn relay_events_interrupted(&mut self) {
        self.policy.relay_events_interrupted();
        if !self.settings.deployment.single_writer {
            return;
        }
        let slices = self.commands.outbox.slices_with_new_endpoints();
        if slices.is_empty() {
            return;
        }
        for slice in &slices {
            self.commands.outbox.drop_commands_for_slice(*slice);
        }
        self.relay.slices_to_reread.extend(slices);
        self.effects.push(Effect::CancelUnsentRelayRequest);
    }

    /// Reopens the relay watch to read the store again. No commands are issued until that is done or has failed.
    pub(super) fn reread_store(&mut self) {
        self.relay.needs_reread = true;
        self.open_relay_watch();
    }

    pub(super) fn relay_event_received(&mut self, now: Moment, event: RelayEvent) {
        let ends_snapshot = matches!(
            event,
            RelayEvent::Heartbeat | RelayEvent::ProxyLeft { .. } | RelayEvent::SliceRevoked { .. }
        );
        if ends_snapshot {
            self.finish_snapshot(now);
        }
        match event {
            RelayEvent::SnapshotStarted => {
                self.source_succeeded(Source::RelayWatch);
                self.relay.snapshot = RoutingSnapshot::started();
            }
            RelayEvent::Heartbeat => {}
            RelayEvent::ProxyJoined { proxy, starts_without_tables } => {
                self.relay.snapshot.add_proxy(proxy);
                self.relay.proxies.insert(proxy);
                let tables = if starts_without_tables { ProxyTables::Empty } else { ProxyTables::Retained };
                self.policy.proxy_joined(now, proxy, tables);
            }
            RelayEvent::ProxyLeft { proxy } => self.proxy_left(now, proxy),
            RelayEvent::Acknowledged { proxy, version } => {
                self.commands.outbox.record_acknowledgement(version);
                self.policy.ack_received(now, proxy, version);
            }
            RelayEvent::SliceGranted { slice } => {
                self.relay.snapshot.add_slice(now, slice);
            }
            RelayEvent::EndpointSet { slice, replica, weight } => {
                let endpoint = (self.names.id_or_assign(&replica), weight);
                self.relay.snapshot.add_endpoint(now, slice, self.relay.tables.get(&slice), endpoint);
            }
            RelayEvent::SliceRevoked { slice } => self.slice_revoked(now, slice),
        }
    }

    fn proxy_left(&mut self, now: Moment, proxy: ProxyId) {
        self.relay.proxies.remove(&proxy);
        self.policy.proxy_left(now, proxy);
    }

    fn slice_revoked(&mut self, now: Moment, slice: SliceId) {
        self.relay.snapshot.remove_slice(slice);
        self.relay.tables.remove(&slice);
        self.relay.pending_tables.remove(&slice);
        self.relay.overlapping_slices.remove(&slice);
        self.relay.slices_to_reread.remove(&slice);
        self.remove_coverage_of_slice(slice);
        self.commands.outbox.drop_commands_for_slice(slice);
        self.policy.slice_revoked(now, slice);
    }

    /// Applies the routing tables for which no further endpoint is expected.
    pub(super) fn apply_complete_tables(&mut self, now: Moment) {
        let tables = self.relay.snapshot.take_complete_tables(now);
        self.apply_tables(now, tables);
        self.reread_ambiguous_tables();
    }

    /// Passes each slice to the policy together with all of its endpoints. If the policy got the grant before the
    /// endpoints, or if the watch failed in between, the policy would treat the routing table as empty and fill it.
    fn apply_tables(&mut self, now: Moment, tables: BTreeMap<SliceId, RoutingTable>) {
        let mut unchanged = Vec::new();
        for (slice, table) in tables {
            match self.compare_table(slice, &table) {
                TableComparison::Unchanged => unchanged.push(slice),
                TableComparison::Ambiguous => self.relay.is_ambiguous = true,
                TableComparison::Changed => self.apply_changed_table(now, slice, table),
            }
            self.relay.snapshot.record_read(slice);
        }
        if !unchanged.is_empty() {
            // The same table does not prove that no other controller has owned the slice.
            self.policy.slices_possibly_reassigned(now, &unchanged);
        }
    }

    /// Compares a routing table that the watch has delivered with the known one.
    fn compare_table(&self, slice: SliceId, table: &RoutingTable) -> TableComparison {
        let Some(known) = self.relay.tables.get(&slice).filter(|_| self.relay.snapshot.is_in_progress())
        else {
            return TableComparison::Changed;
        };
        let is_pending_table = || {
            let pending_tables = self.relay.pending_tables.get(&slice);
            pending_tables.is_some_and(|tables| tables.contains(table))
                && self.commands.outbox.changes_endpoints_of(slice)
        };
        let must_be_reread = self.relay.slices_to_reread.contains(&slice);
        let is_explained = known == table || is_pending_table();
        if is_explained && !must_be_reread {
            TableComparison::Unchanged
        } else if self.relay.overlapping_slices.contains(&slice) {
            TableComparison::Ambiguous
        } else {
            TableComparison::Changed
        }
    }

    fn apply_changed_table(&mut self, now: Moment, slice: SliceId, table: RoutingTable) {
        let is_known = self.relay.tables.contains_key(&slice);
        let endpoints: Vec<_> = table.iter().map(|(replica, weight)| (*replica, *weight)).collect();
        self.commands.outbox.drop_commands_for_slice(slice);
        if is_known && self.relay.snapshot.is_in_progress() {
            self.policy.slice_table_reread(now, slice, &endpoints);
        } else {
            self.policy.slice_granted(now, slice, &endpoints);
        }
        self.relay.slices_to_reread.remove(&slice);
        self.relay.tables.insert(slice, table);
        self.relay.snapshot.count_changed_slice();
    }

    /// Rereads the store if a table may be from before or after a command. A request in flight is awaited first.
    pub(super) fn reread_ambiguous_tables(&mut self) {
        if !self.relay.is_ambiguous {
            return;
        }
        self.relay.needs_reread = true;
        if !self.commands.outbox.is_in_flight() {
            self.reread_store();
        }
    }

    /// Completes the snapshot, and removes proxies and slices that are not in it.
    fn finish_snapshot(&mut self, now: Moment) {
        let tables = self.relay.snapshot.take_all_tables();
        self.apply_tables(now, tables);
        let Some(contents) = self.relay.snapshot.finish() else { return };
        self.relay.needs_reread = false;
        self.relay.is_being_read = false;
        self.relay.overlapping_slices.clear();
        self.policy.relay_events_resumed(now);
        let departed: Vec<_> = self.relay.proxies.difference(&contents.proxies).copied().collect();
        for proxy in departed {
            self.proxy_left(now, proxy);
        }
        let slices = self.relay.tables.keys().copied();
        let revoked: Vec<_> = slices.filter(|slice| !contents.slices.contains(slice)).collect();
        for slice in revoked {
            self.slice_revoked(now, slice);
        }
        let tables = &self.relay.tables;
        self.relay.slices_to_reread.retain(|slice| tables.contains_key(slice));
        self.log(LogEvent::SnapshotComplete {
            proxies: self.relay.proxies.len(),
            slices: self.relay.tables.len(),
            changed_slices: contents.changed_slices,
            replicas: self.names.len(),
        });
        self.reread_ambiguous_tables();
    }
}
