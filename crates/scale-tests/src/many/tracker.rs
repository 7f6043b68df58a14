//! Progress of an event: which conditions each controller still has to reach, when it had reached all, and how much
//! was sent to it meanwhile.

use super::plan::ControllerId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Sent bytes are summed over periods of this length; the highest sum is the peak.
const BIN_LENGTH: Duration = Duration::from_millis(100);

/// A condition that a controller reaches in the course of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// It has answered a ping since its start.
    PingAnswered,
    /// The relay of this site has sent it a snapshot.
    RelaySnapshotFrom(Site),
    /// The discovery of this site has sent it the list.
    ListFrom(Site),
    /// It has received this version of the list, or a newer one.
    ListVersion(u64),
    /// It has withdrawn the drained replica from its proxies.
    Withdrawn,
    /// It has noticed that it is partitioned from the network, and retries.
    PartitionDetected,
}

/// Where relay and discovery of a controller are: before and after a change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Site {
    /// As the first configuration says.
    First,
    /// As the changed configuration says.
    Second,
}

/// What controllers are sent on request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Traffic {
    /// Discovery's lists.
    List,
    /// The relay's events.
    RelayEvent,
    /// The collectors' reports.
    Reports,
}

/// What was sent during an event.
#[derive(Clone, Debug, Default)]
pub struct SentBytes {
    bins: BTreeMap<(Traffic, u128), u64>,
}

impl SentBytes {
    /// All bytes of this kind.
    pub fn bytes(&self, traffic: Traffic) -> u64 {
        self.bins_of(traffic).sum()
    }

    /// The highest rate of this kind over one bin, in bytes a second.
    pub fn peak_bytes_per_second(&self, traffic: Traffic) -> f64 {
        self.bins_of(traffic).max().unwrap_or(0) as f64 / BIN_LENGTH.as_secs_f64()
    }

    fn bins_of(&self, traffic: Traffic) -> impl Iterator<Item = u64> + '_ {
        self.bins.iter().filter(move |((kind, _), _)| *kind == traffic).map(|(_, bytes)| *bytes)
    }
}

/// How far the controllers have come in an event.
#[derive(Clone, Debug, Default)]
pub struct EventProgress {
    /// From the event's beginning until a controller had reached all its conditions.
    pub times: BTreeMap<ControllerId, Duration>,
    /// CPU time that it took a simulated controller, from when the event reached it.
    pub processor_time: BTreeMap<ControllerId, Duration>,
    /// The conditions that controllers have not reached yet.
    pub missing: BTreeMap<ControllerId, BTreeSet<Condition>>,
    /// What was sent meanwhile, to the real processes and to the others.
    pub real: SentBytes,
    /// The same for the simulated controllers.
    pub simulated: SentBytes,
}

struct CurrentEvent {
    began: Instant,
    drained: Option<String>,
    progress: EventProgress,
}

/// Shared by all stand-ins: they record what was reached, and the task that plays the event waits for it.
pub struct Tracker {
    real: usize,
    created: Instant,
    current_event: Mutex<CurrentEvent>,
    done: Notify,
}

impl Tracker {
    /// The first `real` controllers are processes.
    pub fn new(real: usize) -> Self {
        let current_event =
            CurrentEvent { began: Instant::now(), drained: None, progress: EventProgress::default() };
        Tracker {
            real,
            created: Instant::now(),
            current_event: Mutex::new(current_event),
            done: Notify::new(),
        }
    }

    /// Time since it was created.
    pub fn age(&self) -> Duration {
        self.created.elapsed()
    }

    fn current_event(&self) -> MutexGuard<'_, CurrentEvent> {
        self.current_event.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins an event: each of these controllers is to reach all of these conditions.
    pub fn begin_event(&self, controllers: impl IntoIterator<Item = ControllerId>, conditions: &[Condition]) {
        let awaited: BTreeSet<_> = conditions.iter().copied().collect();
        let missing = controllers.into_iter().map(|controller| (controller, awaited.clone())).collect();
        let mut current_event = self.current_event();
        current_event.progress = EventProgress { missing, ..EventProgress::default() };
        current_event.began = Instant::now();
    }

    /// Sets the replica that controllers are to withdraw.
    pub fn set_drained_replica(&self, replica: String) {
        self.current_event().drained = Some(replica);
    }

    /// The replica that controllers are to withdraw.
    pub fn drained_replica(&self) -> Option<String> {
        self.current_event().drained.clone()
    }

    /// Records that a controller has reached a condition; true where it was the last one of that controller.
    pub fn record_condition(&self, controller: ControllerId, condition: Condition) -> bool {
        let mut current_event = self.current_event();
        let took = current_event.began.elapsed();
        let Some(awaited) = current_event.progress.missing.get_mut(&controller) else { return false };
        awaited.retain(|awaited| match (*awaited, condition) {
            (Condition::ListVersion(awaited), Condition::ListVersion(version)) => version < awaited,
            (awaited, condition) => awaited != condition,
        });
        if awaited.is_empty() {
            current_event.progress.missing.remove(&controller);
            current_event.progress.times.insert(controller, took);
            self.done.notify_one();
            return true;
        }
        false
    }

    /// Records the CPU time that the event has cost a simulated controller.
    pub fn record_processor_time(&self, controller: ControllerId, processor_time: Duration) {
        self.current_event().progress.processor_time.insert(controller, processor_time);
    }

    /// Whether the event waits for this controller yet.
    pub fn is_waiting_for(&self, controller: ControllerId) -> bool {
        self.current_event().progress.missing.contains_key(&controller)
    }

    /// Whether some controller has not completed the event yet.
    pub fn is_event_in_progress(&self) -> bool {
        !self.current_event().progress.missing.is_empty()
    }

    /// Counts bytes that were sent to a controller.
    pub fn add_sent_bytes(&self, controller: ControllerId, traffic: Traffic, bytes: usize) {
        let mut current_event = self.current_event();
        let bin = current_event.began.elapsed().as_nanos() / BIN_LENGTH.as_nanos();
        let progress = &mut current_event.progress;
        let sent_bytes = if controller < self.real { &mut progress.real } else { &mut progress.simulated };
        *sent_bytes.bins.entry((traffic, bin)).or_default() += bytes as u64;
    }

    /// Waits until all controllers have reached all conditions, at most for `event_timeout`, and returns the progress.
    pub async fn wait_for_completion(&self, event_timeout: Duration) -> EventProgress {
        let end = tokio::time::Instant::now() + event_timeout;
        while !self.current_event().progress.missing.is_empty() {
            if tokio::time::timeout_at(end, self.done.notified()).await.is_err() {
                break;
            }
        }
        self.current_event().progress.clone()
    }
}
