//! Sends what differs between desired and applied.

use crate::api::{Action, ReplicaId, SliceId};
use crate::state::fleet::Policy;
use crate::state::slice::{Priority, Slice, HALTED, WHOLE};
use crate::time::Moment;

impl Policy {
    /// Sends one slice's difference, urgent ones first, while there is room, and no more of it than matters
    /// now: a table without a line gets one, an owner is replaced; levels and who stands by can wait.
    pub(crate) fn dispatch(&mut self) -> bool {
        let next = self.untold.iter().find(|(.., n)| self.may_send(&self.slices[n]));
        let Some(&(priority, _, n)) = next else { return false };
        let slice = &self.slices[&n];
        // A single writer's requests are held back, and the writes in hand run out, before another owner gets
        // them: else a proxy that learns late would write to the former one still (rule 2).
        let single = slice.wanted != slice.held && self.site.single_writer && !slice.held.is_empty();
        let halts = single && slice.cut_held != HALTED;
        let cut = match priority {
            _ if single => HALTED,
            Priority::Bare | Priority::Urgent => slice.cut_held,
            _ => slice.cut,
        };
        let matters = |(id, weight): &(ReplicaId, f64)| match priority {
            Priority::Bare => *weight >= WHOLE,
            Priority::Urgent => *weight >= WHOLE || slice.held.get(id).is_some_and(|held| *held >= WHOLE),
            _ => true,
        };
        // New lines go before old ones leave: a table is at no moment empty (rule 1).
        let mut lines = slice.differences(!self.site.single_writer);
        lines.retain(|line| !halts && matters(line));
        let line =
            |(replica, weight): &(_, _)| Action::SetEndpoint { slice: n, replica: *replica, weight: *weight };
        let mut orders: Vec<_> = lines.iter().map(line).collect();
        orders.extend(self.level_orders(n, slice.cut_held, cut));
        if !self.has_room(orders.len() as f64, priority) {
            return false;
        }
        self.note_sent(n, cut, &lines, orders.len() as f64);
        self.actions.extend(orders);
        let slice = &self.slices[&n];
        match priority {
            _ if slice.is_told() => {}
            _ if single => self.tell(n, priority.max(Priority::Urgent)),
            Priority::Bare => self.tell(n, Priority::Urgent),
            _ if slice.cut == slice.cut_held => self.tell(n, Priority::Spare),
            _ => self.tell(n, Priority::Calm),
        }
        true
    }

    /// Where a slice has one writer, each stage of a change of owner waits for the one before: acks of all who are
    /// joined, the time that those may go on who parted from us or its former controller, and a write's life.
    pub(crate) fn may_send(&self, s: &Slice) -> bool {
        let calm = || self.now - self.parted_at.max(s.given) >= self.site.tenure + self.site.write_lifetime;
        let done = |at: Moment| self.now - at >= self.site.write_lifetime;
        !self.site.single_writer
            || s.cut_held != HALTED
            || (s.version.is_none() && calm() && s.halted.is_none_or(done))
    }

    /// Notes what went out in this reply for a slice: lines of its table and its cut. Without lines a change
    /// of owner has only begun.
    pub(crate) fn note_sent(&mut self, n: SliceId, cut: f64, lines: &[(ReplicaId, f64)], orders: f64) {
        let version = (orders > 0.0).then(|| self.write(orders));
        self.told(n);
        let now = self.now;
        let Some(slice) = self.slices.get_mut(&n) else { return };
        let halts = slice.cut_held != cut && lines.is_empty();
        slice.halted = if halts { Some(now) } else { slice.halted };
        slice.cut_held = cut;
        if let Some(sent) =
            version.filter(|_| slice.wanted != slice.held).and_then(|m| self.channel.versions.get_mut(&m))
        {
            slice.version = version;
            sent.slices.push(n);
        }
        let single = self.site.single_writer && !lines.is_empty();
        self.retable(n, |slice| {
            slice.held.retain(|_, _| !single);
            slice.held.extend(lines.iter().copied());
            slice.held.retain(|_, weight| *weight > 0.0);
        });
    }
}
