//! The ways of choosing an engine that are compared.

use {
    crate::load::schedule::Planned,
    clap::ValueEnum,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::cell::{Cell, RefCell},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// A way of choosing an engine.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, ValueEnum, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The entry VMs choose.
    #[display("cactusspur")]
    Cactusspur,
    /// The entry VMs choose, with another build of the daemon.
    #[display("earlier")]
    Earlier,
    /// Each engine in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The engine that runs the fewest requests by its last report and those sent since.
    #[display("least-loaded")]
    LeastLoaded,
    /// The engine that the levels before the question hash to.
    #[display("prefix-hash")]
    PrefixHash,
}

impl Policy {
    /// Whether requests go to entry VMs.
    #[must_use]
    pub const fn uses_entries(self) -> bool {
        matches!(self, Self::Cactusspur | Self::Earlier)
    }
}

/// What is known of an engine's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineLoad {
    /// Requests that it runs or holds.
    pub running: u64,
    /// Prompt tokens that wait.
    pub queued_tokens: u64,
}

/// Chooses engines for a baseline.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    engines: usize,
    turn: Cell<usize>,
    loads: RefCell<Vec<EngineLoad>>,
}

impl Chooser {
    /// A chooser over a number of engines.
    #[must_use]
    pub fn open(policy: Policy, engines: usize) -> Self {
        Self {
            policy,
            engines,
            turn: Cell::new(0),
            loads: RefCell::new(vec![EngineLoad::default(); engines]),
        }
    }

    /// Whether it wants to be told of the engines' loads.
    #[must_use]
    pub fn wants_loads(&self) -> bool {
        self.policy == Policy::LeastLoaded
    }

    /// Takes an engine's report in.
    pub fn report(&self, engine: usize, load: EngineLoad) {
        self.loads.borrow_mut()[engine] = load;
    }

    /// The engine for a request, of those that have not failed it yet; none when all have.
    pub fn choose(&self, request: &Planned, failed: &[usize]) -> Option<usize> {
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let candidates = (0..self.engines).filter(|engine| !failed.contains(engine));
        let in_turn =
            |engine: &usize| (*engine + self.engines - turn % self.engines) % self.engines;
        match self.policy {
            Policy::Cactusspur | Policy::Earlier | Policy::RoundRobin => {
                candidates.min_by_key(in_turn)
            }
            Policy::PrefixHash => {
                let key = prefix_key(request);
                candidates.max_by_key(|engine| xxh3_64_with_seed(&engine.to_le_bytes(), key))
            }
            Policy::LeastLoaded => {
                let loads = self.loads.borrow();
                let engine = candidates.min_by_key(|engine| (loads[*engine], in_turn(engine)))?;
                drop(loads);
                self.loads.borrow_mut()[engine].running += 1;
                Some(engine)
            }
        }
    }
}

fn prefix_key(request: &Planned) -> u64 {
    let shared = request.levels.len().saturating_sub(1);
    request.levels[..shared]
        .iter()
        .fold(request.customer as u64, |key, level| {
            xxh3_64_with_seed(level.as_bytes(), key)
        })
}
