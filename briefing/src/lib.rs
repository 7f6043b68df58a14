//! What a governor is told of its deployment when it starts, read from JSON under the names and units of the
//! simulator's first message. Adapter and governor share it; the decisions know no JSON.
#![forbid(unsafe_code)]

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use whinwall::deployment::{Deployment, OpType};
use whinwall::time::Span;

/// The facts for the decisions, and the names that stand behind the positions which these know.
#[derive(Clone, Debug)]
pub struct Briefing {
    pub deployment: Deployment,
    pub op_types: Vec<String>,
    pub places: Vec<String>,
}

impl<'de> Deserialize<'de> for Briefing {
    fn deserialize<D: Deserializer<'de>>(raw: D) -> Result<Self, D::Error> {
        let sheet = Sheet::deserialize(raw)?;
        // The decisions name op types by the bits of one number.
        if !(1..=64).contains(&sheet.op_types.len()) {
            return Err(D::Error::custom(format!("classes: {} op types, not 1 to 64", sheet.op_types.len())));
        }
        Ok(sheet.briefing())
    }
}

/// Reads the settings, or names the key that is missing or of the wrong kind.
pub fn read(settings: &serde_json::Value) -> Result<Briefing, String> {
    serde_path_to_error::deserialize(settings).map_err(|wrong| wrong.to_string())
}

#[derive(Deserialize)]
struct Sheet {
    #[serde(rename = "classes")]
    op_types: Vec<Row>,
    #[serde(rename = "familyInfo")]
    fleet: Fleet,
    #[serde(rename = "obligations")]
    rules: Rules,
    #[serde(rename = "membershipMode")]
    list_mode: ListMode,
    #[serde(rename = "weights", default)]
    sizes: String,
    #[serde(rename = "zones", default)]
    places: Vec<String>,
    #[serde(rename = "peersTotal", default = "alone", deserialize_with = "count")]
    governors: u32,
    #[serde(rename = "me", default, deserialize_with = "number")]
    number: Option<u32>,
}

fn alone() -> u32 {
    1
}

#[derive(Deserialize)]
struct Row {
    name: String,
    #[serde(rename = "value", deserialize_with = "figure")]
    payoff: f64,
    #[serde(rename = "targetNs", deserialize_with = "span")]
    target_latency: Span,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum ListMode {
    Push,
    Ask,
}

#[derive(Deserialize)]
struct Fleet {
    #[serde(rename = "periodNs", default, deserialize_with = "span")]
    report_period: Span,
    #[serde(rename = "levelKind", default)]
    level_kind: String,
    #[serde(rename = "partitionsN", default, deserialize_with = "count")]
    slices: u32,
    #[serde(rename = "singleWriter", default)]
    single_writer: bool,
    #[serde(rename = "tenureNs", default, deserialize_with = "span")]
    tenure: Span,
    #[serde(rename = "writeLifeNs", default, deserialize_with = "span")]
    write_life: Span,
    #[serde(rename = "fixedCost", deserialize_with = "figure")]
    message_head: f64,
    #[serde(rename = "pushRate", deserialize_with = "figure")]
    pace: f64,
    #[serde(rename = "queueCap", deserialize_with = "figure")]
    queue_cap: f64,
    #[serde(rename = "updateCap", default, deserialize_with = "figure")]
    message_cap: f64,
    #[serde(rename = "reloadSpanNs", default, deserialize_with = "span")]
    message_window: Span,
}

#[derive(Deserialize)]
struct Rules {
    #[serde(rename = "goneIsAdvice", default)]
    gone_is_advice: bool,
    #[serde(rename = "coldFrom", deserialize_with = "figure")]
    cold_share: f64,
    #[serde(rename = "warmAfterNs", deserialize_with = "span")]
    warm_after: Span,
    #[serde(rename = "fallMultiple", deserialize_with = "figure")]
    fall_multiple: f64,
    #[serde(rename = "drainGraceNs", default, deserialize_with = "span")]
    drain_grace: Span,
}

/// Whoever writes settings may write a whole number as 5 or as 5.0, and a time as a part of a nanosecond.
fn span<'de, D: Deserializer<'de>>(raw: D) -> Result<Span, D::Error> {
    // The longest that fits in a signed count, 292 years: moments and spans are added up.
    figure(raw).map(|ns| Span::ns(ns.min(i64::MAX as f64) as u64))
}

fn count<'de, D: Deserializer<'de>>(raw: D) -> Result<u32, D::Error> {
    let count = figure(raw)?;
    let whole = count.fract() == 0.0 && count <= f64::from(u32::MAX);
    whole.then_some(count as u32).ok_or_else(|| D::Error::custom(format!("{count} is no count")))
}

fn number<'de, D: Deserializer<'de>>(raw: D) -> Result<Option<u32>, D::Error> {
    count(raw).map(Some)
}

/// None of them can be below nothing.
fn figure<'de, D: Deserializer<'de>>(raw: D) -> Result<f64, D::Error> {
    let figure = f64::deserialize(raw)?;
    let sane = (figure >= 0.0).then_some(figure);
    sane.ok_or_else(|| D::Error::custom(format!("{figure} is below 0")))
}

impl Sheet {
    fn briefing(self) -> Briefing {
        let Sheet { fleet, rules, .. } = self;
        let op_type = |row: &Row| OpType { payoff: row.payoff, target_latency: row.target_latency };
        let deployment = Deployment {
            op_types: self.op_types.iter().map(op_type).collect(),
            report_period: fleet.report_period,
            gone_is_advice: rules.gone_is_advice,
            list_pushed: self.list_mode == ListMode::Push,
            sizes_known: matches!(self.sizes.as_str(), "nominal" | "rough"),
            levels_followed: fleet.level_kind == "fraction",
            governors: self.governors,
            // One that is not told its number among several has no lot in what they share out by draws.
            number: self.number.unwrap_or(if self.governors > 1 { u32::MAX } else { 0 }),
            slices: fleet.slices,
            single_writer: fleet.single_writer,
            tenure: fleet.tenure,
            write_life: fleet.write_life,
            cold_share: rules.cold_share,
            warm_after: rules.warm_after,
            fall_multiple: rules.fall_multiple,
            drain_grace: rules.drain_grace,
            message_head: fleet.message_head,
            pace: fleet.pace,
            queue_cap: fleet.queue_cap,
            message_cap: fleet.message_cap as u32,
            message_window: fleet.message_window,
        };
        let op_types = self.op_types.into_iter().map(|row| row.name).collect();
        Briefing { deployment, op_types, places: self.places }
    }
}
