//! Rows of the platform's table service, and the core's calls to it with their answers.
//!
//! Every write is conditional on the version of the row that it replaces.

pub use crate::id::{CallId, RowVersion};

use {
    crate::{
        id::{
            AttemptId, CustomerId, EntryId, FencingNumber, Generation, IdempotencyKey, Incarnation,
            ModelId, WeightsVersion, WorkerId,
        },
        unit::{MicroCredits, TimeMs},
    },
    bytes::Bytes,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// The key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum RecordKey {
    /// The use of an idempotency key.
    #[serde(rename = "Once")]
    #[display("once/{_0}")]
    Idempotency(IdempotencyKey),
    /// The ledger entry of one of a customer's grants of credits.
    #[display("ledger/{customer}/{grant}")]
    Ledger {
        /// The customer.
        customer: CustomerId,
        /// The name of the grant.
        grant: String,
    },
    /// A lease, by its name.
    #[display("lease/{_0}")]
    Lease(String),
}

/// The content of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The use of an idempotency key.
    #[serde(rename = "once")]
    Idempotency(IdempotencyRecord),
    /// A ledger entry.
    Ledger(LedgerRecord),
    /// A lease.
    Lease(LeaseRecord),
}

/// The use of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// The attempt to which the key is bound.
    pub attempt: AttemptId,
    /// The hash of the request's body, to refuse a request that reuses the key with another body.
    pub body_hash: u64,
    /// When the key was bound to the attempt.
    pub recorded_at_ms: TimeMs,
    /// The progress of the attempt.
    pub state: IdempotencyState,
}

/// The progress of the attempt to which an idempotency key is bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyState {
    /// The attempt was or may be sent.
    Intent,
    /// The attempt did not and will not run: the key can be bound again.
    Abandoned,
    /// The attempt was answered.
    Done {
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer.
        body: Bytes,
    },
}

/// The use of a grant of credits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// The sum that all entry VMs have drawn from the grant.
    pub drawn_microcredits: MicroCredits,
    /// The id of the last draw. After a lost answer, it shows whether the draw took effect.
    pub last_draw: AttemptId,
}

/// A lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The entry VM that holds it.
    pub holder: EntryId,
    /// The incarnation of the holder's process.
    pub holder_incarnation: u64,
    /// The fencing number of the term.
    pub fencing: FencingNumber,
    /// The duration of a term from its write, in milliseconds.
    pub term_ms: u64,
    /// The generation of the configuration that the holder uses. An entry VM with a lower one
    /// doesn't request the lease.
    #[serde(default)]
    pub generation: Generation,
    /// Loads of weights that were ordered or are about to be, and are not known to have ended.
    #[serde(default)]
    pub loads: Vec<WeightLoad>,
}

/// A load of weights onto a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of the worker when the load was decided.
    pub incarnation: Option<Incarnation>,
    /// The model with its adapter.
    pub model: ModelId,
    /// The weights.
    pub weights_version: WeightsVersion,
    /// When the load was decided, by the holder's clock.
    pub ordered_at_ms: TimeMs,
}

/// A row with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its version.
    pub version: RowVersion,
    /// Its content.
    pub record: Record,
}

impl Row {
    /// The version and the lease; none if the row is not a lease.
    #[must_use]
    pub fn into_lease(self) -> Option<(RowVersion, LeaseRecord)> {
        match self.record {
            Record::Lease(lease) => Some((self.version, lease)),
            Record::Idempotency(_) | Record::Ledger(_) => None,
        }
    }
}

/// A call to the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordCall {
    /// Reads a row.
    Read {
        /// The key of the row.
        key: RecordKey,
    },
    /// Writes a row if its version is still the expected one.
    Write {
        /// The key of the row.
        key: RecordKey,
        /// The version that it replaces; none when there must be no row yet.
        expected: Option<RowVersion>,
        /// The new content.
        record: Record,
    },
}

/// The outcome of a call to the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordAnswer {
    /// The row that was read; none if it doesn't exist.
    Read(Option<Row>),
    /// The write took effect, and the row now has this version.
    Written(RowVersion),
    /// The write did not take effect; this is the current row, if there is one.
    Conflict(Option<Row>),
    /// No answer: a write may have taken effect, or may still do so.
    Unknown,
}
