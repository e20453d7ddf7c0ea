//! Every request of a run, fixed up front from a seed.

use {
    crate::load::{
        kitahama,
        number::{MICROS_PER_SECOND, micros_of_seconds},
        text, trust,
        workload::Workload,
    },
    cactusspur_core::VecMap,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
};

/// What a schedule is made from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Whose traffic.
    pub workload: Workload,
    /// The seed.
    pub seed: u64,
    /// How long requests are sent that count.
    pub duration: Duration,
    /// How long requests are sent before.
    pub warm_up: Duration,
    /// Model requests a second, on average.
    pub rate_per_s: f64,
    /// Whether hot prefixes change without warning in the middle.
    pub hot_prefix_moves: bool,
}

/// A request of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// When it is to be sent, in microseconds from the start.
    pub at_us: u64,
    /// The position of its customer in the workload.
    pub customer: usize,
    /// The position of its class in the workload.
    pub class: usize,
    /// The prompt's levels; for a plain service one, its body.
    pub levels: Vec<Arc<str>>,
    /// The longest answer, in tokens.
    pub max_answer_tokens: u64,
    /// The idempotency key.
    pub key: Option<String>,
}

/// The requests of a run, in the order of their times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Whose traffic.
    pub workload: Workload,
    /// The requests.
    pub requests: Vec<Planned>,
}

/// How long a session may have gone on before the run's start, so that the rate is steady at once.
pub(crate) const LEAD_IN_S: f64 = 8.0;

impl Schedule {
    /// The schedule of a plan. The same plan gives the same schedule.
    #[must_use]
    pub fn of(plan: &Plan) -> Self {
        let mut requests = match plan.workload {
            Workload::Trust => trust::requests(plan),
            Workload::Kitahama => kitahama::requests(plan),
        };
        requests.sort_by_key(|request| request.at_us);
        Self {
            workload: plan.workload,
            requests,
        }
    }
}

/// Collects the requests of sessions, of which some start before the run and end after it.
pub(crate) struct Sessions<'a> {
    pub(crate) plan: &'a Plan,
    pub(crate) rng: StdRng,
    requests: Vec<Planned>,
    shared: VecMap<String, Arc<str>>,
}

impl<'a> Sessions<'a> {
    pub(crate) fn open(plan: &'a Plan) -> Self {
        Self {
            plan,
            rng: StdRng::seed_from_u64(plan.seed),
            requests: Vec::new(),
            shared: VecMap::default(),
        }
    }

    pub(crate) fn end_s(&self) -> f64 {
        (self.plan.warm_up + self.plan.duration).as_secs_f64()
    }

    /// Adds a request at a time in seconds, unless the run doesn't cover it.
    pub(crate) fn push(&mut self, at_s: f64, request: Planned) {
        if at_s < 0.0 || at_s >= self.end_s() {
            return;
        }
        self.requests.push(Planned {
            at_us: micros_of_seconds(at_s),
            ..request
        });
    }

    /// A waiting time of a Poisson process with `rate_per_s`.
    pub(crate) fn wait_s(&mut self, rate_per_s: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / rate_per_s
    }

    /// A text of whole pieces that other requests share.
    pub(crate) fn shared_pieces(&mut self, label: String, pieces: usize) -> Arc<str> {
        let seed = self.plan.seed;
        if let Some(text) = self.shared.get(&label) {
            return text.clone();
        }
        let text = text::pieces(seed, &label, pieces);
        self.shared.insert(label, text.clone());
        text
    }

    /// The position of one of `weights`, as often as its weight says.
    pub(crate) fn weighted<I>(&mut self, weights: I) -> usize
    where
        I: Iterator<Item = u32> + Clone,
    {
        let total: u32 = weights.clone().sum();
        let mut left = self.rng.random_range(0..total.max(1));
        for (position, weight) in weights.enumerate() {
            if left < weight {
                return position;
            }
            left -= weight;
        }
        0
    }

    /// A customer, as often as its share says.
    pub(crate) fn customer(&mut self) -> usize {
        let customers = self.plan.workload.customers();
        self.weighted(customers.iter().map(|customer| customer.share))
    }

    /// Whether the hot prefixes have moved by this time.
    pub(crate) fn moved(&self, at_s: f64) -> bool {
        let middle = self.plan.warm_up + self.plan.duration / 2;
        self.plan.hot_prefix_moves && at_s >= middle.as_secs_f64()
    }

    pub(crate) fn class(&self, name: &str) -> usize {
        self.plan
            .workload
            .class(name)
            .expect("the workload declares the class")
    }

    /// The longest answer of one request of a class, in tokens.
    pub(crate) fn answer_tokens(&mut self, class: usize) -> u64 {
        let (shortest, longest) = self.plan.workload.classes()[class].answer_tokens;
        self.rng.random_range(shortest..=longest)
    }

    pub(crate) fn into_requests(self) -> Vec<Planned> {
        self.requests
    }
}

/// The time of a request in whole seconds from the start.
#[must_use]
pub const fn second_of(at_us: u64) -> u64 {
    at_us / MICROS_PER_SECOND
}
