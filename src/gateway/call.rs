//! One request of a caller, from its arrival to its answer.

use {
    super::{
        Shared,
        clock::now,
        protocol::{ForwardHead, ModelForwardHead, RequestHead},
    },
    bytes::Bytes,
    cactusspur_core::{
        DurationMs, TimeMs, Verdict, WorkerId,
        gateway::{
            CacheScope, CallKind, Choice, ChoiceContext, CustomerSpec, Fetch, KeptStore, ModelCall,
            Pace, PartState, PartUpdate, Route, RoutingTable, choose_model, choose_plain,
            hash_prefixes, shared_keys,
        },
    },
    http::{HeaderMap, Method, Request, Uri},
    http_body_util::Full,
    std::{cell::Cell, net::SocketAddr, rc::Rc},
};

/// The ranks that a backend server knows.
const MAX_PRIORITY: u8 = 9;

/// A request that has been read and found to be allowed.
pub struct Call {
    /// What the caller said.
    pub head: RequestHead,
    /// Its route.
    pub route: Rc<Route>,
    /// The service that was drawn for it.
    pub service: String,
    /// The configuration that it is handled by.
    pub routing: Rc<RoutingTable>,
    /// Its customer.
    pub customer: Option<CustomerSpec>,
    /// When it arrived.
    pub arrived_at_ms: TimeMs,
    /// When it must have been answered.
    pub answer_by_ms: TimeMs,
    /// When the caller stops to wait.
    pub caller_deadline_ms: TimeMs,
    method: Method,
    path: Uri,
    headers: HeaderMap,
    body: Bytes,
    chain: Vec<u64>,
    draw: u64,
}

/// Why a request is not handled further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// There is no such route.
    UnknownRoute,
    /// Its key belongs to no customer.
    UnknownCustomer,
}

/// What a request must have been read to, before it is a [`Call`].
pub struct ReceivedRequest {
    /// Its head.
    pub parts: http::request::Parts,
    /// Its body.
    pub body: Bytes,
    /// What the caller said.
    pub head: RequestHead,
    /// When it arrived.
    pub received_at_ms: TimeMs,
}

/// What a request may do by the configuration in force: its route and its customer.
///
/// # Errors
///
/// When it isn't allowed.
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

impl Call {
    /// A request that is to be served.
    #[must_use]
    pub fn new(
        arrived: ReceivedRequest,
        routing: Rc<RoutingTable>,
        route: Route,
        customer: Option<CustomerSpec>,
        draw: u64,
    ) -> Self {
        let ReceivedRequest {
            parts,
            body,
            head,
            received_at_ms,
        } = arrived;
        let waits = head.deadline_ms.unwrap_or(route.timeout_ms);
        let parts_of_prompt = head.prompt.as_ref().map(|prompt| &prompt.parts[..]);
        let chain = hash_prefixes(parts_of_prompt.unwrap_or_default());
        let service = route.service(draw).unwrap_or_default().to_owned();
        Self {
            service,
            arrived_at_ms: received_at_ms,
            answer_by_ms: received_at_ms.after(waits.min(route.timeout_ms)),
            caller_deadline_ms: received_at_ms.after(waits),
            route: Rc::new(route),
            routing,
            customer,
            method: parts.method,
            path: parts.uri,
            headers: parts.headers,
            body,
            head,
            chain,
            draw,
        }
    }

    /// How often it may run.
    #[must_use]
    pub fn kind(&self) -> CallKind {
        self.route.kind
    }

    /// The time that is left to answer it.
    #[must_use]
    pub fn remaining_ms(&self) -> DurationMs {
        self.answer_by_ms.since(now())
    }

    /// Chooses a backend server other than those that were tried.
    #[must_use]
    pub fn choose(&self, shared: &Shared, tried: &[WorkerId]) -> Option<Choice> {
        self.choose_among(shared, tried, None)
    }

    /// Chooses the same server again, after more was learnt of it.
    #[must_use]
    pub fn choose_again(&self, shared: &Shared, worker: WorkerId) -> Option<Choice> {
        self.choose_among(shared, &[], Some(worker))
    }

    fn choose_among(
        &self,
        shared: &Shared,
        tried: &[WorkerId],
        only: Option<WorkerId>,
    ) -> Option<Choice> {
        let state = shared.state.borrow();
        let service = self.routing.service(&self.service);
        let around = ChoiceContext {
            max_in_flight: service.map_or(u64::MAX, |service| {
                service.max_in_flight(state.peers.sharing())
            }),
            backends: &state.backends,
            cached: &state.cached_parts,
            domain: &shared.settings.domain,
            tried,
            only,
            now: now(),
        };
        match (&self.head.prompt, service) {
            (Some(prompt), Some(service)) if !prompt.parts.is_empty() => {
                let named = state.named_weights.get(&prompt.model);
                let stores = self.routing.kept_stores();
                let stores: Vec<&KeptStore> = stores
                    .filter(|store| state.kept_stores.answers(store.address))
                    .collect();
                let call = ModelCall {
                    decode_heavy_requests: state.writing + state.peers.writing(now()),
                    random: self.draw,
                    model: &prompt.model,
                    isolated_customer: self.wall(),
                    parts: &prompt.parts,
                    max_answer_tokens: prompt.max_answer_tokens,
                    prefix_hashes: &self.chain,
                    kept_stores: &stores,
                    announced: named.map_or(&[], Vec::as_slice),
                };
                choose_model(&around, service, &call)
            }
            _ => choose_plain(&around, &self.service, self.draw),
        }
    }

