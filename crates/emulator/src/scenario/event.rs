//! The scheduled events of a scenario.

use crate::replica::Job;
use crate::{ControllerIndex, ProxyIndex, ReplicaIndex};
use whinwall_protocol::discovery;
use whinwall_routing::Event;

/// The outcome of an attempt or a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestOutcome {
    Succeeded,
    /// The request provably did not run.
    Rejected,
    /// The request may have run.
    Failed,
}

/// The next stage in the release of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ReleaseStage {
    Drain,
    Stop,
    Restart,
}

/// An input to a controller, or a relay request from it.
pub(super) enum Delivery {
    Event(Box<Event>),
    /// A snapshot of the endpoint list.
    List(Box<discovery::List>),
    /// A line of the relay's watch stream.
    RelayEvent(String),
    /// The controller's `InputDrained` event: all input of the current time has been delivered.
    InputDrained,
    /// A request of the controller that arrives at the relay.
    RelayRequest(String),
}

/// An event at a scheduled time.
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
    /// Messages in the channel of a controller arrive at proxies.
    DeliverChannelMessages(ControllerIndex),
    /// An input arrives at a controller. It is dropped if the incarnation has changed.
    Deliver {
        controller: ControllerIndex,
        incarnation: u64,
        delivery: Delivery,
    },
    /// The fault with this index starts.
    FaultStarts(usize),
    /// The fault with this index ends.
    FaultEnds(usize),
    /// The release of `replica` reaches a stage. The following replicas are released afterwards, up to `to`, which is
    /// excluded.
    ReleaseReplica {
        replica: ReplicaIndex,
        to: ReplicaIndex,
        stage: ReleaseStage,
    },
    RelayKeepalive,
    /// Another controller takes over the slices of this controller.
    TakeOverSlices(ControllerIndex),
    /// The slices of a restarted controller are returned to it.
    ReturnSlices(ControllerIndex),
    ProxyReconnects {
        controller: ControllerIndex,
        proxy: ProxyIndex,
    },
}
