//! What is believed to be cached, by worker and the worker's life.

use crate::{
    id::{CacheSequence, Incarnation, PieceHash, WorkerId},
    prefix::{PIECE_TOKENS, PrefixChain},
    table::Table,
    unit::Tokens,
};

/// Cached pieces of one worker's life.
#[derive(Debug, Default)]
struct WorkerCache {
    incarnation: Incarnation,
    pieces: Table<PieceHash, ()>,
    next_sequence: CacheSequence,
}

/// What is believed to be cached on each worker.
#[derive(Debug, Default)]
pub struct CacheIndex {
    workers: Table<WorkerId, WorkerCache>,
}

impl CacheIndex {
    /// Makes `incarnation` the worker's life. What was cached in another life is forgotten.
    pub fn set_incarnation(&mut self, worker: WorkerId, incarnation: Incarnation) {
        let cache = self
            .workers
            .get_or_insert_with(worker, WorkerCache::default);
        if cache.incarnation != incarnation {
            *cache = WorkerCache {
                incarnation,
                ..WorkerCache::default()
            };
        }
    }

    /// Forgets a worker.
    pub fn forget(&mut self, worker: WorkerId) {
        self.workers.remove(&worker);
    }

    /// Notes a piece as cached.
    pub fn stored(&mut self, worker: WorkerId, piece: PieceHash) {
        if let Some(cache) = self.workers.get_mut(&worker) {
            cache.pieces.insert(piece, ());
        }
    }

    /// Notes a piece as not cached.
    pub fn evicted(&mut self, worker: WorkerId, piece: PieceHash) {
        if let Some(cache) = self.workers.get_mut(&worker) {
            cache.pieces.remove(&piece);
        }
    }

    /// The tokens of the longest prefix of `chain` that is believed to be cached on the worker.
    #[must_use]
    pub fn cached(&self, worker: WorkerId, chain: &PrefixChain) -> Tokens {
        let Some(cache) = self.workers.get(&worker) else {
            return Tokens(0);
        };
        let pieces = chain
            .pieces
            .partition_point(|piece| cache.pieces.contains(piece));
        Tokens(pieces as u64 * PIECE_TOKENS)
    }

    /// The sequence number that the worker's next change should have; sets it to `next`.
    pub fn advance(&mut self, worker: WorkerId, next: CacheSequence) -> Option<CacheSequence> {
        let cache = self.workers.get_mut(&worker)?;
        Some(std::mem::replace(&mut cache.next_sequence, next))
    }
}
