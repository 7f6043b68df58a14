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
    pub(super) fn start_controller(&mut self, controller_index: ControllerIndex) {
        let settings = self.config.settings(controller_index);
        let settings =
            whinwall_settings::parse_settings(&settings).expect("the emulator's own settings are valid");
        let loopback = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let targets = Targets { discovery: loopback(DISCOVERY_PORT), relay: loopback(RELAY_PORT) };
        let seed = (self.random.draw() * SEED_RANGE) as u64;
        let reducer = Reducer::new(settings, targets, seed, &discovery::List::default(), self.now);
        let controller = &mut self.controllers[controller_index];
        controller.incarnation += 1;
        controller.reducer = Some(reducer);
        controller.is_watching = false;
        controller.drain_input_at = None;
        controller.started_at = self.now;
        controller.draining_since = BTreeMap::new();
        controller.channel.clear();
        self.deliver_start_events(controller_index);
    }

    fn deliver_start_events(&mut self, controller_index: ControllerIndex) {
        self.deliver_event(controller_index, Event::Started);
        self.deliver_event(
            controller_index,
            Event::SubsettingConfigured(subsets::fleet(&self.config, controller_index)),
        );
        let overrides =
            OverrideConfig { limits: OverrideLimits::default(), configured: Vec::new(), has_store: false };
        let reading = ClockReading { boot_id: String::new(), uptime: Span::default(), wall_time: self.now };
        self.deliver_event(controller_index, Event::OperatorConfigChanged(overrides, reading));
        for zone in 0..self.config.zones {
            let message = Message::Source { zone: self.config.zone(zone) };
            self.deliver_event(controller_index, Event::Message { from: zone as u64, message });
        }
    }

    /// Kills a controller.
    pub(super) fn kill_controller(&mut self, controller_index: ControllerIndex) {
        let controller = &mut self.controllers[controller_index];
        controller.reducer = None;
        controller.is_watching = false;
        controller.incarnation += 1;
        controller.channel.clear();
    }

    /// Returns those of the first `count` controllers that run within this process, which the scenario can kill and
    /// start.
    pub(super) fn restartable_controllers(&self, count: usize) -> Vec<ControllerIndex> {
        (0..count).filter(|index| self.controllers[*index].connection.is_none()).collect()
    }

    /// Delivers an event immediately, and schedules `InputDrained` after all other events of the same time.
    pub(super) fn deliver_event(&mut self, controller_index: ControllerIndex, event: Event) {
        if self.controllers[controller_index].connection.is_some() {
            return self.write_to_connection(controller_index, &event);
        }
        let is_input_drained = matches!(event, Event::InputDrained);
        let Some(reducer) = &mut self.controllers[controller_index].reducer else { return };
        let effects = reducer.apply(self.now, event);
        for effect in effects {
            self.perform_effect(controller_index, effect);
        }
        if !is_input_drained {
            self.schedule_input_drain(controller_index, self.now);
        }
    }

    fn write_to_connection(&mut self, controller_index: ControllerIndex, event: &Event) {
        if let Some(connection) = &mut self.controllers[controller_index].connection {
            write_event(connection.as_mut(), event);
        }
        if matches!(event, Event::EndpointListReceived(_)) {
            self.send_list_text(controller_index);
        }
    }

    fn perform_effect(&mut self, controller_index: ControllerIndex, effect: Effect) {
        match effect {
            Effect::RelayRequest { line, .. } => {
                self.deliver_after(NETWORK_DELAY, controller_index, Delivery::RelayRequest(line));
            }
            Effect::WatchRelay { .. } => self.start_relay_watch(controller_index),
            Effect::WatchRegistry { .. } => {
                let delivery = if self.is_discovery_unreachable {
                    Delivery::Event(Box::new(Event::EndpointListWatchLost(StreamError::TimedOut)))
                } else {
                    Delivery::List(Box::new(self.list_snapshot()))
                };
                self.deliver_after(NETWORK_DELAY, controller_index, delivery);
            }
            Effect::WakeAt(due) => self.schedule_input_drain(controller_index, due),
            Effect::Log(event) => {
                let is_ejection = matches!(event, LogEvent::ReplicaEjected { .. });
                self.outcome.ejections += u64::from(is_ejection);
                let text = event.to_string();
                self.record_in_timeline(&text, || format!("controller {controller_index}: {text}"));
            }
            _ => {}
        }
    }

    fn schedule_input_drain(&mut self, controller_index: ControllerIndex, due: Moment) {
        let controller = &mut self.controllers[controller_index];
        if controller.drain_input_at.is_none_or(|scheduled| due < scheduled) {
            controller.drain_input_at = Some(due);
            self.deliver_after(due - self.now, controller_index, Delivery::InputDrained);
        }
    }
}
