//! Estimates what requests hold in the memory of an engine, and whether a further one fits.
//!
//! Running requests and cached parts of prompts share an engine's memory. When it runs out, the engine
//! preempts requests and prefills them again later.

use {
    super::{
        backend::{MILLI, decay},
        cached::{ENGINE_TTL_MS, PromptPart},
    },
    crate::{
        unit::{DurationMs, TimeMs, Tokens},
        vec_map::VecMap,
    },
    derive_more::{Display, From, FromStr, Into},
    serde::{Deserialize, Serialize},
};

/// How long a request is assumed to stay at an engine before one has ended there.
const DEFAULT_STAY_MS: DurationMs = DurationMs(1_000);
/// Weight of the newest request in the moving average of how long requests stay.
const STAY_WEIGHT_PERCENT: u64 = 20;
/// Tokens of one block.
const TOKENS_PER_BLOCK: u64 = 256;

/// A number of tokens in blocks of 256, rounded up: short enough for messages of which there are many.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct TokenBlocks(pub u16);

impl From<Tokens> for TokenBlocks {
    fn from(tokens: Tokens) -> Self {
        let blocks = tokens.0.div_ceil(TOKENS_PER_BLOCK);
        Self(u16::try_from(blocks).unwrap_or(u16::MAX))
    }
}

impl From<TokenBlocks> for Tokens {
    fn from(blocks: TokenBlocks) -> Self {
        Self(u64::from(blocks.0) * TOKENS_PER_BLOCK)
    }
}

/// What a request holds in the memory of the engine that runs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemoryNeed {
    /// The keys and sizes of the parts that other requests can use at the same time.
    shared: Vec<(u64, Tokens)>,
    /// The part that belongs to the request alone, and its longest answer.
    private_tokens: Tokens,
}

impl MemoryNeed {
    /// The need of a request. `keys` are those of its shared parts, the first ones of `parts`.
    #[must_use]
    pub fn new(keys: &[u64], parts: &[PromptPart], max_answer_tokens: Tokens) -> Self {
        let shared = keys.iter().copied();
        let shared = shared.zip(parts.iter().map(|part| part.tokens)).collect();
        let private = parts.get(keys.len()..).unwrap_or_default();
        Self {
            shared,
            private_tokens: Tokens(total(private).0.saturating_add(max_answer_tokens.0)),
        }
    }

    /// The tokens that the request adds at an engine where the first `present` shared parts are already.
    #[must_use]
    pub fn added_tokens(&self, present: usize) -> Tokens {
        let shared = self.shared.iter().skip(present);
        sum(shared.map(|part| part.1).chain([self.private_tokens]))
    }
}

/// Whether an engine with this much memory can hold a prompt and a first token of the answer.
#[must_use]
pub fn can_hold(memory_tokens: Option<Tokens>, parts: &[PromptPart]) -> bool {
    memory_tokens.is_none_or(|memory| total(parts) < memory)
}

fn total(parts: &[PromptPart]) -> Tokens {
    sum(parts.iter().map(|part| part.tokens))
}

fn sum<I>(tokens: I) -> Tokens
where
    I: Iterator<Item = Tokens>,
{
    Tokens(tokens.fold(0, |sum, tokens| sum.saturating_add(tokens.0)))
}

/// The room that an engine has for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// The tokens by which the request doesn't fit; zero if it fits.
    pub missing_tokens: Tokens,
    /// Cached parts in use lately that the request would push out.
    pub evicted_tokens: Tokens,
    /// The expected time until the request fits.
    pub wait_ms: DurationMs,
}

impl Room {
    /// Whether the request fits now.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.missing_tokens == Tokens(0)
    }
}

/// A part that requests of this entry VM share.
#[derive(Clone, Copy, Debug)]
struct SharedPart {
    tokens: Tokens,
    users: u64,
    used_at_ms: TimeMs,
}

/// A request of this entry VM at the engine.
#[derive(Clone, Debug)]
struct OwnRequest {
    need: MemoryNeed,
    sent_at_ms: TimeMs,
}

/// The requests in an engine's memory, as far as this entry VM knows.
#[derive(Clone, Debug)]
pub struct EngineMemory {
    own: VecMap<u64, OwnRequest>,
    own_private_tokens: Tokens,
    shared: VecMap<u64, SharedPart>,
    /// The tokens and the number of other entry VMs' requests, both decaying, for their mean size.
    peers_tokens_milli: u64,
    peers_milli: u64,
    peers_at_ms: TimeMs,
    stay_ms: DurationMs,
}

impl Default for EngineMemory {
    fn default() -> Self {
        Self {
            own: VecMap::default(),
            own_private_tokens: Tokens(0),
            shared: VecMap::default(),
            peers_tokens_milli: 0,
            peers_milli: 0,
            peers_at_ms: TimeMs(0),
            stay_ms: DEFAULT_STAY_MS,
        }
    }
}

