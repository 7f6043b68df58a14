//! One batch in, one reply out.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use whinwall_policy::interface::*;
use whinwall_policy::logic::Governor;
use whinwall_policy::time::{Moment, Span};

/// The wire's table number that stands for all tables.
const EVERY_TABLE: u64 = 65535;

#[derive(Default)]
pub struct Host {
    governors: BTreeMap<u64, Governor>,
    /// The names of each instance's op types and places, in order: the decisions know their positions only.
    op_types: BTreeMap<u64, Vec<String>>,
    places: BTreeMap<u64, Vec<String>>,
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
            if let Some(governor) = self.governors.get_mut(&id) {
                let steps = governor.collect(now);
                // A mark by itself reaches nobody, unless all are asked.
                let all = !steps.iter().any(Step::reaches_proxies);
                output.extend(steps.into_iter().map(|step| encode(step, all)));
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
            // The lines of a table handed over belong to the hand-over: the governor gets both as one call.
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
                        self.op_types.insert(id, settings.request_classes);
                        self.places.insert(id, settings.zones);
                        self.governors.insert(id, Governor::start(settings.deployment, seed, now));
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
                self.governors.remove(&id);
                return Ok(());
            }
            _ => {}
        }
        let Some(governor) = self.governors.get_mut(&id) else {
            return Err(format!("event {}: this instance has not been started", event.name));
        };
        let places = &self.places[&id];
        let place = |name: &str| places.iter().position(|known| known == name).unwrap_or(PlaceId::MAX);
        match event.name {
            "members" => {
                let scope = match event.text(0, "mode")? {
                    "patch" => ListScope::Changes,
                    "whole" => ListScope::Whole,
                    "stale_copy" => ListScope::Remembered,
                    "broken" => {
                        governor.list_failed(now);
                        return Ok(());
                    }
                    other => return Err(format!("event members: field mode is unknown: {other}")),
                };
                let sheet = self.sheets.get(&event.whole(2, "sheet")?).and_then(Value::as_array);
                let entries = event.wrong("sheet", sheet)?.iter();
                let list: Option<Vec<Listing>> = entries.map(|entry| listing(entry, place)).collect();
                governor.listed(now, scope, &event.wrong("sheet", list)?);
            }
            "bell" => governor.woken(now, event.whole(0, "name")?),
            "connected" => {
                governor.proxy_joined(now, event.id(0, "clientLb")?, event.flag(3, "set")?);
            }
            "parted" => governor.proxy_left(now, event.id(0, "clientLb")?),
            "trafficReport" => {
                let met = Met {
                    place: place(event.text(2, "hall")?),
                    covers: Span::ns(event.whole(0, "periodLenNs")?),
                    aborted: event.number(1, "bad")?,
                    tries: event.number(3, "many")?,
                    mean_latency: Span::ns(event.whole(4, "latencyNs")?),
                };
                governor.met(now, event.id(5, "replica")?, met);
            }
            "sliceLoad" => {
                let op_type = event.text(1, "category")?;
                let op_type = self.op_types[&id].iter().position(|name| name == op_type);
                let asked = Asked {
                    op_type: event.wrong("category", op_type)?,
                    covers: Span::ns(event.whole(4, "periodLenNs")?),
                    came: event.number(2, "many")?,
                    aborted: event.number(3, "bad")?,
                };
                governor.asked(now, event.id(0, "mapId")?, asked);
            }
            "charge" if event.flag(0, "set")? => {
                let mut table = Vec::new();
                for raw in lines {
                    let line = Event::read(raw)?;
                    table.push((line.id(2, "replica")?, line.number(1, "weight")?));
                }
                governor.slice_given(now, event.id(1, "mapId")?, &table);
            }
            "charge" => governor.slice_taken(now, event.id(1, "mapId")?),
            "installed" => {
                let number = event.wrong("number", u16::try_from(event.whole(1, "number")?).ok())?;
                governor.applied(now, event.id(0, "clientLb")?, number);
            }
            "usage" | "datagram" | "pong" => {}
            "recorded" => return Err("event recorded: it follows no charge".into()),
            other => return Err(format!("event {other}: it is not known")),
        }
        Ok(())
    }
}

fn listing(entry: &Value, place: impl Fn(&str) -> PlaceId) -> Option<Listing> {
    let server = ServerId::try_from(entry.get(0)?.as_u64()?).ok()?;
    Some(Listing {
        server,
        lot: u64::from(server),
        share: Share::Everyone,
        place: place(entry.get(1)?.as_str()?),
        machine: entry.get(2)?.as_str()?.to_string(),
        standing: match entry.get(4)?.as_str()? {
            "live" => Standing::Ready,
            "quiescing" => Standing::Draining,
            "dead" => Standing::Gone,
            _ => return None,
        },
        size: entry.get(5).and_then(Value::as_f64).unwrap_or(1.0),
        started: entry.get(6).and_then(Value::as_u64).filter(|ns| *ns > 0).map(Moment::at_ns),
    })
}

fn encode(step: Step, all: bool) -> Value {
    match step {
        Step::Line { slice, server, weight } => json!(["setWeight", server, slice, weight]),
        Step::Withdraw { server, out } => json!(["takeOut", out, server]),
        Step::Level { slice, op_types, share, tries } => {
            json!(["ration", share, tries, op_types, slice.map_or(EVERY_TABLE, u64::from)])
        }
        Step::Mark { number } => json!(["barrier", number, all]),
        Step::FollowList => json!(["keepInformed", true]),
        Step::Wake { token, after } => json!(["wakeAt", token, after.as_ns()]),
        Step::Sick { server, cause } => json!(["sayLog", format!("server {server} taken for sick: {cause}")]),
    }
}
