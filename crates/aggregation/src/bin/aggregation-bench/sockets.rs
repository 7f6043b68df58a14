//! Measures the real program on loopback sockets. Collectors, the heartbeats of the other aggregators and all
//! controllers are tasks of this process, whose own cost is not included.

use crate::error::BenchError;
use crate::load::{memory_mb, Figures, Size};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{interval, sleep, Instant};
use whinwall_aggregation::wire;

/// Time until the aggregator is ready and serves its controllers.
const WARM_UP: Duration = Duration::from_secs(10);
const SECOND: Duration = Duration::from_secs(1);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Interval of the heartbeats of discovery.
const DISCOVERY_HEARTBEAT_PERIOD: Duration = Duration::from_secs(2);
/// Number of prepared seconds of lines per collector, sent in rotation.
const PREPARED_SECONDS: u64 = 4;
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Unit of CPU time in `/proc`, in seconds; fixed in the kernel's interface.
const CLOCK_TICK_SECONDS: f64 = 0.01;

/// Totals received by all controllers.
#[derive(Default)]
struct Received {
    bytes: Cell<u64>,
    lines: Cell<u64>,
    connections: Cell<usize>,
}

/// The measured process, killed on drop.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

/// Measures a fleet of this size for `seconds`.
pub fn measure(size: &Size, seconds: u64, program: &Path) -> Result<Figures, BenchError> {
    actix_rt::System::new().block_on(run(size, seconds, program))
}

async fn run(size: &Size, seconds: u64, program: &Path) -> Result<Figures, BenchError> {
    let received = Rc::new(Received::default());
    let mut members = String::new();
    for n in 0..size.controllers {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (first, last) = size.slices_of(n);
        let (name, address) = (size.controller(n), listener.local_addr()?);
        members += &format!("<governor name=\"{name}\" address=\"{address}\" slices=\"{first}-{last}\"/>");
        actix_rt::spawn(accept_controller_connections(listener, received.clone()));
    }
    for (name, port) in size.aggregators().iter().zip(1..) {
        members += &format!("<aggregator name=\"{name}\" address=\"127.0.0.1:{port}\"/>");
    }
    let (subset, budget) = (size.subset, size.budget);
    let file = format!(
        "<operators version=\"1\"><subsetting subset=\"{subset}\" bytes-per-second=\"{budget}\">{members}</subsetting>\
         </operators>"
    );
    let path = std::env::temp_dir().join(format!("aggregation-bench-{}.xml", std::process::id()));
    std::fs::write(&path, file)?;
    let discovery_listener = TcpListener::bind("127.0.0.1:0").await?;
    let discovery = discovery_listener.local_addr()?;
    actix_rt::spawn(discovery_agent(discovery_listener, size.list()));
    let (program, address) = start_program(program, &path, discovery).await?;
    let process = program.0.id().to_string();
    for zone in 0..size.zones {
        let texts = (0..PREPARED_SECONDS).map(|second| size.collector_lines(zone, second)).collect();
        actix_rt::spawn(collector(address, size.zone(zone), texts, SECOND * zone as u32 / size.zones as u32));
    }
    for heartbeat in size.heartbeats() {
        actix_rt::spawn(peer(address, wire::encode_heartbeat(&heartbeat)));
    }
    sleep(WARM_UP).await;
    let cpu_before = cpu_seconds(&process)?;
    let (bytes_before, lines_before) = (received.bytes.get(), received.lines.get());
    let began = Instant::now();
    sleep(Duration::from_secs(seconds)).await;
    let elapsed = began.elapsed().as_secs_f64();
    let cores = (cpu_seconds(&process)? - cpu_before) / elapsed;
    let kb_out = (received.bytes.get() - bytes_before) as f64 / elapsed / 1000.0;
    let seconds_of_lines: Vec<_> = (0..size.zones).map(|zone| size.collector_lines(zone, 0)).collect();
    std::fs::remove_file(&path)?;
    Ok(Figures {
        size: *size,
        way: "the real program on loopback sockets",
        seconds: elapsed,
        cores,
        memory_mb: memory_mb(&process, "VmRSS")?,
        memory_peak_mb: memory_mb(&process, "VmHWM")?,
        lines_in_per_second: seconds_of_lines.iter().map(|text| text.lines().count()).sum::<usize>() as f64,
        kb_in_per_second: seconds_of_lines.iter().map(String::len).sum::<usize>() as f64 / 1000.0,
        controllers_served: received.connections.get(),
        lines_out_per_second: (received.lines.get() - lines_before) as f64 / elapsed,
        kb_out_per_second: kb_out,
        kb_out_per_second_each: kb_out / received.connections.get().max(1) as f64,
        budget_stretches: 0,
        longest_tick_ms: None,
        longest_start_tick_ms: None,
    })
}

