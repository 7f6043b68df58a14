//! Tracks the progress of an event: the conditions that each controller has not reached yet, the time at which it
//! reached all of them, and the bytes sent during the event.

use super::plan::ControllerId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Duration of the bins in which sent bytes are summed. The peak rate is that of the bin with the highest sum.
const BIN_DURATION: Duration = Duration::from_millis(100);

/// A condition that a controller reaches during an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// The controller has answered a ping since its start.
    PingAnswered,
    /// The relay of this site has sent a snapshot to the controller.
    RelaySnapshotFrom(Site),
    /// The discovery agent of this site has sent the endpoint list to the controller.
    ListFrom(Site),
    /// The controller has received this version of the endpoint list, or a newer one.
    ListVersion(u64),
    /// The controller has withdrawn the drained replica from its proxies.
    Withdrawn,
    /// The controller has detected the network partition, and retries.
    PartitionDetected,
}

/// The site of a controller's relay and discovery, which a configuration change replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Site {
    /// The site in the first configuration.
    First,
    /// The site in the changed configuration.
    Second,
}

/// A kind of data that is sent to controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Traffic {
    /// Endpoint lists of discovery.
    List,
    /// Events of the relay.
    RelayEvent,
    /// Reports of collectors.
    Reports,
}

/// The bytes sent during an event.
#[derive(Clone, Debug, Default)]
pub struct SentBytes {
    bins: BTreeMap<(Traffic, u128), u64>,
}

impl SentBytes {
    /// Returns the total bytes of this kind.
    pub fn bytes(&self, traffic: Traffic) -> u64 {
        self.bins_of(traffic).sum()
    }

    /// Returns the highest rate of this kind in one bin, in bytes per second.
    pub fn peak_bytes_per_second(&self, traffic: Traffic) -> f64 {
        self.bins_of(traffic).max().unwrap_or(0) as f64 / BIN_DURATION.as_secs_f64()
    }

    fn bins_of(&self, traffic: Traffic) -> impl Iterator<Item = u64> + '_ {
        self.bins.iter().filter(move |((kind, _), _)| *kind == traffic).map(|(_, bytes)| *bytes)
    }
}

/// The progress of the controllers in an event.
#[derive(Clone, Debug, Default)]
pub struct EventProgress {
    /// Time from the start of the event until a controller had reached all its conditions.
    pub times: BTreeMap<ControllerId, Duration>,
    /// CPU time of a simulated controller from the time at which the event reached it.
    pub processor_time: BTreeMap<ControllerId, Duration>,
    /// The conditions that controllers have not reached yet.
    pub missing: BTreeMap<ControllerId, BTreeSet<Condition>>,
    /// Bytes sent to the real processes during the event.
    pub real: SentBytes,
    /// Bytes sent to the simulated controllers during the event.
    pub simulated: SentBytes,
}

struct CurrentEvent {
    began: Instant,
    drained: Option<String>,
    progress: EventProgress,
}

/// Shared by all fakes, which record the conditions that controllers reach. The task that runs the events waits for
/// them.
pub struct Tracker {
    real: usize,
    created: Instant,
    current_event: Mutex<CurrentEvent>,
    /// Notified when a controller has completed the event.
    controller_completed: Notify,
}

impl Tracker {
    /// Creates a tracker for a fleet whose first `real` controllers are processes.
    pub fn new(real: usize) -> Self {
        let current_event =
            CurrentEvent { began: Instant::now(), drained: None, progress: EventProgress::default() };
        Tracker {
            real,
            created: Instant::now(),
            current_event: Mutex::new(current_event),
            controller_completed: Notify::new(),
        }
    }

    /// Returns the time since the tracker was created.
    pub fn age(&self) -> Duration {
        self.created.elapsed()
    }

    fn current_event(&self) -> MutexGuard<'_, CurrentEvent> {
        self.current_event.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins an event, which is complete when each of the controllers has reached all of the conditions.
    pub fn begin_event(&self, controllers: impl IntoIterator<Item = ControllerId>, conditions: &[Condition]) {
        let awaited: BTreeSet<_> = conditions.iter().copied().collect();
        let missing = controllers.into_iter().map(|controller| (controller, awaited.clone())).collect();
        let mut current_event = self.current_event();
        current_event.progress = EventProgress { missing, ..EventProgress::default() };
        current_event.began = Instant::now();
    }

    /// Sets the replica that controllers are expected to withdraw.
    pub fn set_drained_replica(&self, replica: String) {
        self.current_event().drained = Some(replica);
    }

    /// Returns the replica that controllers are expected to withdraw.
    pub fn drained_replica(&self) -> Option<String> {
        self.current_event().drained.clone()
    }

    /// Records that a controller has reached a condition; returns true if it was the controller's last open condition.
    pub fn record_condition(&self, controller: ControllerId, condition: Condition) -> bool {
        let mut current_event = self.current_event();
        let elapsed = current_event.began.elapsed();
        let Some(open_conditions) = current_event.progress.missing.get_mut(&controller) else { return false };
        open_conditions.retain(|awaited| match (*awaited, condition) {
            (Condition::ListVersion(awaited), Condition::ListVersion(version)) => version < awaited,
            (awaited, condition) => awaited != condition,
        });
        if open_conditions.is_empty() {
            current_event.progress.missing.remove(&controller);
            current_event.progress.times.insert(controller, elapsed);
            self.controller_completed.notify_one();
            return true;
        }
        false
    }

    /// Records the CPU time that a simulated controller has used for the event.
    pub fn record_processor_time(&self, controller: ControllerId, processor_time: Duration) {
        self.current_event().progress.processor_time.insert(controller, processor_time);
    }

    /// Returns true while the controller has not completed the event.
    pub fn is_waiting_for(&self, controller: ControllerId) -> bool {
        self.current_event().progress.missing.contains_key(&controller)
    }

    /// Returns true while any controller has not completed the event.
    pub fn is_event_in_progress(&self) -> bool {
        !self.current_event().progress.missing.is_empty()
    }

    /// Adds bytes sent to a controller.
    pub fn add_sent_bytes(&self, controller: ControllerId, traffic: Traffic, bytes: usize) {
        let mut current_event = self.current_event();
        let bin = current_event.began.elapsed().as_nanos() / BIN_DURATION.as_nanos();
        let progress = &mut current_event.progress;
        let sent_bytes = if controller < self.real { &mut progress.real } else { &mut progress.simulated };
        *sent_bytes.bins.entry((traffic, bin)).or_default() += bytes as u64;
    }

    /// Waits until all controllers have completed the event, for up to `event_timeout`, and returns the progress.
    pub async fn wait_for_completion(&self, event_timeout: Duration) -> EventProgress {
        let deadline = tokio::time::Instant::now() + event_timeout;
        while !self.current_event().progress.missing.is_empty() {
            if tokio::time::timeout_at(deadline, self.controller_completed.notified()).await.is_err() {
                break;
            }
        }
        self.current_event().progress.clone()
    }
}
