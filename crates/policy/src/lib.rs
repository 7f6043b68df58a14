//! The decisions of a proxy fleet controller: state, measures and rules, without I/O or clock.
//!
//! Usage: call [`Policy::start`], then one method for each event of a batch, then [`Policy::collect_actions`],
//! which returns the actions of the reply in order. The types of the calls are in [`api`], the facts given at
//! start-up in [`deployment`].
//!
//! After every call the rules in `RULES` are run in order until none acts. Work that covers the whole fleet is
//! done once per tick, so that a report line is cheap to process. The rules change each routing table as it should
//! be (desired); only `dispatch` sends commands, and only for the difference to what the proxies were sent
//! (applied).
//!
//! Modules; each uses only the ones above it:
//!
//! | module | content |
//! | --- | --- |
//! | [`time`], [`random`], [`windowed_counter`], [`api`], [`deployment`], [`claims`] | types without decisions |
//! | `state` | what a controller stores; each struct maintains its own invariants |
//! | `measure` | values computed from the state: load estimates, averages, slow-start budgets, rankings |
//! | `rules` | decisions based on state and measures |
//! | `dispatch` | commands for the difference between desired and applied tables |
//! | `events` | application of events to the state |
//!
//! Regular rebalancing is DDMC (docs/design.md): load estimates are refreshed, a rebalancing round is opened,
//! slices are moved. Operators' overrides are applied before it. Six further mechanisms run beside it:
//!
//! 1. *Outlier ejection*: a replica that receives requests and answers none, or that fails quickly, is ejected
//!    temporarily.
//! 2. *Evacuation*: slices are moved away from replicas that are gone, draining or ejected, which are then
//!    withdrawn from all tables, and from overloaded replicas that are warming up.
//! 3. *Replication*: each slice has a standby endpoint for retries. A slice that is too hot for its replica gets
//!    additional owners, which are removed when it cools down.
//! 4. *Load shedding*: where one owner, or the whole fleet, answers late, retries are stopped first, then
//!    admission rates are reduced by priority weight.
//! 5. *Rate limiting*: urgent commands are sent first. Unacknowledged lines stay below the queue's capacity,
//!    messages below their limit.
//! 6. *Recovery*: the replica list is requested again after a failure; withdrawals of earlier incarnations are
//!    ended.

#![warn(clippy::unwrap_used)]

pub mod api;
pub mod claims;
pub mod deployment;
mod dispatch;
mod events;
mod measure;
pub mod random;
mod rules;
mod state;
pub mod time;
pub mod windowed_counter;

use crate::api::{
    Action, ChannelLoad, DemandReport, EndpointReport, ListScope, ListedState, OverrideNumber, OverrideSpec,
    OverrideStatus, ProxyId, ProxyTables, ReplicaId, ReplicaListing, Report, ReportBody, ReportFlow,
    ReportSubject, SliceId, SubsetMembership,
};
use crate::deployment::Deployment;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::Moment;

/// A rule changes the state if its condition holds, and returns true if it acted.
type Rule = fn(&mut ControllerState) -> bool;

/// All rules in order of precedence: after a rule has acted, evaluation restarts at the first rule.
const RULES: [Rule; 17] = [
    ControllerState::request_list,
    ControllerState::send_withdrawals,
    ControllerState::send_global_admission,
    ControllerState::finish_versions,
    ControllerState::start_tick,
    ControllerState::refresh_load_estimates,
    ControllerState::eject_outliers,
    ControllerState::apply_overrides,
    ControllerState::evacuate,
    ControllerState::replicate_hot_slices,
    ControllerState::consolidate_cooled_slices,
    ControllerState::add_standbys,
    ControllerState::open_round,
    ControllerState::shed_load,
    ControllerState::rebalance,
    ControllerState::dispatch,
    ControllerState::start_timer,
];

/// The decisions of one controller. The same calls in the same order give the same actions.
pub struct Policy {
    state: ControllerState,
}

/// Start, evaluation of the rules, and replies.
impl Policy {
    /// Creates the policy of a controller that starts at `now` without any knowledge. Random draws depend only on
    /// the seed.
    pub fn start(deployment: Deployment, seed: u64, now: Moment) -> Self {
        Policy { state: ControllerState::new(deployment, seed, now) }
    }

    /// Returns the actions of the reply to the batch of events that ends at `now`.
    pub fn collect_actions(&mut self, now: Moment) -> Vec<Action> {
        self.state.open_reply();
        self.run_rules(now);
        self.state.close_reply()
    }

