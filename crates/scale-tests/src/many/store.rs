//! The store of one controller's fake relay: routing tables, subscribed proxies and withdrawn replicas.

use super::plan::{ControllerId, Plan};
use std::collections::{BTreeMap, BTreeSet};

/// The state that the relay stores for one controller.
pub struct Store {
    tables: BTreeMap<u32, BTreeMap<String, f64>>,
    proxies: usize,
    withdrawn: BTreeSet<String>,
}

/// The result of a relay request.
#[derive(Debug, PartialEq)]
pub struct Applied {
    /// The number of applied commands.
    pub commands: usize,
    /// Acknowledgements of the proxies, one line each, without line terminators.
    pub acks: Vec<String>,
}

impl Store {
    /// Creates the initial store of a controller.
    pub fn new(plan: &Plan, controller: ControllerId) -> Self {
        Store { tables: plan.tables(controller), proxies: plan.proxies, withdrawn: BTreeSet::new() }
    }

    /// Returns the first lines of a watch: all proxies and the current routing tables.
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

    /// Applies a relay request, which all proxies acknowledge immediately. Returns `None` if the line is not a request,
    /// or at the first invalid command; the commands before that stay applied.
    pub fn apply(&mut self, line: &str) -> Option<Applied> {
        let commands: Vec<_> = line.strip_prefix("APPLY ")?.split(';').collect();
        let mut acks = Vec::new();
        for command in &commands {
            match command.split(',').collect::<Vec<_>>()[..] {
                ["SET", slice, replica, weight] => {
                    self.set_weight(slice.parse().ok()?, replica, weight.parse().ok()?);
                }
                ["DEL", slice] => _ = self.tables.remove(&slice.parse().ok()?),
                ["OUT", replica] => _ = self.withdrawn.insert(replica.to_string()),
                ["IN", replica] => _ = self.withdrawn.remove(replica),
                ["SYNC", version, _] => {
                    acks.extend((0..self.proxies).map(|proxy| format!("* ACK {proxy} {version} 1")));
                }
                ["LIMIT", ..] => {}
                _ => return None,
            }
        }
        Some(Applied { commands: commands.len(), acks })
    }

    fn set_weight(&mut self, slice: u32, replica: &str, weight: f64) {
        let table = self.tables.entry(slice).or_default();
        if weight > 0.0 {
            table.insert(replica.to_string(), weight);
        } else {
            table.remove(replica);
        }
    }

    /// Returns true if the replica is withdrawn or in no routing table.
    pub fn is_drained(&self, replica: &str) -> bool {
        self.withdrawn.contains(replica) || !self.has_replica(replica)
    }

    /// Returns true if the replica is in a routing table.
    pub fn has_replica(&self, replica: &str) -> bool {
        self.tables.values().any(|table| table.contains_key(replica))
    }

    /// Returns the slices owned by the controller.
    pub fn slices(&self) -> impl Iterator<Item = u32> + '_ {
        self.tables.keys().copied()
    }
}
