//! Measures the throughput and report lag of a controller process with 1, 2, 4 and 8 cores. Collectors first send
//! as many lines as the controller accepts over loopback, then at a fixed, lower rate. Pings on the same
//! connections measure how long the preceding lines took to be applied. The numbers of lines and the duration are
//! fixed. `WHINWALL_FORMER` is the path of another build, which is measured on one core, alternately with this one.

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use support::managed_controller::ManagedController;
use support::{example_config, ConfigFile, ControllerProcess, TEST_TIMEOUT};

const REPLICAS: usize = 100;
const SLICES: usize = 600;
const ZONES: [&str; 3] = ["north", "south", "west"];
const RUNS_PER_SETUP: usize = 3;
/// Number of processors of the machine.
const PROCESSORS: usize = 4;
/// Number of lines sent at the maximum rate.
const MAXIMUM_RATE_LINES: usize = 3_000_000;
/// The fixed rate of the second part, in which the lag is measured.
const FIXED_RATE_LINES_PER_SECOND: f64 = 150_000.0;
const FIXED_RATE_DURATION: Duration = Duration::from_secs(2);
const PING: &[u8] = b"{\"@type\":\"PING\"}\n";

/// Returns the report lines of a collector, as blocks with the number of lines in each. A third of the lines are
/// endpoint reports.
fn report_blocks(zone: &str) -> Vec<(Vec<u8>, usize)> {
    let mut block = (Vec::new(), 0);
    let mut blocks = Vec::new();
    for n in 0..3 * SLICES {
        let line = match n % 3 {
            0 => format!(
                "{{\"@type\":\"LOAD\",\"az\":\"{zone}\",\"host\":\"s-{}\",\"n\":{},\"bad\":0,\"avg\":41.{},\"window\":1000.0,\"report\":{{\"inflight\":3}}}}\n",
                n % REPLICAS, 9 + n % 7, n % 10
            ),
            _ => format!(
                "{{\"@type\":\"SHARD\",\"partition\":{},\"kind\":\"{}\",\"n\":{},\"bad\":0,\"window\":1000.0}}\n",
                n % SLICES, ["lookup", "post"][n % 2], 3 + n % 5
            ),
        };
        block.0.extend(line.bytes());
        block.1 += 1;
        if block.0.len() > 30_000 {
            blocks.push(std::mem::take(&mut block));
        }
    }
    blocks.push(block);
    blocks
}

struct Collector {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Collector {
    fn connect(address: SocketAddr, zone: &str) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        let mut collector = Collector { stream, reader };
        collector
            .stream
            .write_all(format!("{{\"@type\":\"SOURCE\",\"az\":\"{zone}\"}}\n").as_bytes())
            .unwrap();
        collector.ping();
        collector
    }

    /// Sends a ping and waits for its reply, which comes after all earlier lines are applied.
    fn ping(&mut self) {
        self.stream.write_all(PING).unwrap();
        self.reader.read_line(&mut String::new()).unwrap();
    }
}

/// Returns the processor time that a process has used, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

struct Measurement {
    lines_per_second: f64,
    cpu_us_per_line: f64,
    /// Processor cores that this benchmark used itself to send lines.
    generator_cores: f64,
    peak_memory_mb: f64,
    lag_us: Histogram<u64>,
}

/// Sends lines on all connections as fast as the controller accepts them. Returns the number of lines and the time
/// until all are applied.
fn send_at_maximum_rate(collectors: &mut [Collector], lines: usize) -> (usize, Duration) {
    let connections = collectors.len();
    let started_at = Instant::now();
    let sent: usize = std::thread::scope(|scope| {
        let senders: Vec<_> = collectors
            .iter_mut()
            .enumerate()
            .map(|(n, collector)| {
                let lines_per_connection = lines / connections;
                scope.spawn(move || {
                    let (blocks, mut sent) = (report_blocks(ZONES[n % 3]), 0);
                    for (bytes, lines) in blocks.iter().cycle() {
                        collector.stream.write_all(bytes).unwrap();
                        sent += lines;
                        if sent >= lines_per_connection {
                            break;
                        }
                    }
                    collector.ping();
                    sent
                })
            })
            .collect();
        senders.into_iter().map(|sender| sender.join().unwrap()).sum()
    });
    (sent, started_at.elapsed())
}

