//! Carries events to the decision core and its commands to callers and links.

use {
    crate::{timeline::Timeline, timer::now},
    bytes::Bytes,
    cactusspur_core::{
        Command, Configuration, Core, CoreSettings, CustomerId, Event, Refusal, RequestId, Usage,
        VecMap, VmList, WorkerId,
    },
    futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// What a caller's connection is told.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The next bytes of a model's answer.
    Text(Bytes),
    /// The answer is whole.
    Complete(Usage),
    /// A plain service's answer.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Bytes,
        /// Whether it is the stored answer of an earlier request.
        replayed: bool,
    },
    /// The final answer: not served.
    Refused(Refusal),
}

/// A caller's request as it came, kept while it is in progress.
#[derive(Clone, Debug)]
pub struct CallerBody {
    /// The customer.
    pub customer: CustomerId,
    /// The body.
    pub body: Bytes,
    /// The idempotency key.
    pub once_key: Option<String>,
}

#[derive(Debug)]
struct Caller {
    body: Arc<CallerBody>,
    delivered: Vec<u8>,
    events: UnboundedSender<CallerEvent>,
}

#[derive(Debug)]
struct State {
    core: Core,
    callers: VecMap<RequestId, Caller>,
    keys: VecMap<String, CustomerId>,
    addresses: VecMap<WorkerId, String>,
    next_request: u64,
}

/// The running decision core with its surroundings. Shared by all threads.
#[derive(Debug)]
pub struct Driver {
    state: Mutex<State>,
    timeline: Arc<Timeline>,
    outbound: UnboundedSender<Command>,
}

impl Driver {
    /// Opens a core. The receiver gets the commands that need connections to other processes.
    #[must_use]
    pub fn open(
        settings: CoreSettings,
        timeline: Arc<Timeline>,
    ) -> (Arc<Self>, UnboundedReceiver<Command>) {
        let (outbound, commands) = unbounded();
        let state = State {
            core: Core::new(settings),
            callers: VecMap::default(),
            keys: VecMap::default(),
            addresses: VecMap::default(),
            next_request: 0,
        };
        (
            Arc::new(Self {
                state: Mutex::new(state),
                timeline,
                outbound,
            }),
            commands,
        )
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the core of an event and passes its commands on, in order.
    pub fn handle(&self, event: Event) {
        let mut state = self.lock();
        self.step(&mut state, event);
    }

    fn step(&self, state: &mut State, event: Event) {
        let now = now();
        self.timeline.record_event(now, &event);
        for command in state.core.handle(now, event) {
            self.timeline.record_command(now, &command);
            self.pass_on(state, command);
        }
    }

    fn pass_on(&self, state: &mut State, command: Command) {
        match command {
            Command::Deliver { request, text } => {
                if let Some(caller) = state.callers.get_mut(&request) {
                    caller.delivered.extend_from_slice(&text);
                }
                tell(state, request, CallerEvent::Text(text));
            }
            Command::Complete { request, usage } => {
                tell_last(state, request, CallerEvent::Complete(usage));
            }
            Command::Answer {
                request,
                status,
                body,
                replayed,
            } => {
                tell_last(
                    state,
                    request,
                    CallerEvent::Answer {
                        status,
                        body,
                        replayed,
                    },
                );
            }
            Command::Refuse { request, refusal } => {
                metrics::counter!("cactusspur_refused_total", "cause" => refusal.cause.to_string())
                    .increment(1);
                tell_last(state, request, CallerEvent::Refused(refusal));
            }
            command => {
                if self.outbound.unbounded_send(command).is_err() {
                    tracing::debug!("no one carries commands out any more");
                }
            }
        }
    }

    /// Takes a caller's request in. `arrive` makes the event of the request's id.
    pub fn arrive<F>(
        &self,
        body: CallerBody,
        arrive: F,
    ) -> (RequestId, UnboundedReceiver<CallerEvent>)
    where
        F: FnOnce(RequestId) -> Event,
    {
        let (events, receiver) = unbounded();
        let mut state = self.lock();
        state.next_request += 1;
        let request = RequestId(state.next_request);
        state.callers.insert(
            request,
            Caller {
                body: Arc::new(body),
                delivered: Vec::new(),
                events,
            },
        );
        self.step(&mut state, arrive(request));
        (request, receiver)
    }

    /// The body of a request in progress.
    #[must_use]
    pub fn body(&self, request: RequestId) -> Option<Arc<CallerBody>> {
        self.lock()
            .callers
            .get(&request)
            .map(|caller| Arc::clone(&caller.body))
    }

    /// The part of a model's answer that the caller has been given.
    #[must_use]
    pub fn delivered(&self, request: RequestId) -> String {
        let state = self.lock();
        let delivered = state
            .callers
            .get(&request)
            .map(|caller| &caller.delivered[..]);
        String::from_utf8_lossy(delivered.unwrap_or_default()).into_owned()
    }

    /// Takes in that a caller has gone.
    pub fn caller_left(&self, request: RequestId) {
        let mut state = self.lock();
        if state.callers.contains(&request) {
            self.step(&mut state, Event::CallerLeft { request });
            state.callers.remove(&request);
        }
    }

    /// Takes the list of VMs in.
    pub fn vms(&self, list: VmList) {
        let mut state = self.lock();
        state.addresses = list
            .vms
            .iter()
            .map(|vm| (vm.worker(), vm.address.clone()))
            .collect();
        self.step(&mut state, Event::Vms(list));
    }

    /// Takes a configuration into force if it is newer than the one in force.
    pub fn configure(&self, configuration: Configuration) {
        let mut state = self.lock();
        if configuration.generation <= state.core.generation() {
            return;
        }
        let customers = &configuration.declarations.customers;
        state.keys = customers
            .iter()
            .flat_map(|customer| {
                customer
                    .api_key_hashes
                    .iter()
                    .map(|hash| (hash.clone(), customer.id()))
            })
            .collect();
        tracing::info!(generation = %configuration.generation, "configuration in force");
        self.step(&mut state, Event::Configured(configuration));
    }

    /// The address of a worker, as listed.
    #[must_use]
    pub fn address(&self, worker: WorkerId) -> Option<String> {
        self.lock().addresses.get(&worker).cloned()
    }

    /// The customer whose API key this is.
    #[must_use]
    pub fn customer(&self, api_key: &str) -> Option<CustomerId> {
        let hash = blake3::hash(api_key.as_bytes()).to_hex().to_string();
        self.lock().keys.get(&hash).copied()
    }

    /// The process's time line.
    #[must_use]
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Looks at the core.
    pub fn inspect<F, T>(&self, look: F) -> T
    where
        F: FnOnce(&Core) -> T,
    {
        look(&self.lock().core)
    }
}

fn tell(state: &State, request: RequestId, event: CallerEvent) {
    let Some(caller) = state.callers.get(&request) else {
        return;
    };
    if caller.events.unbounded_send(event).is_err() {
        tracing::debug!(%request, "the caller has gone");
    }
}

fn tell_last(state: &mut State, request: RequestId, event: CallerEvent) {
    tell(state, request, event);
    state.callers.remove(&request);
}
