//! Assigns home workers to a prompt by rendezvous hashing of its home level, so that all entry VMs
//! choose the same ones. The number of home workers grows with the load of the level.

use {
    super::eligible::EligibleWorkers,
    crate::{
        core::Core,
        id::{ModelId, PieceHash, WorkerId},
        prefix::{PIECE_TOKENS, PrefixChain},
        unit::Tokens,
        worker::Worker,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Upper limit of the workers that share the prompts of one first level.
const MAX_FIRST_LEVEL_WORKERS: usize = 256;
/// Upper limit of the home workers of one home level.
const MAX_HOME_WORKERS: usize = 16;
/// Index of the level whose end determines the home workers, unless it is the last level.
const HOME_LEVEL: usize = 1;
/// Requests per worker and retention time, in thousandths, at which half of the requests find the
/// level cached.
const HALF_HITS_REQUESTS_PERMILLE: u64 = 500;

/// The home workers of a prompt, by the load of its levels.
#[derive(Clone, Copy, Debug)]
pub struct PromptHome {
    /// Hash of the prompt up to the end of its first level.
    pub first_level: PieceHash,
    /// Hash of the prompt up to the end of its home level.
    pub home_level: PieceHash,
    /// Pieces of the first level.
    pub first_level_pieces: usize,
    /// Pieces up to the end of the home level.
    pub home_level_pieces: usize,
    /// Requests per 1000 seconds with the first level, at all entry VMs together.
    pub first_level_request_rate: u64,
    /// Requests per 1000 seconds with the home level, at all entry VMs together.
    pub home_level_request_rate: u64,
    /// Number of workers that share the prompts of the first level.
    pub first_level_workers: usize,
    /// Number of home workers, among those of the first level.
    pub home_workers: usize,
}

impl PromptHome {
    /// Computes the home of a prompt of `model` from the current load.
    #[must_use]
    pub fn new(core: &Core, chain: &PrefixChain, model: ModelId) -> Self {
        let last = chain.level_ends.len().saturating_sub(2);
        let first_level = level_hash(chain, 0).unwrap_or(PieceHash(model.0));
        let level = level_hash(chain, HOME_LEVEL.min(last)).unwrap_or(first_level);
        let first_level_workers = core
            .demand
            .worker_count(first_level, core.entry_vms, core.now);
        let home_workers = core
            .demand
            .worker_count(level, core.entry_vms, core.now)
            .min(MAX_HOME_WORKERS);
        Self {
            first_level,
            home_level: level,
            first_level_pieces: level_end(chain, 0),
            first_level_request_rate: core.demand.requests_per_1000_s(
                first_level,
                core.entry_vms,
                core.now,
            ),
            home_level_request_rate: core.demand.requests_per_1000_s(
                level,
                core.entry_vms,
                core.now,
            ),
            home_level_pieces: level_end(chain, HOME_LEVEL.min(last)),
            first_level_workers: first_level_workers.clamp(home_workers, MAX_FIRST_LEVEL_WORKERS),
            home_workers,
        }
    }

    /// Estimates the tokens beyond `present_pieces` that a worker has cached without this entry VM
    /// knowing it, because other entry VMs send it prompts with the same levels.
    #[must_use]
    pub fn likely_tokens(
        &self,
        core: &Core,
        rank: usize,
        worker: WorkerId,
        present_pieces: usize,
    ) -> Tokens {
        if rank >= self.first_level_workers {
            return Tokens(0);
        }
        let retention_ms = core.cache.retention_ms(worker);
        let hit_permille = |request_rate: u64, workers: usize| {
            let requests =
                request_rate.saturating_mul(retention_ms.0) / 1_000 / workers.max(1) as u64;
            requests * 1_000 / (requests + HALF_HITS_REQUESTS_PERMILLE)
        };
        let first_hit_permille = if present_pieces < self.first_level_pieces {
            hit_permille(self.first_level_request_rate, self.first_level_workers)
        } else {
            1_000
        };
        let first_level_tokens =
            tokens_of_pieces(self.first_level_pieces.saturating_sub(present_pieces));
        let first_level_tokens = Tokens(first_level_tokens.0 * first_hit_permille / 1_000);
        if rank >= self.home_workers {
            return first_level_tokens;
        }
        let home_level_tokens = tokens_of_pieces(
            self.home_level_pieces
                .saturating_sub(present_pieces.max(self.first_level_pieces)),
        );
        let home_hit_permille = hit_permille(self.home_level_request_rate, self.home_workers)
            .max(core.home_hits_permille);
        first_level_tokens
            + Tokens(home_level_tokens.0 * first_hit_permille * home_hit_permille / 1_000_000)
    }
}

/// Ranks all workers: first those that share the prompts of the first level, in rendezvous order of
/// the home level, then the others in rendezvous order of the first level.
#[must_use]
pub fn rank_workers(home: PromptHome, mut workers: Vec<&Worker>) -> Vec<(usize, &Worker)> {
    let hash =
        |worker: &Worker, level: PieceHash| xxh3_64_with_seed(&worker.id.0.to_le_bytes(), level.0);
    workers.sort_by_cached_key(|worker| hash(worker, home.first_level));
    let first_level_workers = home.first_level_workers.min(workers.len());
    workers[..first_level_workers].sort_by_cached_key(|worker| hash(worker, home.home_level));
    workers.into_iter().enumerate().collect()
}

/// Selects the home workers from a large ring. The first level's hash determines a set of ring
/// positions, and the home level's hash selects some of these.
#[must_use]
pub fn select_from_ring<'a>(
    home: PromptHome,
    eligible: &EligibleWorkers<'a>,
) -> Vec<(usize, &'a Worker)> {
    const SPARE_WORKERS: usize = 2;
    let mut slots: Vec<(u64, u64)> = (0..home.first_level_workers as u64)
        .map(|i| (xxh3_64_with_seed(&i.to_le_bytes(), home.home_level.0), i))
        .collect();
    let count = (home.home_workers + SPARE_WORKERS).min(slots.len());
    if count < slots.len() {
        slots.select_nth_unstable(count);
        slots.truncate(count);
    }
    slots.sort_unstable();
    let mut selected: Vec<(usize, &Worker)> = Vec::with_capacity(slots.len());
    for (_, slot) in slots {
        let key = xxh3_64_with_seed(&slot.to_le_bytes(), home.first_level.0);
        let position = eligible.ring().position(key);
        let is_selected = |worker: &Worker| selected.iter().any(|chosen| chosen.1.id == worker.id);
        if let Some(worker) = eligible.first_excluding(position, is_selected) {
            selected.push((selected.len(), worker));
        }
    }
    selected
}

/// Returns the number of pieces up to the end of a level.
fn level_end(chain: &PrefixChain, level: usize) -> usize {
    chain.level_ends.get(level).copied().unwrap_or_default()
}

/// Returns the hash of a prompt up to the last whole piece of a level.
fn level_hash(chain: &PrefixChain, level: usize) -> Option<PieceHash> {
    let last = level_end(chain, level).checked_sub(1)?;
    chain.pieces.get(last).copied()
}

/// Converts a number of pieces to tokens.
#[must_use]
pub const fn tokens_of_pieces(pieces: usize) -> Tokens {
    Tokens(pieces as u64 * PIECE_TOKENS)
}
