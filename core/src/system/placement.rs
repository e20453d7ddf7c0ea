//! Selects a worker for a request by its predicted time to first token and the prompt tokens that
//! have to be recomputed.
//!
//! Each prompt has home workers, which rendezvous hashing assigns to the hash of its home level, so
//! that all entry VMs choose the same ones. Their number grows with the load of the level.
//! Candidates are the home workers, workers that already cache a part of the prompt, and a few
//! random ones.

use {
    super::{
        eligible::EligibleWorkers,
        home::{self, PromptHome, tokens_of_pieces},
    },
    crate::{
        cache::Holder,
        core::Core,
        credit::cost,
        declaration::{Class, ServedBy},
        event::{Vm, VmList, VmRole},
        id::{Incarnation, ModelId, PieceHash, RequestId, WeightsVersion, WorkerId},
        prefix::{PrefixChain, PrefixScope},
        request::{Expectation, Request},
        ring::{Offer, Pool, Ring},
        unit::{DurationMs, MicroCredits, Tokens},
        worker::Worker,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// With at most this many workers, all of them are candidates.
const MAX_UNSAMPLED_WORKERS: usize = 32;
/// With at least this many workers for a model in the entry VM's failure domain, other domains are
/// used only when none of these is on time.
const MIN_DOMAIN_WORKERS: usize = 64;
/// Candidates that cache a part of the prompt.
const MAX_HOLDER_CANDIDATES: usize = 8;
/// Candidates chosen at random.
const RANDOM_CANDIDATES: usize = 4;
/// Extra latency of a request that crosses failure domains.
const CROSS_DOMAIN_MS: u64 = 1;
/// Workers predicted to answer within this part of the target are compared by placement cost, not
/// by time.
const ON_TIME_PERMILLE: u64 = 500;
/// The same holds for workers slower than the fastest by at most this part of the target.
const SLACK_PERMILLE: u64 = 100;
/// Weight of a millisecond of recomputation relative to one of waiting.
const RECOMPUTE_WEIGHT: u64 = 2;
/// Additional weight away from the home workers, for the recomputation that this causes later.
const AWAY_RECOMPUTE_WEIGHT: u64 = 1;
/// Least ratio of the import rate to the prefill rate at which pieces are imported.
const MIN_IMPORT_SPEEDUP_PERMILLE: u64 = 1_200;
/// Shorter prefixes are not exported.
const MIN_EXPORT_PIECES: usize = 4;

/// The chosen worker for a request, and what is expected of it.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The worker to send the request to.
    pub worker: WorkerId,
    /// The worker's incarnation, if known.
    pub incarnation: Option<Incarnation>,
    /// Scope of the request's cached pieces; `None` for a plain service.
    pub scope: Option<PrefixScope>,
    /// Predicted time from now to the first token.
    pub predicted_ms: DurationMs,
    /// Prompt tokens that the worker is expected to compute.
    pub uncached_tokens: Tokens,
    /// Pieces that the worker imports from the KV cache store first.
    pub import: Vec<PieceHash>,
    /// Pieces that the worker exports to the KV cache store afterwards.
    pub export: Vec<PieceHash>,
    /// The prediction behind this placement, to be compared with the outcome.
    pub expected: Expectation,
}

/// The predicted performance of one worker for a request.
#[derive(Clone, Copy, Debug)]
struct Prediction {
    worker: WorkerId,
    /// Rank among the workers for the home level; `usize::MAX` if not ranked.
    rank: usize,
    cached_pieces: usize,
    cache_age_ms: DurationMs,
    imported_pieces: usize,
    uncached_tokens: Tokens,
    recompute_ms: DurationMs,
    work_ms: DurationMs,
    uncorrected_ms: DurationMs,
    predicted_ms: DurationMs,
    /// Whether the request may cost more than the class allows on this worker.
    exceeds_max_cost: bool,
}

/// A model request with the inputs of the choice that don't depend on the worker.
struct PromptContext<'a> {
    request: &'a Request,
    target_ms: DurationMs,
    max_cost: MicroCredits,
    scope: PrefixScope,
    chain: PrefixChain,
    holders: Vec<Holder>,
    stored_pieces: usize,
    home: PromptHome,
}

/// Returns the best worker for a request, or `None` if no worker accepts it.
#[must_use]
pub fn place(core: &Core, request: RequestId, class: &Class) -> Option<Placement> {
    let request = core.requests.get(&request)?;
    match &class.served_by {
        ServedBy::Model { .. } => place_model(core, request, class),
        ServedBy::Service { .. } => place_service(core, request, class),
    }
}

