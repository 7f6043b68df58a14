//! A scenario played in real time against controllers that are programs of their own.

use super::connection::{ControllerConnection, ControllerInput};
use super::outcome::Outcome;
use super::state::Scenario;
use crate::ControllerIndex;
use whinwall_policy::time::Moment;
use whinwall_routing::Event;
use whinwall_transport::StreamError;

impl Scenario {
    /// Connects a controller program in place of a reducer within this process.
    pub fn connect_controller(
        &mut self,
        controller: ControllerIndex,
        connection: Box<dyn ControllerConnection>,
    ) {
        self.controllers[controller].connection = Some(connection);
    }

    /// Begins the scenario; returns when it ends.
    pub fn start_now(&mut self) -> Moment {
        self.schedule_initial_events()
    }

    /// Processes all events that are due by now; returns when the next one is.
    pub fn run_until(&mut self, now: Moment) -> Option<Moment> {
        while let Some(due) = self.next_event_at().filter(|due| *due <= now) {
            self.now = due;
            self.process_next_event();
        }
        self.now = now;
        self.next_event_at()
    }

    /// Handles what a controller program has sent.
    pub fn receive(&mut self, controller: ControllerIndex, input: &ControllerInput) {
        match input {
            ControllerInput::WatchRelay => self.start_relay_watch(controller),
            ControllerInput::WatchRegistry if self.is_discovery_unreachable => {
                self.deliver_event(controller, Event::EndpointListWatchLost(StreamError::TimedOut));
            }
            ControllerInput::WatchRegistry => self.send_list_text(controller),
            ControllerInput::RelayRequest(line) => self.handle_relay_request(controller, line),
        }
    }

    /// Ends the scenario.
    pub fn into_outcome(mut self) -> Outcome {
        self.finish();
        self.outcome
    }
}
