//! Brings engines to the newest weights, as the holder of the lease on orders.

use {
    super::{
        Shared,
        clock::now,
        lease::{self, Acquired, RENEW_BEFORE_MS, Term},
        notice::RolloutNotice,
        protocol::{OrderAnswer, WeightsOrder},
        store::{MetadataStore, StoreError},
    },
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion, WorkerId,
        gateway::{OrderState, Rollout, RolloutEngine, RolloutStep},
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// How long each place in the order of gateways waits for those before it to take the lease.
const TURN_MS: DurationMs = DurationMs(500);
/// How long a gateway that hears of a rollout by another waits before it looks again.
const OTHER_ROLLS_MS: DurationMs = DurationMs(800);
/// The wait after the lease could not be asked for.
const STORE_BACK_OFF: Duration = Duration::from_millis(400);
/// How often a rollout looks for its next steps, beside when something has come.
const STEP_PERIOD: Duration = Duration::from_millis(50);
/// How often a gateway looks whether weights are behind without having been told.
const LOOK_PERIOD: Duration = Duration::from_secs(2);
/// How often peers are told of a rollout that has not changed: more often than an engine that is
/// spared is forgotten to be.
const ANNOUNCE_PERIOD_MS: DurationMs = DurationMs(200);
/// How long an engine may take to answer an order or a question.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// The largest answer of an engine, in bytes.
const MAX_ANSWER_BYTES: usize = 65_536;

/// Starts to look after the engines' weights.
pub fn spawn<S>(shared: &Rc<Shared>, store: &Rc<S>)
where
    S: MetadataStore,
{
    ntex::rt::spawn(look_after(Rc::clone(shared), Rc::clone(store)));
}

async fn look_after<S>(shared: Rc<Shared>, store: Rc<S>)
where
    S: MetadataStore,
{
    let mut held_last = false;
    loop {
        let changed = shared.weights_changed.notified();
        if timeout(LOOK_PERIOD, changed).await.is_err() && next_model(&shared).is_none() {
            continue;
        }
        while let Some(model) = next_model(&shared) {
            // A holder that is shutting down goes on; others would have to wait for its term to
            // end. One that isn't the holder leaves it to those that stay.
            if shared.is_stopping.get() && !held_last {
                return;
            }
            if !held_last {
                sleep(turn(&shared, &model)).await;
            }
            if another_rolls(&shared) {
                held_last = false;
                sleep(Duration::from_millis(OTHER_ROLLS_MS.0)).await;
                continue;
            }
            match acquire(&shared, store.as_ref()).await {
                Some(Acquired::Held(term)) => {
                    held_last = true;
                    let _rolling = Rolling::begin(&shared);
                    roll_out(&shared, store.as_ref(), &model, term).await;
                }
                Some(Acquired::Taken { retry_after_ms }) => {
                    held_last = false;
                    let wait = retry_after_ms.max(DurationMs(50)).min(TURN_MS);
                    sleep(Duration::from_millis(wait.0)).await;
                }
                None => sleep(STORE_BACK_OFF).await,
            }
        }
    }
}

/// Notes that this gateway is rolling weights out, until it is dropped.
struct Rolling<'a>(&'a Shared);

impl<'a> Rolling<'a> {
    fn begin(shared: &'a Shared) -> Self {
        shared.is_rolling_out.set(true);
        Self(shared)
    }
}

impl Drop for Rolling<'_> {
    fn drop(&mut self) {
        self.0.is_rolling_out.set(false);
    }
}

async fn acquire<S>(shared: &Shared, store: &S) -> Option<Acquired>
where
    S: MetadataStore,
{
    let settings = &shared.settings;
    let asked = lease::acquire(store, &settings.name, settings.handover_pause_ms).await;
    logged(asked)
}

async fn renew<S>(shared: &Shared, store: &S, term: &Term) -> Option<Acquired>
where
    S: MetadataStore,
{
    let settings = &shared.settings;
    let asked = lease::renew(store, &settings.name, term, settings.handover_pause_ms).await;
    logged(asked)
}

