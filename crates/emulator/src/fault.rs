//! Descriptions of the faults that a scenario injects.

use crate::{ControllerIndex, ReplicaIndex, SliceIndex, ZoneIndex};
use whinwall_policy::time::Span;

/// The kind of a fault. Ranges include `from` and exclude `to`.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the comment of each variant explains its fields")]
pub enum FaultKind {
    /// The process of a replica ends. A new, cold process starts when the fault ends.
    Crash { replica: ReplicaIndex },
    /// A replica accepts jobs but runs none.
    Hang { replica: ReplicaIndex },
    /// The responses of a replica are lost.
    Silence { replica: ReplicaIndex },
    /// The service times of a replica are multiplied by `factor`.
    Slow { replica: ReplicaIndex, factor: f64 },
    /// A replica immediately fails a share, from 0 to 1, of its jobs.
    FastErrors { replica: ReplicaIndex, share: f64 },
    /// A replica is listed as draining. A new process replaces it when the fault ends.
    Drain { replica: ReplicaIndex },
    /// Replicas drain, stop and restart one after the other.
    RollingRelease { from: ReplicaIndex, to: ReplicaIndex },
    /// Replicas drain in two batches and are replaced by new processes.
    BatchReplacement { from: ReplicaIndex, to: ReplicaIndex },
    /// The processes of all replicas of a zone end at once. New, cold processes start when the fault ends.
    ZoneLost { zone: ZoneIndex },
    /// Discovery delays, repeats, reverts or truncates its updates.
    ListAnomaly { anomaly: ListAnomaly },
    /// Healthy replicas are missing from the endpoint list.
    WrongList { from: ReplicaIndex, to: ReplicaIndex },
    /// The demand for a slice is multiplied.
    HotSlice { slice: SliceIndex, factor: f64 },
    /// The demand for all slices is multiplied.
    Burst { factor: f64 },
    /// The responses of the replicas of a zone are lost, and the proxies of the zone are disconnected.
    ZonePartitioned { zone: ZoneIndex },
    /// The relay is unreachable.
    RelayUnreachable,
    /// The relay applies requests but does not answer them.
    RelayUnresponsive,
    /// Discovery is unreachable.
    DiscoveryUnreachable,
    /// The process of a controller is killed, and restarted when the fault ends.
    ControllerKilled { controller: ControllerIndex },
    /// The first `controllers` controllers are killed at once, and a running controller takes over their slices
    /// after a delay. After their restart, proxies reconnect one by one, and the slices are returned.
    ControllersKilled { controllers: usize },
    /// The rate of all channels is reduced to this fraction.
    SlowChannel { rate_factor: f64 },
    /// The first `proxies` proxies are disconnected.
    ProxiesDisconnected { proxies: usize },
    /// Slices are reassigned to the next controller, and back when the fault ends.
    SlicesReassigned { from: SliceIndex, to: SliceIndex },
    /// A share, from 0 to 1, of the relay's responses and keepalives is malformed.
    GarbledRelay { share: f64 },
    /// An override takes a replica out of service for the duration of the fault.
    OutOfService { replica: ReplicaIndex },
}

/// An anomaly in the delivery of endpoint list updates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListAnomaly {
    /// Each update is delayed by this duration.
    Delayed(Span),
    /// Each update is delivered three times.
    Repeated,
    /// Each new list is followed by the previous list and by the new list again.
    Reverted,
    /// Each update is first delivered without every n-th entry, where n is this number, and then completely.
    Partial(usize),
}

/// A fault with its start time and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The time from the start of the scenario until the fault starts.
    pub starts_after: Span,
    /// The duration of the fault.
    pub duration: Span,
    /// The kind of the fault.
    pub kind: FaultKind,
}

impl Fault {
    /// Creates a fault from its start time and its duration in milliseconds.
    pub fn new(starts_after_ms: u64, duration_ms: u64, kind: FaultKind) -> Self {
        Fault { starts_after: Span::ms(starts_after_ms), duration: Span::ms(duration_ms), kind }
    }
}
