//! Chooses a worker for a request by its predicted first token and the work to recompute.
//!
//! A prompt has a home: the workers that come first for the hash of its home level, the same in
//! every entry VM. The more work a level brings, the more workers its home has. Workers that
//! already hold a part of the prompt, the home, and a few others are compared.

use {
    crate::{
        cache::Holder,
        core::Core,
        credit::cost,
        declaration::{Class, ServedBy},
        event::{Vm, VmList, VmRole},
        id::{Incarnation, ModelId, PieceHash, RequestId, WeightsVersion, WorkerId},
        prefix::{PIECE_TOKENS, PrefixChain, PrefixScope},
        request::{Attempt, Expectation, Request},
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
/// Workers passed over at one place of the ring, because they can't take work.
const STEPS: usize = COMPARE_ALL;
/// Workers that share the prompts of one first level at the most.
const MAX_GROUP: usize = 256;
const MAX_HOMES: usize = 16;
/// The level, counted from zero, whose end decides a prompt's home, when it isn't the last.
const HOME_LEVEL: usize = 1;
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
/// The visits within the time that a worker keeps pieces, in thousandths, with which it has them
/// half of the time.
const VISITS_FOR_HALF: u64 = 500;
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

/// Where a prompt belongs.
#[derive(Clone, Copy, Debug)]
struct Home {
    first_level: PieceHash,
    level: PieceHash,
    first_pieces: usize,
    pieces: usize,
    /// Requests with the first level in a thousand seconds, at all entry VMs together.
    first_visits: u64,
    /// The same of the home level.
    visits: u64,
    /// The workers that share the prompts of its first level.
    group: usize,
    /// The workers that its home level is spread over.
    spread: usize,
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
        .offers
        .pool(Offer::Service(class.served_by.service()?))?;
    let count = if pool.all.len() <= COMPARE_ALL {
        pool.all.len()
    } else {
        2 * RANDOM
    };
    let usable = usable(core, request, &pool.all);
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
    let chain = PrefixChain::of(scope, &request.arrival.levels);
    let prompt = Prompt {
        request,
        target_ms: class.first_token_target_ms,
        max_cost: class.max_cost_microcredits,
        scope,
        holders: core.cache.holders(&chain, core.now),
        kept_pieces: core.kept.kept(&chain, core.now),
        home: home(core, &chain, model),
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
        let takes_work = |id| core.workers.get(&id).is_some_and(Worker::takes_work);
        pool.all.from(0).any(takes_work)
    };
    let pool = core.offers.pool(Offer::Model(model, declared));
    if let Some(pool) = pool.filter(|pool| serves(pool)) {
        return Some((declared, pool));
    }
    core.offers
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
    let usable = usable(core, prompt.request, ring);
    if ring.len() <= COMPARE_ALL {
        return ranked(prompt.home, usable.from(0, ring.len()));
    }
    let mut found = homes(prompt.home, &usable);
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

/// All workers: first those that share the prompts of the first level, in the order of the home
/// level, then the others in the order of the first level.
fn ranked(home: Home, mut workers: Vec<&Worker>) -> Vec<(usize, &Worker)> {
    let hash =
        |worker: &Worker, level: PieceHash| xxh3_64_with_seed(&worker.id.0.to_le_bytes(), level.0);
    workers.sort_by_cached_key(|worker| hash(worker, home.first_level));
    let group = home.group.min(workers.len());
    workers[..group].sort_by_cached_key(|worker| hash(worker, home.level));
    workers.into_iter().enumerate().collect()
}

/// The workers of the home on a large ring: some of the places that the first level has there,
/// picked by the home level.
fn homes<'a>(home: Home, usable: &Usable<'a>) -> Vec<(usize, &'a Worker)> {
    const SPARE: usize = 2;
    let mut places: Vec<(u64, u64)> = (0..home.group as u64)
        .map(|place| (xxh3_64_with_seed(&place.to_le_bytes(), home.level.0), place))
        .collect();
    let count = (home.spread + SPARE).min(places.len());
    if count < places.len() {
        places.select_nth_unstable(count);
        places.truncate(count);
    }
    places.sort_unstable();
    let mut found: Vec<(usize, &Worker)> = Vec::with_capacity(places.len());
    for (_, place) in places {
        let key = xxh3_64_with_seed(&place.to_le_bytes(), home.first_level.0);
        let position = usable.ring.position(key);
        let taken = |worker: &Worker| found.iter().any(|one| one.1.id == worker.id);
        if let Some(worker) = usable.first_but(position, taken) {
            found.push((found.len(), worker));
        }
    }
    found
}

/// The workers of a ring that may get a request.
struct Usable<'a> {
    core: &'a Core,
    request: &'a Request,
    ring: &'a Ring,
    /// Whether workers that have just failed are left out.
    preferred: bool,
}

/// Leaves out workers that have just failed, unless all have.
fn usable<'a>(core: &'a Core, request: &'a Request, ring: &'a Ring) -> Usable<'a> {
    let preferred = Usable {
        core,
        request,
        ring,
        preferred: true,
    };
    let any = preferred.first(0).is_some();
    Usable {
        preferred: any,
        ..preferred
    }
}

