//! What is believed to be cached, by worker and the worker's life.
//!
//! Beliefs come from what was sent to a worker, from what its answers say was cached, and from its
//! cache events. They live in small sorted vectors, picked by the piece's hash, so that memory is
//! bounded and an insertion moves a few kilobytes at the most; a full vector drops the belief that
//! was used least recently.

use crate::{
    event::{CacheChange, CacheReport, CacheSnapshot},
    id::{CacheSequence, Incarnation, PieceHash, WorkerId},
    prefix::{PIECE_TOKENS, PrefixChain},
    unit::{DurationMs, TimeMs, Tokens, TokensPerSecond},
    vec_map::VecMap,
};

/// Workers that are remembered for one piece at the most.
pub const MAX_HOLDERS: usize = 32;
/// Beliefs that one of the sorted vectors keeps at the most.
pub const SHARD_CAPACITY: usize = 256;
/// Sorted vectors. Together they keep about a million beliefs, of 16 bytes each.
const SHARDS: usize = 4_096;
const SHARD_SHIFT: u32 = u64::BITS - SHARDS.trailing_zeros();
/// How long pieces are believed to stay cached before a worker has told how many it holds.
const DEFAULT_RETENTION_MS: DurationMs = DurationMs(30_000);
const MIN_RETENTION_MS: DurationMs = DurationMs(100);
const MAX_RETENTION_MS: DurationMs = DurationMs(600_000);
/// The time after which a whole cache that was asked for is asked for again.
const SNAPSHOT_LIMIT_MS: DurationMs = DurationMs(2_000);
/// The step in which the time of the last use is kept.
const USE_STEP_MS: u64 = 64;

/// A worker that is believed to hold the start of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The worker.
    pub worker: WorkerId,
    /// How many pieces of the prompt it holds.
    pub pieces: usize,
    /// The time since the least recent use of one of them.
    pub age_ms: DurationMs,
}

impl Holder {
    /// The tokens that it holds.
    #[must_use]
    pub const fn tokens(&self) -> Tokens {
        Tokens(self.pieces as u64 * PIECE_TOKENS)
    }
}

/// The number of one life of one worker in this index; a replaced cache counts as a new life.
type Life = u32;

#[derive(Clone, Copy, Debug)]
struct Belief {
    piece: PieceHash,
    life: Life,
    used: u32,
}

impl Belief {
    const fn key(&self) -> (PieceHash, Life) {
        (self.piece, self.life)
    }
}

#[derive(Debug, Default)]
struct Shard {
    beliefs: Vec<Belief>,
}

impl Shard {
    fn of_piece(&self, piece: PieceHash) -> &[Belief] {
        let start = self.beliefs.partition_point(|belief| belief.piece < piece);
        let rest = &self.beliefs[start..];
        let len = rest.partition_point(|belief| belief.piece == piece);
        &rest[..len]
    }

    fn touch(&mut self, fresh: Belief) {
        match self.search(fresh.key()) {
            Ok(at) => self.beliefs[at].used = self.beliefs[at].used.max(fresh.used),
            Err(_) => self.insert(fresh),
        }
    }

    fn insert(&mut self, fresh: Belief) {
        let same = self.of_piece(fresh.piece);
        if same.len() >= MAX_HOLDERS {
            let oldest = oldest(same);
            self.remove(oldest);
        } else if self.beliefs.len() >= SHARD_CAPACITY {
            let oldest = oldest(&self.beliefs);
            self.remove(oldest);
        }
        if let Err(at) = self.search(fresh.key()) {
            self.beliefs.insert(at, fresh);
        }
    }

    fn remove(&mut self, key: (PieceHash, Life)) {
        if let Ok(at) = self.search(key) {
            self.beliefs.remove(at);
        }
    }

    fn search(&self, key: (PieceHash, Life)) -> Result<usize, usize> {
        self.beliefs
            .binary_search_by(|belief| belief.key().cmp(&key))
    }
}

fn oldest(beliefs: &[Belief]) -> (PieceHash, Life) {
    beliefs
        .iter()
        .min_by_key(|belief| belief.used)
        .map(Belief::key)
        .unwrap_or_default()
}

/// How well a worker's cache events are followed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Following {
    /// No events have come.
    #[default]
    Not,
    /// All changes up to the next sequence number are known.
    Whole,
    /// Some are missing; the whole cache was asked for.
    Asked { at_ms: TimeMs },
}

#[derive(Debug)]
struct WorkerCache {
    incarnation: Incarnation,
    life: Life,
    next_sequence: CacheSequence,
    following: Following,
    retention_ms: DurationMs,
    retention_learned: bool,
}

