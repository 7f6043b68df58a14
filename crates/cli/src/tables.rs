//! Formats the replies of controllers as text for people and as JSON for scripts.

use crate::replies::Replies;
use std::collections::BTreeMap;
use whinwall_management_api::client::ManagementAddress;
use whinwall_management_api::wire::{
    ChangeOutcome, ControllerState, KindName, OverrideItem, OverrideList, ReportState, SubsettingState,
};
use whinwall_overrides::text::format_duration;
use whinwall_policy::time::Span;

/// Expiry times that differ by less than this are treated as equal. They differ between controllers because each one
/// counts the duration from the time at which it received the request.
const SAME_EXPIRY_TOLERANCE_S: f64 = 15.0;
const COLUMN_HEADERS: [&str; 7] = ["ID", "WHAT", "STATE", "LEFT", "ENDS", "AUTHOR", "REASON"];
const COLUMN_SEPARATOR: &str = "  ";
/// The state of an override that has ended.
const ENDED_STATE: &str = "ended";

/// The format in which replies are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people.
    Table,
    /// JSON for scripts.
    Json,
}

/// The selection of overrides to list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Overrides that are active at one controller at least.
    Active,
    /// All overrides that a controller lists, including ended ones.
    All,
}

/// An override as one controller lists it.
pub struct ControllerItem {
    /// The controller's address.
    pub address: ManagementAddress,
    /// The override; `None` if the controller does not list it.
    pub item: Option<OverrideItem>,
}

/// One override as all controllers that replied list it.
pub struct OverrideRow {
    /// The override at each controller, in the order of the command line.
    pub controllers: Vec<ControllerItem>,
}

impl OverrideRow {
    fn items(&self) -> impl Iterator<Item = &OverrideItem> {
        self.controllers.iter().filter_map(|controller| controller.item.as_ref())
    }

    fn first_item(&self) -> Option<&OverrideItem> {
        self.items().next()
    }

    /// Returns true if all controllers list the same override, either active at all of them or ended at all of them,
    /// with expiry times that differ by less than 15 s.
    pub fn agrees(&self) -> bool {
        let Some(first) = self.first_item() else { return true };
        self.controllers
            .iter()
            .all(|controller| controller.item.as_ref().is_some_and(|item| is_same_override(item, first)))
    }
}

fn is_same_override(item: &OverrideItem, other: &OverrideItem) -> bool {
    let factor_bits = |item: &OverrideItem| item.factor.map(f64::to_bits);
    let has_ended = |item: &OverrideItem| item.state == ENDED_STATE;
    item.kind == other.kind
        && item.replica == other.replica
        && item.slices == other.slices
        && factor_bits(item) == factor_bits(other)
        && has_ended(item) == has_ended(other)
        && (item.remaining_s - other.remaining_s).abs() < SAME_EXPIRY_TOLERANCE_S
}

/// Groups the overrides of all controllers by id, in the order in which the controllers list them.
pub fn collect_rows(replies: &Replies<OverrideList>, listing: Listing) -> Vec<OverrideRow> {
    let lists: Vec<(&ManagementAddress, &OverrideList)> = replies.successes().collect();
    let mut ids = Vec::new();
    let mut items_by_id: BTreeMap<&str, BTreeMap<usize, &OverrideItem>> = BTreeMap::new();
    for (controller, (_, list)) in lists.iter().enumerate() {
        for item in &list.overrides {
            let items = items_by_id.entry(&item.id).or_insert_with(|| {
                ids.push(item.id.as_str());
                BTreeMap::new()
            });
            // A controller may list earlier overrides with the same id. The latest is last and replaces them here.
            items.insert(controller, item);
        }
    }
    let row = |id: &str| {
        let items = &items_by_id[id];
        let controller = |(index, (address, _)): (usize, &(&ManagementAddress, _))| ControllerItem {
            address: (*address).clone(),
            item: items.get(&index).map(|item| (*item).clone()),
        };
        OverrideRow { controllers: lists.iter().enumerate().map(controller).collect() }
    };
    let is_listed = |row: &OverrideRow| match listing {
        Listing::All => true,
        Listing::Active => row.items().any(|item| item.state != ENDED_STATE),
    };
    ids.into_iter().map(row).filter(is_listed).collect()
}

fn describe_remaining_time(item: &OverrideItem) -> String {
    format_duration(Span::ms(1000).times(item.remaining_s))
}

fn describe_effect(item: &OverrideItem) -> String {
    match item.kind {
        KindName::Weight => format!("weight {} on {}", item.factor.unwrap_or(1.0), item.replica),
        KindName::Out => format!("{} out of service", item.replica),
        KindName::Pin => format!("{} pinned to {}", item.slices.as_deref().unwrap_or("?"), item.replica),
    }
}

fn describe_state(item: &OverrideItem) -> String {
    match &item.cause {
        Some(cause) => format!("{}: {cause}", item.state),
        None => item.state.clone(),
    }
}

/// One line of the table, and the notes that follow it.
struct TableLine {
    cells: [String; COLUMN_HEADERS.len()],
    notes: Vec<String>,
}

