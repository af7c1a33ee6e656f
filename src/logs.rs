//! Structured logs: JSON lines written through `log` and `fern`.
//!
//! The control plane's lines pass through a bounded queue to a writer thread, and their rate is
//! limited, so that a slow reader of standard output never blocks the scheduler. Dropped lines are
//! counted.

use log::kv::{self, VisitSource};
use log::LevelFilter;
use serde::{Serialize, Serializer};
use std::borrow::Cow;
use std::fmt::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender};
use std::time::{Duration, Instant};

/// Maximum number of lines that wait for standard output; further ones are dropped and counted, so
/// that a slow reader never blocks the caller.
const QUEUE_LINES: usize = 8_192;

/// Maximum number of lines per second; further ones are dropped and counted, except for warnings
/// and errors. A scheduler at 280 starts/s writes some 1,500 lines/s, each at about 10 µs of a
/// core.
const LINES_PER_S: u64 = 4_000;

/// Usual maximum of fields in a line.
const FIELDS: usize = 16;

/// Usual maximum length of a line, bytes.
const LINE_BYTES: usize = 384;

/// Maximum length of the text of a field, bytes; the rest is left out. Errors quote what other programs
/// have written: a line with a value of 60 KB costs as much as hundreds of others.
const FIELD_BYTES: usize = 1_024;

/// Time for which the writer collects lines before it writes them. If it wrote each line at once, a
/// scheduler would pay for waking its thread and for a system call with each line.
const COLLECT: Duration = Duration::from_millis(10);

/// Longest time that [`flush`] waits for the writer.
const FLUSH_WAIT: Duration = Duration::from_millis(200);

/// Lines in the queue of the writer, and lines that it has not flushed.
static PENDING: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the last report of dropped lines.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// The present second, Unix time.
static SECOND: AtomicU64 = AtomicU64::new(0);
/// Lines written in [`SECOND`].
static WRITTEN_IN_SECOND: AtomicU64 = AtomicU64::new(0);

/// Counts a line; true if it exceeds [`LINES_PER_S`].
fn exceeds_rate() -> bool {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs());
    if SECOND.swap(now, Ordering::Relaxed) != now {
        WRITTEN_IN_SECOND.store(0, Ordering::Relaxed);
    }
    WRITTEN_IN_SECOND.fetch_add(1, Ordering::Relaxed) >= LINES_PER_S
}

fn drop_line() {
    DROPPED.fetch_add(1, Ordering::Relaxed);
    metrics::counter!("log_lines_dropped").increment(1);
}

/// Errors of the log setup.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// Another logger is already set.
    #[error("logger already set: {0}")]
    Set(#[from] log::SetLoggerError),
    /// The writer thread could not be started.
    #[error("cannot start the log writer: {0}")]
    Thread(#[from] std::io::Error),
}

/// The first `max` bytes of `text`, or fewer, so that no character is cut.
fn excerpt(text: &str, max: usize) -> &str {
    let end = (0..=max.min(text.len())).rev().find(|&i| text.is_char_boundary(i));
    &text[..end.unwrap_or(0)]
}

/// The first [`FIELD_BYTES`] of a value.
struct Excerpt<'a, T>(&'a T);

impl<T: fmt::Display> fmt::Display for Excerpt<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = Limited { out: f, left: FIELD_BYTES };
        let written = write!(out, "{}", self.0);
        // An error because the limit is reached is none of the output.
        if out.left == 0 {
            Ok(())
        } else {
            written
        }
    }
}

/// Passes on as many bytes as are left, and then fails, which ends the formatting.
struct Limited<'a, 'f> {
    out: &'a mut fmt::Formatter<'f>,
    left: usize,
}

impl fmt::Write for Limited<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let part = excerpt(text, self.left);
        self.out.write_str(part)?;
        let cut = part.len() < text.len();
        self.left = if cut { 0 } else { self.left - part.len() };
        if cut {
            Err(fmt::Error)
        } else {
            Ok(())
        }
    }
}

/// Value of a field of a line.
enum FieldValue<'a> {
    Text(&'a str),
    Number(u64),
    Captured(kv::Value<'a>),
}

impl Serialize for FieldValue<'_> {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Text(text) => s.serialize_str(excerpt(text, FIELD_BYTES)),
            Self::Number(n) => s.serialize_u64(*n),
            Self::Captured(v) => {
                if let Some(n) = v.to_u64() {
                    s.serialize_u64(n)
                } else if let Some(b) = v.to_bool() {
                    s.serialize_bool(b)
                } else if let Some(f) = v.to_f64() {
                    s.serialize_f64(f)
                } else {
                    s.collect_str(&Excerpt(v))
                }
            }
        }
    }
}

