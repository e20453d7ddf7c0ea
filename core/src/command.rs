//! What the core asks for. The network side carries it out and reports with an event.

use {
    crate::{
        declaration::Model,
        id::{
            AttemptId, CacheSequence, FencingNumber, Incarnation, PieceHash, RequestId, WorkerId,
        },
        prefix::PrefixScope,
        record::{CallId, RecordCall},
        unit::{DurationMs, MicroCredits, Tokens},
        verdict::Refusal,
    },
    bytes::Bytes,
    derive_more::From,
    serde::{Deserialize, Serialize},
};

/// Something that the core asks for.
#[derive(Clone, Debug, PartialEq, Eq, From)]
pub enum Command {
    /// Send an attempt to a worker.
    #[from]
    Send(Send),
    /// Tell a worker to drop an attempt, and forget its connection.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerId,
    },
    /// Pass a part of the answer on to the caller.
    Deliver {
        /// The request.
        request: RequestId,
        /// The next bytes of the answer.
        text: Bytes,
    },
    /// Tell the caller that the answer is whole.
    Complete {
        /// The request.
        request: RequestId,
        /// What it took.
        usage: Usage,
    },
    /// Give the caller a plain service's answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Bytes,
        /// Whether it is the stored answer of an earlier request with the same key.
        replayed: bool,
    },
    /// Give the caller its final answer: not served. After the first delivered byte this is an
    /// error event in the stream.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and whether it may have run.
        refusal: Refusal,
    },
    /// Call the table service.
    Record {
        /// The number of the call.
        call: CallId,
        /// The call.
        operation: RecordCall,
    },
    /// Give a worker an order.
    Order {
        /// The worker.
        worker: WorkerId,
        /// The number of the lease's term.
        fencing: FencingNumber,
        /// The order.
        order: Order,
    },
    /// Ask a worker over a new connection whether it is alive.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Ask a worker for its whole cache, since changes are missing.
    Resynchronise {
        /// The worker.
        worker: WorkerId,
        /// The last change that was seen.
        after: CacheSequence,
    },
}

/// An order to a worker. It states what is to be, so it may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model with the weights that it names.
    Load(Model),
}

/// An attempt to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The worker.
    pub worker: WorkerId,
    /// The life of the worker that was chosen.
    pub incarnation: Option<Incarnation>,
    /// The attempt's urgency at the worker: the lower, the sooner.
    pub priority: u32,
    /// What its cached pieces belong to; none for a plain service.
    pub scope: Option<PrefixScope>,
    /// The bytes of the answer that the caller has already.
    pub resume_offset_bytes: u64,
    /// Pieces that the worker should import from the kept store before it computes.
    pub import: Vec<PieceHash>,
    /// Pieces that the worker should export to the kept store afterwards.
    pub export: Vec<PieceHash>,
}

/// What a request took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the prompt that were cached.
    pub cached_tokens: Tokens,
    /// Tokens of the answer.
    pub answer_tokens: Tokens,
    /// Time from arrival to the first token.
    pub first_token_ms: DurationMs,
    /// The cost in microcredits.
    pub cost_microcredits: MicroCredits,
    /// Attempts that were sent.
    pub attempts: u32,
}
