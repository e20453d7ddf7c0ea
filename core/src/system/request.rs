//! The lifecycle of a request: admission, placement, attempts, retries and the final answer.

use {
    super::{
        credits, idempotency, learning, limits, liveness,
        placement::{self, Placement},
    },
    crate::{
        command::{Command, Send},
        core::Core,
        declaration::{Class, ServedBy},
        event::{Arrival, Failure, RETRY_AFTER_MS},
        id::{AttemptId, IdempotencyKey, Incarnation, RequestId},
        prefix::tokens_of_bytes,
        request::{Attempt, Request},
        unit::{DurationMs, Tokens},
        verdict::{Cause, Refusal, Verdict},
        worker::Worker,
    },
    bytes::Bytes,
};

/// The maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 3;
/// The time that a plain service has to answer an idempotent call.
const IDEMPOTENT_CALL_TIMEOUT_MS: DurationMs = DurationMs(6_000);
/// The time that a plain service has to answer a call that is not idempotent.
const NON_IDEMPOTENT_CALL_TIMEOUT_MS: DurationMs = DurationMs(15_000);

/// Admits a request: sends it, starts to bind its idempotency key, or refuses it. The key of a
/// request that no worker can take now is not bound.
pub fn handle_arrival(core: &mut Core, arrival: Arrival) {
    let id = arrival.request;
    let class = match admit(core, &arrival) {
        Ok(class) => class,
        Err(cause) => {
            let refusal = Refusal {
                verdict: Verdict::NotRun,
                cause,
                retry_after_ms: RETRY_AFTER_MS,
            };
            core.emit(Command::Refuse {
                request: id,
                refusal,
            });
            return;
        }
    };
    let arrival = limit_answer_tokens(arrival, &class);
    let idempotency_key = idempotency_key(&class, &arrival);
    let bytes: usize = arrival.levels.iter().map(Bytes::len).sum();
    let request = Request {
        id,
        arrived_at_ms: core.now,
        prompt_tokens: tokens_of_bytes(bytes),
        arrival,
        idempotency_key,
        admitted: false,
        charges: Vec::new(),
        attempt: None,
        attempts_sent: 0,
        verdict: Verdict::NotRun,
        failed_workers: Vec::new(),
        delivered_bytes: 0,
        first_token_ms: None,
        cached_tokens: Tokens(0),
    };
    let needs_binding = request.idempotency_key.is_some();
    core.requests.insert(id, request);
    if !needs_binding {
        send(core, id);
        return;
    }
    if let Err(rejection) = limits::place(core, id, &class) {
        core.refuse(
            id,
            Verdict::NotRun,
            rejection.cause,
            rejection.retry_after_ms,
        );
        return;
    }
    if let Some(request) = core.requests.get_mut(&id) {
        request.admitted = true;
    }
    idempotency::bind_key(core, id);
}

/// Limits the request's `max_answer_tokens` to the maximum of its class.
fn limit_answer_tokens(arrival: Arrival, class: &Class) -> Arrival {
    let longest = match &class.served_by {
        ServedBy::Model {
            max_answer_tokens, ..
        } => *max_answer_tokens,
        ServedBy::Service { .. } => Tokens(0),
    };
    Arrival {
        max_answer_tokens: arrival.max_answer_tokens.min(longest),
        ..arrival
    }
}

/// Returns the class of the request, or the cause for which it is refused.
fn admit(core: &Core, arrival: &Arrival) -> Result<Class, Cause> {
    if core.shutting_down {
        return Err(Cause::ShuttingDown);
    }
    if core.configuration.generation.0 == 0 {
        return Err(Cause::NoConfiguration);
    }
    if core.requests.len() >= core.settings.max_requests {
        return Err(Cause::TooManyRequests);
    }
    if !core.customers.contains(&arrival.customer) {
        return Err(Cause::Unknown);
    }
    let class = core.classes.get(&arrival.class).ok_or(Cause::Unknown)?;
    let needs_key = matches!(
        class.served_by,
        ServedBy::Service {
            idempotent: false,
            ..
        }
    );
    if needs_key && arrival.idempotency_key.is_none() {
        return Err(Cause::BadRequest);
    }
    if needs_key && core.key_uses.len() >= idempotency::MAX_KEY_USES {
        return Err(Cause::TableUnavailable);
    }
    Ok(class.clone())
}

