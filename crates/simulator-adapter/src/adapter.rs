//! Processes batches: one reply per batch, from all policy instances that the simulator has started.

use crate::action;
use crate::event::{Event, EventError};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use thiserror::Error;
use whinwall_policy::api::{
    DemandReport, EndpointReport, ListScope, ProxyTables, ReplicaId, ReplicaListing, ReplicaState,
    SubsetMembership, ZoneId,
};
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::Policy;

/// The reason why a line is not a valid batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not valid JSON.
    #[error("invalid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The time is missing or invalid.
    #[error("nowNs is missing or not a non-negative integer")]
    MissingTime,
    /// The list of parts is missing or invalid.
    #[error("parts is missing or not an array")]
    MissingParts,
    /// A part does not name its instance.
    #[error("governorId of a part is missing or not a non-negative integer")]
    MissingInstance,
    /// A part has no list of events.
    #[error("input of the part of instance {0} is missing or not an array")]
    MissingInput(u64),
}

/// A started policy instance.
struct Instance {
    policy: Policy,
    /// The names of the request classes and zones, in order. The policy knows only their indices.
    request_classes: Vec<String>,
    zones: Vec<String>,
}

impl Instance {
    fn zone_id(&self, name: &str) -> ZoneId {
        self.zones.iter().position(|known| known == name).unwrap_or(ZoneId::MAX)
    }
}

/// All started instances, by the simulator's ids.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Instance>,
    /// The current replica lists by number. They are kept undecoded because each instance decodes them with its
    /// own zone names.
    replica_lists: BTreeMap<u64, Value>,
}

impl Adapter {
    /// Processes one line and returns the reply. An event that can't be carried out is reported on standard error
    /// and skipped.
    pub fn process_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Value = serde_json::from_str(line)?;
        let now = batch.get("nowNs").and_then(Value::as_u64).ok_or(BatchError::MissingTime)?;
        let now = Moment::at_ns(now);
        let parts = batch.get("parts").and_then(Value::as_array).ok_or(BatchError::MissingParts)?;
        let inputs = parts.iter().map(decode_part).collect::<Result<Vec<_>, _>>()?;
        let mut replies = Vec::new();
        for (id, input) in inputs {
            let mut output = self.apply_all(now, id, input);
            if let Some(instance) = self.instances.get_mut(&id) {
                output.extend(action::encode_all(instance.policy.collect_actions(now)));
            }
            if !output.is_empty() {
                replies.push(json!({"governorId": id, "output": output}));
            }
        }
        Ok(json!({ "parts": replies }).to_string())
    }

    fn apply_all(&mut self, now: Moment, id: u64, input: &[Value]) -> Vec<Value> {
        let mut output = Vec::new();
        let mut index = 0;
        while index < input.len() {
            let event = Event::decode(&input[index]);
            let table_lines = count_table_lines(&event, &input[index + 1..]);
            let next = index + 1 + table_lines;
            let outcome =
                event.and_then(|event| self.apply(now, id, &event, &input[index + 1..next], &mut output));
            if let Err(error) = outcome {
                eprintln!("instance {id}: {error}");
            }
            index = next;
        }
        output
    }

    fn apply(
        &mut self,
        now: Moment,
        id: u64,
        event: &Event,
        table_lines: &[Value],
        output: &mut Vec<Value>,
    ) -> Result<(), EventError> {
        match event.name {
            "powerOn" => output.extend(self.start(now, id, event)?),
            "list" => _ = self.replica_lists.insert(event.unsigned(0, "sheet")?, event.value(1).clone()),
            "killed" => _ = self.instances.remove(&id),
            name => {
                let not_started = || EventError::NotStarted(name.into());
                let instance = self.instances.get_mut(&id).ok_or_else(not_started)?;
                match name {
                    "members" => replicas_listed(instance, &self.replica_lists, now, event)?,
                    _ => instance.apply(now, event, table_lines)?,
                }
            }
        }
        Ok(())
    }

    /// Starts an instance. If its settings are invalid, returns an action that reports the error.
    fn start(&mut self, now: Moment, id: u64, event: &Event) -> Result<Option<Value>, EventError> {
        let seed = event.unsigned(0, "rngSeed")?;
        let settings = match whinwall_settings::parse_settings(event.value(1)) {
            Ok(settings) => settings,
            Err(error) => return Ok(Some(json!(["fault", format!("config: {error}")]))),
        };
        let instance = Instance {
            policy: Policy::start(settings.deployment, seed, now),
            request_classes: settings.request_classes,
            zones: settings.zones,
        };
        self.instances.insert(id, instance);
        Ok(None)
    }
}

fn decode_part(part: &Value) -> Result<(u64, &[Value]), BatchError> {
    let id = part.get("governorId").and_then(Value::as_u64).ok_or(BatchError::MissingInstance)?;
    let input = part.get("input").and_then(Value::as_array).ok_or(BatchError::MissingInput(id))?;
    Ok((id, input))
}

