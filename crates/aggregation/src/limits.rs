//! Times and sizes of an aggregator. Sizes bound what others may cost it.

use whinwall_policy::time::Span;

/// Collectors report each second, and a controller is sent a line each second while the budget allows it.
pub const REPORT_PERIOD: Span = Span::ms(1000);
/// No key with new reports waits longer than this for its line.
pub const MAX_WINDOW: Span = Span::ms(5000);
/// A replica that no collector speaks of for so long gets a line that says so, with a count of 0: a controller takes no
/// silence for a verdict. Two reports that are late are no silence.
pub const IDLE_REPLICA: Span = Span::ms(2500);
/// The first line about a key on a new connection reaches back at most this far: past the suspicion of a dead
/// owner, and the dial.
pub const LATE_START: Span = Span::ms(5000);
/// The reducer is to be called with a tick this often; a controller's turn is late by no more.
pub const TICK: Span = Span::ms(25);
/// Aggregators tell each other this often that they are alive.
pub const HEARTBEAT: Span = Span::ms(500);
/// Three missed heartbeats and some delay.
pub const SUSPECT_AFTER: Span = Span::ms(2000);
/// A peer that was suspected, or is new, is alive again after so many heartbeats in time.
pub const HEARTBEATS_TO_RETURN: u32 = 3;
/// After a start, and after a stall, no controller is served for so long: collectors connect anew each at its own
/// time, and sums of the first few would look like half of the traffic.
pub const START_HOLD: Span = Span::ms(3000);
/// Whoever was not called for so long was stopped or starved: what it holds is partial.
pub const STALL: Span = Span::ms(2000);
/// Two missed reports of a collector and some delay.
pub const ZONE_SILENT: Span = Span::ms(2500);
/// A zone that is missing for so long is gone for good.
pub const ZONE_FORGOTTEN: Span = Span::ms(2 * 3600 * 1000);
/// Discovery's watch gives a heartbeat each two seconds; the list is old where it is silent for so long.
pub const REGISTRY_STALE: Span = Span::ms(6000);
/// For this long a list below the known version is taken to be from an agent that lags; then it counts as a restarted count.
pub const REGISTRY_BEHIND: Span = Span::ms(6000);
/// A watch without a change for this long is requested again: it may have missed one.
pub const REGISTRY_RENEWED: Span = Span::ms(30_000);
/// Before discovery is asked again, and before the first new dial to a controller.
pub const RETRY: Span = Span::ms(1000);
/// The longest pause between dials to a controller that can't be reached.
pub const MAX_RETRY: Span = Span::ms(5000);
/// A controller is asked for a heartbeat in each of its turns, and is lost where it gives none for so long.
pub const CONTROLLER_SILENT: Span = Span::ms(5000);
/// Subsets are computed anew at most this often, however many changes the registry tells.
pub const SUBSETS_EVERY: Span = Span::ms(1000);
/// A slice's class that no collector speaks of for so long is forgotten.
pub const CLASS_IDLE: Span = Span::ms(600_000);

/// Replicas in the registry; more are left out.
pub const MAX_REPLICAS: usize = 16_384;
/// Slices that are named for controllers, all together.
pub const MAX_SLICES: usize = 65_536;
/// Request classes of one slice.
pub const MAX_CLASSES: usize = 64;
/// Zones with collectors.
pub const MAX_ZONES: usize = 64;
/// Aggregators of a fleet.
pub const MAX_AGGREGATORS: usize = 64;
/// Bytes of a name: of a replica, a zone, or a class.
pub const MAX_NAME: usize = 128;
