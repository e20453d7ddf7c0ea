//! Which backend server takes a request.

use {
    super::{
        backend::{ALWAYS_FAILS, Backend, BackendTable, READ_TOKENS_PER_MS},
        cached::{CacheScope, CachedParts, PromptPart, kept_store, rank, scoped},
        routing::ServiceSpec,
    },
    crate::{
        id::{WeightsVersion, WorkerId},
        unit::{DurationMs, TimeMs, Tokens},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// The cost of leaving the entry VM's failure domain, in milliseconds: bytes between failure
/// domains are paid for.
const OTHER_DOMAIN_MS: u64 = 12;
/// The cost of a backend server that always fails, in milliseconds: more than any queue that it
/// would be worth to avoid it for.
const FAILING_MS: u64 = 3_000;
/// The cost of reading a thousand shared tokens again beside the time that it takes, in
/// milliseconds: recomputed prompt work is paid for.
const REREAD_MS_PER_THOUSAND: u64 = 100;
/// How many times as long the store of kept KV cache takes for a transfer as an engine: its link
/// is slower and serves all engines.
const KEPT_STORE_SLOWER: u64 = 5;
/// The time that it takes to set up a fetch of cached parts, in milliseconds.
const FETCH_SETUP_MS: u64 = 4;
/// Reading without a break that streams bear, in milliseconds: shorter than their longest pause.
const STALL_FROM_MS: u64 = 90;
/// How much longer makes streams late for sure, in milliseconds.
const STALL_SPAN_MS: u64 = 140;
/// The cost of making one stream late, in milliseconds: two thirds of its worth.
const LATE_MS: u64 = 140;
/// The cost of one more request in an engine's batch, in milliseconds: each slows all others.
const BATCH_MS: u64 = 4;
/// The cost of a request that must wait for a slot of a plain service, in milliseconds: about
/// the work of one request.
const SLOT_WAIT_MS: u64 = 30;
/// The cost of each step away from a part's home, in milliseconds, as long as nobody holds it.
const RANK_MS: u64 = 8;
/// How long answers on the weights before the newest are still worth as much.
const OLD_WEIGHTS_FREE_MS: DurationMs = DurationMs(1_300);
/// The cost of older weights after that, in milliseconds: a fifth of the answer's worth is lost.
const OLD_WEIGHTS_MS: u64 = 150;
/// The time before older weights are no longer permitted in which none is used any more: what a
/// request may take on the way and in the engine's queue.
const OLD_WEIGHTS_MARGIN_MS: DurationMs = DurationMs(1_500);
/// How much sooner than that a server is told to stop, so that a request which has waited too long
/// in its queue doesn't begin: what the naming and the request take on the way.
const OLD_WEIGHTS_STOP_MS: DurationMs = DurationMs(300);
/// The cost of sending a long answer to an engine that is about to change its weights, and must
/// bring it to its end before.
const HELD_FROM_WRITING_MS: u64 = 1_500;
/// The cost of sending a short answer there.
const HELD_FROM_READING_MS: u64 = 150;
/// Prompt tokens for one token of the answer below which a request mostly writes. Writing a token
/// takes an engine about as long as reading this many.
const READ_TOKENS_PER_WRITTEN: u64 = 48;
/// The cost of each step away from the engines that write, in milliseconds.
const PACK_MS: u64 = 20;
/// Steps that count at the most: beyond these, one engine is as good as another.
const MAX_STEPS: u64 = 4;
/// The cost of reading a long prompt where others write, in milliseconds.
const WRITER_MS: u64 = 90;
/// The share of an engine's slots that requests which mostly write fill before the next engine is
/// taken, in percent.
const CROWDED_PERCENT: u64 = 45;
/// The cost of each further request there, in milliseconds.
const CROWD_MS: u64 = 12;

/// Where an engine finds cached parts that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fetch {
    /// At another engine.
    Engine(WorkerId),
    /// In the store of kept KV cache.
    KeptStore,
}

/// A backend server that takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub worker: WorkerId,
    /// Where it finds cached parts that it lacks.
    pub fetch: Option<Fetch>,
    /// Whether the parts are saved in the store of kept KV cache.
    pub saves: bool,
    /// Whether the request mostly writes.
    pub mostly_writes: bool,
    /// Prompt tokens that it is predicted to read.
    pub unread: Tokens,
    /// The weights that the request runs on, of a model's.
    pub weights: Option<WeightsVersion>,
    /// The predicted time to the first token.
    pub first_token_ms: DurationMs,
    /// The longest time that it may take, since its weights are no longer permitted after that.
    pub limit_ms: Option<DurationMs>,
}

