//! Faults begin and end: replicas, zones, governors, relay, discovery and proxies are changed accordingly.

use super::{server_name, Day, Step, COME_OVER, GIVEN_BACK, SECOND_WAVE, TAKEN_OVER};
use crate::server::State;
use crate::trouble::{Trouble, What};
use crate::{ProxyIx, ServerIx};
use whinwall_management_api::ask::Request;
use whinwall_overrides::{Ask, Kind, Order};
use whinwall_policy::time::Span;
use whinwall_routing::Event;
use whinwall_transport::StreamError;

impl Day {
    pub(super) fn excuse(&mut self, after: Span) {
        self.excused = self.excused.max(self.now + after);
    }

    pub(super) fn begins(&mut self, at: usize) {
        let Trouble { lasts, what, .. } = self.troubles[at].clone();
        let about = self.about.clone().unwrap_or_default();
        self.line(&about, || format!("trouble begins: {what:?}"));
        let aftermath = Span::ms(8000);
        match what {
            What::Crash { server } => {
                self.servers[server].falls();
                // The list says so as long as nobody is there.
                self.relist(server, "left");
            }
            What::Hang { server } => self.servers[server].state = State::Hung,
            What::Silence { server } => self.servers[server].state = State::Silent,
            What::Slow { server, factor } => self.servers[server].slow = factor,
            What::FastErrors { server, share } => self.servers[server].failing = share,
            What::Drain { server } => self.relist(server, "leaving"),
            What::Release { from, to } => self.release(from, to, 0),
            What::Replaced { from, to } => {
                for server in from..to {
                    let wave = SECOND_WAVE.times(((server - from) % 2) as f64);
                    self.after(wave, Step::Release { server, to: server + 1, stage: 0 });
                }
            }
            What::PlaceLost { place } => {
                for server in self.place_servers(place) {
                    self.servers[server].falls();
                    self.listed[server] = "left";
                }
                self.version += 1;
                self.tell_list();
            }
            What::OddList { how } => self.odd = Some(how),
            What::WrongList { from, to } => {
                self.excuse(lasts + aftermath);
                (from..to).for_each(|server| self.listed[server] = "left");
                self.version += 1;
                self.tell_list();
            }
            What::HotSlice { slice, factor } => self.heat[slice] *= factor,
            What::Burst { factor } => self.burst = factor,
            What::PlaceCut { place } => {
                self.excuse(lasts + aftermath);
                for server in self.place_servers(place) {
                    self.servers[server].state = State::Silent;
                }
                for proxy in (place..self.proxies.len()).step_by(self.sizes.places) {
                    self.leaves(proxy);
                }
            }
            What::RelayAway => {
                self.excuse(lasts + aftermath);
                self.relay_away = true;
                for at in 0..self.governors.len() {
                    self.governors[at].follows = false;
                    self.tell(at, Event::WatchLost(StreamError::Silent));
                }
            }
            What::RelayMute => {
                self.excuse(lasts + aftermath);
                self.relay_mute = true;
            }
            What::DiscoveryAway => {
                self.excuse(lasts + aftermath);
                self.discovery_away = true;
                (0..self.governors.len())
                    .for_each(|at| self.tell(at, Event::RegistryLost(StreamError::Silent)));
            }
            What::GovernorKilled { governor } if self.governors[governor].wire.is_some() => {}
            What::GovernorKilled { governor } => {
                self.excuse(lasts + aftermath);
                self.is_killed(governor);
            }
            What::Herd { governors } => {
                for at in self.mortal(governors) {
                    self.is_killed(at);
                    self.proxies.iter_mut().for_each(|proxy| _ = proxy.away.insert(at));
                    self.after(TAKEN_OVER, Step::TakeOver(at));
                }
            }
            What::SlowChannel { part } => {
                self.excuse(lasts + aftermath);
                self.governors.iter_mut().for_each(|governor| governor.channel.slow = part);
            }
            What::ProxiesLeave { many } => (0..many).for_each(|proxy| self.leaves(proxy)),
            What::HandOver { from, to } => {
                for slice in from..to {
                    let next = (self.holders[slice] + 1) % self.governors.len();
                    self.hand_over(slice, next);
                }
            }
            What::Garbled { share } => self.garbled = share,
            What::OutOfService { server } => {
                let kind = Kind::Out { server: server_name(server) };
                let (id, author, reason) = (format!("t{at}"), "day".to_string(), "trouble".to_string());
                for governor in 0..self.governors.len() {
                    let (id, kind, author, reason) =
                        (id.clone(), kind.clone(), author.clone(), reason.clone());
                    let order = Order { id, kind, author, reason, lasts };
                    self.tell(
                        governor,
                        Event::ManagementRequest { ticket: 0, request: Request::Change(Ask::Set(order)) },
                    );
                }
            }
        }
    }

