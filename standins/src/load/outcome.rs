//! What became of one request.

use crate::load::unbounded::PromptTokens;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Its answer came whole.
    Complete,
    /// It was refused before any of its answer came.
    Refused {
        /// The cause, as the refusal names it.
        cause: String,
    },
    /// It got no answer, or a part of one.
    Failed {
        /// What happened.
        what: String,
    },
}

/// What became of one request. Times count from the intended time of sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// How it ended.
    pub end: End,
    /// When the first token came, or a plain service's answer.
    pub first_token_us: Option<u64>,
    /// The times between one part of the answer and the next.
    pub gaps_us: Vec<u64>,
    /// The tokens of its prompt, as the engine counted them.
    pub prompt: Option<PromptTokens>,
    /// The tokens of its answer.
    pub answer_tokens: u64,
}

impl Outcome {
    /// An outcome without any of an answer.
    #[must_use]
    pub const fn without_answer(end: End) -> Self {
        Self {
            end,
            first_token_us: None,
            gaps_us: Vec::new(),
            prompt: None,
            answer_tokens: 0,
        }
    }

    /// Whether the whole answer came.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.end == End::Complete
    }
}