impl EngineMemory {
    /// Records a request that this entry VM sends. `request` identifies it until its end.
    pub fn record_started(&mut self, request: u64, need: MemoryNeed, now: TimeMs) {
        self.shared
            .retain(|_, part| part.users > 0 || now.since(part.used_at_ms) < ENGINE_TTL_MS);
        for (key, tokens) in &need.shared {
            let part = self.shared.get_or_insert_with(*key, || SharedPart {
                tokens: *tokens,
                users: 0,
                used_at_ms: now,
            });
            part.users += 1;
            part.used_at_ms = now;
        }
        self.own_private_tokens = sum([self.own_private_tokens, need.private_tokens].into_iter());
        let sent_at_ms = now;
        self.own.insert(request, OwnRequest { need, sent_at_ms });
    }

    /// Records the end of such a request. One that is unknown, since the engine has restarted, is
    /// ignored. `has_run` says whether its first token arrived.
    pub fn record_ended(&mut self, request: u64, has_run: bool, now: TimeMs) {
        let Some(OwnRequest { need, sent_at_ms }) = self.own.remove(&request) else {
            return;
        };
        self.own_private_tokens = self.own_private_tokens.saturating_sub(need.private_tokens);
        for (key, _) in &need.shared {
            if let Some(part) = self.shared.get_mut(key) {
                part.users = part.users.saturating_sub(1);
                part.used_at_ms = now;
            }
        }
        if has_run {
            let earlier = self.stay_ms.0 * (100 - STAY_WEIGHT_PERCENT);
            let newest = now.since(sent_at_ms).0 * STAY_WEIGHT_PERCENT;
            self.stay_ms = DurationMs((earlier + newest) / 100);
        }
    }

    /// Records a request of another entry VM, which adds this many tokens.
    pub fn record_sent_by_peer(&mut self, added: Tokens, now: TimeMs) {
        let age_ms = now.since(self.peers_at_ms);
        self.peers_tokens_milli =
            decay(self.peers_tokens_milli, age_ms).saturating_add(added.0.saturating_mul(MILLI));
        self.peers_milli = decay(self.peers_milli, age_ms) + MILLI;
        self.peers_at_ms = now;
    }

    /// The tokens that requests hold. `other_requests` is the number of other entry VMs' requests at
    /// the engine; each counts as `default_tokens` if no size of a request at the engine is known.
    #[must_use]
    pub fn held_tokens(&self, other_requests: u64, default_tokens: Tokens) -> Tokens {
        let own = sum(self
            .used_parts()
            .map(|part| part.tokens)
            .chain([self.own_private_tokens]));
        let own_count = self.own.len() as u64;
        let mean = self
            .peers_tokens_milli
            .checked_div(self.peers_milli)
            .or_else(|| self.own_private_tokens.0.checked_div(own_count))
            .unwrap_or(default_tokens.0);
        Tokens(own.0.saturating_add(mean.saturating_mul(other_requests)))
    }

    /// The room for a request in an engine with this much memory, while `other_requests` of other entry
    /// VMs are there.
    #[must_use]
    pub fn room(
        &self,
        need: &MemoryNeed,
        memory_tokens: Tokens,
        other_requests: u64,
        now: TimeMs,
    ) -> Room {
        let unused = need.shared.iter().filter(|(key, _)| !self.is_used(*key));
        let added = sum(unused.map(|part| part.1).chain([need.private_tokens])).min(memory_tokens);
        let held = self.held_tokens(other_requests, need.private_tokens);
        let used = sum([held, added].into_iter());
        let missing = used.saturating_sub(memory_tokens);
        let idle = self.shared.iter().filter(|(key, part)| {
            let is_needed = need.shared.iter().any(|needed| needed.0 == **key);
            part.users == 0 && !is_needed && now.since(part.used_at_ms) < ENGINE_TTL_MS
        });
        let idle = sum(idle.map(|row| row.1.tokens));
        let lacking = sum([used, idle].into_iter()).saturating_sub(memory_tokens);
        // In the mean time that a request stays, all that is held now becomes free.
        let wait_ms = self.stay_ms.0.saturating_mul(missing.0) / held.0.max(1);
        Room {
            missing_tokens: missing,
            evicted_tokens: lacking.min(idle),
            wait_ms: DurationMs(wait_ms),
        }
    }

    fn is_used(&self, key: u64) -> bool {
        self.shared.get(&key).is_some_and(|part| part.users > 0)
    }

    fn used_parts(&self) -> impl Iterator<Item = &SharedPart> {
        let parts = self.shared.iter().map(|row| row.1);
        parts.filter(|part| part.users > 0)
    }
}
