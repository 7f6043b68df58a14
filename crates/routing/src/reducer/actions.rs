//! Actions of the policy: those for the relay become commands, the others are executed here.

use super::Reducer;
use crate::log_event::LogEvent;
use crate::timers::Timer;
use whinwall_policy::api::{Action, ReplicaId, SliceId};
use whinwall_policy::time::Moment;
use whinwall_protocol::relay::Command;

impl Reducer {
    /// The command for an action. An action that is local to this controller is executed here and has no command.
    pub(super) fn command_for_action(&mut self, now: Moment, action: Action) -> Option<Command> {
        Some(match action {
            Action::SetEndpoint { slice, replica, weight } => {
                let name = self.names.name(replica)?;
                self.set_endpoint(slice, replica, weight);
                Command::SetEndpoint { slice, replica: name, weight }
            }
            Action::Withdraw { replica } => Command::Withdraw { replica: self.names.name(replica)? },
            Action::Reinstate { replica } => Command::Reinstate { replica: self.names.name(replica)? },
            Action::SetAdmission { slice, request_classes, admission_rate, retries } => {
                let classes = self.settings.request_classes.iter().enumerate();
                let selected = classes.filter(|(position, _)| request_classes >> position & 1 == 1);
                let request_classes = selected.map(|(_, name)| name.clone()).collect();
                Command::SetAdmission { slice, request_classes, admission_rate, retries }
            }
            Action::Sync { version } => Command::Sync { version },
            Action::RequestReplicaList => {
                self.open_registry_watch(now);
                return None;
            }
            Action::StartTimer { token, after } => {
                self.timers.start(now + after, Timer::Policy(token));
                return None;
            }
            Action::ReplicaEjected { replica, cause } => {
                let replica = self.names.name(replica)?;
                self.log(LogEvent::ReplicaEjected { replica, reason: cause });
                return None;
            }
            Action::ColdReplicaAssigned { replica, slice, basis } => {
                let replica = self.names.name(replica)?;
                self.log(LogEvent::ColdReplicaAssigned { replica, slice, basis });
                return None;
            }
            Action::ColdReplicaOverBudget { replica, load } => {
                let replica = self.names.name(replica)?;
                self.log(LogEvent::ColdReplicaOverBudget { replica, load });
                return None;
            }
        })
    }

    /// Applies a command to the known routing table, as the relay will apply it to its store.
    fn set_endpoint(&mut self, slice: SliceId, replica: ReplicaId, weight: f64) {
        let table = self.relay.tables.entry(slice).or_default();
        let pending_tables = self.relay.pending_tables.entry(slice).or_insert_with(|| vec![table.clone()]);
        if weight > 0.0 {
            // With a single writer, a new endpoint replaces the previous one.
            if self.settings.deployment.single_writer {
                table.clear();
            }
            table.insert(replica, weight);
        } else {
            table.remove(&replica);
        }
        pending_tables.push(table.clone());
    }
}