/// Sends lines at a fixed rate and returns the lag in microseconds. The load is open-loop: each block is sent when
/// it is due, even if replies are outstanding, and its lag is measured from the time at which it was due.
fn send_at_fixed_rate(collectors: &mut [Collector], lines_per_second: f64) -> Histogram<u64> {
    let connections = collectors.len() as f64;
    let mut total_lag = Histogram::new(3).unwrap();
    std::thread::scope(|scope| {
        let senders: Vec<_> = collectors
            .iter_mut()
            .enumerate()
            .map(|(n, collector)| {
                scope.spawn(move || {
                    let blocks = report_blocks(ZONES[n % 3]);
                    let (due_times, pings) = std::sync::mpsc::channel::<Instant>();
                    let reader = &mut collector.reader;
                    let lag = std::thread::scope(|inner| {
                        let reply_reader = inner.spawn(move || {
                            let mut lag = Histogram::<u64>::new(3).unwrap();
                            for due_at in pings {
                                reader.read_line(&mut String::new()).unwrap();
                                lag.record(due_at.elapsed().as_micros() as u64).unwrap();
                            }
                            lag
                        });
                        let (started_at, mut sent) = (Instant::now(), 0.0);
                        for (bytes, lines) in blocks.iter().cycle() {
                            let due_at =
                                started_at + Duration::from_secs_f64(sent / (lines_per_second / connections));
                            if due_at - started_at > FIXED_RATE_DURATION {
                                break;
                            }
                            std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
                            collector.stream.write_all(bytes).unwrap();
                            collector.stream.write_all(PING).unwrap();
                            due_times.send(due_at).unwrap();
                            sent += *lines as f64;
                        }
                        drop(due_times);
                        reply_reader.join().unwrap()
                    });
                    lag
                })
            })
            .collect();
        senders.into_iter().for_each(|sender| total_lag.add(sender.join().unwrap()).unwrap());
    });
    total_lag
}

/// The configuration of one measurement.
#[derive(Clone, Copy, PartialEq)]
enum Setup<'a> {
    /// A number of cores.
    Cores(usize),
    /// The build at this path, on one core.
    OtherBuild(&'a str),
    /// Two cores configured, with all threads pinned to one processor.
    OnOneProcessor,
    /// A number of cores, with all lines on one connection.
    OneConnection(usize),
}

