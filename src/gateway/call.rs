//! A caller's request: its admission, the choice of a backend server, and its attempts.

use {
    super::{
        Shared,
        clock::now,
        overload::AwaitedToken,
        protocol::{ForwardHead, ModelForwardHead, RequestHead},
        quarantine::Trial,
        state::{GatewayState, SentTo},
        usage::UsageMeter,
    },
    crate::peer::{PassedRequest, encode_headers},
    bytes::Bytes,
    cactusspur_core::{
        DurationMs, TimeMs, Verdict, WorkerId,
        gateway::{
            Announcements, CacheGroup, CallKind, Choice, ChoiceContext, CustomerSpec, Fetch,
            KeptStore, ModelCall, Pace, PartState, PartUpdate, RequestContent, RequestDigest,
            RequestIdentity, Route, RoutingTable, ServerStanding, ServiceSpec, SoftwareKey,
            StreamKey, choose_model, choose_plain, explain_model, explain_plain, hash_prefixes,
            shared_keys, shared_parts,
        },
    },
    http::{HeaderMap, Method, Request, Uri, uri::PathAndQuery},
    http_body_util::Full,
    std::{
        cell::{Cell, OnceCell},
        net::SocketAddr,
        rc::Rc,
    },
};

/// The largest priority value that backend servers support, which is the lowest priority.
const MAX_PRIORITY: u8 = 9;
/// Servers that may crash while they run a request before it is given up.
const MAX_LOST_SERVERS: usize = 2;
/// The most bytes of a prompt's part names in one line of the log.
const MAX_LOGGED_PROMPT_BYTES: usize = 256;

/// An admitted request.
pub struct Call {
    /// The gateway's header fields of the request.
    pub head: RequestHead,
    /// The route that the request matches.
    pub route: Rc<Route>,
    /// The name of the service that was drawn from the route's splits.
    pub service: String,
    /// The configuration under which the request was admitted.
    pub routing: Rc<RoutingTable>,
    /// The customer that the caller's key identifies.
    pub customer: Option<CustomerSpec>,
    /// When the head of the request arrived.
    pub arrived_at_ms: TimeMs,
    /// The earlier of the caller's deadline and the route's timeout.
    pub answer_by_ms: TimeMs,
    /// When the caller stops waiting; the route's timeout if the caller sets no deadline.
    pub caller_deadline_ms: TimeMs,
    /// The request as crashes of its servers know it.
    pub identity: RequestIdentity,
    /// The software version that the stream is bound to, once it is known to have begun.
    software: Cell<Option<SoftwareKey>>,
    lost_servers: Cell<usize>,
    usage: OnceCell<UsageMeter>,
    is_judged: Cell<bool>,
    is_passed_on: Cell<bool>,
    was_sent: Cell<bool>,
    goes_last: Cell<bool>,
    method: Method,
    path: Uri,
    headers: HeaderMap,
    body: Bytes,
    prefix_hashes: Vec<u64>,
    random: u64,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// No route matches the request's host and path.
    UnknownRoute,
    /// The route requires a customer, and the key is missing or identifies none.
    UnknownCustomer,
}

/// A request that has been read completely.
pub struct ReceivedRequest {
    /// The request line and headers.
    pub parts: http::request::Parts,
    /// The body.
    pub body: Bytes,
    /// The gateway's header fields, parsed from `parts`.
    pub head: RequestHead,
    /// When the head of the request arrived.
    pub received_at_ms: TimeMs,
}

/// Finds the route and the customer of a request in a configuration.
///
/// # Errors
///
/// When no route matches, or the route isn't public and the caller's key identifies no customer.
pub fn admit(
    routing: &RoutingTable,
    parts: &http::request::Parts,
    head: &RequestHead,
) -> Result<(Route, Option<CustomerSpec>), AdmissionError> {
    let host = parts.headers.get(http::header::HOST);
    let host = host.and_then(|value| value.to_str().ok()).unwrap_or("");
    let route = routing.route(host, parts.uri.path());
    let route = route.ok_or(AdmissionError::UnknownRoute)?;
    let customer = head
        .api_key
        .as_deref()
        .and_then(|key| routing.customer(key));
    if routing.has_customers() && !route.is_public && customer.is_none() {
        return Err(AdmissionError::UnknownCustomer);
    }
    Ok((route.clone(), customer.cloned()))
}