impl WorkerCache {
    const fn open(incarnation: Incarnation, life: Life) -> Self {
        Self {
            incarnation,
            life,
            next_sequence: CacheSequence(0),
            following: Following::Not,
            retention_ms: DEFAULT_RETENTION_MS,
            retention_learned: false,
        }
    }

    fn expiry_ms(&self) -> DurationMs {
        match self.following {
            Following::Whole => MAX_RETENTION_MS,
            Following::Not | Following::Asked { .. } => self.retention_ms,
        }
    }
}

struct Walk {
    life: Life,
    worker: WorkerId,
    expiry_ms: DurationMs,
    age_ms: DurationMs,
}

/// What is believed to be cached on each worker.
#[derive(Debug)]
pub struct CacheIndex {
    shards: Vec<Shard>,
    workers: VecMap<WorkerId, WorkerCache>,
    lives: VecMap<Life, WorkerId>,
    last_life: Life,
    origin_ms: Option<TimeMs>,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
            workers: VecMap::default(),
            lives: VecMap::default(),
            last_life: 0,
            origin_ms: None,
        }
    }
}

impl CacheIndex {
    /// Makes `incarnation` the worker's life. What was cached in another life is forgotten.
    pub fn set_incarnation(&mut self, worker: WorkerId, incarnation: Incarnation) {
        let known = self.workers.get(&worker).map(|cache| cache.incarnation);
        if known == Some(incarnation) {
            return;
        }
        self.remove_worker(worker);
        let life = self.new_life(worker);
        self.workers
            .insert(worker, WorkerCache::open(incarnation, life));
    }

    fn new_life(&mut self, worker: WorkerId) -> Life {
        self.last_life = self.last_life.wrapping_add(1);
        self.lives.insert(self.last_life, worker);
        self.last_life
    }

