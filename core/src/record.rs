//! Rows of the platform's table service, and the calls and answers that the core exchanges with it.
//!
//! Every write is conditional on the version of the row that it replaces.

pub use crate::id::{CallId, RowVersion};

use {
    crate::{
        id::{
            AttemptId, CustomerId, EntryId, FencingNumber, Generation, Incarnation, ModelId,
            OnceKey, WeightsVersion, WorkerId,
        },
        unit::{MicroCredits, TimeMs},
    },
    bytes::Bytes,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Which row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum RecordKey {
    /// The use of an idempotency key.
    #[serde(rename = "Once")]
    #[display("once/{_0}")]
    Idempotency(OnceKey),
    /// What is left of one of a customer's grants of credits.
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
    /// The attempt that the key is bound to.
    pub attempt: AttemptId,
    /// The hash of the request's body, to refuse the key with another body.
    pub body_hash: u64,
    /// When the attempt was bound to it.
    pub recorded_at_ms: TimeMs,
    /// How far it has come.
    pub state: IdempotencyState,
}

/// How far the use of an idempotency key has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyState {
    /// The attempt may be sent at any time, or has been.
    Intent,
    /// The attempt has not been sent and never will be: the key is free for another.
    Abandoned,
    /// The attempt was answered.
    Done {
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer.
        body: Bytes,
    },
}

/// What is left of a grant of credits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// What has been drawn by all entry VMs together, in microcredits.
    pub drawn_microcredits: MicroCredits,
    /// The call that drew last, to settle a lost answer by.
    pub last_draw: AttemptId,
}

/// A lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it.
    pub holder: EntryId,
    /// The life of the holder's process.
    pub holder_incarnation: u64,
    /// The number of the term.
    pub fencing: FencingNumber,
    /// How long a term lasts from its write, in milliseconds.
    pub term_ms: u64,
    /// The generation of the configuration that the holder goes by. Whoever has a lower one doesn't
    /// ask.
    #[serde(default)]
    pub generation: Generation,
    /// Loads of weights that have been ordered, or are about to be, and are not known to have
    /// ended.
    #[serde(default)]
    pub loads: Vec<WeightLoad>,
}

/// A load of weights onto a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// The worker.
    pub worker: WorkerId,
    /// Its life when the load was decided.
    pub incarnation: Option<Incarnation>,
    /// The model with its adapter.
    pub model: ModelId,
    /// The weights.
    pub weights_version: WeightsVersion,
    /// When it was decided, by the clock of the holder.
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
    /// The version and the lease, if it is one.
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
        /// Which.
        key: RecordKey,
    },
    /// Writes a row if its version is still the expected one.
    Write {
        /// Which.
        key: RecordKey,
        /// The version that it replaces; none when there must be no row yet.
        expected: Option<RowVersion>,
        /// The new content.
        record: Record,
    },
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordAnswer {
    /// The row that was read, if there is one.
    Read(Option<Row>),
    /// The write took effect and the row has this version.
    Written(RowVersion),
    /// The write did not take effect; this is the row that stands.
    Conflict(Option<Row>),
    /// No answer: a write may have taken effect, or may yet.
    Unknown,
}
