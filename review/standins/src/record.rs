//! What was sent, answered and run, with times in milliseconds since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt")),
        })
    }

    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    pub fn log(&self, text: &str) {
        self.log_at(Instant::now(), text);
    }

    pub fn log_at(&self, at: Instant, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms(at));
        let mut file = self.file.lock().expect("record.txt");
        let _ = file.write_all(line.as_bytes());
    }

    /// Logs a line and prints it.
    pub fn tell(&self, text: &str) {
        self.log(text);
        println!("{text}");
    }
}
