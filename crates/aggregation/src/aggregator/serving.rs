//! Handles the controllers that this aggregator serves, the connections to them, and the batches sent to them.

use super::Aggregator;
use crate::feed::Link;
use crate::limits;
use crate::log_event::LogEvent;
use crate::membership::select_owner;
use crate::messages::Effect;
use whinwall_policy::time::Moment;

impl Aggregator {
    pub(super) fn controller_connected(&mut self, now: Moment, controller: &str, effects: &mut Vec<Effect>) {
        let index = self.configuration.membership.index(controller).unwrap_or_default();
        let phase = limits::REPORT_PERIOD.times(index as f64 / self.configuration.membership.len() as f64);
        let Some(zone) = self.zone.clone().or_else(|| self.coverage.first_known_zone().map(str::to_string))
        else {
            effects.push(Effect::Disconnect { controller: controller.into() });
            return self.controller_lost(now, controller, effects);
        };
        let Some(feed) = self.feeds.get_mut(controller).filter(|feed| feed.is_owned) else { return };
        if feed.retry_delay > limits::RETRY_DELAY {
            let controller = controller.to_string();
            effects.push(Effect::Log(LogEvent::ControllerReachable { controller, reachable: true }));
        }
        feed.connection_established(now, phase);
        let lines = crate::wire::encode_source(&zone);
        self.zone = Some(zone);
        effects.push(Effect::Send { controller: controller.into(), lines });
    }

    pub(super) fn controller_lost(&mut self, now: Moment, controller: &str, effects: &mut Vec<Effect>) {
        let Some(feed) = self.feeds.get_mut(controller).filter(|feed| feed.is_owned) else { return };
        if feed.retry_delay == limits::RETRY_DELAY {
            let controller = controller.to_string();
            effects.push(Effect::Log(LogEvent::ControllerReachable { controller, reachable: false }));
        }
        feed.connection_lost(now);
    }

    pub(super) fn disconnect_silent_controllers(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let silent = self.feeds.iter().filter(|(_, feed)| feed.has_timed_out(now));
        let silent: Vec<_> = silent.map(|(name, _)| name.clone()).collect();
        for controller in silent {
            effects.push(Effect::Disconnect { controller: controller.clone() });
            self.controller_lost(now, &controller, effects);
        }
    }

    /// Reassigns the controllers if the set of aggregators that share them has changed.
    pub(super) fn reassign_controllers(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let own = self.own_heartbeat(now);
        let sharing = self.peers.sharing_aggregators(&own);
        if self.sharing_aggregators == sharing && !sharing.is_empty() {
            return;
        }
        let mut owned_count = 0;
        for (name, feed) in &mut self.feeds {
            let is_owner = feed.address.is_some() && select_owner(name, &sharing) == Some(own.name.as_str());
            owned_count += usize::from(is_owner);
            if feed.is_owned && !is_owner {
                if feed.link != Link::Idle {
                    effects.push(Effect::Disconnect { controller: name.clone() });
                }
                feed.release();
            }
            feed.is_owned = is_owner;
        }
        let sharing: Vec<_> = sharing.into_iter().map(str::to_string).collect();
        if self.sharing_aggregators != sharing {
            effects.push(Effect::Log(LogEvent::Serving {
                controllers: owned_count,
                aggregators: sharing.len(),
            }));
        }
        self.sharing_aggregators = sharing;
    }

    pub(super) fn connect_controllers(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        for (name, feed) in self.feeds.iter_mut().filter(|(_, feed)| feed.is_owned) {
            let is_due = match feed.link {
                Link::Idle => true,
                Link::RetryAt(until) => now >= until,
                Link::Connecting | Link::Connected => false,
            };
            if let (true, Some(address)) = (is_due, feed.address) {
                feed.link = Link::Connecting;
                effects.push(Effect::Connect { controller: name.clone(), address });
            }
        }
    }

    pub(super) fn send_batches(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Some(zone) = &self.zone else { return };
        for (name, feed) in self.feeds.iter_mut().filter(|(_, feed)| feed.is_due(now)) {
            let budget = self.configuration.bytes_per_period;
            let batch = feed.next_batch(now, zone, budget, &self.sums, &self.coverage);
            self.counters.over_budget_batches += u64::from(batch.is_over_budget);
            if batch.is_overdue && !feed.is_overdue {
                effects.push(Effect::Log(LogEvent::BudgetTooSmall { controller: name.clone() }));
            }
            feed.is_overdue = batch.is_overdue;
            self.counters.lines_sent += batch.lines;
            self.counters.bytes_sent += batch.text.len() as u64;
            effects.push(Effect::Send { controller: name.clone(), lines: batch.text });
        }
    }
}