async fn start_program(
    program: &Path,
    file: &Path,
    discovery: SocketAddr,
) -> Result<(Program, SocketAddr), BenchError> {
    // Picks a free port. No other process is expected to take it while the program starts.
    let address = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
    let child = Command::new(program)
        .args(["--name", "m0", "--listen", &address.to_string(), "--discovery", &discovery.to_string()])
        .arg("--operators")
        .arg(file)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok((Program(child), address))
}

fn cpu_seconds(process: &str) -> Result<f64, BenchError> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name of the program, in parentheses, may contain spaces; user and system time are the 12th and 13th field
    // after it.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let times: Vec<f64> =
        fields.split_whitespace().skip(11).take(2).map(str::parse).collect::<Result<_, _>>()?;
    Ok(times.iter().sum::<f64>() * CLOCK_TICK_SECONDS)
}

async fn accept_controller_connections(listener: TcpListener, received: Rc<Received>) {
    while let Ok((stream, _)) = listener.accept().await {
        received.connections.set(received.connections.get() + 1);
        _ = actix_rt::spawn(controller(stream, received.clone()));
    }
}

async fn controller(mut stream: TcpStream, received: Rc<Received>) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        let lines = buffer[..read].iter().filter(|byte| **byte == b'\n').count();
        received.bytes.set(received.bytes.get() + read as u64);
        received.lines.set(received.lines.get() + lines as u64);
        if stream.write_all(b"{\"@type\":\"PONG\"}\n").await.is_err() {
            break;
        }
    }
    received.connections.set(received.connections.get().saturating_sub(1));
}

async fn discovery_agent(listener: TcpListener, list: String) {
    while let Ok((stream, _)) = listener.accept().await {
        _ = actix_rt::spawn(answer_watch(stream, list.clone()));
    }
}

async fn answer_watch(stream: TcpStream, list: String) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    while stream.read_line(&mut line).await? > 2 {
        line.clear();
    }
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(chunk(&(list + "\n")).as_bytes()).await?;
    loop {
        stream.write_all(chunk("\n").as_bytes()).await?;
        sleep(DISCOVERY_HEARTBEAT_PERIOD).await;
    }
}

/// Connects to the address, retrying until the program listens.
async fn connect(address: SocketAddr) -> TcpStream {
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return stream,
            Err(_) => sleep(HEARTBEAT_PERIOD).await,
        }
    }
}

async fn collector(address: SocketAddr, zone: String, texts: Vec<String>, offset: Duration) {
    let mut stream = connect(address).await;
    _ = stream.write_all(wire::encode_source(&zone).as_bytes()).await;
    sleep(offset).await;
    let mut seconds = interval(SECOND);
    for text in texts.iter().cycle() {
        seconds.tick().await;
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn peer(address: SocketAddr, heartbeat: String) {
    let mut stream = connect(address).await;
    let mut ticks = interval(HEARTBEAT_PERIOD);
    while stream.write_all(heartbeat.as_bytes()).await.is_ok() {
        ticks.tick().await;
    }
}
