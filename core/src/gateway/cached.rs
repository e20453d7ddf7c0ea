//! Estimates which backend servers and KV cache stores hold which parts of prompts.
//!
//! The estimate is derived from the requests of this entry VM and of its peers. An error costs a
//! failed fetch or a prefill, never a wrong answer, since engines check the scope themselves.

use {
    crate::{
        id::{WeightsVersion, WorkerId},
        unit::{DurationMs, TimeMs, Tokens},
        vec_map::VecMap,
    },
    derive_more::{Display, From, FromStr, Into},
    serde::{Deserialize, Serialize},
    std::iter,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// How long a part is assumed to stay in an engine's cache after its last use. Engines evict the
/// least recently used parts, which takes longer than this at the usual load.
const ENGINE_TTL_MS: DurationMs = DurationMs(8_000);
/// How long a part is assumed to stay in a KV cache store, which is larger than an engine's memory
/// and receives only the parts that it lacks.
const STORE_TTL_MS: DurationMs = DurationMs(25_000);
/// Minimum time between two reports of the same part and server to the other entry VMs: a small
/// part of the TTLs.
const REPORT_INTERVAL_MS: DurationMs = DurationMs(2_500);
/// Maximum number of holders tracked for a part. More are not needed to find an idle one.
const MAX_HOLDERS: usize = 6;
/// Maximum number of tracked parts. The least recently used half is dropped at this limit.
const MAX_PARTS: usize = 6_000;

/// A named part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The hash of the part's name.
    pub id: u64,
    /// The part's length.
    pub tokens: Tokens,
}

/// The customers that are isolated: a hash of their names, the same in all entry VMs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
pub struct IsolatedSet(pub u64);

impl IsolatedSet {
    /// The set of customers with these names, in any order.
    #[must_use]
    pub fn new<'a, I>(names: I) -> Self
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut names: Vec<&str> = names.into_iter().collect();
        names.sort_unstable();
        names.dedup();
        let add = |set, name: &&str| xxh3_64_with_seed(name.as_bytes(), set);
        Self(names.iter().fold(Self::default().0, add))
    }
}

/// The customers that share cached work with one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheGroup<'a> {
    /// All that aren't isolated, while the given ones are. A customer that becomes isolated leaves cached
    /// parts behind, which nobody knows from those of others, so that the rest begin anew.
    Common(IsolatedSet),
    /// One isolated customer, by its name.
    Isolated(&'a str),
}

/// A hash of everything that two requests must have in common to share cached work: the model,
/// its weights and the group of their customers.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, FromStr, Into,
)]
pub struct CacheScope(pub u64);

impl CacheScope {
    /// The scope of requests of a group to a model.
    #[must_use]
    pub fn new(model: &str, weights: WeightsVersion, group: CacheGroup<'_>) -> Self {
        let seed = xxh3_64_with_seed(model.as_bytes(), weights.0);
        Self(match group {
            CacheGroup::Common(IsolatedSet(0)) => seed,
            CacheGroup::Common(isolated) => xxh3_64_with_seed(&isolated.0.to_le_bytes(), seed),
            CacheGroup::Isolated(name) => xxh3_64_with_seed(name.as_bytes(), !seed),
        })
    }
}

/// The hash of the prompt's prefix up to and including each part. A part is cached only together
/// with all parts before it.
#[must_use]
pub fn hash_prefixes(parts: &[PromptPart]) -> Vec<u64> {
    parts
        .iter()
        .scan(0, |seed, part| {
            *seed = xxh3_64_with_seed(&part.id.to_le_bytes(), *seed);
            Some(*seed)
        })
        .collect()
}

/// The key of a part within a scope, the same in all entry VMs.
fn scoped_key(scope: CacheScope, prefix_hash: u64) -> u64 {
    xxh3_64_with_seed(&prefix_hash.to_le_bytes(), scope.0)
}

/// The keys of the parts of a prompt that other requests can share: all but the last one, which
/// belongs to the request alone. `prefix_hashes` is the result of [`hash_prefixes`].
pub fn shared_keys(scope: CacheScope, prefix_hashes: &[u64]) -> impl Iterator<Item = u64> {
    let shared = prefix_hashes
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(move |hash| scoped_key(scope, *hash))
}

/// The score of a backend server for a key in rendezvous hashing, the same in all entry VMs. The
/// server with the highest score is the key's home.
#[must_use]
pub fn rendezvous_score(key: u64, worker: WorkerId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&worker.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// How far a server or store is with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PartState {
    /// An engine is prefilling the part, or has it in its queue.
    Prefilling,
    /// An engine has the part in its cache.
    Cached,
    /// A KV cache store has the part.
    Stored,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    worker: WorkerId,
    used_at_ms: TimeMs,
    reported_at_ms: TimeMs,
    state: PartState,
}

impl Holder {
    fn is_current(&self, now: TimeMs) -> bool {
        let ttl = match self.state {
            PartState::Stored => STORE_TTL_MS,
            PartState::Cached | PartState::Prefilling => ENGINE_TTL_MS,
        };
        now.since(self.used_at_ms) < ttl
    }
}

