//! The event loop of a scenario.

use super::event::{Delivery, ScheduledEvent};
use super::outcome::Outcome;
use super::state::{Scenario, NETWORK_DELAY};
use crate::policy::Policy;
use crate::ControllerIndex;
use whinwall_policy::time::{Moment, Span};
use whinwall_routing::Event;
use whinwall_transport::StreamError;

/// The interval of the relay's keepalives.
const RELAY_KEEPALIVE_INTERVAL: Span = Span::ms(1000);
/// The interval of the collectors' reports.
pub(super) const REPORT_INTERVAL: Span = Span::ms(1000);
/// The interval of the checks for empty tables.
pub(super) const TABLE_CHECK_INTERVAL: Span = Span::ms(500);

impl Scenario {
    pub(super) fn run(&mut self) {
        let end = self.schedule_initial_events();
        while let Some(due) = self.next_event_at().filter(|due| *due <= end) {
            self.now = due;
            self.process_next_event();
        }
        self.finish();
    }

    /// Starts the controllers, schedules the periodic events and the faults, and returns the time at which the scenario
    /// ends.
    pub(super) fn schedule_initial_events(&mut self) -> Moment {
        let end = self.now + self.config.duration;
        if self.policy == Policy::Controlled {
            let controllers = self.restartable_controllers(self.controllers.len());
            controllers.into_iter().for_each(|controller| self.start_controller(controller));
        }
        self.schedule_after(NETWORK_DELAY, ScheduledEvent::RequestArrives);
        self.schedule_after(REPORT_INTERVAL, ScheduledEvent::SendReports);
        self.schedule_after(TABLE_CHECK_INTERVAL, ScheduledEvent::CheckEmptyTables);
        self.schedule_after(RELAY_KEEPALIVE_INTERVAL, ScheduledEvent::RelayKeepalive);
        for fault in 0..self.faults.len() {
            let (starts_after, duration) = (self.faults[fault].starts_after, self.faults[fault].duration);
            self.schedule_after(starts_after, ScheduledEvent::FaultStarts(fault));
            self.schedule_after(starts_after + duration, ScheduledEvent::FaultEnds(fault));
        }
        end
    }

    pub(super) fn next_event_at(&self) -> Option<Moment> {
        self.schedule.first_key_value().map(|((due, _), _)| *due)
    }

    pub(super) fn process_next_event(&mut self) {
        if let Some((_, event)) = self.schedule.pop_first() {
            self.handle_event(event);
        }
    }

    /// Computes the final outcome.
    pub(super) fn finish(&mut self) {
        let outcome: &mut Outcome = &mut self.outcome;
        outcome.service_level = self.priority_weights.timely / self.priority_weights.offered.max(1.0);
        outcome.violations = std::mem::take(&mut self.rules.violations);
        outcome.violation_counts = std::mem::take(&mut self.rules.counts);
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::RequestArrives => self.handle_arrival(),
            ScheduledEvent::JobReachesReplica { replica, job } => self.handle_job_arrival(replica, job),
            ScheduledEvent::JobFinished { replica, incarnation, job } => {
                self.finish_job(replica, incarnation, job);
            }
            ScheduledEvent::ResponseArrives { replica, job, outcome } => {
                self.receive_response(replica, job, outcome);
            }
            ScheduledEvent::RequestTimesOut { request, attempt } => self.time_out_request(request, attempt),
            ScheduledEvent::ClientRetries { request } => self.send_attempt(request, None),
            ScheduledEvent::SendReports => self.send_reports(),
            ScheduledEvent::CheckEmptyTables => self.check_empty_tables(),
            ScheduledEvent::DeliverChannelMessages(controller) => self.deliver_channel_messages(controller),
            ScheduledEvent::Deliver { controller, incarnation, delivery } => {
                if self.controllers[controller].incarnation == incarnation {
                    self.deliver(controller, delivery);
                }
            }
            ScheduledEvent::FaultStarts(fault) => self.start_fault(fault),
            ScheduledEvent::FaultEnds(fault) => self.end_fault(fault),
            ScheduledEvent::ReleaseReplica { replica, to, stage } => self.advance_release(replica, to, stage),
            ScheduledEvent::TakeOverSlices(from) => self.take_over_slices(from),
            ScheduledEvent::ReturnSlices(to) => self.return_slices(to),
            ScheduledEvent::ProxyReconnects { controller, proxy } => self.reconnect_proxy(controller, proxy),
            ScheduledEvent::RelayKeepalive => self.send_relay_keepalives(),
        }
    }

    fn deliver(&mut self, controller: ControllerIndex, delivery: Delivery) {
        match delivery {
            Delivery::Event(event) => self.deliver_event(controller, *event),
            Delivery::List(list) => self.deliver_list(controller, *list),
            Delivery::RelayEvent(line) => self.send_relay_event(controller, &line),
            Delivery::RelayRequest(line) => self.handle_relay_request(controller, &line),
            Delivery::InputDrained => {
                if self.controllers[controller].drain_input_at.is_some_and(|due| due <= self.now) {
                    self.controllers[controller].drain_input_at = None;
                    self.deliver_event(controller, Event::InputDrained);
                }
            }
        }
    }

    fn send_relay_keepalives(&mut self) {
        self.schedule_after(RELAY_KEEPALIVE_INTERVAL, ScheduledEvent::RelayKeepalive);
        for controller in 0..self.controllers.len() {
            let is_garbled = self.draw_garbled();
            if is_garbled && self.controllers[controller].is_watching {
                self.controllers[controller].is_watching = false;
                let error = StreamError::Unreadable("garbled".into());
                self.deliver_event(controller, Event::RelayWatchLost(error));
            } else if self.controllers[controller].is_watching && !self.is_relay_unreachable {
                self.send_relay_event(controller, "*");
            }
        }
    }
}
