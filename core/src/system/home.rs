//! The home of a prompt: the workers that come first for the hash of its home level, the same in
//! every entry VM. The more work a level brings, the more workers its home has.

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

/// Workers that share the prompts of one first level at the most.
const MAX_GROUP: usize = 256;
const MAX_HOMES: usize = 16;
/// The level, counted from zero, whose end decides a prompt's home, when it isn't the last.
const HOME_LEVEL: usize = 1;
/// The visits within the time that a worker keeps pieces, in thousandths, with which it has them
/// half of the time.
const VISITS_FOR_HALF: u64 = 500;

/// Where a prompt belongs.
#[derive(Clone, Copy, Debug)]
pub struct Home {
    /// The hash of its first level.
    pub first_level: PieceHash,
    /// The hash up to its home level.
    pub level: PieceHash,
    /// The pieces of its first level.
    pub first_level_pieces: usize,
    /// The pieces up to the end of its home level.
    pub pieces: usize,
    /// Requests with the first level in a thousand seconds, at all entry VMs together.
    pub first_visits: u64,
    /// The same of the home level.
    pub visits: u64,
    /// The workers that share the prompts of its first level.
    pub group: usize,
    /// The workers that its home level is spread over.
    pub spread: usize,
}

impl Home {
    /// Where a prompt of `model` belongs now.
    #[must_use]
    pub fn of(core: &Core, chain: &PrefixChain, model: ModelId) -> Self {
        let last = chain.level_ends.len().saturating_sub(2);
        let first_level = level(chain, 0).unwrap_or(PieceHash(model.0));
        let home_level = level(chain, HOME_LEVEL.min(last)).unwrap_or(first_level);
        let group = core
            .demand
            .worker_count(first_level, core.entry_vms, core.now);
        let spread = core
            .demand
            .worker_count(home_level, core.entry_vms, core.now)
            .min(MAX_HOMES);
        Self {
            first_level,
            level: home_level,
            first_level_pieces: pieces_to(chain, 0),
            first_visits: core
                .demand
                .requests_per_1000_s(first_level, core.entry_vms, core.now),
            visits: core
                .demand
                .requests_per_1000_s(home_level, core.entry_vms, core.now),
            pieces: pieces_to(chain, HOME_LEVEL.min(last)),
            group: group.clamp(spread, MAX_GROUP),
            spread,
        }
    }

    /// The tokens that a worker is likely to have although it isn't known to, since other entry VMs
    /// send prompts with the same levels there.
    #[must_use]
    pub fn likely_tokens(
        &self,
        core: &Core,
        rank: usize,
        worker: WorkerId,
        present: usize,
    ) -> Tokens {
        if rank >= self.group {
            return Tokens(0);
        }
        let retention_ms = core.cache.retention_ms(worker);
        let permille = |visits: u64, workers: usize| {
            let visits = visits.saturating_mul(retention_ms.0) / 1_000 / workers.max(1) as u64;
            visits * 1_000 / (visits + VISITS_FOR_HALF)
        };
        let first_permille = if present < self.first_level_pieces {
            permille(self.first_visits, self.group)
        } else {
            1_000
        };
        let first = tokens_of(self.first_level_pieces.saturating_sub(present));
        let first = Tokens(first.0 * first_permille / 1_000);
        if rank >= self.spread {
            return first;
        }
        let rest = tokens_of(
            self.pieces
                .saturating_sub(present.max(self.first_level_pieces)),
        );
        let rest_permille = permille(self.visits, self.spread).max(core.home_hits_permille);
        first + Tokens(rest.0 * first_permille * rest_permille / 1_000_000)
    }
}

/// All workers: first those that share the prompts of the first level, in the order of the home
/// level, then the others in the order of the first level.
#[must_use]
pub fn ranked(home: Home, mut workers: Vec<&Worker>) -> Vec<(usize, &Worker)> {
    let hash =
        |worker: &Worker, level: PieceHash| xxh3_64_with_seed(&worker.id.0.to_le_bytes(), level.0);
    workers.sort_by_cached_key(|worker| hash(worker, home.first_level));
    let group = home.group.min(workers.len());
    workers[..group].sort_by_cached_key(|worker| hash(worker, home.level));
    workers.into_iter().enumerate().collect()
}

/// The workers of the home on a large ring: some of the places that the first level has there,
/// picked by the home level.
#[must_use]
pub fn on_ring<'a>(home: Home, usable: &EligibleWorkers<'a>) -> Vec<(usize, &'a Worker)> {
    const SPARE: usize = 2;
    let mut places: Vec<(u64, u64)> = (0..home.group as u64)
        .map(|place| (xxh3_64_with_seed(&place.to_le_bytes(), home.level.0), place))
        .collect();
    let count = (home.spread + SPARE).min(places.len());
    if count < places.len() {
        places.select_nth_unstable(count);
        places.truncate(count);
    }
    places.sort_unstable();
    let mut found: Vec<(usize, &Worker)> = Vec::with_capacity(places.len());
    for (_, place) in places {
        let key = xxh3_64_with_seed(&place.to_le_bytes(), home.first_level.0);
        let position = usable.ring().position(key);
        let taken = |worker: &Worker| found.iter().any(|one| one.1.id == worker.id);
        if let Some(worker) = usable.first_excluding(position, taken) {
            found.push((found.len(), worker));
        }
    }
    found
}

fn pieces_to(chain: &PrefixChain, level: usize) -> usize {
    chain.level_ends.get(level).copied().unwrap_or_default()
}

/// The hash of a prompt up to the last whole piece of a level.
fn level(chain: &PrefixChain, level: usize) -> Option<PieceHash> {
    let last = pieces_to(chain, level).checked_sub(1)?;
    chain.pieces.get(last).copied()
}

/// The tokens of a number of pieces.
#[must_use]
pub const fn tokens_of(pieces: usize) -> Tokens {
    Tokens(pieces as u64 * PIECE_TOKENS)
}
