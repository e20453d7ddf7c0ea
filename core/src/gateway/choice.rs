//! Which backend server takes a request.

use {
    super::{
        backend::{Backend, BackendTable, MAX_FAILURE_PERMILLE},
        cached::{CachedParts, PromptPart, rendezvous_score},
        prediction::{Candidate, is_permitted, predict, saved_to},
        routing::{KeptStore, ServiceSpec},
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
/// The cost of a request that must wait for a slot of a plain service, in milliseconds: about
/// the work of one request.
const SLOT_WAIT_MS: u64 = 30;
/// Prompt tokens for one token of the answer below which a request mostly writes. Writing a token
/// takes an engine about as long as reading this many.
const READ_TOKENS_PER_WRITTEN: u64 = 48;

/// Where an engine finds cached parts that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fetch {
    /// At another engine.
    Engine(WorkerId),
    /// In a store of kept KV cache.
    KeptStore(WorkerId),
}

/// A backend server that takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub worker: WorkerId,
    /// Where it finds cached parts that it lacks.
    pub fetch: Option<Fetch>,
    /// The store of kept KV cache in which the parts are saved.
    pub save_to: Option<WorkerId>,
    /// Whether the request mostly writes.
    pub is_decode_heavy: bool,
    /// Prompt tokens that it is predicted to read.
    pub prefill_tokens: Tokens,
    /// What a nominal engine takes to read them.
    pub nominal_prefill_ms: DurationMs,
    /// What this one takes.
    pub prefill_ms: DurationMs,
    /// What others have queued up there before.
    pub queue_ms: DurationMs,
    /// How many of these tokens other requests share.
    pub shared_prefill_tokens: Tokens,
    /// How many of those somebody else holds or is reading.
    pub recomputed_tokens: Tokens,
    /// Its place in the order of engines that all entry VMs agree on; the first is the home.
    pub steps_from_home: u64,
    /// The weights that the request runs on, of a model's.
    pub weights: Option<WeightsVersion>,
    /// The predicted time to the first token.
    pub first_token_ms: DurationMs,
    /// The longest time that it may take, since its weights are no longer permitted after that.
    pub limit_ms: Option<DurationMs>,
}

/// What a choice looks at beside the request.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext<'a> {
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
    /// Requests of this entry VM that one server may have in progress: each takes a connection.
    pub max_in_flight: u64,
    /// Now.
    pub now: TimeMs,
}

/// Weights that were named for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedWeights {
    /// Their version.
    pub version: WeightsVersion,
    /// When this entry VM heard of them.
    pub learned_at_ms: TimeMs,
    /// How long after that a request may begin on older ones.
    pub grace_ms: DurationMs,
}

/// A request to a model.
#[derive(Clone, Copy, Debug)]
pub struct ModelCall<'a> {
    /// The model.
    pub model: &'a str,
    /// The customer's name, if it shares no cached work.
    pub isolated_customer: Option<&'a str>,
    /// The parts of its prompt. The last one is its own.
    pub parts: &'a [PromptPart],
    /// Requests of all entry VMs that mostly write and are in progress, as far as this one can
    /// tell.
    pub decode_heavy_requests: u64,
    /// A number that was drawn for the request.
    pub random: u64,
    /// The longest answer.
    pub max_answer_tokens: Tokens,
    /// [`super::chain_of`] the parts.
    pub prefix_hashes: &'a [u64],
    /// The stores of kept KV cache that answer.
    pub kept_stores: &'a [&'a KeptStore],
    /// The weights that were named, oldest first.
    pub announced: &'a [AnnouncedWeights],
}

