//! Predicts the cost of sending a request to an engine, in milliseconds of callers' time.

use {
    super::{
        announcement::{AnnouncedAt, AnnouncedWeights, outdated},
        backend::Backend,
        cached::{CacheScope, PromptPart, rendezvous_score, shared_keys},
        choice::{Choice, ChoiceContext, Fetch, ModelCall},
        pace::nominal_prefill_ms,
        routing::{KeptStore, ServiceSpec},
    },
    crate::{
        id::{WeightsVersion, WorkerId},
        unit::{DurationMs, TimeMs, Tokens},
    },
};

/// Cost of adding a thousand shared tokens to an engine's cache, fetched or prefilled: they evict
/// others, which may have to be prefilled again.
const CACHE_FILL_COST_MS_PER_THOUSAND: u64 = 40;
/// Transfer time from a KV cache store relative to one from an engine: the store's link is slower
/// and shared by all engines.
const KV_STORE_TRANSFER_FACTOR: u64 = 5;
/// Transfer time of KV cache between failure domains relative to one within a domain.
const OTHER_DOMAIN_TRANSFER_FACTOR: u64 = 2;
/// Setup time of a fetch of cached parts.
const FETCH_SETUP_MS: u64 = 4;
/// Uninterrupted prefill time up to which no stream is late, in percent of the longest pause that a
/// stream may have.
const STALL_TOLERANCE_PERCENT: u64 = 30;
/// Prefill time beyond that tolerance from which every stream is late, in percent of that pause.
const STALL_RANGE_PERCENT: u64 = 47;
/// Cost of one stream that a prompt makes late.
const LATE_STREAM_COST_MS: u64 = 20;
/// Cost of one more request in an engine's batch, since each slows down all others.
const BATCH_COST_MS: u64 = 4;
/// Cost of each step away from the home engine of the shared parts while an engine lacks some of
/// them.
const HOME_DISTANCE_COST_MS: u64 = 8;
/// Time after an announcement in which answers on the previous weights keep their full value.
const OLD_WEIGHTS_FREE_MS: DurationMs = DurationMs(1_300);
/// Cost of older weights after that: a fifth of the answer's value is lost.
const OLD_WEIGHTS_COST_MS: u64 = 75;
/// The time that a request may spend in transit to an engine.
const TRANSIT_MS: DurationMs = DurationMs(300);
/// How long a sound server may be silent. Its deadlines start only when it reads a request.
const SERVER_SILENCE_MS: DurationMs = DurationMs(1_500);
/// The shortest deadline with which a request is sent to older weights: the time that it may spend in the engine's
/// queue.
const MIN_OLD_WEIGHTS_DEADLINE_MS: DurationMs = DurationMs(1_200);
/// Cost of a decode-heavy request at an engine that is draining, which can't load its new weights
/// before the answer is complete.
const DRAINING_DECODE_COST_MS: u64 = 1_500;
/// Cost of a prefill-heavy request at a draining engine.
const DRAINING_PREFILL_COST_MS: u64 = 150;
/// Range of the random cost that spreads decode-heavy requests over the decode engines, and the
/// base cost of any other engine.
const DECODE_SPREAD_COST_MS: u64 = 20;
/// Steps from home that are counted. Beyond these, all engines are equivalent.
const MAX_STEPS: u64 = 4;
/// Percentage of an engine's slots that decode-heavy requests fill before another engine is used.
const DECODE_SLOTS_PERCENT: u64 = 45;
/// Cost of each decode-heavy request above that share of the slots.
const DECODE_OVERLOAD_COST_MS: u64 = 12;

/// Whether a request may still be sent to an engine with these weights. Weights that were outdated at an unknown
/// time are past their grace period.
pub(super) fn is_permitted(
    weights: WeightsVersion,
    announced: &[AnnouncedWeights],
    now: TimeMs,
) -> bool {
    outdated(weights, announced)
        .is_none_or(|outdated| begin_by_ms(&outdated).since(now) >= MIN_OLD_WEIGHTS_DEADLINE_MS)
}

/// When the deadline of a request to older weights must end, so that it isn't begun after their grace period even
/// if the server is silent first.
fn begin_by_ms(outdated: &AnnouncedWeights) -> TimeMs {
    let until_ms = match outdated.at {
        AnnouncedAt::NotBefore { at_ms, .. } => at_ms.after(outdated.grace_ms),
        AnnouncedAt::Unknown => TimeMs(0),
    };
    TimeMs(
        until_ms
            .0
            .saturating_sub((TRANSIT_MS + SERVER_SILENCE_MS).0),
    )
}

/// An engine that is eligible for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    /// The engine's id.
    pub(super) worker: WorkerId,
    /// The engine's state as known to this entry VM.
    pub(super) backend: &'a Backend,
    /// The engine's weights version of the model.
    pub(super) weights: WeightsVersion,
    /// Whether decode-heavy requests are packed on this engine.
    pub(super) is_decode_engine: bool,
}

/// The number of decode-heavy requests on an engine before another engine is used.
pub(super) fn decode_slots(engine: &Backend) -> u64 {
    (engine.spec.slots * DECODE_SLOTS_PERCENT / 100).max(1)
}

