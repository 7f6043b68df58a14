//! Starts and kills controllers, delivers events to them and performs their effects.

use super::connection::write_event;
use super::event::Delivery;
use super::state::{Scenario, NETWORK_DELAY};
use crate::{subsets, ControllerIndex};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use whinwall_overrides::{ClockReading, OverrideLimits};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::Message;
use whinwall_protocol::discovery;
use whinwall_routing::overrides::OverrideConfig;
use whinwall_routing::{Effect, Event, LogEvent, Reducer};
use whinwall_transport::{StreamError, Targets};

/// The port of discovery in settings and log lines; no socket is opened.
const DISCOVERY_PORT: u16 = 8500;
/// The port of the relay in settings and log lines; no socket is opened.
const RELAY_PORT: u16 = 6400;
/// The upper bound of the seeds of controllers.
const SEED_RANGE: f64 = 1e15;

impl Scenario {
    /// Starts a new incarnation of a controller.
    pub(super) fn start_controller(&mut self, at: ControllerIndex) {
        let settings = self.config.settings(at);
        let settings =
            whinwall_settings::parse_settings(&settings).expect("the emulator's own settings are valid");
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let targets = Targets { discovery: local(DISCOVERY_PORT), relay: local(RELAY_PORT) };
        let seed = (self.random.draw() * SEED_RANGE) as u64;
        let reducer = Reducer::new(settings, targets, seed, &discovery::List::default(), self.now);
        let controller = &mut self.controllers[at];
        controller.incarnation += 1;
        controller.reducer = Some(reducer);
        controller.is_watching = false;
        controller.drain_input_at = None;
        controller.started_at = self.now;
        controller.draining_since = BTreeMap::new();
        controller.channel.clear();
        self.deliver_start_events(at);
    }

    fn deliver_start_events(&mut self, at: ControllerIndex) {
        self.deliver_event(at, Event::Started);
        self.deliver_event(at, Event::SubsettingConfigured(subsets::fleet(&self.config, at)));
        let overrides =
            OverrideConfig { limits: OverrideLimits::default(), configured: Vec::new(), has_store: false };
        let reading = ClockReading { boot_id: String::new(), uptime: Span::default(), wall_time: self.now };
        self.deliver_event(at, Event::OperatorConfigChanged(overrides, reading));
        for zone in 0..self.config.zones {
            let message = Message::Source { zone: self.config.zone(zone) };
            self.deliver_event(at, Event::Message { from: zone as u64, message });
        }
    }

    /// Kills a controller.
    pub(super) fn kill_controller(&mut self, at: ControllerIndex) {
        let controller = &mut self.controllers[at];
        controller.reducer = None;
        controller.is_watching = false;
        controller.incarnation += 1;
        controller.channel.clear();
    }

    /// Returns those of the first `count` controllers that run within this process, which the scenario can kill and
    /// start.
    pub(super) fn restartable_controllers(&self, count: usize) -> Vec<ControllerIndex> {
        (0..count).filter(|at| self.controllers[*at].connection.is_none()).collect()
    }

    /// Delivers an event immediately, and schedules `InputDrained` after all other events of the same time.
    pub(super) fn deliver_event(&mut self, at: ControllerIndex, event: Event) {
        if self.controllers[at].connection.is_some() {
            return self.write_to_connection(at, &event);
        }
        let drains_input = matches!(event, Event::InputDrained);
        let Some(reducer) = &mut self.controllers[at].reducer else { return };
        let effects = reducer.apply(self.now, event);
        for effect in effects {
            self.perform_effect(at, effect);
        }
        if !drains_input {
            self.schedule_input_drain(at, self.now);
        }
    }

    fn write_to_connection(&mut self, at: ControllerIndex, event: &Event) {
        if let Some(connection) = &mut self.controllers[at].connection {
            write_event(connection.as_mut(), event);
        }
        if matches!(event, Event::EndpointListReceived(_)) {
            self.send_list_text(at);
        }
    }

    fn perform_effect(&mut self, at: ControllerIndex, effect: Effect) {
        match effect {
            Effect::RelayRequest { line, .. } => {
                self.deliver_after(NETWORK_DELAY, at, Delivery::RelayRequest(line));
            }
            Effect::WatchRelay { .. } => self.start_relay_watch(at),
            Effect::WatchRegistry { .. } => {
                let delivery = if self.is_discovery_unreachable {
                    Delivery::Event(Box::new(Event::EndpointListWatchLost(StreamError::TimedOut)))
                } else {
                    Delivery::List(Box::new(self.registry_snapshot()))
                };
                self.deliver_after(NETWORK_DELAY, at, delivery);
            }
            Effect::WakeAt(due) => self.schedule_input_drain(at, due),
            Effect::Log(event) => {
                let is_ejection = matches!(event, LogEvent::ReplicaEjected { .. });
                self.outcome.ejections += u64::from(is_ejection);
                let text = event.to_string();
                self.record_in_timeline(&text, || format!("controller {at}: {text}"));
            }
            _ => {}
        }
    }

    fn schedule_input_drain(&mut self, at: ControllerIndex, due: Moment) {
        let controller = &mut self.controllers[at];
        if controller.drain_input_at.is_none_or(|known| due < known) {
            controller.drain_input_at = Some(due);
            self.deliver_after(due - self.now, at, Delivery::InputDrained);
        }
    }
}
