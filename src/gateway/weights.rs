//! Rolls the newest weights out to the engines, as the holder of the order lease.

use {
    super::{
        Shared,
        call::Call,
        clock::now,
        lease::{self, Acquired, Candidate, RENEW_BEFORE_MS, Term},
        link::ResetOnDrop,
        notice::RolloutNotice,
        protocol::{OrderAnswer, WeightsOrder},
        state::SentTo,
        store::{MetadataStore, StoreError},
    },
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion, WorkerId,
        gateway::{Choice, OrderState, Rollout, RolloutEngine, RolloutStep},
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{cell::Cell, future::pending, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// How long a gateway waits for each gateway ranked before it to acquire the lease.
const TAKEOVER_DELAY_MS: DurationMs = DurationMs(500);
/// How long a rollout of a peer counts as running after its last notice, and the wait before the
/// next check.
const PEER_ROLLOUT_TIMEOUT_MS: DurationMs = DurationMs(800);
/// The wait after a failed attempt to acquire the lease.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// The longest wait for an outcome before a rollout determines its next steps.
const STEP_PERIOD: Duration = Duration::from_millis(50);
/// How often a gateway checks for outdated weights without a change notification.
const CHECK_PERIOD: Duration = Duration::from_secs(2);
/// How often an unchanged rollout is announced to peers. Shorter than the time after which they
/// treat a draining engine as available again.
const ANNOUNCE_PERIOD_MS: DurationMs = DurationMs(200);
/// How long an engine may take to answer an order or a state query.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest response of an engine.
const MAX_RESPONSE_BYTES: usize = 65_536;

/// Starts the task that rolls out weights.
pub fn spawn<S>(shared: &Rc<Shared>, store: &Rc<S>)
where
    S: MetadataStore,
{
    ntex::rt::spawn(run(Rc::clone(shared), Rc::clone(store)));
}

async fn run<S>(shared: Rc<Shared>, store: Rc<S>)
where
    S: MetadataStore,
{
    let mut was_holder = false;
    loop {
        let changed = shared.weights_changed.notified();
        if timeout(CHECK_PERIOD, changed).await.is_err() && next_model(&shared).is_none() {
            continue;
        }
        while let Some(model) = next_model(&shared) {
            // During shutdown the holder continues, since another gateway would have to wait for
            // the end of its term. A gateway that isn't the holder stops here.
            if shared.is_stopping() && !was_holder {
                return;
            }
            if !was_holder {
                sleep(takeover_delay(&shared, &model)).await;
            }
            if is_peer_rolling_out(&shared) {
                was_holder = false;
                sleep(Duration::from_millis(PEER_ROLLOUT_TIMEOUT_MS.0)).await;
                continue;
            }
            match acquire(&shared, store.as_ref()).await {
                Some(Acquired::Held(term)) => {
                    was_holder = true;
                    let _guard = RolloutGuard::begin(&shared);
                    roll_out(&shared, store.as_ref(), &model, term).await;
                }
                Some(Acquired::Taken { retry_after_ms }) => {
                    was_holder = false;
                    let wait = retry_after_ms.max(DurationMs(50)).min(TAKEOVER_DELAY_MS);
                    sleep(Duration::from_millis(wait.0)).await;
                }
                None => sleep(STORE_RETRY_DELAY).await,
            }
        }
    }
}

/// Waits until a stream that has been sent to an engine may no longer begin on its weights. The request may have been
/// sent before newer ones were announced.
pub async fn wait_until_expired(shared: &Shared, call: &Call, choice: &Choice) {
    let model = call.head.prompt.as_ref().map(|prompt| &prompt.model);
    let (Some(model), Some(weights), true) = (model, choice.weights, call.kind().is_stream())
    else {
        return pending().await;
    };
    loop {
        let left_ms = shared.state.borrow().weights_left_ms(model, weights, now());
        if left_ms == Some(DurationMs(0)) {
            return;
        }
        // Weights that are announced meanwhile leave more time than this.
        let half_ms = DurationMs(shared.settings.old_weights_grace_ms.0 / 2);
        let wait_ms = left_ms.unwrap_or(half_ms).min(half_ms);
        sleep(Duration::from_millis(wait_ms.0)).await;
    }
}

/// Marks this gateway as rolling out weights until it is dropped.
struct RolloutGuard<'a>(&'a Shared);

impl<'a> RolloutGuard<'a> {
    fn begin(shared: &'a Shared) -> Self {
        shared.is_rolling_out.set(true);
        Self(shared)
    }
}

impl Drop for RolloutGuard<'_> {
    fn drop(&mut self) {
        self.0.is_rolling_out.set(false);
    }
}

