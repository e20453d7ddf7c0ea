//! A lease on a right that one entry VM at a time may use, kept in the table service.
//!
//! A holder counts its time from before it asked and stops a margin early. Whoever wants to follow
//! it waits until the row has stood unchanged for the whole term and the margin. Each write raises
//! the fencing number, so that what was decided under an earlier one can be told apart.

use crate::{
    core::CoreSettings,
    id::{FencingNumber, Generation},
    record::{LeaseRecord, RecordAnswer, Row, RowVersion, WeightLoad},
    unit::{DurationMs, TimeMs},
};

/// How long a lease lasts from its write.
pub const TERM_MS: DurationMs = DurationMs(10_000);
/// How much earlier a holder stops, and how much longer a successor waits.
pub const MARGIN_MS: DurationMs = DurationMs(2_000);

/// A write that has been asked for and not answered for certain.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// When it was asked for first. A repetition doesn't count anew.
    pub requested_at_ms: TimeMs,
    /// What was to be written.
    pub record: LeaseRecord,
    /// The version that it replaces.
    pub expected: Option<RowVersion>,
}

/// The row of another holder, or of an earlier term.
#[derive(Debug, Default)]
pub struct Watching {
    /// Since when the row is known to stand unchanged; none before it was read.
    unchanged_since_ms: Option<TimeMs>,
}

/// A term of this process.
#[derive(Debug)]
pub struct Held {
    requested_at_ms: TimeMs,
}

/// A lease, as far as this process knows it.
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
    /// The write that makes this process the holder from `now` on, with the loads in progress.
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

    /// The generation of the configuration that the row's holder goes by.
    pub fn generation(&self) -> Generation {
        self.row
            .as_ref()
            .map_or_else(Generation::default, |row| row.1.generation)
    }

    /// The loads that the row says are in progress.
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
    /// Whether the term of the row is over for certain.
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
    /// Whether the right may be used now.
    pub fn is_valid(&self, now: TimeMs) -> bool {
        now.since(self.state.requested_at_ms) + MARGIN_MS < TERM_MS
    }

    /// Whether the term is to be renewed, while there is a use for it.
    pub fn is_renewal_due(&self, now: TimeMs) -> bool {
        now.since(self.state.requested_at_ms).0 > TERM_MS.0 / 3
    }

    /// The number of the term.
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
    /// Takes an answer of the table service in; `pending` is the write that it answers, if it was
    /// one. Returns the write to repeat, if its outcome is unknown.
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
            (RecordAnswer::Conflict(row), Some(pending)) => self.conflict(pending, row, now),
            (RecordAnswer::Read(row), _) => self.read(row, now),
            (RecordAnswer::Unknown, Some(pending))
                if now.since(pending.requested_at_ms) < TERM_MS =>
            {
                return Some(pending);
            }
            _ => {}
        }
        None
    }

    fn conflict(&mut self, pending: PendingWrite, row: Option<Row>, now: TimeMs) {
        let current = row.clone().and_then(Row::into_lease);
        match current {
            Some((version, record)) if record == pending.record => {
                *self = Self::Held(Lease::<Held>::acquired(pending, version));
            }
            _ => {
                self.end_term(now);
                self.read(row, now);
            }
        }
    }

    fn read(&mut self, row: Option<Row>, now: TimeMs) {
        if let Self::Watching(lease) = self {
            lease.observe(row, now);
        }
    }

    /// Ends a term of this process.
    pub fn end_term(&mut self, now: TimeMs) {
        if let Self::Held(lease) = std::mem::take(self) {
            *self = Self::Watching(lease.into_watching(now));
        }
    }
}
