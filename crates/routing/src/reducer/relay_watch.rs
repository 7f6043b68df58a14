//! The relay watch: connected proxies, granted slices and their routing tables.

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

impl Reducer {
    pub(super) fn open_relay_watch(&mut self) {
        self.relay.slices_in_motion = self.commands.outbox.slices();
        self.policy.acks_interrupted();
        // A reopening that waits for its backoff is this one: another would only cut it short.
        self.timers.cancel(Timer::RelayWatch);
        self.effects.push(Effect::WatchRelay { relay: self.targets.relay });
    }

    pub(super) fn relay_watch_lost(&mut self, now: Moment, error: &StreamError) {
        self.relay.snapshot = RoutingSnapshot::default();
        self.relay.is_in_doubt = false;
        self.policy.acks_interrupted();
        self.source_failed(Source::RelayWatch, error);
        self.start_after_backoff(now, Timer::RelayWatch);
    }

    /// What the store holds is unknown: it is read again before commands are issued.
    pub(super) fn reread_store(&mut self) {
        self.relay.is_in_doubt = true;
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
                self.source_works(Source::RelayWatch);
                self.relay.snapshot = RoutingSnapshot::started();
                self.relay.first_granted_slices.clear();
            }
            RelayEvent::Heartbeat => {}
            RelayEvent::ProxyJoined { proxy, has_no_table } => {
                self.relay.snapshot.add_proxy(proxy);
                self.relay.proxies.insert(proxy);
                let tables = if has_no_table { ProxyTables::Empty } else { ProxyTables::Retained };
                self.policy.proxy_joined(now, proxy, tables);
            }
            RelayEvent::ProxyLeft { proxy } => self.proxy_left(now, proxy),
            RelayEvent::Acknowledged { proxy, version } => {
                self.commands.outbox.acknowledge(version);
                self.policy.ack_received(now, proxy, version);
            }
            RelayEvent::SliceGranted { slice } => {
                let is_first = !self.relay.tables.contains_key(&slice);
                self.relay.first_granted_slices.extend(is_first.then_some(slice));
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
        self.remove_reports_on(slice);
        self.commands.outbox.drop_slice(slice);
        self.policy.slice_revoked(now, slice);
    }

    /// Takes over the routing tables to which no further endpoint is expected.
    pub(super) fn take_complete_tables(&mut self, now: Moment) {
        let tables = self.relay.snapshot.take_complete_tables(now);
        self.tables_granted(now, tables);
    }

    /// Endpoints belong with their grant: the policy gets both at once, or it would take a routing table for empty and
    /// fill it, where the watch delivers it in pieces or breaks in the middle.
    fn tables_granted(&mut self, now: Moment, tables: BTreeMap<SliceId, RoutingTable>) {
        let is_snapshot = self.relay.snapshot.is_in_progress();
        for (slice, table) in tables {
            // After a break of the watch most routing tables are as this controller left them, or as pending commands
            // leave them: the load estimates of these must not be lost over that.
            let known = self.relay.tables.get(&slice);
            let is_unchanged =
                known.is_some_and(|known| *known == table || self.relay.slices_in_motion.contains(&slice));
            if is_snapshot && is_unchanged {
                continue;
            }
            let endpoints: Vec<_> = table.iter().map(|(replica, weight)| (*replica, *weight)).collect();
            self.commands.outbox.drop_slice(slice);
            if is_snapshot && known.is_some() {
                self.policy.slice_table_reread(now, slice, &endpoints);
            } else {
                self.policy.slice_granted(now, slice, &endpoints);
            }
            self.relay.tables.insert(slice, table);
            self.relay.snapshot.count_changed_slice();
        }
    }

    /// The snapshot is complete: what it did not name is gone.
    fn finish_snapshot(&mut self, now: Moment) {
        let tables = self.relay.snapshot.take_all_tables();
        self.tables_granted(now, tables);
        let Some(contents) = self.relay.snapshot.finish() else { return };
        self.relay.first_granted_slices.clear();
        self.relay.is_in_doubt = false;
        self.policy.acks_resumed(now);
        let left: Vec<_> = self.relay.proxies.difference(&contents.proxies).copied().collect();
        for proxy in left {
            self.proxy_left(now, proxy);
        }
        let slices = self.relay.tables.keys().copied();
        let revoked: Vec<_> = slices.filter(|slice| !contents.slices.contains(slice)).collect();
        for slice in revoked {
            self.slice_revoked(now, slice);
        }
        self.log(LogEvent::SnapshotComplete {
            proxies: self.relay.proxies.len(),
            slices: self.relay.tables.len(),
            changed_slices: contents.changed_slices,
            replicas: self.names.len(),
        });
    }
}
