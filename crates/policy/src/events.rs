//! Applies events to the state. Decisions are made by the rules, which run afterwards.

use crate::api::{
    DemandReport, EndpointReport, ListScope, OverrideNumber, OverrideSpec, ProxyId, ProxyTables, ReplicaId,
    ReplicaListing, Report, ReportBody, ReportFlow, ReportSubject, SliceId, SubsetMembership,
};
use crate::measure::windows::RECENT_WINDOW;
use crate::rules::recovery::REPEAT_WITHDRAWAL_GRACE_SHARE;
use crate::state::admission::UNKNOWN_REDUCTION;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::replica::ListedAt;
use crate::state::routing_table::RoutingTable;
use crate::state::schedule::ROUND_PERIOD;
use crate::state::slice::Slice;
use crate::time::{Moment, Span};
use std::mem::replace;

/// Timers, the replica list and the operators' overrides.
impl ControllerState {
    pub(crate) fn record_timer(&mut self, token: u64) {
        if token == self.timer_token {
            self.deadlines.timer = None;
        }
    }

    pub(crate) fn record_list(&mut self, now: Moment, scope: ListScope, list: &[ReplicaListing]) {
        if scope != ListScope::Changes {
            self.replicas.values_mut().for_each(|replica| replica.listed = false);
        }
        let listed = ListedAt { now, warm_up: self.deployment.warm_up, is_first_list: !self.has_fresh_list };
        self.has_fresh_list |= scope != ListScope::Cached;
        for listing in list {
            self.replica_entry(listing.replica, listing.started).update_listing(listing, listed);
        }
        self.fleet_changed = true;
    }

    pub(crate) fn record_subsets(&mut self, subsets: &[(ReplicaId, SubsetMembership)]) {
        for (id, subset) in subsets {
            if let Some(replica) = self.replicas.get_mut(id) {
                replica.subset = *subset;
            }
        }
        self.fleet_changed = true;
    }

    pub(crate) fn record_overrides(&mut self, overrides: &[(OverrideNumber, OverrideSpec)]) {
        self.operator_overrides.replace(overrides);
        let out_of_service = self.operator_overrides.replicas_out_of_service();
        for (id, replica) in &mut self.replicas {
            replica.out_of_service &= out_of_service.contains(id);
            replica.weight_factor = 1.0;
        }
        self.fleet_changed = true;
        self.pending_work.overrides = true;
    }
}

/// Proxies, their acknowledgements, and slices.
impl ControllerState {
    /// Schedules the withdrawals that must be sent to the proxy again, and reinstatements of replicas that an
    /// earlier incarnation may have withdrawn. A proxy still holds what it applied before it disconnected, unless
    /// its tables are empty.
    pub(crate) fn record_proxy_joined(&mut self, now: Moment, proxy: ProxyId, tables: ProxyTables) {
        self.channel.add_proxy(proxy);
        let applied_until = self.proxies.applied_until.get(&proxy).copied();
        let is_empty = tables == ProxyTables::Empty;
        let holds_until = if is_empty { Moment::default() } else { applied_until.unwrap_or_default() };
        self.proxies.applied_until.insert(proxy, holds_until);
        let may_hold_earlier_withdrawals = self.may_have_earlier_withdrawals() && !is_empty;
        let mut missed = Vec::new();
        for (id, replica) in &self.replicas {
            let has_missed_change = applied_until.is_none_or(|until| until < replica.withdrawal_sent_at);
            let has_missed_reinstatement = replica.was_ever_withdrawn && has_missed_change;
            if replica.withdrawn && !replica.slices.is_empty() && (is_empty || has_missed_change) {
                missed.push(*id);
            } else if may_hold_earlier_withdrawals
                && !replica.withdrawn
                && (applied_until.is_none() || has_missed_reinstatement)
            {
                self.withdrawals.reinstatements.insert(*id);
            }
        }
        let repeat_at = now + self.deployment.drain_grace.times(REPEAT_WITHDRAWAL_GRACE_SHARE);
        missed.into_iter().for_each(|id| self.withdrawals.schedule(id, repeat_at));
        let reinstate_at = now + self.deployment.report_period;
        self.deadlines.reinstatement = self.deadlines.reinstatement.or(Some(reinstate_at));
    }

