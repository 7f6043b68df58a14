//! Faults to inject into a scenario, as data.

use crate::{ControllerIndex, ReplicaIndex, SliceIndex, ZoneIndex};
use whinwall_policy::time::Span;

/// What goes wrong. Ranges include `from` and exclude `to`.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the fields say what the variant's own comment names")]
pub enum FaultKind {
    /// A replica's process ends; a new one, cold, is started when the fault is over.
    Crash { replica: ReplicaIndex },
    /// A replica accepts jobs and runs none.
    Hang { replica: ReplicaIndex },
    /// A replica's responses are lost.
    Silence { replica: ReplicaIndex },
    /// A replica takes `factor` times as long.
    Slow { replica: ReplicaIndex, factor: f64 },
    /// A replica fails a share of its jobs, 0 to 1, at once.
    FastErrors { replica: ReplicaIndex, share: f64 },
    /// A replica is listed as draining, and replaced by a new process when the fault is over.
    Drain { replica: ReplicaIndex },
    /// One replica after the other drains, ends and is started again.
    RollingRelease { from: ReplicaIndex, to: ReplicaIndex },
    /// Replicas drain in two batches, and are replaced by new processes.
    BatchReplacement { from: ReplicaIndex, to: ReplicaIndex },
    /// All replicas of a zone end at once; new ones, cold, are started when the fault is over.
    ZoneLost { zone: ZoneIndex },
    /// Discovery delivers its changes in an anomalous manner.
    ListAnomaly { anomaly: ListAnomaly },
    /// The endpoint list drops healthy replicas.
    WrongList { from: ReplicaIndex, to: ReplicaIndex },
    /// The demand for a slice is multiplied.
    HotSlice { slice: SliceIndex, factor: f64 },
    /// The demand for all slices is multiplied.
    Burst { factor: f64 },
    /// The responses of a zone's replicas are lost, and its proxies are disconnected from the controllers.
    ZonePartitioned { zone: ZoneIndex },
    /// The relay can't be reached.
    RelayUnreachable,
    /// The relay carries out requests without ever answering.
    RelayUnresponsive,
    /// Discovery can't be reached.
    DiscoveryUnreachable,
    /// A controller's process ends, and is started again when the fault is over.
    ControllerKilled { controller: ControllerIndex },
    /// The first `controllers` controllers end at once. Another one takes over their slices after a while. When
    /// they are started again, proxies reconnect one by one, and their slices are returned.
    ControllersKilled { controllers: usize },
    /// The channels' rate is reduced to this fraction.
    SlowChannel { rate_factor: f64 },
    /// The first `proxies` proxies are disconnected.
    ProxiesDisconnected { proxies: usize },
    /// Slices are reassigned to the next controller, and back when the fault is over.
    SlicesReassigned { from: SliceIndex, to: SliceIndex },
    /// A share of the relay's responses and events, 0 to 1, is unreadable.
    GarbledRelay { share: f64 },
    /// An operator's override takes a replica out of service while the fault lasts.
    OutOfService { replica: ReplicaIndex },
}

/// How discovery delivers the changes of its endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListAnomaly {
    /// Each change this much later.
    Delayed(Span),
    /// Each change three times.
    Repeated,
    /// Each new list, then the list before it, then the new one again.
    Reverted,
    /// Each change first without every so manyth entry, then complete.
    Partial(usize),
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it starts, from the beginning of the scenario.
    pub starts_after: Span,
    /// How long it lasts.
    pub duration: Span,
    /// What goes wrong.
    pub kind: FaultKind,
}

impl Fault {
    /// A fault that starts after this time and lasts this long, both in milliseconds.
    pub fn new(starts_after_ms: u64, duration_ms: u64, kind: FaultKind) -> Self {
        Fault { starts_after: Span::ms(starts_after_ms), duration: Span::ms(duration_ms), kind }
    }
}
