//! One batch in, one reply out.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use whinwall_policy::api::*;
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::Policy;

/// The wire's table number that stands for all tables.
const EVERY_TABLE: u64 = 65535;

#[derive(Default)]
pub struct Host {
    controllers: BTreeMap<u64, Policy>,
    /// The names of each instance's request classes and places, in order: the decisions know their positions only.
    request_classes: BTreeMap<u64, Vec<String>>,
    zones: BTreeMap<u64, Vec<String>>,
    /// The numbered lists as they stand at this point of the stream: each instance reads them with its own
    /// names of places.
    sheets: BTreeMap<u64, Value>,
}

/// The values of one event, with words for what is wrong with them.
struct Event<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Event<'a> {
    fn read(raw: &'a Value) -> Result<Self, String> {
        let items = raw.as_array().ok_or("an event is not an array")?;
        let name = items.first().and_then(Value::as_str).ok_or("an event has no name")?;
        Ok(Event { name, values: &items[1..] })
    }

    fn wrong<T>(&self, field: &str, value: Option<T>) -> Result<T, String> {
        value.ok_or_else(|| format!("event {}: field {field} is missing or malformed", self.name))
    }

    fn value(&self, at: usize) -> &'a Value {
        self.values.get(at).unwrap_or(&Value::Null)
    }

    fn whole(&self, at: usize, field: &str) -> Result<u64, String> {
        self.wrong(field, self.value(at).as_u64())
    }

    fn id(&self, at: usize, field: &str) -> Result<u32, String> {
        self.wrong(field, self.value(at).as_u64().and_then(|id| u32::try_from(id).ok()))
    }

    fn number(&self, at: usize, field: &str) -> Result<f64, String> {
        self.wrong(field, self.value(at).as_f64().filter(|n| n.is_finite() && *n >= 0.0))
    }

    fn flag(&self, at: usize, field: &str) -> Result<bool, String> {
        self.wrong(field, self.value(at).as_bool())
    }

    fn text(&self, at: usize, field: &str) -> Result<&'a str, String> {
        self.wrong(field, self.value(at).as_str())
    }
}

