//! Collectors: connections to the controller's address that say SOURCE and then lines at a pace, or as fast as they are
//! taken.

use super::fleet::{Draw, FleetSize, ReportShape};
use super::Traffic;
use crate::process::{ping, ProcessError};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Periods drawn in advance; a collector tells them by turns, so that telling costs the harness little.
const PERIODS_DRAWN: u64 = 4;

/// A block of lines, ready to be written.
#[derive(Clone, Debug, Default)]
pub struct Block {
    /// The lines, each with its LF.
    pub bytes: Vec<u8>,
    /// How many.
    pub lines: usize,
}

impl Block {
    /// Joins lines.
    pub fn of(lines: &[String]) -> Self {
        let mut bytes = Vec::with_capacity(lines.iter().map(|line| line.len() + 1).sum());
        for line in lines {
            bytes.extend_from_slice(line.as_bytes());
            bytes.push(b'\n');
        }
        Block { bytes, lines: lines.len() }
    }
}

/// What one connection says, and when.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The zone of its SOURCE line.
    pub zone: String,
    /// Between the beginnings of two periods.
    pub period: Duration,
    /// From the start to the first period.
    pub offset: Duration,
    /// Periods by turns; each consists of blocks that are spread evenly over it.
    pub periods: Vec<Vec<Block>>,
}

impl Schedule {
    /// A zone's collector that tells the shape once each period, in so many writes.
    pub fn of(size: &FleetSize, shape: &ReportShape, zone: usize, writes: usize) -> Self {
        let period = Duration::from_secs_f64(shape.window_ms / 1000.0);
        let drawn = |turn: u64| {
            let mut draw = Draw::new(zone as u64 * PERIODS_DRAWN + turn);
            let lines = shape.lines(size, zone, &mut draw);
            let part = lines.len().div_ceil(writes).max(1);
            lines.chunks(part).map(Block::of).collect()
        };
        Schedule {
            zone: size.zone(zone),
            period,
            offset: period.mul_f64(zone as f64 / size.zones as f64),
            periods: (0..PERIODS_DRAWN).map(drawn).collect(),
        }
    }
}

/// Running collectors; they end when dropped.
pub struct Collectors {
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Collectors {
    /// Connects each, and has them begin together.
    pub fn start(
        controller: SocketAddr,
        schedules: Vec<Schedule>,
        traffic: &Arc<Traffic>,
    ) -> std::io::Result<Collectors> {
        let ends = Arc::new(AtomicBool::new(false));
        let begin = Instant::now();
        let mut threads = Vec::new();
        for schedule in schedules {
            let stream = join(controller, &schedule.zone, traffic)?;
            let (ends, traffic) = (ends.clone(), traffic.clone());
            threads.push(thread::spawn(move || tell(&stream, &schedule, begin, &ends, &traffic)));
        }
        Ok(Collectors { ends, threads })
    }
}

impl Drop for Collectors {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}

/// A connection that has named its zone.
pub fn join(controller: SocketAddr, zone: &str, traffic: &Traffic) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(controller)?;
    stream.set_nodelay(true)?;
    let line = format!("{{\"@type\":\"SOURCE\",\"az\":\"{zone}\"}}\n");
    stream.write_all(line.as_bytes())?;
    traffic.reports.add(line.len(), 1);
    Ok(stream)
}

fn tell(mut stream: &TcpStream, schedule: &Schedule, begin: Instant, ends: &AtomicBool, traffic: &Traffic) {
    let mut due = begin + schedule.offset;
    for blocks in schedule.periods.iter().cycle() {
        let gap = schedule.period / blocks.len().max(1) as u32;
        for block in blocks {
            if !wait_until(due, ends) || stream.write_all(&block.bytes).is_err() {
                return;
            }
            traffic.reports.add(block.bytes.len(), block.lines);
            due += gap;
        }
        if blocks.is_empty() {
            due += schedule.period;
            if !wait_until(due, ends) {
                return;
            }
        }
    }
}

/// Whether the moment came before the end.
fn wait_until(due: Instant, ends: &AtomicBool) -> bool {
    /// How soon an end is noticed.
    const LOOK: Duration = Duration::from_millis(100);
    loop {
        if ends.load(Ordering::Relaxed) {
            return false;
        }
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(LOOK));
    }
}

/// Writes a collector's periods as fast as the controller takes them, so many times on each of several connections, and
/// waits until all lines have been read. Returns the lines written and the time that it took.
pub fn flood(
    controller: SocketAddr,
    schedules: &[Schedule],
    times: usize,
    traffic: &Arc<Traffic>,
) -> Result<(u64, Duration), ProcessError> {
    let failed = |source| ProcessError::Io { what: "flood".into(), source };
    let streams: Vec<_> = schedules
        .iter()
        .map(|schedule| join(controller, &schedule.zone, traffic))
        .collect::<Result<_, _>>()
        .map_err(failed)?;
    let (before, begin) = (traffic.reports.read(), Instant::now());
    let outcome: Result<(), ProcessError> = thread::scope(|scope| {
        let write = |stream: &TcpStream, schedule: &Schedule| -> Result<(), ProcessError> {
            for blocks in schedule.periods.iter().cycle().take(times) {
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
        let mut ended = writers.into_iter().map(|writer| writer.join());
        ended.try_for_each(|outcome| outcome.unwrap_or(Err(ProcessError::NoPong("a panic".into()))))
    });
    outcome.map(|()| (traffic.reports.read().since(before).lines, begin.elapsed()))
}
