//! Structured logs: JSON lines written through `log` and `fern`.
//!
//! The control plane's lines pass through a bounded queue to a writer thread, and their rate is
//! limited, so that a slow reader of standard output never blocks the scheduler. Dropped lines are
//! counted.

use log::kv::{self, VisitSource};
use log::LevelFilter;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender, TrySendError};

/// Maximum number of lines that wait for standard output; further ones are dropped and counted, so
/// that a slow reader never blocks the caller.
const QUEUE_LINES: usize = 8_192;

/// Maximum number of lines per second; further ones are dropped and counted, except for warnings
/// and errors. A scheduler at 280 starts/s writes some 1,500 lines/s, each at about 10 µs of a
/// core.
const LINES_PER_S: u64 = 4_000;

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

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, v: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(n) = v.to_u64() {
            n.into()
        } else if let Some(b) = v.to_bool() {
            b.into()
        } else if let Some(f) = v.to_f64() {
            f.into()
        } else {
            v.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Formats a record as one JSON line, without a line break.
fn format_line(role: &str, id: &str, record: &log::Record<'_>, message: &str) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    let mut fields = Fields(serde_json::Map::new());
    fields.0.insert("t_ms".into(), now.into());
    fields.0.insert("level".into(), record.level().as_str().into());
    fields.0.insert("role".into(), role.into());
    fields.0.insert("id".into(), id.into());
    fields.0.insert("target".into(), record.target().into());
    fields.0.insert("msg".into(), message.into());
    // `Fields` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

/// Writes log lines to standard error, with the process's `role` and `id` in each.
pub fn init(role: &str, id: &str, level: LevelFilter) -> Result<(), LogError> {
    let (role, id) = (role.to_string(), id.to_string());
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let text = format_line(&role, &id, record, &message.to_string());
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
            enqueue(&tx, format_line(&role, &id, record, &record.args().to_string()));
        }))
        .apply()?;
    Ok(())
}

fn enqueue(tx: &SyncSender<String>, line: String) {
    if let Err(TrySendError::Full(_)) = tx.try_send(line) {
        drop_line();
    }
}

/// Writes all lines that are queued, then flushes once, to save system calls.
fn write_all(rx: &mpsc::Receiver<String>) {
    use std::io::Write;
    let mut out = std::io::BufWriter::new(std::io::stdout());
    while let Ok(first) = rx.recv() {
        let queued = rx.try_iter().take(QUEUE_LINES);
        for line in std::iter::once(first).chain(queued) {
            // Standard output may be closed; the error cannot be reported anywhere else.
            let _ = writeln!(out, "{line}");
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(out, "{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}");
        }
        let _ = out.flush();
    }
}