/// Returns the key under which the request must run at most once, if its class needs one.
fn idempotency_key(class: &Class, arrival: &Arrival) -> Option<IdempotencyKey> {
    if !matches!(
        class.served_by,
        ServedBy::Service {
            idempotent: false,
            ..
        }
    ) {
        return None;
    }
    let key = arrival.idempotency_key.clone()?;
    Some(IdempotencyKey {
        customer: arrival.customer,
        class: arrival.class,
        key,
    })
}

/// Places a request and sends a new attempt, or refuses the request.
pub fn send(core: &mut Core, id: RequestId) {
    let attempt = core.new_attempt_id();
    send_attempt(core, id, attempt);
}

/// Places a request and sends the given attempt, or refuses the request. Returns whether the
/// attempt was sent.
pub fn send_attempt(core: &mut Core, id: RequestId, attempt: AttemptId) -> bool {
    let Some(class) = core
        .requests
        .get(&id)
        .and_then(|request| core.classes.get(&request.class()))
    else {
        core.refuse(id, Verdict::NotRun, Cause::Unknown, RETRY_AFTER_MS);
        return false;
    };
    let class = class.clone();
    let placed = match limits::place(core, id, &class) {
        Ok(placed) => placed,
        Err(rejection) => {
            core.refuse(
                id,
                Verdict::NotRun,
                rejection.cause,
                rejection.retry_after_ms,
            );
            return false;
        }
    };
    dispatch(core, id, &class, attempt, placed);
    true
}

/// Sends the given attempt to the worker on which the request was placed.
fn dispatch(core: &mut Core, id: RequestId, class: &Class, attempt: AttemptId, placed: Placement) {
    let now = core.now;
    let priority = core
        .requests
        .get(&id)
        .map_or(u32::MAX, |request| limits::priority(core, request, class));
    let Some(request) = core.requests.get_mut(&id) else {
        return;
    };
    request.attempts_sent += 1;
    request.attempt = Some(Attempt {
        id: attempt,
        worker: placed.worker,
        incarnation: placed.incarnation,
        scope: placed.scope,
        sent_at_ms: now,
        last_received_at_ms: now,
        predicted_ms: placed.predicted_ms,
        uncached_tokens: placed.uncached_tokens,
        expected: placed.expected,
        streaming: false,
        probed_at_ms: None,
    });
    let resume_offset_bytes = request.delivered_bytes;
    core.attempts.insert(attempt, id);
    if let Some(worker) = core.workers.get_mut(&placed.worker) {
        worker.in_flight += 1;
        worker.record_sent(placed.uncached_tokens, now);
    }
    learning::record_sent(core, id);
    limits::record_sent(core, id);
    credits::reserve(core, id);
    core.emit(Send {
        request: id,
        attempt,
        worker: placed.worker,
        incarnation: placed.incarnation,
        priority,
        scope: placed.scope,
        resume_offset_bytes,
        import: placed.import,
        export: placed.export,
    });
}

/// Whether a silent call to a plain service may keep waiting, given the incarnation that answered
/// a probe of the worker. A call that is not idempotent may have run and can't be sent again, so
/// that an early failure gains nothing: it keeps waiting even if the probe got no answer.
pub fn may_keep_waiting(
    core: &Core,
    id: RequestId,
    attempt: &Attempt,
    incarnation: Option<Incarnation>,
) -> bool {
    let non_idempotent = core
        .requests
        .get(&id)
        .is_some_and(|request| request.idempotency_key.is_some());
    let waited_ms = core.now.since(attempt.sent_at_ms);
    if non_idempotent {
        let restarted = incarnation.is_some() && incarnation != attempt.incarnation;
        return !restarted && waited_ms < NON_IDEMPOTENT_CALL_TIMEOUT_MS;
    }
    incarnation.is_some()
        && incarnation == attempt.incarnation
        && waited_ms < IDEMPOTENT_CALL_TIMEOUT_MS
}

