//! The watch streams from the relay to the controllers.

use super::event::Delivery;
use super::state::{replica_name, Scenario, NETWORK_DELAY};
use crate::ControllerIndex;
use whinwall_protocol::relay::decode_event;
use whinwall_routing::Event;
use whinwall_transport::StreamError;

impl Scenario {
    /// Sends a line of the watch stream to a controller.
    pub(super) fn send_relay_event(&mut self, controller: ControllerIndex, line: &str) {
        if let Some(connection) = &mut self.controllers[controller].connection {
            return connection.send_relay_event(line);
        }
        let event = decode_event(line).expect("the emulator's own relay events are readable");
        self.deliver_event(controller, Event::Relay(event));
    }

    /// Opens the watch stream of a controller, which starts with the current subscriptions, slices and routing tables.
    pub(super) fn start_relay_watch(&mut self, controller: ControllerIndex) {
        if self.is_relay_unreachable {
            self.controllers[controller].is_watching = false;
            let lost = Event::RelayWatchLost(StreamError::Unreachable("away".into()));
            return self.deliver_after(NETWORK_DELAY, controller, Delivery::Event(Box::new(lost)));
        }
        self.controllers[controller].is_watching = true;
        for line in self.watch_snapshot(controller) {
            self.deliver_after(NETWORK_DELAY, controller, Delivery::RelayEvent(line));
        }
    }

    fn watch_snapshot(&self, controller: ControllerIndex) -> Vec<String> {
        let mut lines = vec!["OK".to_string()];
        let subscribed = self.proxies.iter().enumerate().filter(|(_, proxy)| proxy.has_stream(controller));
        lines.extend(
            subscribed.map(|(proxy, _)| format!("* SUBSCRIBE {proxy} {} 1.0 1", self.config.zone(proxy))),
        );
        let own_tables = self.store.0.iter().filter(|(slice, _)| self.is_controlled_by(**slice, controller));
        for (slice, table) in own_tables {
            lines.push(format!("* GRANT {slice} 1"));
            for (replica, weight) in table.iter() {
                lines.push(format!("* ROW {slice} {} {weight}", replica_name(*replica)));
            }
        }
        lines.push("*".into());
        lines
    }
}