/// Returns the number of following events that are table lines of the slice that this event grants. The policy
/// gets them in the same call.
fn count_table_lines(event: &Result<Event, EventError>, following: &[Value]) -> usize {
    match event {
        Ok(event) if event.name == "charge" => {
            let is_table_line = |raw: &&Value| raw.get(0).is_some_and(|name| name == "recorded");
            following.iter().take_while(is_table_line).count()
        }
        _ => 0,
    }
}

fn replicas_listed(
    instance: &mut Instance,
    replica_lists: &BTreeMap<u64, Value>,
    now: Moment,
    event: &Event,
) -> Result<(), EventError> {
    let scope = match event.text(0, "mode")? {
        "patch" => ListScope::Changes,
        "whole" => ListScope::Complete,
        "stale_copy" => ListScope::Cached,
        "broken" => {
            instance.policy.list_request_failed(now);
            return Ok(());
        }
        other => return Err(EventError::UnknownMode(other.into())),
    };
    let list = replica_lists.get(&event.unsigned(2, "sheet")?).and_then(Value::as_array);
    let entries = event.require("sheet", list)?.iter();
    let listings: Option<Vec<_>> = entries.map(|entry| decode_listing(instance, entry)).collect();
    let listings = event.require("sheet", listings)?;
    instance.policy.replicas_listed(now, scope, &listings);
    Ok(())
}

fn decode_listing(instance: &Instance, entry: &Value) -> Option<ReplicaListing> {
    let replica = ReplicaId::try_from(entry.get(0)?.as_u64()?).ok()?;
    let started = entry.get(6).and_then(Value::as_u64).filter(|ns| *ns > 0);
    Some(ReplicaListing {
        replica,
        stable_hash: u64::from(replica),
        subset: SubsetMembership::AllControllers,
        zone: instance.zone_id(entry.get(1)?.as_str()?),
        machine: entry.get(2)?.as_str()?.to_string(),
        state: decode_state(entry.get(4)?.as_str()?)?,
        weight: entry.get(5).and_then(Value::as_f64).unwrap_or(1.0),
        started: started.map(Moment::at_ns),
    })
}

fn decode_state(name: &str) -> Option<ReplicaState> {
    match name {
        "live" => Some(ReplicaState::Ready),
        "quiescing" => Some(ReplicaState::Draining),
        "dead" => Some(ReplicaState::Gone),
        _ => None,
    }
}

impl Instance {
    fn apply(&mut self, now: Moment, event: &Event, table_lines: &[Value]) -> Result<(), EventError> {
        match event.name {
            "bell" => self.policy.timer_fired(now, event.unsigned(0, "name")?),
            "connected" => {
                let proxy = event.id(0, "clientLb")?;
                let tables = match event.boolean(3, "set")? {
                    true => ProxyTables::Empty,
                    false => ProxyTables::Retained,
                };
                self.policy.proxy_joined(now, proxy, tables);
            }
            "parted" => self.policy.proxy_left(now, event.id(0, "clientLb")?),
            "trafficReport" => self.endpoint_reported(now, event)?,
            "sliceLoad" => self.demand_reported(now, event)?,
            "charge" => self.slice_assigned(now, event, table_lines)?,
            "installed" => {
                let version = u16::try_from(event.unsigned(1, "number")?).ok();
                let version = event.require("number", version)?;
                self.policy.ack_received(now, event.id(0, "clientLb")?, version);
            }
            "usage" | "datagram" | "pong" => {}
            "recorded" => return Err(EventError::StrayTableLine),
            other => return Err(EventError::UnknownEvent(other.into())),
        }
        Ok(())
    }

    fn endpoint_reported(&mut self, now: Moment, event: &Event) -> Result<(), EventError> {
        let report = EndpointReport {
            zone: self.zone_id(event.text(2, "hall")?),
            window: Span::ns(event.unsigned(0, "periodLenNs")?),
            failed: event.number(1, "bad")?,
            attempts: event.number(3, "many")?,
            mean_latency: Span::ns(event.unsigned(4, "latencyNs")?),
        };
        self.policy.endpoint_reported(now, event.id(5, "replica")?, report);
        Ok(())
    }

    fn demand_reported(&mut self, now: Moment, event: &Event) -> Result<(), EventError> {
        let name = event.text(1, "category")?;
        let request_class = self.request_classes.iter().position(|known| known == name);
        let report = DemandReport {
            request_class: event.require("category", request_class)?,
            window: Span::ns(event.unsigned(4, "periodLenNs")?),
            requests: event.number(2, "many")?,
            failed: event.number(3, "bad")?,
        };
        self.policy.demand_reported(now, event.id(0, "mapId")?, report);
        Ok(())
    }

    fn slice_assigned(
        &mut self,
        now: Moment,
        event: &Event,
        table_lines: &[Value],
    ) -> Result<(), EventError> {
        if !event.boolean(0, "set")? {
            self.policy.slice_revoked(now, event.id(1, "mapId")?);
            return Ok(());
        }
        let mut table = Vec::new();
        for raw in table_lines {
            let line = Event::decode(raw)?;
            table.push((line.id(2, "replica")?, line.number(1, "weight")?));
        }
        self.policy.slice_granted(now, event.id(1, "mapId")?, &table);
        Ok(())
    }
}
