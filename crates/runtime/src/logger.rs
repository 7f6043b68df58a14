//! The log on standard error, as text or as JSON lines. It never waits for a reader and never writes more
//! than so many lines of one kind a second.

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

/// A pipe that takes anything takes this much at once.
const LINE_BYTES: usize = 1000;

/// As text until the operators' file says otherwise.
#[derive(Clone, Default)]
pub struct Form(Arc<AtomicBool>);

impl Form {
    pub fn json(&self, json: bool) {
        self.0.store(json, Ordering::Relaxed);
    }
}

struct Logger {
    start: Instant,
    level: LevelFilter,
    lines_a_second: u32,
    form: Form,
    /// By the place in the code, that is, by kind: a flood of one kind hides no other.
    seconds: Mutex<BTreeMap<Place, Second>>,
}

type Place = (Option<String>, Option<u32>);

struct Second {
    began: Instant,
    lines: u32,
    left_out: u64,
}

/// What an event or a span says: its message, and its fields by name.
#[derive(Default)]
struct Said {
    message: String,
    fields: Map<String, Value>,
}

impl Visit for Said {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => _ = write!(self.message, "{value:?}"),
            // What a record of the other facade says of its origin is in the metadata already.
            name if name.starts_with("log.") => {}
            name => _ = self.fields.insert(name.into(), format!("{value:?}").into()),
        }
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.fields.insert(field.name().into(), value.into());
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "message" => self.message.push_str(value),
            name if name.starts_with("log.") => {}
            name => _ = self.fields.insert(name.into(), value.into()),
        }
    }
}

/// Takes all that is logged from now on.
pub fn start(level: LevelFilter, lines_a_second: u32) -> Form {
    let form = Form::default();
    let (start, seconds) = (Instant::now(), Mutex::default());
    let logger = Logger { start, level, lines_a_second, form: form.clone(), seconds };
    let subscriber = tracing_subscriber::registry().with(logger);
    if tracing::subscriber::set_global_default(subscriber).is_ok() {
        // Some libraries speak to the older facade.
        _ = tracing_log::LogTracer::init();
    }
    form
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

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for Logger {
    fn enabled(&self, metadata: &Metadata, _: Context<S>) -> bool {
        // What libraries say below a warning is theirs.
        let ours = metadata.target().starts_with("whinwall");
        *metadata.level() <= self.level && (ours || *metadata.level() <= Level::WARN)
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(self.level)
    }

    fn on_new_span(&self, attributes: &Attributes, id: &Id, context: Context<S>) {
        let mut said = Said::default();
        attributes.record(&mut said);
        if let Some(span) = context.span(id) {
            span.extensions_mut().insert(said);
        }
    }

    fn on_event(&self, event: &Event, context: Context<S>) {
        let normal = event.normalized_metadata();
        let metadata = normal.as_ref().unwrap_or_else(|| event.metadata());
        let Ok(mut seconds) = self.seconds.lock() else { return };
        let (place, now) = ((metadata.file().map(str::to_string), metadata.line()), Instant::now());
        let second = seconds.entry(place).or_insert(Second { began: now, lines: 0, left_out: 0 });
        let Some(left_out) = second.admit(now, self.lines_a_second) else { return };
        drop(seconds);
        let mut said = Said::default();
        event.record(&mut said);
        let mut spans = Vec::new();
        for span in context.event_scope(event).into_iter().flat_map(|scope| scope.from_root()) {
            let fields = span.extensions().get::<Said>().map(|said| said.fields.clone());
            spans.push((span.name(), fields.unwrap_or_default()));
        }
        let since = self.start.elapsed().as_secs_f64();
        let json = self.form.0.load(Ordering::Relaxed);
        let write = if json { as_json } else { as_text };
        let line = write(since, metadata, said, &spans, left_out);
        let error = std::io::stderr();
        let mut ready = [PollFd::new(&error, PollFlags::OUT)];
        if matches!(poll(&mut ready, Some(&Timespec::default())), Ok(1..)) {
            _ = error.lock().write_all(line.as_bytes());
        }
    }
}

type Spans = [(&'static str, Map<String, Value>)];

fn cut(text: &str, most: usize) -> &str {
    &text[..text.floor_char_boundary(most.min(text.len()))]
}

fn as_text(since: f64, metadata: &Metadata, said: Said, spans: &Spans, left_out: u64) -> String {
    let mut line = format!("{since:.3} {} {}", metadata.level().as_str().to_lowercase(), said.message);
    for (name, value) in &said.fields {
        _ = write!(line, " {name}={value}");
    }
    for (name, fields) in spans {
        let fields: Vec<_> = fields.iter().map(|(name, value)| format!(" {name}={value}")).collect();
        _ = write!(line, " [{name}{}]", fields.concat());
    }
    if left_out > 0 {
        _ = write!(line, " ({left_out} of the kind left out before this one)");
    }
    cut(&line.replace('\n', " "), LINE_BYTES).to_string() + "\n"
}

/// The message is cut, never the line: half of it would be no JSON.
fn as_json(since: f64, metadata: &Metadata, said: Said, spans: &Spans, left_out: u64) -> String {
    let mut line = Map::new();
    line.insert("t".into(), ((since * 1000.0).round() / 1000.0).into());
    line.insert("level".into(), metadata.level().as_str().to_lowercase().into());
    line.insert("from".into(), metadata.target().into());
    line.insert("message".into(), cut(&said.message, LINE_BYTES / 2).into());
    line.extend(said.fields.into_iter().map(|(name, value)| match value {
        Value::String(text) => (name, cut(&text, LINE_BYTES / 8).into()),
        value => (name, value),
    }));
    if !spans.is_empty() {
        let spans = spans.iter().map(|(name, fields)| {
            let mut span = fields.clone();
            span.insert("name".into(), (*name).into());
            Value::Object(span)
        });
        line.insert("spans".into(), spans.collect());
    }
    if left_out > 0 {
        line.insert("left_out".into(), left_out.into());
    }
    Value::Object(line).to_string() + "\n"
}
