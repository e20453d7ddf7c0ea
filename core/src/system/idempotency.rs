//! Runs each request with an idempotency key at most once.
//!
//! Before an attempt is sent, a conditional write binds the key to it. Only the process that bound
//! the key sends the attempt. While the attempt was not sent, or after it certainly did not run,
//! that process may bind the key to another attempt or mark the attempt as abandoned. Once the
//! attempt is abandoned, any process may bind the key again.

use {
    super::request,
    crate::{
        command::Command,
        core::Core,
        event::RETRY_AFTER_MS,
        id::{AttemptId, IdempotencyKey, RequestId},
        record::{
            CallId, IdempotencyRecord, IdempotencyState, Record, RecordAnswer, RecordCall,
            RecordKey, Row, RowVersion,
        },
        unit::{DurationMs, TimeMs},
        verdict::{Cause, Verdict},
    },
    bytes::Bytes,
};

/// The time in which the table service has to bind a key before the request is refused.
const BIND_TIMEOUT_MS: DurationMs = DurationMs(1_000);
/// The delay before the first retry of a write. It doubles with each retry.
const RETRY_INITIAL_MS: DurationMs = DurationMs(250);
/// The maximum number of times that the delay doubles.
const RETRY_MAX_DOUBLINGS: u32 = 4;
/// How long after the refusal of its request the late answer of an attempt is still stored.
const LATE_ANSWER_TIMEOUT_MS: DurationMs = DurationMs(30_000);
/// The number of key uses in memory at which further requests with keys are refused.
pub const MAX_KEY_USES: usize = 4_096;

/// The use of a key by an attempt of this process.
#[derive(Clone, Debug)]
pub struct KeyUse {
    key: IdempotencyKey,
    body_hash: u64,
    started_at_ms: TimeMs,
    version: Option<RowVersion>,
    retry_at_ms: Option<TimeMs>,
    retries: u32,
    /// The latest call to the table service. Answers to earlier calls are ignored, since they wrote
    /// an outdated state: if such a write took effect, the latest one reports a conflict.
    call: Option<CallId>,
    stage: Stage,
}

#[derive(Clone, Debug)]
enum Stage {
    /// The key is being bound; the attempt was not sent.
    Binding { request: RequestId },
    /// The attempt was sent.
    Sent,
    /// The attempt may have run and its request was refused; its answer may still arrive.
    AwaitingLateAnswer { refused_at_ms: TimeMs },
    /// The attempt did not and will not run; the row is being marked as abandoned.
    Abandoning,
    /// The attempt was answered; the answer is being written to the row.
    StoringAnswer { status: u16, body: Bytes },
}

/// Starts to bind the request's idempotency key to a new attempt.
pub fn bind_key(core: &mut Core, id: RequestId) {
    let attempt = core.new_attempt_id();
    let Some(request) = core.requests.get(&id) else {
        return;
    };
    let Some(key) = request.idempotency_key.clone() else {
        return;
    };
    let key_use = KeyUse {
        key,
        body_hash: request.arrival.body_hash,
        started_at_ms: core.now,
        version: None,
        retry_at_ms: None,
        retries: 0,
        call: None,
        stage: Stage::Binding { request: id },
    };
    core.key_uses.insert(attempt, key_use);
    write_row(core, attempt);
}

/// Writes the row with the state that corresponds to the current stage.
fn write_row(core: &mut Core, attempt: AttemptId) {
    let Some(key_use) = core.key_uses.get_mut(&attempt) else {
        return;
    };
    key_use.retry_at_ms = None;
    let state = match &key_use.stage {
        Stage::Binding { .. } | Stage::Sent | Stage::AwaitingLateAnswer { .. } => {
            IdempotencyState::Intent
        }
        Stage::Abandoning => IdempotencyState::Abandoned,
        Stage::StoringAnswer { status, body } => IdempotencyState::Done {
            status: *status,
            body: body.clone(),
        },
    };
    let record = IdempotencyRecord {
        attempt,
        body_hash: key_use.body_hash,
        recorded_at_ms: key_use.started_at_ms,
        state,
    };
    let operation = RecordCall::Write {
        key: RecordKey::Idempotency(key_use.key.clone()),
        expected: key_use.version,
        record: Record::Idempotency(record),
    };
    let call = core.call_table_service(attempt, operation);
    if let Some(key_use) = core.key_uses.get_mut(&attempt) {
        key_use.call = Some(call);
    }
}