/// This gateway as a candidate for the lease.
fn candidate(shared: &Shared) -> Candidate<'_> {
    let state = shared.state.borrow();
    let (known_era, era_age_ms) = state.store_era(now());
    Candidate {
        name: &shared.settings.name,
        pause_ms: shared.settings.handover_pause_ms,
        known_era,
        era_age_ms,
    }
}

async fn acquire<S>(shared: &Shared, store: &S) -> Option<Acquired>
where
    S: MetadataStore,
{
    let result = lease::acquire(store, &candidate(shared)).await;
    log_result(result)
}

async fn renew<S>(shared: &Shared, store: &S, term: &Term) -> Option<Acquired>
where
    S: MetadataStore,
{
    let result = lease::renew(store, &candidate(shared), term).await;
    log_result(result)
}

fn log_result(result: Result<Acquired, StoreError>) -> Option<Acquired> {
    match result {
        Ok(acquired) => {
            tracing::debug!(?acquired, "order lease");
            Some(acquired)
        }
        Err(error) => {
            tracing::warn!(%error, "failed to acquire or renew the order lease");
            None
        }
    }
}

/// Returns the first model with engines whose weights are older than the newest announced version.
fn next_model(shared: &Shared) -> Option<String> {
    let state = shared.state.borrow();
    let outdated = state.announced_weights.iter().find(|(model, announced)| {
        let mut weights = state.backends.iter().filter_map(|row| {
            let is_ready = row.1.is_ready();
            is_ready.then(|| row.1.weights(model)).flatten()
        });
        weights.any(|version| Some(version) < announced.newest())
    });
    outdated.map(|(model, _)| model.clone())
}

/// Returns how long this gateway waits for others to acquire the lease. All gateways compute the
/// same order without communication, so that only one of them calls the store.
fn takeover_delay(shared: &Shared, model: &str) -> Duration {
    let key = WorkerId::from_name(model).0;
    let state = shared.state.borrow();
    let gateways_before = state.peers.count_running_before(key, now());
    Duration::from_millis(TAKEOVER_DELAY_MS.0 * gateways_before as u64)
}

fn is_peer_rolling_out(shared: &Shared) -> bool {
    let peer_rollout_at_ms = shared.state.borrow().peer_rollout_at_ms;
    peer_rollout_at_ms
        .is_some_and(|notice_at_ms| now().since(notice_at_ms) < PEER_ROLLOUT_TIMEOUT_MS)
}

/// Rolls out a model's weights until all engines are up to date or the lease is lost.
async fn roll_out<S>(shared: &Rc<Shared>, store: &S, model: &str, term: Term)
where
    S: MetadataStore,
{
    let term = Rc::new(Cell::new(term));
    let Some(version) = newest(shared, model) else {
        return;
    };
    let mut rollout = Rollout::new(version);
    let mut announcer = Announcer { last_sent: None };
    // Steps end with the rollout: none may send an order after it.
    let mut steps = FuturesUnordered::new();
    let mut ordering: Vec<WorkerId> = Vec::new();
    tracing::info!(
        model,
        version = version.0,
        fencing = term.get().fencing.0,
        "rollout started"
    );
    loop {
        if let Some(version) = newest(shared, model) {
            rollout.raise_version(version);
        }
        rollout.set_engines(&engines(shared, model), now());
        if rollout.is_done() {
            break;
        }
        if term.get().remaining_ms() < RENEW_BEFORE_MS {
            match renew(shared, store, &term.get()).await {
                Some(Acquired::Held(renewed)) => term.set(renewed),
                // A write whose response was lost may have changed the row's version.
                Some(Acquired::Taken { .. }) | None => break,
            }
        }
        announcer.announce(shared, model, &rollout);
        for action in rollout.next_steps(now()) {
            if let RolloutStep::Order { worker, .. } = action {
                // Orders to one engine go one after the other.
                if ordering.contains(&worker) {
                    rollout.record_failed(worker, now());
                    continue;
                }
                ordering.push(worker);
            }
            let step = Step {
                shared: Rc::clone(shared),
                model: model.to_owned(),
                term: Rc::clone(&term),
                action,
            };
            steps.push(async move { (action, step.carry_out().await) });
        }
        if steps.is_empty() {
            sleep(STEP_PERIOD).await;
        } else if let Ok(Some((action, outcome))) = timeout(STEP_PERIOD, steps.next()).await {
            if let RolloutStep::Order { worker, .. } = action {
                ordering.retain(|other| *other != worker);
            }
            record_outcome(&mut rollout, outcome);
        }
    }
    announcer.announce(shared, model, &rollout);
    tracing::info!(
        model,
        version = rollout.version().0,
        is_done = rollout.is_done(),
        "rollout ended"
    );
}

