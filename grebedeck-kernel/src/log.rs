//! Logging to standard output, one JSON object per line.
//!
//! Lines pass through a bounded queue to a writer thread, so that a stalled reader of standard
//! output never blocks the process. When the queue is full, lines are dropped. Their number is
//! logged before the next line that is written.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter, Logger};

pub use spdlog::{error, info, warn};

/// Capacity of the queue: several seconds at the maximum log rate of a process.
const QUEUE_CAPACITY: usize = 2048;
/// How long a process that exits waits for its last lines to be written.
const FINISH_LIMIT: Duration = Duration::from_millis(200);

/// Interval at which [`LogQueue::finish`] retries while the queue is full.
const FINISH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

static QUEUE: OnceLock<LogQueue> = OnceLock::new();

enum Entry {
    Lines(Vec<u8>),
    /// Signalled once all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Bounded queue of lines for the writer thread.
#[derive(Clone)]
pub struct LogQueue {
    sender: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

/// Buffers the logger's output and queues it when the logger flushes.
struct QueueWriter {
    queue: LogQueue,
    lines: Vec<u8>,
}

impl LogQueue {
    /// Creates a queue and starts its writer thread. `capacity` is in entries.
    pub fn start(output: impl Write + Send + 'static, capacity: usize) -> Self {
        let (sender, receiver) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = dropped.clone();
        std::thread::spawn(move || write_lines(&receiver, &writer_dropped, output));

        LogQueue { sender, dropped }
    }

    /// Queues complete lines, or drops them if the queue is full.
    pub fn push(&self, lines: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.sender.try_send(Entry::Lines(lines))
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines have been written, at most for `limit`.
    pub fn finish(&self, limit: Duration) {
        let (sender, receiver) = sync_channel(1);
        let deadline = Instant::now() + limit;

        while self.sender.try_send(Entry::Flush(sender.clone())).is_err() {
            // The queue is full; a stalled reader must not delay the exit beyond the limit.
            if Instant::now() >= deadline {
                return;
            }

            std::thread::sleep(FINISH_RETRY_INTERVAL);
        }

        let _ = receiver.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.lines.extend_from_slice(bytes);

        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if !self.lines.is_empty() {
            self.queue.push(std::mem::take(&mut self.lines));
        }

        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Entry>, dropped: &AtomicU64, mut output: impl Write) {
    for entry in receiver {
        let count = dropped.swap(0, Ordering::Relaxed);

        // A failed write is ignored, as there is no other output to report it to.
        if count > 0 {
            let _ = writeln!(
                output,
                r#"{{"level":"warn","payload":"log lines dropped","kv":{{"count":{count}}}}}"#
            );
        }

        match entry {
            Entry::Lines(lines) => drop(output.write_all(&lines).and_then(|()| output.flush())),
            Entry::Flush(done) => drop(done.try_send(())),
        }
    }
}

/// Installs the default logger, which writes to standard output.
pub fn start(level: Level) -> Result<(), spdlog::Error> {
    let queue = QUEUE.get_or_init(|| LogQueue::start(io::stdout(), QUEUE_CAPACITY)).clone();
    let sink = WriteSink::builder()
        .target(QueueWriter { queue, lines: Vec::new() })
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build()?;

    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Waits briefly for the last lines to be written before the process exits.
pub fn finish() {
    if let Some(queue) = QUEUE.get() {
        queue.finish(FINISH_LIMIT);
    }
}

/// Token bucket that limits the rate of log lines and counts the suppressed ones.
#[derive(Clone, Debug)]
pub struct LineRateLimiter {
    per_s: f64,
    tokens: f64,
    updated_at: Duration,
    suppressed: u64,
}

impl LineRateLimiter {
    /// Creates a limiter of `per_s` lines per second, with an equal burst size.
    pub fn new(per_s: f64) -> Self {
        LineRateLimiter { per_s, tokens: per_s, updated_at: Duration::ZERO, suppressed: 0 }
    }

    /// Takes a token. Without one, returns `false` and counts the line as suppressed.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.tokens = (self.tokens + passed * self.per_s).min(self.per_s);

        if self.tokens < 1.0 {
            self.suppressed += 1;
            return false;
        }

        self.tokens -= 1.0;
        true
    }

    /// Takes a token and returns the number of lines suppressed since the last report, or
    /// `None` without a token.
    pub fn try_acquire_line(&mut self, now: Duration) -> Option<u64> {
        self.try_acquire(now).then(|| self.take_suppressed())
    }

    /// Returns and resets the number of suppressed lines.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
