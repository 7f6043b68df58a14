//! Disconnects and connects proxies.

use super::state::Scenario;
use crate::{ControllerIndex, ProxyIndex};

impl Scenario {
    /// Disconnects a proxy from the relay.
    pub(super) fn disconnect_proxy(&mut self, proxy: ProxyIndex) {
        if !std::mem::replace(&mut self.proxies[proxy].is_connected, false) {
            return;
        }
        for controller in 0..self.controllers.len() {
            self.controllers[controller].channel.remove_proxy(proxy);
            if self.controllers[controller].is_watching {
                self.send_relay_event(controller, &format!("* CLOSED {proxy}"));
            }
        }
    }

    /// Connects a proxy to the relay. The proxy loads the tables of the relay's store.
    pub(super) fn connect_proxy(&mut self, proxy: ProxyIndex) {
        if std::mem::replace(&mut self.proxies[proxy].is_connected, true) {
            return;
        }
        self.proxies[proxy].load_tables(&self.store.0);
        for controller in 0..self.controllers.len() {
            self.proxies[proxy].connected_since.insert(controller, self.now);
            if self.controllers[controller].is_watching && self.proxies[proxy].has_stream(controller) {
                self.send_subscription(controller, proxy);
            }
        }
    }

    /// Opens the stream of a proxy to a restarted controller. The proxy keeps its withdrawals and admission rates.
    pub(super) fn reconnect_proxy(&mut self, controller: ControllerIndex, proxy: ProxyIndex) {
        self.proxies[proxy].disconnected_from.remove(&controller);
        self.proxies[proxy].connected_since.insert(controller, self.now);
        self.proxies[proxy].load_tables(&self.store.0);
        if self.proxies[proxy].is_connected && self.controllers[controller].is_watching {
            self.send_subscription(controller, proxy);
        }
    }

    fn send_subscription(&mut self, controller: ControllerIndex, proxy: ProxyIndex) {
        let line = format!("* SUBSCRIBE {proxy} {} 1.0 0", self.config.zone(proxy));
        self.send_relay_event(controller, &line);
    }
}
