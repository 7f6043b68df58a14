//! The controllers: started, told events, killed, and the slices and proxies that change hands between them.

use super::real_time::say;
use super::{replica_name, Day, Step, WAY};
use crate::{subsets, ProxyIx, SliceIx};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use whinwall_overrides::{ClockReading, OverrideLimits};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::Message;
use whinwall_protocol::discovery;
use whinwall_routing::overrides::OverrideConfig;
use whinwall_routing::{Effect, Event, LogEvent, Reducer};
use whinwall_transport::{StreamError, Targets};

impl Day {
    pub(super) fn start(&mut self, at: usize) {
        let settings = self.sizes.settings(at);
        let settings = whinwall_settings::read(&settings).expect("our own settings");
        let here = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let targets = Targets { discovery: here(8500), relay: here(6400) };
        let seed = (self.random.draw() * 1e15) as u64;
        let known = discovery::List::default();
        let reducer = Reducer::start(settings, targets, seed, &known, self.now);
        let controller = &mut self.controllers[at];
        controller.incarnation += 1;
        (controller.reducer, controller.follows, controller.quiet) = (Some(reducer), false, None);
        (controller.born, controller.told) = (self.now, BTreeMap::new());
        controller.channel.lost();
        self.tell(at, Event::Started);
        self.tell(at, Event::SubsettingConfigured(subsets::fleet(&self.sizes, at)));
        let wanted =
            OverrideConfig { limits: OverrideLimits::default(), configured: Vec::new(), has_store: false };
        let reading = ClockReading { boot_id: String::new(), uptime: Span::default(), wall_time: self.now };
        self.tell(at, Event::OperatorConfigChanged(wanted, reading));
        for zone in 0..self.sizes.zones {
            let message = Message::Source { zone: self.sizes.zone(zone) };
            self.tell(at, Event::Message { from: zone as u64, message });
        }
    }

    /// Events go in as they come, and `Quiet` once all of a moment are in.
    pub(super) fn tell(&mut self, at: usize, event: Event) {
        let quiet = matches!(event, Event::InputDrained);
        if let Some(wire) = &mut self.controllers[at].wire {
            let list = matches!(event, Event::Registry(_));
            say(wire.as_mut(), event);
            if list {
                let text = self.list_text();
                self.controllers[at].wire.iter_mut().for_each(|wire| wire.list(&text));
            }
            return;
        }
        let Some(reducer) = &mut self.controllers[at].reducer else { return };
        let effects = reducer.apply(self.now, event);
        let incarnation = self.controllers[at].incarnation;
        for effect in effects {
            match effect {
                Effect::RelayRequest { line, .. } => self.after(WAY, Step::Call(at, incarnation, line)),
                Effect::WatchRelay { .. } => self.follow_news(at),
                Effect::WatchRegistry { .. } => match self.discovery_away {
                    true => self.after(
                        WAY,
                        Step::To(at, incarnation, Box::new(Event::RegistryLost(StreamError::TimedOut))),
                    ),
                    false => self.after(WAY, Step::Told(at, incarnation, Box::new(self.list()))),
                },
                Effect::WakeAt(due) => self.quiet_at(at, due),
                Effect::Log(event) => {
                    let is_ejection = matches!(event, LogEvent::ReplicaEjected { .. });
                    self.outcome.verdicts += u64::from(is_ejection);
                    let text = event.to_string();
                    self.line(&text, || format!("governor {at}: {text}"));
                }
                _ => {}
            }
        }
        if !quiet {
            self.quiet_at(at, self.now);
        }
    }

    pub(super) fn quiet_at(&mut self, at: usize, due: Moment) {
        let controller = &mut self.controllers[at];
        if controller.quiet.is_none_or(|known| due < known) {
            controller.quiet = Some(due);
            let incarnation = controller.incarnation;
            self.after(due - self.now, Step::Quiet(at, incarnation));
        }
    }

    pub(super) fn is_of(&self, slice: SliceIx, at: usize) -> bool {
        self.holders[slice] == at
    }

    /// A slice changes hands: who had it hears so, then who has it, with the table as the store has it.
    pub(super) fn hand_over(&mut self, slice: SliceIx, to: usize) {
        let former = std::mem::replace(&mut self.holders[slice], to);
        if self.relay_away || former == to {
            return;
        }
        self.given[slice] = self.now;
        if self.controllers[former].follows {
            self.news(former, &format!("* GRANT {slice} 0"));
        }
        if self.controllers[to].follows {
            self.news(to, &format!("* GRANT {slice} 1"));
            let table = self.store.0.get(&slice).cloned().unwrap_or_default();
            for (replica, weight) in &*table {
                self.news(to, &format!("* ROW {slice} {} {weight}", replica_name(*replica)));
            }
        }
    }

    pub(super) fn hand_all(&mut self, to: impl Fn(SliceIx, usize) -> Option<usize>) {
        for slice in 0..self.sizes.slices {
            let to = to(slice, self.holders[slice]).filter(|to| self.controllers[*to].reducer.is_some());
            to.into_iter().for_each(|to| self.hand_over(slice, to));
        }
    }

    /// Of the first so many controllers, those that a day can end and start.
    pub(super) fn mortal(&self, many: usize) -> Vec<usize> {
        (0..many).filter(|at| self.controllers[*at].wire.is_none()).collect()
    }

    pub(super) fn is_killed(&mut self, at: usize) {
        let controller = &mut self.controllers[at];
        (controller.reducer, controller.follows) = (None, false);
        controller.incarnation += 1;
        controller.channel.lost();
    }

    /// A stream to a controller comes up; the proxy holds what it held.
    pub(super) fn comes_over(&mut self, at: usize, proxy: ProxyIx) {
        self.proxies[proxy].away.remove(&at);
        self.proxies[proxy].since.insert(at, self.now);
        self.proxies[proxy].reads(&self.store.0);
        if self.proxies[proxy].joined && self.controllers[at].follows {
            self.news(at, &format!("* SUBSCRIBE {proxy} {} 1.0 0", self.sizes.zone(proxy)));
        }
    }
}
