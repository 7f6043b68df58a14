//! The registry's endpoint list: its watch, and the replicas it lists.

use super::Reducer;
use crate::endpoint_list::ListAge;
use crate::events::Effect;
use crate::replica_names::stable_hash;
use crate::source_failures::Source;
use crate::timers::Timer;
use whinwall_policy::api::{ListScope, ReplicaListing, ReplicaState, ZoneId};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery::{Entry, List};
use whinwall_transport::{limits, StreamError};

impl Reducer {
    /// Opens the registry watch, replacing the current one if there is one.
    pub(super) fn open_registry_watch(&mut self, now: Moment) {
        self.timers.cancel(Timer::RegistryWatch);
        let (discovery, since) = (self.targets.discovery, self.list_version.version());
        self.effects.push(Effect::WatchRegistry { discovery, since });
        self.restart_renewal(now);
    }

    /// Opens a second registry watch, which replaces the current one once it delivers a line.
    pub(super) fn renew_registry_watch(&mut self, now: Moment) {
        let (discovery, since) = (self.targets.discovery, self.list_version.version());
        self.effects.push(Effect::RenewRegistryWatch { discovery, since });
        self.restart_renewal(now);
    }

    /// Restarts the renewal timer. The watch is renewed only in deployments that push the endpoint list, where a
    /// renewal costs nothing.
    fn restart_renewal(&mut self, now: Moment) {
        self.timers.cancel(Timer::RegistryRenewal);
        if self.settings.deployment.list_pushed {
            let renew_at = now + limits::to_span(limits::REGISTRY_RENEWAL_INTERVAL);
            self.timers.start(renew_at, Timer::RegistryRenewal);
        }
    }

    pub(super) fn registry_watch_lost(&mut self, now: Moment, error: &StreamError) {
        if matches!(error, StreamError::Unreadable(_)) {
            self.list_version.forget();
        }
        self.source_failed(Source::RegistryWatch, error);
        self.timers.cancel(Timer::RegistryRenewal);
        if self.settings.deployment.list_pushed {
            self.start_after_backoff(now, Timer::RegistryWatch);
        } else {
            // The policy decides when the list is polled again.
            self.policy.list_request_failed(now);
        }
    }

    pub(super) fn list_received(&mut self, now: Moment, list: &List) {
        self.source_succeeded(Source::RegistryWatch);
        self.restart_renewal(now);
        let mut listings = self.listings(list);
        let mut scope = if list.is_complete { ListScope::Complete } else { ListScope::Changes };
        let age = self.list_version.advance(now, list.version);
        if age != ListAge::Current {
            // The list of a lagging agent is outdated: it can add replicas, but it neither removes replicas that it
            // does not contain nor makes replicas ready again.
            listings.retain(|listing| !self.is_outdated_ready_listing(listing));
            scope = ListScope::Changes;
        }
        if age == ListAge::Restarted {
            self.open_registry_watch(now);
        }
        self.policy.replicas_listed(now, scope, &listings);
        self.schedule_subsets(now, list);
        if !list.entries.is_empty() {
            self.commands.clear_skipped();
        }
        // Overrides may name replicas that were added, or that have a new id.
        self.change_overrides(now, |_| {});
    }

    /// Returns true if a replica that is draining or gone is listed as ready without having restarted.
    fn is_outdated_ready_listing(&self, listing: &ReplicaListing) -> bool {
        let known = self.policy.replica_state(listing.replica);
        listing.state == ReplicaState::Ready
            && known
                .is_some_and(|known| known.state != ReplicaState::Ready && known.started == listing.started)
    }

    /// Converts the list to the policy's types, and assigns ids to new replicas.
    pub(super) fn listings(&mut self, list: &List) -> Vec<ReplicaListing> {
        for entry in &list.entries {
            let is_configured = self.settings.zones.contains(&entry.zone);
            let replica = self.names.id_or_assign(&entry.replica);
            self.names.set_unconfigured_zone(replica, (!is_configured).then_some(entry.zone.as_str()));
        }
        let listing = |entry: &Entry| ReplicaListing {
            // A zone that is not in the settings is treated as different from all zones.
            zone: self.known_zone(&entry.zone).unwrap_or(ZoneId::MAX),
            replica: self.names.id_or_assign(&entry.replica),
            machine: entry.machine.clone(),
            state: entry.state.into(),
            weight: entry.weight,
            started: (entry.started_ms > 0).then(|| Moment::default() + Span::ms(entry.started_ms)),
            stable_hash: stable_hash(&entry.replica),
            subset: self.subset_membership(&entry.replica),
        };
        list.entries.iter().map(listing).collect()
    }
}