impl ModelCall<'_> {
    fn cache_scope(&self, weights: WeightsVersion) -> CacheScope {
        CacheScope::new(self.model, weights, self.group)
    }

    pub(super) fn shared_keys(&self, weights: WeightsVersion) -> Vec<u64> {
        shared_keys(self.cache_scope(weights), self.prefix_hashes).collect()
    }
}

/// Predicts the cost of a request at an engine, and returns it with the resulting choice.
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
        ..
    } = *engine;
    let outdated = outdated(weights, call.announced);
    let keys = call.shared_keys(weights);
    let shared = keys.len();
    let held = context.cached.cached_len(&keys, worker, context.now);
    let source = best_source(context, &keys, engine, held, call.kept_stores);
    let fetched = source.map_or(held, |(_, len)| len.max(held));
    let tokens = |range: &[PromptPart]| range.iter().map(|part| part.tokens.0).sum::<u64>();
    let fetched_tokens = tokens(&call.parts[held..fetched]);
    let shared_prefill = tokens(&call.parts[fetched..shared]);
    let recomputed: u64 = (fetched..shared)
        .filter(|index| context.cached.is_held(keys[*index], context.now))
        .map(|index| call.parts[index].tokens.0)
        .sum();
    let unshared = tokens(&call.parts[shared..]);
    // What is prefilled at its home evicts nothing that belongs there, and a widespread part will be
    // on every engine anyway.
    let is_home = steps_from_home == 0 && !call.is_decode_heavy();
    let added: u64 = (held..shared)
        .filter(|index| !is_home && !context.cached.is_widespread(keys[*index], context.now))
        .map(|index| call.parts[index].tokens.0)
        .sum();
    let fetch_ms = match source {
        Some((source, _)) if fetched > held => {
            fetch_ms(context, service, call, engine, source, fetched_tokens)
        }
        _ => 0,
    };
    let cached = Tokens(tokens(&call.parts[..fetched]));
    let nominal = nominal_prefill_ms(Tokens(unshared + shared_prefill), cached);
    let prefill_ms = backend.pace.scale(nominal).0;
    let queued_ms = backend.queue_ms(context.now).0;
    let first_token_ms = queued_ms + prefill_ms + fetch_ms;
    let streams = backend.occupancy(context.now);
    let placement_cost = placement_cost(context, call, engine, steps_from_home, held == shared);
    // The delay that this prefill causes to streams already running on the engine. It doesn't depend on the
    // queue: if prompts cost less behind others, they would gather at busy engines.
    let other_streams_cost = streams * stall_cost(prefill_ms, call.event_gap_ms);
    let cost = first_token_ms
        + other_streams_cost
        + added * CACHE_FILL_COST_MS_PER_THOUSAND / 1_000
        + placement_cost
        + old_weights_cost(outdated, context.now)
        + context.server_cost(backend);
    let choice = Choice {
        worker,
        fetch: source.map(|(source, _)| source),
        is_decode_heavy: call.is_decode_heavy(),
        // Set by `choose_model` for the chosen engine only.
        save_to: None,
        prefill_tokens: Tokens(unshared + shared_prefill),
        nominal_prefill_ms: nominal,
        prefill_ms: DurationMs(prefill_ms),
        queue_ms: DurationMs(queued_ms),
        reported_waiting: backend.reported_waiting(context.now),
        shared_prefill_tokens: Tokens(shared_prefill),
        recomputed_tokens: Tokens(recomputed),
        steps_from_home,
        weights: Some(weights),
        cache_scope: Some(call.cache_scope(weights)),
        first_token_ms: DurationMs(first_token_ms),
        begin_by_ms: outdated.as_ref().map(begin_by_ms),
        outdated: outdated.map(|outdated| (outdated.version, outdated.at)),
    };
    (cost, choice)
}

/// The cost of an engine apart from the time that it takes: for its distance from home, for the requests
/// beside which this one would run, and for draining.
fn placement_cost(
    context: &ChoiceContext<'_>,
    call: &ModelCall<'_>,
    engine: &Candidate<'_>,
    steps_from_home: u64,
    holds_shared_parts: bool,
) -> u64 {
    let streams = engine.backend.occupancy(context.now);
    let steps_cost = steps_from_home.min(MAX_STEPS) * HOME_DISTANCE_COST_MS;
    let (distance_cost, load_cost, draining_cost) = if call.is_decode_heavy() {
        let excess = streams.saturating_sub(decode_slots(engine.backend));
        // Entry VMs with the same view of the load would all choose the first decode engine, so
        // the order of decode engines is randomized for each request.
        let distance_cost = if engine.is_decode_engine {
            rendezvous_score(call.random, engine.worker) % DECODE_SPREAD_COST_MS
        } else {
            DECODE_SPREAD_COST_MS + steps_cost
        };
        (
            distance_cost,
            excess * DECODE_OVERLOAD_COST_MS,
            DRAINING_DECODE_COST_MS,
        )
    } else {
        let distance_cost = if holds_shared_parts { 0 } else { steps_cost };
        (
            distance_cost,
            streams * BATCH_COST_MS,
            DRAINING_PREFILL_COST_MS,
        )
    };
    let is_draining = context.now < engine.backend.draining_until_ms;
    distance_cost + load_cost + if is_draining { draining_cost } else { 0 }
}

