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
    /// Its id.
    pub id: RequestId,
    /// What was asked.
    pub arrival: Arrival,
    /// When it arrived.
    pub arrived_at_ms: TimeMs,
    /// The tokens of its prompt.
    pub prompt_tokens: Tokens,
    /// Its idempotency key, when its class may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether its target was found to be in reach: it is not declined any more.
    pub admitted: bool,
    /// What was charged for it beforehand.
    pub charges: Vec<Charge>,
    /// The attempt in progress.
    pub attempt: Option<Attempt>,
    /// Attempts that were sent.
    pub attempts_sent: u32,
    /// Whether any of its attempts that have ended may have run.
    pub verdict: Verdict,
    /// Workers that have failed it.
    pub failed_workers: Vec<WorkerId>,
    /// Bytes of the answer that were delivered.
    pub delivered_bytes: u64,
    /// Time from arrival to the first delivered byte.
    pub first_token_ms: Option<DurationMs>,
    /// Cached tokens, as the worker of the first piece reported them.
    pub cached_tokens: Tokens,
}

impl Request {
    /// The customer.
    #[must_use]
    pub const fn customer(&self) -> CustomerId {
        self.arrival.customer
    }

    /// Some tokens of the prompt with the longest answer that is asked for.
    #[must_use]
    pub const fn plus_max_answer_tokens(&self, tokens: Tokens) -> Tokens {
        Tokens(tokens.0.saturating_add(self.arrival.max_answer_tokens.0))
    }

    /// The class.
    #[must_use]
    pub const fn class(&self) -> ClassId {
        self.arrival.class
    }
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: AttemptId,
    /// Its worker.
    pub worker: WorkerId,
    /// The life of the worker that it was sent to, or that has taken it on.
    pub incarnation: Option<Incarnation>,
    /// What its cached pieces belong to; none for a plain service.
    pub scope: Option<PrefixScope>,
    /// When it was sent.
    pub sent_at_ms: TimeMs,
    /// When the worker was last heard of on its connection.
    pub last_received_at_ms: TimeMs,
    /// The first token's predicted time from sending.
    pub predicted_ms: DurationMs,
    /// Prompt tokens that were expected to be computed.
    pub uncached_tokens: Tokens,
    /// What was expected of it.
    pub expected: Expectation,
    /// Whether any piece has come.
    pub streaming: bool,
    /// When its worker was last probed because of its silence; none while it isn't silent.
    pub probed_at_ms: Option<TimeMs>,
}

/// What was expected of an attempt when it was sent, to learn from how it turns out.
#[derive(Clone, Debug, Default)]
pub struct Expectation {
    /// The prompt's pieces; none for a plain service.
    pub chain: PrefixChain,
    /// The first pieces that the worker was believed to have cached.
    pub cached_pieces: usize,
    /// The time since the least recent use of one of them.
    pub cache_age_ms: DurationMs,
    /// The first pieces that it was to have after its import; zero without one.
    pub imported_pieces: usize,
    /// The first pieces that it was to export; zero without an export.
    pub exported_pieces: usize,
    /// The pieces of the prompt's first level.
    pub first_level_pieces: usize,
    /// The pieces of the prompt's home level, when it was sent to its home; zero otherwise.
    pub home_level_pieces: usize,
    /// The first token's predicted time from sending, before its correction.
    pub uncorrected_ms: DurationMs,
    /// The part of the predicted time that is its own work, not waiting.
    pub work_ms: DurationMs,
    /// What a thousand computed tokens cost on the worker.
    pub price: MicroCredits,
    /// When it was last looked for a quicker worker.
    pub hedge_checked_at_ms: TimeMs,
    /// When the first piece of the answer came.
    pub streaming_since_ms: Option<TimeMs>,
}
