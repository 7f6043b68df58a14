//! Parses relay requests into the commands that proxies apply.

use crate::{ReplicaIndex, RequestClassIndex, SliceIndex};
use std::collections::BTreeMap;

/// The prefix of a relay request's line, before the commands.
const REQUEST_PREFIX: &str = "APPLY ";

/// A command to proxies.
#[derive(Clone, Debug, PartialEq)]
pub enum ProxyCommand {
    /// Sets the weight of a replica in a slice's routing table; a weight of 0 removes the replica.
    SetEndpoint {
        /// The slice whose routing table changes.
        slice: SliceIndex,
        /// The replica.
        replica: ReplicaIndex,
        /// The weight relative to the other replicas of the table.
        weight: f64,
    },
    /// Withdraws a replica from the routing tables of all slices of the controller.
    Withdraw {
        /// The replica.
        replica: ReplicaIndex,
    },
    /// Reinstates a withdrawn replica.
    Reinstate {
        /// The replica.
        replica: ReplicaIndex,
    },
    /// Sets the admission rate and the number of retries.
    SetAdmissionRate {
        /// The slice, or `None` for all slices.
        slice: Option<SliceIndex>,
        /// The request classes that the rate applies to.
        request_classes: Vec<RequestClassIndex>,
        /// The share of requests to admit, from 0 to 1.
        admission_rate: f64,
        /// The maximum number of retries after a rejected attempt.
        retries: u8,
    },
}

/// The commands of one relay request.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandBatch {
    /// The commands in the order of application.
    pub commands: Vec<ProxyCommand>,
    /// The version that proxies acknowledge after they have applied the commands.
    pub version: Option<u16>,
}

/// Splits the line of a relay request into the texts of its commands.
pub fn split_commands(line: &str) -> impl Iterator<Item = &str> {
    line.trim_start_matches(REQUEST_PREFIX).split(';')
}

/// Returns the line of a relay request with these commands.
pub fn join_commands(commands: &[String]) -> String {
    format!("{REQUEST_PREFIX}{}", commands.join(";"))
}

/// Parses the line of a relay request. Returns `None` if any part of it is malformed.
pub fn parse(
    line: &str,
    replicas_by_name: &BTreeMap<String, ReplicaIndex>,
    request_classes: &[&str],
) -> Option<CommandBatch> {
    let mut batch = CommandBatch { commands: Vec::new(), version: None };
    for command in line.strip_prefix(REQUEST_PREFIX)?.split(';') {
        match command.split(',').collect::<Vec<_>>()[..] {
            ["SET", slice, replica, weight] => batch.commands.push(ProxyCommand::SetEndpoint {
                slice: slice.parse().ok()?,
                replica: *replicas_by_name.get(replica)?,
                weight: weight.parse().ok()?,
            }),
            ["OUT", replica] => {
                batch.commands.push(ProxyCommand::Withdraw { replica: *replicas_by_name.get(replica)? });
            }
            ["IN", replica] => {
                batch.commands.push(ProxyCommand::Reinstate { replica: *replicas_by_name.get(replica)? });
            }
            ["LIMIT", slice, named_classes, rate, retries] => {
                batch.commands.push(ProxyCommand::SetAdmissionRate {
                    slice: if slice == "*" { None } else { Some(slice.parse().ok()?) },
                    request_classes: select_request_classes(named_classes, request_classes),
                    admission_rate: rate.parse().ok()?,
                    retries: retries.parse().ok()?,
                });
            }
            ["SYNC", version, _] => batch.version = Some(version.parse().ok()?),
            _ => return None,
        }
    }
    Some(batch)
}

/// Returns the indices of the request classes that a command names: `*` for all, otherwise names joined by `+`.
fn select_request_classes(named_classes: &str, request_classes: &[&str]) -> Vec<RequestClassIndex> {
    let is_named = |class: &str| named_classes == "*" || named_classes.split('+').any(|named| named == class);
    let selected = request_classes.iter().enumerate().filter(|(_, class)| is_named(class));
    selected.map(|(index, _)| index).collect()
}
