//! The order in which engines get new weights.
//!
//! The holder of the lease on orders drives a [`Rollout`]: it asks each engine for the number of
//! orders that it has accepted, orders the newest weights under the condition that this number
//! still holds, and reads back what came of it. A late order can then never undo a newer one.

use {
    crate::{
        id::{WeightsVersion, WorkerId},
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
    serde::{Deserialize, Serialize},
};

/// The share of a model's engines that load weights at once. With more, each load takes longer.
const LOADING_SHARE: usize = 5;
/// The share of a model's engines that are spared new work ahead of their order, so that their
/// runs have ended by then.
const SPARED_SHARE: usize = 4;
/// How long an engine is spared before it is ordered though it has not ended its runs: most runs
/// end within this time.
const SPARED_LIMIT_MS: DurationMs = DurationMs(600);
/// How long to wait for the answer to a question or an order before asking again.
const ANSWER_MS: DurationMs = DurationMs(600);
/// How often an engine that carries an order out is asked whether it is done.
const POLL_MS: DurationMs = DurationMs(150);
/// How long an engine that can't be reached is left alone.
const UNREACHABLE_MS: DurationMs = DurationMs(1_000);
/// How long an engine may take to bring its runs to their end and load. After that its place
/// goes to another.
const LOAD_LIMIT_MS: DurationMs = DurationMs(3_000);

/// What an engine tells of its orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// The orders that it has accepted since it started.
    pub accepted: u64,
    /// Whether it is carrying one out.
    pub is_busy: bool,
    /// The weights that it has.
    pub weights: WeightsVersion,
    /// The requests that it runs.
    pub running: u64,
}

/// An engine as a rollout is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutEngine {
    /// The engine.
    pub worker: WorkerId,
    /// The weights that it is believed to have.
    pub weights: WeightsVersion,
    /// The requests that are probably there.
    pub occupancy: u64,
}

/// What the holder of the lease does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Ask an engine for its [`OrderState`].
    Query(WorkerId),
    /// Order the weights, if the engine has still accepted as many orders.
    Order {
        /// The engine.
        worker: WorkerId,
        /// The weights.
        version: WeightsVersion,
        /// The orders that it must have accepted.
        accepted: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Not its turn yet.
    Waiting,
    /// Spared; nothing is known of its orders.
    Unknown,
    /// Spared and asked; no answer yet.
    Asked,
    /// Spared; it brings its runs to their end.
    Draining { accepted: u64, running: u64 },
    /// Ordered; it is not known yet whether it has accepted.
    Ordered,
    /// It carries an order out.
    Loading,
    /// It has the newest weights.
    Done,
}

#[derive(Clone, Copy, Debug)]
struct Engine {
    progress: Progress,
    weights: WeightsVersion,
    occupancy: u64,
    since_ms: TimeMs,
    spared_since_ms: TimeMs,
    load_began_ms: TimeMs,
    next_ask_ms: TimeMs,
}

/// One model's way to the newest weights.
#[derive(Clone, Debug)]
pub struct Rollout {
    version: WeightsVersion,
    engines: VecMap<WorkerId, Engine>,
}

impl Rollout {
    /// A rollout that has not begun.
    #[must_use]
    pub fn new(version: WeightsVersion) -> Self {
        Self {
            version,
            engines: VecMap::default(),
        }
    }

    /// The weights that are rolled out.
    #[must_use]
    pub const fn version(&self) -> WeightsVersion {
        self.version
    }

    /// Goes over to newer weights. Engines that were done are behind again.
    pub fn raise_version(&mut self, version: WeightsVersion) {
        self.version = self.version.max(version);
    }

    /// Takes over which engines there are.
    pub fn set_engines(&mut self, engines: &[RolloutEngine], now: TimeMs) {
        self.engines
            .retain(|worker, _| engines.iter().any(|told| told.worker == *worker));
        for told in engines {
            let engine = self.engines.get_or_insert_with(told.worker, || Engine {
                progress: Progress::Waiting,
                weights: told.weights,
                occupancy: told.occupancy,
                since_ms: now,
                spared_since_ms: now,
                load_began_ms: now,
                next_ask_ms: now,
            });
            engine.weights = told.weights;
            engine.occupancy = told.occupancy;
            if told.weights >= self.version {
                engine.progress = Progress::Done;
            } else if engine.progress == Progress::Done {
                engine.progress = Progress::Waiting;
            }
        }
        self.spare(now);
    }

