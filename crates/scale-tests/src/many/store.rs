//! The store of one controller's relay: its tables, the proxies that are joined, and the replicas that are shut out.

use super::plan::{ControllerId, Plan};
use std::collections::{BTreeMap, BTreeSet};

/// What the relay holds for one controller.
pub struct Store {
    tables: BTreeMap<u32, BTreeMap<String, f64>>,
    proxies: usize,
    shut_out: BTreeSet<String>,
}

/// What became of a call.
#[derive(Debug, PartialEq)]
pub struct Applied {
    /// Orders that were taken.
    pub orders: usize,
    /// Lines of news about proxies that have applied the call.
    pub acks: Vec<String>,
}

impl Store {
    /// The store before the run.
    pub fn new(plan: &Plan, controller: ControllerId) -> Self {
        Store { tables: plan.tables(controller), proxies: plan.proxies, shut_out: BTreeSet::new() }
    }

    /// The news that is told to whoever asks for it: all that stands.
    pub fn snapshot(&self) -> Vec<String> {
        let mut lines = vec!["OK".to_string()];
        lines.extend((0..self.proxies).map(|proxy| format!("* SUBSCRIBE {proxy} zone-0 21.5 1")));
        for (slice, table) in &self.tables {
            lines.push(format!("* GRANT {slice} 1"));
            lines.extend(table.iter().map(|(replica, weight)| format!("* ROW {slice} {replica} {weight}")));
        }
        lines.push("*".into());
        lines
    }

    /// Carries out a call; all proxies ack its version at once. None where the line is no call.
    pub fn apply(&mut self, line: &str) -> Option<Applied> {
        let orders: Vec<_> = line.strip_prefix("APPLY ")?.split(';').collect();
        let mut acks = Vec::new();
        for order in &orders {
            match order.split(',').collect::<Vec<_>>()[..] {
                ["SET", slice, replica, weight] => {
                    self.set(slice.parse().ok()?, replica, weight.parse().ok()?)
                }
                ["DEL", slice] => _ = self.tables.remove(&slice.parse().ok()?),
                ["OUT", replica] => _ = self.shut_out.insert(replica.to_string()),
                ["IN", replica] => _ = self.shut_out.remove(replica),
                ["SYNC", version, _] => {
                    acks.extend((0..self.proxies).map(|proxy| format!("* ACK {proxy} {version} 1")));
                }
                ["LIMIT", ..] => {}
                _ => return None,
            }
        }
        Some(Applied { orders: orders.len(), acks })
    }

    fn set(&mut self, slice: u32, replica: &str, weight: f64) {
        let table = self.tables.entry(slice).or_default();
        if weight > 0.0 {
            table.insert(replica.to_string(), weight);
        } else {
            table.remove(replica);
        }
    }

    /// Whether no table names this replica any more, or it is shut out.
    pub fn has_left(&self, replica: &str) -> bool {
        self.shut_out.contains(replica) || !self.names(replica)
    }

    /// Whether a table names this replica.
    pub fn names(&self, replica: &str) -> bool {
        self.tables.values().any(|table| table.contains_key(replica))
    }

    /// The slices in the controller's charge.
    pub fn slices(&self) -> impl Iterator<Item = u32> + '_ {
        self.tables.keys().copied()
    }
}
