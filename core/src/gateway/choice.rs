//! Selects the backend server for a request.

use {
    super::{
        announcement::{AnnouncedAt, AnnouncedWeights},
        backend::{Backend, BackendTable, MAX_FAILURE_PERMILLE},
        cached::{CacheGroup, CacheScope, CachedParts, PromptPart, rendezvous_score},
        explanation::{Exclusion, wait_exclusion},
        pace::CHUNK_TOKENS,
        prediction::{Candidate, decode_slots, is_permitted, predict, save_target},
        routing::{KeptStore, ServiceSpec},
        stream_origin::SoftwareKey,
    },
    crate::{
        id::{WeightsVersion, WorkerId},
        unit::{DurationMs, TimeMs, Tokens},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Cost of a server in another failure domain, since traffic between domains is billed.
const OTHER_DOMAIN_COST_MS: u64 = 12;
/// Cost of a backend server whose requests always fail. Exceeds the wait in any queue that would
/// still be preferable to a failing server.
const FAILING_COST_MS: u64 = 3_000;
/// Cost of a request that waits for a slot of a plain service: about the time of one request.
const SLOT_WAIT_COST_MS: u64 = 30;
/// A request with fewer prompt tokens per answer token than this is decode-heavy. Decoding one
/// token takes an engine about as long as prefilling this many.
const PREFILL_TOKENS_PER_DECODED: u64 = 48;
/// The engines among which a request is placed at first, in the order of its home.
const MIN_CANDIDATES: usize = 6;
/// The engines among which it is placed at the most, however long their queues are.
const MAX_CANDIDATES: usize = 32;
/// A queue longer than the request's target divided by this is a reason to consider more engines.
const MAX_QUEUE_DIVISOR: u64 = 8;
/// At least one in this many engines serves decode-heavy requests, so that those that arrive before
/// entry VMs know of each other's don't meet at one engine.
const ENGINES_PER_DECODE_ENGINE: usize = 16;

/// The source from which an engine fetches cached parts that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fetch {
    /// Another engine.
    Engine(WorkerId),
    /// A KV cache store.
    KeptStore(WorkerId),
}

/// The backend server selected for a request, with the predictions behind the selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The selected server.
    pub worker: WorkerId,
    /// Where the server fetches cached parts that it lacks; `None` if there is no source.
    pub fetch: Option<Fetch>,
    /// The KV cache store in which the server saves the shared parts; `None` to save nothing.
    pub save_to: Option<WorkerId>,
    /// Whether decoding the answer takes longer than prefilling the prompt.
    pub is_decode_heavy: bool,
    /// The prompt tokens that the server is predicted to prefill.
    pub prefill_tokens: Tokens,
    /// The prefill time on the nominal engine, without a queue.
    pub nominal_prefill_ms: DurationMs,
    /// The prefill time on this engine, without a queue.
    pub prefill_ms: DurationMs,
    /// The prefill time of earlier requests in the server's queue.
    pub queue_ms: DurationMs,
    /// The requests that wait at the server by its own report; 0 if it made none lately.
    pub reported_waiting: u64,
    /// The part of `prefill_tokens` that other requests can share.
    pub shared_prefill_tokens: Tokens,
    /// The part of `shared_prefill_tokens` that another server or store has cached or is
    /// prefilling.
    pub recomputed_tokens: Tokens,
    /// The engine's rank in the rendezvous order, which is the same in all entry VMs. 0 is the
    /// home engine.
    pub steps_from_home: u64,
    /// The weights version that the request runs on; `None` for a plain service.
    pub weights: Option<WeightsVersion>,
    /// The scope of the cached parts that the request uses and makes; `None` for a plain service.
    pub cache_scope: Option<CacheScope>,
    /// The predicted time to the first token.
    pub first_token_ms: DurationMs,
    /// When the server must have begun the request by its deadline, since the grace period of its weights ends;
    /// `None` on the newest weights.
    pub begin_by_ms: Option<TimeMs>,
    /// The first newer version and when it was announced; `None` on the newest weights.
    pub outdated: Option<(WeightsVersion, AnnouncedAt)>,
}

