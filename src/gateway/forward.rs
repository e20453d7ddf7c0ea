//! Has a request served by a backend server, and by another one where that is allowed.

use {
    super::{
        Shared,
        call::{AdmissionError, AttemptFailure, Call, InFlightRequest, ReceivedRequest, admit},
        clock::now,
        link::{LinkFailure, Reply},
        protocol::ResponseHead,
        relay,
        response::{self, ResponseBody},
        weights,
    },
    bytes::Bytes,
    cactusspur_core::{
        Cause, DurationMs, Refusal, Verdict, WorkerId,
        gateway::{CallKind, Choice},
    },
    http::{Request, Response, StatusCode, header, response::Parts},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// When a caller may come back to an entry VM that has no configuration yet: about the time that
/// one needs to read it.
const NOT_READY_RETRY_MS: DurationMs = DurationMs(400);
/// When a caller may come back after no server took its request: others have ended by then.
const BUSY_RETRY_MS: DurationMs = DurationMs(150);
/// The largest answer that is read as a whole, in bytes.
const MAX_WHOLE_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;
/// Tries to open connections for one request. They are not sends.
const MAX_UNREACHABLE: usize = 3;
/// The least time that is worth another try.
const MIN_LEFT_MS: DurationMs = DurationMs(20);
/// How much of a route's target an idempotent request waits for a first server before it is
/// sent to a second one, in percent.
const SILENT_PERCENT: u64 = 80;

/// Serves one request of a caller.
pub async fn serve(shared: Rc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let received_at_ms = now();
    let (parts, body) = request.into_parts();
    let head = match shared.protocol.parse_request_head(&parts.headers) {
        Ok(head) => head,
        Err(error) => {
            tracing::info!(%error, path = parts.uri.path(), "request turned down");
            return response::empty(StatusCode::BAD_REQUEST);
        }
    };
    let Some(routing) = ready_routing(&shared) else {
        let refusal = Refusal {
            verdict: Verdict::NotRun,
            cause: Cause::NoConfiguration,
            retry_after_ms: NOT_READY_RETRY_MS,
        };
        return refuse(&head.request_id, "", &refusal, "not ready");
    };
    // Turned down before the body is read, and looked at again after: reading may take long.
    if let Err(reason) = admit(&routing, &parts, &head) {
        return turn_down(reason, &head.request_id, &parts, routing.version);
    }
    let body = match read_body(body, routing.limits.max_body_bytes).await {
        Ok(body) => body,
        Err(status) => {
            tracing::info!(request = head.request_id, %status, "body not read");
            return response::empty(status);
        }
    };
    let routing = ready_routing(&shared).unwrap_or(routing);
    let (route, customer) = match admit(&routing, &parts, &head) {
        Ok(allowed) => allowed,
        Err(reason) => return turn_down(reason, &head.request_id, &parts, routing.version),
    };
    let arrived = ReceivedRequest {
        parts,
        body,
        head,
        received_at_ms,
    };
    let call = Rc::new(Call::new(arrived, routing, route, customer, rand::random()));
    shared
        .state
        .borrow_mut()
        .record_request(&call.service, now());
    let response = run(&shared, &call).await;
    metrics::counter!(
        "cactusspur_requests_total",
        "route" => call.route.name.clone(), "status" => response.status().as_str().to_owned()
    )
    .increment(1);
    #[expect(
        clippy::cast_precision_loss,
        reason = "milliseconds of one request are few"
    )]
    metrics::histogram!("cactusspur_answer_head_ms", "route" => call.route.name.clone())
        .record(now().since(call.arrived_at_ms).0 as f64);
    response
}

fn ready_routing(shared: &Shared) -> Option<Rc<cactusspur_core::gateway::RoutingTable>> {
    let state = shared.state.borrow();
    if !state.is_complete() {
        return None;
    }
    state.routing.clone()
}

fn turn_down(
    reason: AdmissionError,
    request: &str,
    parts: &http::request::Parts,
    version: u64,
) -> Response<ResponseBody> {
    let status = match reason {
        AdmissionError::UnknownRoute => StatusCode::NOT_FOUND,
        AdmissionError::UnknownCustomer => StatusCode::UNAUTHORIZED,
    };
    tracing::info!(request, path = parts.uri.path(), version, %status, "request turned down");
    response::empty(status)
}

