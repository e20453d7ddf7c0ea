//! Decides at arrival whether a request is served: by its predicted first token, and under
//! contention by its customer's share. Nothing waits here: a refusal is given at once.

use {
    super::{
        credits,
        placement::{self, Placement},
    },
    crate::{
        core::Core,
        declaration::Class,
        event::RETRY_AFTER_MS,
        id::{CustomerId, RequestId},
        margin::Margin,
        request::{Attempt, Request},
        unit::{DurationMs, TimeMs, Tokens},
        verdict::Cause,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// What customers far over their share have less of the allowed part of the target, in
/// thousandths of it.
const MAX_EXCESS_PERMILLE: u64 = 333;
/// What work has of it that may wait for a quieter time, in thousandths.
const DEFERRABLE_PERMILLE: u64 = 555;
/// The part that a request may wait whose own work alone takes the target.
const LONG_WORK_PERMILLE: u64 = 100;
const MIN_RETRY_AFTER_MS: u64 = 200;
const MAX_RETRY_AFTER_MS: u64 = 30_000;
/// The time between two looks for idle customers.
const IDLE_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// What a millisecond of a plain service counts as.
const SERVICE_TOKENS_PER_MS: u64 = 8;
/// The start of the time that priorities count from: the year 2026.
const PRIORITY_EPOCH_MS: TimeMs = TimeMs(1_767_225_600_000);
const PRIORITY_STEP_MS: u64 = 64;

/// Why a request is not served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined {
    /// The cause.
    pub cause: Cause,
    /// When it may come back.
    pub retry_after_ms: DurationMs,
}

/// Places a request. One that has not been admitted yet is declined when its target is out of
/// reach, or when it would take what other customers' shares need.
pub fn place(core: &mut Core, id: RequestId, class: &Class) -> Result<Placement, Declined> {
    let declined = |cause| Declined {
        cause,
        retry_after_ms: RETRY_AFTER_MS,
    };
    let placed = placement::place(core, id, class).ok_or(declined(Cause::NoWorker))?;
    let request = core.requests.get(&id).ok_or(declined(Cause::Unknown))?;
    if request.admitted {
        return Ok(placed);
    }
    check_target(core, request, class, &placed)?;
    credits::check_cost(core, id, class, &placed).map_err(declined)?;
    Ok(placed)
}

fn check_target(
    core: &Core,
    request: &Request,
    class: &Class,
    placed: &Placement,
) -> Result<(), Declined> {
    let target = class.first_token_target_ms.0;
    let excess = excess_permille(core, request.customer());
    let margin = margin(core, class).permille();
    let share = 1_000 - excess;
    let waits = class.deferrable && !credits::has_credits_lapsing_soon(core, request.customer());
    let allowed = if waits {
        share.min(DEFERRABLE_PERMILLE)
    } else {
        share
    };
    if placed.predicted_ms <= limit_ms(target, margin * allowed / 1_000, placed) {
        return Ok(());
    }
    let reachable = placed.predicted_ms <= limit_ms(target, margin, placed);
    let cause = if reachable && excess > 0 {
        Cause::OverShare
    } else {
        Cause::Overload
    };
    let backlog_ms = placed.predicted_ms.0.saturating_sub(target / 2);
    Err(Declined {
        cause,
        retry_after_ms: retry_after_ms(request.id, backlog_ms),
    })
}

/// How late the first token may be predicted. Work that alone takes longer than that is served
/// while it hardly has to wait: a cold cache would stay cold otherwise.
fn limit_ms(target: u64, permille: u64, placed: &Placement) -> DurationMs {
    let expected = &placed.expected;
    let alone = placed.predicted_ms.0 * expected.work_ms.0 / expected.uncorrected_ms.0.max(1);
    let long_work = alone + target * LONG_WORK_PERMILLE / 1_000;
    DurationMs((target * permille / 1_000).max(long_work))
}

fn margin(core: &Core, class: &Class) -> Margin {
    core.margins.get(&class.id()).copied().unwrap_or_default()
}

/// Learns from the first token of a request's first attempt. Work that alone takes much of its
/// target says nothing of how full workers may be.
pub fn record_first_token(core: &mut Core, id: RequestId, attempt: &Attempt) {
    let Some(request) = core
        .requests
        .get(&id)
        .filter(|request| request.attempts_sent == 1)
    else {
        return;
    };
    let Some(class) = core.classes.get(&request.class()) else {
        return;
    };
    let target_ms = class.first_token_target_ms;
    if attempt.expected.work_ms.0 > target_ms.0 / 2 {
        return;
    }
    let observed_ms = core.now.since(request.arrived_at_ms);
    let margin = core.margins.get_or_insert_with(class.id(), Margin::default);
    margin.record(target_ms, attempt.predicted_ms, observed_ms);
}

/// What a customer has less of the target, since it had more than its share: nothing up to an
/// equal share, all at four times as much.
fn excess_permille(core: &Core, customer: CustomerId) -> u64 {
    const EQUAL_PERMILLE: u64 = 1_000;
    let over = core.shares.permille_of_equal_share(customer, core.now);
    (over.saturating_sub(EQUAL_PERMILLE) / 10).min(MAX_EXCESS_PERMILLE)
}

/// The time in which the backlog is worked off, drawn out by up to a quarter so that callers
/// don't come back together.
fn retry_after_ms(request: RequestId, backlog_ms: u64) -> DurationMs {
    let backlog_ms = backlog_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    let part = xxh3_64_with_seed(&request.0.to_le_bytes(), backlog_ms) % 256;
    DurationMs(backlog_ms + backlog_ms * part / 1_024)
}

/// Counts an attempt that was sent.
pub fn record_sent(core: &mut Core, id: RequestId) {
    let Some(request) = core.requests.get_mut(&id) else {
        return;
    };
    request.admitted = true;
    let Some(attempt) = &request.attempt else {
        return;
    };
    let tokens = if attempt.scope.is_some() {
        request.plus_max_answer_tokens(attempt.uncached_tokens)
    } else {
        Tokens(attempt.expected.work_ms.0 * SERVICE_TOKENS_PER_MS)
    };
    let (customer, first) = (request.customer(), request.attempts_sent == 1);
    core.shares.record(customer, tokens, core.now);
    if first {
        core.retry_budget.deposit();
    }
}

/// Whether a failed request may be sent again. One that the caller has a part of may always, but
/// it counts.
pub fn may_retry(core: &mut Core, id: RequestId) -> bool {
    let resumes = core
        .requests
        .get(&id)
        .is_some_and(|request| request.delivered_bytes > 0);
    core.retry_budget.withdraw(core.now) || resumes
}

/// An attempt's urgency at the worker: the point in time of its target, later for customers over
/// their share.
pub fn priority(core: &Core, request: &Request, class: &Class) -> u32 {
    let target = class.first_token_target_ms.0;
    let excess = excess_permille(core, request.customer());
    let later_ms = target * excess / MAX_EXCESS_PERMILLE;
    let due_ms = request
        .arrived_at_ms
        .after(DurationMs(target + later_ms))
        .since(PRIORITY_EPOCH_MS);
    u32::try_from(due_ms.0 / PRIORITY_STEP_MS).unwrap_or(u32::MAX)
}

/// Forgets customers that bring no work any more.
pub fn tick(core: &mut Core) {
    if core.now.since(core.shares_checked_at_ms) >= IDLE_INTERVAL_MS {
        core.shares_checked_at_ms = core.now;
        core.shares.forget_idle(core.now);
    }
}