    /// Takes the actions that do not need the command channel. They can be carried out while no command can be
    /// sent, so that a disconnected channel delays neither timers nor requests for the replica list.
    pub fn take_background_actions(&mut self) -> Vec<Action> {
        let actions = std::mem::take(&mut self.state.actions);
        let (commands, background) = actions.into_iter().partition(Action::needs_channel);
        self.state.actions = commands;
        background
    }

    fn run_rules(&mut self, now: Moment) {
        self.state.now = now;
        while RULES.iter().any(|rule| rule(&mut self.state)) {}
    }
}

/// Events.
impl Policy {
    /// Handles the end of a timer started by [`Action::StartTimer`].
    pub fn timer_fired(&mut self, now: Moment, token: u64) {
        self.state.record_timer(token);
        self.run_rules(now);
    }

    /// Handles the replica list or a change to it.
    pub fn replicas_listed(&mut self, now: Moment, scope: ListScope, list: &[ReplicaListing]) {
        self.state.record_list(now, scope, list);
        self.run_rules(now);
    }

    /// Handles a failed request for the replica list, or the end of the list's subscription.
    pub fn list_request_failed(&mut self, now: Moment) {
        self.state.schedule_list_retry(now);
        self.run_rules(now);
    }

    /// Updates which controllers steer these replicas. Their other listed properties are unchanged.
    pub fn subsets_changed(&mut self, now: Moment, subsets: &[(ReplicaId, SubsetMembership)]) {
        self.state.record_subsets(subsets);
        self.run_rules(now);
    }

    /// Handles a proxy that has connected. It may hold withdrawals of earlier incarnations, and it has missed what
    /// was sent while it was disconnected.
    pub fn proxy_joined(&mut self, now: Moment, proxy: ProxyId, tables: ProxyTables) {
        self.state.record_proxy_joined(now, proxy, tables);
        self.run_rules(now);
    }

    /// Handles a proxy that has disconnected.
    pub fn proxy_left(&mut self, now: Moment, proxy: ProxyId) {
        self.state.record_proxy_left(now, proxy);
        self.run_rules(now);
    }

    /// Handles an acknowledgement: the proxy has applied everything up to and including this version.
    pub fn ack_received(&mut self, now: Moment, proxy: ProxyId, version: u16) {
        self.state.record_ack(now, proxy, version);
        self.run_rules(now);
    }

    /// Handles an interruption of the relay's events. No acknowledgement can arrive during it, so none counts as
    /// overdue, and the assignment of slices is unknown, so no single writer is replaced.
    pub fn relay_events_interrupted(&mut self) {
        self.state.channel.interrupt_events();
    }

    /// Handles the restart of the relay's events, after the stored state was read. Earlier acknowledgements may
    /// have been lost.
    pub fn relay_events_resumed(&mut self, now: Moment) {
        self.state.channel.resume_events(now);
    }

    /// Records that the reply with this version was sent again because its outcome is unknown. Its lines may be in
    /// the channel twice, and its message counts again.
    pub fn command_resent(&mut self, now: Moment, version: u16) {
        self.state.channel.record_resend(now, version);
        self.run_rules(now);
    }

    /// Records that the reply with this version is split, and sent as `additional_messages` more than one message.
    pub fn reply_split(&mut self, now: Moment, version: u16, additional_messages: u32) {
        let overhead = self.state.message_overhead();
        self.state.channel.record_split(now, version, additional_messages, overhead);
    }

    /// Handles the assignment of a slice to this controller, with its table as stored.
    pub fn slice_granted(&mut self, now: Moment, slice: SliceId, table: &[(ReplicaId, f64)]) {
        self.slice_revoked(now, slice);
        self.state.add_slice(now, slice, table);
        self.run_rules(now);
    }

    /// Handles a slice that this controller still owns, but whose stored table differs from what was sent. Its
    /// admission rates are unknown as well and are sent again.
    pub fn slice_table_reread(&mut self, now: Moment, slice: SliceId, table: &[(ReplicaId, f64)]) {
        self.slice_granted(now, slice, table);
        self.state.invalidate_applied_admission(slice);
        self.run_rules(now);
    }

    /// Handles slices that this controller still owns with the tables that were sent, after an interruption of the
    /// relay's events. Another controller may have owned them meanwhile.
    pub fn slices_possibly_reassigned(&mut self, now: Moment, slices: &[SliceId]) {
        self.state.record_possible_reassignment(now, slices);
        self.run_rules(now);
    }

    /// Handles the removal of a slice from this controller.
    pub fn slice_revoked(&mut self, now: Moment, slice: SliceId) {
        self.state.remove_slice(slice);
        self.run_rules(now);
    }

