//! The timeline of one replica or slice.

use super::counters::{DemandCounts, DemandCountsBySlice, EndpointCounts, EndpointCountsByZone};
use super::state::{replica_name, Scenario};
use crate::{ReplicaIndex, SliceIndex};
use whinwall_policy::time::Span;

/// An entry of a timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// The time of the entry, from the start of the scenario.
    pub at: Span,
    /// The description of the event.
    pub text: String,
}

impl Scenario {
    /// Adds an entry if the subject of the timeline is one of the words of `names`.
    pub(super) fn record_in_timeline(&mut self, names: &str, text: impl FnOnce() -> String) {
        let Some(subject) = &self.timeline_subject else { return };
        let mut words = names.split(|letter: char| letter.is_whitespace() || ",:=".contains(letter));
        if words.any(|word| word == subject) {
            self.timeline.push(TimelineEntry { at: Scenario::since_start(self.now), text: text() });
        }
    }

    /// Adds an entry with the counts of the subject for this second.
    pub(super) fn record_counts(&mut self, endpoints: &EndpointCountsByZone, demand: &DemandCountsBySlice) {
        let Some(subject) = self.timeline_subject.clone() else { return };
        let text = if let Some(replica) = self.replicas_by_name.get(&subject).copied() {
            self.describe_replica_counts(replica, endpoints)
        } else if let Ok(slice) = subject.parse::<SliceIndex>() {
            self.describe_slice_counts(slice, demand)
        } else {
            return;
        };
        self.record_in_timeline(&subject, || text);
    }

    fn describe_replica_counts(&self, replica: ReplicaIndex, endpoints: &EndpointCountsByZone) -> String {
        let mut sum = EndpointCounts::default();
        let counts_by_zone = endpoints.iter().filter(|((_, counted), _)| *counted == replica);
        counts_by_zone.for_each(|(_, counts)| sum.add(counts));
        let EndpointCounts { attempts, failed, latency_seconds } = sum;
        let mean_ms = latency_seconds * 1000.0 / (attempts - failed).max(1.0);
        let outstanding = self.replicas[replica].outstanding_work();
        format!(
            "{attempts} attempts, {failed} failed, mean latency {mean_ms:.0} ms, {outstanding} outstanding"
        )
    }

    fn describe_slice_counts(&self, slice: SliceIndex, demand: &DemandCountsBySlice) -> String {
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
        format!("{} requests, {} failed; table {table}", sum.requests, sum.failed)
    }
}
