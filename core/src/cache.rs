//! An index of the prompt pieces that each worker is assumed to cache.
//!
//! Its sources are the prompts sent to a worker, the cached tokens reported in answers, and the
//! worker's cache events. The index is divided into shards by the piece's hash. Each shard is a
//! small sorted vector, so that memory is bounded and an insertion moves a few kilobytes at most. A
//! full shard evicts its least recently used entry.

use crate::{
    event::{CacheChange, CacheReport, CacheSnapshot},
    id::{CacheSequence, Incarnation, PieceHash, WorkerId},
    prefix::{PIECE_TOKENS, PrefixChain},
    unit::{DurationMs, TimeMs, Tokens, TokensPerSecond},
    vec_map::VecMap,
};

/// Upper limit of the workers stored for one piece.
pub const MAX_HOLDERS: usize = 32;
/// Upper limit of the entries in one shard.
pub const SHARD_CAPACITY: usize = 256;
/// Number of shards. Together they store about a million entries of 16 bytes each.
const SHARDS: usize = 4_096;
const SHARD_SHIFT: u32 = u64::BITS - SHARDS.trailing_zeros();
/// How long pieces are assumed to stay cached before a worker has reported its cache size.
const DEFAULT_RETENTION_MS: DurationMs = DurationMs(30_000);
const MIN_RETENTION_MS: DurationMs = DurationMs(100);
const MAX_RETENTION_MS: DurationMs = DurationMs(600_000);
/// Time after which a missing snapshot is requested again.
const SNAPSHOT_TIMEOUT_MS: DurationMs = DurationMs(2_000);
/// Resolution of the stored time of last use.
const LAST_USED_STEP_MS: u64 = 64;

/// A worker that is assumed to cache a prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The worker that caches the prefix.
    pub worker: WorkerId,
    /// Number of pieces in the cached prefix.
    pub pieces: usize,
    /// Time since the last use of the least recently used of these pieces.
    pub age_ms: DurationMs,
}

impl Holder {
    /// Number of tokens in the cached prefix.
    #[must_use]
    pub const fn tokens(&self) -> Tokens {
        Tokens(self.pieces as u64 * PIECE_TOKENS)
    }
}

/// Identifies the cache contents of one worker. A new incarnation or a snapshot starts a new epoch,
/// which invalidates all earlier entries of the worker.
type CacheEpoch = u32;

#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    piece: PieceHash,
    epoch: CacheEpoch,
    /// Time of the last use since the first one, in steps of [`LAST_USED_STEP_MS`].
    used_at: u32,
}

impl CacheEntry {
    const fn key(&self) -> (PieceHash, CacheEpoch) {
        (self.piece, self.epoch)
    }
}

#[derive(Debug, Default)]
struct Shard {
    entries: Vec<CacheEntry>,
}

impl Shard {
    fn entries_of(&self, piece: PieceHash) -> &[CacheEntry] {
        let start = self.entries.partition_point(|entry| entry.piece < piece);
        let tail = &self.entries[start..];
        let len = tail.partition_point(|entry| entry.piece == piece);
        &tail[..len]
    }

    fn touch(&mut self, new: CacheEntry) {
        match self.search(new.key()) {
            Ok(index) => self.entries[index].used_at = self.entries[index].used_at.max(new.used_at),
            Err(_) => self.insert(new),
        }
    }

    fn insert(&mut self, new: CacheEntry) {
        let holders = self.entries_of(new.piece);
        if holders.len() >= MAX_HOLDERS {
            let evicted = least_recently_used(holders);
            self.remove(evicted);
        } else if self.entries.len() >= SHARD_CAPACITY {
            let evicted = least_recently_used(&self.entries);
            self.remove(evicted);
        }
        if let Err(index) = self.search(new.key()) {
            self.entries.insert(index, new);
        }
    }

    fn remove(&mut self, key: (PieceHash, CacheEpoch)) {
        if let Ok(index) = self.search(key) {
            self.entries.remove(index);
        }
    }

