//! Scenarios with subsets: the fleet as controllers are configured with it, and initial tables within the subsets.

use crate::config::ScenarioConfig;
use crate::proxy::RoutingTable;
use crate::{ControllerIndex, ReplicaIndex, SliceIndex};
use std::collections::BTreeMap;
use whinwall_operator_config::{ControllerMember, SubsettingConfig};
use whinwall_routing::subset::Fleet;
use whinwall_subsetting::{Assignment, Parameters, Replica};

/// Reports are chosen by replica here, never cut down to a number of bytes.
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

/// The fleet as a controller's operators' file names it; none in a scenario without subsets.
///
/// # Panics
/// Never: numbered names are a valid fleet.
pub fn fleet(config: &ScenarioConfig, controller: ControllerIndex) -> Option<Fleet> {
    let subsetting = subsetting_config(config)?;
    let fleet = Fleet::new(&subsetting, &controller_name(controller));
    Some(fleet.expect("numbered names are a valid fleet"))
}

/// A table with one endpoint for each slice. Without subsets replicas take turns; with subsets a slice gets the
/// replica of its controller's subset that has the fewest slices so far.
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
        let fewest = subset.and_then(|subset| {
            subset.iter().copied().min_by_key(|replica| (slice_counts[*replica], *replica))
        });
        let replica = fewest.unwrap_or(slice % replica_names.len());
        slice_counts[replica] += 1;
        tables.insert(slice, RoutingTable::from([(replica, 1.0)]));
    }
    tables
}

/// By controller, the replicas that it steers while all are listed; none in a scenario without subsets.
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
