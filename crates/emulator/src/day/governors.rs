//! The governors: started, told events, killed, and the slices and proxies that change hands between them.

use super::real_time::say;
use super::{server_name, Day, Step, WAY};
use crate::{subsets, ProxyIx, SliceIx};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use whinwall_overrides::{Bounds, Reading};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::Message;
use whinwall_protocol::discovery;
use whinwall_routing::overrides::OverrideConfig;
use whinwall_routing::{Effect, Event, Reducer};
use whinwall_transport::{StreamError, Targets};

impl Day {
    pub(super) fn start(&mut self, at: usize) {
        let settings = self.sizes.settings(at);
        let settings = whinwall_settings::read(&settings).expect("our own settings");
        let here = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let targets = Targets { discovery: here(8500), relay: here(6400) };
        let seed = (self.chance.draw() * 1e15) as u64;
        let known = discovery::List::default();
        let reducer = Reducer::start(settings, targets, seed, &known, self.now);
        let governor = &mut self.governors[at];
        governor.life += 1;
        (governor.reducer, governor.follows, governor.quiet) = (Some(reducer), false, None);
        (governor.born, governor.told) = (self.now, BTreeMap::new());
        governor.channel.lost();
        self.tell(at, Event::Started);
        self.tell(at, Event::SubsettingConfigured(subsets::fleet(&self.sizes, at)));
        let wanted = OverrideConfig { bounds: Bounds::default(), orders: Vec::new(), has_store: false };
        let reading = Reading { boot: String::new(), since_boot: Span::default(), wall: self.now };
        self.tell(at, Event::OperatorConfigChanged(wanted, reading));
        for place in 0..self.sizes.places {
            let message = Message::Source { place: self.sizes.place(place) };
            self.tell(at, Event::Message { from: place as u64, message });
        }
    }

    /// Events go in as they come, and `Quiet` once all of a moment are in.
    pub(super) fn tell(&mut self, at: usize, event: Event) {
        let quiet = matches!(event, Event::InputDrained);
        if let Some(wire) = &mut self.governors[at].wire {
            let list = matches!(event, Event::Registry(_));
            say(wire.as_mut(), event);
            if list {
                let text = self.list_text();
                self.governors[at].wire.iter_mut().for_each(|wire| wire.list(&text));
            }
            return;
        }
        let Some(reducer) = &mut self.governors[at].reducer else { return };
        let effects = reducer.apply(self.now, event);
        let life = self.governors[at].life;
        for effect in effects {
            match effect {
                Effect::RelayRequest { line, .. } => self.after(WAY, Step::Call(at, life, line)),
                Effect::WatchRelay { .. } => self.follow_news(at),
                Effect::WatchRegistry { .. } => match self.discovery_away {
                    true => self
                        .after(WAY, Step::To(at, life, Box::new(Event::RegistryLost(StreamError::Silent)))),
                    false => self.after(WAY, Step::Told(at, life, Box::new(self.list()))),
                },
                Effect::WakeAt(due) => self.quiet_at(at, due),
                Effect::Log(text) => {
                    self.outcome.verdicts += u64::from(text.contains("is taken for sick"));
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
        let governor = &mut self.governors[at];
        if governor.quiet.is_none_or(|known| due < known) {
            governor.quiet = Some(due);
            let life = governor.life;
            self.after(due - self.now, Step::Quiet(at, life));
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
        if self.governors[former].follows {
            self.news(former, &format!("* GRANT {slice} 0"));
        }
        if self.governors[to].follows {
            self.news(to, &format!("* GRANT {slice} 1"));
            let table = self.store.0.get(&slice).cloned().unwrap_or_default();
            for (server, weight) in &*table {
                self.news(to, &format!("* ROW {slice} {} {weight}", server_name(*server)));
            }
        }
    }

    pub(super) fn hand_all(&mut self, to: impl Fn(SliceIx, usize) -> Option<usize>) {
        for slice in 0..self.sizes.slices {
            let to = to(slice, self.holders[slice]).filter(|to| self.governors[*to].reducer.is_some());
            to.into_iter().for_each(|to| self.hand_over(slice, to));
        }
    }

    /// Of the first so many governors, those that a day can end and start.
    pub(super) fn mortal(&self, many: usize) -> Vec<usize> {
        (0..many).filter(|at| self.governors[*at].wire.is_none()).collect()
    }

    pub(super) fn is_killed(&mut self, at: usize) {
        let governor = &mut self.governors[at];
        (governor.reducer, governor.follows) = (None, false);
        governor.life += 1;
        governor.channel.lost();
    }

    /// A stream to a governor comes up; the proxy holds what it held.
    pub(super) fn comes_over(&mut self, at: usize, proxy: ProxyIx) {
        self.proxies[proxy].away.remove(&at);
        self.proxies[proxy].since.insert(at, self.now);
        self.proxies[proxy].reads(&self.store.0);
        if self.proxies[proxy].joined && self.governors[at].follows {
            self.news(at, &format!("* SUBSCRIBE {proxy} {} 1.0 0", self.sizes.place(proxy)));
        }
    }
}
