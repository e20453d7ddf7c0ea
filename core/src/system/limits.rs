//! Admission control: decides at arrival whether a request is served, by its predicted time to
//! first token and, under contention, by its customer's share. Requests are not queued here; they
//! are rejected at once.

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

/// Reduction of the admissible part of the target for customers far over their share.
const MAX_OVER_SHARE_PENALTY_PERMILLE: u64 = 333;
/// Upper limit of the admissible part of the target for deferrable classes.
const DEFERRABLE_PERMILLE: u64 = 555;
/// Part of the target that a request may wait if its own work alone exceeds the limit.
const LONG_WORK_WAIT_PERMILLE: u64 = 100;
const MIN_RETRY_AFTER_MS: u64 = 200;
const MAX_RETRY_AFTER_MS: u64 = 30_000;
/// Interval between removals of idle customers.
const IDLE_CHECK_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// Tokens that a millisecond of a plain service's work counts as in customers' shares.
const SERVICE_TOKENS_PER_MS: u64 = 8;
/// Priorities count time from the start of 2026.
const PRIORITY_EPOCH_MS: TimeMs = TimeMs(1_767_225_600_000);
const PRIORITY_STEP_MS: u64 = 64;

/// The rejection of a request at admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Cause reported to the caller.
    pub cause: Cause,
    /// Time after which the caller may retry.
    pub retry_after_ms: DurationMs,
}

/// Places a request. One that is not admitted yet is rejected if it would miss its target, would
/// take the share of other customers, or can't be paid for.
pub fn place(core: &mut Core, id: RequestId, class: &Class) -> Result<Placement, Rejection> {
    let rejection = |cause| Rejection {
        cause,
        retry_after_ms: RETRY_AFTER_MS,
    };
    let placed = placement::place(core, id, class).ok_or(rejection(Cause::NoWorker))?;
    let request = core.requests.get(&id).ok_or(rejection(Cause::Unknown))?;
    if request.admitted {
        return Ok(placed);
    }
    check_target(core, request, class, &placed)?;
    credits::check_cost(core, id, class, &placed).map_err(rejection)?;
    Ok(placed)
}

fn check_target(
    core: &Core,
    request: &Request,
    class: &Class,
    placed: &Placement,
) -> Result<(), Rejection> {
    let target = class.first_token_target_ms.0;
    let penalty_permille = over_share_penalty_permille(core, request.customer());
    let margin = margin(core, class).permille();
    let share_permille = 1_000 - penalty_permille;
    let is_deferred =
        class.deferrable && !credits::has_credits_lapsing_soon(core, request.customer());
    let allowed_permille = if is_deferred {
        share_permille.min(DEFERRABLE_PERMILLE)
    } else {
        share_permille
    };
    if placed.predicted_ms <= max_first_token_ms(target, margin * allowed_permille / 1_000, placed)
    {
        return Ok(());
    }
    let is_within_margin = placed.predicted_ms <= max_first_token_ms(target, margin, placed);
    let cause = if is_within_margin && penalty_permille > 0 {
        Cause::OverShare
    } else {
        Cause::Overload
    };
    let backlog_ms = placed.predicted_ms.0.saturating_sub(target / 2);
    Err(Rejection {
        cause,
        retry_after_ms: retry_after_ms(request.id, backlog_ms),
    })
}

/// Returns the latest admissible time to first token. Work that alone takes longer is still
/// admitted while it hardly has to wait, because a cold cache would stay cold otherwise.
fn max_first_token_ms(target: u64, permille: u64, placed: &Placement) -> DurationMs {
    let expected = &placed.expected;
    let work_ms = placed.predicted_ms.0 * expected.work_ms.0 / expected.uncorrected_ms.0.max(1);
    let long_work_ms = work_ms + target * LONG_WORK_WAIT_PERMILLE / 1_000;
    DurationMs((target * permille / 1_000).max(long_work_ms))
}

fn margin(core: &Core, class: &Class) -> Margin {
    core.margins.get(&class.id()).copied().unwrap_or_default()
}

/// Adjusts the class's margin after the first token of a request's first attempt. Attempts whose
/// own work takes more than half of the target are ignored: they don't show how far workers may be
/// loaded.
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

/// Returns the reduction of the admissible part of the target for a customer over its share: zero
/// up to an equal share, the maximum at about four times an equal share.
fn over_share_penalty_permille(core: &Core, customer: CustomerId) -> u64 {
    const EQUAL_PERMILLE: u64 = 1_000;
    let share_permille = core.shares.permille_of_equal_share(customer, core.now);
    (share_permille.saturating_sub(EQUAL_PERMILLE) / 10).min(MAX_OVER_SHARE_PENALTY_PERMILLE)
}

/// Returns the time in which the backlog is processed, extended by up to a quarter so that callers
/// don't retry simultaneously.
fn retry_after_ms(request: RequestId, backlog_ms: u64) -> DurationMs {
    let backlog_ms = backlog_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    let jitter = xxh3_64_with_seed(&request.0.to_le_bytes(), backlog_ms) % 256;
    DurationMs(backlog_ms + backlog_ms * jitter / 1_024)
}

/// Records a sent attempt in its customer's share and in the retry budget.
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
    let (customer, is_first_attempt) = (request.customer(), request.attempts_sent == 1);
    core.shares.record(customer, tokens, core.now);
    if is_first_attempt {
        core.retry_budget.deposit();
    }
}

/// Takes a retry from the budget and returns whether a failed request may be sent again. A request
/// of which the caller has received a part may always be resent, but it uses the budget too.
pub fn may_retry(core: &mut Core, id: RequestId) -> bool {
    let is_resumption = core
        .requests
        .get(&id)
        .is_some_and(|request| request.delivered_bytes > 0);
    core.retry_budget.withdraw(core.now) || is_resumption
}

/// Returns an attempt's priority at the worker, lowest first: the time at which its target is due,
/// later for customers over their share.
pub fn priority(core: &Core, request: &Request, class: &Class) -> u32 {
    let target = class.first_token_target_ms.0;
    let penalty_permille = over_share_penalty_permille(core, request.customer());
    let penalty_ms = target * penalty_permille / MAX_OVER_SHARE_PENALTY_PERMILLE;
    let due_ms = request
        .arrived_at_ms
        .after(DurationMs(target + penalty_ms))
        .since(PRIORITY_EPOCH_MS);
    u32::try_from(due_ms.0 / PRIORITY_STEP_MS).unwrap_or(u32::MAX)
}

/// Removes idle customers from the shares.
pub fn tick(core: &mut Core) {
    if core.now.since(core.shares_checked_at_ms) >= IDLE_CHECK_INTERVAL_MS {
        core.shares_checked_at_ms = core.now;
        core.shares.remove_idle(core.now);
    }
}
