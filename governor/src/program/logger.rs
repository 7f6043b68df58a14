//! A small logger on standard error. It never waits for a reader and never writes more than so much of one
//! kind a second.

use log::{Level, LevelFilter, Log, Metadata, Record};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A pipe that takes anything takes this much at once.
const LINE_BYTES: usize = 1000;

struct Logger {
    start: Instant,
    lines_a_second: u32,
    /// By the place in the code, that is, by kind: a flood of one kind hides no other.
    seconds: Mutex<BTreeMap<Place, Second>>,
}

type Place = (Option<&'static str>, Option<u32>);

struct Second {
    began: Instant,
    lines: u32,
    left_out: u64,
}

pub fn start(level: LevelFilter, lines_a_second: u32) {
    let start = Instant::now();
    let seconds = Mutex::default();
    if log::set_boxed_logger(Box::new(Logger { start, lines_a_second, seconds })).is_ok() {
        log::set_max_level(level);
    }
}

impl Second {
    /// Whether one more line may be written; with how many were left out before it.
    fn admit(&mut self, now: Instant, most: u32) -> Option<u64> {
        if now - self.began >= Duration::from_secs(1) {
            (self.began, self.lines) = (now, 0);
        }
        if self.lines >= most {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // What libraries say below a warning is theirs.
        metadata.target().starts_with("whinwall") || metadata.level() <= Level::Warn
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Ok(mut seconds) = self.seconds.lock() else { return };
        let (place, now) = ((record.file_static(), record.line()), Instant::now());
        let second = seconds.entry(place).or_insert(Second { began: now, lines: 0, left_out: 0 });
        let Some(left_out) = second.admit(now, self.lines_a_second) else { return };
        let since = self.start.elapsed().as_secs_f64();
        let level = record.level().as_str().to_lowercase();
        let mut line = format!("{since:.3} {level} {}", record.args()).replace('\n', " ");
        if left_out > 0 {
            line.push_str(&format!(" ({left_out} of the kind left out before this one)"));
        }
        let line: String = line.chars().take(LINE_BYTES).collect::<String>() + "\n";
        let error = std::io::stderr();
        let mut ready = [PollFd::new(&error, PollFlags::OUT)];
        if matches!(poll(&mut ready, Some(&Timespec::default())), Ok(1..)) {
            _ = error.lock().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}