/// How long a request may take until its answer is complete: what its caller waits, and no longer than the
/// route permits.
#[must_use]
pub fn time_limit_ms(head: &RequestHead, route: &Route) -> DurationMs {
    let caller_wait_ms = head.deadline_ms.unwrap_or(route.timeout_ms);
    caller_wait_ms.min(route.timeout_ms)
}

impl Call {
    /// A call for a request that was admitted. `digest_secret` is that of [`RequestDigest::new`]; `random` selects the service among the route's splits
    /// and breaks ties between servers.
    #[must_use]
    pub fn new(
        received: ReceivedRequest,
        routing: Rc<RoutingTable>,
        route: Route,
        customer: Option<CustomerSpec>,
        digest_secret: &str,
        random: u64,
    ) -> Self {
        let ReceivedRequest {
            parts,
            body,
            head,
            received_at_ms,
        } = received;
        let caller_wait_ms = head.deadline_ms.unwrap_or(route.timeout_ms);
        let prompt_parts = head.prompt.as_ref().map(|prompt| &prompt.parts[..]);
        let prefix_hashes = hash_prefixes(prompt_parts.unwrap_or_default());
        let shared_parts = shared_parts(prompt_parts.unwrap_or_default());
        let host = parts.headers.get(http::header::HOST);
        let digest = RequestDigest::new(
            &RequestContent {
                method: parts.method.as_str(),
                host: host.and_then(|value| value.to_str().ok()).unwrap_or(""),
                path: parts
                    .uri
                    .path_and_query()
                    .map_or_else(|| parts.uri.path(), PathAndQuery::as_str),
                customer: customer.as_ref().map(|customer| customer.name.as_str()),
                shared_parts: &shared_parts,
                body: &body,
            },
            digest_secret,
        );
        let service = route.service(random).unwrap_or_default().to_owned();
        Self {
            service,
            arrived_at_ms: received_at_ms,
            answer_by_ms: received_at_ms.after(time_limit_ms(&head, &route)),
            caller_deadline_ms: received_at_ms.after(caller_wait_ms),
            route: Rc::new(route),
            routing,
            customer,
            method: parts.method,
            path: parts.uri,
            headers: parts.headers,
            body,
            head,
            identity: RequestIdentity {
                digest,
                parts: shared_parts,
            },
            software: Cell::new(None),
            lost_servers: Cell::new(0),
            usage: OnceCell::new(),
            is_judged: Cell::new(false),
            is_passed_on: Cell::new(false),
            was_sent: Cell::new(false),
            goes_last: Cell::new(false),
            prefix_hashes,
            random,
        }
    }

    /// The route's kind, which decides whether the request may run more than once.
    #[must_use]
    pub fn kind(&self) -> CallKind {
        self.route.kind
    }

    /// The stream that the request begins or takes up. `None` if the caller doesn't say which one.
    #[must_use]
    pub fn stream_key(&self) -> Option<StreamKey> {
        let customer = self
            .customer
            .as_ref()
            .map(|customer| customer.name.as_str());
        let began_by = match self.head.last_event {
            None => Some(&self.head.request_id),
            Some(_) => self.head.resumes.as_ref(),
        };
        began_by.map(|id| StreamKey::new(customer, id))
    }

    /// The software version that the stream is bound to; `None` before its first event.
    #[must_use]
    pub const fn software(&self) -> Option<SoftwareKey> {
        self.software.get()
    }

    /// Binds the stream to the version of its first event.
    pub fn bind_software(&self, software: SoftwareKey) {
        self.software.set(Some(software));
    }

