//! What a controller takes at 1, 2, 4 and 8 cores: collectors flood it over loopback, then send at a part of
//! that rate, and pings on the same connections tell how late the lines before them were applied.
//! Bounded in lines and time; ends by itself. `WHINWALL_FORMER` names another build to measure alternately with
//! this one, on one core.

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
const RUNS: usize = 3;
/// Processors of the machine.
const PROCESSORS: usize = 4;
/// Lines of the flood.
const FLOOD_LINES: usize = 3_000_000;
/// The rate of the steady part.
const STEADY_LINES_PER_SECOND: f64 = 150_000.0;
const STEADY_DURATION: Duration = Duration::from_secs(2);
const PING: &[u8] = b"{\"@type\":\"PING\"}\n";

/// Lines as one period of a collector has them, a third of them of replicas; many periods, one block each.
fn blocks(zone: &str) -> Vec<(Vec<u8>, usize)> {
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

    /// Returns once all lines sent before are applied.
    fn ping(&mut self) {
        self.stream.write_all(PING).unwrap();
        self.reader.read_line(&mut String::new()).unwrap();
    }
}

/// Seconds of processor time that a process has used.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

struct Figures {
    rate: f64,
    cpu_us: f64,
    own_cpu: f64,
    memory_mb: f64,
    lag: Histogram<u64>,
}

fn flood(collectors: &mut [Collector], lines: usize) -> (usize, Duration) {
    let connections = collectors.len();
    let began = Instant::now();
    let sent: usize = std::thread::scope(|scope| {
        let floods: Vec<_> = collectors
            .iter_mut()
            .enumerate()
            .map(|(n, collector)| {
                let share = lines / connections;
                scope.spawn(move || {
                    let (blocks, mut sent) = (blocks(ZONES[n % 3]), 0);
                    for (bytes, lines) in blocks.iter().cycle() {
                        collector.stream.write_all(bytes).unwrap();
                        sent += lines;
                        if sent >= share {
                            break;
                        }
                    }
                    collector.ping();
                    sent
                })
            })
            .collect();
        floods.into_iter().map(|flood| flood.join().unwrap()).sum()
    });
    (sent, began.elapsed())
}

/// Open loop: blocks go out when they are due, however late the answers are, and lag counts from then.
fn steady(collectors: &mut [Collector], rate: f64) -> Histogram<u64> {
    let share = collectors.len() as f64;
    let mut all = Histogram::new(3).unwrap();
    std::thread::scope(|scope| {
        let runs: Vec<_> = collectors
            .iter_mut()
            .enumerate()
            .map(|(n, collector)| {
                scope.spawn(move || {
                    let blocks = blocks(ZONES[n % 3]);
                    let (due, received) = std::sync::mpsc::channel::<Instant>();
                    let reader = &mut collector.reader;
                    let lag = std::thread::scope(|inner| {
                        let listener = inner.spawn(move || {
                            let mut lag = Histogram::<u64>::new(3).unwrap();
                            for due in received {
                                reader.read_line(&mut String::new()).unwrap();
                                lag.record(due.elapsed().as_micros() as u64).unwrap();
                            }
                            lag
                        });
                        let (began, mut sent) = (Instant::now(), 0.0);
                        for (bytes, lines) in blocks.iter().cycle() {
                            let at = began + Duration::from_secs_f64(sent / (rate / share));
                            if at - began > STEADY_DURATION {
                                break;
                            }
                            std::thread::sleep(at.saturating_duration_since(Instant::now()));
                            collector.stream.write_all(bytes).unwrap();
                            collector.stream.write_all(PING).unwrap();
                            due.send(at).unwrap();
                            sent += *lines as f64;
                        }
                        drop(due);
                        listener.join().unwrap()
                    });
                    lag
                })
            })
            .collect();
        runs.into_iter().for_each(|run| all.add(run.join().unwrap()).unwrap());
    });
    all
}

/// What is measured: a number of cores, another build, or all threads of a build on one processor.
#[derive(Clone, Copy, PartialEq)]
enum Setup<'a> {
    Cores(usize),
    Former(&'a str),
    OnOneProcessor,
    /// A number of cores, with all lines on one connection.
    Hot(usize),
}