fn place_service(core: &Core, request: &Request, class: &Class) -> Option<Placement> {
    let pool = core
        .worker_pools
        .pool(Offer::Service(class.served_by.service()?))?;
    let count = if pool.all.len() <= MAX_UNSAMPLED_WORKERS {
        pool.all.len()
    } else {
        2 * RANDOM_CANDIDATES
    };
    let eligible = EligibleWorkers::new(core, request, &pool.all);
    let workers = eligible.take_from(pseudo_random(core, request.id, WorkerId(0)), count);
    let worker = workers.into_iter().min_by_key(|worker| {
        (
            worker.wait_ms(core.now),
            worker.in_flight,
            worker.domain != core.settings.domain,
            pseudo_random(core, request.id, worker.id),
        )
    })?;
    let uncorrected_ms = worker.wait_ms(core.now) + worker.answer_ms();
    Some(Placement {
        worker: worker.id,
        incarnation: worker.incarnation,
        scope: None,
        predicted_ms: uncorrected_ms,
        uncached_tokens: Tokens(0),
        import: Vec::new(),
        export: Vec::new(),
        expected: Expectation {
            uncorrected_ms,
            work_ms: worker.answer_ms(),
            price: worker.price(),
            ..Expectation::default()
        },
    })
}

fn place_model(core: &Core, request: &Request, class: &Class) -> Option<Placement> {
    let model = class.served_by.model()?;
    let declared = *core.models.get(&model)?;
    let (weights, pool) = select_pool(core, model, declared)?;
    let scope = PrefixScope {
        customer: request.customer(),
        model,
        weights,
    };
    let chain = PrefixChain::from_levels(scope, &request.arrival.levels);
    let prompt = PromptContext {
        request,
        target_ms: class.first_token_target_ms,
        max_cost: class.max_cost_microcredits,
        scope,
        holders: core.cache.holders(&chain, core.now),
        stored_pieces: core.exported_pieces.piece_count(&chain, core.now),
        home: PromptHome::new(core, &chain, model),
        chain,
    };
    let chosen = choose(core, &prompt, class, pool)?;
    Some(build_placement(core, prompt, chosen))
}

/// Returns the weights to serve a model with: the declared ones if a worker that accepts work has
/// loaded them, otherwise those that most workers have loaded.
fn select_pool(
    core: &Core,
    model: ModelId,
    declared: WeightsVersion,
) -> Option<(WeightsVersion, &Pool)> {
    let has_available = |pool: &Pool| {
        let accepts_work = |id| core.workers.get(&id).is_some_and(Worker::accepts_work);
        pool.all.iter_from(0).any(accepts_work)
    };
    let pool = core.worker_pools.pool(Offer::Model(model, declared));
    if let Some(pool) = pool.filter(|pool| has_available(pool)) {
        return Some((declared, pool));
    }
    core.worker_pools
        .versions(model)
        .filter(|(_, pool)| has_available(pool))
        .max_by_key(|(weights, pool)| (pool.all.len(), *weights))
}

/// Chooses within the entry VM's failure domain when that has enough workers and one of them is on
/// time, otherwise among all workers.
fn choose<'a>(
    core: &'a Core,
    prompt: &PromptContext<'a>,
    class: &Class,
    pool: &'a Pool,
) -> Option<Prediction> {
    if pool.local_domain.len() < MIN_DOMAIN_WORKERS {
        return choose_from_ring(core, prompt, &pool.all);
    }
    let local_choice = choose_from_ring(core, prompt, &pool.local_domain);
    let is_on_time = |chosen: &Prediction| chosen.predicted_ms <= class.first_token_target_ms;
    if pool.local_domain.len() == pool.all.len() || local_choice.as_ref().is_some_and(is_on_time) {
        return local_choice;
    }
    choose_from_ring(core, prompt, &pool.all)
        .into_iter()
        .chain(local_choice)
        .min_by_key(|chosen| chosen.predicted_ms)
}