    pub(crate) fn record_proxy_left(&mut self, now: Moment, proxy: ProxyId) {
        self.channel.remove_proxy(proxy);
        self.proxies.last_left_at = now;
    }

    pub(crate) fn record_ack(&mut self, now: Moment, proxy: ProxyId, version: u16) {
        let sent_at = self.channel.record_ack(now, proxy, version);
        if let (Some(sent_at), Some(applied_until)) = (sent_at, self.proxies.applied_until.get_mut(&proxy)) {
            *applied_until = sent_at.max(*applied_until);
        }
    }

    /// Adds a slice that is granted. The grant resets its admission, unless this controller reduced it after the grant,
    /// before it had read of it; then the admission is sent again.
    pub(crate) fn add_slice(&mut self, now: Moment, id: SliceId, table: &[(ReplicaId, f64)]) {
        self.slices.insert(id, Slice::new(table, now));
        if self.removed_while_reduced.remove(&id) {
            self.invalidate_applied_admission(id);
        }
        self.change_table(id, |_| {});
        self.report_cold_owners(id, &[]);
        self.repeat_withdrawals_in_table(now, id);
        self.fleet_changed = true;
    }

    /// Discards what is known of these slices only if no other controller has owned them meanwhile: admission rates
    /// are reset when a slice is assigned, proxies may still use the table of the other controller, and a withdrawal
    /// that was sent meanwhile did not reach proxies on behalf of these slices.
    pub(crate) fn record_possible_reassignment(&mut self, now: Moment, ids: &[SliceId]) {
        for id in ids {
            let Some(slice) = self.slices.get_mut(id) else { continue };
            slice.exclusive_since = now;
            slice.halt_confirmed_at = None;
            if slice.applied_reduction != 0.0 {
                self.invalidate_applied_admission(*id);
            }
            self.repeat_withdrawals_in_table(now, *id);
        }
    }

    /// Schedules the withdrawals in force of replicas in a slice's table. A withdrawal is not sent to proxies while no
    /// table of this controller names the replica.
    fn repeat_withdrawals_in_table(&mut self, now: Moment, id: SliceId) {
        let Some(slice) = self.slices.get(&id) else { return };
        let is_withdrawn = |id: &ReplicaId| self.replicas.get(id).is_some_and(|replica| replica.withdrawn);
        let stays_withdrawn =
            |id: &ReplicaId| is_withdrawn(id) && !self.withdrawals.reinstatements.contains(id);
        let withdrawn: Vec<_> = slice.table.applied.keys().copied().filter(stays_withdrawn).collect();
        withdrawn.into_iter().for_each(|id| self.withdrawals.schedule(id, now));
    }

    pub(crate) fn invalidate_applied_admission(&mut self, id: SliceId) {
        if let Some(slice) = self.slices.get_mut(&id) {
            slice.applied_reduction = UNKNOWN_REDUCTION;
        }
        self.mark_pending(id, Priority::Normal);
    }

    pub(crate) fn remove_slice(&mut self, id: SliceId) {
        self.pending_slices.clear(id);
        self.change_table(id, |table| *table = RoutingTable::default());
        let removed = self.slices.remove(&id);
        if removed.is_some_and(|slice| slice.applied_reduction != 0.0) {
            self.removed_while_reduced.insert(id);
        }
    }
}

/// Load reports.
impl ControllerState {
    pub(crate) fn record_reports(&mut self, now: Moment, reports: &[Report]) {
        self.reporting.first_line_at.get_or_insert(now);
        for Report { window_end, line_count, body } in reports {
            let window = match body {
                ReportBody::Endpoint { replica, report, latest_latency } => {
                    self.record_endpoint(*window_end, *replica, report, *latest_latency);
                    report.window
                }
                ReportBody::Demand { slice, report } => {
                    self.record_demand(*window_end, *slice, report);
                    report.window
                }
            };
            if window > Span::default() {
                self.reporting.covered_seconds.add(*window_end, window.seconds() * line_count);
                self.reporting.lines.add(*window_end, *line_count);
            }
        }
    }