    /// Counts the request's attempts under its customer's cap from now on.
    pub fn meter_usage(&self, meter: UsageMeter) {
        if self.usage.set(meter).is_err() {
            tracing::error!(request = self.head.request_id, "use is counted twice");
        }
    }

    /// Counts the request's use; `None` if its customer has no cap.
    #[must_use]
    pub fn usage(&self) -> Option<&UsageMeter> {
        self.usage.get()
    }

    /// Records that a server crashed while it ran the request and had sent no event or whole answer.
    pub fn record_lost_server(&self) {
        self.lost_servers.set(self.lost_servers.get() + 1);
    }

    /// Whether as many servers crashed in that way as one attempt of a caller may end.
    #[must_use]
    pub fn has_lost_servers(&self) -> bool {
        self.lost_servers.get() >= MAX_LOST_SERVERS
    }

    /// Records that another gateway passed the request on to this one.
    pub fn record_passed_on(&self) {
        self.is_passed_on.set(true);
    }

    /// Whether another gateway passed the request on to this one.
    #[must_use]
    pub const fn is_passed_on(&self) -> bool {
        self.is_passed_on.get()
    }

    /// Records that the request was sent to a server.
    pub fn record_sent(&self) {
        self.was_sent.set(true);
    }

    /// Whether the request was sent to any server.
    #[must_use]
    pub const fn was_sent(&self) -> bool {
        self.was_sent.get()
    }

    /// The request in the form in which it is passed on to another gateway, after some attempts.
    #[must_use]
    pub fn to_pass_on(&self, attempts: usize) -> (PassedRequest, Bytes) {
        let request = PassedRequest {
            method: self.method.to_string(),
            target: self.path.to_string(),
            headers: encode_headers(&self.headers),
            answer_in_ms: self.remaining_ms(),
            caller_waits_ms: self.caller_deadline_ms.since(now()),
            attempts,
            random: self.random,
            body_bytes: self.body.len(),
            body_hash: *blake3::hash(&self.body).as_bytes(),
        };
        (request, self.body.clone())
    }

    /// Whether the decision under overload is due, which is made once.
    #[must_use]
    pub fn begin_judging(&self) -> bool {
        !self.is_judged.replace(true)
    }

    /// Gives the request the lowest priority at its server, since it would be late in any case.
    pub fn go_last(&self) {
        self.goes_last.set(true);
    }

    /// Whether the request has the lowest priority at its server.
    #[must_use]
    pub fn goes_last(&self) -> bool {
        self.goes_last.get()
    }

    /// The parts of the prompt as the caller names them, for the log; `None` without a prompt.
    #[must_use]
    pub fn prompt_names(&self) -> Option<&str> {
        let names = self.head.prompt.as_ref()?.part_names.as_str();
        let end = names.floor_char_boundary(MAX_LOGGED_PROMPT_BYTES);
        Some(&names[..end])
    }

    /// The path of the request, for the log.
    #[must_use]
    pub fn path(&self) -> &str {
        self.path.path()
    }

    /// The time that remains to answer the request.
    #[must_use]
    pub fn remaining_ms(&self) -> DurationMs {
        self.answer_by_ms.since(now())
    }

    /// Chooses a backend server other than those in `tried`. `None` if none is available. Servers that may
    /// crash soon, since they run suspected requests, are used if there is no other one, and never for
    /// another suspected request.
    #[must_use]
    pub fn choose(&self, shared: &Shared, tried: &[WorkerId]) -> Option<Choice> {
        self.choose_avoiding(shared, tried).1
    }

    /// How all servers of the request's service stand in its first choice.
    #[must_use]
    pub fn explain(&self, shared: &Shared) -> Vec<ServerStanding> {
        let (avoided, _) = self.choose_avoiding(shared, &[]);
        self.decide(shared, &avoided, None, |context, model| match model {
            Some((service, call)) => explain_model(context, service, call),
            None => explain_plain(context, &self.service, self.random),
        })
    }

