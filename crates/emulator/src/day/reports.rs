//! The collectors' reports of each second, and the timeline of one replica or slice.

use super::{replica_name, Day, Seen, Step, MORNING};
use crate::policy::Policy;
use crate::{ReplicaIx, SliceIx};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::api::SubsetMembership;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::{DemandReport, EndpointReport, Message};
use whinwall_routing::{Event, Reducer};

/// What an aggregator makes of the places' reports: one sum for each replica, told as of the replica's own place.
fn summed_over_zones(
    met: BTreeMap<(usize, ReplicaIx), Seen>,
    zones: usize,
) -> BTreeMap<(usize, ReplicaIx), Seen> {
    let mut sums: BTreeMap<(usize, ReplicaIx), Seen> = BTreeMap::new();
    for ((_, replica), seen) in met {
        let sum = sums.entry((replica % zones, replica)).or_default();
        sum.attempts += seen.attempts;
        sum.failed += seen.failed;
        sum.busy += seen.busy;
    }
    sums
}

/// What a report is about.
#[derive(Clone, Copy)]
enum About {
    Replica(ReplicaIx),
    Slice(SliceIx),
}

impl Day {
    /// Reports of slices go to the controller in charge, those of replicas to all that steer them.
    fn is_told_of(&self, about: &About, at: usize, steered: &BTreeSet<ReplicaIx>) -> bool {
        match about {
            About::Replica(replica) => self.sizes.subset == 0 || steered.contains(replica),
            About::Slice(slice) => self.is_of(*slice, at),
        }
    }

    fn steered(&self, at: usize) -> BTreeSet<ReplicaIx> {
        let shares =
            self.controllers[at].reducer.as_ref().map(Reducer::subset_memberships).unwrap_or_default();
        let steered = shares.iter().filter(|(_, share)| **share != SubsetMembership::Others);
        steered.filter_map(|(name, _)| self.names.get(*name).copied()).collect()
    }

    /// Notes what names whom the time-line is about.
    pub(super) fn line(&mut self, names: &str, text: impl FnOnce() -> String) {
        let Some(about) = &self.about else { return };
        if names.split(|c: char| c.is_whitespace() || ",:".contains(c)).any(|word| word == about) {
            self.told.push((self.now - (Moment::default() + MORNING), text()));
        }
    }

    /// What the one whose time-line is kept did in this second.
    pub(super) fn line_of_second(
        &mut self,
        met: &BTreeMap<(usize, ReplicaIx), Seen>,
        asked: &BTreeMap<(SliceIx, usize), (f64, f64)>,
    ) {
        let Some(about) = self.about.clone() else { return };
        if let Some(replica) = self.names.get(&about).copied() {
            let all = met.iter().filter(|((_, at), _)| *at == replica).map(|(_, seen)| *seen);
            let sum = all.fold(Seen::default(), |sum, seen| Seen {
                attempts: sum.attempts + seen.attempts,
                failed: sum.failed + seen.failed,
                busy: sum.busy + seen.busy,
            });
            let mean = sum.busy * 1000.0 / (sum.attempts - sum.failed).max(1.0);
            let burden = self.replicas[replica].burden();
            self.line(&about, || {
                format!(
                    "{} tries, {} aborted, {mean:.0} ms on average, {burden} in hand",
                    sum.attempts, sum.failed
                )
            });
        } else if let Ok(slice) = about.parse::<SliceIx>() {
            let all = asked.iter().filter(|((at, _), _)| *at == slice).map(|(_, counts)| *counts);
            let (came, failed) = all.fold((0.0, 0.0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
            let table = self.store.0.get(&slice).map(|table| {
                let lines =
                    table.iter().map(|(replica, weight)| format!("{} {weight}", replica_name(*replica)));
                lines.collect::<Vec<_>>().join(", ")
            });
            self.line(&about, || {
                format!("{came} came, {failed} aborted; table {}", table.unwrap_or_default())
            });
        }
    }

    /// What the collectors of each place have gathered in a second, a little late.
    pub(super) fn report(&mut self) {
        self.after(Span::ms(1000), Step::Report);
        let window = self.sizes.load_window.max(1);
        self.reports += 1;
        let is_due = self.reports.is_multiple_of(window);
        let met = if is_due { std::mem::take(&mut self.met) } else { BTreeMap::new() };
        let asked = std::mem::take(&mut self.asked);
        if self.policy != Policy::Governed {
            return;
        }
        let window_ms = 1000.0;
        let mut messages = Vec::new();
        self.line_of_second(&met, &asked);
        let met = if self.sizes.subset > 0 { summed_over_zones(met, self.sizes.zones) } else { met };
        for ((zone, replica), seen) in met {
            let answered = (seen.attempts - seen.failed).max(1.0);
            let met = EndpointReport {
                zone: self.sizes.zone(zone),
                replica: replica_name(replica),
                attempts: seen.attempts,
                failed: seen.failed,
                mean_latency_ms: seen.busy * 1000.0 / answered,
                window_ms: window_ms * f64::from(window),
                missing: 0,
            };
            messages.push((About::Replica(replica), zone, Message::EndpointReport(met)));
        }
        for ((slice, kind), (came, failed)) in asked {
            let request_class = self.sizes.kinds[kind].name.to_string();
            let asked = DemandReport {
                slice: slice as u32,
                request_class,
                requests: came,
                failed,
                window_ms,
                missing: 0,
            };
            messages.push((About::Slice(slice), slice % self.sizes.zones, Message::DemandReport(asked)));
        }
        for at in 0..self.controllers.len() {
            let (incarnation, lag) =
                (self.controllers[at].incarnation, Span::ms(50 + (self.random.draw() * 200.0) as u64));
            let steered = self.steered(at);
            let mine: Vec<_> =
                messages.iter().filter(|(about, ..)| self.is_told_of(about, at, &steered)).cloned().collect();
            for (_, zone, message) in mine {
                // With subsets one aggregator reports to each controller.
                let from = if self.sizes.subset > 0 { 0 } else { zone as u64 };
                let event = Event::Message { from, message };
                self.after(lag, Step::To(at, incarnation, Box::new(event)));
            }
        }
    }
}
