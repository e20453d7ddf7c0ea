//! Selects the backend server for a request to a plain service.

use {
    super::{
        backend::Backend,
        cached::rendezvous_score,
        choice::{Choice, ChoiceContext, OTHER_DOMAIN_COST_MS},
        service_model::{PlainForecast, ServiceModel},
    },
    crate::{
        id::WorkerId,
        unit::{DurationMs, Tokens},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Cost of a request that waits for a slot of a plain service: about the time of one request.
const SLOT_WAIT_COST_MS: u64 = 30;
/// Scale of the weights by which servers are drawn.
const WEIGHT_SCALE: u64 = 10_000;
/// How much less often a server in another failure domain is drawn.
const OTHER_DOMAIN_DIVISOR: u64 = 4;

/// A server that is eligible for a request.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    worker: WorkerId,
    backend: &'a Backend,
    forecast: PlainForecast,
    relative_percent: u64,
    occupancy: u64,
}

impl Candidate<'_> {
    /// Whether the server is as fast as usual for its service, and no request is overdue there.
    fn is_usual(&self) -> bool {
        let is_overdue =
            self.forecast.wait_ms > DurationMs(0) && self.occupancy < self.backend.spec.slots;
        self.relative_percent == 100 && !is_overdue
    }

    /// Whether as much runs at the server as it takes well, before its slots are taken.
    fn is_crowded(&self) -> bool {
        self.forecast.comfortable < self.backend.spec.slots
            && self.occupancy >= self.forecast.comfortable
    }

    /// The requests that the server takes well besides those that it has.
    fn free(&self) -> u64 {
        self.forecast.comfortable.saturating_sub(self.occupancy)
    }

    /// The free part of what the server takes well, by its speed.
    fn weight(&self, context: &ChoiceContext<'_>) -> u64 {
        let weight = (1 + self.free() * 100) * WEIGHT_SCALE / self.relative_percent;
        let is_near = self.backend.spec.domain == context.domain;
        weight / if is_near { 1 } else { OTHER_DOMAIN_DIVISOR }
    }
}

/// Chooses the server for a request to a plain service; `None` if no server is eligible. `random`
/// breaks ties.
#[must_use]
pub fn choose_plain(context: &ChoiceContext<'_>, service: &str, random: u64) -> Option<Choice> {
    let model = context.backends.model(service);
    let mut candidates: Vec<Candidate<'_>> = context
        .eligible(service)
        .map(|(worker, backend)| Candidate {
            worker,
            backend,
            forecast: model.plain_forecast(backend, context.target_ms, context.now),
            relative_percent: model.relative_percent(backend, context.now),
            occupancy: backend.occupancy(context.now),
        })
        .collect();
    let is_in_time = |candidate: &Candidate<'_>| {
        context.makes_deadline(candidate.backend, candidate.forecast.answer_ms)
    };
    if candidates.iter().any(is_in_time) {
        candidates.retain(is_in_time);
    }
    let crowded = candidates.iter().filter(|row| row.is_crowded()).count();
    let are_equal = crowded == 0 || crowded == candidates.len();
    let best = if are_equal && candidates.iter().all(Candidate::is_usual) {
        least_occupied(context, &candidates, random)?
    } else {
        draw(context, model, &candidates, random)?
    };
    Some(choice(model, &best))
}

/// Chooses among servers that are equally fast.
fn least_occupied<'a>(
    context: &ChoiceContext<'_>,
    candidates: &[Candidate<'a>],
    random: u64,
) -> Option<Candidate<'a>> {
    let candidates = candidates.iter().copied();
    candidates.min_by_key(|candidate| {
        let occupancy = candidate.occupancy;
        let slots = candidate.backend.spec.slots.max(1);
        let queue_cost = (occupancy + 1).saturating_sub(slots) * SLOT_WAIT_COST_MS * 2 / slots;
        // Balances requests among servers that have free slots.
        let utilization_cost = occupancy * SLOT_WAIT_COST_MS / slots;
        let cost = queue_cost + utilization_cost + context.server_cost(candidate.backend);
        (cost, rendezvous_score(random, candidate.worker))
    })
}

/// Draws one of the servers that answer within about one work time of the earliest, and of those that
/// aren't slow for a moment if any has room. Entry VMs that learn of a fast server at the same moment
/// don't all choose it.
fn draw<'a>(
    context: &ChoiceContext<'_>,
    model: &ServiceModel,
    candidates: &[Candidate<'a>],
    random: u64,
) -> Option<Candidate<'a>> {
    let cost_ms = |candidate: &Candidate<'_>| {
        let is_near = candidate.backend.spec.domain == context.domain;
        let distance_cost = if is_near { 0 } else { OTHER_DOMAIN_COST_MS };
        candidate.forecast.answer_ms.0 + context.server_cost(candidate.backend) - distance_cost
    };
    let least_ms = candidates.iter().map(cost_ms).min()?;
    let tolerance_ms = model.median().unwrap_or_default().work_ms().0;
    let is_near_best = |candidate: &Candidate<'_>| cost_ms(candidate) <= least_ms + tolerance_ms;
    let is_steady = |candidate: &Candidate<'_>| !candidate.backend.speed.is_slow(context.now);
    let has_room = |candidate: &Candidate<'_>| {
        is_near_best(candidate) && is_steady(candidate) && candidate.free() > 0
    };
    let has_any_room = candidates.iter().any(has_room);
    let near_best = candidates
        .iter()
        .filter(|candidate| is_near_best(candidate) && (!has_any_room || is_steady(candidate)));
    let weights: Vec<(Candidate<'a>, u64)> = near_best
        .map(|candidate| (*candidate, candidate.weight(context).max(1)))
        .collect();
    let total: u64 = weights.iter().map(|row| row.1).sum();
    // `random` itself has selected the service.
    let mut offset = xxh3_64(&random.to_le_bytes()).checked_rem(total)?;
    for (candidate, weight) in weights {
        if offset < weight {
            return Some(candidate);
        }
        offset -= weight;
    }
    None
}

fn choice(model: &ServiceModel, best: &Candidate<'_>) -> Choice {
    // Nothing is predicted before work was measured.
    let is_measured = model.median().is_some();
    let measured = |time_ms: DurationMs| if is_measured { time_ms } else { DurationMs(0) };
    Choice {
        worker: best.worker,
        fetch: None,
        save_to: None,
        is_decode_heavy: false,
        prefill_tokens: Tokens(0),
        nominal_prefill_ms: DurationMs(0),
        prefill_ms: DurationMs(0),
        queue_ms: measured(best.forecast.wait_ms),
        reported_waiting: 0,
        shared_prefill_tokens: Tokens(0),
        recomputed_tokens: Tokens(0),
        steps_from_home: 0,
        weights: None,
        first_token_ms: measured(best.forecast.answer_ms),
        limit_ms: None,
        occupancy: best.occupancy,
        comfortable: if is_measured {
            best.forecast.comfortable
        } else {
            best.backend.spec.slots
        },
    }
}
