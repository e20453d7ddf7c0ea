//! Chooses a worker for a request by its predicted first token and the work to recompute.
//!
//! A prompt has a home: the workers that come first for the hash of its home level, the same in
//! every entry VM. The more work a level brings, the more workers its home has. Workers that
//! already hold a part of the prompt, the home, and a few others are compared.

use {
    super::{
        eligible::EligibleWorkers,
        home::{self, Home, tokens_of},
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

/// Up to this many workers all are compared.
const COMPARE_ALL: usize = 32;
/// A failure domain with this many workers for a model uses others only when they can't serve.
const ENOUGH_IN_DOMAIN: usize = 64;
/// Workers compared because they hold a part of the prompt.
const HOLDERS: usize = 8;
/// Workers compared at random.
const RANDOM: usize = 4;
/// What a request that crosses failure domains takes longer.
const CROSS_DOMAIN_MS: u64 = 1;
/// The part of the target that a worker may take without being passed over for a quicker one, in
/// thousandths.
const COMFORT_PERMILLE: u64 = 500;
/// The part of the target by which a worker may be slower than the quickest, in thousandths.
const SLACK_PERMILLE: u64 = 100;
/// How much more a millisecond of recomputation weighs than one of waiting.
const RECOMPUTE_WEIGHT: u64 = 2;
/// The same for the recomputation that a request away from its home causes later.
const AWAY_WEIGHT: u64 = 1;
/// How much quicker an import must be than the computation, in thousandths.
const IMPORT_GAIN_PERMILLE: u64 = 1_200;
/// Exports are for at least this many pieces.
const MIN_EXPORT_PIECES: usize = 4;

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
    /// What is expected of the attempt.
    pub expected: Expectation,
}

/// What a worker would make of a request.
#[derive(Clone, Copy, Debug)]
struct Prediction {
    worker: WorkerId,
    /// Its place among the workers for the home level.
    rank: usize,
    cached_pieces: usize,
    cache_age_ms: DurationMs,
    imported_pieces: usize,
    uncached_tokens: Tokens,
    recompute_ms: DurationMs,
    work_ms: DurationMs,
    uncorrected_ms: DurationMs,
    predicted_ms: DurationMs,
    /// Whether it may cost more than the class allows.
    is_dear: bool,
}

/// A model request and what is the same for all workers.
struct Prompt<'a> {
    request: &'a Request,
    target_ms: DurationMs,
    max_cost: MicroCredits,
    scope: PrefixScope,
    chain: PrefixChain,
    holders: Vec<Holder>,
    kept_pieces: usize,
    home: Home,
}

