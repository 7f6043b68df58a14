//! Methods to run a scenario in real time against controllers in separate processes.

use super::connection::{ControllerConnection, ControllerInput};
use super::outcome::Outcome;
use super::state::Scenario;
use crate::ControllerIndex;
use whinwall_policy::time::Moment;
use whinwall_routing::Event;
use whinwall_transport::StreamError;

impl Scenario {
    /// Sets the connection to a controller process, which replaces the reducer within this process.
    pub fn connect_controller(
        &mut self,
        controller: ControllerIndex,
        connection: Box<dyn ControllerConnection>,
    ) {
        self.controllers[controller].connection = Some(connection);
    }

    /// Starts the scenario and returns the time at which it ends.
    pub fn start_now(&mut self) -> Moment {
        self.schedule_initial_events()
    }

    /// Processes all events that are due at `now` and returns the time of the next event.
    pub fn run_until(&mut self, now: Moment) -> Option<Moment> {
        while let Some(due) = self.next_event_at().filter(|due| *due <= now) {
            self.now = due;
            self.process_next_event();
        }
        self.now = now;
        self.next_event_at()
    }

    /// Handles an input from a controller process.
    pub fn receive(&mut self, controller: ControllerIndex, input: &ControllerInput) {
        match input {
            ControllerInput::WatchRelay => self.start_relay_watch(controller),
            ControllerInput::WatchDiscovery if self.is_discovery_unreachable => {
                self.deliver_event(controller, Event::EndpointListWatchLost(StreamError::TimedOut));
            }
            ControllerInput::WatchDiscovery => self.send_list_text(controller),
            ControllerInput::RelayRequest(line) => self.handle_relay_request(controller, line),
        }
    }

    /// Ends the scenario and returns its outcome.
    pub fn into_outcome(mut self) -> Outcome {
        self.finish();
        self.outcome
    }
}
