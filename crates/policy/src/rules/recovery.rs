//! Recovery of the list and of withdrawals.

use crate::api::Action;
use crate::state::fleet::Policy;
use crate::state::slice::Priority;
use crate::time::Span;

/// So much of the grace a withdrawal waits that is said again to proxies that joined: for others that join.
pub(crate) const TOLD_AGAIN: f64 = 0.25;
pub(crate) const ASK_AGAIN: Span = Span::ms(1500);

impl Policy {
    pub(crate) fn follow_list(&mut self) -> bool {
        let due = self.due.list.take_if(|at| *at <= self.now);
        self.actions.extend(due.map(|_| Action::RequestReplicaList));
        due.is_some()
    }

    /// One line a replica shuts it out of all tables, and who stands by takes over, long before each table is
    /// written anew (rule 3); the oldest first, or what joiners have to hear again starves what nobody heard.
    /// Lifting waits a round for whoever joins late, and never fills the channel; until then it is not used.
    pub(crate) fn withdraw(&mut self) -> bool {
        let lifts = self.lifts_are_due() && self.has_room(1.0, Priority::Calm);
        let due = self.to_shut.iter().filter(|(_, at)| **at <= self.now).min_by_key(|(_, at)| **at);
        let shut = due
            .filter(|_| self.has_room(1.0, Priority::Bare))
            .map(|(id, _)| Action::Withdraw { replica: *id });
        let lift = || self.to_lift.first().filter(|_| lifts).map(|id| Action::Reinstate { replica: *id });
        let Some(step) = shut.or_else(lift) else { return false };
        self.write(1.0);
        self.note_withdrawal(&step);
        self.actions.push(step);
        true
    }
}
