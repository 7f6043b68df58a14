//! Executes the effects of a simulated controller. Relay and discovery answer immediately, or not at all while the
//! controller's region is partitioned from the network.

use super::environment::to_span;
use super::{PendingFailure, SimulatedController, COLLECTOR_CONNECTION};
use crate::many::plan::REQUEST_CLASS;
use crate::many::tracker::{Condition, Traffic};
use std::time::Duration;
use whinwall_policy::api::Report;
use whinwall_policy::time::Moment;
use whinwall_protocol::collector::Report as ReportLine;
use whinwall_protocol::relay::{decode_event, Response};
use whinwall_routing::{Effect, Event};
use whinwall_transport::{limits, RequestError, StreamError};

impl SimulatedController {
    /// Executes an effect. Adds the resulting events to `events` and the reached conditions to `conditions`.
    pub(super) fn execute_effect(
        &mut self,
        now: Moment,
        effect: Effect,
        events: &mut Vec<Event>,
        conditions: &mut Vec<Condition>,
    ) {
        let time_after = |delay: Duration| now + to_span(delay);
        match effect {
            Effect::Pong { .. } => conditions.push(Condition::PingAnswered),
            Effect::WakeAt(time) => self.wake_at = self.wake_at.min(time),
            Effect::WatchRelay { .. } if self.is_partitioned() => {
                let event = Event::RelayWatchLost(StreamError::TimedOut);
                self.relay_watch_failure =
                    Some(PendingFailure { due_at: time_after(limits::RELAY_WATCH_RESPONSE_TIMEOUT), event });
            }
            Effect::WatchRelay { .. } => {
                self.relay_watch_failure = None;
                events.extend(self.snapshot_events());
                conditions.push(Condition::RelaySnapshotFrom(self.site));
            }
            Effect::WatchRegistry { .. } if self.is_partitioned() => {
                let due_at =
                    time_after(limits::REGISTRY_REQUEST_INTERVAL * limits::MAX_CONNECT_ATTEMPTS as u32);
                self.registry_watch_failure = Some(PendingFailure {
                    due_at,
                    event: Event::EndpointListWatchLost(StreamError::TimedOut),
                });
            }
            // The existing watch times out on its own.
            Effect::RenewRegistryWatch { .. } if self.is_partitioned() => {}
            Effect::WatchRegistry { since, .. } | Effect::RenewRegistryWatch { since, .. } => {
                self.registry_watch_failure = None;
                if !self.in_event && self.list_version < self.environment.catalog.version() {
                    self.mark_event_started();
                }
                events.push(self.list_event(since));
                conditions
                    .extend([Condition::ListFrom(self.site), Condition::ListVersion(self.list_version)]);
            }
            Effect::RelayRequest { .. } if self.is_partitioned() => {
                let event = Event::RelayResponse(Err(RequestError::NotSent(StreamError::TimedOut)));
                self.relay_request_failure =
                    Some(PendingFailure { due_at: time_after(limits::RELAY_RESPONSE_TIMEOUT), event });
            }
            Effect::RelayRequest { line, .. } => {
                events.extend(self.apply_relay_request(&line));
                let drained = self.environment.tracker.drained_replica();
                if drained.is_some_and(|replica| self.store.is_drained(&replica)) {
                    conditions.push(Condition::Withdrawn);
                }
            }
            _ => {}
        }
    }

    fn apply_relay_request(&mut self, line: &str) -> Vec<Event> {
        let Some(applied) = self.store.apply(line) else {
            return vec![Event::RelayResponse(Ok(Response::Rejected("bad_request".into())))];
        };
        let mut events = vec![Event::RelayResponse(Ok(Response::Accepted(applied.commands)))];
        events.extend(self.decode_relay_lines(&applied.acks));
        events
    }

    fn snapshot_events(&self) -> Vec<Event> {
        self.decode_relay_lines(&self.store.snapshot())
    }

    fn decode_relay_lines(&self, lines: &[String]) -> Vec<Event> {
        // Each line ends in CRLF on the wire, which counts as 2 bytes.
        let bytes = lines.iter().map(|line| line.len() + 2).sum();
        self.environment.tracker.add_sent_bytes(self.controller, Traffic::RelayEvent, bytes);
        lines.iter().filter_map(|line| decode_event(line).ok()).map(Event::Relay).collect()
    }

    /// Returns the changes of the endpoint list after version `since`, or the complete list for 0, as the event of a
    /// discovery watch.
    pub(super) fn list_event(&mut self, since: u64) -> Event {
        let update = self.environment.catalog.update_since(since);
        self.environment.tracker.add_sent_bytes(self.controller, Traffic::List, update.line.len());
        self.list_version = update.version;
        Event::EndpointListReceived(update.list.clone())
    }

    pub(super) fn record_list_version(&self) {
        self.record_condition(Condition::ListVersion(self.list_version));
    }

    /// Returns the reports of one period, with names resolved as by the reader threads of the controller program.
    pub(super) fn load_report_event(&mut self, now: Moment) -> Event {
        let plan = self.environment.plan.clone();
        if let Some(report_names) = self.reducer.report_names(Some(self.report_names.version)) {
            self.report_names = report_names;
        }
        let window_ms = plan.simulated_report_period.as_secs_f64() * 1e3;
        let zones: Vec<_> = (0..plan.zones).map(|zone| plan.zone(zone)).collect();
        let hosts: Vec<_> = (0..plan.replicas).map(|replica| plan.replica(replica)).collect();
        let endpoint_reports = hosts.iter().enumerate().map(|(index, replica)| ReportLine::EndpointReport {
            zone: &zones[plan.zone_of(index)],
            replica,
            attempts: 26.0,
            failed: 0.0,
            mean_latency_ms: 41.7,
            window_ms,
            missing: 0,
        });
        let demand_reports = self.store.slices().map(|slice| ReportLine::DemandReport {
            slice,
            request_class: REQUEST_CLASS,
            requests: 4.0,
            failed: 0.0,
            window_ms,
            missing: 0,
        });
        let lines =
            endpoint_reports.chain(demand_reports).filter_map(|line| self.report_names.resolve(&line));
        let reports = lines.map(|body| Report { window_end: now, line_count: 1.0, body }).collect();
        Event::Reports { from: COLLECTOR_CONNECTION, reports }
    }
}
