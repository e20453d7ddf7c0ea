//! The commands that the core returns. The caller of the core carries them out and reports results
//! as [events](crate::event).

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

/// An action for the caller of the core to carry out.
#[derive(Clone, Debug, PartialEq, Eq, From)]
pub enum Command {
    /// Send an attempt to a worker.
    #[from]
    Send(Send),
    /// Tell a worker to drop an attempt, and close its connection.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerId,
    },
    /// Send the next part of the answer to the caller.
    Deliver {
        /// The request.
        request: RequestId,
        /// The next bytes of the answer.
        text: Bytes,
    },
    /// Tell the caller that the answer is complete.
    Complete {
        /// The request.
        request: RequestId,
        /// The tokens, time, cost and attempts of the request.
        usage: Usage,
    },
    /// Send a plain service's answer to the caller.
    Answer {
        /// The request.
        request: RequestId,
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Bytes,
        /// Whether it is the stored answer to an earlier request with the same idempotency key.
        replayed: bool,
    },
    /// Refuse the request. After the first delivered byte, the caller gets an error event in the
    /// stream.
    Refuse {
        /// The request.
        request: RequestId,
        /// The cause, and whether the request may have run.
        refusal: Refusal,
    },
    /// Call the table service.
    Record {
        /// The id of the call, to be reported with its answer.
        call: CallId,
        /// The read or write.
        operation: RecordCall,
    },
    /// Send an order to a worker.
    Order {
        /// The worker.
        worker: WorkerId,
        /// The fencing number of the lease's term.
        fencing: FencingNumber,
        /// The order.
        order: Order,
    },
    /// Check over a new connection whether a worker is alive.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Read the whole content of a worker's cache, since changes were lost.
    Resynchronise {
        /// The worker.
        worker: WorkerId,
        /// The number of the last change that was received.
        after: CacheSequence,
    },
}

/// An order to a worker. Orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model with the weights that its declaration names.
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
    /// The incarnation of the chosen worker, if it is known.
    pub incarnation: Option<Incarnation>,
    /// The priority of the attempt at the worker; lower values run first.
    pub priority: u32,
    /// The scope of its cached pieces; none for a plain service.
    pub scope: Option<PrefixScope>,
    /// The number of bytes of the answer that were already delivered to the caller.
    pub resume_offset_bytes: u64,
    /// Pieces that the worker should import from the kept store before computing the prompt.
    pub import: Vec<PieceHash>,
    /// Pieces that the worker should export to the kept store afterwards.
    pub export: Vec<PieceHash>,
}

/// The tokens, time, cost and attempts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of prompt tokens.
    pub prompt_tokens: Tokens,
    /// The number of prompt tokens that were cached.
    pub cached_tokens: Tokens,
    /// The number of answer tokens.
    pub answer_tokens: Tokens,
    /// Time from arrival to the first token.
    pub first_token_ms: DurationMs,
    /// The cost of the request.
    pub cost_microcredits: MicroCredits,
    /// The number of attempts that were sent.
    pub attempts: u32,
}
