//! Passes requests on to other gateways while this one is cut off from the servers of their service, and
//! serves those that others pass on. A request is passed on once only.

use {
    super::{
        Shared,
        call::Call,
        clock::now,
        event_stream::EventReader,
        forward, reach,
        response::{self, ResponseBody, StreamPart, StreamedBody},
    },
    crate::peer::{
        NotTaken, PassFailure, PassLink, PassedAnswer, PassedBody, PassedRequest, PassedResponse,
        Taken, TakenRequest, Taker, decode_headers, encode_headers,
    },
    bytes::Bytes,
    cactusspur_core::{DurationMs, TimeMs, VecMap, Verdict, gateway::ServiceKey},
    futures::future::abortable,
    http::{Request, Response, StatusCode, request::Parts},
    http_body::Body as _,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
};

/// Peers that one request is offered to.
const MAX_PEERS: usize = 3;
/// The part of the time limit for contact for which a peer that took no request is avoided.
const AVOIDANCE_DIVISOR: u64 = 4;
/// How long a peer may take to say that a request has arrived. Round trips take a few milliseconds.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Events that are buffered for the caller. While the buffer is full, nothing is read from the peer.
const MAX_BUFFERED_EVENTS: usize = 8;

/// The requests that are passed on to other gateways, and by them.
#[derive(Default)]
pub struct PassingOn {
    links: RefCell<VecMap<SocketAddr, Rc<PassLink>>>,
    avoided: RefCell<VecMap<SocketAddr, TimeMs>>,
    /// When peers didn't say in time that a request had arrived. They are used once they are heard again.
    silent: RefCell<VecMap<SocketAddr, TimeMs>>,
    taken: Rc<Taken>,
}

impl PassingOn {
    /// The requests in progress that other gateways passed on.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.taken.requests()
    }

    fn link(&self, shared: &Shared, address: SocketAddr) -> Rc<PassLink> {
        let mut links = self.links.borrow_mut();
        let link = links.get_or_insert_with(address, || Rc::new(shared.peers.pass_link(address)));
        Rc::clone(link)
    }

    fn avoid(&self, address: SocketAddr, until_ms: TimeMs) {
        self.avoided.borrow_mut().insert(address, until_ms);
    }

    fn record_silent(&self, address: SocketAddr) {
        metrics::counter!("cactusspur_silent_peers_total").increment(1);
        self.silent.borrow_mut().insert(address, now());
    }

    /// Draws one of the gateways that may serve a request for a service.
    fn draw_peer(
        &self,
        shared: &Shared,
        service: ServiceKey,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let now = now();
        self.avoided
            .borrow_mut()
            .retain(|_, until_ms| *until_ms > now);
        let avoided = self.avoided.borrow();
        let state = shared.state.borrow();
        let mut silent = self.silent.borrow_mut();
        silent.retain(|address, since_ms| !state.peers.was_heard_since(*address, *since_ms));
        let is_untried = |address| !tried.contains(&address) && !silent.contains(&address);
        let is_preferred = |address| is_untried(address) && !avoided.contains(&address);
        let mut peers = state.peers.reaching(service, now, is_preferred);
        if peers.is_empty() {
            peers = state.peers.reaching(service, now, is_untried);
        }
        if peers.is_empty() {
            return None;
        }
        Some(peers.swap_remove(rand::random_range(0..peers.len())))
    }
}

/// Why no other gateway has served a request.
pub struct Unserved {
    /// The failure.
    pub failure: PassFailure,
    /// Whether it may be offered to another gateway, as one more attempt for which the retry is withdrawn.
    pub may_go_elsewhere: bool,
}

impl From<PassFailure> for Unserved {
    fn from(failure: PassFailure) -> Self {
        Self {
            failure,
            may_go_elsewhere: false,
        }
    }
}

/// Whether a request must be passed on, since this gateway doesn't reach the servers of its service.
pub fn is_due(shared: &Shared, call: &Call) -> bool {
    !call.is_passed_on() && reach::is_lost(shared, &call.service)
}

