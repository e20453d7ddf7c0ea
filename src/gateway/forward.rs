//! Forwards a caller's request to a backend server, and retries it at others where that is allowed.

use {
    super::{
        Shared,
        call::{
            AdmissionError, AttemptFailure, Call, InFlightRequest, ReceivedRequest, admit,
            time_limit_ms,
        },
        clock::now,
        link::{ExchangeFailure, UnreadResponse},
        overload, passing_on,
        protocol::{ResponseHead, RunClaim},
        quarantine, reach, relay,
        request_body::{BodyError, BodyReading},
        response::{self, ResponseBody},
        usage, versions, weights,
    },
    crate::peer::{NotTaken, PassedRequest},
    bytes::Bytes,
    cactusspur_core::{
        Cause, DurationMs, Refusal, TimeMs, Verdict, WorkerId,
        gateway::{Admission, CallKind, Choice, Route, retry_after},
    },
    http::{
        Request, Response, StatusCode, header, request::Parts, response::Parts as ResponseParts,
    },
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// `Retry-After` of an entry VM that has no configuration yet: about the time that it takes to load
/// one.
const NOT_READY_RETRY_AFTER_MS: DurationMs = DurationMs(400);
/// The largest body of a response that isn't streamed, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 * 1_024 * 1_024;
/// Failed connection attempts that are permitted for one request. They don't count as sends.
pub(super) const MAX_CONNECT_FAILURES: usize = 3;
/// The least remaining time for which another attempt is started.
pub(super) const MIN_REMAINING_MS: DurationMs = DurationMs(20);
/// The share of a route's target for which a body waits for room in memory.
const BODY_WAIT_DIVISOR: u64 = 4;
/// How long an idempotent request waits for one server's response before it is sent to another one,
/// in percent of the route's target. The last permitted attempt may use all remaining time.
const NON_FINAL_ATTEMPT_PERCENT: u64 = 80;

/// Serves one request of a caller.
pub async fn serve(shared: Rc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let received_at_ms = now();
    let (parts, body) = request.into_parts();
    let head = match shared.protocol.parse_request_head(&parts.headers) {
        Ok(head) => head,
        Err(error) => {
            tracing::info!(%error, path = parts.uri.path(), "request rejected");
            return response::empty(StatusCode::BAD_REQUEST);
        }
    };
    let Some(routing) = ready_routing(&shared) else {
        let refusal = Refusal {
            verdict: Verdict::NotRun,
            cause: Cause::NoConfiguration,
            retry_after_ms: NOT_READY_RETRY_AFTER_MS,
        };
        return refuse(&head.request_id, "", &refusal, "not ready");
    };
    // Checked before the body is read, and again after it, since reading may take long and the
    // configuration may change in the meantime.
    let (route, answer_by_ms) = match admit(&routing, &parts, &head) {
        Ok((route, _)) => {
            let answer_by_ms = received_at_ms.after(time_limit_ms(&head, &route));
            if !takes_until(&shared, answer_by_ms) {
                return refuse_shutting_down(&head.request_id, &route.name);
            }
            (route, answer_by_ms)
        }
        Err(error) => return reject(&shared, error, &head.request_id, &parts, routing.version),
    };
    let reading = BodyReading {
        body,
        max_bytes: routing.limits.max_body_bytes,
        wait_ms: DurationMs(route.target_ms.0 / BODY_WAIT_DIVISOR),
    };
    let limit = Duration::from_millis(answer_by_ms.since(now()).0);
    let read = timeout(limit, reading.read(&shared.body_room)).await;
    let body = match read.unwrap_or(Err(BodyError::Late)) {
        Ok(body) => body,
        Err(error) => return refuse_body(&head.request_id, &route, error),
    };
    let routing = ready_routing(&shared).unwrap_or(routing);
    let (route, customer) = match admit(&routing, &parts, &head) {
        Ok(admitted) => admitted,
        Err(error) => return reject(&shared, error, &head.request_id, &parts, routing.version),
    };
    let received = ReceivedRequest {
        parts,
        body,
        head,
        received_at_ms,
    };
    let call = Rc::new(Call::new(
        received,
        routing,
        route,
        customer,
        &shared.settings.shared_key,
        rand::random(),
    ));
    if !takes_until(&shared, call.answer_by_ms) {
        return refuse_shutting_down(&call.head.request_id, &call.route.name);
    }
    shared
        .state
        .borrow_mut()
        .record_request(&call.service, now());
    if let Err(refusal) = usage::admit(&shared, &call) {
        let (request, route) = (&call.head.request_id, &call.route.name);
        return refuse(request, route, &refusal, "beyond the customer's cap");
    }
    let response = bind_and_dispatch(&shared, &call).await;
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

/// Serves a request of a caller that another gateway passes on.
///
/// # Errors
///
/// When the request isn't taken, since this gateway can't serve it better than the other one. It has not
/// run then.
pub async fn serve_passed(
    shared: &Rc<Shared>,
    request: &PassedRequest,
    parts: Parts,
    body: Bytes,
) -> Result<Response<ResponseBody>, NotTaken> {
    let received_at_ms = now();
    let mut head = shared
        .protocol
        .parse_request_head(&parts.headers)
        .map_err(|_| NotTaken::Malformed)?;
    head.deadline_ms = Some(request.caller_waits_ms);
    let routing = ready_routing(shared).ok_or(NotTaken::NotReady)?;
    let (mut route, customer) = match admit(&routing, &parts, &head) {
        Ok(admitted) => admitted,
        Err(error) => {
            return Ok(reject(
                shared,
                error,
                &head.request_id,
                &parts,
                routing.version,
            ));
        }
    };
    route.timeout_ms = route.timeout_ms.min(request.answer_in_ms);
    route.max_backends = route.max_backends.saturating_sub(request.attempts);
    let received = ReceivedRequest {
        parts,
        body,
        head,
        received_at_ms,
    };
    let call = Rc::new(Call::new(
        received,
        routing,
        route,
        customer,
        &shared.settings.shared_key,
        request.random,
    ));
    call.record_passed_on();
    if !takes_until(shared, call.answer_by_ms) {
        return Err(NotTaken::ShuttingDown);
    }
    if reach::is_lost(shared, &call.service) {
        return Err(NotTaken::OutOfReach);
    }
    if let Err(refusal) = usage::admit(shared, &call) {
        let (request, route) = (&call.head.request_id, &call.route.name);
        return Ok(refuse(
            request,
            route,
            &refusal,
            "beyond the customer's cap",
        ));
    }
    let response = bind_and_dispatch(shared, &call).await;
    // Refused as not run, perhaps by the attempts that showed the loss.
    let is_not_run = response.status() == StatusCode::SERVICE_UNAVAILABLE && !call.was_sent();
    if is_not_run && reach::is_lost(shared, &call.service) {
        return Err(NotTaken::OutOfReach);
    }
    Ok(response)
}

/// Binds a stream that is taken up to its software version and has the request served.
async fn bind_and_dispatch(shared: &Rc<Shared>, call: &Rc<Call>) -> Response<ResponseBody> {
    match versions::bind_taken_up(shared, call).await {
        Ok(()) => dispatch(shared, call).await,
        Err(error) => {
            let refusal = Refusal {
                verdict: Verdict::NotRun,
                cause: Cause::NoWorker,
                retry_after_ms: call.route.target_ms,
            };
            refuse(
                &call.head.request_id,
                &call.route.name,
                &refusal,
                &error.to_string(),
            )
        }
    }
}

/// Whether a request is taken that must be answered by a time: not if the process may end before.
fn takes_until(shared: &Shared, answer_by_ms: TimeMs) -> bool {
    let shutdown = shared.shutdown.get();
    shutdown.is_none_or(|schedule| schedule.takes(answer_by_ms, now()))
}

/// Refuses a request that might not end before the process does. Other gateways take it at once.
fn refuse_shutting_down(request: &str, route: &str) -> Response<ResponseBody> {
    metrics::counter!("cactusspur_requests_refused_in_shutdown_total").increment(1);
    let refusal = Refusal {
        verdict: Verdict::NotRun,
        cause: Cause::ShuttingDown,
        retry_after_ms: DurationMs(0),
    };
    let why = "the request may outlast the gateway, which is shutting down";
    refuse(request, route, &refusal, why)
}

/// The configuration in force; `None` until all tables are loaded.
pub(super) fn ready_routing(shared: &Shared) -> Option<Rc<cactusspur_core::gateway::RoutingTable>> {
    let state = shared.state.borrow();
    if !state.is_complete() {
        return None;
    }
    state.routing.clone()
}

/// Logs why a request is not admitted and returns the response for it. While a newer configuration may
/// admit it, the caller is told to come back.
fn reject(
    shared: &Shared,
    error: AdmissionError,
    request: &str,
    parts: &Parts,
    version: u64,
) -> Response<ResponseBody> {
    if shared.state.borrow().may_be_outdated(now()) {
        let refusal = Refusal {
            verdict: Verdict::NotRun,
            cause: Cause::NoConfiguration,
            retry_after_ms: shared.settings.configuration_limit_ms,
        };
        let why = "the configuration does not admit it but may be outdated";
        return refuse(request, "", &refusal, why);
    }
    let status = match error {
        AdmissionError::UnknownRoute => StatusCode::NOT_FOUND,
        AdmissionError::UnknownCustomer => StatusCode::UNAUTHORIZED,
    };
    tracing::info!(request, path = parts.uri.path(), version, %status, "request rejected");
    response::empty(status)
}

/// Logs why a request's body was not read and returns the response for it.
fn refuse_body(request: &str, route: &Route, error: BodyError) -> Response<ResponseBody> {
    metrics::counter!("cactusspur_bodies_refused_total", "reason" => error.reason()).increment(1);
    let status = match error {
        BodyError::NoRoom => {
            let refusal = Refusal {
                verdict: Verdict::NotRun,
                cause: Cause::Overload,
                retry_after_ms: route.target_ms,
            };
            return refuse(request, &route.name, &refusal, &error.to_string());
        }
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Late => StatusCode::REQUEST_TIMEOUT,
        BodyError::Broken => StatusCode::BAD_REQUEST,
    };
    tracing::info!(request, %status, %error, "failed to read the request body");
    response::empty(status)
}

/// Logs a refusal and returns the response for it.
fn refuse(request: &str, route: &str, refusal: &Refusal, why: &str) -> Response<ResponseBody> {
    tracing::info!(
        request, why, route, verdict = %refusal.verdict, cause = %refusal.cause,
        retry_after_ms = refusal.retry_after_ms.0, "request refused"
    );
    response::from_refusal(refusal)
}

/// The outcome of one attempt to have a request served.
enum Outcome {
    /// The response for the caller.
    Answered(Response<ResponseBody>),
    /// A complete response with a server error; another server may succeed.
    ServerFailed(Response<ResponseBody>),
    /// No response that can be relayed to the caller.
    Failed(AttemptFailure),
}

/// The attempts that were made to have a request served.
#[derive(Default)]
struct Attempts {
    /// The servers that the request was sent to, and the gateways that fell silent with it.
    sends: usize,
    /// The retries that were withdrawn. One of which nothing was sent pays for the next attempt.
    paid_retries: usize,
    connect_failures: usize,
    may_have_run: bool,
}

impl Attempts {
    /// Whether another attempt may be made within the limits on sends, time and retries. Withdraws a
    /// retry if it is one.
    fn begin(&mut self, shared: &Shared, call: &Call, passes_on: bool) -> bool {
        let may_begin = self.sends < call.route.max_backends
            && (passes_on || self.connect_failures < MAX_CONNECT_FAILURES)
            && !call.has_lost_servers()
            && (!self.may_have_run || call.kind().may_repeat())
            && call.remaining_ms() > MIN_REMAINING_MS
            && (self.sends <= self.paid_retries
                || shared
                    .state
                    .borrow_mut()
                    .withdraw_retry(&call.service, now()));
        if may_begin {
            self.paid_retries = self.sends;
        }
        may_begin
    }

    /// Records that the request was sent to a server, or that nothing was sent.
    fn record(&mut self, call: &Call, outcome: &Outcome) {
        if let Outcome::Failed(failure) = outcome
            && failure.is_unsent
        {
            self.connect_failures += 1;
        } else {
            self.sends += 1;
            call.record_sent();
        }
        self.may_have_run |= match outcome {
            Outcome::Answered(_) | Outcome::ServerFailed(_) => true,
            Outcome::Failed(failure) => failure.verdict == Verdict::MayHaveRun,
        };
    }

    /// Records that no other gateway served the request. Returns whether it goes on to a further one.
    fn record_unserved(&mut self, unserved: &passing_on::Unserved) -> bool {
        self.may_have_run |= unserved.failure.verdict == Verdict::MayHaveRun;
        if unserved.may_go_elsewhere {
            self.sends += 1;
            self.paid_retries = self.sends;
        }
        unserved.may_go_elsewhere
    }
}

/// Sends a request to one backend server after another until one succeeds or the limits on sends,
/// time and retries are reached.
async fn dispatch(shared: &Rc<Shared>, call: &Rc<Call>) -> Response<ResponseBody> {
    let mut tried: Vec<WorkerId> = Vec::new();
    let mut attempts = Attempts::default();
    // Whether no other gateway serves the request in place of this one.
    let mut is_declined = false;
    let mut last_response = None;
    let mut backlog_ms = None;
    let mut why = "no backend server accepts new requests".to_owned();
    let is_quarantined = loop {
        let admission = quarantine::admit(shared, call);
        match admission {
            Admission::Refused => {
                "servers crash on the request".clone_into(&mut why);
                break true;
            }
            Admission::Later => {
                "another attempt of the request may crash its server".clone_into(&mut why);
                backlog_ms = Some(call.route.target_ms);
                break false;
            }
            Admission::Free | Admission::Apart => {}
        }
        let passes_on = !is_declined && passing_on::is_due(shared, call);
        if !attempts.begin(shared, call, passes_on) {
            break false;
        }
        if passes_on {
            match passing_on::pass_on(shared, call, attempts.sends).await {
                Ok(response) => return response,
                Err(unserved) => {
                    let goes_on = attempts.record_unserved(&unserved);
                    why = unserved.failure.reason;
                    if goes_on {
                        continue;
                    }
                }
            }
            is_declined = true;
            // A request that may run once only isn't put at risk on a connection that will probably break.
            let is_kept_back = !call.kind().may_repeat() && reach::is_closed(shared, &call.service);
            if attempts.may_have_run
                || attempts.connect_failures >= MAX_CONNECT_FAILURES
                || is_kept_back
            {
                break false;
            }
        }
        let Some(choice) = call.choose(shared, &tried) else {
            backlog_ms = held_back_ms(shared, call);
            if let Some(reason) = missing_choice(call, backlog_ms) {
                reason.clone_into(&mut why);
            }
            break false;
        };
        if let Err(rejection) = overload::admit(shared, call, &choice) {
            backlog_ms = Some(rejection.wait_ms);
            why = rejection.why;
            break false;
        }
        if admission == Admission::Apart && !quarantine::claim(shared, call, &choice).await {
            "another suspected request is sent to the server".clone_into(&mut why);
            backlog_ms = Some(call.route.target_ms);
            break false;
        }
        let outcome = attempt_with_timeout(shared, call, choice, &tried, attempts.sends).await;
        tried.push(choice.worker);
        attempts.record(call, &outcome);
        match outcome {
            Outcome::Answered(response) => return response,
            Outcome::ServerFailed(response) => last_response = Some(response),
            Outcome::Failed(failure) => {
                log_failure(call, &choice, &failure);
                why = failure.reason;
            }
        }
    };
    if let Some(response) = last_response {
        return response;
    }
    let verdict = if attempts.may_have_run {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    };
    let cause = is_quarantined.then_some(Cause::CrashesEngines);
    let refusal = unserved(call, verdict, cause, !tried.is_empty(), backlog_ms);
    refuse(&call.head.request_id, &call.route.name, &refusal, &why)
}

/// The refusal of a request that no server has served, for a known cause or the one that the attempts and
/// the wait show.
fn unserved(
    call: &Call,
    verdict: Verdict,
    cause: Option<Cause>,
    is_tried: bool,
    backlog_ms: Option<DurationMs>,
) -> Refusal {
    let remaining_ms = call.remaining_ms();
    let is_overload = backlog_ms.is_some() || remaining_ms <= MIN_REMAINING_MS;
    let seen = match (is_overload, is_tried) {
        (true, _) => Cause::Overload,
        (false, false) => Cause::NoWorker,
        (false, true) => Cause::BackendFailed,
    };
    Refusal {
        verdict,
        cause: cause.unwrap_or(seen),
        // A server that is full has a place again much sooner than its queue has ended.
        retry_after_ms: retry_after(backlog_ms.unwrap_or_default(), remaining_ms, rand::random()),
    }
}

/// Why there is no server to choose, if a reason is known.
fn missing_choice(call: &Call, held_back_ms: Option<DurationMs>) -> Option<&'static str> {
    if held_back_ms.is_some() {
        return Some("the backend servers ask for fewer requests");
    }
    let is_bound = call.software().is_some();
    is_bound.then_some("no server of the stream's software version accepts new requests")
}

/// The time until a server of the request's service may be sent a request, if its servers ask for fewer.
fn held_back_ms(shared: &Shared, call: &Call) -> Option<DurationMs> {
    let state = shared.state.borrow();
    let wait_ms = state.backends.available_in_ms(&call.service, now());
    wait_ms.filter(|wait_ms| *wait_ms > DurationMs(0))
}

/// Sends the request to a server within a time limit. If the server rejects it for having other
/// weights than expected, queries its weights and sends the request there once more.
async fn attempt_with_timeout(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    choice: Choice,
    tried: &[WorkerId],
    previous_sends: usize,
) -> Outcome {
    let limit = attempt_timeout(call, previous_sends, || {
        let others = call.choose(shared, &[tried, &[choice.worker]].concat());
        others.is_some()
    });
    let exchange = async {
        let first = attempt(shared, call, &choice).await;
        match (&first, &call.head.prompt) {
            (Outcome::Failed(failure), Some(prompt)) if failure.has_weights_mismatch => {
                log_failure(call, &choice, failure);
                weights::read_state(shared, &prompt.model, choice.worker).await;
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
    tokio::select! {
        outcome = timeout(limit, exchange) => {
            outcome.unwrap_or_else(|_| Outcome::Failed(timed_out(shared, &choice)))
        }
        () = quarantine::recalled(shared, call) => Outcome::Failed(AttemptFailure {
            reason: "given up, since servers crash on the request".to_owned(),
            verdict: Verdict::MayHaveRun,
            is_unsent: false,
            has_weights_mismatch: false,
        }),
    }
}

/// Logs and counts a failed attempt.
fn log_failure(call: &Call, choice: &Choice, failure: &AttemptFailure) {
    tracing::info!(
        request = call.head.request_id, route = call.route.name, worker = %choice.worker,
        path = call.path(), digest = %call.identity.digest, verdict = %failure.verdict, what = failure.reason,
        prompt = call.prompt_names(),
        after_ms = now().since(call.arrived_at_ms).0, "attempt failed"
    );
    metrics::counter!("cactusspur_failed_tries_total", "route" => call.route.name.clone())
        .increment(1);
}

/// How long one attempt may take until the response is complete, or its stream has started. It is
/// less than the remaining time only if the request may be sent to another server after it.
fn attempt_timeout<F>(call: &Call, previous_sends: usize, has_others: F) -> Duration
where
    F: FnOnce() -> bool,
{
    let remaining_ms = call.remaining_ms().0;
    let is_last = previous_sends + 1 >= call.route.max_backends;
    let may_retry = call.kind() == CallKind::Idempotent && !is_last && has_others();
    let limit_ms = if may_retry {
        remaining_ms.min(call.route.target_ms.0 * NON_FINAL_ATTEMPT_PERCENT / 100)
    } else {
        remaining_ms
    };
    Duration::from_millis(limit_ms)
}

/// Records that a server did not respond in time.
fn timed_out(shared: &Shared, choice: &Choice) -> AttemptFailure {
    record_result(shared, choice.worker, false);
    AttemptFailure {
        reason: "no response in time".to_owned(),
        verdict: Verdict::MayHaveRun,
        is_unsent: false,
        has_weights_mismatch: false,
    }
}

/// Records whether a backend server served a request.
pub fn record_result(shared: &Shared, worker: WorkerId, succeeded: bool) {
    if let Some(backend) = shared.state.borrow_mut().backends.get_mut(worker) {
        backend.record_result(succeeded, now());
    }
}

/// Records that the exchange with a backend server failed.
fn record_failure(shared: &Shared, worker: WorkerId, failure: ExchangeFailure) -> AttemptFailure {
    let mut state = shared.state.borrow_mut();
    if let Some(backend) = state.backends.get_mut(worker) {
        if failure.is_unreachable {
            backend.record_unreachable(now());
        } else {
            backend.record_result(false, now());
        }
    }
    AttemptFailure {
        reason: failure.reason,
        verdict: failure.verdict,
        is_unsent: failure.is_unreachable,
        has_weights_mismatch: false,
    }
}

/// Sends the request to the chosen server and evaluates its response.
async fn attempt(shared: &Rc<Shared>, call: &Rc<Call>, choice: &Choice) -> Outcome {
    match send(shared, call, choice, call.head.last_event).await {
        Ok((reply, head, in_flight)) => finish(shared, call, choice, reply, head, in_flight).await,
        Err(failure) => Outcome::Failed(failure),
    }
}

/// Sends a request to the chosen server, waits for the head of the response and checks that it
/// belongs to the request.
///
/// # Errors
///
/// When the server is no longer listed, the exchange fails, the response belongs to another request,
/// or the server has not run the request, by its own statement or because it is not the one that the
/// request was meant for.
pub async fn send(
    shared: &Rc<Shared>,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
) -> Result<(UnreadResponse, ResponseHead, InFlightRequest), AttemptFailure> {
    let Some((address, request)) = call.request(shared, choice, last_event) else {
        return Err(AttemptFailure {
            reason: "the backend server is no longer listed".to_owned(),
            verdict: Verdict::NotRun,
            is_unsent: true,
            has_weights_mismatch: false,
        });
    };
    if is_held_back(shared, choice) {
        return Err(AttemptFailure {
            reason: "the backend server asks for fewer requests".to_owned(),
            verdict: Verdict::NotRun,
            is_unsent: true,
            has_weights_mismatch: false,
        });
    }
    if choice.begin_by_ms.is_some_and(|by_ms| by_ms <= now()) {
        return Err(AttemptFailure {
            reason: "the grace period of the server's weights ends".to_owned(),
            verdict: Verdict::NotRun,
            is_unsent: true,
            has_weights_mismatch: false,
        });
    }
    let in_flight = InFlightRequest::start(shared, call, choice);
    let usage = call.usage();
    usage.inspect(|usage| usage.record_attempt());
    if last_event.is_none() {
        in_flight.await_token(call);
    }
    log_sent(shared, call, choice, last_event);
    call.record_parts(shared, choice, false);
    let sending = shared.connection_pool.send(address, request);
    let reply = tokio::select! {
        biased;
        reply = reach::watch(shared, &call.service, sending) => reply,
        () = weights::wait_until_expired(shared, call, choice) => {
            return Err(AttemptFailure {
                reason: "the grace period of the server's weights ended".to_owned(),
                verdict: Verdict::MayHaveRun,
                is_unsent: false,
                has_weights_mismatch: false,
            });
        }
    };
    let reply = match reply {
        Ok(reply) => reply,
        Err(failure) => {
            if failure.is_unreachable {
                reach::record_unreachable(shared, &call.service, choice.worker);
            }
            if failure.verdict == Verdict::NotRun {
                usage.inspect(|usage| usage.record_not_run());
            }
            if failure.verdict == Verdict::MayHaveRun {
                reach::record_broken(shared, &call.service, choice.worker);
                quarantine::handle_lost_server(shared, call, &in_flight).await;
            }
            return Err(record_failure(shared, choice.worker, failure));
        }
    };
    reach::record_answer(shared, &call.service);
    let head = shared
        .protocol
        .parse_response_head(reply.head.status.as_u16(), &reply.head.headers);
    shared
        .state
        .borrow_mut()
        .record_signals(choice.worker, &head, in_flight.sent_to(), now());
    let is_refusal = head.run_claim.is_refusal();
    let belongs_to_request = match head.request_id.as_deref() {
        Some(id) => id == call.head.request_id,
        // A server may send an earlier refusal again, which then precedes the response to a request that runs.
        None => !is_refusal,
    };
    if !belongs_to_request {
        record_result(shared, choice.worker, false);
        return Err(AttemptFailure {
            reason: "the response belongs to another request".to_owned(),
            verdict: Verdict::MayHaveRun,
            is_unsent: false,
            has_weights_mismatch: false,
        });
    }
    let load = shared.state.borrow().reported_load(choice.worker, &head);
    if let Some(load) = load {
        let mut state = shared.state.borrow_mut();
        state.record_load(choice.worker, load, now());
        drop(state);
        shared.peers.queue_load(shared, choice.worker, load);
    }
    if is_refusal {
        usage.inspect(|usage| usage.record_not_run());
        return Err(handle_not_run(shared, choice, reply, &head).await);
    }
    Ok((reply, head, in_flight))
}

/// Whether the chosen server may not be sent a request now, since others were sent after the choice.
fn is_held_back(shared: &Shared, choice: &Choice) -> bool {
    let state = shared.state.borrow();
    let backend = state.backends.get(choice.worker);
    backend.is_some_and(|backend| {
        backend.available_at_ms() > now() || backend.room_wait_ms(false, now()) > DurationMs(0)
    })
}

/// Logs the server that a request is sent to, and the values that the choice is based on.
fn log_sent(shared: &Shared, call: &Call, choice: &Choice, last_event: Option<u64>) {
    let state = shared.state.borrow();
    let backend = state.backends.get(choice.worker);
    tracing::info!(
        request = call.head.request_id, route = call.route.name, worker = %choice.worker,
        configuration = call.routing.version, weights = choice.weights.map(|weights| weights.0),
        outdated_by = choice.outdated.map(|outdated| outdated.0.0),
        outdated_ms = choice.outdated.and_then(|outdated| outdated.1.age_ms(now())).map(|age_ms| age_ms.0),
        age_source = choice.outdated.and_then(|outdated| outdated.1.source()).map(tracing::field::display),
        begin_within_ms = choice.begin_by_ms.map(|by_ms| by_ms.since(now()).0),
        fetch = ?choice.fetch, unread = choice.prefill_tokens.0, unread_shared = choice.shared_prefill_tokens.0,
        unread_again = choice.recomputed_tokens.0,
        steps_from_home = choice.steps_from_home, queue_ms = choice.queue_ms.0,
        predicted_ms = choice.first_token_ms.0,
        occupancy = backend.map(|backend| backend.occupancy(now())),
        load_age_ms = backend.map(|backend| backend.load_age_ms(now()).0),
        left_ms = call.remaining_ms().0, last_event, resumes = call.head.resumes,
        software = backend.and_then(|backend| backend.spec.software.as_ref()).map(tracing::field::display),
        "request sent"
    );
}

/// Handles the response of a server that has not run the request, and updates the server's state by
/// the reason for it.
async fn handle_not_run(
    shared: &Shared,
    choice: &Choice,
    reply: UnreadResponse,
    head: &ResponseHead,
) -> AttemptFailure {
    let status = reply.head.status;
    let is_misdirected = head.run_claim == RunClaim::Misdirected;
    if is_misdirected {
        // The request may be sent to the same server again, and must not meet its own refusal once more.
        drop(reply);
    } else if let Err(error) = reply
        .read(&shared.connection_pool, MAX_BUFFERED_RESPONSE_BYTES)
        .await
    {
        tracing::debug!(%error, "failed to read the body of a response without a run");
    }
    let mut has_weights_mismatch = false;
    if let Some(backend) = shared.state.borrow_mut().backends.get_mut(choice.worker) {
        let instance = head.instance.as_deref();
        let is_other_instance = instance.is_some_and(|instance| instance != backend.spec.instance);
        match (is_misdirected, is_other_instance) {
            // Another server has the address now.
            (true, true) => backend.record_unreachable(now()),
            (true, false) => has_weights_mismatch = choice.weights.is_some(),
            (false, _) => backend.record_result(false, now()),
        }
        backend.record_rejected(choice.prefill_ms, now());
    }
    AttemptFailure {
        reason: format!("the backend server did not run the request: {status}"),
        verdict: Verdict::NotRun,
        is_unsent: false,
        has_weights_mismatch,
    }
}

/// Finishes an attempt with the server's response: starts relaying a stream, or reads the whole
/// body.
async fn finish(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    choice: &Choice,
    reply: UnreadResponse,
    head: ResponseHead,
    in_flight: InFlightRequest,
) -> Outcome {
    let status = reply.head.status;
    if status.is_success() && !head.is_signed {
        record_result(shared, choice.worker, false);
        return Outcome::Failed(AttemptFailure {
            reason: "a successful response without the server's signature".to_owned(),
            verdict: Verdict::MayHaveRun,
            is_unsent: false,
            has_weights_mismatch: false,
        });
    }
    if head.run_claim == RunClaim::Implied && !call.kind().may_repeat() {
        record_result(shared, choice.worker, false);
        return Outcome::Failed(AttemptFailure {
            reason: format!(
                "{status} without the server's statement that it has not run the request"
            ),
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
        return Outcome::Answered(response);
    }
    let (head, body) = match read_answer(shared, call, choice, reply).await {
        Ok(read) => read,
        Err(failure) => {
            quarantine::handle_lost_server(shared, call, &in_flight).await;
            return Outcome::Failed(record_failure(shared, choice.worker, failure));
        }
    };
    let succeeded = !head.status.is_server_error();
    if succeeded {
        quarantine::record_pass(shared, call);
        in_flight.record_answer();
    }
    record_result(shared, choice.worker, succeeded);
    log_answered(call, choice, &head);
    let response = response::with_body(head.status, response_headers(shared, &head), body);
    if succeeded || !call.kind().may_repeat() {
        Outcome::Answered(response)
    } else {
        Outcome::ServerFailed(response)
    }
}

/// Reads the whole body of an answer that isn't a stream.
async fn read_answer(
    shared: &Shared,
    call: &Call,
    choice: &Choice,
    reply: UnreadResponse,
) -> Result<(ResponseParts, Bytes), ExchangeFailure> {
    let (has_known_end, address) = (reply.has_known_end(), reply.address());
    let read = reply
        .read(&shared.connection_pool, MAX_BUFFERED_RESPONSE_BYTES)
        .await?;
    let service = &call.service;
    if has_known_end || !reach::has_server_failed(shared, service, choice.worker, address).await {
        return Ok(read);
    }
    Err(ExchangeFailure {
        reason: "the answer ended with its server".to_owned(),
        verdict: Verdict::MayHaveRun,
        is_unreachable: false,
    })
}

fn log_answered(call: &Call, choice: &Choice, head: &ResponseParts) {
    tracing::info!(
        request = call.head.request_id, route = call.route.name, worker = %choice.worker,
        status = head.status.as_u16(), after_ms = now().since(call.arrived_at_ms).0, "request answered"
    );
}

/// The headers to send to the caller, from those of a backend server's response. `Content-Length` is
/// left to the HTTP library.
pub fn response_headers(shared: &Shared, head: &ResponseParts) -> http::HeaderMap {
    let mut headers = shared.protocol.response_headers(&head.headers);
    headers.remove(header::CONTENT_LENGTH);
    headers
}
