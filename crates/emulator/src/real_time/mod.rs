//! Runs a scenario in real time on loopback sockets, against controllers in separate processes. Each controller gets
//! a fake relay, a fake discovery service and a collector connection for each zone.

mod connection;
mod services;

pub use services::{FakeServiceAddresses, FakeServices};

use crate::config::ScenarioConfig;
use crate::fault::Fault;
use crate::policy::Policy;
use crate::scenario::{Outcome, Scenario};
use connection::SocketConnection;
use services::ReceivedInput;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};
use whinwall_policy::time::Span;

/// The time-out of a write to a peer that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum wait for input while no event is due.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The fake relays and discovery services of all controllers, and the input that they receive.
pub struct FakeEnvironment {
    /// The fake services by controller.
    pub services: Vec<FakeServices>,
    inputs: Receiver<ReceivedInput>,
}

impl FakeEnvironment {
    /// Opens the listeners for `controllers` controllers.
    ///
    /// # Errors
    /// If a listener can't be opened.
    pub fn open(controllers: usize) -> std::io::Result<Self> {
        let (sender, inputs) = channel();
        let services = (0..controllers).map(|controller| FakeServices::open(controller, &sender));
        Ok(FakeEnvironment { services: services.collect::<Result<_, _>>()?, inputs })
    }

    /// Runs the scenario with controllers that accept collectors at these addresses.
    ///
    /// # Errors
    /// If the connection to the collector port of a controller fails.
    pub fn run(
        self,
        config: &ScenarioConfig,
        faults: &[Fault],
        seed: u64,
        controllers: &[SocketAddr],
    ) -> std::io::Result<Outcome> {
        let mut scenario = Scenario::new(config.clone(), Policy::Controlled, faults.to_vec(), seed);
        for (controller, (services, address)) in self.services.into_iter().zip(controllers).enumerate() {
            let collectors = connect_collectors(*address, config)?;
            let connection = SocketConnection { services, collectors };
            scenario.connect_controller(controller, Box::new(connection));
        }
        process_events(&mut scenario, &self.inputs, config.duration);
        Ok(scenario.into_outcome())
    }
}

/// Opens a collector connection for each zone.
fn connect_collectors(address: SocketAddr, config: &ScenarioConfig) -> std::io::Result<Vec<TcpStream>> {
    let mut collectors = Vec::new();
    for zone in 0..config.zones {
        let mut collector = TcpStream::connect(address)?;
        collector.set_write_timeout(Some(WRITE_TIMEOUT))?;
        writeln!(collector, "{{\"@type\":\"SOURCE\",\"az\":\"{}\"}}", config.zone(zone))?;
        collectors.push(collector);
    }
    Ok(collectors)
}

/// Processes scheduled events and input from the controllers until the scenario ends.
fn process_events(scenario: &mut Scenario, inputs: &Receiver<ReceivedInput>, duration: Span) {
    let scenario_start = scenario.start_now() - duration;
    let started_at = Instant::now();
    let mut wait = Duration::ZERO;
    while started_at.elapsed().as_nanos() < u128::from(duration.as_ns()) {
        let input = inputs.recv_timeout(wait);
        let now = || scenario_start + Span::ns(started_at.elapsed().as_nanos() as u64);
        scenario.run_until(now());
        match input {
            Ok(ReceivedInput { controller, input }) => scenario.receive(controller, &input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        let next_event_at = scenario.run_until(now());
        wait =
            next_event_at.map_or(MAX_WAIT, |due| Duration::from_nanos((due - now()).as_ns()).min(MAX_WAIT));
    }
}