/// Handles an answer of the table service.
pub fn handle_answer(core: &mut Core, call: CallId, answer: RecordAnswer) {
    let Some(attempt) = core.calls.remove(&call) else {
        return;
    };
    let Some(key_use) = core.key_uses.get(&attempt) else {
        return;
    };
    if key_use.call != Some(call) {
        return;
    }
    match (key_use.stage.clone(), answer) {
        (Stage::Sent | Stage::AwaitingLateAnswer { .. }, _) => {}
        (Stage::Binding { request }, RecordAnswer::Written(version)) => {
            key_bound(core, attempt, request, version);
        }
        (Stage::Binding { request }, RecordAnswer::Conflict(row)) => {
            bind_conflict(core, attempt, request, row);
        }
        (Stage::Abandoning | Stage::StoringAnswer { .. }, RecordAnswer::Written(_)) => {
            core.key_uses.remove(&attempt);
        }
        (Stage::Abandoning | Stage::StoringAnswer { .. }, RecordAnswer::Conflict(row)) => {
            settle_conflict(core, attempt, row);
        }
        (_, RecordAnswer::Unknown | RecordAnswer::Read(_)) => retry_later(core, attempt),
    }
}

/// Schedules a retry of the write with an exponential delay.
fn retry_later(core: &mut Core, attempt: AttemptId) {
    let now = core.now;
    if let Some(key_use) = core.key_uses.get_mut(&attempt) {
        let doublings = key_use.retries.min(RETRY_MAX_DOUBLINGS);
        let wait_ms = DurationMs(RETRY_INITIAL_MS.0 << doublings);
        key_use.retry_at_ms = Some(now.after(wait_ms));
        key_use.retries += 1;
    }
}

/// Sends the attempt to which the key is now bound, or abandons it if no worker can take it.
fn key_bound(core: &mut Core, attempt: AttemptId, request: RequestId, version: RowVersion) {
    let Some(key_use) = core.key_uses.get_mut(&attempt) else {
        return;
    };
    key_use.version = Some(version);
    key_use.stage = Stage::Sent;
    if !request::send_attempt(core, request, attempt) {
        abandon(core, attempt);
    }
}

/// Handles the conflict of a write that was to bind the key, by the content of the row.
fn bind_conflict(core: &mut Core, attempt: AttemptId, request: RequestId, row: Option<Row>) {
    let Some(row) = row else {
        rewrite_row(core, attempt, None);
        return;
    };
    let Record::Idempotency(record) = row.record else {
        return;
    };
    let body_hash = core.key_uses.get(&attempt).map(|key_use| key_use.body_hash);
    if record.attempt == attempt {
        key_bound(core, attempt, request, row.version);
        return;
    }
    match record.state {
        IdempotencyState::Abandoned => rewrite_row(core, attempt, Some(row.version)),
        _ if body_hash != Some(record.body_hash) => {
            core.key_uses.remove(&attempt);
            core.refuse(request, Verdict::NotRun, Cause::KeyMismatch, RETRY_AFTER_MS);
        }
        IdempotencyState::Intent => {
            core.key_uses.remove(&attempt);
            core.refuse(
                request,
                Verdict::MayHaveRun,
                Cause::KeyInUse,
                RETRY_AFTER_MS,
            );
        }
        IdempotencyState::Done { status, body } => {
            core.key_uses.remove(&attempt);
            core.remove_request(request);
            core.emit(Command::Answer {
                request,
                status,
                body,
                replayed: true,
            });
        }
    }
}

/// Writes the row again, over the given version.
fn rewrite_row(core: &mut Core, attempt: AttemptId, version: Option<RowVersion>) {
    if let Some(key_use) = core.key_uses.get_mut(&attempt) {
        key_use.version = version;
    }
    write_row(core, attempt);
}

/// Handles the conflict of a write that was to settle the key: repeats the write over the current
/// version if the row is missing or still holds the intent of this attempt, and stops otherwise.
fn settle_conflict(core: &mut Core, attempt: AttemptId, row: Option<Row>) {
    let Some(Row {
        version,
        record: Record::Idempotency(record),
    }) = row
    else {
        rewrite_row(core, attempt, None);
        return;
    };
    if record.attempt == attempt && record.state == IdempotencyState::Intent {
        rewrite_row(core, attempt, Some(version));
        return;
    }
    core.key_uses.remove(&attempt);
}

