//! The decisions of a proxy fleet's controller: state, measures and rules, without I/O or clock.
//!
//! To use them: [`Policy::start`], then one call for each event of a batch, then [`Policy::collect_actions`], which returns
//! the actions of the reply, in order. The types of the calls are in [`api`], the facts given at start in [`deployment`].
//!
//! After every call the rules in `RULES` are gone through, in order, until none acts. What needs a look at the whole fleet
//! is done once a tick, so that a line of a report costs next to nothing. The rules shape each routing table as it should be
//! (desired); `dispatch` alone sends commands, and only for what differs from what the proxies were sent (applied).
//!
//! The modules, each of which uses only those above it:
//!
//! | module | holds |
//! | --- | --- |
//! | [`time`], [`random`], [`windowed_counter`], [`api`], [`deployment`], [`claims`] | types that know nothing of decisions |
//! | `state` | what a controller remembers; each struct keeps its own invariants |
//! | `measure` | what is worked out from that: load estimates, averages, slow-start budgets, rankings |
//! | `rules` | what is decided from both |
//! | `dispatch` | commands for the difference between desired and applied tables |
//! | `events` | how events are taken into the state |
//!
//! The ordinary path is DDMC (docs/design.md): load estimates are refreshed, a rebalancing round is opened, slices are moved.
//! Before it come the operators' overrides; beside it stand six mechanisms:
//!
//! 1. *Outlier ejection*: a replica that is sent requests and answers none, or fails quickly, is ejected for a while.
//! 2. *Evacuation*: slices leave replicas that are gone, draining or ejected, which are withdrawn from all tables, and those
//!    that are warming up and sent too much.
//! 3. *Replication*: each slice has a standby endpoint for retries; one too hot for its replica gets more owners, and loses
//!    them when it cools.
//! 4. *Load shedding*: where an owner answers late, or all do, retries are stopped first, then admission rates are reduced,
//!    by priority weight.
//! 5. *Rate limiting*: urgent commands go first; unacknowledged lines stay under the queue's capacity, messages under their
//!    limit.
//! 6. *Recovery*: the replica list is requested again after a failure; withdrawals of former incarnations are ended.

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
    Action, ChannelLoad, DemandReport, EndpointReport, ListScope, OverrideNumber, OverrideSpec,
    OverrideStatus, ProxyId, ProxyTables, ReplicaId, ReplicaListing, ReplicaState, Report, ReportBody,
    ReportFlow, ReportSubject, SliceId, SubsetMembership,
};
use crate::deployment::Deployment;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::Moment;

/// A rule looks at the state, changes it, and says whether it acted.
type Rule = fn(&mut ControllerState) -> bool;

/// All rules, in the order in which they are tried: after one has acted, the first is tried again.
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

/// One controller's decisions. The same calls in the same order give the same actions.
pub struct Policy {
    state: ControllerState,
}

/// Start, rules and replies.
impl Policy {
    /// The decisions of a controller that starts at this moment and knows nothing yet. Random draws depend on the seed alone.
    pub fn start(deployment: Deployment, seed: u64, now: Moment) -> Self {
        Policy { state: ControllerState::new(deployment, seed, now) }
    }

    /// The actions of the reply to the batch of events that ends at this moment.
    pub fn collect_actions(&mut self, now: Moment) -> Vec<Action> {
        self.state.open_reply();
        self.run_rules(now);
        self.state.close_reply()
    }

