//! Rolls new weights out to the engines of a model.
//!
//! The holder of the lease on orders drives a [`Rollout`]: it queries the number of orders that an
//! engine has accepted, orders the newest weights on condition that the number is unchanged, and
//! queries the result. A delayed order can thus never undo a newer one.

use {
    crate::{
        id::{WeightsVersion, WorkerId},
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
    serde::{Deserialize, Serialize},
};

/// One in this many engines of a model may load weights at once. With more, each load takes longer.
const LOADING_DIVISOR: usize = 5;
/// One in this many engines of a model drain ahead of their order, so that their requests have
/// ended by then.
const DRAINING_DIVISOR: usize = 4;
/// How long an engine drains before it is ordered even though it still runs requests: most
/// requests end within this time.
const DRAIN_TIMEOUT_MS: DurationMs = DurationMs(600);
/// How long to wait for the answer to a query or an order before querying again.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(600);
/// Interval between queries of an engine that drains or carries out an order.
const POLL_INTERVAL_MS: DurationMs = DurationMs(150);
/// How long an engine is skipped after a failed query or order.
const FAILURE_BACKOFF_MS: DurationMs = DurationMs(1_000);
/// How long an engine may take to end its requests and load weights. After that, another engine
/// may load in its place.
const LOAD_TIMEOUT_MS: DurationMs = DurationMs(3_000);

/// The state of its orders that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// The number of orders that the engine has accepted since it started.
    pub accepted: u64,
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// The weights version that the engine has loaded.
    pub weights: WeightsVersion,
    /// The number of requests that the engine runs.
    pub running: u64,
}

/// An engine's state as input of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutEngine {
    /// The engine's id.
    pub worker: WorkerId,
    /// The weights version that the engine has, as far as known.
    pub weights: WeightsVersion,
    /// The estimated number of requests at the engine.
    pub occupancy: u64,
}

/// The next action of the holder of the lease on orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Query an engine's [`OrderState`].
    Query(WorkerId),
    /// Order an engine to load weights, on condition that its number of accepted orders is
    /// unchanged.
    Order {
        /// The engine's id.
        worker: WorkerId,
        /// The weights version to load.
        version: WeightsVersion,
        /// The number of accepted orders that the engine must still have.
        accepted: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Not selected for the update yet.
    Waiting,
    /// Draining; the order state has not been queried.
    Unknown,
    /// Draining; a query is in progress.
    Queried,
    /// Draining; the order state is known.
    Draining { accepted: u64, running: u64 },
    /// An order has been sent; whether the engine accepted it is unknown.
    Ordered,
    /// The engine carries out an order.
    Loading,
    /// The engine has the newest weights.
    Done,
}

#[derive(Clone, Copy, Debug)]
struct Engine {
    progress: Progress,
    weights: WeightsVersion,
    occupancy: u64,
    since_ms: TimeMs,
    draining_since_ms: TimeMs,
    load_began_ms: TimeMs,
    next_query_ms: TimeMs,
}

/// The rollout of the newest weights to one model's engines.
#[derive(Clone, Debug)]
pub struct Rollout {
    version: WeightsVersion,
    engines: VecMap<WorkerId, Engine>,
}

impl Rollout {
    /// Creates a rollout without engines.
    #[must_use]
    pub fn new(version: WeightsVersion) -> Self {
        Self {
            version,
            engines: VecMap::default(),
        }
    }

    /// The weights version that is being rolled out.
    #[must_use]
    pub const fn version(&self) -> WeightsVersion {
        self.version
    }

    /// Raises the target to a newer version. Engines with the earlier target have to be updated
    /// again.
    pub fn raise_version(&mut self, version: WeightsVersion) {
        self.version = self.version.max(version);
    }

    /// Updates the list of the model's engines and starts to drain the next ones.
    pub fn set_engines(&mut self, engines: &[RolloutEngine], now: TimeMs) {
        self.engines
            .retain(|worker, _| engines.iter().any(|spec| spec.worker == *worker));
        for spec in engines {
            let engine = self.engines.get_or_insert_with(spec.worker, || Engine {
                progress: Progress::Waiting,
                weights: spec.weights,
                occupancy: spec.occupancy,
                since_ms: now,
                draining_since_ms: now,
                load_began_ms: now,
                next_query_ms: now,
            });
            engine.weights = spec.weights;
            engine.occupancy = spec.occupancy;
            if spec.weights >= self.version {
                engine.progress = Progress::Done;
            } else if engine.progress == Progress::Done {
                engine.progress = Progress::Waiting;
            }
        }
        self.drain_next(now);
    }

