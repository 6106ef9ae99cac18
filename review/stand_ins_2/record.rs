//! What was sent, answered and run, with times since the start in milliseconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let ms = self.ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} {line}");
    }

    /// Notes a line of the result, and prints it.
    pub fn result(&self, line: &str) {
        println!("{line}");
        self.note(line);
        let _ = self.file.lock().unwrap().flush();
    }
}
