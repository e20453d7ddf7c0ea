//! The events that the core handles. The time of an event is passed to
//! [`Core::handle`](crate::Core::handle) with it.

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
    /// A caller's request was read and validated.
    #[from]
    Arrived(Arrival),
    /// A worker has accepted an attempt and reports how much of its prompt was cached.
    AttemptAccepted {
        /// The attempt.
        attempt: AttemptId,
        /// The incarnation of the worker that accepted it.
        incarnation: Incarnation,
        /// The number of prompt tokens that were cached.
        cached_tokens: Tokens,
    },
    /// A piece of a model's answer has arrived.
    Piece {
        /// The attempt to which it belongs.
        attempt: AttemptId,
        /// Its offset in the whole answer, in bytes.
        offset_bytes: u64,
        /// Its text.
        text: Bytes,
    },
    /// A worker has sent the whole answer of a model.
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
        /// Whether the worker may have run the attempt.
        verdict: Verdict,
        /// How the attempt failed.
        failure: Failure,
    },
    /// The caller has disconnected.
    CallerLeft {
        /// The request of the caller.
        request: RequestId,
    },
    /// The table service has answered a call, or the call has timed out.
    RecordAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: RecordAnswer,
    },
    /// The result of a probe of a worker over a new connection. Reported once for each probe,
    /// within 1000 ms, since it determines which incarnation of the worker is the current one.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// The incarnation that answered; none without an answer.
        incarnation: Option<Incarnation>,
    },
    /// A worker has sent its current load with an answer.
    #[from]
    CurrentLoad(CurrentLoad),
    /// A worker has reported its load.
    #[from]
    Load(LoadReport),
    /// A worker has reported changes of its cache.
    #[from]
    Cache(CacheReport),
    /// The whole content of a worker's cache was read.
    #[from]
    CacheSnapshot(CacheSnapshot),
    /// A worker has answered an order, or the order has failed or timed out.
    OrderAnswered {
        /// The worker.
        worker: WorkerId,
        /// The fencing number of the order.
        fencing: FencingNumber,
        /// The outcome of the order.
        outcome: OrderOutcome,
    },
    /// A worker has announced that it is leaving.
    WorkerLeaving {
        /// The worker.
        worker: WorkerId,
        /// The incarnation that is leaving.
        incarnation: Incarnation,
    },
    /// The platform's list of VMs was read.
    #[from]
    Vms(VmList),
    /// A configuration was received from any source.
    #[from]
    Configured(Configuration),
    /// The shutdown of this process has started: it accepts no new requests.
    ShutdownStarted,
    /// Sent at the interval [`TICK_MS`](crate::TICK_MS), to check timeouts.
    Tick,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The class that the request names.
    pub class: ClassId,
    /// The levels of the prompt (for a chat, its messages) in order; empty for a plain service.
    pub levels: Vec<Bytes>,
    /// The maximum length of the answer that the request permits.
    pub max_answer_tokens: Tokens,
    /// The idempotency key that the caller has sent, if any.
    pub idempotency_key: Option<String>,
    /// The hash of the request body.
    pub body_hash: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The worker has accepted the order.
    Applied,
    /// The worker has seen a higher fencing number.
    Outdated,
    /// No answer, or an error: the worker may have accepted the order.
    Unknown,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// No connection could be opened.
    Connect,
    /// The connection broke.
    Broken,
    /// The worker refused the attempt because it is full, is leaving or lacks the model.
    Refused,
    /// The worker violated the protocol.
    Protocol,
}

/// A worker's load report, delayed by some lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of the worker that reported.
    pub incarnation: Incarnation,
    /// When the figures were measured, by the worker's clock.
    pub observed_at_ms: TimeMs,
    /// Prompt tokens that are waiting to be computed.
    pub queued_tokens: Tokens,
    /// Requests that it runs or has queued.
    pub running: u32,
    /// The maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// The rate at which it computes prompt tokens.
    pub prefill_rate: TokensPerSecond,
    /// The rate at which it imports kept pieces, in prompt tokens per second; zero if it can't.
    pub import_rate: TokensPerSecond,
    /// The price of a thousand computed tokens.
    pub price_microcredits: MicroCredits,
    /// The loaded models with their weights.
    pub models: Vec<(ModelId, WeightsVersion)>,
    /// The capacity of its cache in pieces.
    pub cache_pieces: u64,
}

/// The figures of a load report that change quickly, as a worker sends them with its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentLoad {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of the worker that reported.
    pub incarnation: Incarnation,
    /// When the figures were measured, by the worker's clock.
    pub observed_at_ms: TimeMs,
    /// Prompt tokens that are waiting to be computed.
    pub queued_tokens: Tokens,
    /// Requests that it runs or has queued.
    pub running: u32,
}

/// Changes of a worker's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReport {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of the worker that reported.
    pub incarnation: Incarnation,
    /// The number of the first change in the list.
    pub first_sequence: CacheSequence,
    /// The changes in order.
    pub changes: Vec<CacheChange>,
}

/// The whole content of a worker's cache, read after changes were lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of the worker that reported.
    pub incarnation: Incarnation,
    /// The number of the first change that the snapshot doesn't include.
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

/// The platform's list of VMs, delayed by some lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// The IP address and port of its process.
    pub address: String,
    /// The name of its failure domain.
    pub failure_domain: String,
    /// The kind of process that runs on it.
    pub role: VmRole,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Vm {
    /// The id of the worker on the VM. Meaningful only for a worker's VM.
    #[must_use]
    pub fn worker(&self) -> WorkerId {
        WorkerId::from_name(&self.name)
    }

    /// The id of the entry VM. Meaningful only for an entry VM.
    #[must_use]
    pub fn entry(&self) -> EntryId {
        EntryId::from_name(&self.name)
    }

    /// The id of its failure domain.
    #[must_use]
    pub fn domain(&self) -> DomainId {
        DomainId::from_name(&self.failure_domain)
    }
}

/// The kind of process that runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry VM of this system.
    Entry,
    /// An engine that runs models.
    Engine,
    /// A plain service.
    Service {
        /// The service's name.
        name: String,
    },
}

impl VmRole {
    /// The id of the plain service; none for other roles.
    #[must_use]
    pub fn service(&self) -> Option<ServiceId> {
        match self {
            Self::Service { name } => Some(ServiceId::from_name(name)),
            Self::Entry | Self::Engine => None,
        }
    }
}

/// The time after which callers are asked to retry a request that was refused for a temporary
/// cause.
pub const RETRY_AFTER_MS: DurationMs = DurationMs(1_000);
