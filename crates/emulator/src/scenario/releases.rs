//! Replicas are drained, stopped and started again.

use super::event::{ReleaseStage, ScheduledEvent};
use super::state::{ListedState, Scenario};
use crate::replica::ReplicaState;
use crate::ReplicaIndex;
use whinwall_policy::time::Span;

/// How long a released replica drains before its process ends.
const DRAIN_DURATION: Span = Span::ms(4000);
/// From the end of one released replica's process to the next replica's drain.
const NEXT_REPLICA_DELAY: Span = Span::ms(500);

impl Scenario {
    /// Starts a new process of a replica, and lists it.
    pub(super) fn restart_replica(&mut self, replica: ReplicaIndex) {
        self.replicas[replica].restart(self.now);
        self.set_listed_state(replica, ListedState::Active);
    }

    /// Schedules the start of a replica that has crashed by itself.
    pub(super) fn schedule_restart(&mut self, replica: ReplicaIndex) {
        let event = ScheduledEvent::ReleaseReplica { replica, to: replica, stage: ReleaseStage::Restart };
        self.after(self.config.restart_delay, event);
    }

    /// Does one stage of a replica's release and schedules the next one; the release of the replica after it
    /// begins while this one is restarted.
    pub(super) fn advance_release(&mut self, replica: ReplicaIndex, to: ReplicaIndex, stage: ReleaseStage) {
        match stage {
            ReleaseStage::Drain => {
                self.set_listed_state(replica, ListedState::Draining);
                let stop = ScheduledEvent::ReleaseReplica { replica, to, stage: ReleaseStage::Stop };
                self.after(DRAIN_DURATION, stop);
            }
            ReleaseStage::Stop => {
                self.replicas[replica].crash();
                self.set_listed_state(replica, ListedState::Removed);
                let restart = ScheduledEvent::ReleaseReplica { replica, to, stage: ReleaseStage::Restart };
                self.after(self.config.restart_delay, restart);
                let next = replica + 1;
                if next < to {
                    let stage = ReleaseStage::Drain;
                    self.after(
                        NEXT_REPLICA_DELAY,
                        ScheduledEvent::ReleaseReplica { replica: next, to, stage },
                    );
                }
            }
            ReleaseStage::Restart if self.replicas[replica].state == ReplicaState::Down => {
                self.restart_replica(replica);
            }
            ReleaseStage::Restart => {}
        }
    }
}
