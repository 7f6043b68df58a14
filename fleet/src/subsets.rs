//! Which governors steer which replicas on a day with subsets, and tables to begin with that keep to it.

use crate::proxy::Table;
use crate::sizes::Sizes;
use crate::{ServerIx, SliceIx};
use std::collections::BTreeMap;
use whinwall::interface::Share;
use whinwall_subsetting::{Assignment, Membership, Parameters, Replica};

/// The assignment of a day; without subsets every governor steers every replica.
pub struct Subsets {
    replicas: Vec<String>,
    /// By governor, the replicas that it steers and its place at each.
    members: Option<Vec<BTreeMap<ServerIx, Share>>>,
}

fn governor_name(at: usize) -> String {
    format!("g-{at:04}")
}

impl Subsets {
    /// Computes it for replicas of these names.
    pub fn new(sizes: &Sizes, replicas: &[String]) -> Self {
        let members =
            Parameters::new(sizes.subset).ok().map(|parameters| assign(sizes, replicas, &parameters));
        Subsets { replicas: replicas.to_vec(), members }
    }

    /// Whether a governor steers a replica.
    pub fn is_steered(&self, replica: ServerIx, governor: usize) -> bool {
        self.members.as_ref().is_none_or(|members| members[governor].contains_key(&replica))
    }

    /// How a governor shares each of the replicas by name; nothing without subsets.
    pub fn shares(&self, governor: usize) -> Option<BTreeMap<String, Share>> {
        let own = &self.members.as_ref()?[governor];
        let share = |at: ServerIx| own.get(&at).copied().unwrap_or(Share::Others);
        Some(self.replicas.iter().enumerate().map(|(at, id)| (id.clone(), share(at))).collect())
    }

    /// A table for each slice: without subsets one replica after the other, else, slice by slice, the replica of its
    /// governor's subset that has the fewest slices so far.
    pub fn first_tables(&self, replicas: &[String], holders: &[usize]) -> BTreeMap<SliceIx, Table> {
        let table = |server: ServerIx| Table::from([(server, 1.0)]);
        let Some(members) = &self.members else {
            return (0..holders.len()).map(|slice| (slice, table(slice % replicas.len()))).collect();
        };
        let mut counts = vec![0u32; replicas.len()];
        let mut tables = BTreeMap::new();
        for (slice, holder) in holders.iter().enumerate() {
            let fewest = members[*holder].keys().copied().min_by_key(|at| (counts[*at], *at)).unwrap_or(0);
            counts[fewest] += 1;
            tables.insert(slice, table(fewest));
        }
        tables
    }
}

fn assign(sizes: &Sizes, replicas: &[String], parameters: &Parameters) -> Vec<BTreeMap<ServerIx, Share>> {
    let membership = Membership::new((0..sizes.governors).map(governor_name));
    let membership = membership.expect("numbered names are a valid membership");
    let zones: Vec<_> = (0..sizes.places).map(|place| sizes.place(place)).collect();
    let listed: Vec<_> = replicas
        .iter()
        .enumerate()
        .map(|(at, id)| Replica { id, zone: &zones[at % sizes.places], group: "", weight: 1.0 })
        .collect();
    let assignment = Assignment::compute(&membership, &listed, parameters);
    let mut members = vec![BTreeMap::new(); sizes.governors];
    for (at, id) in replicas.iter().enumerate() {
        let governors = assignment.governors_of(id);
        for (position, governor) in governors.iter().enumerate() {
            let share = Share::Subset { governors: governors.len() as u32, position: position as u32 };
            members[*governor as usize].insert(at, share);
        }
    }
    members
}
