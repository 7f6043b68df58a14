//! Days with subsets: the fleet that controllers are told of, and tables to begin with that keep to their subsets.

use crate::proxy::Table;
use crate::sizes::Sizes;
use crate::SliceIx;
use std::collections::BTreeMap;
use whinwall_operator_config::{ControllerMember, SubsettingConfig};
use whinwall_routing::subset::Fleet;
use whinwall_subsetting::{Assignment, Parameters, Replica};

/// Reports are chosen by replica here, never cut down to a number of bytes.
const BYTES_PER_SECOND: u64 = 27_000;

fn controller_name(at: usize) -> String {
    format!("g-{at:04}")
}

fn config(sizes: &Sizes) -> Option<SubsettingConfig> {
    let member = |at| ControllerMember { name: controller_name(at), address: None, slices: Vec::new() };
    (sizes.subset > 0).then(|| SubsettingConfig {
        subset_size: sizes.subset,
        bytes_per_second: BYTES_PER_SECOND,
        controllers: (0..sizes.controllers).map(member).collect(),
        aggregators: Vec::new(),
    })
}

/// The fleet as a controller's operators' file names it; none on a day without subsets.
pub fn fleet(sizes: &Sizes, controller: usize) -> Option<Fleet> {
    let config = config(sizes)?;
    Some(Fleet::new(&config, &controller_name(controller)).expect("numbered names are a valid fleet"))
}

/// A table for each slice: without subsets one replica after the other, else, slice by slice, the replica of its
/// controller's subset that has the fewest slices so far.
pub fn first_tables(sizes: &Sizes, replicas: &[String], holders: &[usize]) -> BTreeMap<SliceIx, Table> {
    let members = members(sizes, replicas);
    let mut counts = vec![0u32; replicas.len()];
    let mut tables = BTreeMap::new();
    for (slice, holder) in holders.iter().enumerate() {
        let own = members.as_ref().and_then(|members| members.get(*holder));
        let fewest = own.and_then(|own| own.iter().copied().min_by_key(|at| (counts[*at], *at)));
        let replica = fewest.unwrap_or(slice % replicas.len());
        counts[replica] += 1;
        tables.insert(slice, Table::from([(replica, 1.0)]));
    }
    tables
}

/// By controller, the replicas that it steers while all are listed.
fn members(sizes: &Sizes, replicas: &[String]) -> Option<Vec<Vec<usize>>> {
    let membership = config(sizes)?.membership().expect("numbered names are a valid membership");
    let parameters = Parameters::new(sizes.subset).ok()?;
    let zones: Vec<_> = (0..sizes.zones).map(|zone| sizes.zone(zone)).collect();
    let listed: Vec<_> = replicas
        .iter()
        .enumerate()
        .map(|(at, id)| Replica { id, zone: &zones[at % sizes.zones], group: "", weight: 1.0 })
        .collect();
    let assignment = Assignment::compute(&membership, &listed, &parameters);
    let mut members = vec![Vec::new(); sizes.controllers];
    for (at, id) in replicas.iter().enumerate() {
        let steered_by = assignment.controllers_of(id).iter();
        steered_by.for_each(|controller| members[*controller as usize].push(at));
    }
    Some(members)
}
