//! Sends what differs between desired and applied.

use crate::api::{Action, ReplicaId, SliceId};
use crate::state::controller::ControllerState;
use crate::state::slice::{Priority, Slice, FULL_WEIGHT, HALTED_REDUCTION};
use crate::time::Moment;

impl ControllerState {
    /// Sends one slice's difference, urgent ones first, while there is room, and no more of it than matters
    /// now: a table without a line gets one, an owner is replaced; levels and who stands by can wait.
    pub(crate) fn dispatch(&mut self) -> bool {
        let next = self.pending_slices.iter().find(|(.., n)| self.may_send_table(&self.slices[n]));
        let Some(&(priority, _, n)) = next else { return false };
        let slice = &self.slices[&n];
        // A single writer's requests are held back, and the writes in hand run out, before another owner gets
        // them: else a proxy that learns late would write to the former one still (rule 2).
        let single =
            slice.desired != slice.applied && self.deployment.single_writer && !slice.applied.is_empty();
        let halts = single && slice.applied_reduction != HALTED_REDUCTION;
        let cut = match priority {
            _ if single => HALTED_REDUCTION,
            Priority::NoEndpoint | Priority::Urgent => slice.applied_reduction,
            _ => slice.reduction,
        };
        let matters = |(id, weight): &(ReplicaId, f64)| match priority {
            Priority::NoEndpoint => *weight >= FULL_WEIGHT,
            Priority::Urgent => {
                *weight >= FULL_WEIGHT || slice.applied.get(id).is_some_and(|held| *held >= FULL_WEIGHT)
            }
            _ => true,
        };
        // New lines go before old ones leave: a table is at no moment empty (rule 1).
        let mut lines = slice.diff(!self.deployment.single_writer);
        lines.retain(|line| !halts && matters(line));
        let line =
            |(replica, weight): &(_, _)| Action::SetEndpoint { slice: n, replica: *replica, weight: *weight };
        let mut orders: Vec<_> = lines.iter().map(line).collect();
        orders.extend(self.admission_commands(n, slice.applied_reduction, cut));
        if !self.has_channel_room(orders.len() as f64, priority) {
            return false;
        }
        self.record_sent(n, cut, &lines, orders.len() as f64);
        self.actions.extend(orders);
        let slice = &self.slices[&n];
        match priority {
            _ if slice.is_fully_applied() => {}
            _ if single => self.mark_pending(n, priority.max(Priority::Urgent)),
            Priority::NoEndpoint => self.mark_pending(n, Priority::Urgent),
            _ if slice.reduction == slice.applied_reduction => self.mark_pending(n, Priority::Standby),
            _ => self.mark_pending(n, Priority::Calm),
        }
        true
    }

    /// Where a slice has one writer, each stage of a change of owner waits for the one before: acks of all who are
    /// joined, the time that those may go on who parted from us or its former controller, and a write's life.
    pub(crate) fn may_send_table(&self, s: &Slice) -> bool {
        let calm = || {
            self.now - self.last_proxy_left_at.max(s.granted_at)
                >= self.deployment.tenure + self.deployment.write_lifetime
        };
        let done = |at: Moment| self.now - at >= self.deployment.write_lifetime;
        !self.deployment.single_writer
            || s.applied_reduction != HALTED_REDUCTION
            || (s.awaited_version.is_none() && calm() && s.halted_at.is_none_or(done))
    }

    /// Notes what went out in this reply for a slice: lines of its table and its cut. Without lines a change
    /// of owner has only begun.
    pub(crate) fn record_sent(&mut self, n: SliceId, cut: f64, lines: &[(ReplicaId, f64)], orders: f64) {
        let version = (orders > 0.0).then(|| self.add_lines(orders));
        self.clear_pending(n);
        let now = self.now;
        let Some(slice) = self.slices.get_mut(&n) else { return };
        let halts = slice.applied_reduction != cut && lines.is_empty();
        slice.halted_at = if halts { Some(now) } else { slice.halted_at };
        slice.applied_reduction = cut;
        if let Some(sent) =
            version.filter(|_| slice.desired != slice.applied).and_then(|m| self.channel.sent.get_mut(&m))
        {
            slice.awaited_version = version;
            sent.waiting_slices.push(n);
        }
        let single = self.deployment.single_writer && !lines.is_empty();
        self.change_table(n, |slice| {
            slice.applied.retain(|_, _| !single);
            slice.applied.extend(lines.iter().copied());
            slice.applied.retain(|_, weight| *weight > 0.0);
        });
    }
}
