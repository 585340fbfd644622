//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record in a file. Clones write to the same file.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    /// Returns the error of the system.
    pub fn create(path: impl AsRef<Path>) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            started: Instant::now(),
        })
    }

    /// Writes one line with the time since the start in seconds.
    pub fn note(&self, line: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic");
        // A record that can't be written is noticed when it is read.
        let _ = writeln!(file, "{seconds:8.3} {line}");
    }

    /// Writes one line, also to standard output, and flushes the file.
    pub fn tell(&self, line: &str) {
        println!("{line}");
        self.note(line);
        let _ = self.file.lock().expect("no panic").flush();
    }
}
