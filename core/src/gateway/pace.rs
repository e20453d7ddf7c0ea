//! Estimates how long engines take to prefill prompts.

use {
    crate::unit::{DurationMs, Tokens},
    serde::{Deserialize, Serialize},
    std::ops::RangeInclusive,
};

/// Prompt tokens that the nominal engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 42;
/// Tokens of one chunk of a prompt, which is prefilled in one step.
pub(super) const CHUNK_TOKENS: u64 = 2_048;
/// Fixed overhead of a prefill step.
const STEP_OVERHEAD_MS: u64 = 6;
/// Pairs of a new token and an earlier one for which attention is computed in a millisecond.
/// Prefill slows down as a prompt grows.
const ATTENTION_PAIRS_PER_MS: u64 = 1_000_000;
/// The pace of the nominal engine.
const NOMINAL_PERCENT: u64 = 100;
/// How far a sample moves the estimate, in percent of it. Each sample counts alike, however far off it
/// is, so that the estimate follows the median: some samples are too long, since another entry VM sent
/// a prompt at the same moment, and some too short, since parts were cached unnoticed.
const SAMPLE_STEP_PERCENT: u64 = 4;
/// Shortest nominal prefill time of a sample. The clock's resolution and the round trip are a small
/// part of it.
const MIN_SAMPLE_MS: DurationMs = DurationMs(40);
/// Samples outside this range don't measure the engine's speed: the prompt was cached, or other
/// requests were ahead in the queue. Engines of some services are faster than the nominal one by half.
const PLAUSIBLE_PERCENT: RangeInclusive<u64> = 40..=140;

/// The time that the nominal engine takes to prefill `new` tokens after `cached` ones.
#[must_use]
pub fn nominal_prefill_ms(new: Tokens, cached: Tokens) -> DurationMs {
    if new.0 == 0 {
        return DurationMs(0);
    }
    let steps = new.0.div_ceil(CHUNK_TOKENS);
    let pairs = new.0 * (cached.0 + new.0 / 2);
    DurationMs(
        new.0 / PREFILL_TOKENS_PER_MS + steps * STEP_OVERHEAD_MS + pairs / ATTENTION_PAIRS_PER_MS,
    )
}

/// The prefill time of an engine in percent of the nominal engine's. Above 100 is slower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pace {
    percent: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            percent: NOMINAL_PERCENT,
        }
    }
}

impl Pace {
    /// Computes the pace from the time to a first token. `nominal_prefill_ms` is the prediction for
    /// the nominal engine without a queue. `None` if the sample is too short or implausible.
    #[must_use]
    pub fn sample(nominal_prefill_ms: DurationMs, actual_ms: DurationMs) -> Option<Self> {
        if nominal_prefill_ms < MIN_SAMPLE_MS {
            return None;
        }
        let percent = actual_ms.0 * NOMINAL_PERCENT / nominal_prefill_ms.0;
        PLAUSIBLE_PERCENT
            .contains(&percent)
            .then_some(Self { percent })
    }

    /// Moves the estimate towards a sample.
    pub fn learn(&mut self, sample: Self) {
        let step = (self.percent * SAMPLE_STEP_PERCENT / 100).max(1);
        self.percent = if sample.percent > self.percent {
            sample.percent.min(self.percent + step)
        } else {
            sample.percent.max(self.percent - step)
        };
    }

    /// Converts a prefill time of the nominal engine into one of this engine.
    #[must_use]
    pub fn scale(&self, nominal_prefill_ms: DurationMs) -> DurationMs {
        DurationMs(nominal_prefill_ms.0 * self.percent / NOMINAL_PERCENT)
    }
}
