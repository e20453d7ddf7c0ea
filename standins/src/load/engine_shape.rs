//! How the engines of a workload behave, and how much they can serve.

use {
    crate::load::{
        number::{MICROS_PER_MS, MICROS_PER_SECOND, float, ratio},
        schedule::Schedule,
        unbounded::PromptTokens,
        workload::Workload,
    },
    derive_more::{Add, AddAssign, Sum},
    serde::{Deserialize, Serialize},
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

/// What a chat takes of an engine when only what an unbounded cache would not have had of its
/// prompt is computed, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Add, AddAssign, Sum, Serialize, Deserialize,
)]
pub struct Work {
    /// Of its prefill.
    pub prefill_us: u64,
    /// Of one of its slots.
    pub slot_us: u64,
}

impl EngineShape {
    /// The work of a chat.
    #[must_use]
    pub fn work(self, tokens: PromptTokens, answer_tokens: u64) -> Work {
        let computed = tokens.prompt.saturating_sub(tokens.cached);
        let prefill_us = computed * MICROS_PER_SECOND / self.prefill_rate.max(1);
        let decode_us = answer_tokens * self.decode_interval_ms * MICROS_PER_MS;
        Work {
            prefill_us,
            slot_us: prefill_us + decode_us,
        }
    }

    /// The share that some work has of what all engines can do in a time, by what they have less
    /// of: slots or prefill.
    #[must_use]
    pub fn load_of(self, work: Work, seconds: u64) -> f64 {
        let engine_us = ENGINES as u64 * seconds * MICROS_PER_SECOND;
        let by_prefill = ratio(work.prefill_us, engine_us);
        let by_slots = ratio(work.slot_us, engine_us * self.slots);
        by_prefill.max(by_slots)
    }

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
