//! One batch in, one reply out: all instances of the policy that the simulator has started.

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

/// Why a line is not a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// It is no JSON.
    #[error("no JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// It does not say when it is.
    #[error("nowNs is missing or no whole number")]
    NoTime,
    /// It has no parts.
    #[error("parts is missing or no array")]
    NoParts,
    /// A part does not name its instance.
    #[error("a part has no governorId")]
    NoInstance,
    /// A part has no events.
    #[error("the part of instance {0} has no input")]
    NoInput(u64),
}

/// One started instance.
struct Instance {
    policy: Policy,
    /// The names of the request classes and zones, in order: the policy knows their positions only.
    request_classes: Vec<String>,
    zones: Vec<String>,
}

impl Instance {
    fn zone(&self, name: &str) -> ZoneId {
        self.zones.iter().position(|known| known == name).unwrap_or(ZoneId::MAX)
    }
}

/// All instances, by the simulator's ids.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Instance>,
    /// The numbered replica lists as they stand at this point of the stream: each instance reads them with its own
    /// names of zones.
    sheets: BTreeMap<u64, Value>,
}

impl Adapter {
    /// Answers one line. An event that can't be carried out is reported on standard error and left out.
    pub fn batch(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Value = serde_json::from_str(line)?;
        let now = batch.get("nowNs").and_then(Value::as_u64).ok_or(BatchError::NoTime)?;
        let now = Moment::at_ns(now);
        let parts = batch.get("parts").and_then(Value::as_array).ok_or(BatchError::NoParts)?;
        let inputs = parts.iter().map(input_of).collect::<Result<Vec<_>, _>>()?;
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
            "list" => _ = self.sheets.insert(event.whole(0, "sheet")?, event.value(1).clone()),
            "killed" => _ = self.instances.remove(&id),
            name => {
                let not_started = || EventError::NotStarted(name.into());
                let instance = self.instances.get_mut(&id).ok_or_else(not_started)?;
                match name {
                    "members" => replicas_listed(instance, &self.sheets, now, event)?,
                    _ => instance.apply(now, event, table_lines)?,
                }
            }
        }
        Ok(())
    }

    /// Starts an instance; the action to return says why its settings can't be used.
    fn start(&mut self, now: Moment, id: u64, event: &Event) -> Result<Option<Value>, EventError> {
        let seed = event.whole(0, "rngSeed")?;
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

fn input_of(part: &Value) -> Result<(u64, &[Value]), BatchError> {
    let id = part.get("governorId").and_then(Value::as_u64).ok_or(BatchError::NoInstance)?;
    let input = part.get("input").and_then(Value::as_array).ok_or(BatchError::NoInput(id))?;
    Ok((id, input))
}

/// How many of the events that follow are lines of the table of the slice that this one grants: the policy gets both
/// in one call.
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
    sheets: &BTreeMap<u64, Value>,
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
    let sheet = sheets.get(&event.whole(2, "sheet")?).and_then(Value::as_array);
    let entries = event.require("sheet", sheet)?.iter();
    let listings: Option<Vec<_>> = entries.map(|entry| listing(instance, entry)).collect();
    let listings = event.require("sheet", listings)?;
    instance.policy.replicas_listed(now, scope, &listings);
    Ok(())
}

fn listing(instance: &Instance, entry: &Value) -> Option<ReplicaListing> {
    let replica = ReplicaId::try_from(entry.get(0)?.as_u64()?).ok()?;
    let started = entry.get(6).and_then(Value::as_u64).filter(|ns| *ns > 0);
    Some(ReplicaListing {
        replica,
        stable_hash: u64::from(replica),
        subset: SubsetMembership::AllControllers,
        zone: instance.zone(entry.get(1)?.as_str()?),
        machine: entry.get(2)?.as_str()?.to_string(),
        state: state(entry.get(4)?.as_str()?)?,
        weight: entry.get(5).and_then(Value::as_f64).unwrap_or(1.0),
        started: started.map(Moment::at_ns),
    })
}

fn state(name: &str) -> Option<ReplicaState> {
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
            "bell" => self.policy.timer_fired(now, event.whole(0, "name")?),
            "connected" => {
                let proxy = event.id(0, "clientLb")?;
                let tables = match event.flag(3, "set")? {
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
                let version = u16::try_from(event.whole(1, "number")?).ok();
                let version = event.require("number", version)?;
                self.policy.ack_received(now, event.id(0, "clientLb")?, version);
            }
            "usage" | "datagram" | "pong" => {}
            "recorded" => return Err(EventError::StrayTableLine),
            other => return Err(EventError::Unknown(other.into())),
        }
        Ok(())
    }

    fn endpoint_reported(&mut self, now: Moment, event: &Event) -> Result<(), EventError> {
        let report = EndpointReport {
            zone: self.zone(event.text(2, "hall")?),
            window: Span::ns(event.whole(0, "periodLenNs")?),
            failed: event.number(1, "bad")?,
            attempts: event.number(3, "many")?,
            mean_latency: Span::ns(event.whole(4, "latencyNs")?),
        };
        self.policy.endpoint_reported(now, event.id(5, "replica")?, report);
        Ok(())
    }

    fn demand_reported(&mut self, now: Moment, event: &Event) -> Result<(), EventError> {
        let name = event.text(1, "category")?;
        let request_class = self.request_classes.iter().position(|known| known == name);
        let report = DemandReport {
            request_class: event.require("category", request_class)?,
            window: Span::ns(event.whole(4, "periodLenNs")?),
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
        if !event.flag(0, "set")? {
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