/// Chooses the server for a request to a plain service. `random` spreads equal ones.
#[must_use]
pub fn choose_plain(context: &ChoiceContext<'_>, service: &str, random: u64) -> Option<Choice> {
    let usable = context.usable(service);
    let best = usable.min_by_key(|(worker, backend)| {
        let occupancy = backend.occupancy(context.now);
        let slots = backend.spec.slots.max(1);
        let waiting = (occupancy + 1).saturating_sub(slots) * SLOT_WAIT_MS * 2 / slots;
        // Equal shares among servers that have free slots.
        let share = occupancy * SLOT_WAIT_MS / slots;
        let cost = waiting + share + context.standing_cost(backend);
        (cost, rendezvous_score(random, *worker))
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
        shared_prefill_tokens: Tokens(0),
        recomputed_tokens: Tokens(0),
        steps_from_home: 0,
        weights: None,
        first_token_ms: DurationMs(0),
        limit_ms: None,
    })
}

/// Chooses the engine for a request to a model.
#[must_use]
pub fn choose_model(
    context: &ChoiceContext<'_>,
    service: &ServiceSpec,
    call: &ModelCall<'_>,
) -> Option<Choice> {
    let mut engines: Vec<Candidate<'_>> = context
        .usable(&service.name)
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
    // Requests that mostly write share few engines, the same in all entry VMs, so that long
    // prompts are read elsewhere; the others go where their shared parts are.
    let writers_key = xxh3_64(call.model.as_bytes());
    engines.sort_by_key(|engine| std::cmp::Reverse(rendezvous_score(writers_key, engine.worker)));
    let slots = engines.first().map_or(1, Candidate::free_slots);
    let writers = 1 + usize::try_from(call.decode_heavy_requests / slots).unwrap_or(usize::MAX);
    for engine in engines.iter_mut().take(writers) {
        engine.is_decode_engine = true;
    }
    if !call.is_decode_heavy() {
        let home_key = call
            .prefix_hashes
            .iter()
            .rev()
            .nth(1)
            .copied()
            .unwrap_or_default();
        engines.sort_by_key(|engine| {
            let ranked = std::cmp::Reverse(rendezvous_score(home_key, engine.worker));
            (engine.is_decode_engine, ranked)
        });
    }
    let predictions = engines.iter().enumerate();
    let (_, choice) = predictions
        .map(|(steps, engine)| predict(context, service, call, engine, steps as u64))
        .min_by_key(|(cost, _)| *cost)?;
    Some(Choice {
        save_to: saved_to(context, call, &choice),
        ..choice
    })
}

impl ModelCall<'_> {
    /// Whether an engine spends more on writing its answer than on reading its prompt.
    #[must_use]
    pub fn is_decode_heavy(&self) -> bool {
        let prompt: u64 = self.parts.iter().map(|part| part.tokens.0).sum();
        prompt < self.max_answer_tokens.0 * READ_TOKENS_PER_WRITTEN
    }
}

impl<'a> ChoiceContext<'a> {
    pub(super) fn is_reachable(&self, worker: WorkerId) -> bool {
        let backend = self.backends.get(worker);
        backend.is_some_and(|backend| backend.is_reachable(self.now))
    }

    /// The servers of a service that may be tried and have a connection left. One that could not be
    /// reached lately is tried only when there is no other.
    fn usable(&'a self, service: &'a str) -> impl Iterator<Item = (WorkerId, &'a Backend)> {
        let max_in_flight = self.max_in_flight;
        let untried = move |row: &(WorkerId, &Backend)| {
            !self.tried.contains(&row.0) && row.1.in_flight < max_in_flight
        };
        let now = self.now;
        let any_reachable = self
            .backends
            .ready(service)
            .filter(untried)
            .any(|row| row.1.takes_requests(now));
        let only = self.only;
        self.backends
            .ready(service)
            .filter(untried)
            .filter(move |row| only.is_none_or(|only| only == row.0))
            .filter(move |row| !any_reachable || row.1.takes_requests(now))
    }

    pub(super) fn standing_cost(&self, backend: &Backend) -> u64 {
        let distance = if backend.spec.domain == self.domain {
            0
        } else {
            OTHER_DOMAIN_MS
        };
        distance + backend.failure_permille(self.now) * FAILING_MS / MAX_FAILURE_PERMILLE
    }
}
