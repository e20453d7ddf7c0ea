//! A lease in the table service on a right that only one entry VM at a time may use.
//!
//! The holder counts its term from the time before it requested the write, and stops a margin
//! before the end. A successor waits until the row has been unchanged for the whole term plus the
//! margin. Each write increments the fencing number, so that decisions under an earlier number can
//! be recognised.

use crate::{
    core::CoreSettings,
    id::{FencingNumber, Generation},
    record::{LeaseRecord, RecordAnswer, Row, RowVersion, WeightLoad},
    unit::{DurationMs, TimeMs},
};

/// The duration of a lease, counted from its write.
pub const TERM_MS: DurationMs = DurationMs(10_000);
/// How long before the end of a term its holder stops, and how long after it a successor waits.
pub const MARGIN_MS: DurationMs = DurationMs(2_000);

/// A write of the lease row whose outcome is not yet known.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// When it was first requested. Retries keep this time.
    pub requested_at_ms: TimeMs,
    /// The new content of the row.
    pub record: LeaseRecord,
    /// The version that it replaces; none when there must be no row yet.
    pub expected: Option<RowVersion>,
}

/// State of a lease that another process holds or whose term in this process has ended.
#[derive(Debug, Default)]
pub struct Watching {
    /// When the current version of the row was first seen; none before the first read.
    unchanged_since_ms: Option<TimeMs>,
}

/// State of a lease that this process holds.
#[derive(Debug)]
pub struct Held {
    requested_at_ms: TimeMs,
}

/// What this process knows of a lease.
#[derive(Debug)]
pub struct Lease<State> {
    row: Option<(RowVersion, LeaseRecord)>,
    state: State,
}

/// A lease in either state.
#[derive(Debug)]
pub enum AnyLease {
    /// Not held by this process.
    Watching(Lease<Watching>),
    /// Held by this process.
    Held(Lease<Held>),
}

impl<State> Lease<State> {
    /// The write that acquires or renews the lease for this process with a term from `now`, and
    /// records `loads` as in progress.
    pub fn next_write(
        &self,
        settings: &CoreSettings,
        generation: Generation,
        now: TimeMs,
        loads: Vec<WeightLoad>,
    ) -> PendingWrite {
        let last_fencing = self.row.as_ref().map_or(0, |row| row.1.fencing.0);
        PendingWrite {
            requested_at_ms: now,
            record: LeaseRecord {
                holder: settings.entry,
                holder_incarnation: settings.incarnation,
                fencing: FencingNumber(last_fencing + 1),
                term_ms: TERM_MS.0,
                generation,
                loads,
            },
            expected: self.row.as_ref().map(|row| row.0),
        }
    }

    /// The generation of the configuration that the holder in the row uses.
    pub fn generation(&self) -> Generation {
        self.row
            .as_ref()
            .map_or_else(Generation::default, |row| row.1.generation)
    }

    /// The loads that the row records as in progress.
    pub fn loads(&self) -> &[WeightLoad] {
        self.row.as_ref().map_or(&[], |row| &row.1.loads)
    }

    fn acquired(pending: PendingWrite, version: RowVersion) -> Lease<Held> {
        Lease {
            row: Some((version, pending.record)),
            state: Held {
                requested_at_ms: pending.requested_at_ms,
            },
        }
    }

    fn into_watching(self, now: TimeMs) -> Lease<Watching> {
        Lease {
            row: self.row,
            state: Watching {
                unchanged_since_ms: Some(now),
            },
        }
    }
}

impl Lease<Watching> {
    /// Whether the term in the row has certainly ended.
    pub fn has_expired(&self, now: TimeMs) -> bool {
        let Some(unchanged_since_ms) = self.state.unchanged_since_ms else {
            return false;
        };
        let term_ms = self.row.as_ref().map(|row| row.1.term_ms);
        term_ms
            .is_none_or(|term_ms| now.since(unchanged_since_ms) > DurationMs(term_ms) + MARGIN_MS)
    }

    fn observe(&mut self, row: Option<Row>, now: TimeMs) {
        let row = row.and_then(Row::into_lease);
        let version = |row: &Option<(RowVersion, LeaseRecord)>| row.as_ref().map(|row| row.0);
        if self.state.unchanged_since_ms.is_none() || version(&row) != version(&self.row) {
            self.state.unchanged_since_ms = Some(now);
        }
        self.row = row;
    }
}

impl Lease<Held> {
    /// Whether this process may use the right now.
    pub fn is_valid(&self, now: TimeMs) -> bool {
        now.since(self.state.requested_at_ms) + MARGIN_MS < TERM_MS
    }

    /// Whether the term should be renewed if the lease is still needed.
    pub fn is_renewal_due(&self, now: TimeMs) -> bool {
        now.since(self.state.requested_at_ms).0 > TERM_MS.0 / 3
    }

    /// The fencing number of the term.
    pub fn fencing(&self) -> FencingNumber {
        self.row
            .as_ref()
            .map_or_else(FencingNumber::default, |row| row.1.fencing)
    }
}

impl Default for AnyLease {
    fn default() -> Self {
        Self::Watching(Lease {
            row: None,
            state: Watching::default(),
        })
    }
}

impl AnyLease {
    /// Applies an answer of the table service. `pending` is the write that it answers; none for a
    /// read. Returns the write to retry if its outcome is unknown and its term has not ended.
    pub fn apply_answer(
        &mut self,
        pending: Option<PendingWrite>,
        answer: RecordAnswer,
        now: TimeMs,
    ) -> Option<PendingWrite> {
        match (answer, pending) {
            (RecordAnswer::Written(version), Some(pending)) => {
                *self = Self::Held(Lease::<Held>::acquired(pending, version));
            }
            (RecordAnswer::Conflict(row), Some(pending)) => self.apply_conflict(pending, row, now),
            (RecordAnswer::Read(row), _) => self.apply_read(row, now),
            (RecordAnswer::Unknown, Some(pending))
                if now.since(pending.requested_at_ms) < TERM_MS =>
            {
                return Some(pending);
            }
            _ => {}
        }
        None
    }

    fn apply_conflict(&mut self, pending: PendingWrite, row: Option<Row>, now: TimeMs) {
        let current = row.clone().and_then(Row::into_lease);
        match current {
            Some((version, record)) if record == pending.record => {
                *self = Self::Held(Lease::<Held>::acquired(pending, version));
            }
            _ => {
                self.end_term(now);
                self.apply_read(row, now);
            }
        }
    }

    fn apply_read(&mut self, row: Option<Row>, now: TimeMs) {
        if let Self::Watching(lease) = self {
            lease.observe(row, now);
        }
    }

    /// Ends the term of this process, if it holds the lease.
    pub fn end_term(&mut self, now: TimeMs) {
        if let Self::Held(lease) = std::mem::take(self) {
            *self = Self::Watching(lease.into_watching(now));
        }
    }
}
