//! Stand-ins for collectors: connections to the controller that name their zone (SOURCE) and then send report lines at
//! a pace, or as fast as the controller reads them.

use super::fleet::{FleetSize, Random, ReportShape};
use super::traffic::Traffic;
use crate::process::{ping, ProcessError};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle, ScopedJoinHandle};
use std::time::{Duration, Instant};

/// Periods generated in advance; a collector sends them in rotation, so that sending costs the harness little.
const GENERATED_PERIODS: u64 = 4;
/// Time between two checks of a waiting collector whether it is to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A block of lines, ready to be written.
#[derive(Clone, Debug, Default)]
pub struct ReportBlock {
    /// The lines, each with its LF.
    pub bytes: Vec<u8>,
    /// The number of lines.
    pub lines: usize,
}

impl ReportBlock {
    /// Joins lines.
    pub fn from_lines(lines: &[String]) -> Self {
        let mut bytes = Vec::with_capacity(lines.iter().map(|line| line.len() + 1).sum());
        for line in lines {
            bytes.extend_from_slice(line.as_bytes());
            bytes.push(b'\n');
        }
        ReportBlock { bytes, lines: lines.len() }
    }
}

/// The report lines of one connection, and when they are sent.
#[derive(Clone, Debug)]
pub struct ReportSchedule {
    /// The zone of its SOURCE line.
    pub zone: String,
    /// Between the beginnings of two periods.
    pub period: Duration,
    /// From the start to the first period.
    pub offset: Duration,
    /// Periods in rotation; each consists of blocks that are spread evenly over it.
    pub periods: Vec<Vec<ReportBlock>>,
}

impl ReportSchedule {
    /// A zone's collector that reports the shape once each period, in `writes` writes.
    pub fn for_zone(size: &FleetSize, shape: &ReportShape, zone: usize, writes: usize) -> Self {
        let period = Duration::from_secs_f64(shape.window_ms / 1000.0);
        let generate = |period_index: u64| {
            let mut random = Random::new(zone as u64 * GENERATED_PERIODS + period_index);
            let lines = shape.lines(size, zone, &mut random);
            let part = lines.len().div_ceil(writes).max(1);
            lines.chunks(part).map(ReportBlock::from_lines).collect()
        };
        ReportSchedule {
            zone: size.zone(zone),
            period,
            offset: period.mul_f64(zone as f64 / size.zones as f64),
            periods: (0..GENERATED_PERIODS).map(generate).collect(),
        }
    }
}

/// Running collectors; they end when dropped.
pub struct Collectors {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Collectors {
    /// Connects a collector for each schedule, and has them begin together.
    ///
    /// # Errors
    ///
    /// When a connection to the controller fails; collectors that were started before end with it.
    pub fn start(
        controller: SocketAddr,
        schedules: Vec<ReportSchedule>,
        traffic: &Arc<Traffic>,
    ) -> std::io::Result<Collectors> {
        // Dropped where one fails to connect, and the others end with it.
        let mut collectors = Collectors { stop: Arc::new(AtomicBool::new(false)), threads: Vec::new() };
        let start = Instant::now();
        for schedule in schedules {
            let stream = connect_collector(controller, &schedule.zone, traffic)?;
            let (stop, traffic) = (collectors.stop.clone(), traffic.clone());
            let send = move || send_reports(&stream, &schedule, start, &stop, &traffic);
            collectors.threads.push(thread::spawn(send));
        }
        Ok(collectors)
    }
}

impl Drop for Collectors {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}

/// Opens a collector's connection and names its zone.
///
/// # Errors
///
/// When the connection cannot be made, or its SOURCE line cannot be written.
pub fn connect_collector(
    controller: SocketAddr,
    zone: &str,
    traffic: &Traffic,
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(controller)?;
    stream.set_nodelay(true)?;
    let line = format!("{{\"@type\":\"SOURCE\",\"az\":\"{zone}\"}}\n");
    stream.write_all(line.as_bytes())?;
    traffic.reports.add(line.len(), 1);
    Ok(stream)
}

fn send_reports(
    mut stream: &TcpStream,
    schedule: &ReportSchedule,
    start: Instant,
    stop: &AtomicBool,
    traffic: &Traffic,
) {
    let mut due = start + schedule.offset;
    for blocks in schedule.periods.iter().cycle() {
        let gap = schedule.period / blocks.len().max(1) as u32;
        for block in blocks {
            if !wait_until(due, stop) || stream.write_all(&block.bytes).is_err() {
                return;
            }
            traffic.reports.add(block.bytes.len(), block.lines);
            due += gap;
        }
        if blocks.is_empty() {
            due += schedule.period;
            if !wait_until(due, stop) {
                return;
            }
        }
    }
}

/// Waits for a moment; false where the collectors are stopped before it.
fn wait_until(due: Instant, stop: &AtomicBool) -> bool {
    loop {
        if stop.load(Ordering::Relaxed) {
            return false;
        }
        let remaining = due.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return true;
        }
        thread::sleep(remaining.min(STOP_POLL_INTERVAL));
    }
}

/// What a flood wrote, and how long it took until the controller had read it.
#[derive(Clone, Copy, Debug)]
pub struct FloodOutcome {
    /// Lines written on all connections.
    pub lines: u64,
    /// From the first write until each connection had answered a PING.
    pub elapsed: Duration,
}

/// Writes the schedules' periods as fast as the controller takes them, `periods` of them on one connection for each
/// schedule, and waits until all lines have been read.
///
/// # Errors
///
/// When a connection cannot be made or written, or does not answer the final PING.
pub fn flood(
    controller: SocketAddr,
    schedules: &[ReportSchedule],
    periods: usize,
    traffic: &Arc<Traffic>,
) -> Result<FloodOutcome, ProcessError> {
    let failed = |source| ProcessError::Io { what: "flood".into(), source };
    let streams: Vec<_> = schedules
        .iter()
        .map(|schedule| connect_collector(controller, &schedule.zone, traffic))
        .collect::<Result<_, _>>()
        .map_err(failed)?;
    let (before, start) = (traffic.reports.read(), Instant::now());
    let outcome: Result<(), ProcessError> = thread::scope(|scope| {
        let write = |stream: &TcpStream, schedule: &ReportSchedule| -> Result<(), ProcessError> {
            for blocks in schedule.periods.iter().cycle().take(periods) {
                for block in blocks {
                    (&mut &*stream).write_all(&block.bytes).map_err(failed)?;
                    traffic.reports.add(block.bytes.len(), block.lines);
                }
            }
            ping(stream)
        };
        let writers: Vec<_> = streams
            .iter()
            .zip(schedules)
            .map(|(stream, schedule)| scope.spawn(move || write(stream, schedule)))
            .collect();
        let mut ended = writers.into_iter().map(ScopedJoinHandle::join);
        ended.try_for_each(|outcome| outcome.unwrap_or(Err(ProcessError::NoPong("a panic".into()))))
    });
    outcome.map(|()| FloodOutcome {
        lines: traffic.reports.read().since(before).lines,
        elapsed: start.elapsed(),
    })
}
