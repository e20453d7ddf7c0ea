//! Remembers backend servers that were removed, since their rows may come back: from a backup of the
//! store, or because the server has lived on.

use {
    super::replica::StoredRow,
    cactusspur_core::{DurationMs, TimeMs, VecMap, WorkerId, gateway::Backend},
};

/// How long removed servers are remembered: longer than a server that leaves goes on, and than a backup
/// is old.
const MEMORY_MS: DurationMs = DurationMs(600_000);

/// A server that was removed.
#[derive(Clone, Copy, Debug)]
struct Removed {
    gone_since_ms: TimeMs,
    started_at_ms: u64,
    was_leaving: bool,
}

/// A row that is applied later, unless it is written or removed before.
#[derive(Clone, Debug)]
pub struct DoubtfulRow {
    /// The table of the row.
    pub table: String,
    /// The row.
    pub row: StoredRow,
    apply_at_ms: TimeMs,
}

/// The removed servers, and rows of a backup that may be older than the removal of their servers.
#[derive(Clone, Debug)]
pub struct RemovedBackends {
    doubt_ms: DurationMs,
    rows: VecMap<WorkerId, Removed>,
    doubtful: VecMap<WorkerId, DoubtfulRow>,
}

impl RemovedBackends {
    /// No servers. The row of a removed server is applied when it has stayed for `doubt_ms`: the store
    /// removes the row of a server that is gone within this time.
    #[must_use]
    pub fn new(doubt_ms: DurationMs) -> Self {
        Self {
            doubt_ms,
            rows: VecMap::default(),
            doubtful: VecMap::default(),
        }
    }

    /// Records that a server is removed.
    pub fn record(&mut self, worker: WorkerId, backend: &Backend, now: TimeMs) {
        self.rows
            .retain(|_, removed| now.since(removed.gone_since_ms) < MEMORY_MS);
        let removed = Removed {
            gone_since_ms: now,
            started_at_ms: backend.spec.started_at_ms,
            was_leaving: !backend.is_ready(),
        };
        self.rows.insert(worker, removed);
    }

    /// Whether this incarnation of a server was removed.
    #[must_use]
    pub fn has(&self, worker: WorkerId, started_at_ms: u64) -> bool {
        let removed = self.rows.get(&worker);
        removed.is_some_and(|removed| removed.started_at_ms == started_at_ms)
    }

    /// Whether this incarnation of a server was leaving when it was removed.
    #[must_use]
    pub fn was_leaving(&self, worker: WorkerId, started_at_ms: u64) -> bool {
        let removed = self.rows.get(&worker);
        removed.is_some_and(|removed| removed.started_at_ms == started_at_ms && removed.was_leaving)
    }

    /// Keeps a row for later.
    pub fn doubt(&mut self, worker: WorkerId, table: &str, row: &StoredRow, now: TimeMs) {
        let doubtful = DoubtfulRow {
            table: table.to_owned(),
            row: row.clone(),
            apply_at_ms: now.after(self.doubt_ms),
        };
        self.doubtful.insert(worker, doubtful);
    }

    /// Drops the row that was kept for a server, since the server was written or removed anew.
    pub fn clear_doubt(&mut self, worker: WorkerId) {
        self.doubtful.remove(&worker);
    }

    /// Whether rows are kept for later.
    #[must_use]
    pub fn has_doubtful(&self) -> bool {
        !self.doubtful.is_empty()
    }

    /// Takes the rows that have stayed for long enough.
    pub fn take_due(&mut self, now: TimeMs) -> Vec<DoubtfulRow> {
        let due = self.doubtful.iter();
        let due = due.filter(|(_, doubtful)| doubtful.apply_at_ms <= now);
        let due: Vec<(WorkerId, DoubtfulRow)> =
            due.map(|(worker, row)| (*worker, row.clone())).collect();
        for (worker, _) in &due {
            self.doubtful.remove(worker);
        }
        due.into_iter().map(|(_, doubtful)| doubtful).collect()
    }
}