impl TableLine {
    fn new(row: &OverrideRow, controller_count: usize) -> Option<Self> {
        let item = row.first_item()?;
        let cells = [
            item.id.clone(),
            describe_effect(item),
            describe_state(item),
            describe_remaining_time(item),
            item.expires_at.clone(),
            item.author.clone(),
            item.reason.clone(),
        ];
        let has_notes = controller_count > 1 && !row.agrees();
        let notes = if has_notes { row.controllers.iter().map(format_note).collect() } else { Vec::new() };
        Some(TableLine { cells, notes })
    }
}

/// Formats what one controller lists, for an override on which controllers disagree.
fn format_note(ControllerItem { address, item }: &ControllerItem) -> String {
    match item {
        Some(item) => {
            let (effect, state) = (describe_effect(item), describe_state(item));
            format!("  ! {address}: {effect}, {state}, ends {}", item.expires_at)
        }
        None => format!("  ! {address}: missing"),
    }
}

/// Formats the table of overrides. `controller_count` is the number of controllers that were called.
pub fn format_rows(rows: &[OverrideRow], controller_count: usize) -> String {
    if rows.is_empty() {
        return "no overrides\n".into();
    }
    let mut lines = vec![TableLine { cells: COLUMN_HEADERS.map(String::from), notes: Vec::new() }];
    lines.extend(rows.iter().filter_map(|row| TableLine::new(row, controller_count)));
    let width = |column: usize| {
        let lengths = lines.iter().map(|line| line.cells[column].chars().count());
        lengths.max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..COLUMN_HEADERS.len()).map(width).collect();
    let mut text = String::new();
    for TableLine { cells, notes } in &lines {
        let padded: Vec<_> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        text.push_str(padded.join(COLUMN_SEPARATOR).trim_end());
        text.push('\n');
        for note in notes {
            text.push_str(note);
            text.push('\n');
        }
    }
    text
}

/// Formats the overrides as JSON, with the item of each controller.
pub fn format_rows_as_json(rows: &[OverrideRow]) -> String {
    let row = |row: &OverrideRow| {
        let items = row.controllers.iter();
        let items: serde_json::Map<_, _> = items
            .map(|controller| (controller.address.to_string(), serde_json::json!(controller.item)))
            .collect();
        serde_json::json!({
            "id": row.first_item().map(|item| &item.id),
            "agrees": row.agrees(),
            "governors": items,
        })
    };
    serde_json::json!({ "overrides": rows.iter().map(row).collect::<Vec<_>>() }).to_string()
}

/// Formats the outcome of a change as one line.
pub fn format_outcome(outcome: &ChangeOutcome) -> String {
    let ChangeOutcome { outcome, durability, item } = outcome;
    let expiry = if item.state == ENDED_STATE {
        String::new()
    } else {
        format!(", ends {} ({})", item.expires_at, describe_remaining_time(item))
    };
    let durability = match durability.as_str() {
        "on disk" => String::new(),
        "nowhere" => "; in memory only: lost when the controller stops".into(),
        reason => format!("; {reason}"),
    };
    let (effect, state) = (describe_effect(item), describe_state(item));
    format!("{} {outcome}: {effect}{expiry}; {state}{durability}", item.id)
}

/// Formats the status of a controller as one line.
pub fn format_status(state: &ControllerState) -> String {
    let ControllerState { name, version, proxies, slices, replicas, .. } = state;
    let ControllerState { active_overrides, listed_overrides, .. } = state;
    let uptime = format_duration(Span::ms(1000).times(state.uptime_s));
    let failures = describe_failures(state);
    let outstanding_commands =
        if state.has_outstanding_commands { "; commands to the relay outstanding" } else { "" };
    let subsetting = state.subsetting.as_ref().map(describe_subsetting).unwrap_or_default();
    let reports = state.reports.as_ref().map(describe_reports).unwrap_or_default();
    format!(
        "{name} {version}, up {uptime}; {proxies} proxies, {slices} slices, {replicas} replicas; \
         {active_overrides} active overrides, {listed_overrides} listed; \
         {failures}{outstanding_commands}{subsetting}{reports}"
    )
}

fn describe_failures(state: &ControllerState) -> String {
    if state.failures.is_empty() {
        return "no failures".into();
    }
    let failures = state.failures.iter();
    let failures: Vec<_> =
        failures.map(|failure| format!("{} ({} times in a row)", failure.source, failure.count)).collect();
    format!("failing: {}", failures.join(", "))
}

fn describe_subsetting(subsetting: &SubsettingState) -> String {
    let SubsettingState { controllers, aggregators, subset_size, .. } = subsetting;
    let SubsettingState { own_replicas, listed_replicas, report_budget_bytes_per_second, .. } = subsetting;
    format!(
        "; steers {own_replicas} of {listed_replicas} replicas (subset size {subset_size}) in a fleet of {controllers} \
         controllers; {aggregators} aggregators, report budget {report_budget_bytes_per_second} bytes/s"
    )
}

fn describe_reports(reports: &ReportState) -> String {
    let age = match reports.age_s {
        Some(age_s) => format!("latest report {age_s:.1} s old"),
        None => "no report yet".into(),
    };
    let stale = if reports.stale { ", STALE: outlier ejection paused" } else { "" };
    let partial = match reports.partial_replicas {
        0 => String::new(),
        count => format!(", {count} replicas with partial reports"),
    };
    format!("; receives {:.0} bytes/s of reports, {age}{stale}{partial}", reports.bytes_per_second)
}