/// Fields of a line. They are serialized from where they are: a line of the scheduler has some ten,
/// and copies of their names and values would be most of its cost.
struct Fields<'a>(Vec<(Cow<'a, str>, FieldValue<'a>)>);

impl<'a> Fields<'a> {
    fn push(&mut self, name: &'a str, value: FieldValue<'a>) {
        self.0.push((Cow::Borrowed(name), value));
    }
}

impl<'kvs> VisitSource<'kvs> for Fields<'kvs> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, v: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let name = key.to_borrowed_str();
        let name = name.map_or_else(|| Cow::Owned(key.as_str().to_string()), Cow::Borrowed);
        self.0.push((name, FieldValue::Captured(v)));
        Ok(())
    }
}

/// Formats a record as one JSON line, without a line break. Fields are ordered by name; of several
/// with one name the last one counts.
pub fn format_line(role: &str, id: &str, record: &log::Record<'_>) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    let message = match record.args().as_str() {
        Some(text) => Cow::Borrowed(text),
        None => Cow::Owned(record.args().to_string()),
    };
    let mut fields = Fields(Vec::with_capacity(FIELDS));
    fields.push("t_ms", FieldValue::Number(now));
    fields.push("level", FieldValue::Text(record.level().as_str()));
    fields.push("role", FieldValue::Text(role));
    fields.push("id", FieldValue::Text(id));
    fields.push("target", FieldValue::Text(record.target()));
    fields.push("msg", FieldValue::Text(&message));
    // `Fields` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    let Fields(mut all) = fields;
    all.sort_by(|(a, _), (b, _)| a.cmp(b));
    let replaced = |i: usize| all.get(i + 1).is_some_and(|(next, _)| *next == all[i].0);
    let last = (0..all.len()).filter(|&i| !replaced(i)).map(|i| (&all[i].0, &all[i].1));
    let mut line = Vec::with_capacity(LINE_BYTES);
    // Writing to a vector cannot fail, and names are strings.
    let _ = serde_json::Serializer::new(&mut line).collect_map(last);
    String::from_utf8(line).unwrap_or_default()
}

/// Writes log lines to standard error, with the process's `role` and `id` in each.
pub fn init(role: &str, id: &str, level: LevelFilter) -> Result<(), LogError> {
    let (role, id) = (role.to_string(), id.to_string());
    fern::Dispatch::new()
        .format(move |out, _, record| {
            let text = format_line(&role, &id, record);
            out.finish(format_args!("{text}"))
        })
        .level(level)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// Writes log lines to standard output from a separate thread. If its queue is full, lines are
/// dropped, and the thread writes their number after the next lines.
pub fn init_stdout(role: &str, id: &str, level: LevelFilter) -> Result<(), LogError> {
    let (role, id) = (role.to_string(), id.to_string());
    let (tx, rx) = mpsc::sync_channel::<String>(QUEUE_LINES);
    std::thread::Builder::new().name("logs".into()).spawn(move || write_all(&rx))?;
    fern::Dispatch::new()
        .level(level)
        .level_for("tide", LevelFilter::Warn)
        .chain(fern::Output::call(move |record| {
            if record.level() > log::Level::Warn && exceeds_rate() {
                return drop_line();
            }
            enqueue(&tx, format_line(&role, &id, record));
        }))
        .apply()?;
    Ok(())
}

fn enqueue(tx: &SyncSender<String>, line: String) {
    PENDING.fetch_add(1, Ordering::AcqRel);
    if tx.try_send(line).is_err() {
        PENDING.fetch_sub(1, Ordering::AcqRel);
        drop_line();
    }
}

/// Waits until the lines logged so far are written, for a limited time. Called before the process
/// ends.
pub fn flush() {
    let began = Instant::now();
    while PENDING.load(Ordering::Acquire) > 0 && began.elapsed() < FLUSH_WAIT {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Collects lines for [`COLLECT`], writes all that are queued, then flushes once.
fn write_all(rx: &mpsc::Receiver<String>) {
    use std::io::Write;
    let mut out = std::io::BufWriter::new(std::io::stdout());
    while let Ok(first) = rx.recv() {
        std::thread::sleep(COLLECT);
        let mut lines = 0;
        let queued = rx.try_iter().take(QUEUE_LINES);
        for line in std::iter::once(first).chain(queued) {
            // Standard output may be closed; the error cannot be reported anywhere else.
            let _ = writeln!(out, "{line}");
            lines += 1;
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(out, "{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}");
        }
        let _ = out.flush();
        PENDING.fetch_sub(lines, Ordering::AcqRel);
    }
}
