//! The events that a scenario schedules.

use crate::replica::Job;
use crate::{ControllerIndex, ProxyIndex, ReplicaIndex};
use whinwall_protocol::discovery;
use whinwall_routing::Event;

/// How an attempt or a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestOutcome {
    Succeeded,
    /// It provably did not run.
    Rejected,
    /// It may have run.
    Failed,
}

/// What is done next with a replica that is released.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ReleaseStage {
    Drain,
    Stop,
    Restart,
}

/// An input to a controller.
pub(super) enum Delivery {
    Event(Box<Event>),
    /// A snapshot of the endpoint list.
    List(Box<discovery::List>),
    /// A line of the relay's watch stream.
    RelayEvent(String),
    /// All input of a moment has been delivered.
    InputDrained,
    /// Not an input but a request of the controller, that reaches the relay.
    RelayRequest(String),
}

/// What happens at a scheduled time.
pub(super) enum ScheduledEvent {
    RequestArrives,
    JobReachesReplica {
        replica: ReplicaIndex,
        job: Job,
    },
    JobFinished {
        replica: ReplicaIndex,
        incarnation: u64,
        job: Job,
    },
    ResponseArrives {
        replica: ReplicaIndex,
        job: Job,
        outcome: RequestOutcome,
    },
    RequestTimesOut {
        request: u64,
        attempt: u32,
    },
    ClientRetries {
        request: u64,
    },
    SendReports,
    CheckEmptyTables,
    /// Messages of a controller's channel reach proxies.
    DeliverChannelMessages(ControllerIndex),
    /// Something reaches a controller, unless its incarnation is over by then.
    Deliver {
        controller: ControllerIndex,
        incarnation: u64,
        delivery: Delivery,
    },
    /// The fault at this position starts.
    FaultStarts(usize),
    /// The fault at this position is over.
    FaultEnds(usize),
    /// A stage of the release of `replica`, followed by those up to `to`.
    ReleaseReplica {
        replica: ReplicaIndex,
        to: ReplicaIndex,
        stage: ReleaseStage,
    },
    RelayKeepalive,
    /// Another controller takes over the slices of this one.
    TakeOverSlices(ControllerIndex),
    /// A controller that was started again gets its slices back.
    ReturnSlices(ControllerIndex),
    ProxyReconnects {
        controller: ControllerIndex,
        proxy: ProxyIndex,
    },
}
