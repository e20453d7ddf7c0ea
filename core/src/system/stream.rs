//! Assembles a model's answer from the pieces of its attempts, in order and without duplicates.

use {
    super::{learning, limits, liveness, request},
    crate::{
        command::{Command, Usage},
        core::Core,
        event::Failure,
        id::{AttemptId, Incarnation, RequestId, WorkerId},
        request::{Attempt, Request},
        unit::{MicroCredits, TimeMs, Tokens},
        verdict::Verdict,
    },
    bytes::Bytes,
};

/// The request of an attempt in progress.
fn find_request(core: &mut Core, attempt: AttemptId) -> Option<(&mut Request, RequestId)> {
    let id = core.attempts.get(&attempt).copied()?;
    core.requests.get_mut(&id).map(|request| (request, id))
}

/// Records that the worker sent a message on the connection of the current attempt.
fn note_progress(request: &mut Request, now: TimeMs) -> Option<&mut Attempt> {
    let attempt = request.attempt.as_mut()?;
    attempt.last_received_at_ms = now;
    attempt.probed_at_ms = None;
    Some(attempt)
}

/// Records that a worker has accepted an attempt.
pub fn record_acceptance(
    core: &mut Core,
    attempt: AttemptId,
    incarnation: Incarnation,
    cached_tokens: Tokens,
) {
    let now = core.now;
    let Some((request, id)) = find_request(core, attempt) else {
        return;
    };
    if request.attempts_sent == 1 {
        request.cached_tokens = cached_tokens;
    }
    let Some(attempt) = note_progress(request, now) else {
        return;
    };
    attempt.incarnation = Some(incarnation);
    let worker = attempt.worker;
    liveness::confirm_incarnation(core, worker, incarnation);
    learning::record_accepted(core, id, cached_tokens);
}

/// Delivers the new part of a piece to the caller. Pieces of attempts that have ended and bytes
/// that were already delivered are dropped; a gap fails the attempt.
pub fn deliver_piece(core: &mut Core, attempt: AttemptId, offset_bytes: u64, text: &Bytes) {
    let now = core.now;
    let Some((request, id)) = find_request(core, attempt) else {
        return;
    };
    let delivered = request.delivered_bytes;
    if offset_bytes > delivered {
        request::handle_failure(core, attempt, Verdict::MayHaveRun, Failure::Protocol);
        return;
    }
    if let Some(attempt) = note_progress(request, now) {
        attempt.streaming = true;
    }
    if let Some(attempt) = learning::record_first_piece(core, id) {
        limits::record_first_token(core, id, &attempt);
    }
    let Some((request, _)) = find_request(core, attempt) else {
        return;
    };
    let already_delivered = usize::try_from(delivered - offset_bytes).unwrap_or(usize::MAX);
    if already_delivered >= text.len() {
        return;
    }
    let new_text = text.slice(already_delivered..);
    request.delivered_bytes += new_text.len() as u64;
    if request.first_token_ms.is_none() {
        request.first_token_ms = Some(now.since(request.arrived_at_ms));
    }
    core.emit(Command::Deliver {
        request: id,
        text: new_text,
    });
}

/// Completes an answer. If not all of it was delivered, the attempt fails.
pub fn complete_answer(
    core: &mut Core,
    attempt: AttemptId,
    answer_bytes: u64,
    answer_tokens: Tokens,
) {
    let now = core.now;
    let Some((request, id)) = find_request(core, attempt) else {
        return;
    };
    if request.delivered_bytes != answer_bytes {
        request::handle_failure(core, attempt, Verdict::MayHaveRun, Failure::Protocol);
        return;
    }
    let usage = Usage {
        prompt_tokens: request.prompt_tokens,
        cached_tokens: request.cached_tokens,
        answer_tokens,
        first_token_ms: request
            .first_token_ms
            .unwrap_or(now.since(request.arrived_at_ms)),
        cost_microcredits: MicroCredits(0),
        attempts: request.attempts_sent,
    };
    learning::record_answer(core, id);
    core.complete(id, usage);
}

/// Probes workers with silent attempts over a new connection.
pub fn tick(core: &mut Core) {
    let now = core.now;
    let mut silent_workers: Vec<WorkerId> = core
        .requests
        .iter_mut()
        .filter_map(|(_, request)| request.attempt.as_mut())
        .filter(|attempt| probe_due(attempt, now))
        .map(|attempt| {
            attempt.probed_at_ms = Some(now);
            attempt.worker
        })
        .collect();
    silent_workers.sort_unstable();
    silent_workers.dedup();
    for worker in silent_workers {
        core.emit(Command::Probe { worker });
    }
}

fn probe_due(attempt: &Attempt, now: TimeMs) -> bool {
    match attempt.probed_at_ms {
        Some(probed_at_ms) => now.since(probed_at_ms) > liveness::PROBE_TIMEOUT_MS,
        None => now.since(attempt.last_received_at_ms) > request::silence_limit_ms(attempt),
    }
}

/// Applies the result of a probe to the silent attempts on that worker. Streams resume over a new
/// connection to the same incarnation, or fail; calls to plain services keep waiting up to their
/// timeout.
pub fn apply_probe_result(core: &mut Core, worker: WorkerId, incarnation: Option<Incarnation>) {
    let silent_attempts: Vec<(RequestId, Attempt)> = core
        .requests
        .iter()
        .filter_map(|(id, request)| Some((*id, request.attempt.clone()?)))
        .filter(|(_, attempt)| attempt.worker == worker && attempt.probed_at_ms.is_some())
        .collect();
    for (id, attempt) in silent_attempts {
        let same_incarnation = incarnation.is_some() && attempt.incarnation == incarnation;
        if attempt.scope.is_none() && request::may_keep_waiting(core, id, &attempt, incarnation) {
            continue;
        }
        if attempt.scope.is_some() && same_incarnation {
            request::resume_on_same_worker(core, id, &attempt);
        } else {
            request::handle_failure(core, attempt.id, Verdict::MayHaveRun, Failure::Broken);
        }
    }
}