    /// The request as it is sent to the chosen server.
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
        let model = self.head.prompt.as_ref().and_then(|prompt| {
            let weights = choice.weights?;
            let engine = |worker| state.backends.get(worker).map(|b| b.spec.address);
            let store = |id| self.kept_store(id).map(|store| store.address);
            Some(ModelForwardHead {
                cache_scope: CacheScope::new(&prompt.model, weights, self.wall()).to_string(),
                weights,
                priority: self.priority(),
                fetch_from: choice.fetch.and_then(|fetch| match fetch {
                    Fetch::Engine(worker) => engine(worker),
                    Fetch::KeptStore(id) => store(id),
                }),
                save_to: choice.save_to.and_then(store),
            })
        });
        let left_ms = self.caller_deadline_ms.since(now());
        let head = ForwardHead {
            instance: &spec.instance,
            deadline_ms: choice.limit_ms.map_or(left_ms, |limit| limit.min(left_ms)),
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

    /// Notes which parts of its prompt the chosen server reads, or has read.
    pub fn record_parts(&self, shared: &Rc<Shared>, choice: &Choice, is_read: bool) {
        let (Some(prompt), Some(weights)) = (&self.head.prompt, choice.weights) else {
            return;
        };
        let scope = CacheScope::new(&prompt.model, weights, self.wall());
        let state = if is_read {
            PartState::Cached
        } else {
            PartState::Prefilling
        };
        // What is saved or fetched there has been used there.
        let fetched_from = match choice.fetch {
            Some(Fetch::KeptStore(store)) => Some(store),
            _ => None,
        };
        let kept = choice.save_to.or(fetched_from).filter(|_| is_read);
        let holders = [
            Some((choice.worker, state)),
            kept.map(|store| (store, PartState::Stored)),
        ];
        let notes: Vec<PartUpdate> = shared_keys(scope, &self.chain)
            .flat_map(|part| {
                let holders = holders.into_iter().flatten();
                holders.map(move |(worker, state)| PartUpdate {
                    part,
                    worker,
                    state,
                })
            })
            .collect();
        let news = shared.state.borrow_mut().record_local_parts(notes, now());
        if !news.is_empty() {
            shared.peers.note_parts(shared, &news);
        }
    }

    fn kept_store(&self, id: WorkerId) -> Option<&KeptStore> {
        self.routing.kept_stores().find(|store| store.id == id)
    }

    fn wall(&self) -> Option<&str> {
        let customer = self.customer.as_ref()?;
        customer.isolated.then_some(customer.name.as_str())
    }

    fn priority(&self) -> u8 {
        let customer = self.customer.as_ref();
        let own = customer.and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority).min(MAX_PRIORITY)
    }
}

/// A request in progress at a backend server. It is noted as ended when this is dropped.
pub struct InFlightRequest {
    shared: Rc<Shared>,
    choice: Choice,
    sent_at_ms: TimeMs,
    is_read: Cell<bool>,
}

impl InFlightRequest {
    /// Notes that a request is sent.
    #[must_use]
    pub fn start(shared: &Rc<Shared>, choice: &Choice) -> Self {
        let sent_at_ms = now();
        let mut state = shared.state.borrow_mut();
        state.writing += u64::from(choice.is_decode_heavy);
        if let Some(backend) = state.backends.get_mut(choice.worker) {
            backend.record_sent(choice.prefill_ms, sent_at_ms);
        }
        drop(state);
        if choice.prefill_ms > DurationMs(0) {
            shared
                .peers
                .note_sent(shared, choice.worker, choice.prefill_ms);
        }
        Self {
            shared: Rc::clone(shared),
            choice: *choice,
            sent_at_ms,
            is_read: Cell::new(false),
        }
    }

    /// Notes that the first token has come.
    pub fn record_first_token(&self) {
        self.record_prompt_read();
        if self.choice.queue_ms > DurationMs(0) {
            return;
        }
        // What was fetched first doesn't tell how fast the engine reads.
        let fetch_ms = self
            .choice
            .first_token_ms
            .saturating_sub(self.choice.prefill_ms);
        let took_ms = now().since(self.sent_at_ms).saturating_sub(fetch_ms);
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
        self.shared.peers.note_pace(self.choice.worker, sample);
    }

    /// Notes that its prompt has been read, or never will be.
    fn record_prompt_read(&self) {
        if self.is_read.replace(true) {
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
        self.record_prompt_read();
        let mut state = self.shared.state.borrow_mut();
        let writes = u64::from(self.choice.is_decode_heavy);
        state.writing = state.writing.saturating_sub(writes);
        if let Some(backend) = state.backends.get_mut(self.choice.worker) {
            backend.record_ended();
        }
    }
}

/// What became of one try to have a request served.
#[derive(Debug)]
pub struct AttemptFailure {
    /// What happened, for the log.
    pub reason: String,
    /// Whether the server may have run it.
    pub verdict: Verdict,
    /// Whether no connection could be opened, so that nothing was sent.
    pub is_unsent: bool,
    /// Whether the server has other weights than were expected.
    pub has_weights_mismatch: bool,
}
