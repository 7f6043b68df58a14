//! Dispatch: the only module that creates commands for slices, from the difference between desired and applied
//! state.
//!
//! It avoids commands that change nothing. Where a slice has a single writer, it also prevents two simultaneous
//! owners: a proxy that applies a change late still writes to the previous owner, so the slice's requests are held
//! back, and the writes in flight are given time to end before the store names another owner. A controller that takes
//! over the slice, knowing only the store, may therefore admit requests at once.

use crate::api::{Action, ReplicaId, SliceId};
use crate::state::admission::HALTED_REDUCTION;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::routing_table::{Removals, FULL_WEIGHT};
use crate::state::slice::Slice;
use crate::time::Moment;

/// The changes of one slice that are sent in one step.
struct SliceUpdate {
    slice: SliceId,
    /// New endpoints are added before old ones are removed, so that a table is never empty.
    endpoints: Vec<(ReplicaId, f64)>,
    reduction: f64,
    /// True if the update is a stage of a change of owner under single writer.
    changes_single_writer: bool,
}

impl ControllerState {
    /// Sends the pending changes of one slice, the most urgent first, if the channel has room. Only the part of the
    /// changes that is needed at the slice's priority is sent.
    pub(crate) fn dispatch(&mut self) -> bool {
        let may_be_sent = |(_, id): &(Priority, SliceId)| self.may_send_table(&self.slices[id]);
        let Some((priority, id)) = self.pending_slices.iter().find(may_be_sent) else { return false };
        let update = self.next_update(id, priority);
        let commands = self.commands_for(&update);
        if !self.has_channel_room(commands.len() as f64, priority) {
            return false;
        }
        self.record_sent(&update, commands.len());
        self.actions.extend(commands);
        self.mark_remainder_pending(id, priority, update.changes_single_writer);
        true
    }

    /// Returns the part of a slice's pending changes that is needed at this priority. Tables without an endpoint
    /// get one first, then owners are replaced; admission rates and standbys can wait.
    fn next_update(&self, id: SliceId, priority: Priority) -> SliceUpdate {
        let slice = &self.slices[&id];
        let table = &slice.table;
        let changes_single_writer =
            !table.is_applied() && self.deployment.single_writer && !table.applied.is_empty();
        let must_halt_first = changes_single_writer && slice.applied_reduction != HALTED_REDUCTION;
        let reduction = match priority {
            _ if must_halt_first => HALTED_REDUCTION,
            _ if changes_single_writer => slice.reduction,
            Priority::NoEndpoint | Priority::Urgent => slice.applied_reduction,
            Priority::Normal | Priority::StandbyOnly => slice.reduction,
        };
        let was_owner = |id: &ReplicaId| table.applied.get(id).is_some_and(|weight| *weight >= FULL_WEIGHT);
        let is_needed_now = |(id, weight): &(ReplicaId, f64)| match priority {
            Priority::NoEndpoint => *weight >= FULL_WEIGHT,
            Priority::Urgent => *weight >= FULL_WEIGHT || was_owner(id),
            Priority::Normal | Priority::StandbyOnly => true,
        };
        let endpoints = if must_halt_first {
            Vec::new()
        } else {
            table.diff(self.removal_mode()).into_iter().filter(is_needed_now).collect()
        };
        SliceUpdate { slice: id, endpoints, reduction, changes_single_writer }
    }

    fn removal_mode(&self) -> Removals {
        if self.deployment.single_writer {
            Removals::Implied
        } else {
            Removals::Listed
        }
    }

    fn commands_for(&self, update: &SliceUpdate) -> Vec<Action> {
        let slice = update.slice;
        let set_endpoint = |(replica, weight): &(ReplicaId, f64)| Action::SetEndpoint {
            slice,
            replica: *replica,
            weight: *weight,
        };
        let mut commands: Vec<_> = update.endpoints.iter().map(set_endpoint).collect();
        let applied_reduction = self.slices[&slice].applied_reduction;
        commands.extend(self.admission_commands(slice, applied_reduction, update.reduction));
        commands
    }

    /// Records what was sent for a slice in this reply. If a single writer's change of owner was sent without
    /// endpoints, only the hold on its requests was sent.
    fn record_sent(&mut self, update: &SliceUpdate, command_count: usize) {
        let version = (command_count > 0).then(|| self.add_lines(command_count as f64));
        self.pending_slices.clear(update.slice);
        let removals = self.removal_mode();
        let Some(slice) = self.slices.get_mut(&update.slice) else { return };
        if slice.applied_reduction != update.reduction {
            slice.halt_confirmed_at = None;
        }
        slice.applied_reduction = update.reduction;
        let changes_table = !slice.table.is_applied();
        let message = version.filter(|_| changes_table).and_then(|sent| self.channel.sent.get_mut(&sent));
        if let Some(message) = message {
            slice.awaited_version = version;
            message.waiting_slices.push(update.slice);
        }
        self.change_table(update.slice, |table| table.record_applied(&update.endpoints, removals));
    }

    /// Marks the part of the slice's changes that was not sent as pending.
    fn mark_remainder_pending(&mut self, id: SliceId, priority: Priority, changes_single_writer: bool) {
        let slice = &self.slices[&id];
        let remainder_priority = match priority {
            _ if slice.is_fully_applied() => return,
            _ if changes_single_writer => priority.max(Priority::Urgent),
            Priority::NoEndpoint => Priority::Urgent,
            _ if slice.reduction == slice.applied_reduction => Priority::StandbyOnly,
            _ => Priority::Normal,
        };
        self.mark_pending(id, remainder_priority);
    }

    /// Returns true if the changes of the slice may be sent. Under single writer, the new owner waits for the hold on
    /// requests. While the relay's events are interrupted, the slice may be assigned to another controller and back,
    /// which ends the hold, so only the hold itself and changes of admission may be sent.
    fn may_send_table(&self, slice: &Slice) -> bool {
        if !self.deployment.single_writer || slice.table.is_applied() {
            return true;
        }
        let events_arrive = self.channel.events_arrive();
        if slice.applied_reduction == HALTED_REDUCTION {
            events_arrive && self.may_set_owner(slice)
        } else {
            events_arrive || !slice.table.applied.is_empty()
        }
    }

    /// Returns true if a slice whose requests are held back may get another owner: all connected proxies have
    /// acknowledged the hold, the writes that they sent before it have ended, and the table lease has ended for proxies
    /// that disconnected from this controller or from the slice's previous controller. The lifetime of a write counts
    /// from the acknowledgements, since proxies may have held requests back long after that was ordered.
    fn may_set_owner(&self, slice: &Slice) -> bool {
        let writes_ended = |at: Moment| self.now - at >= self.deployment.write_lifetime;
        slice.awaited_version.is_none()
            && slice.halt_confirmed_at.is_some_and(writes_ended)
            && self.has_lease_ended(self.proxies.last_left_at.max(slice.exclusive_since))
    }

    /// Returns true if no write by a table that a proxy has held without a connection since `left_at` is in progress.
    fn has_lease_ended(&self, left_at: Moment) -> bool {
        self.now - left_at >= self.deployment.table_lease + self.deployment.write_lifetime
    }
}
