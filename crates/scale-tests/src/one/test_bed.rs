//! A controller with all its stand-ins, set up for one case.

use super::error::MeasureError;
use crate::process::{Controller, Launch};
use crate::stand_ins::collectors::{Collectors, ReportSchedule};
use crate::stand_ins::discovery::Discovery;
use crate::stand_ins::fleet::{FleetSize, ReportShape};
use crate::stand_ins::relay::Relay;
use crate::stand_ins::Traffic;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Time for which one receive of a request of the controller blocks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a controller is set up and what it receives.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The fleet.
    pub size: FleetSize,
    /// What each zone's collector sends; none for silence.
    pub reports: Option<ReportShape>,
    /// Collectors, one for each of the first zones.
    pub collectors: usize,
    /// Writes in which a collector's lines of one period leave.
    pub writes: usize,
    /// The text of the operators' file, where there is one.
    pub operators: Option<String>,
}

impl Setup {
    /// Every zone's collector reports on every replica and slice each second, in one write.
    pub fn reported(size: FleetSize) -> Self {
        let reports = Some(ReportShape::full(&size));
        Setup { collectors: size.zones, size, reports, writes: 1, operators: None }
    }

    /// The schedules of all its collectors.
    pub fn schedules(&self) -> Vec<ReportSchedule> {
        let schedule = |shape, zone| ReportSchedule::for_zone(&self.size, shape, zone, self.writes);
        let schedules = |shape| (0..self.collectors).map(|zone| schedule(shape, zone)).collect();
        self.reports.as_ref().map(schedules).unwrap_or_default()
    }
}

/// The first command on a routing table after a start.
#[derive(Clone, Copy, Debug)]
pub struct FirstTableCommand {
    /// From the controller's start to the command; none where none came in time.
    pub latency: Option<Duration>,
    /// Commands sent until then.
    pub commands: usize,
}

/// A running controller with its stand-ins; all end when it is dropped.
pub struct TestBed {
    /// The collectors; declared first, so that they end before the controller does.
    pub collectors: Option<Collectors>,
    /// The controller.
    pub controller: Controller,
    /// Its relay.
    pub relay: Relay,
    /// Its discovery agent.
    pub discovery: Discovery,
    /// What went over all connections.
    pub traffic: Arc<Traffic>,
    /// From its start to its first PONG.
    pub time_to_ready: Duration,
}

impl TestBed {
    /// Starts the stand-ins, then the controller, and pings it; the collectors are not started yet.
    ///
    /// # Errors
    ///
    /// When a stand-in or the controller cannot be started, or the controller does not answer a PING.
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

    /// Waits for the first command that sets an entry of a routing table, which a controller sends once it knows the
    /// endpoint list and the tables in the relay's store.
    pub fn wait_for_first_table_command(&self, timeout: Duration) -> FirstTableCommand {
        let started = self.controller.started();
        let mut commands = 0;
        while started.elapsed() < timeout {
            let Some(request) = self.relay.next_request(POLL_INTERVAL) else { continue };
            commands += request.commands.len();
            if request.commands.iter().any(|command| command.starts_with("SET,")) {
                return FirstTableCommand { latency: Some(request.at - started), commands };
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