fn choose_from_ring<'a>(
    core: &'a Core,
    prompt: &PromptContext<'a>,
    ring: &'a Ring,
) -> Option<Prediction> {
    let predictions: Vec<Prediction> = candidates(core, prompt, ring)
        .into_iter()
        .map(|(rank, worker)| predict(core, prompt, rank, worker))
        .collect();
    let fastest_ms = predictions
        .iter()
        .map(|prediction| prediction.predicted_ms)
        .min()?;
    let target = prompt.target_ms.0;
    let on_time_ms =
        (target * ON_TIME_PERMILLE / 1_000).max(fastest_ms.0 + target * SLACK_PERMILLE / 1_000);
    predictions.into_iter().min_by_key(|prediction| {
        if prediction.predicted_ms.0 > on_time_ms {
            (prediction.exceeds_max_cost, true, prediction.predicted_ms.0)
        } else {
            let cost_ms = placement_cost_ms(core, prompt, prediction);
            (prediction.exceeds_max_cost, false, cost_ms)
        }
    })
}

/// Estimates the delay in milliseconds that placing the request on an on-time worker causes to all
/// requests.
fn placement_cost_ms(core: &Core, prompt: &PromptContext<'_>, prediction: &Prediction) -> u64 {
    let home = prompt.home;
    let wait_ms = prediction
        .predicted_ms
        .saturating_sub(prediction.recompute_ms);
    let jitter = pseudo_random(core, prompt.request.id, prediction.worker) >> 56;
    let wait_ms = wait_ms.0 + wait_ms.0 * jitter / 2_048 + jitter / 128;
    let recompute_ms = prediction.recompute_ms.0;
    let is_shared_home = prediction.rank < home.home_workers && home.home_workers > 1;
    let weight = if is_shared_home { 1 } else { RECOMPUTE_WEIGHT };
    let is_away =
        prediction.rank >= home.home_workers && prediction.cached_pieces < home.home_level_pieces;
    let away_weight = if is_away { AWAY_RECOMPUTE_WEIGHT } else { 0 };
    wait_ms + recompute_ms * (weight + away_weight)
}

/// Returns the candidates with their ranks among the workers for the home level.
fn candidates<'a>(
    core: &'a Core,
    prompt: &PromptContext<'a>,
    ring: &'a Ring,
) -> Vec<(usize, &'a Worker)> {
    let eligible = EligibleWorkers::new(core, prompt.request, ring);
    if ring.len() <= MAX_UNSAMPLED_WORKERS {
        return home::rank_workers(prompt.home, eligible.take_from(0, ring.len()));
    }
    let mut ranked = home::select_from_ring(prompt.home, &eligible);
    let mut holders: Vec<&Holder> = prompt.holders.iter().collect();
    holders.sort_by_key(|holder| {
        let jitter = pseudo_random(core, prompt.request.id, holder.worker);
        (std::cmp::Reverse(holder.pieces), jitter)
    });
    let holders = holders
        .into_iter()
        .filter_map(|holder| eligible.worker(holder.worker))
        .take(MAX_HOLDER_CANDIDATES);
    ranked.extend(holders.map(|worker| (usize::MAX, worker)));
    let random = pseudo_random(core, prompt.request.id, WorkerId(0));
    let random = (0..RANDOM_CANDIDATES as u64)
        .filter_map(|index| eligible.first(xxh3_64_with_seed(&index.to_le_bytes(), random)));
    ranked.extend(random.map(|worker| (usize::MAX, worker)));
    ranked.sort_by_key(|(rank, worker)| (worker.id, *rank));
    ranked.dedup_by_key(|(_, worker)| worker.id);
    ranked
}

/// Returns a hash that spreads ties: stable across runs, but different for each request, entry VM
/// and worker.
fn pseudo_random(core: &Core, request: RequestId, worker: WorkerId) -> u64 {
    let seed = xxh3_64_with_seed(&request.0.to_le_bytes(), core.settings.entry.0);
    xxh3_64_with_seed(&worker.0.to_le_bytes(), seed)
}

