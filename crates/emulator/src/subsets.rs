//! Days with subsets: the fleet that governors are told of, and tables to begin with that keep to their subsets.

use crate::proxy::Table;
use crate::sizes::Sizes;
use crate::SliceIx;
use std::collections::BTreeMap;
use whinwall_operator_config::{GovernorMember, SubsettingConfig};
use whinwall_routing::subset::Fleet;
use whinwall_subsetting::{Assignment, Parameters, Replica};

/// Reports are chosen by replica here, never cut down to a number of bytes.
const BYTES_PER_SECOND: u64 = 27_000;

fn governor_name(at: usize) -> String {
    format!("g-{at:04}")
}

fn config(sizes: &Sizes) -> Option<SubsettingConfig> {
    let member = |at| GovernorMember { name: governor_name(at), address: None, slices: Vec::new() };
    (sizes.subset > 0).then(|| SubsettingConfig {
        subset_size: sizes.subset,
        bytes_per_second: BYTES_PER_SECOND,
        governors: (0..sizes.governors).map(member).collect(),
        aggregators: Vec::new(),
    })
}

/// The fleet as a governor's operators' file names it; none on a day without subsets.
pub fn fleet(sizes: &Sizes, governor: usize) -> Option<Fleet> {
    let config = config(sizes)?;
    Some(Fleet::new(&config, &governor_name(governor)).expect("numbered names are a valid fleet"))
}

/// A table for each slice: without subsets one replica after the other, else, slice by slice, the replica of its
/// governor's subset that has the fewest slices so far.
pub fn first_tables(sizes: &Sizes, replicas: &[String], holders: &[usize]) -> BTreeMap<SliceIx, Table> {
    let members = members(sizes, replicas);
    let mut counts = vec![0u32; replicas.len()];
    let mut tables = BTreeMap::new();
    for (slice, holder) in holders.iter().enumerate() {
        let own = members.as_ref().and_then(|members| members.get(*holder));
        let fewest = own.and_then(|own| own.iter().copied().min_by_key(|at| (counts[*at], *at)));
        let server = fewest.unwrap_or(slice % replicas.len());
        counts[server] += 1;
        tables.insert(slice, Table::from([(server, 1.0)]));
    }
    tables
}

/// By governor, the replicas that it steers while all are listed.
fn members(sizes: &Sizes, replicas: &[String]) -> Option<Vec<Vec<usize>>> {
    let membership = config(sizes)?.membership().expect("numbered names are a valid membership");
    let parameters = Parameters::new(sizes.subset).ok()?;
    let zones: Vec<_> = (0..sizes.places).map(|place| sizes.place(place)).collect();
    let listed: Vec<_> = replicas
        .iter()
        .enumerate()
        .map(|(at, id)| Replica { id, zone: &zones[at % sizes.places], group: "", weight: 1.0 })
        .collect();
    let assignment = Assignment::compute(&membership, &listed, &parameters);
    let mut members = vec![Vec::new(); sizes.governors];
    for (at, id) in replicas.iter().enumerate() {
        let steered_by = assignment.governors_of(id).iter();
        steered_by.for_each(|governor| members[*governor as usize].push(at));
    }
    Some(members)
}
