//! Structured logs on standard output, one JSON object per line, that never block the caller.
//!
//! Lines go through a bounded queue to a writer thread. When the queue is full, whole lines are
//! dropped and counted; the writer reports the count after the next line that it writes.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::{Duration, Instant, UNIX_EPOCH},
};

use logforth::{
    Append, Diagnostic, Error,
    kv::{KeyView, ValueView, Visitor},
    record::{Level, LevelFilter, Record},
};
use serde_json::{Map, Value};

/// The capacity of the queue in lines. At a few hundred bytes per line, a full queue takes a few
/// hundred kilobytes.
const QUEUE_LINES: usize = 512;
/// The least severe level that is written.
const LEVEL_FILTER: LevelFilter = LevelFilter::MoreSevereEqual(Level::Info);

/// An error in setting up logs.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// Logs are set up already.
    #[error("logs are already set up ({0}); set them up only once per process")]
    AlreadySetUp(String),
    /// The writer thread can't be started.
    #[error("can't start the log writer thread ({0}); check the limit on threads")]
    Thread(#[from] std::io::Error),
}

/// Sets up logs for the process; each line names `instance`. Dropping the returned guard waits a short
/// time for queued lines to be written.
///
/// # Errors
/// Returns [`SetupError`] if logs are set up already or the writer can't be started.
pub fn init(instance: &str) -> Result<FlushGuard, SetupError> {
    let (queue, lines) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer_dropped = dropped.clone();
    let pending = Arc::new(AtomicU64::new(0));
    let writer_pending = pending.clone();
    std::thread::Builder::new()
        .name("logs".to_owned())
        .stack_size(64 << 10)
        .spawn(move || write_lines(&lines, &writer_dropped, &writer_pending, std::io::stdout()))?;
    let guard = FlushGuard(pending.clone());
    let appender = QueueAppender {
        instance: instance.into(),
        queue,
        dropped,
        pending,
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LEVEL_FILTER).append(appender))
        .try_apply()
        .map_err(|error| SetupError::AlreadySetUp(error.to_string()))?;
    Ok(guard)
}

/// The longest time that a [`FlushGuard`] waits for queued lines. Without a limit, a process whose
/// output nobody reads would not end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval at which a [`FlushGuard`] checks for queued lines.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A guard whose drop waits until the queued lines are written, but no longer than a fixed time.
#[derive(Debug)]
pub struct FlushGuard(Arc<AtomicU64>);

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.0.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Writes lines to `out` until the senders of `lines` are dropped or `out` fails. Reports how many
/// lines were dropped since the previous line.
pub fn write_lines(
    lines: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    pending: &AtomicU64,
    mut out: impl Write,
) {
    while let Ok(mut line) = lines.recv() {
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            line.extend_from_slice(
                format!(
                    "{{\"level\":\"WARN\",\"event\":\"log lines dropped\",\"count\":{dropped_count}}}\n"
                )
                .as_bytes(),
            );
        }
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            // The output is closed, so the failure can't be reported anywhere.
            return;
        }
        pending.fetch_sub(1, Ordering::Release);
    }
}

/// A log appender that queues lines for the writer.
#[derive(Debug)]
pub struct QueueAppender {
    instance: Arc<str>,
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    pending: Arc<AtomicU64>,
}

impl QueueAppender {
    /// Creates an appender of lines that name `instance` and go to `queue`. `dropped` counts the lines
    /// that did not fit, `pending` those that are not written yet.
    #[must_use]
    pub fn new(
        instance: impl Into<Arc<str>>,
        queue: SyncSender<Vec<u8>>,
        dropped: Arc<AtomicU64>,
        pending: Arc<AtomicU64>,
    ) -> Self {
        Self {
            instance: instance.into(),
            queue,
            dropped,
            pending,
        }
    }

    /// Queues one line without its line break, or drops it if the queue is full.
    pub fn enqueue(&self, mut line: Vec<u8>) {
        line.push(b'\n');
        self.pending.fetch_add(1, Ordering::Release);
        if self.queue.try_send(line).is_err() {
            self.pending.fetch_sub(1, Ordering::Release);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The fields of one line.
struct Fields(Map<String, Value>);

impl Visitor for Fields {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let since_epoch = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut fields = Fields(Map::new());
        let head = [
            ("time", Value::from(since_epoch.as_millis() as u64)),
            ("level", record.level().name().into()),
            ("instance", self.instance.as_ref().into()),
            ("event", record.payload().to_string().into()),
        ];
        for (name, value) in head {
            fields.0.insert(name.to_owned(), value);
        }
        record.key_values().visit(&mut fields)?;
        let line = serde_json::to_vec(&Value::Object(fields.0));
        self.enqueue(line.map_err(|error| Error::new(error.to_string()))?);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
