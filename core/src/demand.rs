//! How much work the levels of prompts bring, to know how many workers should hold them.

use crate::{
    decay::DecayingSum,
    id::PieceHash,
    unit::{DurationMs, TimeMs},
    vec_map::VecMap,
};

/// Levels that are watched at the most.
pub const MAX_LEVELS: usize = 2_048;
/// The time constant of the sums.
const CONSTANT_MS: DurationMs = DurationMs(5_000);
/// The time constant of the work of levels with few requests, which would jump otherwise.
const LONG_MS: DurationMs = DurationMs(60_000);
/// From this many requests within [`CONSTANT_MS`] on a level has many.
const MANY: u64 = 10 * REQUEST;
/// The share of one worker's time that one level should take at the most, in thousandths.
const FULL_PERMILLE: u64 = 500;
/// A spread is lowered when it is more than this many times what is needed.
const MUCH_TOO_LARGE: usize = 3;
/// A request in the sums of seen requests.
const REQUEST: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    work_ms: DecayingSum,
    long_work_ms: DecayingSum,
    seen: DecayingSum,
    spread: usize,
}

impl Level {
    /// The workers that the work needs, when each of `entries` entry VMs sees as much of it.
    fn needed(self, entries: usize, now: TimeMs) -> usize {
        let (work, constant) = if self.seen.value_at(now, CONSTANT_MS) >= MANY {
            (self.work_ms.value_at(now, CONSTANT_MS), CONSTANT_MS)
        } else {
            (self.long_work_ms.value_at(now, LONG_MS), LONG_MS)
        };
        let permille = work.saturating_mul(1_000) / constant.0;
        let workers = permille.saturating_mul(entries as u64) / FULL_PERMILLE;
        let workers = usize::try_from(workers).unwrap_or(usize::MAX >> 2);
        workers.saturating_add(1)
    }

    /// The spread as it is, unless it is too small or much too large.
    fn spread_for(self, entries: usize, now: TimeMs) -> usize {
        let needed = self.needed(entries, now);
        if needed > self.spread || needed.saturating_mul(MUCH_TOO_LARGE) < self.spread {
            needed.next_power_of_two()
        } else {
            self.spread
        }
    }
}

/// The levels of prompts that came lately.
#[derive(Debug, Default)]
pub struct LevelDemand {
    levels: VecMap<PieceHash, Level>,
}

impl LevelDemand {
    /// Notes a request with this level, whose work takes a worker `work_ms`. Each of `entries`
    /// entry VMs is taken to see as many.
    pub fn record(&mut self, level: PieceHash, work_ms: DurationMs, entries: usize, now: TimeMs) {
        if self.levels.len() >= MAX_LEVELS && !self.levels.contains(&level) {
            self.drop_rarest(now);
        }
        let row = self.levels.get_or_insert_with(level, Level::default);
        row.work_ms.add(work_ms.0, now, CONSTANT_MS);
        row.long_work_ms.add(work_ms.0, now, LONG_MS);
        row.seen.add(REQUEST, now, CONSTANT_MS);
        row.spread = row.spread_for(entries, now);
    }

    /// Drops about half of the levels, those seen least.
    fn drop_rarest(&mut self, now: TimeMs) {
        let mut seen: Vec<u64> = self
            .levels
            .iter()
            .map(|row| row.1.seen.value_at(now, CONSTANT_MS))
            .collect();
        let middle = seen.len() / 2;
        let median = *seen.select_nth_unstable(middle).1;
        let mut room = middle;
        self.levels.retain(|_, level| {
            let keep = level.seen.value_at(now, CONSTANT_MS) >= median && room > 0;
            room -= usize::from(keep);
            keep
        });
    }

    /// The workers that a level's work should be spread over: a power of two that doesn't follow
    /// small changes, so that entry VMs mostly agree.
    #[must_use]
    pub fn worker_count(&self, level: PieceHash, entries: usize, now: TimeMs) -> usize {
        let level = self.levels.get(&level).copied().unwrap_or_default();
        level.spread_for(entries, now)
    }

    /// Requests with a level in a thousand seconds, when each of `entries` entry VMs sees as many.
    #[must_use]
    pub fn requests_per_1000_s(&self, level: PieceHash, entries: usize, now: TimeMs) -> u64 {
        let Some(level) = self.levels.get(&level) else {
            return 0;
        };
        let seen = level.seen.value_at(now, CONSTANT_MS);
        seen.saturating_mul(1_000).saturating_mul(entries as u64) / CONSTANT_MS.0
    }

    /// Whether a level has come back often enough lately to be worth keeping.
    #[must_use]
    pub fn is_recurring(&self, level: PieceHash, now: TimeMs) -> bool {
        const RECURRING: u64 = 2 * REQUEST;
        let level = self.levels.get(&level);
        level.is_some_and(|level| level.seen.value_at(now, CONSTANT_MS) >= RECURRING)
    }

    /// The levels that are watched.
    #[must_use]
    pub fn len(&self) -> usize {
        self.levels.len()
    }

    /// Whether no level is watched.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }
}