fn newest(shared: &Shared, model: &str) -> Option<WeightsVersion> {
    shared.state.borrow().newest_weights(model)
}

/// Returns the ready engines with the last known weights version and occupancy of each.
fn engines(shared: &Shared, model: &str) -> Vec<RolloutEngine> {
    let state = shared.state.borrow();
    let ready = state.backends.iter().filter(|row| row.1.is_ready());
    ready
        .filter_map(|(worker, backend)| {
            Some(RolloutEngine {
                worker,
                weights: backend.weights(model)?,
                occupancy: backend.occupancy(now()),
            })
        })
        .collect()
}

/// Announces the state of a rollout to peers, after each change and periodically.
struct Announcer {
    last_sent: Option<(TimeMs, RolloutNotice)>,
}

impl Announcer {
    fn announce(&mut self, gateway: &Rc<Shared>, model: &str, rollout: &Rollout) {
        let notice = rollout_notice(gateway, model, rollout);
        let now = now();
        if let Some((sent_at_ms, sent)) = &self.last_sent
            && *sent == notice
            && now.since(*sent_at_ms) < ANNOUNCE_PERIOD_MS
        {
            return;
        }
        let mut state = gateway.state.borrow_mut();
        // `apply_rollout` sets `peer_rollout_at_ms`, which is for rollouts of other gateways.
        let peer_rollout_at_ms = state.peer_rollout_at_ms;
        state.apply_rollout(&notice, now);
        state.peer_rollout_at_ms = peer_rollout_at_ms;
        drop(state);
        gateway.peers.announce_rollout(gateway, notice.clone());
        self.last_sent = Some((now, notice));
    }
}

fn rollout_notice(gateway: &Shared, model: &str, rollout: &Rollout) -> RolloutNotice {
    let version = rollout.version();
    let engines = engines(gateway, model);
    let done = engines.iter().filter(|engine| engine.weights >= version);
    RolloutNotice {
        model: model.to_owned(),
        version,
        draining: rollout.draining(),
        loading: rollout.loading(),
        updated: done.map(|engine| engine.worker).collect(),
    }
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    State(WorkerId, OrderState),
    Accepted(WorkerId),
    Failed(WorkerId),
}

fn record_outcome(rollout: &mut Rollout, outcome: Outcome) {
    match outcome {
        Outcome::State(worker, state) => rollout.record_state(worker, state, now()),
        Outcome::Accepted(worker) => rollout.record_accepted(worker, now()),
        Outcome::Failed(worker) => rollout.record_failed(worker, now()),
    }
}

/// The address and the instance id of an engine that takes orders and queries; `None` while it wants
/// none.
fn target(shared: &Shared, worker: WorkerId) -> Option<(SocketAddr, String)> {
    let state = shared.state.borrow();
    let backend = state.backends.get(worker)?;
    if backend.is_paused(now()) {
        return None;
    }
    let spec = &backend.spec;
    Some((spec.address, spec.instance.clone()))
}

