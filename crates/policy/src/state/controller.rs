//! The complete state of one controller.

use crate::api::{Action, ProxyId, ReplicaId, SliceId};
use crate::deployment::Deployment;
use crate::random::Random;
use crate::state::admission::{GlobalAdmission, HALTED_REDUCTION};
use crate::state::command_channel::CommandChannel;
use crate::state::fleet_averages::FleetAverages;
use crate::state::link_latency::Links;
use crate::state::message_budget::MessageBudget;
use crate::state::operator_overrides::OperatorOverrides;
use crate::state::pending_slices::{PendingSlices, Priority};
use crate::state::ranking::Rankings;
use crate::state::recent_counter::recent_counter;
use crate::state::replica::Replica;
use crate::state::reporting::Reporting;
use crate::state::schedule::{Deadlines, PendingWork};
use crate::state::shared_load::SharingState;
use crate::state::slice::Slice;
use crate::state::withdrawals::Withdrawals;
use crate::time::Moment;
use crate::windowed_counter::WindowedCounter;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::take;

/// The complete state of one controller. It is not persisted.
pub(crate) struct ControllerState {
    pub deployment: Deployment,
    pub random: Random,
    /// The time of the event being handled.
    pub now: Moment,
    /// The start time of this incarnation.
    pub started_at: Moment,
    pub replicas: BTreeMap<ReplicaId, Replica>,
    pub slices: BTreeMap<SliceId, Slice>,
    /// Slices that were removed while their admission was reduced. At most all slices; each leaves with its next grant.
    pub removed_while_reduced: BTreeSet<SliceId>,
    pub proxies: ProxyHistory,
    pub channel: CommandChannel,
    /// The actions of the next reply.
    pub actions: Vec<Action>,
    /// True once the batch of events is complete, so that commands may be added to the reply.
    pub is_replying: bool,
    pub deadlines: Deadlines,
    pub pending_work: PendingWork,
    /// True if the list, the slices or the overrides changed in this batch of events.
    pub fleet_changed: bool,
    /// True if a list has been received other than the one cached by an earlier incarnation.
    pub has_fresh_list: bool,
    pub withdrawals: Withdrawals,
    pub pending_slices: PendingSlices,
    /// Request outcomes by request class.
    pub class_outcomes: Vec<ClassOutcomes>,
    pub global_admission: GlobalAdmission,
    pub reporting: Reporting,
    pub links: Links,
    pub averages: FleetAverages,
    pub rankings: Rankings,
    pub sharing: SharingState,
    /// The token of the newest timer.
    pub timer_token: u64,
    pub operator_overrides: OperatorOverrides,
}

/// Proxies that have joined since the start, connected or not.
pub(crate) struct ProxyHistory {
    /// The sending time of the newest message that each proxy has applied.
    pub applied_until: BTreeMap<ProxyId, Moment>,
    /// The time at which a proxy last disconnected.
    pub last_left_at: Moment,
}

/// The outcomes of the requests of one class.
pub(crate) struct ClassOutcomes {
    /// Requests received and admitted.
    pub admitted: WindowedCounter,
    /// Admitted requests that failed.
    pub failed: WindowedCounter,
}

impl ControllerState {
    /// Creates the state of a controller without any knowledge.
    pub(crate) fn new(deployment: Deployment, seed: u64, now: Moment) -> Self {
        let new_outcomes = |_| ClassOutcomes { admitted: recent_counter(), failed: recent_counter() };
        let message_budget = MessageBudget::new(deployment.message_limit, deployment.message_window);
        ControllerState {
            // Each incarnation starts at a different version, so that an acknowledgement from before a restart is
            // not taken for one of this incarnation.
            channel: CommandChannel::new(message_budget, deployment.fleet_size, seed as u16),
            class_outcomes: deployment.request_classes.iter().map(new_outcomes).collect(),
            deadlines: Deadlines::new(now, (!deployment.list_pushed).then_some(now)),
            deployment,
            random: Random::from_seed(seed),
            now,
            started_at: now,
            replicas: BTreeMap::new(),
            slices: BTreeMap::new(),
            removed_while_reduced: BTreeSet::new(),
            proxies: ProxyHistory { applied_until: BTreeMap::new(), last_left_at: now },
            actions: Vec::new(),
            is_replying: false,
            pending_work: PendingWork::default(),
            fleet_changed: false,
            has_fresh_list: false,
            withdrawals: Withdrawals::default(),
            pending_slices: PendingSlices::default(),
            global_admission: GlobalAdmission::new(now),
            reporting: Reporting::default(),
            links: Links::default(),
            averages: FleetAverages::default(),
            rankings: Rankings::default(),
            sharing: SharingState::default(),
            timer_token: 0,
            operator_overrides: OperatorOverrides::default(),
        }
    }

    /// Opens the reply to a batch of events. The recipients of the message are known only now, because proxies may
    /// join with the batch's last events.
    pub(crate) fn open_reply(&mut self) {
        self.is_replying = true;
        if take(&mut self.fleet_changed) {
            self.pending_work.load_estimates = true;
            self.pending_work.overrides = true;
            self.pending_work.evacuation = true;
        }
    }

    /// Closes the reply and takes its actions. The reply ends with its version.
    pub(crate) fn close_reply(&mut self) -> Vec<Action> {
        let version = self.channel.open_version.take();
        self.actions.extend(version.map(|version| Action::Sync { version }));
        self.is_replying = false;
        take(&mut self.actions)
    }

    /// Removes the records of replicas that are permanently gone and that nothing refers to. Replicas are replaced
    /// for as long as the fleet runs, so the map would otherwise grow without limit.
    pub(crate) fn remove_gone_replicas(&mut self) {
        let (now, withdrawals) = (self.now, &self.withdrawals);
        self.replicas.retain(|id, replica| {
            replica.withdrawn || withdrawals.concerns(id) || !replica.is_removable(now)
        });
    }

    /// Releases the slices that wait for a version, and removes the version if it is fully acknowledged.
    pub(crate) fn finish_version(&mut self, version: u16) {
        let Some(sent) = self.channel.sent.get_mut(&version) else { return };
        for id in take(&mut sent.waiting_slices) {
            let slice = self.slices.get_mut(&id).filter(|slice| slice.awaited_version == Some(version));
            if let Some(slice) = slice {
                slice.awaited_version = None;
                slice.settled_at = self.now;
                if slice.applied_reduction == HALTED_REDUCTION {
                    slice.halt_confirmed_at.get_or_insert(self.now);
                }
            }
        }
        if sent.unacked_copies.is_empty() {
            self.channel.sent.remove(&version);
        }
    }

    /// Marks a slice's differences to be sent, if this controller owns the slice.
    pub(crate) fn mark_pending(&mut self, id: SliceId, priority: Priority) {
        if self.slices.contains_key(&id) {
            self.pending_slices.mark(id, priority, self.now);
        }
    }

    /// Adds lines to this reply's message, which is opened if necessary, and returns its version.
    pub(crate) fn add_lines(&mut self, lines: f64) -> u16 {
        self.channel.add_lines(self.now, self.deployment.message_overhead_lines + 1.0, lines)
    }
}
