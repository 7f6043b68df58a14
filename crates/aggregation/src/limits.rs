//! Time constants and size limits of an aggregator. The size limits bound the memory that peers can make it use.

use whinwall_policy::time::Span;

/// Collectors report once per period. A controller is sent one line per key and period if its budget allows it.
pub const REPORT_PERIOD: Span = Span::ms(1000);
/// Maximum time that a key with new reports waits for its line.
pub const MAX_WINDOW: Span = Span::ms(5000);
/// A replica without collector reports for this time is reported with a count of 0, because controllers draw no
/// conclusion from missing reports. The value tolerates two late reports.
pub const REPLICA_IDLE_TIMEOUT: Span = Span::ms(2500);
/// Maximum time that the first line of a key on a new connection covers. It exceeds the time to suspect a failed
/// aggregator and to connect to its controllers.
pub const MAX_INITIAL_WINDOW: Span = Span::ms(5000);
/// Interval of the reducer's ticks, and the maximum delay of a controller's batch.
pub const TICK_PERIOD: Span = Span::ms(25);
/// Interval of heartbeats between aggregators.
pub const HEARTBEAT_PERIOD: Span = Span::ms(500);
/// A peer is suspected to have failed after this time without a heartbeat: three missed heartbeats and some delay.
pub const PEER_TIMEOUT: Span = Span::ms(2000);
/// Number of consecutive timely heartbeats after which a new or suspected peer counts as alive.
pub const HEARTBEATS_UNTIL_ALIVE: u32 = 3;
/// Time after a start or a stall during which no controller is served. Collectors reconnect at different times, so the
/// first sums would contain only a part of the traffic.
pub const START_HOLD_TIME: Span = Span::ms(3000);
/// A longer time between calls of the reducer means that the process was stopped or starved of CPU; its sums are
/// partial.
pub const STALL_THRESHOLD: Span = Span::ms(2000);
/// A zone is missing after this time without reports: two missed reports and some delay.
pub const ZONE_TIMEOUT: Span = Span::ms(2500);
/// A zone that has been missing for this time is taken to be permanently removed.
pub const ZONE_RETENTION: Span = Span::ms(2 * 3600 * 1000);
/// The endpoint list is stale after this time without a message from discovery, whose watch sends a heartbeat every
/// two seconds.
pub const REGISTRY_STALE_AFTER: Span = Span::ms(6000);
/// Endpoint lists with a version below the current one are attributed to a lagging discovery agent and ignored for this
/// time. After that the version numbering is taken to have been restarted, and a complete list is accepted.
pub const REGISTRY_LAG_TIMEOUT: Span = Span::ms(6000);
/// A watch without a change for this time is requested again, because it may have missed a change.
pub const REGISTRY_RENEWAL_PERIOD: Span = Span::ms(30_000);
/// Delay before a new request to discovery, and initial delay before reconnecting to a controller.
pub const RETRY_DELAY: Span = Span::ms(1000);
/// Maximum delay between attempts to connect to an unreachable controller.
pub const MAX_RETRY_DELAY: Span = Span::ms(5000);
/// A controller is pinged in each batch. Its connection is closed after this time without an answer.
pub const CONTROLLER_TIMEOUT: Span = Span::ms(5000);
/// Minimum interval between computations of subsets, regardless of the number of registry changes.
pub const MIN_SUBSET_INTERVAL: Span = Span::ms(1000);
/// The series of a slice and request class is removed after this time without reports.
pub const CLASS_IDLE_TIMEOUT: Span = Span::ms(600_000);

/// Maximum number of replicas in the registry; further ones are skipped.
pub const MAX_REPLICAS: usize = 16_384;
/// Maximum total number of slices of all controllers.
pub const MAX_SLICES: usize = 65_536;
/// Maximum number of request classes per slice.
pub const MAX_CLASSES_PER_SLICE: usize = 64;
/// Maximum number of zones.
pub const MAX_ZONES: usize = 64;
/// Maximum number of aggregators in a fleet.
pub const MAX_AGGREGATORS: usize = 64;
/// Maximum length in bytes of the name of a replica, zone or request class.
pub const MAX_NAME_BYTES: usize = 128;