/// What a choice looks at beside the request.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// All backend servers.
    pub backends: &'a BackendTable,
    /// Who holds which parts.
    pub cached: &'a CachedParts,
    /// This entry VM's failure domain.
    pub domain: &'a str,
    /// Servers that have failed this request.
    pub tried: &'a [WorkerId],
    /// The only server that may be chosen, if there is just one.
    pub only: Option<WorkerId>,
    /// Now.
    pub now: TimeMs,
}

/// Weights that were named for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedWeights {
    /// Their version.
    pub version: WeightsVersion,
    /// When this entry VM heard of them.
    pub heard_at_ms: TimeMs,
    /// How long after that a request may begin on older ones.
    pub permitted_ms: DurationMs,
}

/// A request to a model.
#[derive(Clone, Copy, Debug)]
pub struct ModelCall<'a> {
    /// The model.
    pub model: &'a str,
    /// The customer's name, if it shares no cached work.
    pub wall: Option<&'a str>,
    /// The parts of its prompt. The last one is its own.
    pub parts: &'a [PromptPart],
    /// Requests of all entry VMs that mostly write and are in progress, as far as this one can
    /// tell.
    pub writing: u64,
    /// A number that was drawn for the request.
    pub draw: u64,
    /// The longest answer.
    pub max_answer: Tokens,
    /// [`super::chain_of`] the parts.
    pub chain: &'a [u64],
    /// Whether there is a store of kept KV cache that answers.
    pub has_kept_store: bool,
    /// The weights that were named, oldest first.
    pub named: &'a [NamedWeights],
}

/// Chooses the server for a request to a plain service. `draw` spreads equal ones.
#[must_use]
pub fn choose_plain(around: &Surroundings<'_>, service: &str, draw: u64) -> Option<Choice> {
    let usable = around.usable(service);
    let best = usable.min_by_key(|(worker, backend)| {
        let occupancy = backend.occupancy(around.now);
        let slots = backend.spec.slots.max(1);
        let waiting = (occupancy + 1).saturating_sub(slots) * SLOT_WAIT_MS * 2 / slots;
        // Equal shares among servers that have free slots.
        let share = occupancy * SLOT_WAIT_MS / slots;
        let cost = waiting + share + around.standing_cost(backend);
        (cost, rank(draw, *worker))
    })?;
    Some(Choice {
        worker: best.0,
        fetch: None,
        saves: false,
        mostly_writes: false,
        unread: Tokens(0),
        weights: None,
        first_token_ms: DurationMs(0),
        limit_ms: None,
    })
}

/// Chooses the engine for a request to a model.
#[must_use]
pub fn choose_model(
    around: &Surroundings<'_>,
    service: &ServiceSpec,
    call: &ModelCall<'_>,
) -> Option<Choice> {
    let mut engines: Vec<Candidate<'_>> = around
        .usable(&service.name)
        .filter_map(|(worker, backend)| {
            Some(Candidate {
                worker,
                backend,
                weights: backend.weights(call.model)?,
                is_writer: false,
            })
        })
        .filter(|engine| is_permitted(engine.weights, call.named, around.now))
        .collect();
    // Requests that mostly write share few engines, the same in all entry VMs, so that long
    // prompts are read elsewhere; the others go where their shared parts are.
    let writers_key = xxh3_64(call.model.as_bytes());
    engines.sort_by_key(|engine| std::cmp::Reverse(rank(writers_key, engine.worker)));
    let slots = engines.first().map_or(1, Candidate::free_slots);
    let writers = 1 + usize::try_from(call.writing / slots).unwrap_or(usize::MAX);
    for engine in engines.iter_mut().take(writers) {
        engine.is_writer = true;
    }
    if !call.mostly_writes() {
        let home_key = call.chain.iter().rev().nth(1).copied().unwrap_or_default();
        engines.sort_by_key(|engine| {
            let ranked = std::cmp::Reverse(rank(home_key, engine.worker));
            (engine.is_writer, ranked)
        });
    }
    let predictions = engines.iter().enumerate();
    predictions
        .map(|(steps, engine)| predict(around, service, call, engine, steps as u64))
        .min_by_key(|(cost, _)| *cost)
        .map(|(_, choice)| choice)
}

