//! One controller's whole memory.

use crate::api::{
    Action, OverrideId, OverrideSpec, OverrideStatus, ProxyId, ReplicaId, ReplicaState, ReportFlow, SliceId,
    ZoneId,
};
use crate::deployment::Deployment;
use crate::random::Random;
use crate::rules::acknowledgements::ACK_WAIT;
use crate::state::averages::FleetAverages;
use crate::state::command_channel::CommandChannel;
use crate::state::link::LinkLatency;
use crate::state::pins::SlicePins;
use crate::state::ranking::Rankings;
use crate::state::replica::{recent_counter, Replica};
use crate::state::schedule::{Deadlines, PendingWork};
use crate::state::shared_load::SharingState;
use crate::state::slice::{Priority, Slice};
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;
use std::collections::{BTreeMap, BTreeSet};

/// One controller's whole memory; it is lost when the controller is killed.
pub struct ControllerState {
    pub(crate) deployment: Deployment,
    pub(crate) random: Random,
    pub(crate) now: Moment,
    pub(crate) started_at: Moment,
    pub(crate) replicas: BTreeMap<ReplicaId, Replica>,
    pub(crate) slices: BTreeMap<SliceId, Slice>,
    pub(crate) channel: CommandChannel,
    pub(crate) actions: Vec<Action>,
    /// The batch's news is through, and the reply is being made.
    pub(crate) is_replying: bool,
    pub(crate) deadlines: Deadlines,
    pub(crate) pending_work: PendingWork,
    /// The list or the slices in charge changed.
    pub(crate) fleet_changed: bool,
    /// The list is more than what a former life remembered.
    pub(crate) has_fresh_list: bool,
    /// Proxies that have joined since the start, and up to when each has applied what was ordered; and when
    /// one was last lost.
    pub(crate) applied_until: BTreeMap<ProxyId, Moment>,
    pub(crate) last_proxy_left_at: Moment,
    /// Replicas still to be withdrawn from all tables, and from when on; and those whose withdrawals are to be
    /// lifted.
    pub(crate) pending_withdrawals: BTreeMap<ReplicaId, Moment>,
    pub(crate) pending_reinstatements: BTreeSet<ReplicaId>,
    /// Slices whose table or level differs from what the proxies were told: urgent ones first, then by age.
    pub(crate) pending_slices: BTreeSet<(Priority, Moment, SliceId)>,
    /// By request class, what was let in and what of it was aborted.
    pub(crate) class_outcomes: Vec<(WindowedCounter, WindowedCounter)>,
    /// The cut that holds for all tables, since when, and the one that the proxies were told of.
    pub(crate) global_reduction: f64,
    pub(crate) global_reduction_changed_at: Moment,
    pub(crate) applied_global_reduction: Option<f64>,
    pub(crate) report_flow: ReportFlow,
    /// Seconds covered by the reports' lines, and their number.
    pub(crate) report_seconds: WindowedCounter,
    pub(crate) report_lines: WindowedCounter,
    /// How much more than a period a line covers: reports that fall behind.
    pub(crate) report_lag: Span,
    /// Answers, and the seconds they took, from proxies of one place at replicas of another.
    pub(crate) link_latencies: BTreeMap<(ZoneId, ZoneId), LinkLatency>,
    /// What the way between two places adds to an answer's time.
    pub(crate) link_delays: BTreeMap<(ZoneId, ZoneId), f64>,
    pub(crate) averages: FleetAverages,
    pub(crate) rankings: Rankings,
    pub(crate) sharing: SharingState,
    pub(crate) timer_token: u64,
    /// What operators override, in the order in which they said so, and the slices that they pin.
    pub(crate) overrides: BTreeMap<OverrideId, OverrideEntry>,
    pub(crate) pins: SlicePins,
}
/// A override, and what became of it.
pub struct OverrideEntry {
    pub spec: OverrideSpec,
    pub status: OverrideStatus,
    /// When it last had to stand back.
    pub suspended_at: Option<Moment>,
}