/// The best worker for a request now, if any takes work.
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
    let count = if pool.all.len() <= COMPARE_ALL {
        pool.all.len()
    } else {
        2 * RANDOM
    };
    let usable = EligibleWorkers::new(core, request, &pool.all);
    let workers = usable.from(jitter(core, request.id, WorkerId(0)), count);
    let worker = workers.into_iter().min_by_key(|worker| {
        (
            worker.wait_ms(core.now),
            worker.in_flight,
            worker.domain != core.settings.domain,
            jitter(core, request.id, worker.id),
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
    let (weights, pool) = serving(core, model, declared)?;
    let scope = PrefixScope {
        customer: request.customer(),
        model,
        weights,
    };
    let chain = PrefixChain::from_levels(scope, &request.arrival.levels);
    let prompt = Prompt {
        request,
        target_ms: class.first_token_target_ms,
        max_cost: class.max_cost_microcredits,
        scope,
        holders: core.cache.holders(&chain, core.now),
        kept_pieces: core.exported_pieces.piece_count(&chain, core.now),
        home: Home::of(core, &chain, model),
        chain,
    };
    let chosen = choose(core, &prompt, class, pool)?;
    Some(finish(core, prompt, chosen))
}

/// The weights to serve a model with: the declared ones if any worker has them, else those that
/// the most workers have.
fn serving(
    core: &Core,
    model: ModelId,
    declared: WeightsVersion,
) -> Option<(WeightsVersion, &Pool)> {
    let serves = |pool: &Pool| {
        let accepts_work = |id| core.workers.get(&id).is_some_and(Worker::accepts_work);
        pool.all.iter_from(0).any(accepts_work)
    };
    let pool = core.worker_pools.pool(Offer::Model(model, declared));
    if let Some(pool) = pool.filter(|pool| serves(pool)) {
        return Some((declared, pool));
    }
    core.worker_pools
        .versions(model)
        .filter(|(_, pool)| serves(pool))
        .max_by_key(|(weights, pool)| (pool.all.len(), *weights))
}

/// Chooses in the own failure domain when it has enough workers and one that is on time, else
/// among all.
fn choose<'a>(
    core: &'a Core,
    prompt: &Prompt<'a>,
    class: &Class,
    pool: &'a Pool,
) -> Option<Prediction> {
    if pool.own_domain.len() < ENOUGH_IN_DOMAIN {
        return choose_in(core, prompt, &pool.all);
    }
    let own = choose_in(core, prompt, &pool.own_domain);
    let on_time = |chosen: &Prediction| chosen.predicted_ms <= class.first_token_target_ms;
    if pool.own_domain.len() == pool.all.len() || own.as_ref().is_some_and(on_time) {
        return own;
    }
    choose_in(core, prompt, &pool.all)
        .into_iter()
        .chain(own)
        .min_by_key(|chosen| chosen.predicted_ms)
}

fn choose_in<'a>(core: &'a Core, prompt: &Prompt<'a>, ring: &'a Ring) -> Option<Prediction> {
    let predictions: Vec<Prediction> = candidates(core, prompt, ring)
        .into_iter()
        .map(|(rank, worker)| predict(core, prompt, rank, worker))
        .collect();
    let quickest = predictions.iter().map(|one| one.predicted_ms).min()?;
    let target = prompt.target_ms.0;
    let comfort =
        (target * COMFORT_PERMILLE / 1_000).max(quickest.0 + target * SLACK_PERMILLE / 1_000);
    predictions.into_iter().min_by_key(|prediction| {
        if prediction.predicted_ms.0 > comfort {
            (prediction.is_dear, true, prediction.predicted_ms.0)
        } else {
            let delay_ms = delay_ms(core, prompt, prediction);
            (prediction.is_dear, false, delay_ms)
        }
    })
}

/// How much it delays all requests, in milliseconds, that a worker on time takes this one.
fn delay_ms(core: &Core, prompt: &Prompt<'_>, prediction: &Prediction) -> u64 {
    let home = prompt.home;
    let wait_ms = prediction
        .predicted_ms
        .saturating_sub(prediction.recompute_ms);
    let jitter = jitter(core, prompt.request.id, prediction.worker) >> 56;
    let wait_ms = wait_ms.0 + wait_ms.0 * jitter / 2_048 + jitter / 128;
    let recompute_ms = prediction.recompute_ms.0;
    let in_home = prediction.rank < home.spread && home.spread > 1;
    let weight = if in_home { 1 } else { RECOMPUTE_WEIGHT };
    let away = prediction.rank >= home.spread && prediction.cached_pieces < home.pieces;
    let away_weight = if away { AWAY_WEIGHT } else { 0 };
    wait_ms + recompute_ms * (weight + away_weight)
}

/// The workers to compare, with their places among the workers for the home level.
fn candidates<'a>(core: &'a Core, prompt: &Prompt<'a>, ring: &'a Ring) -> Vec<(usize, &'a Worker)> {
    let usable = EligibleWorkers::new(core, prompt.request, ring);
    if ring.len() <= COMPARE_ALL {
        return home::ranked(prompt.home, usable.from(0, ring.len()));
    }
    let mut found = home::on_ring(prompt.home, &usable);
    let mut holders: Vec<&Holder> = prompt.holders.iter().collect();
    holders.sort_by_key(|holder| {
        let jitter = jitter(core, prompt.request.id, holder.worker);
        (std::cmp::Reverse(holder.pieces), jitter)
    });
    let holders = holders
        .into_iter()
        .filter_map(|holder| usable.worker(holder.worker))
        .take(HOLDERS);
    found.extend(holders.map(|worker| (usize::MAX, worker)));
    let random = jitter(core, prompt.request.id, WorkerId(0));
    let random = (0..RANDOM as u64)
        .filter_map(|turn| usable.first(xxh3_64_with_seed(&turn.to_le_bytes(), random)));
    found.extend(random.map(|worker| (usize::MAX, worker)));
    found.sort_by_key(|(rank, worker)| (worker.id, *rank));
    found.dedup_by_key(|(_, worker)| worker.id);
    found
}