/// A report that a server or store holds a part, or is prefilling it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// The part's key, one of [`shared_keys`].
    pub part: u64,
    /// The backend server or KV cache store.
    pub worker: WorkerId,
    /// The state of the part there.
    pub state: PartState,
}

/// The assumed holders of all tracked parts.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    parts: VecMap<u64, Vec<Holder>>,
}

impl CachedParts {
    /// Records an update that another entry VM reported.
    pub fn record(&mut self, update: PartUpdate, now: TimeMs) {
        let holder = self.holder(update, now);
        holder.reported_at_ms = now;
    }

    /// Records an update from a request of this entry VM. Returns whether to report it to the other
    /// entry VMs: not if the same was reported within `REPORT_INTERVAL_MS`.
    pub fn record_local(&mut self, update: PartUpdate, now: TimeMs) -> bool {
        let known = self.parts.get(&update.part).into_iter().flatten();
        let mut known = known.filter(|holder| holder.worker == update.worker);
        let is_new = !known.any(|holder| {
            holder.state >= update.state && now.since(holder.reported_at_ms) < REPORT_INTERVAL_MS
        });
        let holder = self.holder(update, now);
        if is_new {
            holder.reported_at_ms = now;
        }
        is_new
    }

    fn holder(&mut self, update: PartUpdate, now: TimeMs) -> &mut Holder {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains(&update.part) {
            self.drop_oldest(now);
        }
        let holders = self.parts.get_or_insert_with(update.part, Vec::new);
        let known = holders
            .iter()
            .position(|holder| holder.worker == update.worker);
        let index = known.unwrap_or_else(|| {
            if holders.len() >= MAX_HOLDERS {
                holders.sort_by_key(|holder| holder.used_at_ms);
                holders.remove(0);
            }
            holders.push(Holder {
                worker: update.worker,
                used_at_ms: now,
                reported_at_ms: TimeMs(0),
                state: update.state,
            });
            holders.len() - 1
        });
        let holder = &mut holders[index];
        holder.used_at_ms = now;
        holder.state = holder.state.max(update.state);
        holder
    }

    /// Removes a server or store from the holders of all parts.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| holder.worker != worker);
            !holders.is_empty()
        });
    }

    /// Whether a server or store holds a part or is prefilling it.
    #[must_use]
    pub fn holds(&self, part: u64, worker: WorkerId, now: TimeMs) -> bool {
        self.holders(part, now).any(|holder| holder == worker)
    }

    /// Whether any server or store holds a part or is prefilling it.
    #[must_use]
    pub fn is_held(&self, part: u64, now: TimeMs) -> bool {
        self.holders(part, now).next().is_some()
    }

    /// Whether so many servers hold a part that one more copy matters to none.
    #[must_use]
    pub fn is_widespread(&self, part: u64, now: TimeMs) -> bool {
        self.holders(part, now).count() >= MAX_HOLDERS
    }

    /// The servers and stores from which a part can be fetched.
    pub fn sources(&self, part: u64, now: TimeMs) -> impl Iterator<Item = WorkerId> {
        let holders = self.parts.get(&part).into_iter().flatten();
        holders
            .filter(move |holder| holder.state > PartState::Prefilling && holder.is_current(now))
            .map(|holder| holder.worker)
    }

    /// The servers and stores that hold a part or are prefilling it.
    pub fn holders(&self, part: u64, now: TimeMs) -> impl Iterator<Item = WorkerId> {
        let holders = self.parts.get(&part).into_iter().flatten();
        holders
            .filter(move |holder| holder.is_current(now))
            .map(|holder| holder.worker)
    }

    /// The number of consecutive parts, from the first, that a server or store holds or is
    /// prefilling. Whoever holds a part holds all parts before it, even where these have more holders
    /// than are tracked.
    #[must_use]
    pub fn cached_len(&self, parts: &[u64], worker: WorkerId, now: TimeMs) -> usize {
        let last = parts
            .iter()
            .rposition(|part| self.holds(*part, worker, now));
        last.map_or(0, |index| index + 1)
    }

    /// The number of consecutive parts, from the first, that can be fetched from a server or store.
    #[must_use]
    pub fn fetchable_len(&self, parts: &[u64], worker: WorkerId, now: TimeMs) -> usize {
        let last = parts
            .iter()
            .rposition(|part| self.sources(*part, now).any(|source| source == worker));
        last.map_or(0, |index| index + 1)
    }

    /// The number of tracked parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Drops the parts that have not been used for longer than the median.
    fn drop_oldest(&mut self, now: TimeMs) {
        let mut ages: Vec<u64> = self.parts.iter().map(|row| age_ms(row.1, now)).collect();
        ages.sort_unstable();
        let Some(median) = ages.get(ages.len() / 2).copied() else {
            return;
        };
        self.parts
            .retain(|_, holders| age_ms(holders, now) < median.max(1));
    }
}

/// The time since any holder of a part used it.
fn age_ms(holders: &[Holder], now: TimeMs) -> u64 {
    let ages = holders.iter().map(|holder| now.since(holder.used_at_ms).0);
    ages.chain(iter::once(u64::MAX)).min().unwrap_or(u64::MAX)
}
