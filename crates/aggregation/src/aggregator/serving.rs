//! Which controllers this aggregator serves, its connections to them, and what it sends.

use super::Aggregator;
use crate::feed::Link;
use crate::limits;
use crate::log_event::LogEvent;
use crate::membership::owner;
use crate::messages::Effect;
use whinwall_policy::time::Moment;

impl Aggregator {
    pub(super) fn controller_connected(&mut self, now: Moment, controller: &str, effects: &mut Vec<Effect>) {
        let index = self.configuration.membership.index(controller).unwrap_or_default();
        let phase = limits::REPORT_PERIOD.times(index as f64 / self.configuration.membership.len() as f64);
        let Some(zone) = self.zone.clone().or_else(|| self.coverage.first().map(str::to_string)) else {
            effects.push(Effect::Disconnect { controller: controller.into() });
            return self.controller_lost(now, controller, effects);
        };
        let Some(feed) = self.feeds.get_mut(controller).filter(|feed| feed.owned) else { return };
        if feed.pause > limits::RETRY {
            let controller = controller.to_string();
            effects.push(Effect::Log(LogEvent::ControllerReachable { controller, reachable: true }));
        }
        feed.connected(now, phase);
        let lines = crate::wire::source(&zone);
        self.zone = Some(zone);
        effects.push(Effect::Send { controller: controller.into(), lines });
    }

    pub(super) fn controller_lost(&mut self, now: Moment, controller: &str, effects: &mut Vec<Effect>) {
        let Some(feed) = self.feeds.get_mut(controller).filter(|feed| feed.owned) else { return };
        if feed.pause == limits::RETRY {
            let controller = controller.to_string();
            effects.push(Effect::Log(LogEvent::ControllerReachable { controller, reachable: false }));
        }
        feed.lost(now);
    }

    pub(super) fn drop_silent(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let silent = self.feeds.iter().filter(|(_, feed)| feed.is_silent(now));
        let silent: Vec<_> = silent.map(|(name, _)| name.clone()).collect();
        for controller in silent {
            effects.push(Effect::Disconnect { controller: controller.clone() });
            self.controller_lost(now, &controller, effects);
        }
    }

    /// Decides which controllers are this one's to serve, where those who share them have changed.
    pub(super) fn reassign_controllers(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let own = self.own_heartbeat(now);
        let sharing = self.peers.sharing_aggregators(&own);
        if self.sharing_aggregators == sharing && !sharing.is_empty() {
            return;
        }
        let mut owned = 0;
        for (name, feed) in &mut self.feeds {
            let is_owner = feed.address.is_some() && owner(name, &sharing) == Some(own.name.as_str());
            owned += usize::from(is_owner);
            if feed.owned && !is_owner {
                if feed.link != Link::Idle {
                    effects.push(Effect::Disconnect { controller: name.clone() });
                }
                feed.released();
            }
            feed.owned = is_owner;
        }
        let sharing: Vec<_> = sharing.into_iter().map(str::to_string).collect();
        if self.sharing_aggregators != sharing {
            effects.push(Effect::Log(LogEvent::Serving { controllers: owned, aggregators: sharing.len() }));
        }
        self.sharing_aggregators = sharing;
    }

    pub(super) fn connect_due(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        for (name, feed) in self.feeds.iter_mut().filter(|(_, feed)| feed.owned) {
            let is_due = match feed.link {
                Link::Idle => true,
                Link::Waiting(until) => now >= until,
                Link::Dialing | Link::Connected => false,
            };
            if let (true, Some(address)) = (is_due, feed.address) {
                feed.link = Link::Dialing;
                effects.push(Effect::Connect { controller: name.clone(), address });
            }
        }
    }

    pub(super) fn send_due(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Some(zone) = &self.zone else { return };
        for (name, feed) in self.feeds.iter_mut().filter(|(_, feed)| feed.is_due(now)) {
            let budget = self.configuration.bytes_per_period;
            let turn = feed.turn(now, zone, budget, &self.sums, &self.coverage);
            self.counters.budget_stretches += u64::from(turn.is_stretched);
            if turn.is_overdue && !feed.overdue {
                effects.push(Effect::Log(LogEvent::BudgetTooSmall { controller: name.clone() }));
            }
            feed.overdue = turn.is_overdue;
            self.counters.lines_sent += turn.lines;
            self.counters.bytes_sent += turn.text.len() as u64;
            effects.push(Effect::Send { controller: name.clone(), lines: turn.text });
        }
    }
}
