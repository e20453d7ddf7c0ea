//! What a stand-in has run.

use {
    cactusspur_core::{AttemptId, CustomerId},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// The entries that a log keeps; older ones are dropped.
const MAX_ENTRIES: usize = 200_000;

/// One run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The attempt.
    pub attempt_id: Option<AttemptId>,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The customer.
    pub customer: Option<CustomerId>,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether it ran to its end.
    pub finished: bool,
    /// Whether it was given up before its end.
    pub cancelled: bool,
}

/// The place of an entry, counted from the first one ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogIndex(u64);

/// The runs of a stand-in, oldest first.
#[derive(Debug, Default, Serialize)]
pub struct Log {
    entries: VecDeque<LogEntry>,
    dropped: u64,
}

impl Log {
    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) -> LogIndex {
        let index = LogIndex(self.dropped + self.entries.len() as u64);
        self.entries.push_back(entry);
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
            self.dropped += 1;
        }
        index
    }

    /// Marks a run as finished.
    pub fn finish(&mut self, index: LogIndex) {
        if let Some(entry) = self.get_mut(index) {
            entry.finished = true;
        }
    }

    /// Marks a run as given up.
    pub fn cancel(&mut self, index: LogIndex) {
        if let Some(entry) = self.get_mut(index) {
            entry.cancelled = true;
        }
    }

    /// The number of entries ever appended.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.dropped + self.entries.len() as u64
    }

    fn get_mut(&mut self, index: LogIndex) -> Option<&mut LogEntry> {
        let at = index.0.checked_sub(self.dropped)?;
        self.entries.get_mut(usize::try_from(at).ok()?)
    }
}
