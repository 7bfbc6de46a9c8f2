//! What a script writes down: a line for each event, with the seconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);

        Ok(Record { file: Arc::new(Mutex::new(file)), began: Instant::now() })
    }

    /// Seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no panic while writing");
        let _ = writeln!(file, "{:9.3} {text}", self.now_s());
    }

    /// A line that is shown as well.
    pub fn show(&self, text: &str) {
        println!("{:9.3} {text}", self.now_s());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("no panic while writing").flush();
    }
}
