//! Faults begin and end: replicas, zones, controllers, relay, discovery and proxies are changed accordingly.

use super::{replica_name, Day, Step, COME_OVER, GIVEN_BACK, SECOND_WAVE, TAKEN_OVER};
use crate::replica::State;
use crate::trouble::{Trouble, What};
use crate::{ProxyIx, ReplicaIx};
use whinwall_management_api::messages::Request;
use whinwall_overrides::{ChangeRequest, NewOverride, OverrideKind};
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
            What::Crash { replica } => {
                self.replicas[replica].falls();
                // The list says so as long as nobody is there.
                self.relist(replica, "left");
            }
            What::Hang { replica } => self.replicas[replica].state = State::Hung,
            What::Silence { replica } => self.replicas[replica].state = State::Silent,
            What::Slow { replica, factor } => self.replicas[replica].slow = factor,
            What::FastErrors { replica, share } => self.replicas[replica].failing = share,
            What::Drain { replica } => self.relist(replica, "leaving"),
            What::Release { from, to } => self.release(from, to, 0),
            What::Replaced { from, to } => {
                for replica in from..to {
                    let wave = SECOND_WAVE.times(((replica - from) % 2) as f64);
                    self.after(wave, Step::Release { replica, to: replica + 1, stage: 0 });
                }
            }
            What::ZoneLost { zone } => {
                for replica in self.zone_replicas(zone) {
                    self.replicas[replica].falls();
                    self.listed[replica] = "left";
                }
                self.version += 1;
                self.tell_list();
            }
            What::OddList { how } => self.odd = Some(how),
            What::WrongList { from, to } => {
                self.excuse(lasts + aftermath);
                (from..to).for_each(|replica| self.listed[replica] = "left");
                self.version += 1;
                self.tell_list();
            }
            What::HotSlice { slice, factor } => self.heat[slice] *= factor,
            What::Burst { factor } => self.burst = factor,
            What::ZoneCut { zone } => {
                self.excuse(lasts + aftermath);
                for replica in self.zone_replicas(zone) {
                    self.replicas[replica].state = State::Silent;
                }
                for proxy in (zone..self.proxies.len()).step_by(self.sizes.zones) {
                    self.leaves(proxy);
                }
            }
            What::RelayAway => {
                self.excuse(lasts + aftermath);
                self.relay_away = true;
                for at in 0..self.controllers.len() {
                    self.controllers[at].follows = false;
                    self.tell(at, Event::WatchLost(StreamError::TimedOut));
                }
            }
            What::RelayMute => {
                self.excuse(lasts + aftermath);
                self.relay_mute = true;
            }
            What::DiscoveryAway => {
                self.excuse(lasts + aftermath);
                self.discovery_away = true;
                (0..self.controllers.len())
                    .for_each(|at| self.tell(at, Event::RegistryLost(StreamError::TimedOut)));
            }
            What::ControllerKilled { controller } if self.controllers[controller].wire.is_some() => {}
            What::ControllerKilled { controller } => {
                self.excuse(lasts + aftermath);
                self.is_killed(controller);
            }
            What::Herd { controllers } => {
                for at in self.mortal(controllers) {
                    self.is_killed(at);
                    self.proxies.iter_mut().for_each(|proxy| _ = proxy.away.insert(at));
                    self.after(TAKEN_OVER, Step::TakeOver(at));
                }
            }
            What::SlowChannel { part } => {
                self.excuse(lasts + aftermath);
                self.controllers.iter_mut().for_each(|controller| controller.channel.slow = part);
            }
            What::ProxiesLeave { many } => (0..many).for_each(|proxy| self.leaves(proxy)),
            What::HandOver { from, to } => {
                for slice in from..to {
                    let next = (self.holders[slice] + 1) % self.controllers.len();
                    self.hand_over(slice, next);
                }
            }
            What::Garbled { share } => self.garbled = share,
            What::OutOfService { replica } => {
                let kind = OverrideKind::Out { replica: replica_name(replica) };
                let (id, author, reason) = (format!("t{at}"), "day".to_string(), "trouble".to_string());
                for controller in 0..self.controllers.len() {
                    let (id, kind, author, reason) =
                        (id.clone(), kind.clone(), author.clone(), reason.clone());
                    let order = NewOverride { id, kind, author, reason, duration: lasts };
                    self.tell(
                        controller,
                        Event::ManagementRequest {
                            request_id: 0,
                            request: Request::Change(ChangeRequest::Set(order)),
                        },
                    );
                }
            }
        }
    }

    pub(super) fn ends(&mut self, at: usize) {
        let (about, what) = (self.about.clone().unwrap_or_default(), self.troubles[at].what.clone());
        self.line(&about, || format!("trouble ends: {what:?}"));
        match self.troubles[at].what.clone() {
            What::Crash { replica } => self.comes_back(replica),
            What::Hang { replica } => {
                let incarnation = self.replicas[replica].incarnation;
                for (job, takes) in self.replicas[replica].wakes(self.now, &self.sizes, &mut self.random) {
                    self.after(takes, Step::Done { replica, incarnation, job });
                }
            }
            What::Silence { replica } if self.replicas[replica].state == State::Silent => {
                self.replicas[replica].state = State::Up;
            }
            What::Silence { .. } => {}
            What::Slow { replica, .. } => self.replicas[replica].slow = 1.0,
            What::FastErrors { replica, .. } => self.replicas[replica].failing = 0.0,
            What::Drain { replica } => self.comes_back(replica),
            What::Release { .. } | What::Replaced { .. } | What::OutOfService { .. } => {}
            What::ZoneLost { zone } => {
                for replica in self.zone_replicas(zone) {
                    if self.replicas[replica].state == State::Down {
                        self.comes_back(replica);
                    }
                }
            }
            What::OddList { .. } => self.odd = None,
            What::WrongList { from, to } => {
                (from..to).for_each(|replica| self.listed[replica] = "active");
                self.version += 1;
                self.tell_list();
            }
            What::HotSlice { slice, factor } => self.heat[slice] /= factor,
            What::Burst { .. } => self.burst = 1.0,
            What::ZoneCut { zone } => {
                for replica in self.zone_replicas(zone) {
                    if self.replicas[replica].state == State::Silent {
                        self.replicas[replica].state = State::Up;
                    }
                }
                (zone..self.proxies.len()).step_by(self.sizes.zones).for_each(|proxy| self.joins(proxy));
            }
            What::RelayAway => self.relay_away = false,
            What::RelayMute => self.relay_mute = false,
            What::DiscoveryAway => {
                self.discovery_away = false;
                self.tell_list();
            }
            What::ControllerKilled { controller } if self.controllers[controller].wire.is_none() => {
                self.start(controller)
            }
            What::ControllerKilled { .. } => {}
            What::Herd { controllers } => {
                for controller in self.mortal(controllers) {
                    self.start(controller);
                    self.after(GIVEN_BACK, Step::GiveBack(controller));
                    for proxy in 0..self.proxies.len() {
                        let pause = COME_OVER.times(self.random.draw() * self.random.draw());
                        self.after(pause, Step::ComesOver { controller, proxy });
                    }
                }
            }
            What::SlowChannel { .. } => {
                self.controllers.iter_mut().for_each(|controller| controller.channel.slow = 1.0);
            }
            What::ProxiesLeave { many } => (0..many).for_each(|proxy| self.joins(proxy)),
            What::HandOver { from, to } => {
                for slice in from..to {
                    let former = (self.holders[slice] + self.controllers.len() - 1) % self.controllers.len();
                    self.hand_over(slice, former);
                }
            }
            What::Garbled { .. } => self.garbled = 0.0,
        }
    }

    pub(super) fn zone_replicas(&self, zone: usize) -> impl Iterator<Item = ReplicaIx> + use<> {
        (zone..self.replicas.len()).step_by(self.sizes.zones)
    }

    pub(super) fn comes_back(&mut self, replica: ReplicaIx) {
        self.replicas[replica].restart(self.now);
        self.relist(replica, "active");
    }

    /// Stage 0 drains, 1 ends the process, 2 starts it again; then the next replica's turn.
    pub(super) fn release(&mut self, replica: ReplicaIx, to: ReplicaIx, stage: u8) {
        match stage {
            0 => {
                self.relist(replica, "leaving");
                self.after(Span::ms(4000), Step::Release { replica, to, stage: 1 });
            }
            1 => {
                self.replicas[replica].falls();
                self.relist(replica, "left");
                self.after(self.sizes.restart, Step::Release { replica, to, stage: 2 });
                if replica + 1 < to {
                    self.after(Span::ms(500), Step::Release { replica: replica + 1, to, stage: 0 });
                }
            }
            _ if self.replicas[replica].state == State::Down => self.comes_back(replica),
            _ => {}
        }
    }

    pub(super) fn leaves(&mut self, proxy: ProxyIx) {
        if !std::mem::replace(&mut self.proxies[proxy].joined, false) {
            return;
        }
        for at in 0..self.controllers.len() {
            self.controllers[at].channel.left(proxy);
            if self.controllers[at].follows {
                self.news(at, &format!("* CLOSED {proxy}"));
            }
        }
    }

    pub(super) fn joins(&mut self, proxy: ProxyIx) {
        if std::mem::replace(&mut self.proxies[proxy].joined, true) {
            return;
        }
        self.proxies[proxy].reads(&self.store.0);
        for at in 0..self.controllers.len() {
            self.proxies[proxy].since.insert(at, self.now);
            if self.controllers[at].follows && self.proxies[proxy].has_stream(at) {
                self.news(at, &format!("* SUBSCRIBE {proxy} {} 1.0 0", self.sizes.zone(proxy)));
            }
        }
    }
}