/// Marks an attempt that did not and will not run as abandoned, which frees its key.
fn abandon(core: &mut Core, attempt: AttemptId) {
    if let Some(key_use) = core.key_uses.get_mut(&attempt) {
        key_use.stage = Stage::Abandoning;
    }
    write_row(core, attempt);
}

/// Stores the answer of an attempt, even if its request was already refused.
pub fn store_answer(core: &mut Core, attempt: AttemptId, status: u16, body: Bytes) {
    let Some(key_use) = core.key_uses.get_mut(&attempt) else {
        return;
    };
    if !matches!(
        key_use.stage,
        Stage::Sent | Stage::AwaitingLateAnswer { .. }
    ) {
        return;
    }
    key_use.stage = Stage::StoringAnswer { status, body };
    write_row(core, attempt);
}

/// Handles the failure of an attempt. If the attempt certainly did not run, the request is retried,
/// or refused and its key freed. Otherwise the request is refused and a late answer awaited.
pub fn handle_failure(core: &mut Core, request: RequestId, attempt: AttemptId, verdict: Verdict) {
    if verdict == Verdict::NotRun && request::may_send_again(core, request) {
        rebind(core, request, attempt);
        return;
    }
    core.refuse(request, verdict, Cause::BackendFailed, RETRY_AFTER_MS);
    let refused_at_ms = core.now;
    match verdict {
        Verdict::NotRun => abandon(core, attempt),
        Verdict::MayHaveRun => {
            if let Some(key_use) = core.key_uses.get_mut(&attempt) {
                key_use.stage = Stage::AwaitingLateAnswer { refused_at_ms };
            }
        }
    }
}

/// Binds the key to a new attempt in place of one that certainly did not run. The new attempt id
/// keeps a late failure of the old attempt from being attributed to the new one.
fn rebind(core: &mut Core, request: RequestId, failed_attempt: AttemptId) {
    let started_at_ms = core.now;
    let attempt = core.new_attempt_id();
    let Some(key_use) = core.key_uses.remove(&failed_attempt) else {
        return;
    };
    let key_use = KeyUse {
        started_at_ms,
        retry_at_ms: None,
        retries: 0,
        call: None,
        stage: Stage::Binding { request },
        ..key_use
    };
    core.key_uses.insert(attempt, key_use);
    write_row(core, attempt);
}

/// The number of key uses that still have to be written to the table service or whose attempt is
/// in progress.
pub fn count_unsettled(core: &Core) -> usize {
    let settled = |key_use: &KeyUse| matches!(key_use.stage, Stage::AwaitingLateAnswer { .. });
    core.key_uses.iter().filter(|row| !settled(row.1)).count()
}

/// Retries due writes, refuses requests whose key was not bound in time, and drops uses whose late
/// answer is no longer awaited.
pub fn tick(core: &mut Core) {
    let now = core.now;
    let overdue: Vec<(AttemptId, RequestId)> = core
        .key_uses
        .iter()
        .filter(|(_, key_use)| now.since(key_use.started_at_ms) > BIND_TIMEOUT_MS)
        .filter_map(|(attempt, key_use)| match key_use.stage {
            Stage::Binding { request } => Some((*attempt, request)),
            _ => None,
        })
        .collect();
    for (attempt, request) in overdue {
        core.refuse(
            request,
            Verdict::NotRun,
            Cause::TableUnavailable,
            RETRY_AFTER_MS,
        );
        abandon(core, attempt);
    }
    core.key_uses.retain(|_, key_use| match key_use.stage {
        Stage::AwaitingLateAnswer { refused_at_ms } => {
            now.since(refused_at_ms) <= LATE_ANSWER_TIMEOUT_MS
        }
        _ => true,
    });
    let due: Vec<AttemptId> = core
        .key_uses
        .iter()
        .filter(|(_, key_use)| {
            key_use
                .retry_at_ms
                .is_some_and(|retry_at_ms| retry_at_ms <= now)
        })
        .map(|row| *row.0)
        .collect();
    for attempt in due {
        write_row(core, attempt);
    }
}
