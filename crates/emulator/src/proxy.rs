//! A proxy does as its tables say: lets in what the levels let in, picks by weight, avoids a replica that
//! fails it again and again, and tries once more where it may.

use crate::{ReplicaIx, SliceIx};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use whinwall_policy::random::Random;
use whinwall_policy::time::{Moment, Span};

/// An order as a proxy obeys it.
#[derive(Clone, Debug, PartialEq)]
pub enum Obeyed {
    Line { slice: SliceIx, replica: ReplicaIx, weight: f64 },
    Withdraw { replica: ReplicaIx, out: bool },
    Level { slice: Option<SliceIx>, kinds: Vec<usize>, share: f64, retries: u8 },
}

pub type Table = BTreeMap<ReplicaIx, f64>;

/// Failures in a row after which a replica is avoided, and for how long.
const FAILURES: u32 = 5;
const AVOIDED: Span = Span::ms(3000);

#[derive(Clone, Default)]
pub struct Proxy {
    pub joined: bool,
    /// Controllers that it has no stream to though it is joined, and when the streams that it has came up.
    pub away: BTreeSet<usize>,
    pub since: BTreeMap<usize, Moment>,
    /// Shared until it changes: thousands of proxies hold the same.
    tables: BTreeMap<SliceIx, Arc<Table>>,
    /// Whose slices go to whom no more: a withdrawal holds for the slices of who ordered it.
    shut: BTreeSet<(usize, ReplicaIx)>,
    /// By slice, or for all: by kind what is let in, and further tries.
    levels: BTreeMap<(Option<SliceIx>, usize), f64>,
    retries: BTreeMap<Option<SliceIx>, u8>,
    failures: BTreeMap<ReplicaIx, (u32, Moment)>,
}

impl Proxy {
    /// Reads the store, as it does when it joins.
    pub fn reads(&mut self, tables: &BTreeMap<SliceIx, Arc<Table>>) {
        self.tables = tables.clone();
    }

    pub fn given(&mut self, slice: SliceIx, table: &Arc<Table>) {
        self.tables.insert(slice, table.clone());
    }

    pub fn has_stream(&self, controller: usize) -> bool {
        self.joined && !self.away.contains(&controller)
    }

    pub fn obey(&mut self, controller: usize, order: &Obeyed) {
        match order {
            Obeyed::Line { slice, replica, weight } => {
                let table = Arc::make_mut(self.tables.entry(*slice).or_default());
                match *weight > 0.0 {
                    true => _ = table.insert(*replica, *weight),
                    false => _ = table.remove(replica),
                }
            }
            Obeyed::Withdraw { replica, out: true } => _ = self.shut.insert((controller, *replica)),
            Obeyed::Withdraw { replica, out: false } => _ = self.shut.remove(&(controller, *replica)),
            Obeyed::Level { slice, kinds, share, retries } => {
                kinds.iter().for_each(|kind| _ = self.levels.insert((*slice, *kind), *share));
                self.retries.insert(*slice, *retries);
            }
        }
    }

    /// What of a table can be picked, by the withdrawals of the controller whose slice it is.
    pub fn open(&self, slice: SliceIx, of: usize) -> impl Iterator<Item = (ReplicaIx, f64)> + '_ {
        let lines = self.tables.get(&slice).into_iter().flat_map(|table| table.iter());
        lines
            .filter(move |(replica, _)| !self.shut.contains(&(of, **replica)))
            .map(|(replica, weight)| (*replica, *weight))
    }

    pub fn is_bare(&self, slice: SliceIx, of: usize) -> bool {
        self.open(slice, of).next().is_none()
    }

    pub fn lets_in(&self, slice: SliceIx, kind: usize, random: &mut Random) -> bool {
        let level = |at| self.levels.get(&(at, kind)).copied().unwrap_or(1.0);
        random.draw() < level(Some(slice)).min(level(None))
    }

    /// How often it tries again after proof that the first did not run.
    pub fn retries(&self, slice: SliceIx) -> u8 {
        let said = [self.retries.get(&Some(slice)), self.retries.get(&None)];
        said.into_iter().flatten().min().copied().unwrap_or(1)
    }

    /// By weight; one that fails it only where there is no other, and one that it tried already never.
    pub fn pick(
        &self,
        now: Moment,
        (slice, of): (SliceIx, usize),
        tried: Option<ReplicaIx>,
        random: &mut Random,
    ) -> Option<ReplicaIx> {
        let avoided = |replica: &ReplicaIx| {
            self.failures.get(replica).is_some_and(|(many, until)| *many >= FAILURES && *until > now)
        };
        let open: Vec<_> = self.open(slice, of).filter(|(replica, _)| Some(*replica) != tried).collect();
        let good: Vec<_> = open.iter().copied().filter(|(replica, _)| !avoided(replica)).collect();
        let from = if good.is_empty() { open } else { good };
        let whole: f64 = from.iter().map(|(_, weight)| weight).sum();
        let mut left = random.draw() * whole;
        let hit = from.iter().find(|(_, weight)| {
            left -= weight;
            left < 0.0
        });
        hit.or(from.last()).map(|(replica, _)| *replica)
    }

    pub fn met(&mut self, now: Moment, replica: ReplicaIx, well: bool) {
        let (many, until) = self.failures.entry(replica).or_insert((0, now));
        (*many, *until) = if well { (0, now) } else { (*many + 1, now + AVOIDED) };
    }
}
