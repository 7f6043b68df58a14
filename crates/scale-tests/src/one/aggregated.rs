//! One real controller behind real aggregators: collectors of all zones report the whole fleet to each aggregator, the
//! aggregators report its subset to the controller, and a counting proxy between them counts what it receives.

use super::error::MeasureError;
use super::steady::Times;
use super::test_bed::Setup;
use crate::process::{machine_load, Controller, Launch, ProcessError, RunningProgram, Usage};
use crate::stand_ins::collectors::Collectors;
use crate::stand_ins::counting_proxy::CountingProxy;
use crate::stand_ins::discovery::Discovery;
use crate::stand_ins::relay::Relay;
use crate::stand_ins::Traffic;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Aggregators that have sent no report by then have failed.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks for the first report.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The fleet's part of the operators' file.
#[derive(Clone, Debug)]
pub struct Subsetting {
    /// Aggregators that run.
    pub aggregators: usize,
    /// Replicas that a controller is meant to have in its subset.
    pub subset: usize,
    /// The budget for reports to a controller, in bytes a second.
    pub bytes_per_second: u64,
}

/// What one aggregator used during the measurement.
#[derive(Clone, Copy, Debug)]
pub struct AggregatorUsage {
    /// Its CPU time during the measurement.
    pub processor_time: Duration,
    /// Its usage at the end.
    pub at_end: Usage,
}

/// What the controller and the aggregators used during the measurement.
#[derive(Clone, Debug)]
pub struct AggregatedMeasurement {
    /// How it was set up.
    pub subsetting: Subsetting,
    /// From the controller's start to its first PONG.
    pub time_to_ready: Duration,
    /// From the aggregators' start until the first report came to the controller, where one came.
    pub first_report: Option<Duration>,
    /// For how long it was measured.
    pub measured_for: Duration,
    /// Bytes of reports that came to the controller.
    pub reports: u64,
    /// Lines of reports that came to the controller.
    pub lines: u64,
    /// Bytes that came to the controller in all.
    pub bytes_in: u64,
    /// Bytes that the controller sent in all.
    pub bytes_out: u64,
    /// Its CPU time.
    pub processor_time: Duration,
    /// Its memory.
    pub usage: Usage,
    /// What each aggregator used.
    pub aggregators: Vec<AggregatorUsage>,
    /// Bytes that all collectors sent to all aggregators.
    pub sent_to_aggregators: u64,
    /// The last lines of the controller's log.
    pub log: Vec<String>,
    /// Average number of runnable processes on the machine in the last minute.
    pub machine_load: f64,
}

impl AggregatedMeasurement {
    /// A count as a rate a second.
    pub fn rate(&self, count: u64) -> f64 {
        count as f64 / self.measured_for.as_secs_f64()
    }

    /// The part of one core that the controller used.
    pub fn processor_share(&self) -> f64 {
        self.processor_time.as_secs_f64() / self.measured_for.as_secs_f64()
    }

    /// The part of one core that an aggregator used, on average.
    pub fn aggregator_share(&self) -> f64 {
        let total: f64 = self.aggregators.iter().map(|used| used.processor_time.as_secs_f64()).sum();
        total / self.measured_for.as_secs_f64() / self.aggregators.len().max(1) as f64
    }

    /// The most memory that any aggregator held.
    pub fn aggregator_peak(&self) -> u64 {
        self.aggregators.iter().map(|used| used.at_end.resident_peak).max().unwrap_or(0)
    }
}

/// The operators' file of a fleet in which one controller is served: `n0`, behind the counting proxy. The others are members
/// without an address.
fn operators(
    setup: &Setup,
    subsetting: &Subsetting,
    counting_proxy: SocketAddr,
    aggregators: &[SocketAddr],
) -> String {
    let last = setup.size.slices.saturating_sub(1);
    let served = format!("<governor name=\"n0\" address=\"{counting_proxy}\" slices=\"0-{last}\"/>");
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

/// Free addresses on loopback; each is released at once, for a program to listen at.
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

/// Waits until more than the first line of a connection has gone to the controller.
fn wait_for_reports(counting_proxy: &CountingProxy, since: Instant) -> Option<Duration> {
    while since.elapsed() < FIRST_REPORT_TIMEOUT {
        if counting_proxy.traffic.to_controller.read().lines > 2 {
            return Some(since.elapsed());
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}

/// Measures the controller in a steady state behind its aggregators.
///
/// # Errors
///
/// When a program or stand-in cannot be started or observed.
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

    let (usage, aggregators_before, began) = (controller.usage()?, aggregators.usages()?, Instant::now());
    let (stand_in_traffic, to_controller, all_sent_to_aggregators) =
        (traffic.read(), counting_proxy.traffic.to_controller.read(), sent_to_aggregators.read());
    let from_controller = counting_proxy.traffic.from_controller.read();
    thread::sleep(times.measured);
    let measured_for = began.elapsed();
    let (usage_after, aggregators_after) = (controller.usage()?, aggregators.usages()?);
    let (stand_in_traffic, to_controller) = (
        traffic.read().since(stand_in_traffic),
        counting_proxy.traffic.to_controller.read().since(to_controller),
    );
    let from_controller = counting_proxy.traffic.from_controller.read().since(from_controller);
    drop(collectors);
    let used = |(at_end, before): (Usage, Usage)| AggregatorUsage {
        processor_time: at_end.processor_time - before.processor_time,
        at_end,
    };
    Ok(AggregatedMeasurement {
        subsetting: subsetting.clone(),
        time_to_ready,
        first_report,
        measured_for,
        reports: to_controller.bytes,
        lines: to_controller.lines,
        bytes_in: to_controller.bytes + stand_in_traffic.bytes_in(),
        bytes_out: from_controller.bytes + stand_in_traffic.bytes_out(),
        processor_time: usage_after.processor_time - usage.processor_time,
        usage: usage_after,
        aggregators: aggregators_after.into_iter().zip(aggregators_before).map(used).collect(),
        sent_to_aggregators: sent_to_aggregators.read().since(all_sent_to_aggregators).reports.bytes,
        log: controller.take_log_lines(),
        machine_load: machine_load(),
    })
}