    fn search(&self, key: (PieceHash, CacheEpoch)) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key().cmp(&key))
    }
}

fn least_recently_used(entries: &[CacheEntry]) -> (PieceHash, CacheEpoch) {
    entries
        .iter()
        .min_by_key(|entry| entry.used_at)
        .map(CacheEntry::key)
        .unwrap_or_default()
}

/// How far a worker's cache events are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum EventSync {
    /// No events were received yet.
    #[default]
    NoEvents,
    /// All changes up to the next sequence number are known.
    Complete,
    /// Some changes are missing; a snapshot was requested.
    AwaitingSnapshot { since_ms: TimeMs },
}

#[derive(Debug)]
struct WorkerCache {
    incarnation: Incarnation,
    epoch: CacheEpoch,
    next_sequence: CacheSequence,
    event_sync: EventSync,
    retention_ms: DurationMs,
    is_retention_adjusted: bool,
}

impl WorkerCache {
    const fn new(incarnation: Incarnation, epoch: CacheEpoch) -> Self {
        Self {
            incarnation,
            epoch,
            next_sequence: CacheSequence(0),
            event_sync: EventSync::NoEvents,
            retention_ms: DEFAULT_RETENTION_MS,
            is_retention_adjusted: false,
        }
    }

    fn expiry_ms(&self) -> DurationMs {
        match self.event_sync {
            EventSync::Complete => MAX_RETENTION_MS,
            EventSync::NoEvents | EventSync::AwaitingSnapshot { .. } => self.retention_ms,
        }
    }
}

/// The search for the longest prefix of a prompt that one worker caches.
struct PrefixSearch {
    epoch: CacheEpoch,
    worker: WorkerId,
    expiry_ms: DurationMs,
    age_ms: DurationMs,
}

/// The pieces that each worker is assumed to cache.
#[derive(Debug)]
pub struct CacheIndex {
    shards: Vec<Shard>,
    workers: VecMap<WorkerId, WorkerCache>,
    epochs: VecMap<CacheEpoch, WorkerId>,
    last_epoch: CacheEpoch,
    origin_ms: Option<TimeMs>,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
            workers: VecMap::default(),
            epochs: VecMap::default(),
            last_epoch: 0,
            origin_ms: None,
        }
    }
}

impl CacheIndex {
    /// Sets the worker's incarnation. Entries of another incarnation are discarded.
    pub fn set_incarnation(&mut self, worker: WorkerId, incarnation: Incarnation) {
        let known = self.workers.get(&worker).map(|cache| cache.incarnation);
        if known == Some(incarnation) {
            return;
        }
        self.remove_worker(worker);
        let epoch = self.start_epoch(worker);
        self.workers
            .insert(worker, WorkerCache::new(incarnation, epoch));
    }

    fn start_epoch(&mut self, worker: WorkerId) -> CacheEpoch {
        self.last_epoch = self.last_epoch.wrapping_add(1);
        self.epochs.insert(self.last_epoch, worker);
        self.last_epoch
    }