    /// Sets the complete list of operators' overrides, oldest first. Overrides that are missing from the list have
    /// ended; known overrides keep their state.
    pub fn set_overrides(&mut self, now: Moment, overrides: &[(OverrideNumber, OverrideSpec)]) {
        self.state.record_overrides(overrides);
        self.run_rules(now);
    }
}

/// Load reports.
impl Policy {
    /// Handles a report on a replica whose time window ends at `now`.
    pub fn endpoint_reported(&mut self, now: Moment, replica: ReplicaId, report: EndpointReport) {
        let body = ReportBody::Endpoint { replica, report, latest_latency: report.mean_latency };
        self.load_reported(now, &[Report { window_end: now, line_count: 1.0, body }]);
    }

    /// Handles a report on a slice whose time window ends at `now`.
    pub fn demand_reported(&mut self, now: Moment, slice: SliceId, report: DemandReport) {
        let body = ReportBody::Demand { slice, report };
        self.load_reported(now, &[Report { window_end: now, line_count: 1.0, body }]);
    }

    /// Handles several reports at once, each with its own time.
    pub fn load_reported(&mut self, now: Moment, reports: &[Report]) {
        self.state.record_reports(now, reports);
        self.run_rules(now);
    }

    /// Sets the path on which reports arrive from now on.
    pub fn set_report_flow(&mut self, now: Moment, flow: ReportFlow) {
        self.state.record_report_flow(now, flow);
        self.run_rules(now);
    }

    /// Records that earlier reports on the subject were lost, or left out of a sum, so that no replica is ejected
    /// because of them.
    pub fn report_incomplete(&mut self, now: Moment, subject: ReportSubject) {
        self.state.record_incomplete_report(now, subject);
    }

    /// Records that reports on the subject do not cover the time before `since`.
    pub fn observed_since(&mut self, subject: ReportSubject, since: Moment) {
        self.state.record_observed_since(subject, since);
    }
}

/// Queries.
impl Policy {
    /// Returns true if the reply with this version may be sent again. It must fit into the queue in addition to
    /// its first copy, unless acknowledgements are overdue, in which case nothing can still be queued. The message
    /// limit must also allow another message, because each attempt may have been applied, and resends after the first one
    /// are spread over the time.
    pub fn may_resend(&self, now: Moment, version: u16) -> bool {
        self.state.may_resend(now, version)
    }

    /// Returns an upper bound of what is queued in the command channel.
    pub fn channel_load(&self) -> ChannelLoad {
        ChannelLoad {
            proxies: self.state.channel.proxies.len(),
            unacked_lines: self.state.channel.unacked_lines(self.state.now),
            capacity_lines: self.state.deployment.queue_capacity_lines,
        }
    }

    /// Returns true if the policy has a record of the replica.
    pub fn knows_replica(&self, replica: ReplicaId) -> bool {
        self.state.replicas.contains_key(&replica)
    }

    /// Returns the number of replicas that the policy has records of.
    pub fn known_replica_count(&self) -> usize {
        self.state.replicas.len()
    }

    /// Returns a replica's last listed state and the start time of that process.
    pub fn replica_state(&self, replica: ReplicaId) -> Option<ListedState> {
        let known = self.state.replicas.get(&replica)?;
        Some(ListedState { state: known.state, started: known.started })
    }

    /// Returns a replica if it is listed and not gone.
    pub fn listed_replica(&self, replica: ReplicaId) -> Option<&Replica> {
        self.state.replicas.get(&replica).filter(|known| known.listed)
    }

    /// Returns the controllers that steer a replica, as last set.
    pub fn subset_membership(&self, replica: ReplicaId) -> Option<SubsetMembership> {
        self.state.replicas.get(&replica).map(|known| known.subset)
    }

    /// Returns the last estimate of the load of a replica's slices, in requests per second.
    pub fn measured_load(&self, replica: ReplicaId) -> Option<f64> {
        self.state.replicas.get(&replica).map(|known| known.load)
    }

    /// Returns the last estimate of the load of all slices, in requests per second.
    pub fn total_measured_load(&self) -> f64 {
        self.state.slices.values().map(|slice| slice.load).sum()
    }

    /// Returns the number of listed replicas steered by this controller that can't be ejected as outliers because
    /// reports on them are incomplete or missing.
    pub fn partially_observed_count(&self) -> usize {
        self.state.count_replicas(|replica| {
            let is_ours = replica.subset != SubsetMembership::OtherControllers;
            replica.is_ready() && is_ours && !self.state.is_observed(replica)
        })
    }

    /// Returns the status of an override, with the reason if it is not in force.
    pub fn override_status(&self, id: OverrideNumber) -> Option<OverrideStatus> {
        self.state.operator_overrides.entries.get(&id).map(|entry| entry.status)
    }
}
