//! Logging: a stalled reader does not block the process, and dropped lines are reported.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use grebedeck_kernel::log::{LineRateLimiter, LogQueue};

/// An output that blocks until it is opened.
struct StalledOutput {
    gate: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            let _ = self.gate.recv();
            self.is_open = true;
        }

        self.written.lock().expect("lock not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stalled_output() -> (StalledOutput, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));

    (StalledOutput { gate, is_open: false, written: written.clone() }, open, written)
}

#[test]
fn a_stalled_output_does_not_block_and_drops_are_logged() {
    let (output, open, written) = stalled_output();
    let queue = LogQueue::start(output, 4);

    // None of these calls may block, although the output accepts nothing yet.
    for line in 0..100 {
        queue.push(format!("line {line}\n").into_bytes());
    }

    open.send(()).expect("the output waits to be opened");
    queue.push(b"last\n".to_vec());
    queue.finish(Duration::from_secs(10));

    let text =
        String::from_utf8(written.lock().expect("lock not poisoned").clone()).expect("UTF-8");
    let lines: Vec<&str> = text.lines().filter(|l| l.starts_with("line ")).collect();
    // Where the drops are first logged depends on when the writer thread starts.
    assert_eq!(lines[..4], ["line 0", "line 1", "line 2", "line 3"]);
    assert!(text.contains("log lines dropped"), "{text}");
}

#[test]
fn a_rate_limiter_counts_suppressed_lines() {
    let mut limiter = LineRateLimiter::new(10.0);
    let allowed = (0..50).filter(|_| limiter.try_acquire(Duration::from_secs(1))).count();

    assert_eq!(allowed, 10);
    assert_eq!(limiter.take_suppressed(), 40);
    assert!(limiter.try_acquire(Duration::from_millis(1100)), "one more token after 0.1 s");
    assert_eq!(limiter.take_suppressed(), 0);
}