    /// Removes a worker and its entries.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        if let Some(cache) = self.workers.remove(&worker) {
            self.epochs.remove(&cache.epoch);
        }
    }

    /// Sets the retention time of a worker from the size of its cache, unless it was already
    /// adjusted by answers. Newer pieces can't evict a piece before the worker has had the time to
    /// compute as many as its cache holds.
    pub fn set_capacity(&mut self, worker: WorkerId, pieces: u64, prefill_rate: TokensPerSecond) {
        let Some(cache) = self.workers.get_mut(&worker) else {
            return;
        };
        if cache.is_retention_adjusted || pieces == 0 {
            return;
        }
        let turnover_ms = prefill_rate.time_for(Tokens(pieces.saturating_mul(PIECE_TOKENS)));
        cache.retention_ms = turnover_ms.clamp(MIN_RETENTION_MS, MAX_RETENTION_MS);
    }

    /// Returns how long the worker is assumed to retain unused pieces; zero for an unknown worker.
    #[must_use]
    pub fn retention_ms(&self, worker: WorkerId) -> DurationMs {
        let cache = self.workers.get(&worker);
        cache.map(|cache| cache.retention_ms).unwrap_or_default()
    }

    /// Records that the worker caches the whole prompt, or soon will.
    pub fn insert_prompt(&mut self, worker: WorkerId, chain: &PrefixChain, now: TimeMs) {
        let Some(epoch) = self.workers.get(&worker).map(|cache| cache.epoch) else {
            return;
        };
        for piece in &chain.pieces {
            self.touch(*piece, epoch, now);
        }
    }

    /// Removes all but the first `from` pieces of the prompt from the worker's entries.
    pub fn remove_tail(&mut self, worker: WorkerId, chain: &PrefixChain, from: usize) {
        let Some(epoch) = self.workers.get(&worker).map(|cache| cache.epoch) else {
            return;
        };
        for piece in chain.pieces.iter().skip(from) {
            self.shard_mut(*piece).remove((*piece, epoch));
        }
    }

    /// Adjusts the worker's retention time by the difference between the pieces that an answer
    /// reported as cached and those assumed when the request was sent.
    pub fn adjust_retention(
        &mut self,
        worker: WorkerId,
        assumed_pieces: usize,
        age_ms: DurationMs,
        cached_pieces: usize,
    ) {
        let Some(cache) = self.workers.get_mut(&worker) else {
            return;
        };
        let retention_ms = cache.retention_ms.0;
        let adjusted_ms = if cached_pieces < assumed_pieces {
            retention_ms.min(age_ms.0) * 3 / 4
        } else if cached_pieces > assumed_pieces {
            retention_ms * 9 / 8
        } else if assumed_pieces > 0 {
            retention_ms.max(age_ms.0 * 5 / 4)
        } else {
            return;
        };
        cache.is_retention_adjusted = true;
        cache.retention_ms = DurationMs(adjusted_ms).clamp(MIN_RETENTION_MS, MAX_RETENTION_MS);
    }

    /// Applies changes of a worker's cache. If some are missing and a snapshot is to be requested,
    /// returns the sequence number of the first unknown change.
    pub fn apply_report(&mut self, report: &CacheReport, now: TimeMs) -> Option<CacheSequence> {
        let cache = self.workers.get_mut(&report.worker)?;
        let (expected, epoch) = (cache.next_sequence, cache.epoch);
        let known_changes = expected.0.saturating_sub(report.first_sequence.0);
        let next = report.first_sequence.0 + report.changes.len() as u64;
        cache.next_sequence = CacheSequence(next.max(expected.0));
        let needs_snapshot = match cache.event_sync {
            EventSync::AwaitingSnapshot { since_ms } => now.since(since_ms) > SNAPSHOT_TIMEOUT_MS,
            EventSync::NoEvents | EventSync::Complete => report.first_sequence > expected,
        };
        if needs_snapshot {
            cache.event_sync = EventSync::AwaitingSnapshot { since_ms: now };
        } else if cache.event_sync == EventSync::NoEvents {
            cache.event_sync = EventSync::Complete;
        }
        let known_changes = usize::try_from(known_changes).unwrap_or(usize::MAX);
        for change in report.changes.iter().skip(known_changes) {
            match *change {
                CacheChange::Stored(piece) => self.touch(piece, epoch, now),
                CacheChange::Evicted(piece) => self.shard_mut(piece).remove((piece, epoch)),
            }
        }
        needs_snapshot.then_some(expected)
    }

    /// Replaces the entries of a worker by a snapshot of its cache.
    pub fn apply_snapshot(&mut self, snapshot: &CacheSnapshot, now: TimeMs) {
        let worker = snapshot.worker;
        let Some(epoch) = self.workers.get(&worker).map(|cache| cache.epoch) else {
            return;
        };
        self.epochs.remove(&epoch);
        let epoch = self.start_epoch(worker);
        if let Some(cache) = self.workers.get_mut(&worker) {
            cache.epoch = epoch;
            cache.next_sequence = snapshot.next_sequence;
            cache.event_sync = EventSync::Complete;
        }
        for piece in &snapshot.pieces {
            self.touch(*piece, epoch, now);
        }
    }

    /// Returns the workers that are assumed to cache a prefix of a prompt, with its length.
    #[must_use]
    pub fn holders(&self, chain: &PrefixChain, now: TimeMs) -> Vec<Holder> {
        let Some(first) = chain.pieces.first() else {
            return Vec::new();
        };
        let mut searches: Vec<PrefixSearch> = self
            .shard(*first)
            .entries_of(*first)
            .iter()
            .filter_map(|entry| self.start_search(entry.epoch))
            .collect();
        let mut holders = Vec::with_capacity(searches.len());
        for (depth, piece) in chain.pieces.iter().enumerate() {
            if searches.is_empty() {
                return holders;
            }
            let entries = self.shard(*piece).entries_of(*piece);
            searches.retain_mut(|search| {
                let is_cached = self.extend_search(search, entries, now);
                if !is_cached && depth > 0 {
                    holders.push(search.holder(depth));
                }
                is_cached
            });
        }
        holders.extend(
            searches
                .iter()
                .map(|search| search.holder(chain.pieces.len())),
        );
        holders
    }

    fn start_search(&self, epoch: CacheEpoch) -> Option<PrefixSearch> {
        let worker = *self.epochs.get(&epoch)?;
        let cache = self.workers.get(&worker)?;
        Some(PrefixSearch {
            epoch,
            worker,
            expiry_ms: cache.expiry_ms(),
            age_ms: DurationMs(0),
        })
    }

    /// Extends a search by one piece. Returns whether the worker caches it.
    fn extend_search(
        &self,
        search: &mut PrefixSearch,
        entries: &[CacheEntry],
        now: TimeMs,
    ) -> bool {
        let Ok(index) = entries.binary_search_by(|entry| entry.epoch.cmp(&search.epoch)) else {
            return false;
        };
        let age_ms = self.age_ms(entries[index].used_at, now);
        if age_ms > search.expiry_ms {
            return false;
        }
        search.age_ms = search.age_ms.max(age_ms);
        true
    }

    /// Returns the tokens in the longest prefix of `chain` that the worker is assumed to cache.
    #[must_use]
    pub fn cached_tokens(&self, worker: WorkerId, chain: &PrefixChain, now: TimeMs) -> Tokens {
        let holders = self.holders(chain, now);
        let holder = holders.iter().find(|holder| holder.worker == worker);
        holder.map(Holder::tokens).unwrap_or_default()
    }

    /// Returns the number of entries, including those of past epochs that are not evicted yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.entries.len()).sum()
    }

    /// Whether the index has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn touch(&mut self, piece: PieceHash, epoch: CacheEpoch, now: TimeMs) {
        let origin_ms = *self.origin_ms.get_or_insert(now);
        let used_at = u32::try_from(now.since(origin_ms).0 / LAST_USED_STEP_MS).unwrap_or(u32::MAX);
        self.shard_mut(piece).touch(CacheEntry {
            piece,
            epoch,
            used_at,
        });
    }

    fn age_ms(&self, used_at: u32, now: TimeMs) -> DurationMs {
        let origin_ms = self.origin_ms.unwrap_or_default();
        now.since(origin_ms.after(DurationMs(u64::from(used_at) * LAST_USED_STEP_MS)))
    }

    fn shard(&self, piece: PieceHash) -> &Shard {
        &self.shards[shard_of(piece)]
    }

    fn shard_mut(&mut self, piece: PieceHash) -> &mut Shard {
        &mut self.shards[shard_of(piece)]
    }
}

impl PrefixSearch {
    const fn holder(&self, pieces: usize) -> Holder {
        Holder {
            worker: self.worker,
            pieces,
            age_ms: self.age_ms,
        }
    }
}

fn shard_of(piece: PieceHash) -> usize {
    usize::try_from(piece.0 >> SHARD_SHIFT).unwrap_or_default()
}
