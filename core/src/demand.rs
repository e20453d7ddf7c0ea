//! How much work the levels of prompts bring, to know how many workers should hold them.

use crate::{
    decay::DecayingSum,
    id::PieceHash,
    table::Table,
    unit::{DurationMs, TimeMs},
};

/// Levels that are watched at the most.
pub const MAX_LEVELS: usize = 2_048;
/// The time constant of the sums.
const CONSTANT_MS: DurationMs = DurationMs(5_000);
/// The share of one worker's time that one level should take at the most, in thousandths.
const FULL_PERMILLE: u64 = 500;
/// A request in the sums of seen requests.
const REQUEST: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    work_ms: DecayingSum,
    seen: DecayingSum,
}

/// The levels of prompts that came lately.
#[derive(Debug, Default)]
pub struct LevelDemand {
    levels: Table<PieceHash, Level>,
}

impl LevelDemand {
    /// Notes a request with this level, whose work takes a worker `work_ms`.
    pub fn note(&mut self, level: PieceHash, work_ms: DurationMs, now: TimeMs) {
        if self.levels.len() >= MAX_LEVELS && !self.levels.contains(&level) {
            self.drop_rarest(now);
        }
        let row = self.levels.get_or_insert_with(level, Level::default);
        row.work_ms.add(work_ms.0, now, CONSTANT_MS);
        row.seen.add(REQUEST, now, CONSTANT_MS);
    }

    /// Drops about half of the levels, those seen least.
    fn drop_rarest(&mut self, now: TimeMs) {
        let mut seen: Vec<u64> = self
            .levels
            .iter()
            .map(|row| row.1.seen.at(now, CONSTANT_MS))
            .collect();
        let middle = seen.len() / 2;
        let median = *seen.select_nth_unstable(middle).1;
        let mut room = middle;
        self.levels.retain(|_, level| {
            let keep = level.seen.at(now, CONSTANT_MS) >= median && room > 0;
            room -= usize::from(keep);
            keep
        });
    }

    /// The workers that a level's work should be spread over, when each of `entries` entry VMs
    /// sees as much of it: a power of two, so that entry VMs mostly agree.
    #[must_use]
    pub fn spread(&self, level: PieceHash, entries: usize, now: TimeMs) -> usize {
        let Some(level) = self.levels.get(&level) else {
            return 1;
        };
        let work = level.work_ms.at(now, CONSTANT_MS);
        let permille = work.saturating_mul(1_000) / CONSTANT_MS.0;
        let workers = permille.saturating_mul(entries as u64) / FULL_PERMILLE;
        let workers = usize::try_from(workers).unwrap_or(usize::MAX >> 1);
        workers.saturating_add(1).next_power_of_two()
    }

    /// Whether a level has come back often enough lately to be worth keeping.
    #[must_use]
    pub fn is_recurring(&self, level: PieceHash, now: TimeMs) -> bool {
        const RECURRING: u64 = 2 * REQUEST;
        let level = self.levels.get(&level);
        level.is_some_and(|level| level.seen.at(now, CONSTANT_MS) >= RECURRING)
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