    /// Actions that need no command channel: they can be taken while no command can be sent, so that a broken channel
    /// delays neither timers nor requests for the replica list.
    pub fn take_background_actions(&mut self) -> Vec<Action> {
        let needs_channel = |action: &Action| {
            !matches!(
                action,
                Action::RequestReplicaList | Action::StartTimer { .. } | Action::ReplicaEjected { .. }
            )
        };
        let actions = std::mem::take(&mut self.state.actions);
        let (commands, background) = actions.into_iter().partition(needs_channel);
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
    /// A timer that [`Action::StartTimer`] asked for has fired.
    pub fn timer_fired(&mut self, now: Moment, token: u64) {
        self.state.record_timer(token);
        self.run_rules(now);
    }

    /// The replica list, or a change of it.
    pub fn replicas_listed(&mut self, now: Moment, scope: ListScope, list: &[ReplicaListing]) {
        self.state.record_list(scope, list);
        self.run_rules(now);
    }

    /// A request for the replica list has failed, or its subscription has ended.
    pub fn list_request_failed(&mut self, now: Moment) {
        self.state.schedule_list_retry(now);
        self.run_rules(now);
    }

    /// Other controllers steer these replicas now; nothing else that the list says of them changed.
    pub fn subsets_changed(&mut self, now: Moment, subsets: &[(ReplicaId, SubsetMembership)]) {
        self.state.record_subsets(subsets);
        self.run_rules(now);
    }

    /// A proxy has connected. It holds what former incarnations withdrew, and lacks what was sent while it was away.
    pub fn proxy_joined(&mut self, now: Moment, proxy: ProxyId, tables: ProxyTables) {
        self.state.record_proxy_joined(now, proxy, tables);
        self.run_rules(now);
    }

    /// A proxy has disconnected.
    pub fn proxy_left(&mut self, now: Moment, proxy: ProxyId) {
        self.state.record_proxy_left(now, proxy);
        self.run_rules(now);
    }

    /// A proxy has applied everything up to and including this version.
    pub fn ack_received(&mut self, now: Moment, proxy: ProxyId, version: u16) {
        self.state.record_ack(now, proxy, version);
        self.run_rules(now);
    }

    /// The relay's events are interrupted: acknowledgements can't arrive, so that their absence shows nothing.
    pub fn acks_interrupted(&mut self) {
        self.state.channel.interrupt_acks();
    }

    /// The relay's events have started anew: acknowledgements from before may have been lost.
    pub fn acks_resumed(&mut self, now: Moment) {
        self.state.channel.resume_acks(now);
    }

    /// The reply with this version was sent once more, as its outcome is unknown: its lines may be in the channel twice, and
    /// its message counts again.
    pub fn command_resent(&mut self, now: Moment, version: u16) {
        self.state.channel.record_resend(now, version);
        self.run_rules(now);
    }

    /// The reply with this version is so long that it is sent as so many messages more than one.
    pub fn reply_split(&mut self, now: Moment, version: u16, additional_messages: u32) {
        let overhead = self.state.message_overhead();
        self.state.channel.record_split(now, version, additional_messages, overhead);
    }

    /// A slice is this controller's from now on; its table as the store has it.
    pub fn slice_granted(&mut self, now: Moment, slice: SliceId, table: &[(ReplicaId, f64)]) {
        self.slice_revoked(now, slice);
        self.state.add_slice(now, slice, table);
        self.run_rules(now);
    }

    /// A slice is still this controller's, and its table in the store differs from what was sent: its admission rates are
    /// not known either and are sent anew.
    pub fn slice_table_reread(&mut self, now: Moment, slice: SliceId, table: &[(ReplicaId, f64)]) {
        self.slice_granted(now, slice, table);
        self.state.invalidate_applied_admission(slice);
        self.run_rules(now);
    }

    /// A slice is not this controller's any more.
    pub fn slice_revoked(&mut self, now: Moment, slice: SliceId) {
        self.state.remove_slice(slice);
        self.run_rules(now);
    }

    /// All overrides that operators have set, the oldest first. One that is missing has ended; one that is known already goes
    /// on as it is.
    pub fn set_overrides(&mut self, now: Moment, overrides: &[(OverrideNumber, OverrideSpec)]) {
        self.state.record_overrides(overrides);
        self.run_rules(now);
    }
}

/// Load reports.
impl Policy {
    /// A report on a replica that ends at this moment.
    pub fn endpoint_reported(&mut self, now: Moment, replica: ReplicaId, report: EndpointReport) {
        let body = ReportBody::Endpoint { replica, report, latest_latency: report.mean_latency };
        self.load_reported(now, &[Report { at: now, line_count: 1.0, body }]);
    }

