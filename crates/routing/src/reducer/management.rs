//! Requests to the management API.

use super::Reducer;
use crate::events::Effect;
use crate::overrides::Overrides;
use crate::subset::Subsets;
use whinwall_management_api::messages::{Reply, Request, Status};
use whinwall_overrides::{OverrideError, RequestId};
use whinwall_policy::time::Moment;

impl Reducer {
    pub(super) fn management_requested(&mut self, now: Moment, request_id: RequestId, request: Request) {
        let reply = match (request, &self.overrides) {
            (Request::Change(change), Some(_)) => {
                return self.change_overrides(now, |overrides| {
                    overrides.manager.handle_request(now, request_id, change);
                });
            }
            (Request::Change(_), None) => Reply::Rejected(OverrideError::LimitReached { limit: 0 }),
            (Request::List, Some(overrides)) => self.list_overrides(now, overrides),
            (Request::List, None) => Reply::Listed { overrides: Vec::new(), now },
            // The program fills in the metrics; the reducer has none.
            (Request::Metrics, _) => Reply::Metrics(String::new()),
            (Request::Status, _) => Reply::Status(self.status(now)),
        };
        self.effects.push(Effect::Reply { request_id, reply });
    }

    /// Lists the overrides. Before the store has been read, the list would be incomplete; the reply then states why
    /// the store is unavailable.
    fn list_overrides(&self, now: Moment, overrides: &Overrides) -> Reply {
        if let Some(reason) = overrides.manager.store_unavailable_reason() {
            return Reply::StoreUnavailable(reason.into());
        }
        let listed = overrides.manager.registry().listed();
        let overrides = listed.map(|entry| overrides.listed_override(&self.policy, entry)).collect();
        Reply::Listed { overrides, now }
    }

    fn status(&self, now: Moment) -> Status {
        let registry = self.overrides.as_ref().map(|overrides| overrides.manager.registry());
        let failures = self.failures.iter().map(|(source, count)| (source.status_name(), count));
        Status {
            now,
            started_at: self.started_at,
            proxies: self.relay.proxies.len(),
            slices: self.relay.tables.len(),
            replicas: self.names.len(),
            failures: failures.collect(),
            has_outstanding_commands: !self.commands.outbox.is_empty(),
            active_overrides: registry.map_or(0, |registry| registry.active().count()),
            listed_overrides: registry.map_or(0, |registry| registry.listed().count()),
            subsetting: self.subsets.as_ref().map(Subsets::status),
            reports: self.report_freshness(now),
        }
    }
}
