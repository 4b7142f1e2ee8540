//! The record of a run: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = BufWriter::new(File::create(path).expect("record.txt can be written"));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>3}.{:03} {text}", now / 1000, now % 1000);
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.file.lock().unwrap().flush();
    }
}