/// Records what an engine says of itself with an answer to an order or a query.
fn record_signals(shared: &Shared, worker: WorkerId, head: &http::response::Parts, sent: SentTo) {
    let head = shared
        .protocol
        .parse_response_head(head.status.as_u16(), &head.headers);
    shared
        .state
        .borrow_mut()
        .record_signals(worker, &head, sent, now());
}

/// Queries an engine's state and records the weights that it reports. Returns `None` if it doesn't
/// answer.
pub async fn read_state(shared: &Shared, model: &str, worker: WorkerId) -> Option<OrderState> {
    let (address, instance) = target(shared, worker)?;
    let request = shared.protocol.engine_state_request(&instance);
    let sent = shared.state.borrow().sent_to(worker, now());
    let connection_pool = &shared.connection_pool;
    let exchange = connection_pool.exchange(address, request, MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT);
    let engine_state = match exchange.await {
        Ok((head, body)) => {
            record_signals(shared, worker, &head, sent);
            shared.protocol.parse_engine_state(model, &body)
        }
        Err(error) => {
            tracing::info!(backend = instance, %error, "failed to query an engine's state");
            None
        }
    }?;
    let mut state = shared.state.borrow_mut();
    // The report lags behind: it may name weights that the engine has already replaced.
    if state.update_backend_weights(worker, model, engine_state.weights) {
        let version = engine_state.weights.0;
        tracing::info!(backend = instance, version, "an engine has newer weights");
    }
    Some(engine_state)
}

/// One step of a rollout.
struct Step {
    shared: Rc<Shared>,
    model: String,
    /// The current term, which is renewed while the step waits.
    term: Rc<Cell<Term>>,
    action: RolloutStep,
}

impl Step {
    async fn carry_out(self) -> Outcome {
        match self.action {
            RolloutStep::Query(worker) => match read_state(&self.shared, &self.model, worker).await
            {
                Some(state) => Outcome::State(worker, state),
                None => Outcome::Failed(worker),
            },
            RolloutStep::Order {
                worker,
                version,
                accepted,
            } => self.order(worker, version, accepted).await,
        }
    }

    async fn order(&self, worker: WorkerId, version: WeightsVersion, accepted: u64) -> Outcome {
        let Some((address, _)) = target(&self.shared, worker) else {
            return Outcome::Failed(worker);
        };
        let connection = match ResetOnDrop::open(address).await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::info!(%worker, %error, "failed to send an order to load weights");
                return Outcome::Failed(worker);
            }
        };
        // The engine, the term and its number may have changed while the connection was opened.
        let current = target(&self.shared, worker);
        let Some((_, instance)) = current.filter(|row| row.0 == address) else {
            return Outcome::Failed(worker);
        };
        let term = self.term.get();
        if term.remaining_ms() == DurationMs(0) {
            return Outcome::Failed(worker);
        }
        let order = WeightsOrder {
            instance: &instance,
            model: &self.model,
            version,
            holder: &self.shared.settings.name,
            fencing: term.fencing,
            accepted,
        };
        let request = self.shared.protocol.weights_order_request(&order);
        let sent = self.shared.state.borrow().sent_to(worker, now());
        let limit = RESPONSE_TIMEOUT.min(Duration::from_millis(term.arrival_limit_ms().0));
        let exchange = timeout(limit, connection.exchange(request, MAX_RESPONSE_BYTES)).await;
        let status = match exchange {
            Ok(Ok((head, _))) => {
                record_signals(&self.shared, worker, &head, sent);
                Some(head.status.as_u16())
            }
            Ok(Err(error)) => {
                tracing::info!(%worker, %error, "no answer to an order to load weights");
                None
            }
            Err(_) => {
                tracing::info!(%worker, waited_ms = limit.as_millis(), "an order was given up");
                None
            }
        };
        tracing::info!(
            backend = instance,
            model = self.model,
            version = version.0,
            accepted,
            fencing = term.fencing.0,
            status,
            "sent an order to load weights"
        );
        match status.map(|status| self.shared.protocol.parse_order_answer(status)) {
            Some(OrderAnswer::Accepted) => Outcome::Accepted(worker),
            // The engine may still have accepted the order: a state query finds out.
            Some(OrderAnswer::Holds | OrderAnswer::Refused) | None => Outcome::Failed(worker),
        }
    }
}
