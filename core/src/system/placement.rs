//! Chooses a worker for a request by its predicted first token and the work to recompute.

use {
    crate::{
        core::Core,
        declaration::{Class, ServedBy},
        id::{Incarnation, ModelId, PieceHash, RequestId, WorkerId},
        prefix::{PrefixChain, PrefixScope},
        unit::{DurationMs, Tokens, TokensPerSecond},
        worker::Worker,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The prefill rate that is assumed before a worker has reported one.
const DEFAULT_PREFILL_RATE: TokensPerSecond = TokensPerSecond(8_000);

/// Where a request is to be sent.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// Its life, if it is known.
    pub incarnation: Option<Incarnation>,
    /// What the request's cached pieces belong to; none for a plain service.
    pub scope: Option<PrefixScope>,
    /// The first token's predicted time from now.
    pub predicted_ms: DurationMs,
    /// Prompt tokens that will have to be computed.
    pub uncached_tokens: Tokens,
    /// Pieces to import from the kept store first.
    pub import: Vec<PieceHash>,
    /// Pieces to export to the kept store afterwards.
    pub export: Vec<PieceHash>,
}

/// The best worker for a request now, if any takes work.
#[must_use]
pub fn place(core: &Core, request: RequestId, class: &Class) -> Option<Placement> {
    match &class.served_by {
        ServedBy::Model { .. } => place_model(core, request, class),
        ServedBy::Service { .. } => place_service(core, request, class),
    }
}

fn place_service(core: &Core, request: RequestId, class: &Class) -> Option<Placement> {
    let service = class.served_by.service()?;
    let request = core.requests.get(&request)?;
    let worker = core
        .workers
        .iter()
        .map(|row| row.1)
        .filter(|worker| worker.service == Some(service) && worker.takes_work())
        .filter(|worker| !request.failed_on.contains(&worker.id))
        .min_by_key(|worker| {
            (
                worker.in_flight,
                worker.domain != core.settings.domain,
                worker.id,
            )
        })?;
    Some(Placement {
        worker: worker.id,
        incarnation: worker.incarnation,
        scope: None,
        predicted_ms: DurationMs(0),
        uncached_tokens: Tokens(0),
        import: Vec::new(),
        export: Vec::new(),
    })
}

fn place_model(core: &Core, request: RequestId, class: &Class) -> Option<Placement> {
    let model = class.served_by.model()?;
    let request = core.requests.get(&request)?;
    let weights = *core.models.get(&model)?;
    let scope = PrefixScope {
        customer: request.customer(),
        model,
        weights,
    };
    let chain = PrefixChain::of(scope, &request.arrival.levels);
    let mut candidates: Vec<Placement> = core
        .workers
        .iter()
        .map(|row| row.1)
        .filter(|worker| worker.takes_work() && worker.weights(model) == Some(weights))
        .filter(|worker| !request.failed_on.contains(&worker.id))
        .map(|worker| predict(core, worker, scope, &chain, request.prompt_tokens))
        .collect();
    let home = home_piece(&chain, model);
    candidates.sort_by_key(|placement| {
        let late = placement.predicted_ms > class.first_token_target_ms;
        let rank = xxh3_64_with_seed(&placement.worker.0.to_le_bytes(), home.0);
        let predicted_ms = if late {
            placement.predicted_ms
        } else {
            DurationMs(0)
        };
        (late, predicted_ms, placement.uncached_tokens, rank)
    });
    candidates.into_iter().next()
}

/// The piece whose hash decides where a prompt without cached pieces goes.
fn home_piece(chain: &PrefixChain, model: ModelId) -> PieceHash {
    let end = chain
        .level_ends
        .iter()
        .copied()
        .find(|end| *end > 0)
        .unwrap_or_default();
    let last = end.checked_sub(1).and_then(|at| chain.pieces.get(at));
    last.copied().unwrap_or(PieceHash(model.0))
}

fn predict(
    core: &Core,
    worker: &Worker,
    scope: PrefixScope,
    chain: &PrefixChain,
    prompt_tokens: Tokens,
) -> Placement {
    let cached = core.cache.cached(worker.id, chain, core.now);
    let uncached_tokens = prompt_tokens.saturating_sub(cached);
    let reported = worker
        .load
        .as_ref()
        .map(|load| load.queued_tokens)
        .unwrap_or_default();
    let sent: Tokens = worker.sent.iter().map(|sent| sent.1).sum();
    let rate = worker
        .load
        .as_ref()
        .map_or(DEFAULT_PREFILL_RATE, |load| load.prefill_rate);
    Placement {
        worker: worker.id,
        incarnation: worker.incarnation,
        scope: Some(scope),
        predicted_ms: rate.time_for(reported + sent + uncached_tokens),
        uncached_tokens,
        import: Vec::new(),
        export: Vec::new(),
    }
}
