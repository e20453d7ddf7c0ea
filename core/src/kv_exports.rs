//! What is believed to be in the store of kept KV cache: what was exported from here.

use crate::{
    cache::CacheIndex,
    id::{Incarnation, WorkerId},
    prefix::PrefixChain,
    unit::{TimeMs, TokensPerSecond},
};

/// The store stands in the index as one worker.
const STORE: WorkerId = WorkerId(0);

/// What is believed to be in the store.
#[derive(Debug)]
pub struct ExportedPieces {
    index: CacheIndex,
}

impl Default for ExportedPieces {
    fn default() -> Self {
        let mut index = CacheIndex::default();
        index.set_incarnation(STORE, Incarnation(1));
        index.set_capacity(STORE, u64::MAX, TokensPerSecond(1));
        Self { index }
    }
}

impl ExportedPieces {
    /// Notes that the first `pieces` of a prompt were exported.
    pub fn record_exported(&mut self, chain: &PrefixChain, pieces: usize, now: TimeMs) {
        let start = PrefixChain {
            pieces: chain.pieces.iter().take(pieces).copied().collect(),
            level_ends: Vec::new(),
        };
        self.index.insert_prompt(STORE, &start, now);
    }

    /// Forgets all but the first `from` pieces of a prompt.
    pub fn record_missing(&mut self, chain: &PrefixChain, from: usize) {
        self.index.remove_tail(STORE, chain, from);
    }

    /// How many of the first pieces of a prompt are kept.
    #[must_use]
    pub fn piece_count(&self, chain: &PrefixChain, now: TimeMs) -> usize {
        let holders = self.index.holders(chain, now);
        holders.first().map_or(0, |holder| holder.pieces)
    }
}