fn logged(asked: Result<Acquired, StoreError>) -> Option<Acquired> {
    match asked {
        Ok(acquired) => {
            tracing::debug!(?acquired, "lease on orders");
            Some(acquired)
        }
        Err(error) => {
            tracing::warn!(%error, "the lease on orders could not be asked for");
            None
        }
    }
}

/// The first model that has engines with older weights than the newest.
fn next_model(shared: &Shared) -> Option<String> {
    let state = shared.state.borrow();
    let behind = state.announced_weights.iter().find(|(model, named)| {
        let mut weights = state.backends.iter().filter_map(|row| {
            let usable = row.1.spec.is_ready;
            usable.then(|| row.1.weights(model)).flatten()
        });
        let newest = named.last().map(|named| named.version);
        weights.any(|version| Some(version) < newest)
    });
    behind.map(|(model, _)| model.clone())
}

/// How long this gateway leaves the lease to others. All gateways agree on the order without
/// talking, so that one asks the store instead of all.
fn turn(shared: &Shared, model: &str) -> Duration {
    let key = WorkerId::from_name(model).0;
    let state = shared.state.borrow();
    let before = state
        .peers
        .count_running_before(&shared.settings.name, key, now());
    Duration::from_millis(TURN_MS.0 * before as u64)
}

fn another_rolls(shared: &Shared) -> bool {
    let heard = shared.state.borrow().peer_rollout_at_ms;
    heard.is_some_and(|at| now().since(at) < OTHER_ROLLS_MS)
}

/// Rolls weights out for as long as there is something to do and the lease lasts.
async fn roll_out<S>(shared: &Rc<Shared>, store: &S, model: &str, term: Term)
where
    S: MetadataStore,
{
    let mut term = term;
    let Some(version) = newest(shared, model) else {
        return;
    };
    let mut rollout = Rollout::new(version);
    let mut announcer = Announcer { told: None };
    let (answers, mut answered) = tokio::sync::mpsc::unbounded_channel();
    tracing::info!(
        model,
        version = version.0,
        fencing = term.fencing.0,
        "rollout begins"
    );
    loop {
        if let Some(version) = newest(shared, model) {
            rollout.raise_version(version);
        }
        rollout.set_engines(&engines(shared, model), now());
        if rollout.is_done() {
            break;
        }
        if term.remaining_ms() < RENEW_BEFORE_MS {
            match renew(shared, store, &term).await {
                Some(Acquired::Held(renewed)) => term = renewed,
                // A write whose answer was lost may have made another version.
                Some(Acquired::Taken { .. }) | None => break,
            }
        }
        announcer.announce(shared, model, &rollout);
        for todo in rollout.next_steps(now()) {
            let step = Step {
                shared: Rc::clone(shared),
                model: model.to_owned(),
                term,
                todo,
            };
            let answers = answers.clone();
            ntex::rt::spawn(async move {
                let outcome = step.carry_out().await;
                // The rollout may have ended meanwhile.
                let _ = answers.send(outcome);
            });
        }
        if let Ok(Some(outcome)) = timeout(STEP_PERIOD, answered.recv()).await {
            note(&mut rollout, outcome);
        }
    }
    announcer.announce(shared, model, &rollout);
    tracing::info!(
        model,
        version = rollout.version().0,
        is_done = rollout.is_done(),
        "rollout ends"
    );
}

fn newest(shared: &Shared, model: &str) -> Option<WeightsVersion> {
    shared.state.borrow().newest_weights(model)
}