    /// The servers that were avoided, and the choice among the others.
    fn choose_avoiding(
        &self,
        shared: &Shared,
        tried: &[WorkerId],
    ) -> (Vec<WorkerId>, Option<Choice>) {
        let state = shared.state.borrow();
        let on_trial = state.quarantine.servers_on_trial(now());
        let is_suspected = state.quarantine.is_suspected(self.identity.digest);
        drop(state);
        if !on_trial.is_empty() {
            let avoided = [tried, &on_trial].concat();
            let apart = self.choose_among(shared, &avoided, None);
            if apart.is_some() || is_suspected {
                return (avoided, apart);
            }
        }
        let choice = self.choose_among(shared, tried, None);
        (tried.to_vec(), choice)
    }

    /// Repeats the choice for one server after the gateway's knowledge of it changed. `None` if the
    /// server is no longer eligible.
    #[must_use]
    pub fn choose_again(&self, shared: &Shared, worker: WorkerId) -> Option<Choice> {
        self.choose_among(shared, &[], Some(worker))
    }

    /// Chooses a backend server: any but those in `tried`, or only the one in `only`.
    fn choose_among(
        &self,
        shared: &Shared,
        tried: &[WorkerId],
        only: Option<WorkerId>,
    ) -> Option<Choice> {
        self.decide(shared, tried, only, |context, model| match model {
            Some((service, call)) => choose_model(context, service, call),
            None => choose_plain(context, &self.service, self.random),
        })
    }