impl ControllerState {
    pub(crate) fn new(site: Deployment, seed: u64, now: Moment) -> Self {
        let list_request = (!site.list_pushed).then_some(now);
        ControllerState {
            channel: CommandChannel::new(site.message_window, seed as u16),
            class_outcomes: site
                .request_classes
                .iter()
                .map(|_| (recent_counter(), recent_counter()))
                .collect(),
            deployment: site,
            random: Random::from_seed(seed),
            now,
            started_at: now,
            replicas: BTreeMap::new(),
            slices: BTreeMap::new(),
            actions: Vec::new(),
            is_replying: false,
            deadlines: Deadlines::new(now, list_request),
            pending_work: PendingWork::default(),
            fleet_changed: false,
            has_fresh_list: false,
            applied_until: BTreeMap::new(),
            last_proxy_left_at: now,
            pending_withdrawals: BTreeMap::new(),
            pending_reinstatements: BTreeSet::new(),
            pending_slices: BTreeSet::new(),
            global_reduction: 0.0,
            global_reduction_changed_at: now,
            applied_global_reduction: None,
            report_flow: ReportFlow::default(),
            report_seconds: recent_counter(),
            report_lines: recent_counter(),
            report_lag: Span::default(),
            link_latencies: BTreeMap::new(),
            link_delays: BTreeMap::new(),
            averages: FleetAverages::default(),
            rankings: Rankings::default(),
            sharing: SharingState::default(),
            timer_token: 0,
            overrides: BTreeMap::new(),
            pins: SlicePins::default(),
        }
    }

    /// Opens the reply to a batch of events: only now is it known which proxies get the message, as they may join with the
    /// batch's last events.
    pub(crate) fn open_reply(&mut self) {
        self.is_replying = true;
        if std::mem::take(&mut self.fleet_changed) {
            self.pending_work.load_estimates = true;
            self.pending_work.overrides = true;
            self.pending_work.evacuation = true;
        }
    }

    /// Closes the reply and takes its actions; its version ends it.
    pub(crate) fn close_reply(&mut self) -> Vec<Action> {
        let version = self.channel.open_version.take();
        self.actions.extend(version.map(|number| Action::Sync { number }));
        self.is_replying = false;
        std::mem::take(&mut self.actions)
    }

    /// Replicas are replaced for as long as the fleet runs: what went for good and stands in nobody's way is
    /// forgotten, or the map would grow for ever.
    pub(crate) fn forget_gone(&mut self) {
        let (now, shut, lift) = (self.now, &self.pending_withdrawals, &self.pending_reinstatements);
        self.replicas.retain(|id, s| {
            s.withdrawn || shut.contains_key(id) || lift.contains(id) || !s.is_forgettable(now)
        });
    }

    /// One that we hear of for the first time, and that did not start in this life of ours, may stand withdrawn by a
    /// former life at proxies that joined before we heard of it.
    pub(crate) fn replica_entry(&mut self, id: ReplicaId, started: Option<Moment>) -> &mut Replica {
        let of_old = self.may_have_former_withdrawals()
            && !self.applied_until.is_empty()
            && started.is_none_or(|at| at < self.started_at);
        if of_old && !self.replicas.contains_key(&id) {
            self.pending_reinstatements.insert(id);
            self.deadlines.reinstatement =
                self.deadlines.reinstatement.or(Some(self.now + self.deployment.report_period));
        }
        self.replicas.entry(id).or_insert_with(Replica::new_unlisted)
    }

    /// A former life may have withdrawn replicas; where one owner writes no life does.
    pub(crate) fn may_have_former_withdrawals(&self) -> bool {
        !self.deployment.single_writer
    }

    /// A round has passed for whoever joins late; and where slices are shared out, one is ours: without tables of ours
    /// at the proxies, what is lifted reaches none of them, and none acks it.
    pub(crate) fn reinstatements_are_due(&self) -> bool {
        let reaches_proxies = self.deployment.slice_count == 0 || !self.slices.is_empty();
        reaches_proxies && self.deadlines.reinstatement.is_none_or(|at| at <= self.now)
    }

    /// Notes that a replica is to be withdrawn from all tables, or let in again. Until the proxies were told,
    /// one that is to be let in still counts as withdrawn.
    pub(crate) fn set_withdrawn(&mut self, id: ReplicaId, out: bool) {
        let Some(s) = self.replicas.get_mut(&id) else { return };
        let still = self.pending_reinstatements.remove(&id) && s.withdrawn;
        (s.withdrawn, s.was_ever_withdrawn) = (s.withdrawn || out, true);
        if !out {
            self.pending_withdrawals.remove(&id);
            self.pending_reinstatements.insert(id);
        } else if !still {
            self.schedule_withdrawal(id, self.now);
        }
    }

    /// Of two reasons to withdraw it the earlier one counts.
    pub(crate) fn schedule_withdrawal(&mut self, id: ReplicaId, at: Moment) {
        let due = self.pending_withdrawals.entry(id).or_insert(at);
        *due = at.min(*due);
    }

    pub(crate) fn note_withdrawal(&mut self, step: &Action) {
        let (replica, withdraws) = match step {
            Action::Withdraw { replica } => (replica, true),
            Action::Reinstate { replica } => (replica, false),
            _ => return,
        };
        self.pending_withdrawals.remove(replica);
        self.replicas.get_mut(replica).into_iter().for_each(|s| s.withdrawal_sent_at = self.now);
        if !withdraws {
            self.pending_reinstatements.remove(replica);
            self.deadlines.reinstatement =
                self.deadlines.reinstatement.filter(|_| !self.pending_reinstatements.is_empty());
            self.replicas.get_mut(replica).into_iter().for_each(|s| s.withdrawn = false);
        }
    }

