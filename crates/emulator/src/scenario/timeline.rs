//! The time-line of one replica or slice.

use super::counters::{DemandCounts, DemandCountsBySlice, EndpointCounts, EndpointCountsByZone};
use super::state::{replica_name, Scenario};
use crate::{ReplicaIndex, SliceIndex};
use whinwall_policy::time::Span;

/// One line of a time-line.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// When it happened, from the beginning of the scenario.
    pub at: Span,
    /// What happened.
    pub text: String,
}

impl Scenario {
    /// Adds an entry if the time-line's subject is one of the words of `names`.
    pub(super) fn record_in_timeline(&mut self, names: &str, text: impl FnOnce() -> String) {
        let Some(subject) = &self.timeline_subject else { return };
        let mut words = names.split(|letter: char| letter.is_whitespace() || ",:=".contains(letter));
        if words.any(|word| word == subject) {
            self.timeline.push(TimelineEntry { at: Scenario::since_begin(self.now), text: text() });
        }
    }

    /// Adds an entry of what the subject did in this second.
    pub(super) fn record_second(&mut self, endpoints: &EndpointCountsByZone, demand: &DemandCountsBySlice) {
        let Some(subject) = self.timeline_subject.clone() else { return };
        let text = if let Some(replica) = self.replicas_by_name.get(&subject).copied() {
            self.replica_second(replica, endpoints)
        } else if let Ok(slice) = subject.parse::<SliceIndex>() {
            self.slice_second(slice, demand)
        } else {
            return;
        };
        self.record_in_timeline(&subject, || text);
    }

    fn replica_second(&self, replica: ReplicaIndex, endpoints: &EndpointCountsByZone) -> String {
        let mut sum = EndpointCounts::default();
        let zones = endpoints.iter().filter(|((_, counted), _)| *counted == replica);
        zones.for_each(|(_, counts)| sum.add(counts));
        let EndpointCounts { attempts, failed, latency_seconds } = sum;
        let mean_ms = latency_seconds * 1000.0 / (attempts - failed).max(1.0);
        let outstanding = self.replicas[replica].outstanding_work();
        format!("{attempts} tries, {failed} aborted, {mean_ms:.0} ms on average, {outstanding} in hand")
    }

    fn slice_second(&self, slice: SliceIndex, demand: &DemandCountsBySlice) -> String {
        let mut sum = DemandCounts::default();
        for (_, counts) in demand.iter().filter(|((counted, _), _)| *counted == slice) {
            sum.requests += counts.requests;
            sum.failed += counts.failed;
        }
        let table = self.store.0.get(&slice).map(|table| {
            let endpoint =
                |(replica, weight): (&ReplicaIndex, &f64)| format!("{} {weight}", replica_name(*replica));
            table.iter().map(endpoint).collect::<Vec<_>>().join(", ")
        });
        let table = table.unwrap_or_default();
        format!("{} came, {} aborted; table {table}", sum.requests, sum.failed)
    }
}