/// Engines that take new work, with the weights that each is believed to have.
fn engines(shared: &Shared, model: &str) -> Vec<RolloutEngine> {
    let state = shared.state.borrow();
    let ready = state.backends.iter().filter(|row| row.1.spec.is_ready);
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

/// Tells peers how a rollout stands, when that has changed and from time to time.
struct Announcer {
    told: Option<(TimeMs, RolloutNotice)>,
}

impl Announcer {
    fn announce(&mut self, gateway: &Shared, model: &str, rollout: &Rollout) {
        let notice = notice(gateway, model, rollout);
        let now = now();
        if let Some((told_at_ms, told)) = &self.told
            && *told == notice
            && now.since(*told_at_ms) < ANNOUNCE_PERIOD_MS
        {
            return;
        }
        let mut state = gateway.state.borrow_mut();
        // Only rollouts of others count as heard.
        let heard = state.peer_rollout_at_ms;
        state.apply_rollout(&notice, now);
        state.peer_rollout_at_ms = heard;
        drop(state);
        gateway.peers.announce_rollout(gateway, notice.clone());
        self.told = Some((now, notice));
    }
}

fn notice(gateway: &Shared, model: &str, rollout: &Rollout) -> RolloutNotice {
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

fn note(rollout: &mut Rollout, outcome: Outcome) {
    match outcome {
        Outcome::State(worker, told) => rollout.record_state(worker, told, now()),
        Outcome::Accepted(worker) => rollout.record_accepted(worker, now()),
        Outcome::Failed(worker) => rollout.record_failed(worker, now()),
    }
}

fn target(shared: &Shared, worker: WorkerId) -> Option<(SocketAddr, String)> {
    let state = shared.state.borrow();
    let spec = &state.backends.get(worker)?.spec;
    Some((spec.address, spec.instance.clone()))
}

/// Asks an engine for its state, and takes over the weights that it tells.
pub async fn read_state(shared: &Shared, model: &str, worker: WorkerId) -> Option<OrderState> {
    let (address, instance) = target(shared, worker)?;
    let request = shared.protocol.engine_state_request(&instance);
    let connection_pool = &shared.connection_pool;
    let exchange = connection_pool.exchange(address, request, MAX_ANSWER_BYTES, ANSWER_LIMIT);
    let told = match exchange.await {
        Ok((_, body)) => shared.protocol.parse_engine_state(model, &body),
        Err(error) => {
            tracing::info!(backend = instance, %error, "an engine did not tell its state");
            None
        }
    }?;
    let mut state = shared.state.borrow_mut();
    // What it tells lags behind: it may still tell weights that it no longer has.
    if state.update_backend_weights(worker, model, told.weights) {
        let version = told.weights.0;
        tracing::info!(backend = instance, version, "an engine has newer weights");
    }
    Some(told)
}

/// One step of a rollout.
struct Step {
    shared: Rc<Shared>,
    model: String,
    term: Term,
    todo: RolloutStep,
}

impl Step {
    async fn carry_out(self) -> Outcome {
        match self.todo {
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
        let Some((address, instance)) = target(&self.shared, worker) else {
            return Outcome::Failed(worker);
        };
        if self.term.remaining_ms() == DurationMs(0) {
            return Outcome::Failed(worker);
        }
        let order = WeightsOrder {
            instance: &instance,
            model: &self.model,
            version,
            holder: &self.shared.settings.name,
            fencing: self.term.fencing,
            accepted,
        };
        let request = self.shared.protocol.weights_order_request(&order);
        let connection_pool = &self.shared.connection_pool;
        let exchange = connection_pool.exchange(address, request, MAX_ANSWER_BYTES, ANSWER_LIMIT);
        let answered = exchange.await;
        let status = answered.ok().map(|(head, _)| head.status.as_u16());
        tracing::info!(
            backend = instance,
            model = self.model,
            version = version.0,
            accepted,
            fencing = self.term.fencing.0,
            status,
            "ordered to load weights"
        );
        match status.map(|status| self.shared.protocol.parse_order_answer(status)) {
            Some(OrderAnswer::Accepted) => Outcome::Accepted(worker),
            // Whether it was taken in is read back.
            Some(OrderAnswer::Holds | OrderAnswer::Refused) | None => Outcome::Failed(worker),
        }
    }
}
