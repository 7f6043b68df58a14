//! The reducer: passes events to the policy one at a time and returns effects. Commands are issued only when all input
//! that had arrived has been applied and no relay request is pending, so that they are based on the newest state.
//!
//! This module dispatches events. The submodules handle them, and hold the state that only one of them needs.

mod actions;
mod endpoint_list;
mod management;
mod overrides;
mod peers;
mod relay_commands;
mod relay_watch;
mod reports;
mod subsets;
mod timers;

use super::endpoint_list::EndpointListVersion;
use super::events::{Effect, Event};
use super::log_event::LogEvent;
use super::overrides::Overrides;
use super::relay_view::RelayView;
use super::replica_names::ReplicaNames;
use super::report_names::ReportNames;
use super::source_failures::{Source, SourceFailures};
use super::subset::Subsets;
use super::timers::Timers;
use relay_commands::RelayCommands;
pub use relay_commands::RequestCounts;
use reports::AggregatedReports;
use std::collections::BTreeSet;
use std::fmt;
use whinwall_policy::api::{ChannelLoad, ListScope};
use whinwall_policy::random::Random;
use whinwall_policy::time::Moment;
use whinwall_policy::Policy;
use whinwall_protocol::discovery::List;
use whinwall_settings::Settings;
use whinwall_transport::{ConnectionId, Targets};

/// The state of a controller.
pub struct Reducer {
    policy: Policy,
    settings: Settings,
    targets: Targets,
    started_at: Moment,
    /// The time at which [`Event::InputDrained`] was last applied.
    drained_at: Moment,
    /// For backoff jitter: controllers that lose their connections at the same time must not reconnect at the same
    /// time.
    random: Random,
    names: ReplicaNames,
    list_version: EndpointListVersion,
    /// The connections of authenticated peers.
    collectors: BTreeSet<ConnectionId>,
    relay: RelayView,
    commands: RelayCommands,
    failures: SourceFailures,
    timers: Timers,
    /// `None` until the operators' file has been read.
    overrides: Option<Overrides>,
    /// Present while aggregators send the reports.
    aggregated: Option<AggregatedReports>,
    /// Present while the operators' file enables subsetting.
    subsets: Option<Subsets>,
    effects: Vec<Effect>,
}

impl Reducer {
    /// Creates a controller that knows nothing but an endpoint list from before the start. The seed determines all of
    /// its random choices.
    pub fn new(settings: Settings, targets: Targets, seed: u64, known_list: &List, now: Moment) -> Self {
        let mut reducer = Reducer {
            policy: Policy::start(settings.deployment.clone(), seed, now),
            settings,
            targets,
            started_at: now,
            drained_at: now,
            random: Random::from_seed(!seed),
            names: ReplicaNames::default(),
            list_version: EndpointListVersion::new(known_list.version),
            collectors: BTreeSet::new(),
            relay: RelayView::default(),
            commands: RelayCommands::default(),
            failures: SourceFailures::default(),
            timers: Timers::default(),
            overrides: None,
            aggregated: None,
            subsets: None,
            effects: Vec::new(),
        };
        let list = reducer.listings(known_list);
        reducer.policy.replicas_listed(now, ListScope::Cached, &list);
        reducer
    }

    /// Applies an event and returns its effects, in the order in which they are to be executed.
    pub fn apply(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        match event {
            Event::Started => self.started(now),
            Event::TargetsConfigured(targets) => self.targets_configured(now, targets),
            Event::SubsettingConfigured(fleet) => {
                // A fleet has aggregators, and its controllers get all reports from them.
                self.set_aggregated_reports(now, fleet.is_some());
                self.subsetting_configured(now, fleet);
            }
            Event::Message { from, message } => self.message_received(now, from, message),
            Event::InvalidMessage { from, error } => self.invalid_message_received(from, error),
            Event::Reports { from, reports } => self.reports_received(now, from, reports),
            Event::ReportBytes(bytes) => self.report_bytes_received(now, bytes),
            Event::Disconnected(from) => _ = self.collectors.remove(&from),
            Event::Relay(event) => self.relay_event_received(now, event),
            Event::RelayWatchLost(error) => self.relay_watch_lost(now, &error),
            Event::RelayResponse(response) => self.relay_responded(now, response),
            Event::UnsolicitedResponse => {
                self.log(LogEvent::UnsolicitedResponse);
                self.reread_store();
            }
            Event::EndpointListReceived(list) => self.list_received(now, &list),
            Event::EndpointListWatchLost(error) => self.registry_watch_lost(now, &error),
            Event::OperatorConfigChanged(config, reading) => self.overrides_configured(now, config, &reading),
            Event::ManagementRequest { request_id, request } => {
                self.management_requested(now, request_id, request);
            }
            Event::StoreRead { records, stamp, reading } => {
                self.change_overrides(now, |overrides| {
                    overrides.manager.handle_store_read(now, &reading, stamp.as_deref(), &records);
                });
            }
            Event::StoreUnavailable(reason) => {
                self.change_overrides(now, |overrides| {
                    overrides.manager.handle_store_unavailable(&reason);
                });
            }
            Event::SaveCompleted { serial, outcome } => {
                self.change_overrides(now, |overrides| {
                    overrides.manager.handle_save_outcome(now, serial, outcome);
                });
            }
            Event::WallClockStepped(wall) => {
                self.change_overrides(now, |overrides| {
                    overrides.manager.handle_wall_clock_step(now, wall);
                });
            }
            Event::InputDrained => self.input_drained(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// The names that reader threads resolve reports with; `None` if `known_version` is the current version.
    pub fn report_names(&self, known_version: Option<u64>) -> Option<ReportNames> {
        let version = self.names.version();
        (known_version != Some(version)).then(|| ReportNames {
            zones: self.settings.zones.clone(),
            request_classes: self.settings.request_classes.clone(),
            replicas: self.names.ids().clone(),
            version,
        })
    }

    /// The estimated load of the command channel.
    pub fn channel_load(&self) -> ChannelLoad {
        self.policy.channel_load()
    }

    /// Counts of attempts of relay requests since start-up.
    pub fn request_counts(&self) -> RequestCounts {
        self.commands.counts
    }

    fn started(&mut self, now: Moment) {
        self.open_relay_watch();
        if self.settings.deployment.list_pushed {
            self.open_registry_watch(now);
        }
    }

    /// Switches to new addresses. All state is kept, and a pending relay request stays first in the queue: it is
    /// resent to the new address if the previous one does not respond.
    fn targets_configured(&mut self, now: Moment, targets: Targets) {
        let previous = std::mem::replace(&mut self.targets, targets);
        if previous.relay != targets.relay {
            self.relay.snapshot = Default::default();
            self.commands.outbox.end_backoff();
            self.open_relay_watch();
        }
        if previous.discovery != targets.discovery {
            self.open_registry_watch(now);
        }
    }

    /// Counts a failure of a source, and logs it if it is the first since the source last worked. An unavailable
    /// source can fail many times per second.
    fn source_failed(&mut self, source: Source, reason: impl fmt::Display) {
        if self.failures.add(source) {
            self.log(LogEvent::SourceFailed { source, reason: reason.to_string() });
        }
    }

    fn source_succeeded(&mut self, source: Source) {
        if let Some(failures) = self.failures.clear(source) {
            self.log(LogEvent::SourceRecovered { source, failures });
        }
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(Effect::Log(event));
    }
}
