//! Fake collectors: connections to the controller that send their zone (SOURCE) and then report lines, either at a
//! configured rate or as fast as the controller reads them.

use super::fleet::{FleetSize, Random, ReportShape};
use super::traffic::Traffic;
use crate::process::{ping, ProcessError};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle, ScopedJoinHandle};
use std::time::{Duration, Instant};

/// Number of periods whose lines are generated in advance. A collector repeats them, which keeps the harness's own CPU
/// time low.
const GENERATED_PERIODS: u64 = 4;
/// Time between two checks of the stop flag while a collector waits.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Report lines that are sent in one write.
#[derive(Clone, Debug, Default)]
pub struct ReportBlock {
    /// The lines, each terminated by LF.
    pub bytes: Vec<u8>,
    /// The number of lines.
    pub lines: usize,
}

impl ReportBlock {
    /// Joins lines, each terminated by LF.
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
    /// The zone in the SOURCE line.
    pub zone: String,
    /// The time between the starts of two periods.
    pub period: Duration,
    /// The time from the start of the collectors to the first period.
    pub offset: Duration,
    /// The periods, which are repeated in this order. The blocks of a period are spread evenly over it.
    pub periods: Vec<Vec<ReportBlock>>,
}

impl ReportSchedule {
    /// Creates the schedule of a zone's collector that sends the lines of `shape` each period, in `writes` writes.
    pub fn for_zone(size: &FleetSize, shape: &ReportShape, zone: usize, writes: usize) -> Self {
        let period = Duration::from_secs_f64(shape.window_ms / 1000.0);
        let generate = |period_index: u64| {
            let mut random = Random::new(zone as u64 * GENERATED_PERIODS + period_index);
            let lines = shape.lines(size, zone, &mut random);
            let lines_per_write = lines.len().div_ceil(writes).max(1);
            lines.chunks(lines_per_write).map(ReportBlock::from_lines).collect()
        };
        ReportSchedule {
            zone: size.zone(zone),
            period,
            offset: period.mul_f64(zone as f64 / size.zones as f64),
            periods: (0..GENERATED_PERIODS).map(generate).collect(),
        }
    }
}

/// Running collectors. They end when dropped.
pub struct Collectors {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Collectors {
    /// Connects a collector for each schedule. The offsets of all schedules count from the same point in time.
    ///
    /// # Errors
    ///
    /// When a connection to the controller fails. Collectors that were already started end as well.
    pub fn start(
        controller: SocketAddr,
        schedules: Vec<ReportSchedule>,
        traffic: &Arc<Traffic>,
    ) -> std::io::Result<Collectors> {
        // If a collector fails to connect, dropping this value ends the others.
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

/// Opens a collector's connection and sends the SOURCE line with its zone.
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
        let write_interval = schedule.period / blocks.len().max(1) as u32;
        for block in blocks {
            if !wait_until(due, stop) || stream.write_all(&block.bytes).is_err() {
                return;
            }
            traffic.reports.add(block.bytes.len(), block.lines);
            due += write_interval;
        }
        if blocks.is_empty() {
            due += schedule.period;
            if !wait_until(due, stop) {
                return;
            }
        }
    }
}

/// Waits until `due`; returns false if the collectors are stopped earlier.
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

/// The number of lines of a flood, and the time that the controller took to read them.
#[derive(Clone, Copy, Debug)]
pub struct FloodOutcome {
    /// Lines written on all connections.
    pub lines: u64,
    /// The time from the first write until each connection has answered a PING.
    pub elapsed: Duration,
}

/// Opens one connection per schedule, writes `periods` periods to each as fast as the controller reads them, and waits
/// until all lines have been read.
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
    let flood_error = |source| ProcessError::Io { operation: "connection of a flood".into(), source };
    let streams: Vec<_> = schedules
        .iter()
        .map(|schedule| connect_collector(controller, &schedule.zone, traffic))
        .collect::<Result<_, _>>()
        .map_err(flood_error)?;
    let (before, start) = (traffic.reports.read(), Instant::now());
    let outcome: Result<(), ProcessError> = thread::scope(|scope| {
        let write = |stream: &TcpStream, schedule: &ReportSchedule| -> Result<(), ProcessError> {
            for blocks in schedule.periods.iter().cycle().take(periods) {
                for block in blocks {
                    (&mut &*stream).write_all(&block.bytes).map_err(flood_error)?;
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
        let mut results = writers.into_iter().map(ScopedJoinHandle::join);
        results.try_for_each(|result| {
            result.unwrap_or(Err(ProcessError::NoPong("panic of a writer thread".into())))
        })
    });
    outcome.map(|()| FloodOutcome {
        lines: traffic.reports.read().since(before).lines,
        elapsed: start.elapsed(),
    })
}