    /// Frees the slices that wait for a version, and forgets it where no ack is missing.
    pub(crate) fn finish_version(&mut self, number: u16) {
        let Some(sent) = self.channel.sent.get_mut(&number) else { return };
        for n in std::mem::take(&mut sent.waiting_slices) {
            if let Some(slice) = self.slices.get_mut(&n).filter(|s| s.awaited_version == Some(number)) {
                (slice.awaited_version, slice.settled_at) = (None, self.now);
            }
        }
        if sent.unacked_copies.is_empty() {
            self.channel.sent.remove(&number);
        }
    }

    /// Puts a slice among those to be told of; one that is there keeps its age.
    pub(crate) fn mark_pending(&mut self, n: SliceId, priority: Priority) {
        let Some(slice) = self.slices.get_mut(&n) else { return };
        let (was, since) = slice.pending.unwrap_or((priority, self.now));
        self.pending_slices.remove(&(was, since, n));
        slice.pending = Some((was.min(priority), since));
        self.pending_slices.insert((was.min(priority), since, n));
    }

    pub(crate) fn clear_pending(&mut self, n: SliceId) {
        let Some(slice) = self.slices.get_mut(&n) else { return };
        if let Some((priority, since)) = slice.pending.take() {
            self.pending_slices.remove(&(priority, since, n));
        }
    }

    /// Opens this reply's message if need be, and adds lines to it.
    pub(crate) fn add_lines(&mut self, lines: f64) -> u16 {
        self.channel.add_lines(self.now, self.deployment.message_overhead_lines + 1.0, lines)
    }

    pub(crate) fn tightest_target_seconds(&self) -> f64 {
        self.deployment
            .request_classes
            .iter()
            .map(|t| t.target_latency.seconds())
            .fold(f64::INFINITY, f64::min)
    }

    /// To be left whatever it does (rule 3). Where being dropped from the list does not bind, the list may be
    /// wrong, and what is met there counts.
    pub(crate) fn must_be_left(&self, s: &Replica) -> bool {
        match s.state {
            ReplicaState::Draining => true,
            _ if s.out_of_service => true,
            ReplicaState::Ready if s.listed => false,
            _ => {
                (self.has_fresh_list || self.now - self.started_at > ACK_WAIT)
                    && !self.deployment.delisting_is_advisory
            }
        }
    }

    pub(crate) fn is_cold(&self, s: &Replica) -> bool {
        s.started.is_some_and(|at| self.now - at < self.deployment.warm_up)
    }

    pub(crate) fn is_ejected(&self, s: &Replica) -> bool {
        s.ejected_until.is_some_and(|until| until > self.now)
    }

    /// In its place, and so in the averages.
    pub(crate) fn is_usable(&self, s: &Replica) -> bool {
        let there = s.listed || (self.deployment.delisting_is_advisory && s.recent.succeeded > 0.0);
        there
            && !s.is_steered_by_others()
            && !s.withdrawn
            && !s.out_of_service
            && s.state != ReplicaState::Draining
            && !self.is_ejected(s)
    }

    /// In its place, and warm.
    pub(crate) fn is_usable_and_warm(&self, s: &Replica) -> bool {
        self.is_usable(s) && !self.is_cold(s)
    }

    pub(crate) fn count_replicas(&self, counted: impl Fn(&Replica) -> bool) -> usize {
        self.replicas.values().filter(|s| counted(s)).count()
    }

    /// The median of a figure over the replicas that are counted.
    pub(crate) fn median(&self, counted: impl Fn(&Replica) -> bool, figure: impl Fn(&Replica) -> f64) -> f64 {
        let mut figures: Vec<f64> = self.replicas.values().filter(|s| counted(s)).map(figure).collect();
        figures.sort_by(f64::total_cmp);
        figures.get(figures.len() / 2).copied().unwrap_or(0.0)
    }

    /// A table's owners, as far as they are known.
    pub(crate) fn owners<'a>(&'a self, slice: &'a Slice) -> impl Iterator<Item = (ReplicaId, &'a Replica)> {
        slice.owners().filter_map(|id| Some((id, self.replicas.get(&id)?)))
    }

    pub(crate) fn is_at_pin(&self, n: SliceId, slice: &Slice) -> bool {
        self.pins.get(n).is_some_and(|(to, _)| slice.sole_owner() == Some(to))
    }
}