/// The inputs of a choice besides the request.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext<'a> {
    /// All backend servers.
    pub backends: &'a BackendTable,
    /// The servers and stores that hold each prompt part.
    pub cached: &'a CachedParts,
    /// This entry VM's failure domain.
    pub domain: &'a str,
    /// Servers that have failed this request and are excluded.
    pub tried: &'a [WorkerId],
    /// The only eligible server; `None` if all are eligible.
    pub only: Option<WorkerId>,
    /// The only eligible software version; `None` if all are.
    pub software: Option<SoftwareKey>,
    /// The maximum of this entry VM's requests in progress at one server, each of which takes a
    /// connection.
    pub max_in_flight: u64,
    /// The current time.
    pub now: TimeMs,
}

/// A request to a model.
#[derive(Clone, Copy, Debug)]
pub struct ModelCall<'a> {
    /// The model's name.
    pub model: &'a str,
    /// The customers with which the request shares cached prompt work.
    pub group: CacheGroup<'a>,
    /// The parts of the prompt. The last one belongs to this request only.
    pub parts: &'a [PromptPart],
    /// The decode-heavy requests in progress over all entry VMs, as known to this one.
    pub decode_heavy_requests: u64,
    /// A random number for this request, which varies its order of preference among engines.
    pub random: u64,
    /// The maximum length of the answer.
    pub max_answer_tokens: Tokens,
    /// The time within which the first token is due.
    pub target_ms: DurationMs,
    /// The longest pause between two events of the answer that is still on time.
    pub event_gap_ms: DurationMs,
    /// The result of [`super::hash_prefixes`] for `parts`.
    pub prefix_hashes: &'a [u64],
    /// The KV cache stores that respond.
    pub kept_stores: &'a [&'a KeptStore],
    /// The weights that were announced for the model, oldest first.
    pub announced: &'a [AnnouncedWeights],
}

/// Chooses the server for a request to a plain service; `None` if no server is eligible. `random`
/// breaks ties.
#[must_use]
pub fn choose_plain(context: &ChoiceContext<'_>, service: &str, random: u64) -> Option<Choice> {
    let eligible = context.eligible(service);
    let best = eligible.min_by_key(|(worker, backend)| {
        (
            context.plain_cost(backend),
            rendezvous_score(random, *worker),
        )
    })?;
    Some(Choice {
        worker: best.0,
        fetch: None,
        save_to: None,
        is_decode_heavy: false,
        prefill_tokens: Tokens(0),
        nominal_prefill_ms: DurationMs(0),
        prefill_ms: DurationMs(0),
        queue_ms: DurationMs(0),
        reported_waiting: 0,
        shared_prefill_tokens: Tokens(0),
        recomputed_tokens: Tokens(0),
        steps_from_home: 0,
        weights: None,
        cache_scope: None,
        first_token_ms: DurationMs(0),
        begin_by_ms: None,
        outdated: None,
    })
}

/// Chooses the engine for a request to a model; `None` if no engine is eligible.
#[must_use]
pub fn choose_model(
    context: &ChoiceContext<'_>,
    service: &ServiceSpec,
    call: &ModelCall<'_>,
) -> Option<Choice> {
    let engines = ranked_engines(context, service, call);
    let choice = choose_near_home(context, service, call, &engines, &mut |_| ())?;
    Some(Choice {
        save_to: save_target(context, call, &choice),
        ..choice
    })
}

