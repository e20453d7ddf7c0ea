//! What the core is told. Each event comes with the time at which it happened.

use {
    crate::{
        declaration::Configuration,
        id::{
            AttemptId, CacheSequence, ClassId, CustomerId, DomainId, EntryId, FencingNumber,
            Incarnation, ModelId, PieceHash, RequestId, ServiceId, WeightsVersion, WorkerId,
        },
        record::{CallId, RecordAnswer},
        unit::{DurationMs, MicroCredits, TimeMs, Tokens, TokensPerSecond},
        verdict::Verdict,
    },
    bytes::Bytes,
    derive_more::From,
    serde::{Deserialize, Serialize},
};

/// Something that happened outside the core.
#[derive(Clone, Debug, From)]
pub enum Event {
    /// A caller's request has been read and checked.
    #[from]
    Arrived(Arrival),
    /// A worker has taken an attempt on and says what of its prompt was cached.
    AttemptAccepted {
        /// The attempt.
        attempt: AttemptId,
        /// The life of the worker that took it on.
        incarnation: Incarnation,
        /// The tokens of the prompt that were cached.
        cached_tokens: Tokens,
    },
    /// A piece of a model's answer.
    Piece {
        /// The attempt that it belongs to.
        attempt: AttemptId,
        /// Its place in the whole answer, in bytes.
        offset_bytes: u64,
        /// Its text.
        text: Bytes,
    },
    /// A model's answer is whole.
    AttemptFinished {
        /// The attempt.
        attempt: AttemptId,
        /// The length of the whole answer in bytes.
        answer_bytes: u64,
        /// The length of the whole answer in tokens.
        answer_tokens: Tokens,
    },
    /// A plain service has answered.
    CallAnswered {
        /// The attempt.
        attempt: AttemptId,
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// An attempt has failed.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the worker may have run it.
        verdict: Verdict,
        /// What happened.
        failure: Failure,
    },
    /// The caller has gone.
    CallerLeft {
        /// Its request.
        request: RequestId,
    },
    /// The table service has answered a call, or has not within its limit.
    RecordAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: RecordAnswer,
    },
    /// A worker was asked over a new connection whether it is alive. Reported once a probe, within
    /// 1000 ms, since it decides which of a worker's lives is the present one.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// The life that answered; none when nothing did.
        incarnation: Option<Incarnation>,
    },
    /// A worker has said with an answer how loaded it is.
    #[from]
    CurrentLoad(CurrentLoad),
    /// A worker has reported its load.
    #[from]
    Load(LoadReport),
    /// A worker has reported changes of its cache.
    #[from]
    Cache(CacheReport),
    /// A worker's whole cache was read.
    #[from]
    CacheSnapshot(CacheSnapshot),
    /// A worker has answered an order, or has not.
    OrderAnswered {
        /// The worker.
        worker: WorkerId,
        /// The number that the order carried.
        fencing: FencingNumber,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// A worker has said itself that it is leaving.
    WorkerLeaving {
        /// The worker.
        worker: WorkerId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// The platform's list of VMs was read.
    #[from]
    Vms(VmList),
    /// A configuration was obtained, from whatever source.
    #[from]
    Configured(Configuration),
    /// This process has been asked to stop: it takes no new requests.
    ShutdownStarted,
    /// Time has passed.
    Tick,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The class that it names.
    pub class: ClassId,
    /// The levels of its prompt, for a chat its messages in order; empty for a plain service.
    pub levels: Vec<Bytes>,
    /// The longest answer that it asks for.
    pub max_answer_tokens: Tokens,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// The hash of its body.
    pub body_hash: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The worker has taken it.
    Applied,
    /// The worker has seen a higher fencing number.
    Outdated,
    /// No answer, or an error: it may have been taken.
    Unknown,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// No connection could be opened.
    Connect,
    /// The connection broke.
    Broken,
    /// The worker refused it (it is full, leaving or lacks the model).
    Refused,
    /// What came was not what the protocol allows.
    Protocol,
}

/// A worker's report of its load, late by some lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The worker.
    pub worker: WorkerId,
    /// Its life.
    pub incarnation: Incarnation,
    /// When the figures were true, by the worker's clock.
    pub observed_at_ms: TimeMs,
    /// Prompt tokens that wait to be computed.
    pub queued_tokens: Tokens,
    /// Requests that it runs or holds.
    pub running: u32,
    /// The requests that it runs at the same time at the most.
    pub slots: u32,
    /// How quickly it computes prompt tokens.
    pub prefill_rate: TokensPerSecond,
    /// How quickly it imports kept pieces, in prompt tokens; zero when it can't.
    pub import_rate: TokensPerSecond,
    /// What a thousand computed tokens cost, in microcredits.
    pub price_microcredits: MicroCredits,
    /// The models that it has loaded, with their weights.
    pub models: Vec<(ModelId, WeightsVersion)>,
    /// The cached pieces that it can hold.
    pub cache_pieces: u64,
}

/// The figures of a load report that change quickly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentLoad {
    /// The worker.
    pub worker: WorkerId,
    /// Its life.
    pub incarnation: Incarnation,
    /// When the figures were true, by the worker's clock.
    pub observed_at_ms: TimeMs,
    /// Prompt tokens that wait to be computed.
    pub queued_tokens: Tokens,
    /// Requests that it runs or holds.
    pub running: u32,
}

/// Changes of a worker's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReport {
    /// The worker.
    pub worker: WorkerId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of the first change in the list.
    pub first_sequence: CacheSequence,
    /// The changes in order.
    pub changes: Vec<CacheChange>,
}

/// A worker's whole cache, read since changes of it were missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// The worker.
    pub worker: WorkerId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of the first change that it doesn't show.
    pub next_sequence: CacheSequence,
    /// The cached pieces.
    pub pieces: Vec<PieceHash>,
}

/// One change of a worker's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// A piece was stored.
    Stored(PieceHash),
    /// A piece was evicted.
    Evicted(PieceHash),
}

/// The platform's list of VMs, late by some lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// A VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// The IP address and port of its process.
    pub address: String,
    /// The name of its failure domain.
    pub failure_domain: String,
    /// What runs on it.
    pub role: VmRole,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Vm {
    /// The id of the worker on it.
    #[must_use]
    pub fn worker(&self) -> WorkerId {
        WorkerId::of(&self.name)
    }

    /// The id of the entry VM that it is.
    #[must_use]
    pub fn entry(&self) -> EntryId {
        EntryId::of(&self.name)
    }

    /// The id of its failure domain.
    #[must_use]
    pub fn domain(&self) -> DomainId {
        DomainId::of(&self.failure_domain)
    }
}

/// What runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// This system.
    Entry,
    /// A model worker.
    Engine,
    /// A plain service.
    Service {
        /// The service's name.
        name: String,
    },
}

impl VmRole {
    /// The id of the plain service, if it is one.
    #[must_use]
    pub fn service(&self) -> Option<ServiceId> {
        match self {
            Self::Service { name } => Some(ServiceId::of(name)),
            Self::Entry | Self::Engine => None,
        }
    }
}

/// How long callers are asked to stay away after a refusal that time alone can mend.
pub const RETRY_AFTER_MS: DurationMs = DurationMs(1_000);
