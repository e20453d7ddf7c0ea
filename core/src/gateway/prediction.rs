//! What a request would cost at an engine, in milliseconds of its callers' time.

use {
    super::{
        backend::Backend,
        cached::{CacheScope, PromptPart, rendezvous_score, shared_keys},
        choice::{AnnouncedWeights, Choice, ChoiceContext, Fetch, ModelCall},
        pace::nominal_prefill_ms,
        routing::{KeptStore, ServiceSpec},
    },
    crate::{
        id::{WeightsVersion, WorkerId},
        unit::{DurationMs, TimeMs, Tokens},
    },
};

/// The cost of reading a thousand shared tokens again that somebody holds, beside the time that it
/// takes, in milliseconds: recomputed prompt work is paid for.
const REREAD_MS_PER_THOUSAND: u64 = 100;
/// The cost of placing a thousand more shared tokens in an engine's memory, whether fetched or read,
/// in milliseconds: they evict others, which may be read again for it.
const PLACED_MS_PER_THOUSAND: u64 = 40;
/// How many times as long the store of kept KV cache takes for a transfer as an engine: its link
/// is slower and serves all engines.
const KEPT_STORE_SLOWER: u64 = 5;
/// How many times as long a transfer of KV cache between failure domains takes.
const OTHER_DOMAIN_SLOWER: u64 = 2;
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
/// The cost of each step away from a part's home, in milliseconds, as long as nobody holds it.
const RANK_MS: u64 = 8;
/// How long answers on the weights before the newest are still worth as much.
const OLD_WEIGHTS_FREE_MS: DurationMs = DurationMs(1_300);
/// The cost of older weights after that, in milliseconds: a fifth of the answer's worth is lost.
const OLD_WEIGHTS_MS: u64 = 75;
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

/// How long ago weights were outdated by the first newer ones; none when there are no newer ones.
fn outdated_for(
    weights: WeightsVersion,
    announced: &[AnnouncedWeights],
    now: TimeMs,
) -> Option<(DurationMs, DurationMs)> {
    let newer = announced
        .iter()
        .find(|announced| announced.version > weights)?;
    Some((now.since(newer.learned_at_ms), newer.grace_ms))
}

/// Whether a request may still begin on these weights.
pub(super) fn is_permitted(
    weights: WeightsVersion,
    announced: &[AnnouncedWeights],
    now: TimeMs,
) -> bool {
    outdated_for(weights, announced, now)
        .is_none_or(|(age, permitted)| age < permitted.saturating_sub(OLD_WEIGHTS_MARGIN_MS))
}

/// An engine that may take a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    /// The engine.
    pub(super) worker: WorkerId,
    /// What is believed of it.
    pub(super) backend: &'a Backend,
    /// Its weights of the model.
    pub(super) weights: WeightsVersion,
    /// Whether it is one of those that requests which mostly write share.
    pub(super) is_decode_engine: bool,
}

impl Candidate<'_> {
    /// The requests that mostly write which it takes before the next one is used.
    pub(super) fn free_slots(&self) -> u64 {
        (self.backend.spec.slots * CROWDED_PERCENT / 100).max(1)
    }
}

impl ModelCall<'_> {
    fn shared_keys(&self, weights: WeightsVersion) -> Vec<u64> {
        let scope = CacheScope::new(self.model, weights, self.isolated_customer);
        shared_keys(scope, self.prefix_hashes).collect()
    }
}