/// The eligible engines in the order of preference.
pub(super) fn ranked_engines<'a>(
    context: &'a ChoiceContext<'a>,
    service: &'a ServiceSpec,
    call: &ModelCall<'_>,
) -> Vec<Candidate<'a>> {
    let mut engines: Vec<Candidate<'_>> = context
        .eligible(&service.name)
        .filter_map(|(worker, backend)| {
            Some(Candidate {
                worker,
                backend,
                weights: backend.weights(call.model)?,
                is_decode_engine: false,
            })
        })
        .filter(|engine| is_permitted(engine.weights, call.announced, context.now))
        .collect();
    // Decode-heavy requests are packed on a few engines, the same ones in all entry VMs, so that
    // long prompts are prefilled on other engines. Prefill-heavy requests go to the engines that
    // have their shared parts cached.
    let model_hash = xxh3_64(call.model.as_bytes());
    engines.sort_by_key(|engine| std::cmp::Reverse(rendezvous_score(model_hash, engine.worker)));
    let slots = engines
        .first()
        .map_or(1, |engine| decode_slots(engine.backend));
    let needed = 1 + usize::try_from(call.decode_heavy_requests / slots).unwrap_or(usize::MAX);
    let count = engines.len();
    let decode_engines = needed.max(count / ENGINES_PER_DECODE_ENGINE);
    for engine in engines.iter_mut().take(decode_engines) {
        engine.is_decode_engine = true;
    }
    if call.is_decode_heavy() {
        // Each request sees the decode engines in another order.
        engines[..decode_engines.min(count)]
            .sort_by_key(|engine| std::cmp::Reverse(rendezvous_score(call.random, engine.worker)));
    } else {
        // A prompt without shared parts is at home anywhere.
        let home_key = call.prefix_hashes.iter().rev().nth(1);
        let home_key = home_key.copied().unwrap_or(call.random);
        engines.sort_by_key(|engine| {
            let score = std::cmp::Reverse(rendezvous_score(home_key, engine.worker));
            (engine.is_decode_engine, score)
        });
    }
    engines
}

/// Chooses among the first engines in the order of preference and those that hold the last shared
/// part, and among more while all of these are congested.
///
/// Entry VMs learn of each other's requests with a delay. If each chose the best of all engines, all
/// would choose the same one at the same moment. `compare` is told each engine that is compared.
pub(super) fn choose_near_home(
    context: &ChoiceContext<'_>,
    service: &ServiceSpec,
    call: &ModelCall<'_>,
    engines: &[Candidate<'_>],
    compare: &mut dyn FnMut(WorkerId),
) -> Option<Choice> {
    let mut best_of = |candidates: &mut dyn Iterator<Item = (usize, &Candidate<'_>)>| {
        candidates
            .inspect(|(_, engine)| compare(engine.worker))
            .map(|(steps, engine)| predict(context, service, call, engine, steps as u64))
            .min_by_key(|(cost, _)| *cost)
    };
    let first = MIN_CANDIDATES.min(engines.len());
    let mut near_or_holding = engines
        .iter()
        .enumerate()
        .filter(|(steps, engine)| *steps < first || holds_last_part(context, call, engine));
    let mut best = best_of(&mut near_or_holding)?;
    let mut considered = first;
    let limit = MAX_CANDIDATES.min(engines.len());
    while considered < limit && is_congested(context, call, &best.1) {
        let next = (considered * 2).min(limit);
        let mut further = engines.iter().enumerate().take(next).skip(considered);
        if let Some(other) = best_of(&mut further).filter(|other| other.0 < best.0) {
            best = other;
        }
        considered = next;
    }
    Some(best.1)
}

/// Whether a chosen engine has so much to do that others should be considered too.
fn is_congested(context: &ChoiceContext<'_>, call: &ModelCall<'_>, choice: &Choice) -> bool {
    let max_queue_ms = DurationMs(call.target_ms.0 / MAX_QUEUE_DIVISOR);
    let Some(backend) = context.backends.get(choice.worker) else {
        return true;
    };
    let is_draining = context.now < backend.draining_until_ms;
    let has_no_slot =
        call.is_decode_heavy() && backend.occupancy(context.now) >= decode_slots(backend);
    choice.queue_ms > max_queue_ms || is_draining || has_no_slot
}

/// Whether an engine holds the last shared part of a prompt, or is prefilling it.
fn holds_last_part(
    context: &ChoiceContext<'_>,
    call: &ModelCall<'_>,
    engine: &Candidate<'_>,
) -> bool {
    let last = call.shared_keys(engine.weights).last().copied();
    last.is_some_and(|part| context.cached.holds(part, engine.worker, context.now))
}

impl ModelCall<'_> {
    /// Whether an engine spends more time on decoding the answer than on prefilling the prompt, and
    /// has little to gain from cached parts. A prompt whose shared parts take more than a step to
    /// prefill belongs at their home, however long its answer may get.
    #[must_use]
    pub fn is_decode_heavy(&self) -> bool {
        let tokens = |parts: &[PromptPart]| parts.iter().map(|part| part.tokens.0).sum::<u64>();
        let shared = self.parts.split_last().map_or(&[][..], |(_, rest)| rest);
        tokens(shared) < CHUNK_TOKENS
            && tokens(self.parts) < self.max_answer_tokens.0 * PREFILL_TOKENS_PER_DECODED
    }
}

