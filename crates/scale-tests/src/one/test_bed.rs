//! A controller with its fake peers, set up for one case.

use super::error::MeasureError;
use crate::fakes::collectors::{Collectors, ReportSchedule};
use crate::fakes::discovery::Discovery;
use crate::fakes::fleet::{FleetSize, ReportShape};
use crate::fakes::relay::Relay;
use crate::fakes::Traffic;
use crate::process::{Controller, Launch};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Time limit of one wait for a relay request.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The setup of a controller, and the reports that it receives.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The fleet.
    pub size: FleetSize,
    /// The reports of each zone's collector; `None` for no reports.
    pub reports: Option<ReportShape>,
    /// Number of collectors; each reports for one of the first zones.
    pub collectors: usize,
    /// Number of writes in which a collector sends the lines of one period.
    pub writes: usize,
    /// The content of the operators' file; `None` to start without one.
    pub operators: Option<String>,
}

impl Setup {
    /// Creates a setup in which every zone's collector reports on every replica and slice each second, in one write.
    pub fn reported(size: FleetSize) -> Self {
        let reports = Some(ReportShape::full(&size));
        Setup { collectors: size.zones, size, reports, writes: 1, operators: None }
    }

    /// Returns the schedules of all collectors.
    pub fn schedules(&self) -> Vec<ReportSchedule> {
        let schedule = |shape, zone| ReportSchedule::for_zone(&self.size, shape, zone, self.writes);
        let schedules = |shape| (0..self.collectors).map(|zone| schedule(shape, zone)).collect();
        self.reports.as_ref().map(schedules).unwrap_or_default()
    }
}

/// The first command on a routing table after a start.
#[derive(Clone, Copy, Debug)]
pub struct FirstTableCommand {
    /// Time from the controller's start to the command; `None` if it was not sent in time.
    pub latency: Option<Duration>,
    /// Number of commands received up to and including those of that request.
    pub commands: usize,
}

/// A running controller with its fake peers. All end when it is dropped.
pub struct TestBed {
    /// The collectors. This field is declared first, so that collectors are dropped before the controller.
    pub collectors: Option<Collectors>,
    /// The controller.
    pub controller: Controller,
    /// The fake relay.
    pub relay: Relay,
    /// The fake discovery agent.
    pub discovery: Discovery,
    /// Traffic on all connections of the controller.
    pub traffic: Arc<Traffic>,
    /// Time from the controller's start to its first PONG.
    pub time_to_ready: Duration,
}

impl TestBed {
    /// Starts the fake relay and discovery, then the controller, and pings it. The collectors are not started.
    ///
    /// # Errors
    ///
    /// When a fake or the controller cannot be started, or the controller does not answer a PING.
    pub fn start(program: &Path, setup: &Setup) -> Result<TestBed, MeasureError> {
        let traffic = Arc::new(Traffic::default());
        let relay = Relay::start(&setup.size, &traffic)?;
        let discovery = Discovery::start(&setup.size, &traffic)?;
        let controller = Controller::start(&Launch {
            program: program.into(),
            configuration: setup.size.configuration(relay.address()),
            discovery: discovery.address(),
            operators: setup.operators.clone(),
        })?;
        controller.ping()?;
        let time_to_ready = controller.started().elapsed();
        Ok(TestBed { collectors: None, controller, relay, discovery, traffic, time_to_ready })
    }

    /// Waits for the first command that sets an entry of a routing table. The controller sends it after it has received
    /// the endpoint list and the tables in the relay's store.
    pub fn wait_for_first_table_command(&self, timeout: Duration) -> FirstTableCommand {
        let started = self.controller.started();
        let mut commands = 0;
        while started.elapsed() < timeout {
            let Some(request) = self.relay.next_request(POLL_INTERVAL) else { continue };
            commands += request.commands.len();
            if request.commands.iter().any(|command| command.starts_with("SET,")) {
                return FirstTableCommand { latency: Some(request.read_at - started), commands };
            }
        }
        FirstTableCommand { latency: None, commands }
    }

    /// Starts the collectors of the setup.
    ///
    /// # Errors
    ///
    /// When a collector cannot connect.
    pub fn start_collectors(&mut self, setup: &Setup) -> Result<(), MeasureError> {
        let schedules = setup.schedules();
        self.collectors = Some(Collectors::start(self.controller.address(), schedules, &self.traffic)?);
        Ok(())
    }
}
