//! Takes what a controller is told into its records, and decides nothing.

use crate::api::*;
use crate::logic::{JUDGED_OVER, ROUND, TOLD_AGAIN};
use crate::pins::SlicePins;
use crate::state::{Policy, Priority, Slice, Wished, UNKNOWN};
use crate::time::{Moment, Span};
use std::collections::BTreeSet;

impl Policy {
    pub fn timer_fired(&mut self, now: Moment, token: u64) {
        if token == self.token {
            self.due.wake = None;
        }
        self.settle(now);
    }

    /// A proxy holds what a former life of ours withdrew, and misses what is ordered while it is away. What it
    /// applied before it left it still holds, unless it comes bare.
    pub fn proxy_joined(&mut self, now: Moment, proxy: ProxyId, tables: ProxyTables) {
        let bare = tables == ProxyTables::Empty;
        self.channel.proxies.insert(proxy);
        let applied = self.known.get(&proxy).copied();
        self.known.insert(proxy, if bare { Moment::default() } else { applied.unwrap_or_default() });
        let (mut missed, former) = (Vec::new(), self.may_stand_withdrawn());
        for (id, s) in &self.replicas {
            let lacks = applied.is_none_or(|at| at < s.turned);
            if s.shut && !s.lines.is_empty() && (bare || lacks) {
                missed.push(*id);
            } else if former && !s.shut && !bare && (applied.is_none() || (s.was_shut && lacks)) {
                self.to_lift.insert(*id);
            }
        }
        let again = now + self.site.drain_grace.times(TOLD_AGAIN);
        missed.into_iter().for_each(|id| self.withdraw_from(id, again));
        self.due.lift = self.due.lift.or(Some(now + self.site.report_period));
        self.settle(now);
    }

    /// All that operators override now, the oldest first; what is not named any more has ended. One that stands
    /// already goes on as it is.
    pub fn set_overrides(&mut self, now: Moment, wishes: &[(OverrideId, OverrideSpec)]) {
        let mut former = std::mem::take(&mut self.wishes);
        self.pins = SlicePins::default();
        for (id, wish) in wishes {
            if let OverrideSpec::Pin { first, last, replica } = *wish {
                self.pins.lay(first, last, (replica, *id));
            }
            let same = former.remove(id).filter(|known| known.wish == *wish);
            let new = || Wished { wish: *wish, heeded: OverrideStatus::Absent, stood_back: None };
            self.wishes.insert(*id, same.unwrap_or_else(new));
        }
        let outs = wishes.iter().filter_map(|(_, wish)| match wish {
            OverrideSpec::Out { replica } => Some(*replica),
            _ => None,
        });
        let outs: BTreeSet<_> = outs.collect();
        for (id, s) in &mut self.replicas {
            (s.out, s.factor) = (s.out && outs.contains(id), 1.0);
        }
        (self.alarm, self.agenda.heed) = (true, true);
        self.settle(now);
    }

    /// What has become of a override.
    pub fn override_status(&self, id: OverrideId) -> Option<OverrideStatus> {
        self.wishes.get(&id).map(|wished| wished.heeded)
    }

    pub fn proxy_left(&mut self, now: Moment, proxy: ProxyId) {
        self.channel.part(proxy);
        self.parted_at = now;
        self.settle(now);
    }

    pub fn ack_received(&mut self, now: Moment, proxy: ProxyId, version: u16) {
        let at = self.channel.acked(now, proxy, version);
        at.zip(self.known.get_mut(&proxy)).into_iter().for_each(|(at, known)| *known = at.max(*known));
        self.settle(now);
    }

    /// The news was told anew: acks that came before are told to nobody.
    pub fn acks_lost(&mut self) {
        self.channel.acks_lost = true;
    }

    /// Steps that need no way to the proxies: they can be taken while no order can be made, lest one broken
    /// way break the others (against a list lost while orders wait).
    pub fn take_background_actions(&mut self) -> Vec<Action> {
        let is_order = |step: &Action| {
            !matches!(
                step,
                Action::RequestReplicaList | Action::StartTimer { .. } | Action::ReplicaEjected { .. }
            )
        };
        let (orders, asides) = std::mem::take(&mut self.actions).into_iter().partition(is_order);
        self.actions = orders;
        asides
    }

    /// The reply with this version is ordered once more, as its outcome is not known: its lines may be in the
    /// channel twice, and its message counts again (rule 5).
    pub fn command_resent(&mut self, now: Moment, version: u16) {
        self.channel.repeat(now, version);
        self.settle(now);
    }

    pub fn endpoint_reported(&mut self, now: Moment, replica: ReplicaId, met: EndpointReport) {
        let what = ReportBody::Endpoint { replica, report: met, latest_latency: met.mean_latency };
        self.load_reported(now, &[Report { at: now, line_count: 1.0, body: what }]);
    }

    pub fn demand_reported(&mut self, now: Moment, slice: SliceId, asked: DemandReport) {
        self.load_reported(
            now,
            &[Report { at: now, line_count: 1.0, body: ReportBody::Demand { slice, report: asked } }],
        );
    }

