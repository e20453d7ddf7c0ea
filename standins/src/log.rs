//! Log of the calls and attempts that a simulated worker has run.

use {
    cactusspur_core::{AttemptId, CustomerId},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of entries in a log; older ones are dropped.
const MAX_ENTRIES: usize = 200_000;

/// One run of a call or an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Id of the attempt; none if the request carried no valid one.
    pub attempt_id: Option<AttemptId>,
    /// The caller's idempotency key, if the request carried one.
    pub key: Option<String>,
    /// The customer; none if the request carried no valid one.
    pub customer: Option<CustomerId>,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether the run has completed.
    pub finished: bool,
    /// Whether the run was cancelled before it completed.
    pub cancelled: bool,
}

/// Position of an entry, counted from the first entry of the log including dropped ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogIndex(u64);

/// The runs of a simulated worker, oldest first.
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

    /// Marks a run as cancelled.
    pub fn cancel(&mut self, index: LogIndex) {
        if let Some(entry) = self.get_mut(index) {
            entry.cancelled = true;
        }
    }

    /// Returns the number of entries appended so far, including dropped ones.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.dropped + self.entries.len() as u64
    }

    fn get_mut(&mut self, index: LogIndex) -> Option<&mut LogEntry> {
        let offset = index.0.checked_sub(self.dropped)?;
        self.entries.get_mut(usize::try_from(offset).ok()?)
    }
}
