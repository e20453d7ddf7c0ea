//! Prompt pieces assumed to be in the KV store, since this process had them exported.

use crate::{
    cache::CacheIndex,
    id::{Incarnation, WorkerId},
    prefix::PrefixChain,
    unit::{TimeMs, TokensPerSecond},
};

/// The index treats the store as a single worker with this id.
const STORE: WorkerId = WorkerId(0);

/// The pieces assumed to be in the KV store.
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
    /// Records that the first `pieces` of a prompt were exported.
    pub fn record_exported(&mut self, chain: &PrefixChain, pieces: usize, now: TimeMs) {
        let start = PrefixChain {
            pieces: chain.pieces.iter().take(pieces).copied().collect(),
            level_ends: Vec::new(),
        };
        self.index.insert_prompt(STORE, &start, now);
    }

    /// Removes all but the first `from` pieces of a prompt, which the store turned out not to hold.
    pub fn record_missing(&mut self, chain: &PrefixChain, from: usize) {
        self.index.remove_tail(STORE, chain, from);
    }

    /// Number of leading pieces of a prompt assumed to be in the store.
    #[must_use]
    pub fn piece_count(&self, chain: &PrefixChain, now: TimeMs) -> usize {
        let holders = self.index.holders(chain, now);
        holders.first().map_or(0, |holder| holder.pieces)
    }
}
