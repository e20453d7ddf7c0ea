//! Requests in progress and their attempts.

use crate::{
    credit::Charge,
    event::Arrival,
    id::{AttemptId, ClassId, CustomerId, IdempotencyKey, Incarnation, RequestId, WorkerId},
    prefix::{PrefixChain, PrefixScope},
    unit::{DurationMs, MicroCredits, TimeMs, Tokens},
    verdict::Verdict,
};

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request within this process.
    pub id: RequestId,
    /// The request as it arrived.
    pub arrival: Arrival,
    /// When it arrived.
    pub arrived_at_ms: TimeMs,
    /// The estimated length of its prompt.
    pub prompt_tokens: Tokens,
    /// Its idempotency key; `None` when the class is idempotent or the caller sent no key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether it was admitted as able to meet its target; it is no longer rejected for overload.
    pub admitted: bool,
    /// Credits charged in advance.
    pub charges: Vec<Charge>,
    /// The attempt in progress.
    pub attempt: Option<Attempt>,
    /// Number of attempts sent.
    pub attempts_sent: u32,
    /// Whether any of its ended attempts may have run.
    pub verdict: Verdict,
    /// Workers on which an attempt failed.
    pub failed_workers: Vec<WorkerId>,
    /// Bytes of the answer delivered to the caller.
    pub delivered_bytes: u64,
    /// Time from arrival to the first delivered byte, once there is one.
    pub first_token_ms: Option<DurationMs>,
    /// Cached prompt tokens, as reported by the worker that delivered the first piece.
    pub cached_tokens: Tokens,
}

impl Request {
    /// The customer that sent it.
    #[must_use]
    pub const fn customer(&self) -> CustomerId {
        self.arrival.customer
    }

    /// `tokens` plus the longest answer that the request allows.
    #[must_use]
    pub const fn plus_max_answer_tokens(&self, tokens: Tokens) -> Tokens {
        Tokens(tokens.0.saturating_add(self.arrival.max_answer_tokens.0))
    }

    /// The class that it was sent to.
    #[must_use]
    pub const fn class(&self) -> ClassId {
        self.arrival.class
    }
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifies the attempt; sent to the worker.
    pub id: AttemptId,
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// The worker's incarnation when the attempt was sent or, once accepted, the one that accepted
    /// it.
    pub incarnation: Option<Incarnation>,
    /// Customer, model and weights of its cached pieces; `None` for a plain service.
    pub scope: Option<PrefixScope>,
    /// When it was sent.
    pub sent_at_ms: TimeMs,
    /// When something last arrived on its connection.
    pub last_received_at_ms: TimeMs,
    /// Predicted time from sending to the first token.
    pub predicted_ms: DurationMs,
    /// Prompt tokens that were expected to be computed.
    pub uncached_tokens: Tokens,
    /// The expectations that learning compares with the result.
    pub expected: Expectation,
    /// Whether any piece of the answer has arrived.
    pub streaming: bool,
    /// When the worker was last probed because the connection is silent; `None` while it isn't.
    pub probed_at_ms: Option<TimeMs>,
}

/// Expectations at the time an attempt was sent, compared with its result to improve predictions.
#[derive(Clone, Debug, Default)]
pub struct Expectation {
    /// The prompt's pieces; empty for a plain service.
    pub chain: PrefixChain,
    /// Number of leading pieces assumed cached on the worker.
    pub cached_pieces: usize,
    /// Time since the least recently used of them was used.
    pub cache_age_ms: DurationMs,
    /// Number of leading pieces expected to be cached after the import; zero without an import.
    pub imported_pieces: usize,
    /// Number of leading pieces to be exported; zero without an export.
    pub exported_pieces: usize,
    /// Number of pieces of the prompt's first level.
    pub first_level_pieces: usize,
    /// Number of pieces of the prompt's home level when it was sent to its home; zero otherwise.
    pub home_level_pieces: usize,
    /// Predicted time from sending to the first token, before correction.
    pub uncorrected_ms: DurationMs,
    /// The part of the predicted time that is its own computation, without waiting.
    pub work_ms: DurationMs,
    /// Price of a thousand computed tokens on the worker.
    pub price: MicroCredits,
    /// When a faster worker was last searched for.
    pub hedge_checked_at_ms: TimeMs,
    /// When the first piece of the answer arrived, once it has.
    pub streaming_since_ms: Option<TimeMs>,
}