    /// Decides on the gateway's knowledge, with the service and the call if the request is for a model.
    fn decide<T, F>(
        &self,
        shared: &Shared,
        tried: &[WorkerId],
        only: Option<WorkerId>,
        decide: F,
    ) -> T
    where
        F: FnOnce(&ChoiceContext<'_>, Option<(&ServiceSpec, &ModelCall<'_>)>) -> T,
    {
        let state = shared.state.borrow();
        let service = self.routing.service(&self.service);
        let context = ChoiceContext {
            max_in_flight: service.map_or(u64::MAX, |service| {
                service.max_in_flight(state.peers.budget_sharers(now()))
            }),
            backends: &state.backends,
            cached: &state.cached_parts,
            domain: &shared.settings.domain,
            tried,
            only,
            software: self.software.get(),
            now: now(),
        };
        match (&self.head.prompt, service) {
            (Some(prompt), Some(service)) if !prompt.parts.is_empty() => {
                let announced = state.announced_weights.get(&prompt.model);
                let stores = self.routing.kept_stores();
                let stores: Vec<&KeptStore> = stores
                    .filter(|store| state.kept_stores.is_available(store.address))
                    .collect();
                let call = ModelCall {
                    decode_heavy_requests: state.decode_heavy_requests
                        + state.peers.decode_heavy_requests(now()),
                    random: self.random,
                    model: &prompt.model,
                    group: self.cache_group(&state),
                    parts: &prompt.parts,
                    max_answer_tokens: prompt.max_answer_tokens,
                    target_ms: self.route.target_ms,
                    event_gap_ms: self.route.event_gap_ms.unwrap_or(self.route.target_ms),
                    prefix_hashes: &self.prefix_hashes,
                    kept_stores: &stores,
                    announced: announced.map_or(&[], Announcements::versions),
                };
                decide(&context, Some((service, &call)))
            }
            _ => decide(&context, None),
        }
    }

    /// The address of the chosen server and the request to send to it. `None` if the server is no
    /// longer listed.
    #[must_use]
    pub fn request(
        &self,
        shared: &Shared,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Option<(SocketAddr, Request<Full<Bytes>>)> {
        let state = shared.state.borrow();
        let spec = &state.backends.get(choice.worker)?.spec;
        let address = spec.address;
        let model = self.head.prompt.as_ref().and_then(|_| {
            let weights = choice.weights?;
            let engine = |worker| state.backends.get(worker).map(|b| b.spec.address);
            let store = |id| self.kept_store(id).map(|store| store.address);
            Some(ModelForwardHead {
                cache_scope: choice.cache_scope?.to_string(),
                weights,
                priority: if self.goes_last() {
                    MAX_PRIORITY
                } else {
                    self.priority()
                },
                fetch_from: choice.fetch.and_then(|fetch| match fetch {
                    Fetch::Engine(worker) => engine(worker),
                    Fetch::KeptStore(id) => store(id),
                }),
                save_to: choice.save_to.and_then(store),
            })
        });
        let remaining_ms = self.caller_deadline_ms.since(now());
        let head = ForwardHead {
            instance: &spec.instance,
            deadline_ms: choice
                .begin_by_ms
                .map_or(remaining_ms, |by_ms| by_ms.since(now()).min(remaining_ms)),
            customer: self
                .customer
                .as_ref()
                .map(|customer| customer.name.as_str()),
            last_event,
            model,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = shared.protocol.forwarded_headers(&self.headers, &head);
        Some((address, request))
    }

    /// Records that the chosen server prefills the shared parts of the prompt, or has done so, and
    /// announces what is new to peers.
    pub fn record_parts(&self, shared: &Rc<Shared>, choice: &Choice, is_prefilled: bool) {
        let Some(scope) = choice.cache_scope else {
            return;
        };
        let state = if is_prefilled {
            PartState::Cached
        } else {
            PartState::Prefilling
        };
        // A fetch counts as a use of the store's copy, as a save does.
        let fetched_from = match choice.fetch {
            Some(Fetch::KeptStore(store)) => Some(store),
            _ => None,
        };
        let store = choice.save_to.or(fetched_from).filter(|_| is_prefilled);
        let holders = [
            Some((choice.worker, state)),
            store.map(|store| (store, PartState::Stored)),
        ];
        let updates: Vec<PartUpdate> = shared_keys(scope, &self.prefix_hashes)
            .flat_map(|part| {
                let holders = holders.into_iter().flatten();
                holders.map(move |(worker, state)| PartUpdate {
                    part,
                    worker,
                    state,
                })
            })
            .collect();
        let new_updates = shared.state.borrow_mut().record_local_parts(updates, now());
        if !new_updates.is_empty() {
            shared.peers.queue_parts(shared, &new_updates);
        }
    }

    /// The configured KV cache store with the given id.
    #[must_use]
    pub fn kept_store(&self, id: WorkerId) -> Option<&KeptStore> {
        self.routing.kept_stores().find(|store| store.id == id)
    }

    /// The customers with which the request shares cached prompt parts. The configuration may have changed
    /// since the request was admitted, and what it isolates holds for all that is sent from now on.
    fn cache_group(&self, state: &GatewayState) -> CacheGroup<'_> {
        let routing = state.routing.as_ref().unwrap_or(&self.routing);
        let customer = self.customer.as_ref();
        routing.cache_group(customer.map(|customer| customer.name.as_str()))
    }

    /// The customer's priority, or else the route's, limited to the supported range.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let customer = self.customer.as_ref();
        let customer_priority = customer.and_then(|customer| customer.priority);
        customer_priority
            .unwrap_or(self.route.priority)
            .min(MAX_PRIORITY)
    }
}

/// A request in progress at a backend server. Dropping it records the end of the request.
pub struct InFlightRequest {
    shared: Rc<Shared>,
    choice: Choice,
    sent_to: SentTo,
    is_prefilled: Cell<bool>,
    awaited: Cell<Option<AwaitedToken>>,
    trial: Cell<Option<Trial>>,
}

