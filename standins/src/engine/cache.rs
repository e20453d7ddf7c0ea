//! An engine's prefix cache and the numbered events that it publishes.

use {
    cactusspur_core::{CacheChange, CacheSequence, PieceHash, VecMap},
    std::{collections::VecDeque, time::Instant},
};

/// Number of events retained for readers.
const MAX_EVENTS: usize = 65_536;
/// Maximum number of events in one response.
const MAX_EVENTS_READ: usize = 4_096;

/// LRU cache of prompt pieces. Of the pieces of one prompt, the last ones are evicted first.
#[derive(Debug)]
pub(super) struct PieceCache {
    capacity: usize,
    last_use: VecMap<PieceHash, u64>,
    pieces_by_use: VecMap<u64, PieceHash>,
    use_count: u64,
}

impl PieceCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_use: VecMap::default(),
            pieces_by_use: VecMap::default(),
            use_count: 0,
        }
    }

    /// Returns the length of the longest cached prefix of a prompt, in pieces.
    pub(super) fn cached_len(&self, prompt: &[PieceHash]) -> usize {
        prompt
            .iter()
            .take_while(|piece| self.last_use.contains(piece))
            .count()
    }

    /// Marks pieces of one prompt as used, starting at its beginning, and inserts the missing ones.
    /// Returns the resulting changes, evictions included.
    pub(super) fn insert(&mut self, prompt: &[PieceHash]) -> Vec<CacheChange> {
        let mut changes: Vec<CacheChange> = prompt
            .iter()
            .filter(|piece| !self.last_use.contains(piece))
            .map(|piece| CacheChange::Stored(*piece))
            .collect();
        for piece in prompt.iter().rev() {
            self.touch(*piece);
        }
        while self.last_use.len() > self.capacity {
            changes.extend(self.evict().map(CacheChange::Evicted));
        }
        changes
    }

    /// Returns the cached pieces ordered by hash.
    pub(super) fn pieces(&self) -> Vec<PieceHash> {
        self.last_use.iter().map(|(piece, _)| *piece).collect()
    }

    fn touch(&mut self, piece: PieceHash) {
        self.use_count += 1;
        if let Some(earlier) = self.last_use.insert(piece, self.use_count) {
            self.pieces_by_use.remove(&earlier);
        }
        self.pieces_by_use.insert(self.use_count, piece);
    }

    fn evict(&mut self) -> Option<PieceHash> {
        let (used, piece) = self
            .pieces_by_use
            .get_index(0)
            .map(|(used, piece)| (*used, *piece))?;
        self.pieces_by_use.remove(&used);
        self.last_use.remove(&piece);
        Some(piece)
    }
}

/// The most recent changes of a cache, numbered from zero.
#[derive(Debug, Default)]
pub(super) struct CacheEvents {
    next_sequence: u64,
    events: VecDeque<CacheEvent>,
}

#[derive(Debug)]
struct CacheEvent {
    sequence: u64,
    changed_at: Instant,
    change: CacheChange,
}

impl CacheEvents {
    /// Returns the number that the next change gets.
    pub(super) const fn next_sequence(&self) -> CacheSequence {
        CacheSequence(self.next_sequence)
    }

    /// Numbers a change and makes it available to readers, unless it is lost.
    pub(super) fn publish(&mut self, change: CacheChange, changed_at: Instant, is_lost: bool) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if is_lost {
            return;
        }
        self.events.push_back(CacheEvent {
            sequence,
            changed_at,
            change,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns consecutive changes from number `after` on and the number of the first of them.
    /// Stops at the first gap and at changes made after `until`.
    pub(super) fn read_since(
        &self,
        after: u64,
        until: Instant,
    ) -> (CacheSequence, Vec<CacheChange>) {
        let start = self.events.partition_point(|event| event.sequence < after);
        let first_sequence = self
            .events
            .get(start)
            .filter(|event| event.changed_at <= until)
            .map_or(after.min(self.next_sequence), |event| event.sequence);
        let changes = (first_sequence..)
            .zip(self.events.range(start..).take(MAX_EVENTS_READ))
            .take_while(|(sequence, event)| {
                event.sequence == *sequence && event.changed_at <= until
            })
            .map(|(_, event)| event.change)
            .collect();
        (CacheSequence(first_sequence), changes)
    }
}
