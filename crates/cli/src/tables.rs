//! What controllers said, as tables for people and JSON for scripts.

use crate::answers::Said;
use std::collections::BTreeMap;
use whinwall_management_api::client::ManagementAddress;
use whinwall_management_api::wire::{Item, KindName, List, Outcome, Reports, State, Subsetting};
use whinwall_overrides::text;
use whinwall_policy::time::Span;

/// One override at all controllers that answered; none where one lacks it.
pub struct Row {
    pub at: Vec<(ManagementAddress, Option<Item>)>,
}

/// Ends that lie closer together than this are one: each controller counts from when it was told.
const SAME_END_S: f64 = 15.0;

impl Row {
    fn items(&self) -> impl Iterator<Item = &Item> {
        self.at.iter().filter_map(|(_, item)| item.as_ref())
    }

    fn first(&self) -> Option<&Item> {
        self.items().next()
    }

    /// All have it, it is the same one, it stands or has ended everywhere, and ends at about the same time.
    pub fn agrees(&self) -> bool {
        let Some(first) = self.first() else { return true };
        let what = |item: &Item| {
            (
                item.kind,
                item.replica.clone(),
                item.slices.clone(),
                item.factor.map(f64::to_bits),
                item.state == "ended",
            )
        };
        self.at.iter().all(|(_, item)| {
            item.as_ref().is_some_and(|item| {
                what(item) == what(first) && (item.left_s - first.left_s).abs() < SAME_END_S
            })
        })
    }
}

/// By id, the oldest first as the first controller has them.
pub fn rows(said: &Said<List>, ended: bool) -> Vec<Row> {
    let answered: Vec<_> =
        said.iter().filter_map(|(place, said)| Some((place, said.as_ref().ok()?))).collect();
    let (mut order, mut by_id) = (Vec::new(), BTreeMap::<&str, BTreeMap<usize, &Item>>::new());
    for (n, (_, list)) in answered.iter().enumerate() {
        for item in &list.overrides {
            let at = by_id.entry(&item.id).or_insert_with(|| {
                order.push(item.id.as_str());
                BTreeMap::new()
            });
            // The newest of an id counts, where an older one of the file is still listed.
            at.insert(n, item);
        }
    }
    let row = |id: &str| Row {
        at: answered
            .iter()
            .enumerate()
            .map(|(n, (place, _))| ((*place).clone(), by_id[id].get(&n).map(|item| (*item).clone())))
            .collect(),
    };
    let shows = |row: &Row| ended || row.items().any(|item| item.state != "ended");
    order.into_iter().map(row).filter(shows).collect()
}

fn left(item: &Item) -> String {
    text::format_duration(Span::ms(1000).times(item.left_s))
}

fn what(item: &Item) -> String {
    match item.kind {
        KindName::Weight => format!("weight {} on {}", item.factor.unwrap_or(1.0), item.replica),
        KindName::Out => format!("{} out of service", item.replica),
        KindName::Pin => format!("{} pinned to {}", item.slices.as_deref().unwrap_or("?"), item.replica),
    }
}

fn state(item: &Item) -> String {
    match &item.cause {
        Some(cause) => format!("{}: {cause}", item.state),
        None => item.state.clone(),
    }
}

pub fn list(rows: &[Row], controllers: usize) -> String {
    if rows.is_empty() {
        return "no overrides\n".into();
    }
    let header = ["ID", "WHAT", "STATE", "LEFT", "ENDS", "AUTHOR", "REASON"].map(String::from);
    let mut lines = vec![header.to_vec()];
    let mut notes: Vec<(usize, String)> = Vec::new();
    for row in rows {
        let Some(item) = row.first() else { continue };
        let (left, ends) = (left(item), item.ends.clone());
        let reason = item.reason.clone();
        let line = [item.id.clone(), what(item), state(item), left, ends, item.author.clone(), reason];
        lines.push(line.to_vec());
        if controllers > 1 && !row.agrees() {
            for (place, item) in &row.at {
                let there = item.as_ref().map_or("missing".into(), |item| {
                    format!("{}, {}, ends {}", what(item), state(item), item.ends)
                });
                notes.push((lines.len() - 1, format!("  ! {place}: {there}")));
            }
        }
    }
    let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<_> = (0..header.len()).map(width).collect();
    let mut text = String::new();
    for (n, line) in lines.iter().enumerate() {
        let cells: Vec<_> = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
        for (_, note) in notes.iter().filter(|(at, _)| *at == n) {
            text.push_str(note);
            text.push('\n');
        }
    }
    text
}

pub fn json(rows: &[Row]) -> String {
    let row = |row: &Row| {
        let at = row.at.iter().map(|(place, item)| (place.to_string(), serde_json::json!(item)));
        let at: serde_json::Map<_, _> = at.collect();
        serde_json::json!({"id": row.first().map(|item| &item.id), "agrees": row.agrees(), "governors": at})
    };
    serde_json::json!({ "overrides": rows.iter().map(row).collect::<Vec<_>>() }).to_string()
}

pub fn outcome(outcome: &Outcome) -> String {
    let Outcome { outcome, kept, item } = outcome;
    let ends =
        if item.state == "ended" { String::new() } else { format!(", ends {} ({})", item.ends, left(item)) };
    let kept = match kept.as_str() {
        "on disk" => String::new(),
        "nowhere" => "; kept nowhere: it ends with the governor".into(),
        why => format!("; {why}"),
    };
    format!("{} {outcome}: {}{ends}; {}{kept}", item.id, what(item), state(item))
}

pub fn status(state: &State) -> String {
    let failing: Vec<_> = state.failing.iter().map(|f| format!("{} ({} times)", f.what, f.times)).collect();
    let failing =
        if failing.is_empty() { "nothing fails".into() } else { format!("failing: {}", failing.join(", ")) };
    let open = if state.orders_open { "; orders are open" } else { "" };
    let subsetting = state.subsetting.as_ref().map(subsetting).unwrap_or_default();
    let reports = state.reports.as_ref().map(reports).unwrap_or_default();
    format!(
        "{} {}, up {}; {} proxies, {} slices, {} servers; {} overrides stand, {} listed; {failing}{open}{subsetting}{reports}",
        state.name,
        state.version,
        text::format_duration(Span::ms(1000).times(state.up_s)),
        state.proxies,
        state.slices,
        state.replicas,
        state.overrides_standing,
        state.overrides_listed,
    )
}

fn subsetting(subsetting: &Subsetting) -> String {
    let Subsetting { controllers, aggregators, subset, own_replicas, listed_replicas, budget_bytes_per_s } =
        subsetting;
    format!(
        "; steers {own_replicas} of {listed_replicas} replicas ({subset} wished) among {controllers} governors; \
         {aggregators} aggregators may tell it {budget_bytes_per_s} bytes a second"
    )
}

fn reports(reports: &Reports) -> String {
    let age = match reports.age_s {
        Some(age) => format!("the latest report {age:.1} s old"),
        None => "no report yet".into(),
    };
    let stale = if reports.stale { ", STALE: no replica is judged" } else { "" };
    let partial = match reports.partial_replicas {
        0 => String::new(),
        some => format!(", {some} replicas reported in part"),
    };
    format!("; told {:.0} bytes a second, {age}{stale}{partial}", reports.bytes_per_s)
}
