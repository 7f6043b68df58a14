//! The relay's commands in the form in which proxies apply them.

use crate::{ReplicaIndex, RequestClassIndex, SliceIndex};
use std::collections::BTreeMap;

/// What precedes the commands in the line of a relay request.
const REQUEST_PREFIX: &str = "APPLY ";

/// A command as a proxy applies it.
#[derive(Clone, Debug, PartialEq)]
pub enum ProxyCommand {
    /// Sets the weight of a replica in a slice's routing table; a weight of 0 removes it.
    SetEndpoint {
        /// The slice whose table changes.
        slice: SliceIndex,
        /// The replica.
        replica: ReplicaIndex,
        /// Its weight relative to the other replicas of the table.
        weight: f64,
    },
    /// Withdraws a replica from all tables of the controller's slices.
    Withdraw {
        /// The replica.
        replica: ReplicaIndex,
    },
    /// Reinstates a withdrawn replica.
    Reinstate {
        /// The replica.
        replica: ReplicaIndex,
    },
    /// Sets the share of requests to admit and the number of retries.
    SetAdmissionRate {
        /// The slice; none for all slices.
        slice: Option<SliceIndex>,
        /// The request classes that the rate holds for.
        request_classes: Vec<RequestClassIndex>,
        /// The share of requests to admit, 0 to 1.
        admission_rate: f64,
        /// How often a proxy retries a rejected attempt.
        retries: u8,
    },
}

/// The commands of one relay request.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandBatch {
    /// The commands, in the order in which they are applied.
    pub commands: Vec<ProxyCommand>,
    /// The version that proxies acknowledge once they have applied them.
    pub version: Option<u16>,
}

/// The texts of the single commands in the line of a relay request.
pub fn split_commands(line: &str) -> impl Iterator<Item = &str> {
    line.trim_start_matches(REQUEST_PREFIX).split(';')
}

/// The line of a relay request that carries these commands.
pub fn join_commands(commands: &[String]) -> String {
    format!("{REQUEST_PREFIX}{}", commands.join(";"))
}

/// Parses the line of a relay request; none where any part of it is unreadable.
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

/// The request classes that a command names: `*` for all of them, else names joined by `+`.
fn select_request_classes(named_classes: &str, request_classes: &[&str]) -> Vec<RequestClassIndex> {
    let is_named = |class: &str| named_classes == "*" || named_classes.split('+').any(|named| named == class);
    let selected = request_classes.iter().enumerate().filter(|(_, class)| is_named(class));
    selected.map(|(index, _)| index).collect()
}