impl<'a> ChoiceContext<'a> {
    pub(super) fn is_reachable(&self, worker: WorkerId) -> bool {
        let backend = self.backends.get(worker);
        backend.is_some_and(|backend| backend.is_reachable(self.now))
    }

    /// The ready servers of a service that have not been tried, have a connection left and may be sent a
    /// request now. Servers that were unreachable recently or load weights are included only when there are no others.
    fn eligible(&'a self, service: &'a str) -> impl Iterator<Item = (WorkerId, &'a Backend)> {
        let now = self.now;
        let untried = |row: &(WorkerId, &Backend)| self.exclusion(row.0, row.1).is_none();
        let any_accepting = self
            .backends
            .ready(service)
            .filter(untried)
            .any(|row| row.1.takes_requests(now));
        let only = self.only;
        self.backends
            .ready(service)
            .filter(untried)
            .filter(move |row| only.is_none_or(|only| only == row.0))
            .filter(move |row| !any_accepting || row.1.takes_requests(now))
    }

    /// What keeps a server that accepts requests from this one; `None` if nothing does.
    pub(super) fn exclusion(&self, worker: WorkerId, backend: &Backend) -> Option<Exclusion> {
        let has_other_software = |software: SoftwareKey| backend.spec.software_key() != software;
        if self.tried.contains(&worker) {
            Some(Exclusion::Avoided)
        } else if backend.in_flight >= self.max_in_flight {
            Some(Exclusion::NoConnection)
        } else if self.software.is_some_and(has_other_software) {
            Some(Exclusion::OtherSoftware)
        } else {
            wait_exclusion(backend, !self.tried.is_empty(), self.now)
        }
    }

    /// The cost of a server of a plain service.
    pub(super) fn plain_cost(&self, backend: &Backend) -> u64 {
        if backend.is_beyond_share(self.now) {
            // The load doesn't count, or all entry VMs would choose the same server.
            return SLOT_WAIT_COST_MS + self.server_cost(backend);
        }
        let occupancy = backend.occupancy(self.now);
        let slots = backend.spec.slots.max(1);
        let queue_cost = (occupancy + 1).saturating_sub(slots) * SLOT_WAIT_COST_MS * 2 / slots;
        // Balances requests among servers that have free slots.
        let utilization_cost = occupancy * SLOT_WAIT_COST_MS / slots;
        queue_cost + utilization_cost + self.server_cost(backend)
    }

    /// The cost of a server apart from its load: for its distance and its recent failures.
    pub(super) fn server_cost(&self, backend: &Backend) -> u64 {
        let distance_cost = if backend.spec.domain == self.domain {
            0
        } else {
            OTHER_DOMAIN_COST_MS
        };
        distance_cost + backend.failure_permille(self.now) * FAILING_COST_MS / MAX_FAILURE_PERMILLE
    }
}
