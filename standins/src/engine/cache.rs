//! An engine's cache of prompt pieces, and the numbered events that it publishes.

use {
    cactusspur_core::{CacheChange, CacheSequence, PieceHash, VecMap},
    std::{collections::VecDeque, time::Instant},
};

/// The events that are kept for readers.
const MAX_EVENTS: usize = 65_536;
/// The events that one answer gives.
const MAX_EVENTS_READ: usize = 4_096;

/// Pieces up to a limit. The least recently used go first, and of one prompt its end.
#[derive(Debug)]
pub(super) struct PieceCache {
    capacity: usize,
    used_at: VecMap<PieceHash, u64>,
    by_use: VecMap<u64, PieceHash>,
    uses: u64,
}

impl PieceCache {
    pub(super) fn open(capacity: usize) -> Self {
        Self {
            capacity,
            used_at: VecMap::default(),
            by_use: VecMap::default(),
            uses: 0,
        }
    }

    /// How many pieces at the start of a prompt are cached.
    pub(super) fn cached(&self, prompt: &[PieceHash]) -> usize {
        prompt
            .iter()
            .take_while(|piece| self.used_at.contains(piece))
            .count()
    }

    /// Uses pieces of one prompt, from its start; those that were not cached then are. Gives the
    /// changes that this makes.
    pub(super) fn store(&mut self, prompt: &[PieceHash]) -> Vec<CacheChange> {
        let mut changes: Vec<CacheChange> = prompt
            .iter()
            .filter(|piece| !self.used_at.contains(piece))
            .map(|piece| CacheChange::Stored(*piece))
            .collect();
        for piece in prompt.iter().rev() {
            self.touch(*piece);
        }
        while self.used_at.len() > self.capacity {
            changes.extend(self.evict().map(CacheChange::Evicted));
        }
        changes
    }

    /// The pieces in the order of their hashes.
    pub(super) fn pieces(&self) -> Vec<PieceHash> {
        self.used_at.iter().map(|(piece, _)| *piece).collect()
    }

    fn touch(&mut self, piece: PieceHash) {
        self.uses += 1;
        if let Some(earlier) = self.used_at.insert(piece, self.uses) {
            self.by_use.remove(&earlier);
        }
        self.by_use.insert(self.uses, piece);
    }

    fn evict(&mut self) -> Option<PieceHash> {
        let (used, piece) = self
            .by_use
            .get_index(0)
            .map(|(used, piece)| (*used, *piece))?;
        self.by_use.remove(&used);
        self.used_at.remove(&piece);
        Some(piece)
    }
}

/// The changes of a cache, numbered from zero.
#[derive(Debug, Default)]
pub(super) struct CacheEvents {
    next: u64,
    kept: VecDeque<CacheEvent>,
}

#[derive(Debug)]
struct CacheEvent {
    sequence: u64,
    at: Instant,
    change: CacheChange,
}

impl CacheEvents {
    /// The number of the next change.
    pub(super) const fn next(&self) -> CacheSequence {
        CacheSequence(self.next)
    }

    /// Numbers a change. A lost one is never seen by readers.
    pub(super) fn publish(&mut self, change: CacheChange, at: Instant, lost: bool) {
        let sequence = self.next;
        self.next += 1;
        if lost {
            return;
        }
        self.kept.push_back(CacheEvent {
            sequence,
            at,
            change,
        });
        if self.kept.len() > MAX_EVENTS {
            self.kept.pop_front();
        }
    }

    /// Changes number `after` and later up to the next missing one, of those that were made until
    /// `until`, and the number of the first.
    pub(super) fn read(&self, after: u64, until: Instant) -> (CacheSequence, Vec<CacheChange>) {
        let from = self.kept.partition_point(|event| event.sequence < after);
        let first = self
            .kept
            .get(from)
            .filter(|event| event.at <= until)
            .map_or(after.min(self.next), |event| event.sequence);
        let changes = (first..)
            .zip(self.kept.range(from..).take(MAX_EVENTS_READ))
            .take_while(|(sequence, event)| event.sequence == *sequence && event.at <= until)
            .map(|(_, event)| event.change)
            .collect();
        (CacheSequence(first), changes)
    }
}