    /// Many reports at once, each with its own time.
    pub fn load_reported(&mut self, now: Moment, reports: &[Report]) {
        for Report { at, line_count: lines, body: what } in reports {
            let covers = match what {
                ReportBody::Endpoint { replica, report: met, latest_latency: latest } => {
                    self.note_met(*at, *replica, met, *latest);
                    met.window
                }
                ReportBody::Demand { slice, report: asked } => {
                    self.note_asked(*at, *slice, asked);
                    asked.window
                }
            };
            if covers > Span::default() {
                self.covered.add(*at, covers.seconds() * lines);
                self.reports.add(*at, *lines);
            }
        }
        self.settle(now);
    }

    /// How reports come from now on. Where that was or is interrupted, rounds outside the band begin anew: those before
    /// rest on what was known then.
    pub fn set_report_flow(&mut self, now: Moment, flow: ReportFlow) {
        let former = std::mem::replace(&mut self.report_flow, flow);
        if former != flow && [former, flow].contains(&ReportFlow::Interrupted) {
            self.replicas.values_mut().for_each(|s| s.outside = 0);
            (self.agenda.shift, self.agenda.ration) = (false, false);
            self.due.round = now + ROUND;
        }
        if matches!(flow, ReportFlow::Aggregated { .. }) {
            self.behind = self.lag(JUDGED_OVER);
        }
        self.settle(now);
    }

    /// Figures on it up to now were lost on the way, or left out of a sum: no replica is judged by them.
    pub fn report_incomplete(&mut self, now: Moment, about: ReportSubject) {
        let replicas: Vec<_> = match about {
            ReportSubject::Replica(replica) => vec![replica],
            ReportSubject::Slice(slice) => {
                self.slices.get(&slice).map_or_else(Vec::new, |s| s.wanted.keys().copied().collect())
            }
        };
        for id in replicas {
            self.replicas.get_mut(&id).into_iter().for_each(|s| s.incomplete = Some(now));
        }
    }

    /// Reports on it say nothing of what was before.
    pub fn observed_since(&mut self, about: ReportSubject, since: Moment) {
        match about {
            ReportSubject::Replica(id) => _ = self.replicas.get_mut(&id).map(|s| s.observed = since),
            ReportSubject::Slice(n) => _ = self.slices.get_mut(&n).map(|s| s.observed = since),
        }
    }

    /// How many of the listed replicas that this controller steers can't be judged, as reports on them are not whole, or none
    /// have come of late.
    pub fn partly_observed_count(&self) -> usize {
        self.many(|s| s.is_ready() && s.subset != SubsetMembership::Others && !self.is_observed(s))
    }

    /// What is asked of all slices a second, as of the last survey.
    pub fn total_measured_load(&self) -> f64 {
        self.slices.values().map(|s| s.load).sum()
    }

    fn note_met(&mut self, at: Moment, replica: ReplicaId, met: &EndpointReport, latest: Span) {
        if let Some(s) = self.replicas.get_mut(&replica) {
            let way = (met.zone, s.zone);
            // What the way adds is no fault of the replica: else a slow link would look like a full site.
            s.shared.window = met.window;
            s.record(at, met, latest, self.delays.get(&way).copied().unwrap_or(0.0));
            self.links.entry(way).or_default().record(at, met);
        }
    }

    fn note_asked(&mut self, at: Moment, slice: SliceId, asked: &DemandReport) {
        let cut = self.slices.get(&slice).map_or(0.0, |s| s.cut_held).max(self.cut_told.unwrap_or(0.0));
        let let_in = asked.requests * self.level(cut, asked.request_class);
        let stands = self.slices.get(&slice).is_some_and(|s| self.has_stood(s));
        if let Some((came, failed)) = self.fates.get_mut(asked.request_class) {
            came.spread(at, asked.window, let_in);
            failed.spread(at, asked.window, asked.failed);
        }
        if let Some(s) = self.slices.get_mut(&slice) {
            s.came.spread(at, asked.window, let_in);
            s.failed.spread(at, asked.window, asked.failed);
            for (replica, part) in s.parts().filter(|_| stands) {
                if let Some(owner) = self.replicas.get_mut(&replica) {
                    owner.asked.spread(at, asked.window, let_in * part);
                }
            }
        }
    }

    pub fn slice_granted(&mut self, now: Moment, slice: SliceId, table: &[(ReplicaId, f64)]) {
        self.slice_revoked(now, slice);
        self.slices.insert(slice, Slice::new(table, now));
        self.retable(slice, |_| {});
        // Proxies that joined while no table of ours named it did not hear that it is withdrawn.
        let named = table.iter().map(|(id, _)| *id);
        let is_shut = |id: &ReplicaId| self.replicas.get(id).is_some_and(|s| s.shut);
        let shut = named.filter(|id| is_shut(id) && !self.to_lift.contains(id));
        shut.collect::<Vec<_>>().into_iter().for_each(|id| self.withdraw_from(id, now));
        self.alarm = true;
        self.settle(now);
    }

    /// It was in our charge, and its table is another than we left it: nobody knows its levels, which are told anew.
    pub fn slice_table_reread(&mut self, now: Moment, slice: SliceId, table: &[(ReplicaId, f64)]) {
        self.slice_granted(now, slice, table);
        self.slices.get_mut(&slice).into_iter().for_each(|s| s.cut_held = UNKNOWN);
        self.tell(slice, Priority::Calm);
        self.settle(now);
    }

    pub fn slice_revoked(&mut self, now: Moment, slice: SliceId) {
        self.told(slice);
        self.retable(slice, |s| (s.wanted, s.held) = Default::default());
        self.slices.remove(&slice);
        self.settle(now);
    }
}
