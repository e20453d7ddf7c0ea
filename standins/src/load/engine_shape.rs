//! How the engines of a workload behave, and how much they can serve.

use crate::load::{
    number::{float, ratio},
    schedule::Schedule,
    unbounded::PromptTokens,
    workload::Workload,
};

/// The engines of a cluster.
pub const ENGINES: usize = 12;

const MS_PER_SECOND: f64 = 1_000.0;

/// How an engine of a workload behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineShape {
    /// Attempts that are computed at the same time.
    pub slots: u64,
    /// Prompt tokens that are computed in a second.
    pub prefill_rate: u64,
    /// Prompt tokens that are imported from the kept store in a second.
    pub import_rate: u64,
    /// The time between the tokens of an answer.
    pub decode_interval_ms: u64,
    /// Pieces that the cache holds.
    pub cache_pieces: u64,
}

impl EngineShape {
    /// The engines of a workload.
    #[must_use]
    pub const fn of(workload: Workload) -> Self {
        match workload {
            Workload::Trust => Self {
                slots: 6,
                prefill_rate: 10_000,
                import_rate: 40_000,
                decode_interval_ms: 12,
                cache_pieces: 600,
            },
            Workload::Kitahama => Self {
                slots: 6,
                prefill_rate: 20_000,
                import_rate: 80_000,
                decode_interval_ms: 12,
                cache_pieces: 1_200,
            },
        }
    }

    /// The chats a second that the engines serve when each computes only what an unbounded cache
    /// would not have had: the lesser of what their slots and their prefill allow.
    #[must_use]
    pub fn capacity_per_s(self, schedule: &Schedule, unbounded: &[PromptTokens]) -> f64 {
        let chats = unbounded.iter().filter(|tokens| tokens.prompt > 0).count() as u64;
        let computed: u64 = unbounded
            .iter()
            .map(|tokens| tokens.prompt - tokens.cached)
            .sum();
        let answers: u64 = schedule
            .requests
            .iter()
            .map(|request| request.max_answer_tokens)
            .sum();
        let computed_per_chat = ratio(computed, chats);
        let prefill_s = computed_per_chat / float(self.prefill_rate);
        let decode_s = ratio(answers, chats) * float(self.decode_interval_ms) / MS_PER_SECOND;
        let engines = float(ENGINES as u64);
        let by_slots = engines * float(self.slots) / (prefill_s + decode_s);
        let by_prefill = engines / prefill_s;
        by_slots.min(by_prefill)
    }
}
