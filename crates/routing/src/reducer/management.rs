//! Requests of the management API.

use super::Reducer;
use crate::events::Effect;
use crate::overrides::Overrides;
use crate::subset::Subsets;
use whinwall_management_api::ask::{Reply, Request, Status};
use whinwall_overrides::{Refused, Ticket};
use whinwall_policy::time::Moment;

impl Reducer {
    pub(super) fn management_requested(&mut self, now: Moment, ticket: Ticket, request: Request) {
        let reply = match (request, &self.overrides) {
            (Request::Change(ask), Some(_)) => {
                return self.change_overrides(now, |overrides| overrides.clerk.ask(now, ticket, ask));
            }
            (Request::Change(_), None) => Reply::Refused(Refused::Full { most: 0 }),
            (Request::List, overrides) => {
                let list = |overrides: &Overrides| {
                    let listed = overrides.clerk.book().listed();
                    listed.map(|one| overrides.shown(&self.policy, one)).collect()
                };
                Reply::Listed { all: overrides.as_ref().map_or_else(Vec::new, list), now }
            }
            // The program counts; the reducer has no metrics.
            (Request::Metrics, _) => Reply::Metrics(String::new()),
            (Request::Status, _) => Reply::Status(self.status(now)),
        };
        self.effects.push(Effect::Reply { ticket, reply });
    }

    fn status(&self, now: Moment) -> Status {
        let book = self.overrides.as_ref().map(|overrides| overrides.clerk.book());
        let failing = self.failures.iter().map(|(source, count)| (source.status_name(), count));
        Status {
            now,
            since: self.started,
            proxies: self.relay.proxies.len(),
            slices: self.relay.tables.len(),
            replicas: self.names.len(),
            failing: failing.collect(),
            orders_open: !self.commands.outbox.is_empty(),
            standing: book.map_or(0, |book| book.standing().count()),
            listed: book.map_or(0, |book| book.listed().count()),
            subsetting: self.subsets.as_ref().map(Subsets::status),
            reports: self.report_freshness(now),
        }
    }
}