/// Resumes a stream whose connection is silent over a new connection to the same incarnation of
/// its worker.
pub fn resume_on_same_worker(core: &mut Core, id: RequestId, silent_attempt: &Attempt) {
    let worker = core.workers.get(&silent_attempt.worker);
    let Some(request) = core.requests.get(&id) else {
        return;
    };
    let has_attempts_left = request.attempts_sent < MAX_ATTEMPTS;
    let class = core.classes.get(&request.class()).cloned();
    let weights_are_current = silent_attempt
        .scope
        .is_some_and(|scope| core.models.get(&scope.model) == Some(&scope.weights));
    let may_resume =
        has_attempts_left && weights_are_current && worker.is_some_and(Worker::accepts_work);
    let Some(class) = class.filter(|_| may_resume) else {
        handle_failure(
            core,
            silent_attempt.id,
            Verdict::MayHaveRun,
            Failure::Broken,
        );
        return;
    };
    if let Some(request) = core.requests.get_mut(&id) {
        request.verdict = Verdict::MayHaveRun;
    }
    core.emit(Command::Cancel {
        attempt: silent_attempt.id,
        worker: silent_attempt.worker,
    });
    core.end_attempt(id);
    let attempt = core.new_attempt_id();
    let placed = Placement {
        worker: silent_attempt.worker,
        incarnation: silent_attempt.incarnation,
        scope: silent_attempt.scope,
        predicted_ms: silent_attempt.predicted_ms,
        uncached_tokens: silent_attempt.uncached_tokens,
        import: Vec::new(),
        export: Vec::new(),
        expected: silent_attempt.expected.clone(),
    };
    dispatch(core, id, &class, attempt, placed);
}

/// Whether a request has attempts left, a worker can take it, and the retry budget permits a
/// retry. A permitted retry is charged to the budget.
pub fn may_send_again(core: &mut Core, id: RequestId) -> bool {
    let Some(request) = core.requests.get(&id) else {
        return false;
    };
    let Some(class) = core.classes.get(&request.class()) else {
        return false;
    };
    let possible =
        request.attempts_sent < MAX_ATTEMPTS && placement::place(core, id, class).is_some();
    possible && limits::may_retry(core, id)
}

/// Delivers the answer of a plain service to the caller, and stores it if the attempt had an
/// idempotency key.
pub fn handle_answer(core: &mut Core, attempt: AttemptId, status: u16, body: Bytes) {
    let Some(id) = core.attempts.get(&attempt).copied() else {
        idempotency::store_answer(core, attempt, status, body);
        return;
    };
    learning::record_answer(core, id);
    core.remove_request(id);
    core.emit(Command::Answer {
        request: id,
        status,
        body: body.clone(),
        replayed: false,
    });
    idempotency::store_answer(core, attempt, status, body);
}

/// Handles the failure of an attempt: retries the request or refuses it.
pub fn handle_failure(core: &mut Core, attempt: AttemptId, verdict: Verdict, failure: Failure) {
    let Some(id) = core.attempts.get(&attempt).copied() else {
        return;
    };
    let Some(request) = core.requests.get_mut(&id) else {
        return;
    };
    let worker = request.attempt.as_ref().map(|attempt| attempt.worker);
    request.failed_workers.extend(worker);
    request.verdict = request.verdict.max(verdict);
    let non_idempotent = request.idempotency_key.is_some();
    let has_attempts_left = request.attempts_sent < MAX_ATTEMPTS;
    learning::record_failure(core, id);
    core.end_attempt(id);
    if let Some(worker) = worker
        && verdict == Verdict::MayHaveRun
        && !non_idempotent
    {
        core.emit(Command::Cancel { attempt, worker });
    }
    if let Some(worker) = worker
        && failure != Failure::Refused
    {
        liveness::suspect(core, worker);
    }
    if non_idempotent {
        idempotency::handle_failure(core, id, attempt, verdict);
        return;
    }
    if has_attempts_left && limits::may_retry(core, id) {
        send(core, id);
        return;
    }
    core.refuse(id, verdict, Cause::BackendFailed, RETRY_AFTER_MS);
}

/// Cancels the request of a caller that has disconnected, unless it has an idempotency key: its
/// answer is then stored for a repeated request.
pub fn handle_caller_left(core: &mut Core, id: RequestId) {
    let Some(request) = core.requests.get(&id) else {
        return;
    };
    if request.idempotency_key.is_some() {
        return;
    }
    if let Some(attempt) = &request.attempt {
        let command = Command::Cancel {
            attempt: attempt.id,
            worker: attempt.worker,
        };
        core.emit(command);
    }
    core.remove_request(id);
}

/// The time without any message on an attempt's connection after which its worker is probed over
/// a new connection.
#[must_use]
pub fn silence_limit_ms(attempt: &Attempt) -> DurationMs {
    const STREAMING_MS: u64 = 1_000;
    const FIRST_PIECE_MS: u64 = 2_000;
    if attempt.streaming {
        DurationMs(STREAMING_MS)
    } else {
        DurationMs(FIRST_PIECE_MS + 3 * attempt.predicted_ms.0)
    }
}
