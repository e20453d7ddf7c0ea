//! The load of each prompt level, which determines how many workers should cache it.

use crate::{
    decay::DecayingSum,
    id::PieceHash,
    unit::{DurationMs, TimeMs},
    vec_map::VecMap,
};

/// Upper limit of the levels tracked.
pub const MAX_LEVELS: usize = 2_048;
/// Time constant of the decaying sums.
const TIME_CONSTANT_MS: DurationMs = DurationMs(5_000);
/// Longer time constant for the work of infrequent levels, which would fluctuate otherwise.
const LONG_TIME_CONSTANT_MS: DurationMs = DurationMs(60_000);
/// A level with at least this many requests within [`TIME_CONSTANT_MS`] is frequent.
const FREQUENT: u64 = 10 * REQUEST_PERMILLE;
/// Part of one worker's time that one level should take at most.
const MAX_UTILIZATION_PERMILLE: u64 = 500;
/// The worker count is lowered only when it exceeds this multiple of what is needed.
const SHRINK_FACTOR: usize = 3;
/// One request, in the thousandths that request sums count.
const REQUEST_PERMILLE: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    work_ms: DecayingSum,
    long_work_ms: DecayingSum,
    requests: DecayingSum,
    worker_count: usize,
}

impl Level {
    /// Returns the workers needed for the level's work if each of `entry_vms` entry VMs receives as
    /// much of it as this one.
    fn needed_workers(self, entry_vms: usize, now: TimeMs) -> usize {
        let (work_ms, time_constant) = if self.requests.value_at(now, TIME_CONSTANT_MS) >= FREQUENT
        {
            (
                self.work_ms.value_at(now, TIME_CONSTANT_MS),
                TIME_CONSTANT_MS,
            )
        } else {
            (
                self.long_work_ms.value_at(now, LONG_TIME_CONSTANT_MS),
                LONG_TIME_CONSTANT_MS,
            )
        };
        let load_permille = work_ms.saturating_mul(1_000) / time_constant.0;
        let workers = load_permille.saturating_mul(entry_vms as u64) / MAX_UTILIZATION_PERMILLE;
        let workers = usize::try_from(workers).unwrap_or(usize::MAX >> 2);
        workers.saturating_add(1)
    }

    /// Returns the present worker count, or a new one if that is too small or much too large.
    fn adjusted_worker_count(self, entry_vms: usize, now: TimeMs) -> usize {
        let needed = self.needed_workers(entry_vms, now);
        if needed > self.worker_count || needed.saturating_mul(SHRINK_FACTOR) < self.worker_count {
            needed.next_power_of_two()
        } else {
            self.worker_count
        }
    }
}

/// The load of recent prompt levels.
#[derive(Debug, Default)]
pub struct LevelDemand {
    levels: VecMap<PieceHash, Level>,
}

impl LevelDemand {
    /// Records a request with this level that takes a worker `work_ms`. Each of `entry_vms` entry
    /// VMs is assumed to receive as many.
    pub fn record(&mut self, level: PieceHash, work_ms: DurationMs, entry_vms: usize, now: TimeMs) {
        if self.levels.len() >= MAX_LEVELS && !self.levels.contains(&level) {
            self.remove_rarest(now);
        }
        let row = self.levels.get_or_insert_with(level, Level::default);
        row.work_ms.add(work_ms.0, now, TIME_CONSTANT_MS);
        row.long_work_ms.add(work_ms.0, now, LONG_TIME_CONSTANT_MS);
        row.requests.add(REQUEST_PERMILLE, now, TIME_CONSTANT_MS);
        row.worker_count = row.adjusted_worker_count(entry_vms, now);
    }

    /// Removes about half of the levels, those with the fewest recent requests.
    fn remove_rarest(&mut self, now: TimeMs) {
        let mut requests: Vec<u64> = self
            .levels
            .iter()
            .map(|row| row.1.requests.value_at(now, TIME_CONSTANT_MS))
            .collect();
        let middle = requests.len() / 2;
        let median = *requests.select_nth_unstable(middle).1;
        let mut remaining = middle;
        self.levels.retain(|_, level| {
            let keep = level.requests.value_at(now, TIME_CONSTANT_MS) >= median && remaining > 0;
            remaining -= usize::from(keep);
            keep
        });
    }

    /// Returns the number of workers that a level's work should be distributed over: a power of two
    /// that ignores small changes, so that entry VMs mostly agree.
    #[must_use]
    pub fn worker_count(&self, level: PieceHash, entry_vms: usize, now: TimeMs) -> usize {
        let level = self.levels.get(&level).copied().unwrap_or_default();
        level.adjusted_worker_count(entry_vms, now)
    }

    /// Returns the requests per 1000 seconds with a level if each of `entry_vms` entry VMs receives
    /// as many as this one.
    #[must_use]
    pub fn requests_per_1000_s(&self, level: PieceHash, entry_vms: usize, now: TimeMs) -> u64 {
        let Some(level) = self.levels.get(&level) else {
            return 0;
        };
        let requests = level.requests.value_at(now, TIME_CONSTANT_MS);
        requests
            .saturating_mul(1_000)
            .saturating_mul(entry_vms as u64)
            / TIME_CONSTANT_MS.0
    }

    /// Whether a level has recurred often enough recently to be worth exporting.
    #[must_use]
    pub fn is_recurring(&self, level: PieceHash, now: TimeMs) -> bool {
        const MIN_RECURRING: u64 = 2 * REQUEST_PERMILLE;
        let level = self.levels.get(&level);
        level.is_some_and(|level| level.requests.value_at(now, TIME_CONSTANT_MS) >= MIN_RECURRING)
    }

    /// Returns the number of tracked levels.
    #[must_use]
    pub fn len(&self) -> usize {
        self.levels.len()
    }

    /// Whether no level is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }
}