fn refuse(request: &str, route: &str, refusal: &Refusal, why: &str) -> Response<ResponseBody> {
    tracing::info!(
        request, route, verdict = %refusal.verdict, cause = %refusal.cause,
        retry_after_ms = refusal.retry_after_ms.0, why, "request refused"
    );
    response::from_refusal(refusal)
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, StatusCode> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// What one try gave.
enum Tried {
    /// The answer for the caller.
    Answered(Response<ResponseBody>),
    /// A whole answer that says the server failed; another may do better.
    ServerFailed(Response<ResponseBody>),
    /// No answer for the caller.
    Failed(AttemptFailure),
}

async fn run(shared: &Rc<Shared>, call: &Rc<Call>) -> Response<ResponseBody> {
    let mut tried: Vec<WorkerId> = Vec::new();
    let mut sends = 0;
    let mut unreachable = 0;
    let mut may_have_run = false;
    let mut last_answer = None;
    let mut why = "no backend server takes new work".to_owned();
    loop {
        let is_allowed = sends < call.route.max_backends
            && unreachable < MAX_UNREACHABLE
            && (!may_have_run || call.kind().may_repeat())
            && call.remaining_ms() > MIN_LEFT_MS
            && (sends == 0
                || shared
                    .state
                    .borrow_mut()
                    .withdraw_retry(&call.service, now()));
        if !is_allowed {
            break;
        }
        let Some(choice) = call.choose(shared, &tried) else {
            break;
        };
        let outcome = attempt_within(shared, call, choice, &tried, sends).await;
        tried.push(choice.worker);
        sends += 1;
        match outcome {
            Tried::Answered(response) => return response,
            Tried::ServerFailed(response) => {
                may_have_run = true;
                last_answer = Some(response);
            }
            Tried::Failed(failed) => {
                log_failed(call, &choice, &failed);
                if failed.is_unsent {
                    sends -= 1;
                    unreachable += 1;
                }
                may_have_run |= failed.verdict == Verdict::MayHaveRun;
                why = failed.reason;
            }
        }
    }
    if let Some(response) = last_answer {
        return response;
    }
    let is_late = call.remaining_ms() <= MIN_LEFT_MS;
    let refusal = Refusal {
        verdict: if may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        },
        cause: match (tried.is_empty(), is_late) {
            (true, _) => Cause::NoWorker,
            (false, true) => Cause::Overload,
            (false, false) => Cause::BackendFailed,
        },
        retry_after_ms: BUSY_RETRY_MS,
    };
    refuse(&call.head.request_id, &call.route.name, &refusal, &why)
}

/// Tries a server, and once more if only what was believed of its weights was wrong.
async fn attempt_within(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    choice: Choice,
    tried: &[WorkerId],
    earlier_sends: usize,
) -> Tried {
    let limit = limit_of(call, earlier_sends, || {
        let others = call.choose(shared, &[tried, &[choice.worker]].concat());
        others.is_some()
    });
    let exchange = async {
        let first = attempt(shared, call, &choice).await;
        match (&first, &call.head.prompt) {
            (Tried::Failed(failed), Some(prompt)) if failed.has_weights_mismatch => {
                log_failed(call, &choice, failed);
                weights::ask(shared, &prompt.model, choice.worker).await;
                match call.choose_again(shared, choice.worker) {
                    Some(again)
                        if again.weights != choice.weights
                            && shared
                                .state
                                .borrow_mut()
                                .withdraw_retry(&call.service, now()) =>
                    {
                        attempt(shared, call, &again).await
                    }
                    _ => first,
                }
            }
            _ => first,
        }
    };
    match timeout(limit, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => Tried::Failed(silent(shared, &choice)),
    }
}