impl<'a> Usable<'a> {
    fn worker(&self, id: WorkerId) -> Option<&'a Worker> {
        let worker = self.core.workers.get(&id)?;
        let fit = if self.preferred {
            worker.is_preferred(self.core.now)
        } else {
            worker.takes_work()
        };
        (fit && !self.request.failed_on.contains(&id)).then_some(worker)
    }

    fn from(&self, position: u64, count: usize) -> Vec<&'a Worker> {
        self.ring
            .from(position)
            .filter_map(|id| self.worker(id))
            .take(count)
            .collect()
    }

    fn first(&self, position: u64) -> Option<&'a Worker> {
        self.first_but(position, |_| false)
    }

    fn first_but<F>(&self, position: u64, taken: F) -> Option<&'a Worker>
    where
        F: Fn(&Worker) -> bool,
    {
        let mut near = self.ring.from(position).take(STEPS);
        near.find_map(|id| self.worker(id).filter(|worker| !taken(worker)))
    }
}

fn home(core: &Core, chain: &PrefixChain, model: ModelId) -> Home {
    let last = chain.level_ends.len().saturating_sub(2);
    let first_level = level(chain, 0).unwrap_or(PieceHash(model.0));
    let home_level = level(chain, HOME_LEVEL.min(last)).unwrap_or(first_level);
    let group = core.demand.spread(first_level, core.entries, core.now);
    let spread = core
        .demand
        .spread(home_level, core.entries, core.now)
        .min(MAX_HOMES);
    Home {
        first_level,
        level: home_level,
        first_pieces: pieces_to(chain, 0),
        first_visits: core.demand.visits(first_level, core.entries, core.now),
        visits: core.demand.visits(home_level, core.entries, core.now),
        pieces: pieces_to(chain, HOME_LEVEL.min(last)),
        group: group.clamp(spread, MAX_GROUP),
        spread,
    }
}

fn pieces_to(chain: &PrefixChain, level: usize) -> usize {
    chain.level_ends.get(level).copied().unwrap_or_default()
}

