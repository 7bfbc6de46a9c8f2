//! The log: a reader that stalls never stalls the process, and what is dropped is told.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use grebedeck_kernel::log::{LineRateLimiter, LogQueue};

/// An output that takes nothing before it is told to.
struct Stalled {
    gate: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            let _ = self.gate.recv();
            self.is_open = true;
        }

        self.written.lock().expect("whole").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stalled() -> (Stalled, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));

    (Stalled { gate, is_open: false, written: written.clone() }, open, written)
}

#[test]
fn a_stalled_output_stalls_nobody_and_drops_are_told() {
    let (output, open, written) = stalled();
    let queue = LogQueue::start(output, 4);

    // None of these may wait: the output takes nothing yet.
    for line in 0..100 {
        queue.push(format!("line {line}\n").into_bytes());
    }

    open.send(()).expect("the output waits for it");
    queue.push(b"last\n".to_vec());
    queue.finish(Duration::from_secs(10));

    let text = String::from_utf8(written.lock().expect("whole").clone()).expect("text");
    let lines: Vec<&str> = text.lines().filter(|l| l.starts_with("line ")).collect();
    // When the first drop is told depends on when the writer's thread starts.
    assert_eq!(lines[..4], ["line 0", "line 1", "line 2", "line 3"]);
    assert!(text.contains("log lines dropped"), "{text}");
}

#[test]
fn a_budget_lets_a_rate_through_and_counts_the_rest() {
    let mut budget = LineRateLimiter::new(10.0);
    let taken = (0..50).filter(|_| budget.try_acquire(Duration::from_secs(1))).count();

    assert_eq!(taken, 10);
    assert_eq!(budget.take_suppressed(), 40);
    assert!(budget.try_acquire(Duration::from_millis(1100)), "one more after a tenth of a second");
    assert_eq!(budget.take_suppressed(), 0);
}