    /// A report on a slice that ends at this moment.
    pub fn demand_reported(&mut self, now: Moment, slice: SliceId, report: DemandReport) {
        let body = ReportBody::Demand { slice, report };
        self.load_reported(now, &[Report { at: now, line_count: 1.0, body }]);
    }

    /// Many reports at once, each with its own time.
    pub fn load_reported(&mut self, now: Moment, reports: &[Report]) {
        self.state.record_reports(reports);
        self.run_rules(now);
    }

    /// How reports come from now on.
    pub fn set_report_flow(&mut self, now: Moment, flow: ReportFlow) {
        self.state.record_report_flow(now, flow);
        self.run_rules(now);
    }

    /// Reports on the subject up to now were lost, or left out of a sum: no replica is ejected because of them.
    pub fn report_incomplete(&mut self, now: Moment, subject: ReportSubject) {
        self.state.record_incomplete_report(now, subject);
    }

    /// Reports on the subject say nothing of the time before `since`.
    pub fn observed_since(&mut self, subject: ReportSubject, since: Moment) {
        self.state.record_observed_since(subject, since);
    }
}

/// Queries.
impl Policy {
    /// Whether a command of this version may be sent once more: where it fits into the queue beside itself, or no
    /// acknowledgement has come for so long that nothing can wait any more, and the message limit allows one more, as each
    /// attempt may have been carried out.
    pub fn may_resend(&self, now: Moment, version: u16) -> bool {
        self.state.may_resend(now, version)
    }

    /// What may wait in the command channel.
    pub fn channel_load(&self) -> ChannelLoad {
        ChannelLoad {
            proxies: self.state.channel.proxies.len(),
            unacked_lines: self.state.channel.unacked_lines(self.state.now),
            capacity_lines: self.state.deployment.queue_capacity_lines,
        }
    }

    /// Whether the replica is remembered.
    pub fn knows_replica(&self, replica: ReplicaId) -> bool {
        self.state.replicas.contains_key(&replica)
    }

    /// How many replicas are remembered.
    pub fn known_replica_count(&self) -> usize {
        self.state.replicas.len()
    }

    /// What the list last said of a replica, and when that process of it started.
    pub fn replica_state(&self, replica: ReplicaId) -> Option<(ReplicaState, Option<Moment>)> {
        self.state.replicas.get(&replica).map(|known| (known.state, known.started))
    }

    /// A replica that the list names and does not call gone.
    pub fn listed_replica(&self, replica: ReplicaId) -> Option<&Replica> {
        self.state.replicas.get(&replica).filter(|known| known.listed)
    }

    /// Which controllers steer a replica, as the policy was told last.
    pub fn subset_membership(&self, replica: ReplicaId) -> Option<SubsetMembership> {
        self.state.replicas.get(&replica).map(|known| known.subset)
    }

    /// The load of a replica's slices in requests a second, as last estimated.
    pub fn measured_load(&self, replica: ReplicaId) -> Option<f64> {
        self.state.replicas.get(&replica).map(|known| known.load)
    }

    /// The load of all slices in requests a second, as last estimated.
    pub fn total_measured_load(&self) -> f64 {
        self.state.slices.values().map(|slice| slice.load).sum()
    }

    /// How many of the listed replicas that this controller steers can't be ejected as outliers, as reports on them are
    /// incomplete, or none have come recently.
    pub fn partially_observed_count(&self) -> usize {
        self.state.count_replicas(|replica| {
            let is_ours = replica.subset != SubsetMembership::OtherControllers;
            replica.is_ready() && is_ours && !self.state.is_observed(replica)
        })
    }

    /// Whether an override is in force, and if not, why.
    pub fn override_status(&self, id: OverrideNumber) -> Option<OverrideStatus> {
        self.state.operator_overrides.entries.get(&id).map(|entry| entry.status)
    }
}