/// The source from which an engine fetches parts that it lacks: the engine or the KV cache store
/// that holds the longest prefix, and the number of parts in that prefix. A store is returned even
/// if the engine is assumed to have all parts: it may have evicted some, and an unused source
/// costs next to nothing.
fn best_source(
    context: &ChoiceContext<'_>,
    keys: &[u64],
    target: &Candidate<'_>,
    held: usize,
    stores: &[&KeptStore],
) -> Option<(Fetch, usize)> {
    let last = *keys.last()?;
    let engine = (0..keys.len()).rev().find_map(|index| {
        let holders = context.cached.sources(keys[index], context.now);
        let holder = holders
            .filter(|holder| *holder != target.worker && context.is_reachable(*holder))
            .max_by_key(|holder| rendezvous_score(last, *holder))?;
        Some((holder, index + 1))
    });
    let store = stores
        .iter()
        .map(|store| {
            let prefix_len = context.cached.fetchable_len(keys, store.id, context.now);
            (
                prefix_len,
                store.domain == target.backend.spec.domain,
                store.id,
            )
        })
        .max()
        .filter(|(prefix_len, ..)| *prefix_len > 0);
    let store_len = store.map_or(0, |(prefix_len, ..)| prefix_len);
    match engine {
        Some((holder, prefix_len)) if prefix_len > held && prefix_len >= store_len => {
            Some((Fetch::Engine(holder), prefix_len))
        }
        _ => store.map(|(prefix_len, _, store)| (Fetch::KeptStore(store), prefix_len)),
    }
}

/// The KV cache store in which the chosen engine saves the shared parts, preferably one in its
/// failure domain; `None` if some store already has them all.
pub(super) fn save_target(
    context: &ChoiceContext<'_>,
    call: &ModelCall<'_>,
    choice: &Choice,
) -> Option<WorkerId> {
    let keys = call.shared_keys(choice.weights?);
    let last = *keys.last()?;
    let domain = &context.backends.get(choice.worker)?.spec.domain;
    let stores = call.kept_stores.iter();
    let len = |store: WorkerId| context.cached.fetchable_len(&keys, store, context.now);
    if stores.clone().any(|store| len(store.id) == keys.len()) {
        return None;
    }
    let best =
        stores.max_by_key(|store| (store.domain == *domain, rendezvous_score(last, store.id)));
    best.map(|store| store.id)
}

/// The time that an engine takes to fetch cached parts.
fn fetch_ms(
    context: &ChoiceContext<'_>,
    service: &ServiceSpec,
    call: &ModelCall<'_>,
    engine: &Candidate<'_>,
    source: Fetch,
    tokens: u64,
) -> u64 {
    let engine_domain = &engine.backend.spec.domain;
    let (source_domain, source_factor) = match source {
        Fetch::Engine(holder) => {
            let holder = context.backends.get(holder);
            (holder.map(|holder| &holder.spec.domain), 1)
        }
        Fetch::KeptStore(id) => {
            let store = call.kept_stores.iter().find(|store| store.id == id);
            (store.map(|store| &store.domain), KV_STORE_TRANSFER_FACTOR)
        }
    };
    let distance_factor = if source_domain == Some(engine_domain) {
        1
    } else {
        OTHER_DOMAIN_TRANSFER_FACTOR
    };
    FETCH_SETUP_MS + transfer_ms(service, tokens) * source_factor * distance_factor
}

/// The cost to one stream while its engine prefills prompts without interruption: each chunk of a
/// prompt that is prefilled between two tokens lengthens the pause between the stream's events.
/// `event_gap_ms` is the longest pause that is still on time; the streams of an engine are assumed to
/// have the same limit.
fn stall_cost(prefill_ms: u64, event_gap_ms: DurationMs) -> u64 {
    let tolerance_ms = event_gap_ms.0 * STALL_TOLERANCE_PERCENT / 100;
    let range_ms = (event_gap_ms.0 * STALL_RANGE_PERCENT / 100).max(1);
    let excess_ms = prefill_ms.saturating_sub(tolerance_ms).min(range_ms);
    LATE_STREAM_COST_MS * excess_ms / range_ms
}

fn transfer_ms(service: &ServiceSpec, tokens: u64) -> u64 {
    let bits = tokens * service.kv_bytes_per_token * 8;
    bits / (service.link_mbps.max(1) * 1_000)
}

fn old_weights_cost(outdated: Option<AnnouncedWeights>, now: TimeMs) -> u64 {
    // The bound of the age is earlier than what this entry VM saw.
    let age_ms = outdated.and_then(|outdated| {
        let heard_ms = outdated.heard_at_ms.map(|at_ms| now.since(at_ms));
        heard_ms.or_else(|| outdated.at.age_ms(now))
    });
    match age_ms {
        Some(age_ms) if age_ms >= OLD_WEIGHTS_FREE_MS => OLD_WEIGHTS_COST_MS,
        _ => 0,
    }
}