    /// Forgets a worker.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        if let Some(cache) = self.workers.remove(&worker) {
            self.lives.remove(&cache.life);
        }
    }

    /// Takes the size of a worker's cache in. A piece can't be evicted by newer ones before the
    /// worker has had the time to compute as many as it holds.
    pub fn set_capacity(&mut self, worker: WorkerId, pieces: u64, prefill_rate: TokensPerSecond) {
        let Some(cache) = self.workers.get_mut(&worker) else {
            return;
        };
        if cache.retention_learned || pieces == 0 {
            return;
        }
        let turnover = prefill_rate.time_for(Tokens(pieces.saturating_mul(PIECE_TOKENS)));
        cache.retention_ms = turnover.clamp(MIN_RETENTION_MS, MAX_RETENTION_MS);
    }

    /// How long the worker is believed to keep pieces that are not used.
    #[must_use]
    pub fn retention_ms(&self, worker: WorkerId) -> DurationMs {
        let cache = self.workers.get(&worker);
        cache.map(|cache| cache.retention_ms).unwrap_or_default()
    }

    /// Notes that the worker caches the whole prompt, or soon will.
    pub fn insert_prompt(&mut self, worker: WorkerId, chain: &PrefixChain, now: TimeMs) {
        let Some(life) = self.workers.get(&worker).map(|cache| cache.life) else {
            return;
        };
        for piece in &chain.pieces {
            self.touch(*piece, life, now);
        }
    }

    /// Forgets that the worker holds any but the first `from` pieces of the prompt.
    pub fn remove_tail(&mut self, worker: WorkerId, chain: &PrefixChain, from: usize) {
        let Some(life) = self.workers.get(&worker).map(|cache| cache.life) else {
            return;
        };
        for piece in chain.pieces.iter().skip(from) {
            self.shard_mut(*piece).remove((*piece, life));
        }
    }

    /// Compares what an answer said was cached with what was believed when it was sent: corrects
    /// how long the worker is believed to keep pieces.
    pub fn adjust_retention(
        &mut self,
        worker: WorkerId,
        believed_pieces: usize,
        age_ms: DurationMs,
        cached_pieces: usize,
    ) {
        let Some(cache) = self.workers.get_mut(&worker) else {
            return;
        };
        let kept = cache.retention_ms.0;
        let next = if cached_pieces < believed_pieces {
            kept.min(age_ms.0) * 3 / 4
        } else if cached_pieces > believed_pieces {
            kept * 9 / 8
        } else if believed_pieces > 0 {
            kept.max(age_ms.0 * 5 / 4)
        } else {
            return;
        };
        cache.retention_learned = true;
        cache.retention_ms = DurationMs(next).clamp(MIN_RETENTION_MS, MAX_RETENTION_MS);
    }

    /// Takes changes of a worker's cache in. Returns the last change that is known when some are
    /// missing and the whole cache has to be asked for.
    pub fn apply_report(&mut self, report: &CacheReport, now: TimeMs) -> Option<CacheSequence> {
        let cache = self.workers.get_mut(&report.worker)?;
        let (expected, life) = (cache.next_sequence, cache.life);
        let known = expected.0.saturating_sub(report.first_sequence.0);
        let next = report.first_sequence.0 + report.changes.len() as u64;
        cache.next_sequence = CacheSequence(next.max(expected.0));
        let asks = match cache.following {
            Following::Asked { at_ms } => now.since(at_ms) > SNAPSHOT_LIMIT_MS,
            Following::Not | Following::Whole => report.first_sequence > expected,
        };
        if asks {
            cache.following = Following::Asked { at_ms: now };
        } else if cache.following == Following::Not {
            cache.following = Following::Whole;
        }
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        for change in report.changes.iter().skip(known) {
            match *change {
                CacheChange::Stored(piece) => self.touch(piece, life, now),
                CacheChange::Evicted(piece) => self.shard_mut(piece).remove((piece, life)),
            }
        }
        asks.then_some(expected)
    }

    /// Replaces what is believed of a worker by its whole cache.
    pub fn apply_snapshot(&mut self, snapshot: &CacheSnapshot, now: TimeMs) {
        let worker = snapshot.worker;
        let Some(life) = self.workers.get(&worker).map(|cache| cache.life) else {
            return;
        };
        self.lives.remove(&life);
        let life = self.new_life(worker);
        if let Some(cache) = self.workers.get_mut(&worker) {
            cache.life = life;
            cache.next_sequence = snapshot.next_sequence;
            cache.following = Following::Whole;
        }
        for piece in &snapshot.pieces {
            self.touch(*piece, life, now);
        }
    }

    /// The workers that are believed to hold the start of a prompt, and how much of it.
    #[must_use]
    pub fn holders(&self, chain: &PrefixChain, now: TimeMs) -> Vec<Holder> {
        let Some(first) = chain.pieces.first() else {
            return Vec::new();
        };
        let mut walks: Vec<Walk> = self
            .shard(*first)
            .of_piece(*first)
            .iter()
            .filter_map(|belief| self.walk(belief.life))
            .collect();
        let mut found = Vec::with_capacity(walks.len());
        for (depth, piece) in chain.pieces.iter().enumerate() {
            if walks.is_empty() {
                return found;
            }
            let beliefs = self.shard(*piece).of_piece(*piece);
            walks.retain_mut(|walk| {
                let goes_on = self.step(walk, beliefs, now);
                if !goes_on && depth > 0 {
                    found.push(walk.holder(depth));
                }
                goes_on
            });
        }
        found.extend(walks.iter().map(|walk| walk.holder(chain.pieces.len())));
        found
    }

    fn walk(&self, life: Life) -> Option<Walk> {
        let worker = *self.lives.get(&life)?;
        let cache = self.workers.get(&worker)?;
        Some(Walk {
            life,
            worker,
            expiry_ms: cache.expiry_ms(),
            age_ms: DurationMs(0),
        })
    }

    fn step(&self, walk: &mut Walk, beliefs: &[Belief], now: TimeMs) -> bool {
        let Ok(at) = beliefs.binary_search_by(|belief| belief.life.cmp(&walk.life)) else {
            return false;
        };
        let age_ms = self.age(beliefs[at].used, now);
        if age_ms > walk.expiry_ms {
            return false;
        }
        walk.age_ms = walk.age_ms.max(age_ms);
        true
    }

    /// The tokens of the longest prefix of `chain` that is believed to be cached on the worker.
    #[must_use]
    pub fn cached_tokens(&self, worker: WorkerId, chain: &PrefixChain, now: TimeMs) -> Tokens {
        let holders = self.holders(chain, now);
        let held = holders.iter().find(|holder| holder.worker == worker);
        held.map(Holder::tokens).unwrap_or_default()
    }

    /// The number of beliefs, including those of past lives that are not yet dropped.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.beliefs.len()).sum()
    }

    /// Whether nothing is believed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn touch(&mut self, piece: PieceHash, life: Life, now: TimeMs) {
        let origin = *self.origin_ms.get_or_insert(now);
        let used = u32::try_from(now.since(origin).0 / USE_STEP_MS).unwrap_or(u32::MAX);
        self.shard_mut(piece).touch(Belief { piece, life, used });
    }

    fn age(&self, used: u32, now: TimeMs) -> DurationMs {
        let origin = self.origin_ms.unwrap_or_default();
        now.since(origin.after(DurationMs(u64::from(used) * USE_STEP_MS)))
    }

    fn shard(&self, piece: PieceHash) -> &Shard {
        &self.shards[shard_of(piece)]
    }

    fn shard_mut(&mut self, piece: PieceHash) -> &mut Shard {
        &mut self.shards[shard_of(piece)]
    }
}

impl Walk {
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