/// Has another gateway serve a request, of which some attempts were made.
///
/// # Errors
///
/// When no gateway takes it, or the one that took it doesn't answer. The failure says whether the request
/// may have run.
pub async fn pass_on(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    attempts: usize,
) -> Result<Response<ResponseBody>, Unserved> {
    let service = ServiceKey::new(&call.service);
    let mut tried: Vec<SocketAddr> = Vec::new();
    let mut why = "no other gateway reaches the servers".to_owned();
    while tried.len() < MAX_PEERS && call.remaining_ms() > forward::MIN_REMAINING_MS {
        let Some(peer) = shared.passing_on.draw_peer(shared, service, &tried) else {
            break;
        };
        tried.push(peer);
        // The gateway that serves the request counts its use.
        if let Some(usage) = call.usage() {
            usage.hand_over();
        }
        let limit = Duration::from_millis(call.remaining_ms().0);
        let unserved = match timeout(limit, offer(shared, call, attempts, peer)).await {
            Ok(Ok(response)) => {
                log(call, peer, "answered", response.status().as_str());
                return Ok(response);
            }
            Ok(Err(unserved)) => unserved,
            Err(_) => may_have_run("the other gateway did not answer in time").into(),
        };
        let avoidance_ms = shared.settings.contact_limit_ms.0 / AVOIDANCE_DIVISOR;
        let until_ms = now().after(DurationMs(avoidance_ms));
        shared.passing_on.avoid(peer, until_ms);
        log(call, peer, "failed", &unserved.failure.to_string());
        if unserved.failure.verdict == Verdict::MayHaveRun {
            return Err(unserved);
        }
        why = unserved.failure.reason;
    }
    Err(not_run(why).into())
}

fn not_run(reason: String) -> PassFailure {
    PassFailure {
        reason,
        verdict: Verdict::NotRun,
    }
}

fn may_have_run(reason: &str) -> PassFailure {
    PassFailure {
        reason: reason.to_owned(),
        verdict: Verdict::MayHaveRun,
    }
}

fn log(call: &Call, peer: SocketAddr, outcome: &'static str, what: &str) {
    metrics::counter!("cactusspur_requests_passed_on_total", "outcome" => outcome).increment(1);
    tracing::info!(
        request = call.head.request_id, route = call.route.name, %peer, outcome, what,
        left_ms = call.remaining_ms().0, "request passed on"
    );
}

/// Whether a request may be sent to a further server by another gateway than one that was offered it. Withdraws the
/// retry then.
fn may_go_elsewhere(shared: &Shared, call: &Call, attempts: usize) -> bool {
    let service = ServiceKey::new(&call.service);
    call.kind().may_repeat()
        && attempts + 1 < call.route.max_backends
        && shared.passing_on.draw_peer(shared, service, &[]).is_some()
        && shared
            .state
            .borrow_mut()
            .withdraw_retry(&call.service, now())
}

