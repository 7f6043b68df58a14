//! Encodes the policy's actions in the simulator's format.

use serde_json::{json, Value};
use whinwall_policy::api::Action;

/// The table number that stands for all tables.
const ALL_TABLES: u64 = 65535;

/// Encodes the actions of one reply, in order.
pub fn encode_all(actions: Vec<Action>) -> impl Iterator<Item = Value> {
    // A sync without other commands reaches proxies only if it is addressed to all of them.
    let sync_all = !actions.iter().any(Action::reaches_proxies);
    actions.into_iter().filter_map(move |action| encode(action, sync_all))
}

/// Returns the encoded action, or `None` if the simulator has no form for it.
fn encode(action: Action, sync_all: bool) -> Option<Value> {
    Some(match action {
        Action::SetEndpoint { slice, replica, weight } => json!(["setWeight", replica, slice, weight]),
        Action::Withdraw { replica } => json!(["takeOut", true, replica]),
        Action::Reinstate { replica } => json!(["takeOut", false, replica]),
        Action::SetAdmission { slice, request_classes, admission_rate, retries } => {
            let table = slice.map_or(ALL_TABLES, u64::from);
            json!(["ration", admission_rate, retries, request_classes, table])
        }
        Action::Sync { version } => json!(["barrier", version, sync_all]),
        Action::RequestReplicaList => json!(["keepInformed", true]),
        Action::StartTimer { token, after } => json!(["wakeAt", token, after.as_ns()]),
        // The text is part of the simulator's trace.
        Action::ReplicaEjected { replica, cause } => {
            json!(["sayLog", format!("server {replica} taken for sick: {cause}")])
        }
        Action::ColdReplicaAssigned { .. } | Action::ColdReplicaOverBudget { .. } => return None,
    })
}
