//! Releases of replicas: drain, stop and restart.

use super::event::{ReleaseStage, ScheduledEvent};
use super::state::{ListedState, Scenario};
use crate::replica::ReplicaState;
use crate::ReplicaIndex;
use whinwall_policy::time::Span;

/// The time that a replica drains before its process ends in a release.
const DRAIN_DURATION: Span = Span::ms(4000);
/// The time from the stop of one replica until the drain of the next one.
const NEXT_REPLICA_DELAY: Span = Span::ms(500);

impl Scenario {
    /// Starts a new process of a replica and lists the replica as active.
    pub(super) fn restart_replica(&mut self, replica: ReplicaIndex) {
        self.replicas[replica].restart(self.now);
        self.set_listed_state(replica, ListedState::Active);
    }

    /// Schedules the restart of a replica that has crashed from overload.
    pub(super) fn schedule_restart(&mut self, replica: ReplicaIndex) {
        let event = ScheduledEvent::ReleaseReplica { replica, to: replica, stage: ReleaseStage::Restart };
        self.schedule_after(self.config.restart_delay, event);
    }

    /// Performs one stage of the release of a replica and schedules the next stage. The release of the next replica
    /// starts during the restart of this one.
    pub(super) fn advance_release(&mut self, replica: ReplicaIndex, to: ReplicaIndex, stage: ReleaseStage) {
        match stage {
            ReleaseStage::Drain => {
                self.set_listed_state(replica, ListedState::Draining);
                let stop = ScheduledEvent::ReleaseReplica { replica, to, stage: ReleaseStage::Stop };
                self.schedule_after(DRAIN_DURATION, stop);
            }
            ReleaseStage::Stop => {
                self.replicas[replica].crash();
                self.set_listed_state(replica, ListedState::Removed);
                let restart = ScheduledEvent::ReleaseReplica { replica, to, stage: ReleaseStage::Restart };
                self.schedule_after(self.config.restart_delay, restart);
                let next = replica + 1;
                if next < to {
                    let stage = ReleaseStage::Drain;
                    self.schedule_after(
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
