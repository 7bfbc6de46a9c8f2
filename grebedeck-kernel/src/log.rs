//! Log lines, one JSON object each, on standard output.
//!
//! Lines go through a bounded queue to a thread of their own, so that a reader that stalls never stalls
//! the process. When the queue is full lines are dropped, and how many is told as soon as one fits again.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter, Logger};

pub use spdlog::{error, info, warn};

/// Lines that may wait for the reader: some seconds of the most that a process logs.
const QUEUED_LINES: usize = 2048;
/// How long a process that ends waits for its last lines to be read.
const FINISH_LIMIT: Duration = Duration::from_millis(200);

/// Pause between two looks whether the queue has room.
const FINISH_PAUSE: Duration = Duration::from_millis(5);

static QUEUE: OnceLock<LogQueue> = OnceLock::new();

enum Entry {
    Lines(Vec<u8>),
    /// Everything before it has been written.
    Mark(SyncSender<()>),
}

/// The queue in front of the thread that writes.
#[derive(Clone)]
pub struct LogQueue {
    sender: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

/// Collects what the logger writes and puts it into the queue when the logger flushes.
struct QueueWriter {
    queue: LogQueue,
    lines: Vec<u8>,
}

impl LogQueue {
    /// Makes a queue with a thread that writes to `output`.
    pub fn start(output: impl Write + Send + 'static, capacity: usize) -> Self {
        let (sender, receiver) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::spawn(move || write_lines(&receiver, &counted, output));

        LogQueue { sender, dropped }
    }

    /// Puts whole lines into the queue, or drops them where it is full.
    pub fn push(&self, lines: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.sender.try_send(Entry::Lines(lines))
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines have been written, within a limit.
    pub fn finish(&self, limit: Duration) {
        let (sender, receiver) = sync_channel(1);
        let deadline = Instant::now() + limit;

        while self.sender.try_send(Entry::Mark(sender.clone())).is_err() {
            // The queue is full; a reader that has stalled gets no more time than the limit.
            if Instant::now() >= deadline {
                return;
            }

            std::thread::sleep(FINISH_PAUSE);
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
        let lost = dropped.swap(0, Ordering::Relaxed);

        // Where even the output is gone there is nobody left to tell.
        if lost > 0 {
            let _ = writeln!(
                output,
                r#"{{"level":"warn","payload":"log lines dropped","kv":{{"count":{lost}}}}}"#
            );
        }

        match entry {
            Entry::Lines(lines) => drop(output.write_all(&lines).and_then(|()| output.flush())),
            Entry::Mark(done) => drop(done.try_send(())),
        }
    }
}

/// Sends the log to standard output, one JSON object a line.
pub fn start(level: Level) -> Result<(), spdlog::Error> {
    let queue = QUEUE.get_or_init(|| LogQueue::start(io::stdout(), QUEUED_LINES)).clone();
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

/// Gives the last lines a moment to be written before the process ends.
pub fn finish() {
    if let Some(queue) = QUEUE.get() {
        queue.finish(FINISH_LIMIT);
    }
}

/// Lets a number of lines through in each second, and counts the others.
#[derive(Clone, Debug)]
pub struct LineRateLimiter {
    per_s: f64,
    saved: f64,
    at: Duration,
    left_out: u64,
}

impl LineRateLimiter {
    /// Makes a budget that lets `per_s` through, and as many at once after a pause.
    pub fn new(per_s: f64) -> Self {
        LineRateLimiter { per_s, saved: per_s, at: Duration::ZERO, left_out: 0 }
    }

    /// Takes one; where there is none left, it is counted.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.saved = (self.saved + passed * self.per_s).min(self.per_s);

        if self.saved < 1.0 {
            self.left_out += 1;
            return false;
        }

        self.saved -= 1.0;
        true
    }

    /// Takes one, where there is one left; gives how many were not let through before it.
    pub fn try_acquire_line(&mut self, now: Duration) -> Option<u64> {
        self.try_acquire(now).then(|| self.take_suppressed())
    }

    /// Gets how many were not let through since this was asked last.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
