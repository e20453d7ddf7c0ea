//! How long engines take to read prompts.

use {
    crate::unit::{DurationMs, Tokens},
    serde::{Deserialize, Serialize},
    std::ops::RangeInclusive,
};

/// Prompt tokens that a nominal engine reads in a millisecond. Of the deployments' sheets.
const READ_TOKENS_PER_MS: u64 = 42;
/// The tokens of one piece of a prompt, read in one step. Of the deployments' sheets.
const PIECE_TOKENS: u64 = 2_048;
/// What each step takes beside, in milliseconds. Of the deployments' sheets.
const STEP_MS: u64 = 6;
/// Pairs of a new token and one before it that are looked at in a millisecond: reading slows down
/// as a prompt grows. Fitted to the first tokens of idle engines.
const PAIRS_PER_MS: u64 = 1_000_000;
/// An engine that is as fast as the nominal one, in percent of its time.
const NOMINAL_PERCENT: u64 = 100;
/// The weight of a new sample among earlier ones, in percent: some samples are too long, since
/// another entry VM sent a prompt at the same moment.
const SAMPLE_WEIGHT_PERCENT: u64 = 20;
/// The shortest nominal time that tells something of an engine: a clock's tick and the way there
/// and back are a small part of it.
const MIN_SAMPLE_MS: DurationMs = DurationMs(40);
/// Samples outside of these bounds, in percent, tell of something else than the engine's speed: a
/// prompt that was cached, or others that were in the way. Engines of one service differ by a third.
const PLAUSIBLE_PERCENT: RangeInclusive<u64> = 70..=140;

/// The time that a nominal engine takes to read `new` tokens behind `cached` ones.
#[must_use]
pub fn nominal_prefill_ms(new: Tokens, cached: Tokens) -> DurationMs {
    if new.0 == 0 {
        return DurationMs(0);
    }
    let steps = new.0.div_ceil(PIECE_TOKENS);
    let pairs = new.0 * (cached.0 + new.0 / 2);
    DurationMs(new.0 / READ_TOKENS_PER_MS + steps * STEP_MS + pairs / PAIRS_PER_MS)
}

/// The time that an engine takes, in percent of what a nominal one does.
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
    /// The pace that a first token shows, if it shows one: `nominal_prefill_ms` were predicted for a
    /// nominal engine without a queue.
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

    /// Takes a sample in.
    pub fn learn(&mut self, sample: Self) {
        let earlier = self.percent * (100 - SAMPLE_WEIGHT_PERCENT);
        self.percent = (earlier + sample.percent * SAMPLE_WEIGHT_PERCENT) / 100;
    }

    /// The time that this engine takes.
    #[must_use]
    pub fn scale(&self, nominal_prefill_ms: DurationMs) -> DurationMs {
        DurationMs(nominal_prefill_ms.0 * self.percent / NOMINAL_PERCENT)
    }
}
