//! Discovery: the registry snapshot, and how it is told to the controllers.

use super::{replica_name, Day, Step};
use crate::trouble::Odd;
use crate::ReplicaIx;
use std::collections::BTreeSet;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery;
use whinwall_routing::Event;

impl Day {
    pub(super) fn list(&self) -> discovery::List {
        discovery::decode(&self.list_text()).ok().flatten().expect("our own list")
    }

    pub(super) fn list_text(&self) -> String {
        let entry = |at: ReplicaIx| {
            let started =
                self.replicas[at].started.map_or(0, |at| (at - Moment::default()).as_ns() / 1_000_000);
            serde_json::json!({"id": replica_name(at), "zone": self.sizes.zone(at), "state": self.listed[at], "started_ms": started})
        };
        let all: Vec<_> =
            (0..self.replicas.len()).filter(|at| self.listed[*at] != "left").map(entry).collect();
        serde_json::json!({"version": self.version, "full": true, "servers": all}).to_string()
    }

    pub(super) fn relist(&mut self, replica: ReplicaIx, state: &'static str) {
        let name = replica_name(replica);
        self.line(&name, || format!("the list: {name} is {state}"));
        self.listed[replica] = state;
        self.version += 1;
        self.tell_list();
    }

    pub(super) fn tell_list(&mut self) {
        if self.discovery_away {
            return;
        }
        let list = self.list();
        let before = self.list_before.replace(list.clone()).unwrap_or_else(|| list.clone());
        let (lists, late) = match self.odd {
            None => (vec![list], Span::default()),
            Some(Odd::Late(by)) => (vec![list], by),
            Some(Odd::Again) => (vec![list.clone(), list.clone(), list], Span::default()),
            Some(Odd::Back) => (vec![list.clone(), before, list], Span::default()),
            Some(Odd::Lossy(each)) => {
                let mut lossy = list.clone();
                let mut at = self.version as usize;
                lossy.entries.retain(|_| {
                    at += 1;
                    !at.is_multiple_of(each)
                });
                (vec![lossy, list], Span::default())
            }
        };
        for (at, list) in (0..self.controllers.len()).flat_map(|at| lists.iter().map(move |list| (at, list)))
        {
            match late == Span::default() {
                true => self.is_told(at, list.clone()),
                false => {
                    let incarnation = self.controllers[at].incarnation;
                    self.after(late, Step::Told(at, incarnation, Box::new(list.clone())));
                }
            }
        }
    }

    /// From when on it knows that replicas drain: what it is told counts, not what is so.
    pub(super) fn is_told(&mut self, at: usize, list: discovery::List) {
        let leaving = list.entries.iter().filter(|entry| entry.state == discovery::State::Draining);
        let leaving: BTreeSet<_> =
            leaving.filter_map(|entry| self.names.get(&entry.replica).copied()).collect();
        let told = &mut self.controllers[at].told;
        told.retain(|replica, _| leaving.contains(replica));
        leaving.into_iter().for_each(|replica| _ = told.entry(replica).or_insert(self.now));
        self.tell(at, Event::Registry(list));
    }
}