/// The same in every run, different for every request, entry VM and worker.
fn jitter(core: &Core, request: RequestId, worker: WorkerId) -> u64 {
    let seed = xxh3_64_with_seed(&request.0.to_le_bytes(), core.settings.entry.0);
    xxh3_64_with_seed(&worker.0.to_le_bytes(), seed)
}

fn predict(core: &Core, prompt: &Prompt<'_>, rank: usize, worker: &Worker) -> Prediction {
    let held = prompt
        .holders
        .iter()
        .find(|holder| holder.worker == worker.id);
    let cached_pieces = held.map_or(0, |holder| holder.pieces);
    let imported_pieces = imported(worker, cached_pieces, prompt.kept_pieces);
    let present = cached_pieces.max(imported_pieces);
    let import = tokens_of(imported_pieces.saturating_sub(cached_pieces));
    let unknown_tokens = prompt
        .request
        .prompt_tokens
        .saturating_sub(tokens_of(present));
    let uncached_tokens =
        unknown_tokens.saturating_sub(prompt.home.likely_tokens(core, rank, worker.id, present));
    let recompute_ms = worker.prefill_ms(uncached_tokens);
    let import_ms = if import.0 > 0 {
        worker.import_rate().time_for(import)
    } else {
        DurationMs(0)
    };
    let cross_ms = if worker.domain == core.settings.domain {
        DurationMs(0)
    } else {
        DurationMs(CROSS_DOMAIN_MS)
    };
    let paid_tokens = prompt.request.plus_max_answer_tokens(unknown_tokens);
    let work_ms = recompute_ms + import_ms;
    let uncorrected_ms = worker.wait_ms(core.now) + work_ms + cross_ms;
    Prediction {
        worker: worker.id,
        rank,
        cached_pieces,
        cache_age_ms: held.map_or(DurationMs(0), |holder| holder.age_ms),
        imported_pieces,
        uncached_tokens,
        recompute_ms,
        work_ms,
        uncorrected_ms,
        predicted_ms: worker.corrected_ms(uncorrected_ms),
        is_dear: cost(paid_tokens, worker.price()) > prompt.max_cost,
    }
}

/// The pieces that the worker should have after an import, or zero when it is not worth one.
fn imported(worker: &Worker, cached_pieces: usize, kept_pieces: usize) -> usize {
    let gained = worker.import_rate().0.saturating_mul(1_000);
    let needed = worker.prefill_rate().0.saturating_mul(IMPORT_GAIN_PERMILLE);
    if kept_pieces > cached_pieces && gained > needed {
        kept_pieces
    } else {
        0
    }
}

fn finish(core: &Core, prompt: Prompt<'_>, chosen: Prediction) -> Placement {
    let worker = core.workers.get(&chosen.worker);
    let exported_pieces = worker.map_or(0, |worker| exported(core, &prompt, worker));
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
            home_level_pieces: if chosen.rank < prompt.home.spread {
                prompt.home.pieces
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

/// The pieces that are worth keeping: those of a home level that keeps coming back and isn't kept.
fn exported(core: &Core, prompt: &Prompt<'_>, worker: &Worker) -> usize {
    let home = prompt.home;
    let worth = worker.import_rate().0 > 0
        && home.pieces >= MIN_EXPORT_PIECES
        && home.pieces > prompt.kept_pieces
        && core.demand.is_recurring(home.level, core.now);
    if worth { home.pieces } else { 0 }
}

/// Brings what follows from the list of VMs up to date.
pub fn update_pools(core: &mut Core, list: &VmList) {
    let entry = |vm: &&Vm| vm.role == VmRole::Entry && !vm.leaving;
    core.entry_vms = list.vms.iter().filter(entry).count().max(1);
    let gone: Vec<WorkerId> = core
        .worker_pools
        .workers()
        .filter(|id| !core.workers.contains(id))
        .collect();
    for id in gone {
        core.worker_pools.remove_worker(id);
        core.cache.remove_worker(id);
    }
    for (id, worker) in core.workers.iter() {
        let in_own_domain = worker.domain == core.settings.domain;
        core.worker_pools
            .set_offers(*id, in_own_domain, worker.offers());
    }
}
