//! The five rules, checked on what proxies and replicas really did. A violation says when, what, and which
//! orders led to it.

use std::collections::{BTreeMap, VecDeque};
use whinwall_policy::time::{Moment, Span};

#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: u8,
    pub at: Moment,
    pub what: String,
    /// The latest orders that name what it is about.
    pub orders: Vec<String>,
}

/// Orders remembered, and shown with a violation.
const REMEMBERED: usize = 4000;
const SHOWN: usize = 6;
/// Violations of one rule that are kept; more are counted.
const KEPT: usize = 20;

#[derive(Default)]
pub struct Rules {
    pub violations: Vec<Violation>,
    pub counts: BTreeMap<u8, usize>,
    orders: VecDeque<(Moment, String)>,
    /// Of once-only requests, how often each took effect.
    effects: BTreeMap<u64, u32>,
    /// Since when a proxy has nothing to pick for a slice.
    bare: BTreeMap<(usize, usize), Moment>,
}

impl Rules {
    pub fn ordered(&mut self, now: Moment, orders: impl Iterator<Item = String>) {
        self.orders.extend(orders.map(|order| (now, order)));
        while self.orders.len() > REMEMBERED {
            self.orders.pop_front();
        }
    }

    pub fn broken(&mut self, rule: u8, at: Moment, what: String, about: &str) {
        *self.counts.entry(rule).or_default() += 1;
        if self.counts[&rule] > KEPT {
            return;
        }
        let named = self.orders.iter().rev().filter(|(_, order)| order.split(',').any(|part| part == about));
        let mut orders: Vec<_> = named.take(SHOWN).map(|(_, order)| order.clone()).collect();
        orders.reverse();
        self.violations.push(Violation { rule, at, what, orders });
    }

    /// Rule 2: an request that may run once has run.
    pub fn ran(&mut self, now: Moment, request: u64) {
        let times = self.effects.entry(request).or_default();
        *times += 1;
        if *times == 2 {
            self.broken(2, now, format!("op {request} ran twice"), "");
        }
    }

    /// An request is over for good.
    pub fn over(&mut self, request: u64) {
        self.effects.remove(&request);
    }

    /// Rule 1: a joined proxy has nothing to pick though there is a good replica.
    pub fn bare(&mut self, now: Moment, proxy: usize, slice: usize, is_bare: bool, patience: Span) {
        if !is_bare {
            self.bare.remove(&(proxy, slice));
            return;
        }
        let since = *self.bare.entry((proxy, slice)).or_insert(now);
        if now - since > patience {
            self.bare.insert((proxy, slice), now);
            let what =
                format!("proxy {proxy} has nothing for slice {slice} since {:.1} s", (now - since).seconds());
            self.broken(1, now, what, &slice.to_string());
        }
    }

    pub fn nobody_bare(&mut self) {
        self.bare.clear();
    }

    pub fn total(&self) -> usize {
        self.counts.values().sum()
    }
}