fn log_failed(call: &Call, choice: &Choice, failed: &AttemptFailure) {
    tracing::info!(
        request = call.head.request_id, route = call.route.name, worker = %choice.worker,
        verdict = %failed.verdict, what = failed.reason,
        after_ms = now().since(call.arrived_at_ms).0, "try failed"
    );
    metrics::counter!("cactusspur_failed_tries_total", "route" => call.route.name.clone())
        .increment(1);
}

/// How long one try may take until its head has come. It is cut short only where another server
/// may do better.
fn limit_of<F>(call: &Call, earlier_sends: usize, has_others: F) -> Duration
where
    F: FnOnce() -> bool,
{
    let left_ms = call.remaining_ms().0;
    let is_last = earlier_sends + 1 >= call.route.max_backends;
    let may_go_on = call.kind() == CallKind::Idempotent && !is_last && has_others();
    let limit_ms = if may_go_on {
        left_ms.min(call.route.target_ms.0 * SILENT_PERCENT / 100)
    } else {
        left_ms
    };
    Duration::from_millis(limit_ms)
}

fn silent(shared: &Shared, choice: &Choice) -> AttemptFailure {
    record_result(shared, choice.worker, false);
    AttemptFailure {
        reason: "no answer in time".to_owned(),
        verdict: Verdict::MayHaveRun,
        is_unsent: false,
        has_weights_mismatch: false,
    }
}

/// Notes whether a backend server did what it was asked to.
pub fn record_result(shared: &Shared, worker: WorkerId, succeeded: bool) {
    if let Some(backend) = shared.state.borrow_mut().backends.get_mut(worker) {
        backend.record_result(succeeded, now());
    }
}

fn note_failure(shared: &Shared, worker: WorkerId, failure: LinkFailure) -> AttemptFailure {
    let mut state = shared.state.borrow_mut();
    if let Some(backend) = state.backends.get_mut(worker) {
        if failure.is_unreachable {
            backend.record_unreachable(now());
        } else {
            backend.record_result(false, now());
        }
    }
    AttemptFailure {
        reason: failure.what,
        verdict: failure.verdict,
        is_unsent: failure.is_unreachable,
        has_weights_mismatch: false,
    }
}

async fn attempt(shared: &Rc<Shared>, call: &Rc<Call>, choice: &Choice) -> Tried {
    match send(shared, call, choice, call.head.last_event).await {
        Ok((reply, head, in_flight)) => take(shared, call, choice, reply, head, in_flight).await,
        Err(failed) => Tried::Failed(failed),
    }
}

/// Sends a request to the chosen server and checks that the answer belongs to it.
///
/// # Errors
///
/// Why there is no answer to pass on.
pub async fn send(
    shared: &Rc<Shared>,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
) -> Result<(Reply, ResponseHead, InFlightRequest), AttemptFailure> {
    let Some((address, request)) = call.request(shared, choice, last_event) else {
        return Err(AttemptFailure {
            reason: "the backend server has left".to_owned(),
            verdict: Verdict::NotRun,
            is_unsent: true,
            has_weights_mismatch: false,
        });
    };
    let in_flight = InFlightRequest::start(shared, choice);
    log_sent(shared, call, choice, last_event);
    call.record_parts(shared, choice, false);
    let reply = shared.links.send(address, request).await;
    let reply = reply.map_err(|failure| note_failure(shared, choice.worker, failure))?;
    let head = shared
        .protocol
        .parse_response_head(reply.head.status.as_u16(), &reply.head.headers);
    let told = head.request_id.as_deref();
    if told.is_some_and(|id| id != call.head.request_id) {
        record_result(shared, choice.worker, false);
        return Err(AttemptFailure {
            reason: "an answer to another request".to_owned(),
            verdict: Verdict::MayHaveRun,
            is_unsent: false,
            has_weights_mismatch: false,
        });
    }
    if let Some(load) = head.load {
        let mut state = shared.state.borrow_mut();
        if let Some(backend) = state.backends.get_mut(choice.worker) {
            backend.record_load(load, now());
        }
        drop(state);
        shared.peers.note_load(choice.worker, load);
    }
    if head.is_not_run || head.is_misdirected {
        return Err(not_run(shared, choice, reply, &head).await);
    }
    Ok((reply, head, in_flight))
}