fn predict(core: &Core, prompt: &PromptContext<'_>, rank: usize, worker: &Worker) -> Prediction {
    let holder = prompt
        .holders
        .iter()
        .find(|holder| holder.worker == worker.id);
    let cached_pieces = holder.map_or(0, |holder| holder.pieces);
    let imported_pieces = pieces_after_import(worker, cached_pieces, prompt.stored_pieces);
    let present_pieces = cached_pieces.max(imported_pieces);
    let import = tokens_of_pieces(imported_pieces.saturating_sub(cached_pieces));
    let unconfirmed_tokens = prompt
        .request
        .prompt_tokens
        .saturating_sub(tokens_of_pieces(present_pieces));
    let uncached_tokens = unconfirmed_tokens.saturating_sub(prompt.home.likely_tokens(
        core,
        rank,
        worker.id,
        present_pieces,
    ));
    let recompute_ms = worker.prefill_ms(uncached_tokens);
    let import_ms = if import.0 > 0 {
        worker.import_rate().time_for(import)
    } else {
        DurationMs(0)
    };
    let cross_domain_ms = if worker.domain == core.settings.domain {
        DurationMs(0)
    } else {
        DurationMs(CROSS_DOMAIN_MS)
    };
    let paid_tokens = prompt.request.plus_max_answer_tokens(unconfirmed_tokens);
    let work_ms = recompute_ms + import_ms;
    let uncorrected_ms = worker.wait_ms(core.now) + work_ms + cross_domain_ms;
    Prediction {
        worker: worker.id,
        rank,
        cached_pieces,
        cache_age_ms: holder.map_or(DurationMs(0), |holder| holder.age_ms),
        imported_pieces,
        uncached_tokens,
        recompute_ms,
        work_ms,
        uncorrected_ms,
        predicted_ms: worker.corrected_ms(uncorrected_ms),
        exceeds_max_cost: cost(paid_tokens, worker.price()) > prompt.max_cost,
    }
}

/// Returns the pieces that the worker has after an import, or zero if importing is not faster than
/// computing.
fn pieces_after_import(worker: &Worker, cached_pieces: usize, stored_pieces: usize) -> usize {
    let import_rate = worker.import_rate().0.saturating_mul(1_000);
    let required_rate = worker
        .prefill_rate()
        .0
        .saturating_mul(MIN_IMPORT_SPEEDUP_PERMILLE);
    if stored_pieces > cached_pieces && import_rate > required_rate {
        stored_pieces
    } else {
        0
    }
}

fn build_placement(core: &Core, prompt: PromptContext<'_>, chosen: Prediction) -> Placement {
    let worker = core.workers.get(&chosen.worker);
    let exported_pieces = worker.map_or(0, |worker| pieces_to_export(core, &prompt, worker));
    let pieces = &prompt.chain.pieces;
    let import = pieces
        .get(chosen.cached_pieces..chosen.imported_pieces)
        .unwrap_or_default()
        .to_vec();
    Placement {
        worker: chosen.worker,
        incarnation: worker.and_then(|worker| worker.incarnation),
        scope: Some(prompt.scope),
        predicted_ms: chosen.predicted_ms,
        uncached_tokens: chosen.uncached_tokens,
        import,
        export: pieces[..exported_pieces].to_vec(),
        expected: Expectation {
            cached_pieces: chosen.cached_pieces,
            cache_age_ms: chosen.cache_age_ms,
            imported_pieces: chosen.imported_pieces,
            exported_pieces,
            first_level_pieces: prompt.home.first_level_pieces,
            home_level_pieces: if chosen.rank < prompt.home.home_workers {
                prompt.home.home_level_pieces
            } else {
                0
            },
            uncorrected_ms: chosen.uncorrected_ms,
            work_ms: chosen.work_ms,
            price: worker.map(Worker::price).unwrap_or_default(),
            hedge_checked_at_ms: core.now,
            streaming_since_ms: None,
            chain: prompt.chain,
        },
    }
}

/// Returns how many pieces to export: those of the home level if it recurs and isn't stored yet.
fn pieces_to_export(core: &Core, prompt: &PromptContext<'_>, worker: &Worker) -> usize {
    let home = prompt.home;
    let is_worth_exporting = worker.import_rate().0 > 0
        && home.home_level_pieces >= MIN_EXPORT_PIECES
        && home.home_level_pieces > prompt.stored_pieces
        && core.demand.is_recurring(home.home_level, core.now);
    if is_worth_exporting {
        home.home_level_pieces
    } else {
        0
    }
}

/// Updates the entry VM count and the worker pools after a new list of VMs.
pub fn update_pools(core: &mut Core, list: &VmList) {
    let entry = |vm: &&Vm| vm.role == VmRole::Entry && !vm.leaving;
    core.entry_vms = list.vms.iter().filter(entry).count().max(1);
    let unlisted: Vec<WorkerId> = core
        .worker_pools
        .workers()
        .filter(|id| !core.workers.contains(id))
        .collect();
    for id in unlisted {
        core.worker_pools.remove_worker(id);
        core.cache.remove_worker(id);
    }
    for (id, worker) in core.workers.iter() {
        let in_local_domain = worker.domain == core.settings.domain;
        core.worker_pools
            .set_offers(*id, in_local_domain, worker.offers());
    }
}
