//! Discovery: the endpoint list and the delivery of its updates to the controllers.

use super::event::Delivery;
use super::state::{replica_name, ListedState, Scenario};
use crate::fault::ListAnomaly;
use crate::{ControllerIndex, ReplicaIndex};
use std::collections::BTreeSet;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery;
use whinwall_routing::Event;

impl Scenario {
    pub(super) fn list_snapshot(&self) -> discovery::List {
        let list = discovery::decode(&self.list_text()).ok().flatten();
        list.expect("the emulator's own list is readable and complete")
    }

    fn list_text(&self) -> String {
        let entry = |replica: ReplicaIndex| {
            let started_at = self.replicas[replica].started_at;
            let started_ms = started_at.map_or(0, |at| (at - Moment::default()).as_ns() / 1_000_000);
            serde_json::json!({"id": replica_name(replica), "zone": self.config.zone(replica),
                "state": self.listed_states[replica].wire_name(), "started_ms": started_ms})
        };
        let is_listed = |replica: &ReplicaIndex| self.listed_states[*replica] != ListedState::Removed;
        let entries: Vec<_> = (0..self.replicas.len()).filter(is_listed).map(entry).collect();
        serde_json::json!({"version": self.list_version, "full": true, "servers": entries}).to_string()
    }

    /// Sends the list to a controller in a separate process.
    pub(super) fn send_list_text(&mut self, controller: ControllerIndex) {
        let text = self.list_text();
        if let Some(connection) = &mut self.controllers[controller].connection {
            connection.send_list(&text);
        }
    }

    /// Changes the listed state of a replica and publishes the list.
    pub(super) fn set_listed_state(&mut self, replica: ReplicaIndex, state: ListedState) {
        let name = replica_name(replica);
        self.record_in_timeline(&name, || format!("endpoint list: {name} is {}", state.wire_name()));
        self.set_listed_states([replica], state);
    }

    /// Changes the listed state of several replicas and publishes the list once.
    pub(super) fn set_listed_states(
        &mut self,
        replicas: impl IntoIterator<Item = ReplicaIndex>,
        state: ListedState,
    ) {
        replicas.into_iter().for_each(|replica| self.listed_states[replica] = state);
        self.list_version += 1;
        self.publish_list();
    }

    /// Delivers the list to all controllers, with the currently injected anomaly.
    pub(super) fn publish_list(&mut self) {
        if self.is_discovery_unreachable {
            return;
        }
        let list = self.list_snapshot();
        let previous = self.previous_list.replace(list.clone()).unwrap_or_else(|| list.clone());
        let lists = match self.list_anomaly {
            None | Some(ListAnomaly::Delayed(_)) => vec![list],
            Some(ListAnomaly::Repeated) => vec![list.clone(), list.clone(), list],
            Some(ListAnomaly::Reverted) => vec![list.clone(), previous, list],
            Some(ListAnomaly::Partial(interval)) => vec![self.partial_list(&list, interval), list],
        };
        let delay = match self.list_anomaly {
            Some(ListAnomaly::Delayed(delay)) => delay,
            _ => Span::default(),
        };
        for controller in 0..self.controllers.len() {
            for list in lists.iter().cloned() {
                if delay == Span::default() {
                    self.deliver_list(controller, list);
                } else {
                    self.deliver_after(delay, controller, Delivery::List(Box::new(list)));
                }
            }
        }
    }

    /// Returns the list without every `interval`-th entry. The list's version shifts the positions of the omitted
    /// entries, so that successive lists omit different ones.
    fn partial_list(&self, list: &discovery::List, interval: usize) -> discovery::List {
        let mut partial = list.clone();
        let mut position = self.list_version as usize;
        partial.entries.retain(|_| {
            position += 1;
            !position.is_multiple_of(interval)
        });
        partial
    }

    /// Delivers a list, and records the time at which each drain was first delivered to the controller.
    pub(super) fn deliver_list(&mut self, controller: ControllerIndex, list: discovery::List) {
        let draining = list.entries.iter().filter(|entry| entry.state == discovery::State::Draining);
        let draining: BTreeSet<_> =
            draining.filter_map(|entry| self.replicas_by_name.get(&entry.replica).copied()).collect();
        let draining_since = &mut self.controllers[controller].draining_since;
        draining_since.retain(|replica, _| draining.contains(replica));
        for replica in draining {
            draining_since.entry(replica).or_insert(self.now);
        }
        self.deliver_event(controller, Event::EndpointListReceived(list));
    }
}
