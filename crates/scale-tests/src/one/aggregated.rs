//! One real controller behind real aggregators. Collectors of all zones report on the whole fleet to each aggregator,
//! and the aggregators report the controller's subset to it through a counting proxy.

use super::error::MeasureError;
use super::steady::Times;
use super::test_bed::Setup;
use crate::fakes::collectors::Collectors;
use crate::fakes::counting_proxy::CountingProxy;
use crate::fakes::discovery::Discovery;
use crate::fakes::relay::Relay;
use crate::fakes::Traffic;
use crate::process::{machine_load, Controller, Launch, ProcessError, RunningProgram, Usage};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for the first report of the aggregators.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks for the first report.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The subsetting section of the operators' file.
#[derive(Clone, Debug)]
pub struct Subsetting {
    /// Number of aggregators.
    pub aggregators: usize,
    /// Target number of replicas in a controller's subset.
    pub subset: usize,
    /// The budget for reports to a controller, in bytes per second.
    pub bytes_per_second: u64,
}

/// Resources used by one aggregator during the measurement.
#[derive(Clone, Copy, Debug)]
pub struct AggregatorUsage {
    /// CPU time during the measurement.
    pub processor_time: Duration,
    /// Resource usage at the end of the measurement.
    pub at_end: Usage,
}

/// Resources used by the controller and the aggregators during the measurement.
#[derive(Clone, Debug)]
pub struct AggregatedMeasurement {
    /// The subsetting of the fleet.
    pub subsetting: Subsetting,
    /// Time from the controller's start to its first PONG.
    pub time_to_ready: Duration,
    /// Time from the aggregators' start until the controller received the first report; `None` if none arrived in time.
    pub first_report: Option<Duration>,
    /// Duration of the measurement.
    pub measured_for: Duration,
    /// Bytes of reports received by the controller.
    pub report_bytes: u64,
    /// Lines of reports received by the controller.
    pub report_lines: u64,
    /// Bytes received by the controller on all connections.
    pub bytes_in: u64,
    /// Bytes sent by the controller on all connections.
    pub bytes_out: u64,
    /// CPU time of the controller.
    pub processor_time: Duration,
    /// Resource usage of the controller at the end of the measurement.
    pub usage: Usage,
    /// Resources used by each aggregator.
    pub aggregators: Vec<AggregatorUsage>,
    /// Bytes sent by all collectors to all aggregators.
    pub bytes_to_aggregators: u64,
    /// The lines of the controller's log after its start-up.
    pub log: Vec<String>,
    /// Load average of the machine over one minute.
    pub machine_load: f64,
}

impl AggregatedMeasurement {
    /// Converts a count to a rate per second.
    pub fn rate(&self, count: u64) -> f64 {
        count as f64 / self.measured_for.as_secs_f64()
    }

    /// Returns the CPU use of the controller as a fraction of one core.
    pub fn processor_share(&self) -> f64 {
        self.processor_time.as_secs_f64() / self.measured_for.as_secs_f64()
    }

    /// Returns the mean CPU use of an aggregator as a fraction of one core.
    pub fn aggregator_share(&self) -> f64 {
        let total: f64 = self.aggregators.iter().map(|used| used.processor_time.as_secs_f64()).sum();
        total / self.measured_for.as_secs_f64() / self.aggregators.len().max(1) as f64
    }

    /// Returns the highest peak of resident memory among the aggregators, in bytes.
    pub fn aggregator_peak(&self) -> u64 {
        self.aggregators.iter().map(|used| used.at_end.resident_peak).max().unwrap_or(0)
    }
}

/// Returns the operators' file of a fleet in which the aggregators serve only controller `n0`, through the counting
/// proxy. The other controllers are members without an address.
fn operators(
    setup: &Setup,
    subsetting: &Subsetting,
    counting_proxy: SocketAddr,
    aggregators: &[SocketAddr],
) -> String {
    let last_slice = setup.size.slices.saturating_sub(1);
    let served = format!("<governor name=\"n0\" address=\"{counting_proxy}\" slices=\"0-{last_slice}\"/>");
    let members: String =
        (1..setup.size.controllers).map(|index| format!("<governor name=\"n{index}\"/>")).collect();
    let aggregators: String = aggregators
        .iter()
        .enumerate()
        .map(|(index, address)| format!("<aggregator name=\"m{index}\" address=\"{address}\"/>"))
        .collect();
    let Subsetting { subset, bytes_per_second, .. } = subsetting;
    format!(
        "<operators version=\"1\"><subsetting subset=\"{subset}\" bytes-per-second=\"{bytes_per_second}\">\
         {served}{members}{aggregators}</subsetting></operators>"
    )
}

/// Returns free addresses on loopback. The ports are released on return, so that programs can listen on them.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Vec<_> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<std::io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

struct Aggregators {
    running: Vec<RunningProgram>,
    addresses: Vec<SocketAddr>,
    _folder: tempfile::TempDir,
}

