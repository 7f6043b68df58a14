//! Subsetting in scenarios: the fleet configuration of the controllers, and the initial routing tables.

use crate::config::ScenarioConfig;
use crate::proxy::RoutingTable;
use crate::{ControllerIndex, ReplicaIndex, SliceIndex};
use std::collections::BTreeMap;
use whinwall_operator_config::{ControllerMember, SubsettingConfig};
use whinwall_routing::subset::Fleet;
use whinwall_subsetting::{Assignment, Parameters, Replica};

/// The report bandwidth, which the configuration requires. It has no effect: the emulator selects reports by replica
/// and does not limit their bytes.
const BYTES_PER_SECOND: u64 = 27_000;

fn controller_name(controller: ControllerIndex) -> String {
    format!("g-{controller:04}")
}

fn subsetting_config(config: &ScenarioConfig) -> Option<SubsettingConfig> {
    let member = |controller| ControllerMember {
        name: controller_name(controller),
        address: None,
        slices: Vec::new(),
    };
    (config.subset_size > 0).then(|| SubsettingConfig {
        subset_size: config.subset_size,
        bytes_per_second: BYTES_PER_SECOND,
        controllers: (0..config.controllers).map(member).collect(),
        aggregators: Vec::new(),
    })
}

/// Returns the fleet as configured for a controller, or `None` in a scenario without subsets.
///
/// # Panics
/// Never: numbered names are a valid fleet.
pub fn fleet(config: &ScenarioConfig, controller: ControllerIndex) -> Option<Fleet> {
    let subsetting = subsetting_config(config)?;
    let fleet = Fleet::new(&subsetting, &controller_name(controller));
    Some(fleet.expect("numbered names are a valid fleet"))
}

/// Returns a routing table with one endpoint for each slice. Without subsets, replicas are assigned round-robin; with
/// subsets, a slice gets the replica with the fewest slices so far in the subset of its controller.
pub fn initial_tables(
    config: &ScenarioConfig,
    replica_names: &[String],
    slice_controllers: &[ControllerIndex],
) -> BTreeMap<SliceIndex, RoutingTable> {
    let subsets = subsets(config, replica_names);
    let mut slice_counts = vec![0u32; replica_names.len()];
    let mut tables = BTreeMap::new();
    for (slice, controller) in slice_controllers.iter().enumerate() {
        let subset = subsets.as_ref().and_then(|subsets| subsets.get(*controller));
        let least_assigned = subset.and_then(|subset| {
            subset.iter().copied().min_by_key(|replica| (slice_counts[*replica], *replica))
        });
        let replica = least_assigned.unwrap_or(slice % replica_names.len());
        slice_counts[replica] += 1;
        tables.insert(slice, RoutingTable::from([(replica, 1.0)]));
    }
    tables
}

/// Returns, by controller, the replicas that it steers while all replicas are listed, or `None` in a scenario without
/// subsets.
fn subsets(config: &ScenarioConfig, replica_names: &[String]) -> Option<Vec<Vec<ReplicaIndex>>> {
    let membership = subsetting_config(config)?.membership().expect("numbered names are a valid membership");
    let parameters = Parameters::new(config.subset_size).ok()?;
    let zones: Vec<_> = (0..config.zones).map(|zone| config.zone(zone)).collect();
    let listed: Vec<_> = replica_names
        .iter()
        .enumerate()
        .map(|(replica, id)| Replica { id, zone: &zones[replica % config.zones], group: "", weight: 1.0 })
        .collect();
    let assignment = Assignment::compute(&membership, &listed, &parameters);
    let mut subsets = vec![Vec::new(); config.controllers];
    for (replica, id) in replica_names.iter().enumerate() {
        for controller in assignment.controllers_of(id) {
            subsets[*controller as usize].push(replica);
        }
    }
    Some(subsets)
}
