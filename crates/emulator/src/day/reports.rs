//! The collectors' reports of each second, and the timeline of one replica or slice.

use super::{server_name, Day, Seen, Step, MORNING};
use crate::policy::Policy;
use crate::{ServerIx, SliceIx};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::interface::Share;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::{Asked, Message, Met};
use whinwall_routing::{Event, Reducer};

/// What an aggregator makes of the places' reports: one sum for each replica, told as of the replica's own place.
fn summed_over_places(
    met: BTreeMap<(usize, ServerIx), Seen>,
    places: usize,
) -> BTreeMap<(usize, ServerIx), Seen> {
    let mut sums: BTreeMap<(usize, ServerIx), Seen> = BTreeMap::new();
    for ((_, server), seen) in met {
        let sum = sums.entry((server % places, server)).or_default();
        sum.tries += seen.tries;
        sum.aborted += seen.aborted;
        sum.busy += seen.busy;
    }
    sums
}

/// What a report is about.
#[derive(Clone, Copy)]
enum About {
    Replica(ServerIx),
    Slice(SliceIx),
}

impl Day {
    /// Reports of slices go to the governor in charge, those of replicas to all that steer them.
    fn is_told_of(&self, about: &About, at: usize, steered: &BTreeSet<ServerIx>) -> bool {
        match about {
            About::Replica(server) => self.sizes.subset == 0 || steered.contains(server),
            About::Slice(slice) => self.is_of(*slice, at),
        }
    }

    fn steered(&self, at: usize) -> BTreeSet<ServerIx> {
        let shares = self.governors[at].reducer.as_ref().map(Reducer::shares).unwrap_or_default();
        let steered = shares.iter().filter(|(_, share)| **share != Share::Others);
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
        met: &BTreeMap<(usize, ServerIx), Seen>,
        asked: &BTreeMap<(SliceIx, usize), (f64, f64)>,
    ) {
        let Some(about) = self.about.clone() else { return };
        if let Some(server) = self.names.get(&about).copied() {
            let all = met.iter().filter(|((_, at), _)| *at == server).map(|(_, seen)| *seen);
            let sum = all.fold(Seen::default(), |sum, seen| Seen {
                tries: sum.tries + seen.tries,
                aborted: sum.aborted + seen.aborted,
                busy: sum.busy + seen.busy,
            });
            let mean = sum.busy * 1000.0 / (sum.tries - sum.aborted).max(1.0);
            let burden = self.servers[server].burden();
            self.line(&about, || {
                format!(
                    "{} tries, {} aborted, {mean:.0} ms on average, {burden} in hand",
                    sum.tries, sum.aborted
                )
            });
        } else if let Ok(slice) = about.parse::<SliceIx>() {
            let all = asked.iter().filter(|((at, _), _)| *at == slice).map(|(_, counts)| *counts);
            let (came, aborted) = all.fold((0.0, 0.0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
            let table = self.store.0.get(&slice).map(|table| {
                let lines = table.iter().map(|(server, weight)| format!("{} {weight}", server_name(*server)));
                lines.collect::<Vec<_>>().join(", ")
            });
            self.line(&about, || {
                format!("{came} came, {aborted} aborted; table {}", table.unwrap_or_default())
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
        let covers_ms = 1000.0;
        let mut messages = Vec::new();
        self.line_of_second(&met, &asked);
        let met = if self.sizes.subset > 0 { summed_over_places(met, self.sizes.places) } else { met };
        for ((place, server), seen) in met {
            let answered = (seen.tries - seen.aborted).max(1.0);
            let met = Met {
                place: self.sizes.place(place),
                server: server_name(server),
                tries: seen.tries,
                aborted: seen.aborted,
                mean_latency_ms: seen.busy * 1000.0 / answered,
                covers_ms: covers_ms * f64::from(window),
                missing: 0,
            };
            messages.push((About::Replica(server), place, Message::Met(met)));
        }
        for ((slice, kind), (came, aborted)) in asked {
            let op_type = self.sizes.kinds[kind].name.to_string();
            let asked = Asked { slice: slice as u32, op_type, came, aborted, covers_ms, missing: 0 };
            messages.push((About::Slice(slice), slice % self.sizes.places, Message::Asked(asked)));
        }
        for at in 0..self.governors.len() {
            let (life, lag) = (self.governors[at].life, Span::ms(50 + (self.chance.draw() * 200.0) as u64));
            let steered = self.steered(at);
            let mine: Vec<_> =
                messages.iter().filter(|(about, ..)| self.is_told_of(about, at, &steered)).cloned().collect();
            for (_, place, message) in mine {
                // With subsets one aggregator reports to each governor.
                let from = if self.sizes.subset > 0 { 0 } else { place as u64 };
                let event = Event::Message { from, message };
                self.after(lag, Step::To(at, life, Box::new(event)));
            }
        }
    }
}