/// Offers a request to one gateway.
async fn offer(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    attempts: usize,
    peer: SocketAddr,
) -> Result<Response<ResponseBody>, Unserved> {
    let (request, body) = call.to_pass_on(attempts);
    let request = shared.peers.envelope(request);
    let link = shared.passing_on.link(shared, peer);
    let mut sent = link.send(&request, body).await?;
    if let Ok(taken) = timeout(ARRIVAL_TIMEOUT, sent.taken()).await {
        taken?;
    } else {
        shared.passing_on.record_silent(peer);
        if may_go_elsewhere(shared, call, attempts) {
            let reason = "the other gateway did not say in time that the request arrived";
            return Err(Unserved {
                failure: may_have_run(reason),
                may_go_elsewhere: true,
            });
        }
    }
    let PassedResponse { answer, body } = sent.answer().await?;
    let (status, headers, body_bytes) = match answer {
        PassedAnswer::Answer {
            status,
            headers,
            body_bytes,
        } => (status, headers, body_bytes),
        PassedAnswer::NotTaken(reason) => {
            let reason = format!("the other gateway did not take the request: {reason}");
            return Err(not_run(reason).into());
        }
    };
    let status = StatusCode::from_u16(status).map_err(|error| may_have_run(&error.to_string()))?;
    let headers = decode_headers(&headers);
    let headers = headers.ok_or_else(|| may_have_run("an invalid header"))?;
    let Some(length) = body_bytes else {
        let mut response = Response::new(relay(call, body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return Ok(response);
    };
    let body = body.read_rest(length).await;
    let body = body.map_err(|error| may_have_run(&error.to_string()))?;
    Ok(response::with_body(status, headers, body))
}

/// Relays the events of a stream as they come.
fn relay(call: &Rc<Call>, mut body: PassedBody) -> ResponseBody {
    let (sender, events) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let call = Rc::clone(call);
    let (relay_task, abort) = abortable(async move {
        let mut reader = EventReader::default();
        let mut count = 0_u64;
        let what = loop {
            match body.next().await {
                Ok(Some(bytes)) if reader.push(&bytes).is_err() => break "too long an event",
                Ok(Some(_)) => {}
                Ok(None) if reader.has_partial() => break "ended in the middle of an event",
                Ok(None) => {
                    let sent = sender.send(StreamPart::End).await;
                    let what = sent.map_or("caller left before the end", |()| "complete");
                    log_stream(&call, count, what);
                    return;
                }
                Err(_) => break "broken off",
            }
            for event in reader.by_ref() {
                count += 1;
                if response::send_event(&sender, event.bytes).await.is_err() {
                    log_stream(&call, count, "caller left");
                    return;
                }
            }
        };
        // The body ends as incomplete with the task.
        log_stream(&call, count, what);
    });
    ntex::rt::spawn(relay_task);
    ResponseBody::Streamed(StreamedBody::new(events, abort))
}

fn log_stream(call: &Call, events: u64, what: &str) {
    tracing::info!(
        request = call.head.request_id,
        route = call.route.name,
        events,
        what,
        "stream of a request that was passed on"
    );
}

/// What serves the requests that other gateways pass on.
pub fn taker(shared: &Rc<Shared>) -> Taker {
    let taken = Rc::clone(&shared.passing_on.taken);
    let shared = Rc::clone(shared);
    Taker {
        taken,
        serve: Box::new(move |request, body| Box::pin(take(Rc::clone(&shared), request, body))),
    }
}

async fn take(shared: Rc<Shared>, request: PassedRequest, body: Bytes) -> TakenRequest {
    let Some(parts) = decode_parts(&request) else {
        tracing::warn!("rejected a request that another gateway passed on");
        return NotTaken::Malformed.into();
    };
    let response = match forward::serve_passed(&shared, &request, parts, body).await {
        Ok(response) => response,
        Err(reason) => {
            metrics::counter!("cactusspur_requests_taken_total", "outcome" => "not taken")
                .increment(1);
            tracing::info!(%reason, "request of another gateway not taken");
            return reason.into();
        }
    };
    metrics::counter!("cactusspur_requests_taken_total", "outcome" => "answered").increment(1);
    let (head, body) = response.into_parts();
    let body_bytes = body.size_hint().exact();
    TakenRequest {
        answer: PassedAnswer::Answer {
            status: head.status.as_u16(),
            headers: encode_headers(&head.headers),
            body_bytes: body_bytes.and_then(|bytes| usize::try_from(bytes).ok()),
        },
        body: Some(body),
    }
}

fn decode_parts(request: &PassedRequest) -> Option<Parts> {
    let http_request = Request::builder()
        .method(request.method.as_str())
        .uri(request.target.as_str())
        .body(());
    let (mut parts, ()) = http_request.ok()?.into_parts();
    parts.headers = decode_headers(&request.headers)?;
    Some(parts)
}