    fn record_endpoint(&mut self, at: Moment, id: ReplicaId, report: &EndpointReport, latest_latency: Span) {
        if let Some(replica) = self.replicas.get_mut(&id) {
            let link = (report.zone, replica.zone);
            // The delay of the link is not the replica's; without the correction a slow link would look like an
            // overloaded zone.
            let link_delay_seconds = self.links.delays.get(&link).copied().unwrap_or(0.0);
            replica.shared_load.report_window = report.window;
            replica.reports.record(at, report, latest_latency, link_delay_seconds);
            self.links.latencies.entry(link).or_default().record(at, report);
        }
    }

    fn record_demand(&mut self, at: Moment, id: SliceId, report: &DemandReport) {
        let slice_reduction = self.slices.get(&id).map_or(0.0, |slice| slice.applied_reduction);
        let reduction = slice_reduction.max(self.global_admission.applied.unwrap_or(0.0));
        let admitted = report.requests * self.admission_rate(reduction, report.request_class);
        let is_table_settled = self.slices.get(&id).is_some_and(|slice| self.is_table_settled(slice));
        if let Some(class) = self.class_outcomes.get_mut(report.request_class) {
            class.admitted.add_over(at, report.window, admitted);
            class.failed.add_over(at, report.window, report.failed);
        }
        let Some(slice) = self.slices.get_mut(&id) else { return };
        slice.admitted.add_over(at, report.window, admitted);
        slice.record_refused(at, report.window, report.requests - admitted);
        slice.failed.add_over(at, report.window, report.failed);
        // Requests are expected at a replica only once all proxies have had its endpoint in their tables for the
        // recent window.
        for (replica, share) in slice.table.request_shares().filter(|_| is_table_settled) {
            if let Some(replica) = self.replicas.get_mut(&replica) {
                replica.reports.expected.add_over(at, report.window, admitted * share);
            }
        }
    }

    /// Records the report flow. When an interruption begins or ends, the count of rounds outside the band
    /// restarts, because earlier rounds were based on outdated reports.
    pub(crate) fn record_report_flow(&mut self, now: Moment, flow: ReportFlow) {
        let previous = replace(&mut self.reporting.flow, flow);
        if previous != flow && [previous, flow].contains(&ReportFlow::Interrupted) {
            self.replicas.values_mut().for_each(|replica| replica.rounds_outside_band = 0);
            (self.pending_work.rebalancing, self.pending_work.load_shedding) = (false, false);
            self.deadlines.round = now + ROUND_PERIOD;
        }
        if matches!(flow, ReportFlow::Aggregated { .. }) {
            self.reporting.lag = self.measure_report_lag(RECENT_WINDOW);
        }
    }

    pub(crate) fn record_incomplete_report(&mut self, now: Moment, subject: ReportSubject) {
        let replicas: Vec<_> = match subject {
            ReportSubject::Replica(id) => vec![id],
            ReportSubject::Slice(id) => self
                .slices
                .get(&id)
                .map_or_else(Vec::new, |slice| slice.table.desired.keys().copied().collect()),
        };
        for id in replicas {
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.reports.incomplete_at = Some(now);
            }
        }
    }

    pub(crate) fn record_observed_since(&mut self, subject: ReportSubject, since: Moment) {
        match subject {
            ReportSubject::Replica(id) => {
                if let Some(replica) = self.replicas.get_mut(&id) {
                    replica.reports.observed_since = since;
                }
            }
            ReportSubject::Slice(id) => {
                if let Some(slice) = self.slices.get_mut(&id) {
                    slice.observed_since = since;
                }
            }
        }
    }
}
