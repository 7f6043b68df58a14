//! Logging to standard error, as text or JSON lines. Never blocks, and writes a limited number of lines per second from
//! each callsite.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::span::{Attributes, Id};
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_log::NormalizeEvent;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

/// The maximum length of a line in bytes. A pipe that is writable accepts this much without blocking.
const MAX_LINE_BYTES: usize = 1000;
/// The maximum length of the message in a JSON line, in bytes.
const MAX_JSON_MESSAGE_BYTES: usize = MAX_LINE_BYTES / 2;
/// The maximum length of a text field in a JSON line, in bytes.
const MAX_JSON_FIELD_BYTES: usize = MAX_LINE_BYTES / 4;
/// The period over which the lines of each callsite are counted.
const RATE_LIMIT_PERIOD: Duration = Duration::from_secs(1);
/// The prefix of fields that repeat the metadata of a record from the `log` facade.
const LOG_FACADE_PREFIX: &str = "log.";

/// The output format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Level and message, followed by `name=value` for each field.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Changes the format of the running logger. The initial format is text.
#[derive(Clone, Default)]
pub struct LogFormatSwitch {
    is_json: Arc<AtomicBool>,
}

impl LogFormatSwitch {
    /// Sets the format of all subsequent lines.
    pub fn set(&self, format: LogFormat) {
        self.is_json.store(format == LogFormat::Json, Ordering::Relaxed);
    }

    fn get(&self) -> LogFormat {
        if self.is_json.load(Ordering::Relaxed) {
            LogFormat::Json
        } else {
            LogFormat::Text
        }
    }
}

struct Logger {
    start: Instant,
    level: LevelFilter,
    lines_per_second: u32,
    format: LogFormatSwitch,
    /// One limit per callsite, so that a flood of lines from one callsite does not suppress the lines of others.
    rate_limits: Mutex<BTreeMap<Callsite, RateLimit>>,
}

/// The source location that a line is logged from.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Callsite {
    file: Option<String>,
    line: Option<u32>,
}

/// The line count of one callsite in the current period.
struct RateLimit {
    period_start: Instant,
    lines: u32,
    /// The number of lines suppressed since the last written line.
    suppressed: u64,
}

/// The message of an event, and the named fields of an event or span.
#[derive(Default)]
struct Record {
    message: String,
    fields: Map<String, Value>,
}

impl Visit for Record {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => _ = write!(self.message, "{value:?}"),
            name if name.starts_with(LOG_FACADE_PREFIX) => {}
            name => _ = self.fields.insert(name.into(), format!("{value:?}").into()),
        }
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.fields.insert(field.name().into(), value.into());
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "message" => self.message.push_str(value),
            name if name.starts_with(LOG_FACADE_PREFIX) => {}
            name => _ = self.fields.insert(name.into(), value.into()),
        }
    }
}

/// Installs the global logger of the process, which writes at most `lines_per_second` lines per second from each
/// callsite. Only the first call in a process has an effect.
pub fn start(level: LevelFilter, lines_per_second: u32) -> LogFormatSwitch {
    let format = LogFormatSwitch::default();
    let logger = Logger {
        start: Instant::now(),
        level,
        lines_per_second,
        format: format.clone(),
        rate_limits: Mutex::default(),
    };
    let subscriber = tracing_subscriber::registry().with(logger);
    if tracing::subscriber::set_global_default(subscriber).is_ok() {
        // Forwards records of libraries that use the `log` facade.
        _ = tracing_log::LogTracer::init();
    }
    format
}

impl RateLimit {
    fn new(now: Instant) -> Self {
        RateLimit { period_start: now, lines: 0, suppressed: 0 }
    }