    /// Whether all engines have the weights.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let mut engines = self.engines.iter();
        engines.all(|(_, engine)| engine.progress == Progress::Done)
    }

    /// Engines that are changing their weights or are about to.
    #[must_use]
    pub fn draining(&self) -> Vec<WorkerId> {
        let draining = self
            .engines
            .iter()
            .filter(|row| !matches!(row.1.progress, Progress::Waiting | Progress::Done));
        draining.map(|row| *row.0).collect()
    }

    /// Engines that carry an order out.
    #[must_use]
    pub fn loading(&self) -> Vec<WorkerId> {
        let loading = self.engines.iter().filter(|row| row.1.is_loading());
        loading.map(|row| *row.0).collect()
    }

    /// What is to be done now.
    pub fn next_steps(&mut self, now: TimeMs) -> Vec<RolloutStep> {
        let most = self.share(LOADING_SHARE);
        let mut free = most.saturating_sub(self.loads(now));
        let version = self.version;
        let mut steps = Vec::new();
        for (worker, engine) in self.engines.iter_mut() {
            let worker = *worker;
            let is_overdue = now.since(engine.since_ms) >= ANSWER_MS;
            let is_due = now >= engine.next_ask_ms;
            let has_drained = now.since(engine.spared_since_ms) >= SPARED_LIMIT_MS;
            match engine.progress {
                Progress::Draining { accepted, running }
                    if free > 0 && (running == 0 || has_drained) =>
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
                    engine.enter(Progress::Asked, now);
                    steps.push(RolloutStep::Query(worker));
                }
                Progress::Asked | Progress::Ordered if is_overdue => {
                    engine.enter(Progress::Asked, now);
                    steps.push(RolloutStep::Query(worker));
                }
                Progress::Loading | Progress::Draining { .. } if is_due => {
                    engine.next_ask_ms = now.after(POLL_MS);
                    steps.push(RolloutStep::Query(worker));
                }
                _ => {}
            }
        }
        steps
    }

    /// Notes an engine's answer to a question.
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
        engine.next_ask_ms = now.after(POLL_MS);
    }

    /// Notes that an engine has accepted an order.
    pub fn record_accepted(&mut self, worker: WorkerId, now: TimeMs) {
        if let Some(engine) = self.engines.get_mut(&worker) {
            engine.enter(Progress::Loading, now);
            engine.next_ask_ms = now.after(POLL_MS);
        }
    }

    /// Notes that an engine has turned an order down, or could not be asked. Others go first.
    pub fn record_failed(&mut self, worker: WorkerId, now: TimeMs) {
        if let Some(engine) = self.engines.get_mut(&worker) {
            engine.enter(Progress::Waiting, now);
            engine.next_ask_ms = now.after(UNREACHABLE_MS);
        }
    }

    /// Spares the next engines in line: those with the oldest weights, and of these the ones with
    /// the least to bring to its end.
    fn spare(&mut self, now: TimeMs) {
        let most = self.share(SPARED_SHARE) + self.share(LOADING_SHARE);
        let draining = self.draining().len();
        let mut waiting: Vec<(WeightsVersion, u64, WorkerId)> = self
            .engines
            .iter()
            .filter(|row| row.1.progress == Progress::Waiting && now >= row.1.next_ask_ms)
            .map(|row| (row.1.weights, row.1.occupancy, *row.0))
            .collect();
        waiting.sort_unstable();
        for (_, _, worker) in waiting.into_iter().take(most.saturating_sub(draining)) {
            if let Some(engine) = self.engines.get_mut(&worker) {
                engine.enter(Progress::Unknown, now);
                engine.spared_since_ms = now;
            }
        }
    }

    fn share(&self, share: usize) -> usize {
        self.engines.len().div_ceil(share)
    }

    fn loads(&self, now: TimeMs) -> usize {
        let loading = self
            .engines
            .iter()
            .filter(|row| row.1.is_loading() && now.since(row.1.load_began_ms) < LOAD_LIMIT_MS);
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
