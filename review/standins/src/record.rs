//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    from: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");

        Record { file: Mutex::new(file), from: Instant::now() }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no panic while the record is locked");
        let _ = writeln!(file, "{:9.3} s  {text}", self.from.elapsed().as_secs_f64());
    }

    /// Writes a line, shows it, and returns the exit status.
    pub fn end(&self, status: i32, text: &str) -> i32 {
        self.line(text);
        println!("{text}");
        status
    }
}
