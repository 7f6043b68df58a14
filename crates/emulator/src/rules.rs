//! The five rules, checked on what proxies and replicas really did. A violation says when, what, and which
//! commands preceded it.

use crate::{ProxyIndex, SliceIndex};
use std::collections::{BTreeMap, VecDeque};
use whinwall_policy::time::{Moment, Span};

/// Rule 1: a connected proxy has an endpoint to pick while a healthy replica exists.
pub const NO_EMPTY_TABLE: u8 = 1;
/// Rule 2: a request that is not idempotent runs at most once.
pub const AT_MOST_ONCE: u8 = 2;
/// Rule 3: a draining replica gets no requests once its grace period is over.
pub const DRAIN: u8 = 3;
/// Rule 4: a replica that is warming up is not overloaded until it crashes.
pub const NO_COLD_OVERLOAD: u8 = 4;
/// Rule 5: the relay's limits on messages and on the channel's queue are kept.
pub const CHANNEL_LIMITS: u8 = 5;

/// Commands remembered for the violations they may lead to.
const MAX_RECORDED_COMMANDS: usize = 4000;
/// Commands shown with a violation.
const MAX_COMMANDS_PER_VIOLATION: usize = 6;
/// Violations of one rule that are described; more are only counted.
const MAX_VIOLATIONS_PER_RULE: usize = 20;

/// A violated rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule's number, 1 to 5.
    pub rule: u8,
    /// When it was noticed.
    pub at: Moment,
    /// What happened.
    pub description: String,
    /// The latest commands that name what it is about.
    pub commands: Vec<String>,
}

/// What is checked for rule 1: a slice's table at a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId {
    /// The proxy that holds it.
    pub proxy: ProxyIndex,
    /// The slice that it routes.
    pub slice: SliceIndex,
}

/// The checkers of the rules, and what they have found.
#[derive(Default)]
pub struct Rules {
    /// The described violations, in the order in which they were noticed.
    pub violations: Vec<Violation>,
    /// By rule number, how often it was violated.
    pub counts: BTreeMap<u8, usize>,
    commands: VecDeque<String>,
    /// By request that may run once, how often it ran.
    executions: BTreeMap<u64, u32>,
    /// Since when a table has had no endpoint to pick.
    empty_since: BTreeMap<TableId, Moment>,
}

impl Rules {
    /// Remembers commands, to be shown with violations that they lead to.
    pub fn record_commands<'a>(&mut self, commands: impl Iterator<Item = &'a str>) {
        self.commands.extend(commands.map(String::from));
        while self.commands.len() > MAX_RECORDED_COMMANDS {
            self.commands.pop_front();
        }
    }

    /// Records a violation; `subject` is the slice or replica that the commands to show have to name.
    pub fn record_violation(&mut self, rule: u8, at: Moment, description: String, subject: &str) {
        *self.counts.entry(rule).or_default() += 1;
        if self.counts[&rule] > MAX_VIOLATIONS_PER_RULE {
            return;
        }
        let latest_first = self.commands.iter().rev();
        let naming = latest_first.filter(|command| command.split(',').any(|part| part == subject));
        let mut commands: Vec<_> = naming.take(MAX_COMMANDS_PER_VIOLATION).cloned().collect();
        commands.reverse();
        self.violations.push(Violation { rule, at, description, commands });
    }

    /// Rule 2: records that a request that may run once has run.
    pub fn record_execution(&mut self, now: Moment, request: u64) {
        let executions = self.executions.entry(request).or_default();
        *executions += 1;
        if *executions == 2 {
            self.record_violation(AT_MOST_ONCE, now, format!("op {request} ran twice"), "");
        }
    }

    /// Rule 1: records that a table has endpoints.
    pub fn record_endpoints(&mut self, table: TableId) {
        self.empty_since.remove(&table);
    }

    /// Rule 1: records that a table is empty, which violates the rule once it has been so for longer than `grace`.
    pub fn record_empty_table(&mut self, now: Moment, table: TableId, grace: Span) {
        let since = *self.empty_since.entry(table).or_insert(now);
        if now - since > grace {
            self.empty_since.insert(table, now);
            let TableId { proxy, slice } = table;
            let seconds = (now - since).seconds();
            let description = format!("proxy {proxy} has nothing for slice {slice} since {seconds:.1} s");
            self.record_violation(NO_EMPTY_TABLE, now, description, &slice.to_string());
        }
    }

    /// Rule 1: forgets which tables are empty, as while there is no healthy replica.
    pub fn clear_empty_tables(&mut self) {
        self.empty_since.clear();
    }
}