/// How long ago weights were outdated by the first newer ones; none when there are no newer ones.
fn outdated_for(
    weights: WeightsVersion,
    named: &[NamedWeights],
    now: TimeMs,
) -> Option<(DurationMs, DurationMs)> {
    let newer = named.iter().find(|named| named.version > weights)?;
    Some((now.since(newer.heard_at_ms), newer.permitted_ms))
}

fn is_permitted(weights: WeightsVersion, named: &[NamedWeights], now: TimeMs) -> bool {
    outdated_for(weights, named, now)
        .is_none_or(|(age, permitted)| age < permitted.saturating_sub(OLD_WEIGHTS_MARGIN_MS))
}

fn predict(
    around: &Surroundings<'_>,
    service: &ServiceSpec,
    call: &ModelCall<'_>,
    engine: &Candidate<'_>,
    steps_from_home: u64,
) -> (u64, Choice) {
    let Candidate {
        worker,
        backend,
        weights,
        is_writer,
    } = *engine;
    let scope = CacheScope::of(call.model, weights, call.wall);
    let shared = call.parts.len().saturating_sub(1);
    let keys: Vec<u64> = call.chain[..shared]
        .iter()
        .map(|link| scoped(scope, *link))
        .collect();
    let held = around.cached.depth(&keys, worker, around.now);
    let source = best_source(around, &keys, worker, held, call.has_kept_store);
    let fetched = source.map_or(held, |(_, depth)| depth.max(held));
    let tokens = |range: &[PromptPart]| range.iter().map(|part| part.tokens.0).sum::<u64>();
    let fetched_tokens = tokens(&call.parts[held..fetched]);
    let reread = tokens(&call.parts[fetched..shared]);
    let own = tokens(&call.parts[shared..]);
    let fetch_ms = match source {
        Some((Fetch::Engine(_), _)) if fetched > held => {
            FETCH_SETUP_MS + transfer_ms(service, fetched_tokens)
        }
        Some((Fetch::KeptStore, _)) if fetched > held => {
            FETCH_SETUP_MS + transfer_ms(service, fetched_tokens) * KEPT_STORE_SLOWER
        }
        _ => 0,
    };
    let read_ms = (own + reread + backend.queued(around.now).0) / READ_TOKENS_PER_MS;
    let first_token_ms = read_ms + fetch_ms;
    let streams = backend.occupancy(around.now);
    let (home_ms, crowd_ms, held_ms) = if call.mostly_writes() {
        let crowd = streams.saturating_sub(engine.free_slots());
        // With equal views all entry VMs would take the first writer, so each request has an
        // order of its own.
        let home_ms = if is_writer {
            rank(call.draw, worker) % PACK_MS
        } else {
            PACK_MS + steps_from_home.min(MAX_STEPS) * RANK_MS
        };
        (home_ms, crowd * CROWD_MS, HELD_FROM_WRITING_MS)
    } else {
        let home_ms = if held == shared {
            0
        } else {
            steps_from_home.min(MAX_STEPS) * RANK_MS
        };
        let crowd_ms = streams * BATCH_MS + if is_writer { WRITER_MS } else { 0 };
        (home_ms, crowd_ms, HELD_FROM_READING_MS)
    };
    let held_ms = if around.now < backend.held_until_ms {
        held_ms
    } else {
        0
    };
    let queued_ms = backend.queued(around.now).0 / READ_TOKENS_PER_MS;
    let later_ms = queued_ms + (own + reread) / READ_TOKENS_PER_MS;
    // What the reading does to streams that are there already, and to this one.
    let others_late_ms = streams * (stall_ms(later_ms) - stall_ms(queued_ms));
    let cost = first_token_ms
        + others_late_ms
        + stall_ms(later_ms)
        + reread * REREAD_MS_PER_THOUSAND / 1_000
        + home_ms
        + crowd_ms
        + held_ms
        + old_weights_ms(weights, call.named, around.now)
        + around.standing_cost(backend);
    let choice = Choice {
        worker,
        fetch: source.map(|(source, _)| source),
        mostly_writes: call.mostly_writes(),
        saves: call.has_kept_store
            && shared > 0
            && around.cached.read_depth(&keys, kept_store(), around.now) < shared,
        unread: Tokens(own + reread),
        weights: Some(weights),
        first_token_ms: DurationMs(first_token_ms),
        limit_ms: outdated_for(weights, call.named, around.now).map(|(age, permitted)| {
            permitted
                .saturating_sub(OLD_WEIGHTS_STOP_MS)
                .saturating_sub(age)
        }),
    };
    (cost, choice)
}