    /// Whether all engines have the target version.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let mut engines = self.engines.iter();
        engines.all(|(_, engine)| engine.progress == Progress::Done)
    }

    /// The engines that are draining or loading weights.
    #[must_use]
    pub fn draining(&self) -> Vec<WorkerId> {
        let draining = self
            .engines
            .iter()
            .filter(|row| !matches!(row.1.progress, Progress::Waiting | Progress::Done));
        draining.map(|row| *row.0).collect()
    }

    /// The engines that have been ordered to load weights.
    #[must_use]
    pub fn loading(&self) -> Vec<WorkerId> {
        let loading = self.engines.iter().filter(|row| row.1.is_loading());
        loading.map(|row| *row.0).collect()
    }

    /// The queries and orders to send now.
    pub fn next_steps(&mut self, now: TimeMs) -> Vec<RolloutStep> {
        let max_loading = self.engine_count_over(LOADING_DIVISOR);
        let mut free = max_loading.saturating_sub(self.loading_count(now));
        let version = self.version;
        let mut steps = Vec::new();
        for (worker, engine) in self.engines.iter_mut() {
            let worker = *worker;
            let is_overdue = now.since(engine.since_ms) >= ANSWER_TIMEOUT_MS;
            let is_due = now >= engine.next_query_ms;
            let is_drain_overdue = now.since(engine.draining_since_ms) >= DRAIN_TIMEOUT_MS;
            match engine.progress {
                Progress::Draining { accepted, running }
                    if free > 0 && (running == 0 || is_drain_overdue) =>
                {
                    free -= 1;
                    engine.enter(Progress::Ordered, now);
                    engine.load_began_ms = now;
                    steps.push(RolloutStep::Order {
                        worker,
                        version,
                        accepted,
                    });
                }
                Progress::Unknown if is_due => {
                    engine.enter(Progress::Queried, now);
                    steps.push(RolloutStep::Query(worker));
                }
                Progress::Queried | Progress::Ordered if is_overdue => {
                    engine.enter(Progress::Queried, now);
                    steps.push(RolloutStep::Query(worker));
                }
                Progress::Loading | Progress::Draining { .. } if is_due => {
                    engine.next_query_ms = now.after(POLL_INTERVAL_MS);
                    steps.push(RolloutStep::Query(worker));
                }
                _ => {}
            }
        }
        steps
    }

    /// Records an engine's answer to a query.
    pub fn record_state(&mut self, worker: WorkerId, state: OrderState, now: TimeMs) {
        let version = self.version;
        let Some(engine) = self.engines.get_mut(&worker) else {
            return;
        };
        if state.weights >= version && !state.is_busy {
            engine.enter(Progress::Done, now);
        } else if state.is_busy {
            if engine.progress != Progress::Loading {
                engine.load_began_ms = now;
            }
            engine.enter(Progress::Loading, now);
        } else {
            let draining = Progress::Draining {
                accepted: state.accepted,
                running: state.running,
            };
            engine.enter(draining, now);
        }
        engine.next_query_ms = now.after(POLL_INTERVAL_MS);
    }

    /// Records that an engine accepted an order.
    pub fn record_accepted(&mut self, worker: WorkerId, now: TimeMs) {
        if let Some(engine) = self.engines.get_mut(&worker) {
            engine.enter(Progress::Loading, now);
            engine.next_query_ms = now.after(POLL_INTERVAL_MS);
        }
    }

    /// Records that an engine rejected an order, or that a query or order failed. Other engines are
    /// updated first.
    pub fn record_failed(&mut self, worker: WorkerId, now: TimeMs) {
        if let Some(engine) = self.engines.get_mut(&worker) {
            engine.enter(Progress::Waiting, now);
            engine.next_query_ms = now.after(FAILURE_BACKOFF_MS);
        }
    }

    /// Starts to drain the next engines: those with the oldest weights first, and among these the
    /// ones with the fewest requests.
    fn drain_next(&mut self, now: TimeMs) {
        let max_draining =
            self.engine_count_over(DRAINING_DIVISOR) + self.engine_count_over(LOADING_DIVISOR);
        let draining = self.draining().len();
        let mut waiting: Vec<(WeightsVersion, u64, WorkerId)> = self
            .engines
            .iter()
            .filter(|row| row.1.progress == Progress::Waiting && now >= row.1.next_query_ms)
            .map(|row| (row.1.weights, row.1.occupancy, *row.0))
            .collect();
        waiting.sort_unstable();
        for (_, _, worker) in waiting
            .into_iter()
            .take(max_draining.saturating_sub(draining))
        {
            if let Some(engine) = self.engines.get_mut(&worker) {
                engine.enter(Progress::Unknown, now);
                engine.draining_since_ms = now;
            }
        }
    }

    /// The number of engines divided by `divisor`, rounded up.
    fn engine_count_over(&self, divisor: usize) -> usize {
        self.engines.len().div_ceil(divisor)
    }

    /// The number of engines that load weights and have not exceeded the timeout.
    fn loading_count(&self, now: TimeMs) -> usize {
        let loading = self
            .engines
            .iter()
            .filter(|row| row.1.is_loading() && now.since(row.1.load_began_ms) < LOAD_TIMEOUT_MS);
        loading.count()
    }
}

impl Engine {
    const fn is_loading(&self) -> bool {
        matches!(self.progress, Progress::Ordered | Progress::Loading)
    }

    fn enter(&mut self, progress: Progress, now: TimeMs) {
        self.progress = progress;
        self.since_ms = now;
    }
}
