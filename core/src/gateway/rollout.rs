//! The order in which engines get new weights.
//!
//! The holder of the lease on orders drives a [`Rollout`]: it asks each engine for the number of
//! orders that it has accepted, orders the newest weights under the condition that this number
//! still holds, and reads back what came of it. A late order can then never undo a newer one.

use {
    crate::{
        id::{WeightsVersion, WorkerId},
        table::Table,
        unit::{DurationMs, TimeMs},
    },
    serde::{Deserialize, Serialize},
};

/// Engines that load weights at once. With more, each load takes longer.
pub const MAX_LOADS: usize = 2;
/// Engines that are spared new work ahead of their order, so that their runs have ended by then.
pub const SPARED_AHEAD: usize = 2;
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
}

/// What the holder of the lease does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Ask an engine for its [`OrderState`].
    Ask(WorkerId),
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
    /// Nothing is known of its orders.
    Unknown,
    /// Asked; no answer yet.
    Asked,
    /// Ready to be ordered.
    Known { accepted: u64 },
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
    since_ms: TimeMs,
    load_began_ms: TimeMs,
    next_ask_ms: TimeMs,
}

/// One model's way to the newest weights.
#[derive(Clone, Debug)]
pub struct Rollout {
    version: WeightsVersion,
    engines: Table<WorkerId, Engine>,
}

impl Rollout {
    /// A rollout that has not begun.
    #[must_use]
    pub fn new(version: WeightsVersion) -> Self {
        Self {
            version,
            engines: Table::default(),
        }
    }

    /// The weights that are rolled out.
    #[must_use]
    pub const fn version(&self) -> WeightsVersion {
        self.version
    }

    /// Goes over to newer weights. Engines that were done are asked anew.
    pub fn raise(&mut self, version: WeightsVersion) {
        if version <= self.version {
            return;
        }
        self.version = version;
        for (_, engine) in self.engines.iter_mut() {
            if engine.progress == Progress::Done {
                engine.progress = Progress::Unknown;
            }
        }
    }

    /// Takes over which engines there are, and the weights that each is believed to have.
    pub fn set_engines(&mut self, engines: &[(WorkerId, WeightsVersion)], now: TimeMs) {
        self.engines
            .retain(|worker, _| engines.iter().any(|row| row.0 == *worker));
        for (worker, weights) in engines {
            let is_done = *weights >= self.version;
            let engine = self.engines.get_or_insert_with(*worker, || Engine {
                progress: Progress::Unknown,
                since_ms: now,
                load_began_ms: now,
                next_ask_ms: now,
            });
            if is_done {
                engine.progress = Progress::Done;
            } else if engine.progress == Progress::Done {
                engine.progress = Progress::Unknown;
            }
        }
    }

    /// Whether all engines have the weights.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let mut engines = self.engines.iter();
        engines.all(|(_, engine)| engine.progress == Progress::Done)
    }

    /// Engines that are changing their weights, and the next ones in line.
    #[must_use]
    pub fn spared(&self) -> Vec<WorkerId> {
        let changing = self.engines.iter().filter(|row| is_changing(row.1));
        let next = self.engines.iter().filter(|row| {
            matches!(
                row.1.progress,
                Progress::Unknown | Progress::Asked | Progress::Known { .. }
            )
        });
        changing
            .chain(next.take(SPARED_AHEAD))
            .map(|row| *row.0)
            .collect()
    }

    /// What is to be done now.
    pub fn steps(&mut self, now: TimeMs) -> Vec<RolloutStep> {
        let mut steps = Vec::new();
        let mut free = MAX_LOADS.saturating_sub(self.changing(now));
        let mut ask_ahead = MAX_LOADS + SPARED_AHEAD;
        for (worker, engine) in self.engines.iter_mut() {
            let is_overdue = now.since(engine.since_ms) >= ANSWER_MS;
            match engine.progress {
                Progress::Known { accepted } if free > 0 => {
                    free -= 1;
                    engine.enter(Progress::Ordered, now);
                    engine.load_began_ms = now;
                    steps.push(RolloutStep::Order {
                        worker: *worker,
                        version: self.version,
                        accepted,
                    });
                }
                Progress::Known { .. } => ask_ahead = ask_ahead.saturating_sub(1),
                Progress::Unknown if ask_ahead > 0 && now >= engine.next_ask_ms => {
                    ask_ahead -= 1;
                    engine.enter(Progress::Asked, now);
                    steps.push(RolloutStep::Ask(*worker));
                }
                Progress::Asked | Progress::Ordered if is_overdue => {
                    engine.enter(Progress::Asked, now);
                    steps.push(RolloutStep::Ask(*worker));
                }
                Progress::Loading if now >= engine.next_ask_ms => {
                    engine.next_ask_ms = now.after(POLL_MS);
                    steps.push(RolloutStep::Ask(*worker));
                }
                Progress::Done
                | Progress::Asked
                | Progress::Ordered
                | Progress::Loading
                | Progress::Unknown => {}
            }
        }
        steps
    }

    /// Notes an engine's answer to a question.
    pub fn note_state(&mut self, worker: WorkerId, state: OrderState, now: TimeMs) {
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
            engine.next_ask_ms = now.after(POLL_MS);
        } else {
            let accepted = state.accepted;
            engine.enter(Progress::Known { accepted }, now);
        }
    }

    /// Notes that an engine has accepted an order.
    pub fn note_accepted(&mut self, worker: WorkerId, now: TimeMs) {
        if let Some(engine) = self.engines.get_mut(&worker) {
            engine.enter(Progress::Loading, now);
            engine.next_ask_ms = now.after(POLL_MS);
        }
    }

    /// Notes that an engine has turned an order down, or could not be asked.
    pub fn note_failed(&mut self, worker: WorkerId, now: TimeMs) {
        if let Some(engine) = self.engines.get_mut(&worker) {
            engine.enter(Progress::Unknown, now);
            engine.next_ask_ms = now.after(UNREACHABLE_MS);
        }
    }

    fn changing(&self, now: TimeMs) -> usize {
        let changing = self.engines.iter().filter(|row| is_changing(row.1));
        changing
            .filter(|row| now.since(row.1.load_began_ms) < LOAD_LIMIT_MS)
            .count()
    }
}

const fn is_changing(engine: &Engine) -> bool {
    matches!(engine.progress, Progress::Ordered | Progress::Loading)
}

impl Engine {
    fn enter(&mut self, progress: Progress, now: TimeMs) {
        self.progress = progress;
        self.since_ms = now;
    }
}