impl Host {
    /// Answers one line, or says what keeps it from being a batch.
    pub fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("no JSON: {e}"))?;
        let now = batch.get("nowNs").and_then(Value::as_u64).ok_or("nowNs is missing or no whole number")?;
        let parts = batch.get("parts").and_then(Value::as_array).ok_or("parts is missing or no array")?;
        let mut inputs = Vec::new();
        for part in parts {
            let id = part.get("governorId").and_then(Value::as_u64).ok_or("a part has no governorId")?;
            let input = part.get("input").and_then(Value::as_array);
            inputs.push((id, input.ok_or_else(|| format!("the part of instance {id} has no input"))?));
        }
        let now = Moment::at_ns(now);
        let mut replies = Vec::new();
        for (id, input) in inputs {
            let mut output = self.instance(now, id, input);
            if let Some(policy) = self.controllers.get_mut(&id) {
                let actions = policy.collect_actions(now);
                // A version by itself reaches nobody, unless all are asked.
                let all = !actions.iter().any(Action::reaches_proxies);
                output.extend(actions.into_iter().map(|step| encode(step, all)));
            }
            if !output.is_empty() {
                replies.push(json!({"governorId": id, "output": output}));
            }
        }
        Ok(json!({ "parts": replies }).to_string())
    }

    fn instance(&mut self, now: Moment, id: u64, input: &[Value]) -> Vec<Value> {
        let mut output = Vec::new();
        let mut at = 0;
        while at < input.len() {
            let event = Event::read(&input[at]);
            // The lines of a table handed over belong to the hand-over: the controller gets both as one call.
            let lines = input[at + 1..].iter().take_while(|raw| raw.get(0).is_some_and(|n| n == "recorded"));
            let follows = match &event {
                Ok(event) if event.name == "charge" => lines.count(),
                _ => 0,
            };
            let done = event
                .and_then(|event| self.event(now, id, &event, &input[at + 1..at + 1 + follows], &mut output));
            if let Err(wrong) = done {
                eprintln!("instance {id}: {wrong}");
            }
            at += 1 + follows;
        }
        output
    }

    fn event(
        &mut self,
        now: Moment,
        id: u64,
        event: &Event,
        lines: &[Value],
        output: &mut Vec<Value>,
    ) -> Result<(), String> {
        match event.name {
            "powerOn" => {
                let seed = event.whole(0, "rngSeed")?;
                match whinwall_settings::read(event.value(1)) {
                    Ok(settings) => {
                        self.request_classes.insert(id, settings.request_classes);
                        self.zones.insert(id, settings.zones);
                        self.controllers.insert(id, Policy::start(settings.deployment, seed, now));
                    }
                    Err(wrong) => output.push(json!(["fault", format!("config: {wrong}")])),
                }
                return Ok(());
            }
            "list" => {
                self.sheets.insert(event.whole(0, "sheet")?, event.value(1).clone());
                return Ok(());
            }
            "killed" => {
                self.controllers.remove(&id);
                return Ok(());
            }
            _ => {}
        }
        let Some(policy) = self.controllers.get_mut(&id) else {
            return Err(format!("event {}: this instance has not been started", event.name));
        };
        let zones = &self.zones[&id];
        let zone = |name: &str| zones.iter().position(|known| known == name).unwrap_or(ZoneId::MAX);
        match event.name {
            "members" => {
                let scope = match event.text(0, "mode")? {
                    "patch" => ListScope::Changes,
                    "whole" => ListScope::Complete,
                    "stale_copy" => ListScope::Cached,
                    "broken" => {
                        policy.list_request_failed(now);
                        return Ok(());
                    }
                    other => return Err(format!("event members: field mode is unknown: {other}")),
                };
                let sheet = self.sheets.get(&event.whole(2, "sheet")?).and_then(Value::as_array);
                let entries = event.wrong("sheet", sheet)?.iter();
                let list: Option<Vec<ReplicaListing>> = entries.map(|entry| listing(entry, zone)).collect();
                policy.replicas_listed(now, scope, &event.wrong("sheet", list)?);
            }
            "bell" => policy.timer_fired(now, event.whole(0, "name")?),
            "connected" => {
                let tables = match event.flag(3, "set")? {
                    true => ProxyTables::Empty,
                    false => ProxyTables::Retained,
                };
                policy.proxy_joined(now, event.id(0, "clientLb")?, tables);
            }
            "parted" => policy.proxy_left(now, event.id(0, "clientLb")?),
            "trafficReport" => {
                let met = EndpointReport {
                    zone: zone(event.text(2, "hall")?),
                    window: Span::ns(event.whole(0, "periodLenNs")?),
                    failed: event.number(1, "bad")?,
                    attempts: event.number(3, "many")?,
                    mean_latency: Span::ns(event.whole(4, "latencyNs")?),
                };
                policy.endpoint_reported(now, event.id(5, "replica")?, met);
            }
            "sliceLoad" => {
                let request_class = event.text(1, "category")?;
                let request_class = self.request_classes[&id].iter().position(|name| name == request_class);
                let asked = DemandReport {
                    request_class: event.wrong("category", request_class)?,
                    window: Span::ns(event.whole(4, "periodLenNs")?),
                    requests: event.number(2, "many")?,
                    failed: event.number(3, "bad")?,
                };
                policy.demand_reported(now, event.id(0, "mapId")?, asked);
            }
            "charge" if event.flag(0, "set")? => {
                let mut table = Vec::new();
                for raw in lines {
                    let line = Event::read(raw)?;
                    table.push((line.id(2, "replica")?, line.number(1, "weight")?));
                }
                policy.slice_granted(now, event.id(1, "mapId")?, &table);
            }
            "charge" => policy.slice_revoked(now, event.id(1, "mapId")?),
            "installed" => {
                let number = event.wrong("number", u16::try_from(event.whole(1, "number")?).ok())?;
                policy.ack_received(now, event.id(0, "clientLb")?, number);
            }
            "usage" | "datagram" | "pong" => {}
            "recorded" => return Err("event recorded: it follows no charge".into()),
            other => return Err(format!("event {other}: it is not known")),
        }
        Ok(())
    }
}

fn listing(entry: &Value, zone: impl Fn(&str) -> ZoneId) -> Option<ReplicaListing> {
    let replica = ReplicaId::try_from(entry.get(0)?.as_u64()?).ok()?;
    Some(ReplicaListing {
        replica,
        stable_hash: u64::from(replica),
        subset: SubsetMembership::Everyone,
        zone: zone(entry.get(1)?.as_str()?),
        machine: entry.get(2)?.as_str()?.to_string(),
        state: match entry.get(4)?.as_str()? {
            "live" => ReplicaState::Ready,
            "quiescing" => ReplicaState::Draining,
            "dead" => ReplicaState::Gone,
            _ => return None,
        },
        weight: entry.get(5).and_then(Value::as_f64).unwrap_or(1.0),
        started: entry.get(6).and_then(Value::as_u64).filter(|ns| *ns > 0).map(Moment::at_ns),
    })
}

fn encode(step: Action, all: bool) -> Value {
    match step {
        Action::SetEndpoint { slice, replica, weight } => json!(["setWeight", replica, slice, weight]),
        Action::Withdraw { replica } => json!(["takeOut", true, replica]),
        Action::Reinstate { replica } => json!(["takeOut", false, replica]),
        Action::SetAdmission { slice, request_classes, share, retries } => {
            json!(["ration", share, retries, request_classes, slice.map_or(EVERY_TABLE, u64::from)])
        }
        Action::Sync { number } => json!(["barrier", number, all]),
        Action::RequestReplicaList => json!(["keepInformed", true]),
        Action::StartTimer { token, after } => json!(["wakeAt", token, after.as_ns()]),
        Action::ReplicaEjected { replica, cause } => {
            json!(["sayLog", format!("server {replica} taken for sick: {cause}")])
        }
    }
}
