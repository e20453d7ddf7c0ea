//! Which backend server probably holds which parts of prompts.
//!
//! Learnt from answered requests of this entry VM and of its peers. A belief that is wrong costs
//! a failed fetch or a read, never a wrong answer: engines check the scope themselves.

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

/// How long a part is believed to stay cached after its last use. Engines evict the least
/// recently used parts; at the deployments' usual load that takes longer than this.
const BELIEVED_MS: DurationMs = DurationMs(8_000);
/// How long a part is believed to stay in a store of kept KV cache: it is larger than an engine's
/// memory and takes in only what it lacks.
const KEPT_BELIEVED_MS: DurationMs = DurationMs(25_000);
/// How long after a use was told to the other entry VMs the next one is not: a small part of the
/// time for which a part is believed to stay.
const TOLD_AGAIN_MS: DurationMs = DurationMs(2_500);
/// Holders that are remembered for one part. More are not needed to find one that is idle.
const MAX_HOLDERS: usize = 6;
/// Parts that are remembered. Beyond these the ones that were not used for the longest time go.
const MAX_PARTS: usize = 6_000;

/// A named part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The hash of its name.
    pub id: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// What two requests must have in common to share cached work: the model, its weights and, for
/// an isolated customer, the customer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, FromStr, Into,
)]
pub struct CacheScope(pub u64);

impl CacheScope {
    /// The scope of a model's requests. `isolated_customer` names the customer if it is isolated.
    #[must_use]
    pub fn new(model: &str, weights: WeightsVersion, isolated_customer: Option<&str>) -> Self {
        let seed = xxh3_64_with_seed(model.as_bytes(), weights.0);
        Self(isolated_customer.map_or(seed, |name| xxh3_64_with_seed(name.as_bytes(), !seed)))
    }
}

/// The position of each part within its prompt: a part counts as cached only behind all parts
/// before it.
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

/// A key of a part that is the same in all entry VMs.
fn scoped(scope: CacheScope, link: u64) -> u64 {
    xxh3_64_with_seed(&link.to_le_bytes(), scope.0)
}

/// The keys of the parts of a prompt that others may share: all but the last one, which is the
/// request's own. `prefix_hashes` is [`hash_prefixes`] the parts.
pub fn shared_keys(scope: CacheScope, prefix_hashes: &[u64]) -> impl Iterator<Item = u64> {
    let shared = prefix_hashes
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(move |link| scoped(scope, *link))
}

/// Ranks a backend server for a key, in the same way in every entry VM. The highest is the home.
#[must_use]
pub fn rendezvous_score(key: u64, worker: WorkerId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&worker.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// How somebody holds a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PartState {
    /// An engine is about to read it, or is reading it.
    Prefilling,
    /// An engine has read it.
    Cached,
    /// A store of kept KV cache has it.
    Stored,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    worker: WorkerId,
    used_at_ms: TimeMs,
    told_at_ms: TimeMs,
    state: PartState,
}

impl Holder {
    fn is_believed(&self, now: TimeMs) -> bool {
        let believed = match self.state {
            PartState::Stored => KEPT_BELIEVED_MS,
            PartState::Cached | PartState::Prefilling => BELIEVED_MS,
        };
        now.since(self.used_at_ms) < believed
    }
}

/// A note that a backend server has read a part, or is about to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// The part, one of [`shared_keys`].
    pub part: u64,
    /// Who holds it.
    pub worker: WorkerId,
    /// How.
    pub state: PartState,
}

/// The beliefs about all parts.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    parts: VecMap<u64, Vec<Holder>>,
}

impl CachedParts {
    /// Notes what another entry VM tells: that somebody holds a part, or is about to read it.
    pub fn record(&mut self, update: PartUpdate, now: TimeMs) {
        let holder = self.holder(update, now);
        holder.told_at_ms = now;
    }

    /// Notes what a request of this entry VM does. Gives back whether the others are to be told:
    /// they are not when they have heard the same a moment ago.
    pub fn record_local(&mut self, update: PartUpdate, now: TimeMs) -> bool {
        let known = self.parts.get(&update.part).into_iter().flatten();
        let mut known = known.filter(|holder| holder.worker == update.worker);
        let is_news = !known.any(|holder| {
            holder.state >= update.state && now.since(holder.told_at_ms) < TOLD_AGAIN_MS
        });
        let holder = self.holder(update, now);
        if is_news {
            holder.told_at_ms = now;
        }
        is_news
    }

    fn holder(&mut self, update: PartUpdate, now: TimeMs) -> &mut Holder {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains(&update.part) {
            self.drop_oldest(now);
        }
        let holders = self.parts.get_or_insert_with(update.part, Vec::new);
        let known = holders
            .iter()
            .position(|holder| holder.worker == update.worker);
        let at = known.unwrap_or_else(|| {
            if holders.len() >= MAX_HOLDERS {
                holders.sort_by_key(|holder| holder.used_at_ms);
                holders.remove(0);
            }
            holders.push(Holder {
                worker: update.worker,
                used_at_ms: now,
                told_at_ms: TimeMs(0),
                state: update.state,
            });
            holders.len() - 1
        });
        let holder = &mut holders[at];
        holder.used_at_ms = now;
        holder.state = holder.state.max(update.state);
        holder
    }

    /// Forgets all that a backend server held.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| holder.worker != worker);
            !holders.is_empty()
        });
    }

    /// Whether a backend server is believed to hold a part.
    #[must_use]
    pub fn holds(&self, part: u64, worker: WorkerId, now: TimeMs) -> bool {
        self.holders(part, now).any(|holder| holder == worker)
    }

    /// Whether anybody holds a part or is about to.
    #[must_use]
    pub fn is_held(&self, part: u64, now: TimeMs) -> bool {
        self.holders(part, now).next().is_some()
    }

    /// All that have read a part, so that others can fetch it there.
    pub fn sources(&self, part: u64, now: TimeMs) -> impl Iterator<Item = WorkerId> {
        let holders = self.parts.get(&part).into_iter().flatten();
        holders
            .filter(move |holder| holder.state > PartState::Prefilling && holder.is_believed(now))
            .map(|holder| holder.worker)
    }

    /// All that hold a part or are about to.
    pub fn holders(&self, part: u64, now: TimeMs) -> impl Iterator<Item = WorkerId> {
        let holders = self.parts.get(&part).into_iter().flatten();
        holders
            .filter(move |holder| holder.is_believed(now))
            .map(|holder| holder.worker)
    }

    /// How many of the parts, from the first on, a backend server is believed to hold.
    #[must_use]
    pub fn cached_len(&self, parts: &[u64], worker: WorkerId, now: TimeMs) -> usize {
        let held = parts.iter().map(|part| self.holds(*part, worker, now));
        held.take_while(|held| *held).count()
    }

    /// How many of the parts, from the first on, a backend server has read.
    #[must_use]
    pub fn fetchable_len(&self, parts: &[u64], worker: WorkerId, now: TimeMs) -> usize {
        let read = parts
            .iter()
            .map(|part| self.sources(*part, now).any(|source| source == worker));
        read.take_while(|read| *read).count()
    }

    /// The parts that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

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

fn age_ms(holders: &[Holder], now: TimeMs) -> u64 {
    let ages = holders.iter().map(|holder| now.since(holder.used_at_ms).0);
    ages.chain(iter::once(u64::MAX)).min().unwrap_or(u64::MAX)
}