/// The hash of a prompt up to the last whole piece of a level.
fn level(chain: &PrefixChain, level: usize) -> Option<PieceHash> {
    let last = pieces_to(chain, level).checked_sub(1)?;
    chain.pieces.get(last).copied()
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
        unknown_tokens.saturating_sub(likely_tokens(core, &prompt.home, rank, worker.id, present));
    let recompute_ms = worker.prefill_rate().time_for(uncached_tokens);
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
    let paid_tokens = prompt.request.with_answer(unknown_tokens);
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

/// The tokens that a worker is likely to have although it isn't known to, since other entry VMs
/// send prompts with the same levels there.
fn likely_tokens(
    core: &Core,
    home: &Home,
    rank: usize,
    worker: WorkerId,
    present: usize,
) -> Tokens {
    if rank >= home.group {
        return Tokens(0);
    }
    let retention_ms = core.cache.retention_ms(worker);
    let permille = |visits: u64, workers: usize| {
        let visits = visits.saturating_mul(retention_ms.0) / 1_000 / workers.max(1) as u64;
        visits * 1_000 / (visits + VISITS_FOR_HALF)
    };
    let first_permille = if present < home.first_pieces {
        permille(home.first_visits, home.group)
    } else {
        1_000
    };
    let first = tokens_of(home.first_pieces.saturating_sub(present));
    let first = Tokens(first.0 * first_permille / 1_000);
    if rank >= home.spread {
        return first;
    }
    let rest = tokens_of(home.pieces.saturating_sub(present.max(home.first_pieces)));
    let rest_permille = permille(home.visits, home.spread).max(core.home_hits_permille);
    first + Tokens(rest.0 * first_permille * rest_permille / 1_000_000)
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

const fn tokens_of(pieces: usize) -> Tokens {
    Tokens(pieces as u64 * PIECE_TOKENS)
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
            first_pieces: prompt.home.first_pieces,
            home_pieces: if chosen.rank < prompt.home.spread {
                prompt.home.pieces
            } else {
                0
            },
            uncorrected_ms: chosen.uncorrected_ms,
            work_ms: chosen.work_ms,
            price: worker.map(Worker::price).unwrap_or_default(),
            looked_at_ms: core.now,
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

/// Notes that a request's attempt was sent: its prompt will be cached there.
pub fn sent(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(attempt) = attempt(core, id) else {
        return;
    };
    let Some(scope) = attempt.scope else {
        return;
    };
    let (worker, expected) = (attempt.worker, attempt.expected.clone());
    core.cache.sent(worker, &expected.chain, now);
    let share_ms = core.workers.get(&worker).map(Worker::answer_share_ms);
    let work_ms = expected.work_ms + share_ms.unwrap_or_default();
    let home = home(core, &expected.chain, scope.model);
    core.demand.note(home.level, work_ms, core.entries, now);
    if home.first_level != home.level {
        core.demand
            .note(home.first_level, work_ms, core.entries, now);
    }
    core.kept
        .exported(&expected.chain, expected.exported_pieces, now);
}

/// Learns from what a worker says was cached.
pub fn accepted(core: &mut Core, id: RequestId, cached_tokens: Tokens) {
    let now = core.now;
    note_progress(core, id);
    let Some(attempt) = attempt(core, id) else {
        return;
    };
    let (worker, expected) = (attempt.worker, attempt.expected.clone());
    let cached = usize::try_from(cached_tokens.0 / PIECE_TOKENS).unwrap_or(usize::MAX);
    if cached < expected.imported_pieces {
        core.kept.missing(&expected.chain, cached);
    } else if expected.imported_pieces == 0 {
        let age_ms = expected.cache_age_ms;
        core.cache
            .compare(worker, expected.cached_pieces, age_ms, cached);
    }
    note_home(core, &expected, cached);
    core.cache.sent(worker, &expected.chain, now);
}

/// Learns how often the home has the home level although it isn't known to.
fn note_home(core: &mut Core, expected: &Expectation, cached: usize) {
    let known = expected
        .cached_pieces
        .max(expected.imported_pieces)
        .max(expected.first_pieces);
    let unknown = expected.home_pieces.saturating_sub(known);
    if unknown == 0 || cached < expected.first_pieces {
        return;
    }
    let found = cached.saturating_sub(known).min(unknown);
    let permille = found as u64 * 1_000 / unknown as u64;
    core.home_hits_permille = (core.home_hits_permille * 31 + permille) / 32;
}

fn note_progress(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(worker) = attempt(core, id).map(|attempt| attempt.worker) else {
        return;
    };
    if let Some(worker) = core.workers.get_mut(&worker) {
        worker.progress_at_ms = now;
    }
}

/// Learns from the time that the first piece of an answer took. Returns the attempt the first time.
pub fn first_piece(core: &mut Core, id: RequestId) -> Option<Attempt> {
    let now = core.now;
    note_progress(core, id);
    let attempt = core.requests.get_mut(&id)?.attempt.as_mut()?;
    if attempt.expected.streaming_since_ms.is_some() {
        return None;
    }
    attempt.expected.streaming_since_ms = Some(now);
    let observed_ms = now.since(attempt.sent_at_ms);
    let predicted_ms = attempt.expected.uncorrected_ms;
    let attempt = attempt.clone();
    if let Some(worker) = core.workers.get_mut(&attempt.worker) {
        worker.note_first_token(predicted_ms, observed_ms);
    }
    Some(attempt)
}

/// Learns from an answer that came to its end.
pub fn answered(core: &mut Core, id: RequestId) {
    let now = core.now;
    note_progress(core, id);
    let Some(attempt) = attempt(core, id) else {
        return;
    };
    let held_ms = match attempt.expected.streaming_since_ms {
        Some(since_ms) => now.since(since_ms) + attempt.expected.work_ms,
        None => now.since(attempt.sent_at_ms),
    };
    let worker = attempt.worker;
    if let Some(worker) = core.workers.get_mut(&worker) {
        worker.note_answer(held_ms);
    }
}

/// Learns from an attempt that failed.
pub fn failed(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(worker) = attempt(core, id).map(|attempt| attempt.worker) else {
        return;
    };
    if let Some(worker) = core.workers.get_mut(&worker) {
        worker.note_failure(now);
    }
}

/// Takes in that an attempt has ended, however. When its prompt was not computed, it takes back
/// what was believed of it.
pub fn ended(core: &mut Core, attempt: &Attempt) {
    let now = core.now;
    let expected = &attempt.expected;
    let computed = expected.streaming_since_ms.is_some();
    if let Some(worker) = core.workers.get_mut(&attempt.worker) {
        worker.note_ended(attempt.sent_at_ms, attempt.uncached_tokens);
        if !computed {
            worker.take_back(attempt.uncached_tokens, now);
        }
    }
    if computed {
        return;
    }
    let from = expected.cached_pieces;
    core.cache
        .forget_tail(attempt.worker, &expected.chain, from);
    if expected.exported_pieces > 0 {
        core.kept.missing(&expected.chain, 0);
    }
}

fn attempt(core: &Core, id: RequestId) -> Option<&Attempt> {
    core.requests.get(&id)?.attempt.as_ref()
}

/// Brings what follows from the list of VMs up to date.
pub fn listed(core: &mut Core, list: &VmList) {
    let entry = |vm: &&Vm| vm.role == VmRole::Entry && !vm.leaving;
    core.entries = list.vms.iter().filter(entry).count().max(1);
    let gone: Vec<WorkerId> = core
        .offers
        .workers()
        .filter(|id| !core.workers.contains(id))
        .collect();
    for id in gone {
        core.offers.forget(id);
        core.cache.forget(id);
    }
    for (id, worker) in core.workers.iter() {
        let in_own_domain = worker.domain == core.settings.domain;
        core.offers.set(*id, in_own_domain, worker.offers());
    }
}