/// An engine that may take a request.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    worker: WorkerId,
    backend: &'a Backend,
    weights: WeightsVersion,
    /// Whether it is one of those that requests which mostly write share.
    is_writer: bool,
}

impl Candidate<'_> {
    /// The requests that mostly write which it takes before the next one is used.
    fn free_slots(&self) -> u64 {
        (self.backend.spec.slots * CROWDED_PERCENT / 100).max(1)
    }
}

/// Where an engine fetches parts that it lacks: from the engine that holds the most of them, or
/// from the store of kept KV cache. The store is named also when the engine is believed to lack
/// nothing: it may have evicted parts, and naming a source costs next to nothing.
fn best_source(
    around: &Surroundings<'_>,
    keys: &[u64],
    lacking: WorkerId,
    held: usize,
    has_kept_store: bool,
) -> Option<(Fetch, usize)> {
    let first = *keys.first()?;
    let engine = around
        .cached
        .sources(first, around.now)
        .filter(|holder| *holder != lacking)
        .filter(|holder| around.is_reachable(*holder))
        .map(|holder| (holder, around.cached.read_depth(keys, holder, around.now)))
        .max_by_key(|(holder, depth)| (*depth, rank(first, *holder)));
    let kept = if has_kept_store {
        around.cached.read_depth(keys, kept_store(), around.now)
    } else {
        0
    };
    match engine {
        Some((holder, depth)) if depth > held && depth >= kept => {
            Some((Fetch::Engine(holder), depth))
        }
        _ if kept > 0 => Some((Fetch::KeptStore, kept)),
        _ => None,
    }
}

/// The cost to one stream of a time in which its engine reads prompts without a break: the pauses
/// between its events grow with each piece of a prompt that is read between two tokens.
fn stall_ms(reading_ms: u64) -> u64 {
    let over_ms = reading_ms.saturating_sub(STALL_FROM_MS).min(STALL_SPAN_MS);
    LATE_MS * over_ms / STALL_SPAN_MS
}

fn transfer_ms(service: &ServiceSpec, tokens: u64) -> u64 {
    let bits = tokens * service.kv_bytes_per_token * 8;
    bits / (service.link_mbps.max(1) * 1_000)
}

fn old_weights_ms(weights: WeightsVersion, named: &[NamedWeights], now: TimeMs) -> u64 {
    match outdated_for(weights, named, now) {
        Some((age, _)) if age >= OLD_WEIGHTS_FREE_MS => OLD_WEIGHTS_MS,
        _ => 0,
    }
}

impl ModelCall<'_> {
    /// Whether an engine spends more on writing its answer than on reading its prompt.
    #[must_use]
    pub fn mostly_writes(&self) -> bool {
        let prompt: u64 = self.parts.iter().map(|part| part.tokens.0).sum();
        prompt < self.max_answer.0 * READ_TOKENS_PER_WRITTEN
    }
}

impl<'a> Surroundings<'a> {
    fn is_reachable(&self, worker: WorkerId) -> bool {
        let backend = self.backends.get(worker);
        backend.is_some_and(|backend| backend.is_reachable(self.now))
    }

    /// The servers of a service that may be tried. One that could not be reached lately is tried
    /// only when there is no other.
    fn usable(&self, service: &'a str) -> impl Iterator<Item = (WorkerId, &'a Backend)> {
        let untried = |row: &(WorkerId, &Backend)| !self.tried.contains(&row.0);
        let now = self.now;
        let any_reachable = self
            .backends
            .ready(service)
            .filter(untried)
            .any(|row| row.1.takes_requests(now));
        let tried = self.tried;
        let only = self.only;
        self.backends
            .ready(service)
            .filter(move |row| !tried.contains(&row.0) && only.is_none_or(|only| only == row.0))
            .filter(move |row| !any_reachable || row.1.takes_requests(now))
    }

    fn standing_cost(&self, backend: &Backend) -> u64 {
        let distance = if backend.spec.domain == self.domain {
            0
        } else {
            OTHER_DOMAIN_MS
        };
        distance + backend.failure_share(self.now) * FAILING_MS / ALWAYS_FAILS
    }
}