    /// Counts a line. Returns the number of lines suppressed before it, or `None` if it must be suppressed too.
    fn admit(&mut self, now: Instant, max_lines: u32) -> Option<u64> {
        if now - self.period_start >= RATE_LIMIT_PERIOD {
            self.period_start = now;
            self.lines = 0;
        }
        if self.lines >= max_lines {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Logger {
    /// Returns the number of lines of this callsite suppressed before this one, or `None` if it is suppressed too.
    fn admit(&self, metadata: &Metadata) -> Option<u64> {
        let now = Instant::now();
        let callsite = Callsite { file: metadata.file().map(str::to_string), line: metadata.line() };
        // If a thread panicked while holding the lock, nothing more is logged; the process is about to restart.
        let mut rate_limits = self.rate_limits.lock().ok()?;
        let rate_limit = rate_limits.entry(callsite).or_insert_with(|| RateLimit::new(now));
        rate_limit.admit(now, self.lines_per_second)
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for Logger {
    fn enabled(&self, metadata: &Metadata, _: Context<S>) -> bool {
        // Of libraries, only warnings and errors are logged.
        let is_own_code = metadata.target().starts_with("whinwall");
        *metadata.level() <= self.level && (is_own_code || *metadata.level() <= Level::WARN)
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(self.level)
    }

    fn on_new_span(&self, attributes: &Attributes, id: &Id, context: Context<S>) {
        let mut record = Record::default();
        attributes.record(&mut record);
        if let Some(span) = context.span(id) {
            span.extensions_mut().insert(record);
        }
    }

    fn on_event(&self, event: &Event, context: Context<S>) {
        let normalized = event.normalized_metadata();
        let metadata = normalized.as_ref().unwrap_or_else(|| event.metadata());
        let Some(suppressed) = self.admit(metadata) else { return };
        let mut record = Record::default();
        event.record(&mut record);
        let scope = context.event_scope(event);
        let spans = scope.into_iter().flat_map(tracing_subscriber::registry::Scope::from_root).map(|span| {
            SpanFields {
                name: span.name(),
                fields: span
                    .extensions()
                    .get::<Record>()
                    .map(|record| record.fields.clone())
                    .unwrap_or_default(),
            }
        });
        let line = Line {
            seconds_since_start: self.start.elapsed().as_secs_f64(),
            metadata,
            record,
            spans: spans.collect(),
            suppressed,
        };
        write_without_blocking(&match self.format.get() {
            LogFormat::Text => line.into_text(),
            LogFormat::Json => line.into_json(),
        });
    }
}

/// Writes a line to standard error, or drops it if standard error is not writable without blocking.
fn write_without_blocking(line: &str) {
    let stderr = std::io::stderr();
    let mut readiness = [PollFd::new(&stderr, PollFlags::OUT)];
    if matches!(poll(&mut readiness, Some(&Timespec::default())), Ok(1..)) {
        _ = stderr.lock().write_all(line.as_bytes());
    }
}

/// The name and fields of a span that encloses an event.
struct SpanFields {
    name: &'static str,
    fields: Map<String, Value>,
}

/// A log line before formatting.
struct Line<'a> {
    seconds_since_start: f64,
    metadata: &'a Metadata<'a>,
    record: Record,
    /// The enclosing spans, outermost first.
    spans: Vec<SpanFields>,
    /// The number of lines of the same callsite that were suppressed before this one.
    suppressed: u64,
}

impl Line<'_> {
    fn level(&self) -> String {
        self.metadata.level().as_str().to_lowercase()
    }

    fn into_text(self) -> String {
        let mut line = format!("{:.3} {} {}", self.seconds_since_start, self.level(), self.record.message);
        push_fields(&mut line, &self.record.fields);
        for SpanFields { name, fields } in &self.spans {
            _ = write!(line, " [{name}");
            push_fields(&mut line, fields);
            line.push(']');
        }
        if self.suppressed > 0 {
            _ = write!(line, " ({} similar lines suppressed)", self.suppressed);
        }
        truncate(&line.replace('\n', " "), MAX_LINE_BYTES).to_string() + "\n"
    }

    /// Truncates the message and the text fields, but never the whole line, which would make it invalid JSON.
    fn into_json(self) -> String {
        let mut line = Map::new();
        line.insert("t".into(), ((self.seconds_since_start * 1000.0).round() / 1000.0).into());
        line.insert("level".into(), self.level().into());
        line.insert("from".into(), self.metadata.target().into());
        line.insert("message".into(), truncate(&self.record.message, MAX_JSON_MESSAGE_BYTES).into());
        line.extend(self.record.fields.into_iter().map(|(name, value)| match value {
            Value::String(text) => (name, truncate(&text, MAX_JSON_FIELD_BYTES).into()),
            value => (name, value),
        }));
        if !self.spans.is_empty() {
            let spans = self.spans.into_iter().map(|SpanFields { name, mut fields }| {
                fields.insert("name".into(), name.into());
                Value::Object(fields)
            });
            line.insert("spans".into(), spans.collect());
        }
        if self.suppressed > 0 {
            line.insert("left_out".into(), self.suppressed.into());
        }
        Value::Object(line).to_string() + "\n"
    }
}

/// Appends ` name=value` for each field. Text values are written without quotes or escapes.
fn push_fields(line: &mut String, fields: &Map<String, Value>) {
    for (name, value) in fields {
        // Writing to a `String` cannot fail.
        _ = match value {
            Value::String(text) => write!(line, " {name}={text}"),
            value => write!(line, " {name}={value}"),
        };
    }
}

/// Returns the longest prefix of whole characters that is at most `max_bytes` long.
fn truncate(text: &str, max_bytes: usize) -> &str {
    &text[..text.floor_char_boundary(max_bytes.min(text.len()))]
}