fn measure(setup: Setup) -> Figures {
    let (cores, former) = match setup {
        Setup::Cores(cores) => (cores, None),
        Setup::Former(path) => (1, Some(path)),
        Setup::OnOneProcessor => (2, None),
        Setup::Hot(cores) => (cores, None),
    };
    let zones = if matches!(setup, Setup::Hot(_)) { &ZONES[..1] } else { &ZONES[..] };
    let mut managed = ManagedController::start(REPLICAS, SLICES);
    managed.program = None;
    managed.write_operators_file(&format!("<cores most=\"{cores}\"/><overrides/>"));
    let mut file = example_config();
    file["distributor"]["address"] = serde_json::json!(managed.fleet.relay.to_string());
    file["limits"]["cores"] = serde_json::json!(cores);
    let file = ConfigFile::write(&file.to_string());
    let (plain, _former_file) = managed.command();
    let program = former.map_or(plain.get_program().to_owned(), Into::into);
    // As many processors as cores, as far as the machine has them.
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
    if former.is_none() {
        command.args(plain.get_args());
    }
    command.stderr(Stdio::piped()).stdin(Stdio::null());
    managed.program = Some(ControllerProcess::spawn(command, file));
    managed.wait_for_log("relay snapshot complete");
    let (address, pid) = (managed.program().address, managed.program().child.id());
    let mut collectors: Vec<_> = zones.iter().map(|zone| Collector::connect(address, zone)).collect();
    flood(&mut collectors, FLOOD_LINES / 10);
    let (before, own_before) = (cpu_seconds(pid), cpu_seconds(std::process::id()));
    let (sent, took) = flood(&mut collectors, FLOOD_LINES);
    let used = cpu_seconds(pid) - before;
    let own_cpu = (cpu_seconds(std::process::id()) - own_before) / took.as_secs_f64();
    let lag = steady(&mut collectors, STEADY_LINES_PER_SECOND);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("0 kB");
    let memory_mb = resident.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1000.0;
    let rate = sent as f64 / took.as_secs_f64();
    Figures { rate, cpu_us: used / sent as f64 * 1e6, own_cpu, memory_mb, lag }
}

fn main() {
    let former = std::env::var("WHINWALL_FORMER").ok();
    println!("| cores | lines a second | CPU a line | memory at most | lag at {STEADY_LINES_PER_SECOND} lines a second: p50, p99, p99.9 | the generator's own cores |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let hot = [1, 2, 4].map(Setup::Hot);
    let setups = [1, 2, 4, 8].map(Setup::Cores).into_iter().chain([Setup::OnOneProcessor]).chain(hot);
    let rows: Vec<Setup> = former.iter().map(|path| Setup::Former(path)).chain(setups).collect();
    // Alternately, so that other load on the machine affects all alike; the median run by rate is shown.
    let mut runs: Vec<Vec<Figures>> = rows.iter().map(|_| Vec::new()).collect();
    for _ in 0..RUNS {
        for (row, runs) in rows.iter().zip(&mut runs) {
            runs.push(measure(*row));
        }
    }
    for (setup, mut runs) in rows.iter().zip(runs) {
        runs.sort_by(|a, b| a.rate.total_cmp(&b.rate));
        let (least, most) = (runs[0].rate, runs[RUNS - 1].rate);
        let run = &runs[RUNS / 2];
        let ms = |quantile| run.lag.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "| {} | {:.0} ({least:.0} to {most:.0}) | {:.2} us | {:.1} MB | {:.1}, {:.1}, {:.1} ms | {:.1} |",
            match setup {
                Setup::Cores(cores) => cores.to_string(),
                Setup::Former(_) => "1, former build".into(),
                Setup::Hot(cores) => format!("{cores}, one connection"),
                Setup::OnOneProcessor => "2, all threads on one processor".into(),
            },
            run.rate,
            run.cpu_us,
            run.memory_mb,
            ms(0.5),
            ms(0.99),
            ms(0.999),
            run.own_cpu
        );
    }
}