impl Aggregators {
    fn start(
        program: &Path,
        addresses: Vec<SocketAddr>,
        operators: &str,
        discovery: SocketAddr,
    ) -> Result<Aggregators, MeasureError> {
        let folder = tempfile::tempdir()?;
        let file: PathBuf = folder.path().join("operators.xml");
        std::fs::write(&file, operators)?;
        let start = |(index, address): (usize, &SocketAddr)| {
            let mut command = Command::new(program);
            command.env_clear().arg("--operators").arg(&file).args(["--name", &format!("m{index}")]);
            command.args(["--listen", &address.to_string(), "--discovery", &discovery.to_string()]);
            let running = RunningProgram::start(command)?;
            running.address()?;
            Ok(running)
        };
        let running = addresses.iter().enumerate().map(start).collect::<Result<_, ProcessError>>()?;
        Ok(Aggregators { running, addresses, _folder: folder })
    }

    fn usages(&self) -> Result<Vec<Usage>, ProcessError> {
        self.running.iter().map(RunningProgram::usage).collect()
    }
}

/// Waits until more than two lines have been sent to the controller: the first line of a connection is not a report.
/// Returns the time since `started`, or `None` after the time limit.
fn wait_for_reports(counting_proxy: &CountingProxy, started: Instant) -> Option<Duration> {
    while started.elapsed() < FIRST_REPORT_TIMEOUT {
        if counting_proxy.traffic.to_controller.read().lines > 2 {
            return Some(started.elapsed());
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}

/// Measures a controller in a steady state behind aggregators.
///
/// # Errors
///
/// When a program or fake cannot be started or observed.
pub fn measure(
    controller: &Path,
    aggregator: &Path,
    setup: &Setup,
    subsetting: &Subsetting,
    times: Times,
) -> Result<AggregatedMeasurement, MeasureError> {
    let (traffic, sent_to_aggregators) = (Arc::new(Traffic::default()), Arc::new(Traffic::default()));
    let (relay, discovery) = (Relay::start(&setup.size, &traffic)?, Discovery::start(&setup.size, &traffic)?);
    let aggregators_discovery = Discovery::start(&setup.size, &sent_to_aggregators)?;
    let counting_proxy = CountingProxy::start()?;
    let addresses = free_addresses(subsetting.aggregators)?;
    let operators = operators(setup, subsetting, counting_proxy.address(), &addresses);
    let controller = Controller::start(&Launch {
        program: controller.into(),
        configuration: setup.size.configuration(relay.address()),
        discovery: discovery.address(),
        operators: Some(operators.clone()),
    })?;
    controller.ping()?;
    let time_to_ready = controller.started().elapsed();
    counting_proxy.set_target(controller.address());
    let aggregators_started = Instant::now();
    let aggregators = Aggregators::start(aggregator, addresses, &operators, aggregators_discovery.address())?;
    let collectors: Vec<Collectors> = aggregators
        .addresses
        .iter()
        .map(|address| Collectors::start(*address, setup.schedules(), &sent_to_aggregators))
        .collect::<std::io::Result<_>>()?;
    let first_report = wait_for_reports(&counting_proxy, aggregators_started);
    thread::sleep(times.warm_up);

    let (usage_before, aggregators_before, began) =
        (controller.usage()?, aggregators.usages()?, Instant::now());
    let (fake_peers_before, to_controller_before, sent_to_aggregators_before) =
        (traffic.read(), counting_proxy.traffic.to_controller.read(), sent_to_aggregators.read());
    let from_controller_before = counting_proxy.traffic.from_controller.read();
    thread::sleep(times.measured);
    let measured_for = began.elapsed();
    let (usage_after, aggregators_after) = (controller.usage()?, aggregators.usages()?);
    let (fake_peer_traffic, to_controller) = (
        traffic.read().since(fake_peers_before),
        counting_proxy.traffic.to_controller.read().since(to_controller_before),
    );
    let from_controller = counting_proxy.traffic.from_controller.read().since(from_controller_before);
    drop(collectors);
    let aggregator_usage = |(at_end, before): (Usage, Usage)| AggregatorUsage {
        processor_time: at_end.processor_time - before.processor_time,
        at_end,
    };
    Ok(AggregatedMeasurement {
        subsetting: subsetting.clone(),
        time_to_ready,
        first_report,
        measured_for,
        report_bytes: to_controller.bytes,
        report_lines: to_controller.lines,
        bytes_in: to_controller.bytes + fake_peer_traffic.bytes_in(),
        bytes_out: from_controller.bytes + fake_peer_traffic.bytes_out(),
        processor_time: usage_after.processor_time - usage_before.processor_time,
        usage: usage_after,
        aggregators: aggregators_after.into_iter().zip(aggregators_before).map(aggregator_usage).collect(),
        bytes_to_aggregators: sent_to_aggregators.read().since(sent_to_aggregators_before).reports.bytes,
        log: controller.take_log_lines(),
        machine_load: machine_load(),
    })
}