/// What a request would cost at an engine, and how it would be sent there.
pub(super) fn predict(
    context: &ChoiceContext<'_>,
    service: &ServiceSpec,
    call: &ModelCall<'_>,
    engine: &Candidate<'_>,
    steps_from_home: u64,
) -> (u64, Choice) {
    let Candidate {
        worker,
        backend,
        weights,
        is_decode_engine,
    } = *engine;
    let keys = call.shared_keys(weights);
    let shared = keys.len();
    let held = context.cached.cached_len(&keys, worker, context.now);
    let source = best_source(context, &keys, engine, held, call.kept_stores);
    let fetched = source.map_or(held, |(_, depth)| depth.max(held));
    let tokens = |range: &[PromptPart]| range.iter().map(|part| part.tokens.0).sum::<u64>();
    let fetched_tokens = tokens(&call.parts[held..fetched]);
    let reread = tokens(&call.parts[fetched..shared]);
    let again: u64 = (fetched..shared)
        .filter(|at| context.cached.is_held(keys[*at], context.now))
        .map(|at| call.parts[at].tokens.0)
        .sum();
    let own = tokens(&call.parts[shared..]);
    let fetch_ms = match source {
        Some((source, _)) if fetched > held => {
            fetch_ms(context, service, call, engine, source, fetched_tokens)
        }
        _ => 0,
    };
    let cached = Tokens(tokens(&call.parts[..fetched]));
    let nominal = nominal_prefill_ms(Tokens(own + reread), cached);
    let prefill_ms = backend.pace.scale(nominal).0;
    let queued_ms = backend.queue_ms(context.now).0;
    let later_ms = queued_ms + prefill_ms;
    let first_token_ms = later_ms + fetch_ms;
    let streams = backend.occupancy(context.now);
    let (home_ms, crowd_ms, held_ms) = if call.is_decode_heavy() {
        let crowd = streams.saturating_sub(engine.free_slots());
        // With equal views all entry VMs would take the first writer, so each request has an
        // order of its own.
        let home_ms = if is_decode_engine {
            rendezvous_score(call.random, worker) % PACK_MS
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
        let crowd_ms = streams * BATCH_MS + if is_decode_engine { WRITER_MS } else { 0 };
        (home_ms, crowd_ms, HELD_FROM_READING_MS)
    };
    let held_ms = if context.now < backend.draining_until_ms {
        held_ms
    } else {
        0
    };
    // What the reading does to streams that are there already, and to this one.
    let others_late_ms = streams * (stall_ms(later_ms) - stall_ms(queued_ms));
    let cost = first_token_ms
        + others_late_ms
        + stall_ms(later_ms)
        + again * REREAD_MS_PER_THOUSAND / 1_000
        + (fetched_tokens + reread) * PLACED_MS_PER_THOUSAND / 1_000
        + home_ms
        + crowd_ms
        + held_ms
        + old_weights_ms(weights, call.announced, context.now)
        + context.standing_cost(backend);
    let choice = Choice {
        worker,
        fetch: source.map(|(source, _)| source),
        is_decode_heavy: call.is_decode_heavy(),
        // Looked up for the engine that is chosen, by `saved_to`.
        save_to: None,
        prefill_tokens: Tokens(own + reread),
        nominal_prefill_ms: nominal,
        prefill_ms: DurationMs(prefill_ms),
        queue_ms: DurationMs(queued_ms),
        shared_prefill_tokens: Tokens(reread),
        recomputed_tokens: Tokens(again),
        steps_from_home,
        weights: Some(weights),
        first_token_ms: DurationMs(first_token_ms),
        limit_ms: outdated_for(weights, call.announced, context.now).map(|(age, permitted)| {
            permitted
                .saturating_sub(OLD_WEIGHTS_STOP_MS)
                .saturating_sub(age)
        }),
    };
    (cost, choice)
}

/// Where an engine fetches parts that it lacks: from the engine that holds the most of them, or
/// from a store of kept KV cache. A store is named also when the engine is believed to lack
/// nothing: it may have evicted parts, and naming a source costs next to nothing.
fn best_source(
    context: &ChoiceContext<'_>,
    keys: &[u64],
    lacking: &Candidate<'_>,
    held: usize,
    stores: &[&KeptStore],
) -> Option<(Fetch, usize)> {
    let first = *keys.first()?;
    let engine = context
        .cached
        .sources(first, context.now)
        .filter(|holder| *holder != lacking.worker)
        .filter(|holder| context.is_reachable(*holder))
        .map(|holder| {
            (
                holder,
                context.cached.fetchable_len(keys, holder, context.now),
            )
        })
        .max_by_key(|(holder, depth)| (*depth, rendezvous_score(first, *holder)));
    let kept = stores
        .iter()
        .map(|store| {
            let depth = context.cached.fetchable_len(keys, store.id, context.now);
            (depth, store.domain == lacking.backend.spec.domain, store.id)
        })
        .max()
        .filter(|(depth, ..)| *depth > 0);
    let kept_depth = kept.map_or(0, |(depth, ..)| depth);
    match engine {
        Some((holder, depth)) if depth > held && depth >= kept_depth => {
            Some((Fetch::Engine(holder), depth))
        }
        _ => kept.map(|(depth, _, store)| (Fetch::KeptStore(store), depth)),
    }
}

/// The store of kept KV cache that is to save the shared parts: none if one has them all, or else
/// one in the chosen engine's failure domain.
pub(super) fn saved_to(
    context: &ChoiceContext<'_>,
    call: &ModelCall<'_>,
    choice: &Choice,
) -> Option<WorkerId> {
    let keys = call.shared_keys(choice.weights?);
    let last = *keys.last()?;
    let domain = &context.backends.get(choice.worker)?.spec.domain;
    let stores = call.kept_stores.iter();
    let depth = |store: WorkerId| context.cached.fetchable_len(&keys, store, context.now);
    if stores.clone().any(|store| depth(store.id) == keys.len()) {
        return None;
    }
    let best =
        stores.max_by_key(|store| (store.domain == *domain, rendezvous_score(last, store.id)));
    best.map(|store| store.id)
}

/// What it takes to fetch cached parts.
fn fetch_ms(
    context: &ChoiceContext<'_>,
    service: &ServiceSpec,
    call: &ModelCall<'_>,
    engine: &Candidate<'_>,
    source: Fetch,
    tokens: u64,
) -> u64 {
    let own_domain = &engine.backend.spec.domain;
    let (domain, slower) = match source {
        Fetch::Engine(holder) => {
            let holder = context.backends.get(holder);
            (holder.map(|holder| &holder.spec.domain), 1)
        }
        Fetch::KeptStore(id) => {
            let store = call.kept_stores.iter().find(|store| store.id == id);
            (store.map(|store| &store.domain), KEPT_STORE_SLOWER)
        }
    };
    let distance = if domain == Some(own_domain) {
        1
    } else {
        OTHER_DOMAIN_SLOWER
    };
    FETCH_SETUP_MS + transfer_ms(service, tokens) * slower * distance
}

/// The cost to one stream of a time in which its engine reads prompts without a break: the pauses
/// between its events grow with each piece of a prompt that is read between two tokens.
fn stall_ms(prefill_ms: u64) -> u64 {
    let over_ms = prefill_ms.saturating_sub(STALL_FROM_MS).min(STALL_SPAN_MS);
    LATE_MS * over_ms / STALL_SPAN_MS
}

fn transfer_ms(service: &ServiceSpec, tokens: u64) -> u64 {
    let bits = tokens * service.kv_bytes_per_token * 8;
    bits / (service.link_mbps.max(1) * 1_000)
}

fn old_weights_ms(weights: WeightsVersion, announced: &[AnnouncedWeights], now: TimeMs) -> u64 {
    match outdated_for(weights, announced, now) {
        Some((age, _)) if age >= OLD_WEIGHTS_FREE_MS => OLD_WEIGHTS_MS,
        _ => 0,
    }
}