    pub(super) fn ends(&mut self, at: usize) {
        let (about, what) = (self.about.clone().unwrap_or_default(), self.troubles[at].what.clone());
        self.line(&about, || format!("trouble ends: {what:?}"));
        match self.troubles[at].what.clone() {
            What::Crash { server } => self.comes_back(server),
            What::Hang { server } => {
                let life = self.servers[server].life;
                for (job, takes) in self.servers[server].wakes(self.now, &self.sizes, &mut self.chance) {
                    self.after(takes, Step::Done { server, life, job });
                }
            }
            What::Silence { server } if self.servers[server].state == State::Silent => {
                self.servers[server].state = State::Up;
            }
            What::Silence { .. } => {}
            What::Slow { server, .. } => self.servers[server].slow = 1.0,
            What::FastErrors { server, .. } => self.servers[server].failing = 0.0,
            What::Drain { server } => self.comes_back(server),
            What::Release { .. } | What::Replaced { .. } | What::OutOfService { .. } => {}
            What::PlaceLost { place } => {
                for server in self.place_servers(place) {
                    if self.servers[server].state == State::Down {
                        self.comes_back(server);
                    }
                }
            }
            What::OddList { .. } => self.odd = None,
            What::WrongList { from, to } => {
                (from..to).for_each(|server| self.listed[server] = "active");
                self.version += 1;
                self.tell_list();
            }
            What::HotSlice { slice, factor } => self.heat[slice] /= factor,
            What::Burst { .. } => self.burst = 1.0,
            What::PlaceCut { place } => {
                for server in self.place_servers(place) {
                    if self.servers[server].state == State::Silent {
                        self.servers[server].state = State::Up;
                    }
                }
                (place..self.proxies.len()).step_by(self.sizes.places).for_each(|proxy| self.joins(proxy));
            }
            What::RelayAway => self.relay_away = false,
            What::RelayMute => self.relay_mute = false,
            What::DiscoveryAway => {
                self.discovery_away = false;
                self.tell_list();
            }
            What::GovernorKilled { governor } if self.governors[governor].wire.is_none() => {
                self.start(governor)
            }
            What::GovernorKilled { .. } => {}
            What::Herd { governors } => {
                for governor in self.mortal(governors) {
                    self.start(governor);
                    self.after(GIVEN_BACK, Step::GiveBack(governor));
                    for proxy in 0..self.proxies.len() {
                        let pause = COME_OVER.times(self.chance.draw() * self.chance.draw());
                        self.after(pause, Step::ComesOver { governor, proxy });
                    }
                }
            }
            What::SlowChannel { .. } => {
                self.governors.iter_mut().for_each(|governor| governor.channel.slow = 1.0);
            }
            What::ProxiesLeave { many } => (0..many).for_each(|proxy| self.joins(proxy)),
            What::HandOver { from, to } => {
                for slice in from..to {
                    let former = (self.holders[slice] + self.governors.len() - 1) % self.governors.len();
                    self.hand_over(slice, former);
                }
            }
            What::Garbled { .. } => self.garbled = 0.0,
        }
    }

    pub(super) fn place_servers(&self, place: usize) -> impl Iterator<Item = ServerIx> + use<> {
        (place..self.servers.len()).step_by(self.sizes.places)
    }

    pub(super) fn comes_back(&mut self, server: ServerIx) {
        self.servers[server].restart(self.now);
        self.relist(server, "active");
    }

    /// Stage 0 drains, 1 ends the process, 2 starts it again; then the next server's turn.
    pub(super) fn release(&mut self, server: ServerIx, to: ServerIx, stage: u8) {
        match stage {
            0 => {
                self.relist(server, "leaving");
                self.after(Span::ms(4000), Step::Release { server, to, stage: 1 });
            }
            1 => {
                self.servers[server].falls();
                self.relist(server, "left");
                self.after(self.sizes.restart, Step::Release { server, to, stage: 2 });
                if server + 1 < to {
                    self.after(Span::ms(500), Step::Release { server: server + 1, to, stage: 0 });
                }
            }
            _ if self.servers[server].state == State::Down => self.comes_back(server),
            _ => {}
        }
    }

    pub(super) fn leaves(&mut self, proxy: ProxyIx) {
        if !std::mem::replace(&mut self.proxies[proxy].joined, false) {
            return;
        }
        for at in 0..self.governors.len() {
            self.governors[at].channel.left(proxy);
            if self.governors[at].follows {
                self.news(at, &format!("* CLOSED {proxy}"));
            }
        }
    }

    pub(super) fn joins(&mut self, proxy: ProxyIx) {
        if std::mem::replace(&mut self.proxies[proxy].joined, true) {
            return;
        }
        self.proxies[proxy].reads(&self.store.0);
        for at in 0..self.governors.len() {
            self.proxies[proxy].since.insert(at, self.now);
            if self.governors[at].follows && self.proxies[proxy].has_stream(at) {
                self.news(at, &format!("* SUBSCRIBE {proxy} {} 1.0 0", self.sizes.place(proxy)));
            }
        }
    }
}