/// Says where a request goes, and what decided it.
fn log_sent(shared: &Shared, call: &Call, choice: &Choice, last_event: Option<u64>) {
    let state = shared.state.borrow();
    let backend = state.backends.get(choice.worker);
    tracing::info!(
        request = call.head.request_id, route = call.route.name, worker = %choice.worker,
        configuration = call.routing.version, weights = choice.weights.map(|weights| weights.0),
        fetch = ?choice.fetch, unread = choice.prefill_tokens.0, unread_shared = choice.shared_prefill_tokens.0,
        unread_again = choice.recomputed_tokens.0,
        steps_from_home = choice.steps_from_home, queue_ms = choice.queue_ms.0,
        predicted_ms = choice.first_token_ms.0,
        occupancy = backend.map(|backend| backend.occupancy(now())),
        load_age_ms = backend.map(|backend| backend.load_age_ms(now()).0),
        left_ms = call.remaining_ms().0, last_event, "sent"
    );
}

/// A server states that it has not run a request.
async fn not_run(
    shared: &Shared,
    choice: &Choice,
    reply: Reply,
    head: &ResponseHead,
) -> AttemptFailure {
    let status = reply.head.status;
    if let Err(error) = reply.read(&shared.links, MAX_WHOLE_ANSWER_BYTES).await {
        tracing::debug!(%error, "the rest of a refusal was not read");
    }
    let mut has_weights_mismatch = false;
    if let Some(backend) = shared.state.borrow_mut().backends.get_mut(choice.worker) {
        let told = head.instance.as_deref();
        let is_another = told.is_some_and(|told| told != backend.spec.instance);
        match (head.is_misdirected, is_another) {
            // Its address belongs to another server now.
            (true, true) => backend.record_unreachable(now()),
            (true, false) => has_weights_mismatch = choice.weights.is_some(),
            (false, _) => backend.record_result(false, now()),
        }
    }
    AttemptFailure {
        reason: format!("not run by the backend server: {status}"),
        verdict: Verdict::NotRun,
        is_unsent: false,
        has_weights_mismatch,
    }
}

async fn take(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    choice: &Choice,
    reply: Reply,
    head: ResponseHead,
    in_flight: InFlightRequest,
) -> Tried {
    let status = reply.head.status;
    if status.is_success() && !head.is_signed {
        record_result(shared, choice.worker, false);
        return Tried::Failed(AttemptFailure {
            reason: "a success without the server's signature".to_owned(),
            verdict: Verdict::MayHaveRun,
            is_unsent: false,
            has_weights_mismatch: false,
        });
    }
    let headers = &reply.head.headers;
    if shared
        .protocol
        .is_event_stream(call.kind(), status.as_u16(), headers)
    {
        let response = relay::start(shared, call, *choice, reply, in_flight);
        return Tried::Answered(response);
    }
    let read = reply.read(&shared.links, MAX_WHOLE_ANSWER_BYTES).await;
    let (head, body) = match read {
        Ok(read) => read,
        Err(failure) => return Tried::Failed(note_failure(shared, choice.worker, failure)),
    };
    let succeeded = !head.status.is_server_error();
    record_result(shared, choice.worker, succeeded);
    log_answered(call, choice, &head);
    let response = response::with_body(head.status, response_headers(shared, &head), body);
    if succeeded || !call.kind().may_repeat() {
        Tried::Answered(response)
    } else {
        Tried::ServerFailed(response)
    }
}

fn log_answered(call: &Call, choice: &Choice, head: &Parts) {
    tracing::info!(
        request = call.head.request_id, route = call.route.name, worker = %choice.worker,
        status = head.status.as_u16(), after_ms = now().since(call.arrived_at_ms).0, "answered"
    );
}

/// The headers of a backend server's answer as the caller gets them. The length is set by the
/// server library.
pub fn response_headers(shared: &Shared, head: &Parts) -> http::HeaderMap {
    let mut headers = shared.protocol.response_headers(&head.headers);
    headers.remove(header::CONTENT_LENGTH);
    headers
}
