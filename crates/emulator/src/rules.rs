//! Checkers of the five rules for the behaviour of proxies and replicas. A violation has a time, a description and
//! the commands that preceded it.

use crate::{ProxyIndex, SliceIndex};
use std::collections::{BTreeMap, VecDeque};
use whinwall_policy::time::{Moment, Span};

/// Rule 1: a connected proxy has an endpoint for each slice while a healthy replica exists.
pub const NO_EMPTY_TABLE: u8 = 1;
/// Rule 2: a request that is not idempotent runs at most once.
pub const AT_MOST_ONCE: u8 = 2;
/// Rule 3: a draining replica receives no requests after its grace period.
pub const DRAIN: u8 = 3;
/// Rule 4: no cold replica is overloaded so far that it crashes.
pub const NO_COLD_OVERLOAD: u8 = 4;
/// Rule 5: the relay's limits on messages and on the channel's queue are not exceeded.
pub const CHANNEL_LIMITS: u8 = 5;

/// Number of recent commands kept for the description of violations.
const MAX_RECORDED_COMMANDS: usize = 4000;
/// Maximum number of commands attached to a violation.
const MAX_COMMANDS_PER_VIOLATION: usize = 6;
/// Maximum number of described violations per rule. Further violations are only counted.
const MAX_VIOLATIONS_PER_RULE: usize = 20;

/// A violated rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The number of the rule, from 1 to 5.
    pub rule: u8,
    /// The time of the detection.
    pub detected_at: Moment,
    /// The description of the violation.
    pub description: String,
    /// The latest commands that name the slice or replica concerned.
    pub commands: Vec<String>,
}

/// The routing table of a slice at a proxy, as checked for rule 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId {
    /// The proxy that holds the table.
    pub proxy: ProxyIndex,
    /// The slice that the table routes.
    pub slice: SliceIndex,
}

/// The checkers of the rules and the violations that they have detected.
#[derive(Default)]
pub struct Rules {
    /// The described violations in the order of detection.
    pub violations: Vec<Violation>,
    /// By rule number, the number of violations.
    pub counts: BTreeMap<u8, usize>,
    commands: VecDeque<String>,
    /// By request that may run at most once, the number of executions.
    executions: BTreeMap<u64, u32>,
    /// By table without endpoints, the time since which it has been empty or was last reported.
    empty_since: BTreeMap<TableId, Moment>,
}

impl Rules {
    /// Records commands for the description of later violations.
    pub fn record_commands<'a>(&mut self, commands: impl Iterator<Item = &'a str>) {
        self.commands.extend(commands.map(String::from));
        while self.commands.len() > MAX_RECORDED_COMMANDS {
            self.commands.pop_front();
        }
    }

    /// Records a violation with the latest commands that name `subject`, a slice or replica.
    pub fn record_violation(&mut self, rule: u8, detected_at: Moment, description: String, subject: &str) {
        *self.counts.entry(rule).or_default() += 1;
        if self.counts[&rule] > MAX_VIOLATIONS_PER_RULE {
            return;
        }
        let latest_first = self.commands.iter().rev();
        let matching = latest_first.filter(|command| command.split(',').any(|part| part == subject));
        let mut commands: Vec<_> = matching.take(MAX_COMMANDS_PER_VIOLATION).cloned().collect();
        commands.reverse();
        self.violations.push(Violation { rule, detected_at, description, commands });
    }

    /// Rule 2: records an execution of a request that may run at most once.
    pub fn record_execution(&mut self, now: Moment, request: u64) {
        let executions = self.executions.entry(request).or_default();
        *executions += 1;
        if *executions == 2 {
            self.record_violation(AT_MOST_ONCE, now, format!("request {request} ran twice; limit 1"), "");
        }
    }

    /// Rule 1: records that a table has endpoints.
    pub fn record_endpoints(&mut self, table: TableId) {
        self.empty_since.remove(&table);
    }

    /// Rule 1: records that a table is empty. This violates the rule if the table has been empty for longer than
    /// `grace`.
    pub fn record_empty_table(&mut self, now: Moment, table: TableId, grace: Span) {
        let since = *self.empty_since.entry(table).or_insert(now);
        if now - since > grace {
            self.empty_since.insert(table, now);
            let TableId { proxy, slice } = table;
            let (empty_seconds, grace_seconds) = ((now - since).seconds(), grace.seconds());
            let description = format!(
                "proxy {proxy} has had no endpoint for slice {slice} for {empty_seconds:.1} s; grace period \
                {grace_seconds:.1} s"
            );
            self.record_violation(NO_EMPTY_TABLE, now, description, &slice.to_string());
        }
    }

    /// Rule 1: clears the records of empty tables, for example while there is no healthy replica.
    pub fn clear_empty_tables(&mut self) {
        self.empty_since.clear();
    }
}