impl InFlightRequest {
    /// Records that a request is sent to the chosen server, and announces its prefill to peers.
    #[must_use]
    pub fn start(shared: &Rc<Shared>, call: &Call, choice: &Choice) -> Self {
        let sent_at_ms = now();
        let mut state = shared.state.borrow_mut();
        let sent_to = state.sent_to(choice.worker, sent_at_ms);
        state.decode_heavy_requests += u64::from(choice.is_decode_heavy);
        let mut choice = *choice;
        if call.goes_last() {
            // Nobody waits for it.
            choice.prefill_ms = DurationMs(0);
        }
        let mut is_brittle = false;
        if let Some(backend) = state.backends.get_mut(choice.worker) {
            backend.record_sent(choice.prefill_ms, sent_at_ms);
            is_brittle = backend.room().is_some();
        }
        drop(state);
        if choice.prefill_ms > DurationMs(0) || is_brittle {
            shared
                .peers
                .queue_sent_request(shared, choice.worker, choice.prefill_ms);
        }
        Self {
            shared: Rc::clone(shared),
            choice,
            sent_to,
            is_prefilled: Cell::new(false),
            awaited: Cell::new(None),
            trial: Cell::new(Trial::begin(shared, call, &choice)),
        }
    }

    /// When the request was sent, and to which incarnation of its server.
    #[must_use]
    pub const fn sent_to(&self) -> SentTo {
        self.sent_to
    }

    /// The choice of the server.
    #[must_use]
    pub const fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Records that the server has not crashed on the request.
    pub fn end_trial(&self) {
        drop(self.trial.take());
    }

    /// Compares the time to the first token, or to the answer of a plain service, with the prediction.
    pub fn await_token(&self, call: &Call) {
        self.awaited
            .set(AwaitedToken::begin(&self.shared, call, &self.choice));
    }

    /// Records the arrival of a whole answer that isn't streamed.
    pub fn record_answer(&self) {
        if let Some(awaited) = self.awaited.take() {
            awaited.record_arrival();
        }
    }

    /// Records the arrival of the first token: the end of the prefill, and a sample of the engine's
    /// pace unless the prompt had to wait in a queue.
    pub fn record_first_token(&self) {
        self.record_answer();
        self.record_prefill_ended();
        if self.choice.queue_ms > DurationMs(0) {
            return;
        }
        // The time for fetching cached parts says nothing about the engine's prefill rate.
        let fetch_ms = self
            .choice
            .first_token_ms
            .saturating_sub(self.choice.prefill_ms);
        let took_ms = now()
            .since(self.sent_to.sent_at_ms)
            .saturating_sub(fetch_ms);
        let Some(sample) = Pace::sample(self.choice.nominal_prefill_ms, took_ms) else {
            return;
        };
        if let Some(backend) = self
            .shared
            .state
            .borrow_mut()
            .backends
            .get_mut(self.choice.worker)
        {
            backend.pace.learn(sample);
        }
        self.shared.peers.queue_pace(self.choice.worker, sample);
    }

    /// Records that the prompt has been prefilled or the request has ended. Repeated calls have no
    /// effect.
    fn record_prefill_ended(&self) {
        if self.is_prefilled.replace(true) {
            return;
        }
        let mut state = self.shared.state.borrow_mut();
        if let Some(backend) = state.backends.get_mut(self.choice.worker) {
            backend.record_prefill_ended(self.choice.prefill_ms);
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.record_prefill_ended();
        let mut state = self.shared.state.borrow_mut();
        let decode_heavy = u64::from(self.choice.is_decode_heavy);
        state.decode_heavy_requests = state.decode_heavy_requests.saturating_sub(decode_heavy);
        if let Some(backend) = state.backends.get_mut(self.choice.worker) {
            backend.record_ended();
        }
    }
}

/// A failed attempt to have a request served.
#[derive(Debug)]
pub struct AttemptFailure {
    /// The cause, for the log.
    pub reason: String,
    /// Whether the server may have run the request.
    pub verdict: Verdict,
    /// Whether nothing was sent, since no connection could be opened or the server is no longer
    /// listed.
    pub is_unsent: bool,
    /// Whether the server rejected the request because it has other weights than expected.
    pub has_weights_mismatch: bool,
}
