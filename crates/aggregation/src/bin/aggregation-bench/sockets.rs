//! The real program on loopback sockets: collectors, the other aggregators' heartbeats and all controllers are tasks of
//! this process, whose own cost is not counted.

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

/// Until it is ready and has what it serves.
const WARM_UP: Duration = Duration::from_secs(10);
const SECOND: Duration = Duration::from_secs(1);
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Discovery's signs of life.
const LIFE: Duration = Duration::from_secs(2);
/// A second of lines in memory for each collector, taken by turns.
const VARIANTS: u64 = 4;
const PIECE: usize = 64 << 10;
/// The unit of processor time in `/proc`, in seconds: the kernel's interface has it fixed.
const CLOCK_TICK: f64 = 0.01;

/// What controllers got, all together.
#[derive(Default)]
struct Got {
    bytes: Cell<u64>,
    lines: Cell<u64>,
    connections: Cell<usize>,
}

/// Ends with the measurement.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

/// Measures it.
pub fn measure(size: &Size, seconds: u64, program: &Path) -> Result<Figures, String> {
    actix_rt::System::new().block_on(run(size, seconds, program)).map_err(|why| why.to_string())
}

async fn run(size: &Size, seconds: u64, program: &Path) -> Result<Figures, Box<dyn std::error::Error>> {
    let got = Rc::new(Got::default());
    let mut members = String::new();
    for n in 0..size.controllers {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (first, last) = size.slices_of(n);
        let (name, address) = (size.controller(n), listener.local_addr()?);
        members += &format!("<governor name=\"{name}\" address=\"{address}\" slices=\"{first}-{last}\"/>");
        actix_rt::spawn(govern(listener, got.clone()));
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
    let list = TcpListener::bind("127.0.0.1:0").await?;
    let discovery = list.local_addr()?;
    actix_rt::spawn(discover(list, size.list()));
    let (program, address) = start(program, &path, discovery).await?;
    let process = program.0.id().to_string();
    for zone in 0..size.zones {
        let texts = (0..VARIANTS).map(|second| size.second(zone, second)).collect();
        actix_rt::spawn(collect(address, size.zone(zone), texts, SECOND * zone as u32 / size.zones as u32));
    }
    for heartbeat in size.heartbeats() {
        actix_rt::spawn(beat(address, wire::heartbeat(&heartbeat)));
    }
    sleep(WARM_UP).await;
    let before = (processor_s(&process)?, got.bytes.get(), got.lines.get(), Instant::now());
    sleep(Duration::from_secs(seconds)).await;
    let took = before.3.elapsed().as_secs_f64();
    let cores = (processor_s(&process)? - before.0) / took;
    let kb_out = (got.bytes.get() - before.1) as f64 / took / 1000.0;
    let seconds_of_lines: Vec<_> = (0..size.zones).map(|zone| size.second(zone, 0)).collect();
    std::fs::remove_file(&path)?;
    Ok(Figures {
        size: *size,
        way: "the real program on loopback sockets",
        seconds: took,
        cores,
        memory_mb: memory_mb(&process, "VmRSS")?,
        memory_peak_mb: memory_mb(&process, "VmHWM")?,
        lines_in_per_second: seconds_of_lines.iter().map(|text| text.lines().count()).sum::<usize>() as f64,
        kb_in_per_second: seconds_of_lines.iter().map(String::len).sum::<usize>() as f64 / 1000.0,
        controllers_served: got.connections.get(),
        lines_out_per_second: (got.lines.get() - before.2) as f64 / took,
        kb_out_per_second: kb_out,
        kb_out_per_second_each: kb_out / got.connections.get().max(1) as f64,
        budget_stretches: 0,
        longest_tick_ms: None,
        longest_start_tick_ms: None,
    })
}

async fn start(
    program: &Path,
    file: &Path,
    discovery: SocketAddr,
) -> Result<(Program, SocketAddr), Box<dyn std::error::Error>> {
    // A port that is free; nobody else takes ports of this machine by chance while the program starts.
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

fn processor_s(process: &str) -> Result<f64, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name of the program, in brackets, may have spaces; the two figures are the 12th and 13th behind it.
    let behind = text.rsplit(')').next().unwrap_or_default();
    let figures: Vec<f64> =
        behind.split_whitespace().skip(11).take(2).map(str::parse).collect::<Result<_, _>>()?;
    Ok(figures.iter().sum::<f64>() * CLOCK_TICK)
}

async fn govern(listener: TcpListener, got: Rc<Got>) {
    while let Ok((stream, _)) = listener.accept().await {
        got.connections.set(got.connections.get() + 1);
        _ = actix_rt::spawn(hear(stream, got.clone()));
    }
}

async fn hear(mut stream: TcpStream, got: Rc<Got>) {
    let mut piece = vec![0; PIECE];
    while let Ok(read @ 1..) = stream.read(&mut piece).await {
        let lines = piece[..read].iter().filter(|byte| **byte == b'\n').count();
        got.bytes.set(got.bytes.get() + read as u64);
        got.lines.set(got.lines.get() + lines as u64);
        if stream.write_all(b"{\"@type\":\"PONG\"}\n").await.is_err() {
            break;
        }
    }
    got.connections.set(got.connections.get().saturating_sub(1));
}

async fn discover(listener: TcpListener, list: String) {
    while let Ok((stream, _)) = listener.accept().await {
        _ = actix_rt::spawn(answer(stream, list.clone()));
    }
}

async fn answer(stream: TcpStream, list: String) -> std::io::Result<()> {
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
        sleep(LIFE).await;
    }
}

/// The stream of a dial that is made again until the program listens.
async fn dial(address: SocketAddr) -> TcpStream {
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return stream,
            Err(_) => sleep(HEARTBEAT).await,
        }
    }
}

async fn collect(address: SocketAddr, zone: String, texts: Vec<String>, offset: Duration) {
    let mut stream = dial(address).await;
    _ = stream.write_all(wire::source(&zone).as_bytes()).await;
    sleep(offset).await;
    let mut seconds = interval(SECOND);
    for text in texts.iter().cycle() {
        seconds.tick().await;
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn beat(address: SocketAddr, heartbeat: String) {
    let mut stream = dial(address).await;
    let mut beats = interval(HEARTBEAT);
    while stream.write_all(heartbeat.as_bytes()).await.is_ok() {
        beats.tick().await;
    }
}