fn measure(setup: Setup) -> Measurement {
    let (cores, other_build) = match setup {
        Setup::Cores(cores) => (cores, None),
        Setup::OtherBuild(path) => (1, Some(path)),
        Setup::OnOneProcessor => (2, None),
        Setup::OneConnection(cores) => (cores, None),
    };
    let zones = if matches!(setup, Setup::OneConnection(_)) { &ZONES[..1] } else { &ZONES[..] };
    let mut managed = ManagedController::start(REPLICAS, SLICES);
    managed.program = None;
    managed.write_operators_file(&format!("<cores most=\"{cores}\"/><overrides/>"));
    let mut file = example_config();
    file["distributor"]["address"] = serde_json::json!(managed.fleet.relay.to_string());
    file["limits"]["cores"] = serde_json::json!(cores);
    let file = ConfigFile::write(&file.to_string());
    let (default_command, _default_config_file) = managed.command();
    let program = other_build.map_or(default_command.get_program().to_owned(), Into::into);
    // The process runs on as many processors as it has cores configured, if the machine has that many.
    let processors = if setup == Setup::OnOneProcessor { 1 } else { cores };
    let pinned = processors < PROCESSORS;
    let mut command = Command::new(if pinned { "taskset".into() } else { program.clone() });
    if pinned {
        command.args(["-c", &format!("0-{}", processors - 1)]).arg(program);
    }
    command
        .env_clear()
        .env("PROXY_CONFIG", &file.0)
        .env("PROXY_DISCOVERY", managed.fleet.discovery.to_string());
    if other_build.is_none() {
        command.args(default_command.get_args());
    }
    command.stderr(Stdio::piped()).stdin(Stdio::null());
    managed.program = Some(ControllerProcess::spawn(command, file));
    managed.wait_for_log("relay snapshot complete");
    let (address, pid) = (managed.program().address, managed.program().child.id());
    let mut collectors: Vec<_> = zones.iter().map(|zone| Collector::connect(address, zone)).collect();
    send_at_maximum_rate(&mut collectors, MAXIMUM_RATE_LINES / 10);
    let (cpu_before, generator_cpu_before) = (cpu_seconds(pid), cpu_seconds(std::process::id()));
    let (sent, duration) = send_at_maximum_rate(&mut collectors, MAXIMUM_RATE_LINES);
    let cpu_used = cpu_seconds(pid) - cpu_before;
    let generator_cores = (cpu_seconds(std::process::id()) - generator_cpu_before) / duration.as_secs_f64();
    let lag_us = send_at_fixed_rate(&mut collectors, FIXED_RATE_LINES_PER_SECOND);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("0 kB");
    let peak_memory_mb = resident.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1000.0;
    let lines_per_second = sent as f64 / duration.as_secs_f64();
    let cpu_us_per_line = cpu_used / sent as f64 * 1e6;
    Measurement { lines_per_second, cpu_us_per_line, generator_cores, peak_memory_mb, lag_us }
}

fn main() {
    let other_build = std::env::var("WHINWALL_FORMER").ok();
    println!("| cores | lines a second | CPU a line | memory at most | lag at {FIXED_RATE_LINES_PER_SECOND} lines a second: p50, p99, p99.9 | the generator's own cores |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let one_connection = [1, 2, 4].map(Setup::OneConnection);
    let setups =
        [1, 2, 4, 8].map(Setup::Cores).into_iter().chain([Setup::OnOneProcessor]).chain(one_connection);
    let rows: Vec<Setup> = other_build.iter().map(|path| Setup::OtherBuild(path)).chain(setups).collect();
    // The setups are measured in turn, so that other load on the machine affects all of them equally. The table shows
    // the run with the median rate.
    let mut runs: Vec<Vec<Measurement>> = rows.iter().map(|_| Vec::new()).collect();
    for _ in 0..RUNS_PER_SETUP {
        for (row, runs) in rows.iter().zip(&mut runs) {
            runs.push(measure(*row));
        }
    }
    for (setup, mut runs) in rows.iter().zip(runs) {
        runs.sort_by(|a, b| a.lines_per_second.total_cmp(&b.lines_per_second));
        let (lowest_rate, highest_rate) =
            (runs[0].lines_per_second, runs[RUNS_PER_SETUP - 1].lines_per_second);
        let run = &runs[RUNS_PER_SETUP / 2];
        let ms = |quantile| run.lag_us.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "| {} | {:.0} ({lowest_rate:.0} to {highest_rate:.0}) | {:.2} us | {:.1} MB | {:.1}, {:.1}, {:.1} ms | {:.1} |",
            match setup {
                Setup::Cores(cores) => cores.to_string(),
                Setup::OtherBuild(_) => "1, former build".into(),
                Setup::OneConnection(cores) => format!("{cores}, one connection"),
                Setup::OnOneProcessor => "2, all threads on one processor".into(),
            },
            run.lines_per_second,
            run.cpu_us_per_line,
            run.peak_memory_mb,
            ms(0.5),
            ms(0.99),
            ms(0.999),
            run.generator_cores
        );
    }
}
