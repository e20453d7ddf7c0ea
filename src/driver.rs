//! Feeds events into the decision core and dispatches the commands that it returns.

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

/// An event for the connection of a caller.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The next bytes of a model's answer.
    Text(Bytes),
    /// The model's answer is complete.
    Complete(Usage),
    /// The answer of a plain service.
    Answer {
        /// The HTTP status code.
        status: u16,
        /// The response body.
        body: Bytes,
        /// Whether it is the stored answer of an earlier request.
        replayed: bool,
    },
    /// The request was refused; no further event follows.
    Refused(Refusal),
}

/// A caller's request as received, kept while it is in progress.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The unparsed request body.
    pub body: Bytes,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
}

#[derive(Debug)]
struct Caller {
    request: Arc<CallerRequest>,
    delivered: Vec<u8>,
    events: UnboundedSender<CallerEvent>,
}

#[derive(Debug)]
struct DriverState {
    core: Core,
    callers: VecMap<RequestId, Caller>,
    customers_by_key_hash: VecMap<String, CustomerId>,
    worker_addresses: VecMap<WorkerId, String>,
    last_request_number: u64,
}

/// The decision core with the requests in progress and the lookup tables of the process. Shared by
/// all threads.
#[derive(Debug)]
pub struct Driver {
    state: Mutex<DriverState>,
    timeline: Arc<Timeline>,
    outbound_commands: UnboundedSender<Command>,
}

impl Driver {
    /// Creates a driver with a new core. The returned receiver yields the commands that need
    /// connections to other processes.
    #[must_use]
    pub fn new(
        settings: CoreSettings,
        timeline: Arc<Timeline>,
    ) -> (Arc<Self>, UnboundedReceiver<Command>) {
        let (outbound_commands, commands) = unbounded();
        let state = DriverState {
            core: Core::new(settings),
            callers: VecMap::default(),
            customers_by_key_hash: VecMap::default(),
            worker_addresses: VecMap::default(),
            last_request_number: 0,
        };
        (
            Arc::new(Self {
                state: Mutex::new(state),
                timeline,
                outbound_commands,
            }),
            commands,
        )
    }

    fn lock(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the core and dispatches the resulting commands in order.
    pub fn handle(&self, event: Event) {
        let mut state = self.lock();
        self.process_event(&mut state, event);
    }

    fn process_event(&self, state: &mut DriverState, event: Event) {
        let now = now();
        self.timeline.record_event(now, &event);
        for command in state.core.handle(now, event) {
            self.timeline.record_command(now, &command);
            self.dispatch(state, command);
        }
    }

    fn dispatch(&self, state: &mut DriverState, command: Command) {
        match command {
            Command::Deliver { request, text } => {
                if let Some(caller) = state.callers.get_mut(&request) {
                    caller.delivered.extend_from_slice(&text);
                }
                send_event(state, request, CallerEvent::Text(text));
            }
            Command::Complete { request, usage } => {
                send_final_event(state, request, CallerEvent::Complete(usage));
            }
            Command::Answer {
                request,
                status,
                body,
                replayed,
            } => {
                send_final_event(
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
                send_final_event(state, request, CallerEvent::Refused(refusal));
            }
            command => {
                if self.outbound_commands.unbounded_send(command).is_err() {
                    tracing::debug!("command dropped: the receiver of outbound commands is closed");
                }
            }
        }
    }

    /// Registers a caller's request under a new id and passes the event that `to_event` makes from
    /// the id to the core.
    ///
    /// Returns the id and the events for the caller.
    pub fn submit<F>(
        &self,
        caller_request: CallerRequest,
        to_event: F,
    ) -> (RequestId, UnboundedReceiver<CallerEvent>)
    where
        F: FnOnce(RequestId) -> Event,
    {
        let (events, receiver) = unbounded();
        let mut state = self.lock();
        state.last_request_number += 1;
        let request = RequestId(state.last_request_number);
        state.callers.insert(
            request,
            Caller {
                request: Arc::new(caller_request),
                delivered: Vec::new(),
                events,
            },
        );
        self.process_event(&mut state, to_event(request));
        (request, receiver)
    }

    /// The caller's request with this id, while it is in progress.
    #[must_use]
    pub fn caller_request(&self, request: RequestId) -> Option<Arc<CallerRequest>> {
        self.lock()
            .callers
            .get(&request)
            .map(|caller| Arc::clone(&caller.request))
    }

    /// The part of a model's answer that was sent to the caller so far, empty for an unknown
    /// request.
    #[must_use]
    pub fn delivered_text(&self, request: RequestId) -> String {
        let state = self.lock();
        let delivered = state
            .callers
            .get(&request)
            .map(|caller| &caller.delivered[..]);
        String::from_utf8_lossy(delivered.unwrap_or_default()).into_owned()
    }

    /// Reports that a caller has disconnected. Ignored for a request that has already ended.
    pub fn caller_left(&self, request: RequestId) {
        let mut state = self.lock();
        if state.callers.contains(&request) {
            self.process_event(&mut state, Event::CallerLeft { request });
            state.callers.remove(&request);
        }
    }

    /// Applies a new list of VMs.
    pub fn apply_vm_list(&self, list: VmList) {
        let mut state = self.lock();
        state.worker_addresses = list
            .vms
            .iter()
            .map(|vm| (vm.worker(), vm.address.clone()))
            .collect();
        self.process_event(&mut state, Event::Vms(list));
    }

    /// Puts a configuration into force if it is newer than the one in force.
    pub fn apply_configuration(&self, configuration: Configuration) {
        let mut state = self.lock();
        if configuration.generation <= state.core.generation() {
            return;
        }
        let customers = &configuration.declarations.customers;
        state.customers_by_key_hash = customers
            .iter()
            .flat_map(|customer| {
                customer
                    .api_key_hashes
                    .iter()
                    .map(|hash| (hash.clone(), customer.id()))
            })
            .collect();
        tracing::info!(generation = %configuration.generation, "configuration in force");
        self.process_event(&mut state, Event::Configured(configuration));
    }

    /// The address of a worker in the latest list of VMs.
    #[must_use]
    pub fn worker_address(&self, worker: WorkerId) -> Option<String> {
        self.lock().worker_addresses.get(&worker).cloned()
    }

    /// The customer that owns an API key.
    #[must_use]
    pub fn customer_of_api_key(&self, api_key: &str) -> Option<CustomerId> {
        let hash = blake3::hash(api_key.as_bytes()).to_hex().to_string();
        self.lock().customers_by_key_hash.get(&hash).copied()
    }

    /// The time line of this process.
    #[must_use]
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Runs `read` on the core under the lock and returns its result.
    pub fn inspect<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&Core) -> T,
    {
        read(&self.lock().core)
    }
}

fn send_event(state: &DriverState, request: RequestId, event: CallerEvent) {
    let Some(caller) = state.callers.get(&request) else {
        return;
    };
    if caller.events.unbounded_send(event).is_err() {
        tracing::debug!(%request, "event dropped: the caller has disconnected");
    }
}

fn send_final_event(state: &mut DriverState, request: RequestId, event: CallerEvent) {
    send_event(state, request, event);
    state.callers.remove(&request);
}
