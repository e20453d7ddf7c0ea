//! Moves requests whose first token is overdue away from stalled workers, within the retry budget.
//!
//! The late attempt is cancelled before the next one is sent, since two running attempts would
//! compute the prompt twice. A request moves at most once, only before its first byte, and only if
//! it has no idempotency key.

use {
    super::{
        limits,
        placement::{self, Placement},
    },
    crate::{
        command::Command,
        core::Core,
        declaration::Class,
        id::RequestId,
        request::{Attempt, Request},
        unit::DurationMs,
        verdict::Verdict,
    },
};

/// A first token is overdue after its predicted time multiplied by this.
const OVERDUE_FACTOR: u64 = 3;
/// No first token is overdue before this part of the target, in thousandths.
const MIN_OVERDUE_TARGET_PERMILLE: u64 = 500;
/// The longest predicted time to the first token on another worker, in thousandths of the target.
const FAST_TARGET_PERMILLE: u64 = 250;
/// The time without a load report or progress of an attempt after which a worker counts as stalled.
/// A worker that is merely busy keeps its requests.
const STALL_TIMEOUT_MS: DurationMs = DurationMs(1_000);
/// The time between two checks of a request.
const CHECK_INTERVAL_MS: DurationMs = DurationMs(200);

/// Moves overdue requests.
pub fn tick(core: &mut Core) {
    let due: Vec<RequestId> = core
        .requests
        .iter()
        .filter(|(_, request)| is_overdue(core, request))
        .map(|row| *row.0)
        .collect();
    for id in due {
        move_request(core, id);
    }
}

fn is_overdue(core: &Core, request: &Request) -> bool {
    let Some(attempt) = &request.attempt else {
        return false;
    };
    let may_move = request.idempotency_key.is_none()
        && request.attempts_sent == 1
        && request.delivered_bytes == 0
        && !attempt.streaming
        && attempt.probed_at_ms.is_none();
    let Some(class) = core.classes.get(&request.class()).filter(|_| may_move) else {
        return false;
    };
    let limit_ms = (attempt.predicted_ms.0 * OVERDUE_FACTOR)
        .max(class.first_token_target_ms.0 * MIN_OVERDUE_TARGET_PERMILLE / 1_000);
    let stalled = core.workers.get(&attempt.worker).is_some_and(|worker| {
        let heard_at_ms = worker.progress_at_ms.max(worker.load_received_at_ms);
        core.now.since(heard_at_ms) >= STALL_TIMEOUT_MS
    });
    if !stalled {
        return false;
    }
    let checked_at_ms = attempt.expected.hedge_checked_at_ms;
    core.now.since(attempt.sent_at_ms).0 > limit_ms
        && core.now.since(checked_at_ms) >= CHECK_INTERVAL_MS
}

/// Moves a request to a faster worker if there is one and the retry budget permits it.
fn move_request(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(request) = core.requests.get_mut(&id) else {
        return;
    };
    let class = core.classes.get(&request.class()).cloned();
    let Some(attempt) = request.attempt.as_mut() else {
        return;
    };
    attempt.expected.hedge_checked_at_ms = now;
    let late_attempt = attempt.clone();
    request.failed_workers.push(late_attempt.worker);
    let faster_placement = class.and_then(|class| faster_placement(core, id, &class));
    if faster_placement.is_none() || !limits::may_retry(core, id) {
        if let Some(request) = core.requests.get_mut(&id) {
            request.failed_workers.pop();
        }
        return;
    }
    cancel_late_attempt(core, id, &late_attempt);
    super::request::send(core, id);
}

/// A placement on another worker that is predicted to produce the first token soon.
fn faster_placement(core: &Core, id: RequestId, class: &Class) -> Option<Placement> {
    let fast_ms = class.first_token_target_ms.0 * FAST_TARGET_PERMILLE / 1_000;
    placement::place(core, id, class).filter(|placed| placed.predicted_ms.0 <= fast_ms)
}

fn cancel_late_attempt(core: &mut Core, id: RequestId, late_attempt: &Attempt) {
    if let Some(request) = core.requests.get_mut(&id) {
        request.verdict = Verdict::MayHaveRun;
    }
    let late_ms = core.now.since(late_attempt.sent_at_ms);
    if let Some(worker) = core.workers.get_mut(&late_attempt.worker) {
        worker.record_first_token(late_attempt.expected.uncorrected_ms, late_ms);
    }
    core.emit(Command::Cancel {
        attempt: late_attempt.id,
        worker: late_attempt.worker,
    });
    core.end_attempt(id);
}
