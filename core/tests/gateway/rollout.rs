//! Rollouts of new weights to simulated engines.

use {
    crate::fixture::worker,
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion, WorkerId,
        gateway::{OrderState, Rollout, RolloutEngine, RolloutStep},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::BTreeMap,
};

const LOAD_MS: u64 = 670;

#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    weights: u64,
    accepted: u64,
    /// The weights version that is being loaded and the time at which the load ends.
    loading: Option<(u64, u64)>,
    /// A delayed order: its arrival time, weights version and expected number of accepted orders.
    delayed_order: Option<(u64, u64, u64)>,
    running_until: u64,
}

/// Engines to which orders may be delayed, without an answer to the sender.
struct Fleet {
    engines: BTreeMap<WorkerId, Engine>,
    rng: StdRng,
    delayed_percent: u32,
    now: u64,
    max_loading: usize,
    newest_ordered: u64,
}

impl Fleet {
    fn new(count: usize, delayed_percent: u32, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let engines = (0..count).map(|number| {
            let engine = Engine {
                weights: 1,
                running_until: rng.random_range(0..1_500),
                ..Engine::default()
            };
            (worker(number), engine)
        });
        Self {
            engines: engines.collect(),
            rng: StdRng::seed_from_u64(seed),
            delayed_percent,
            now: 0,
            max_loading: 0,
            newest_ordered: 0,
        }
    }

    fn accept(engine: &mut Engine, now: u64, version: u64, accepted: u64) -> bool {
        if engine.loading.is_some() || engine.accepted != accepted {
            return false;
        }
        engine.accepted += 1;
        engine.loading = Some((version, now.max(engine.running_until) + LOAD_MS));
        true
    }

    fn advance(&mut self) {
        self.now += 10;
        let now = self.now;
        for engine in self.engines.values_mut() {
            if let Some((version, until)) = engine.loading
                && now >= until
            {
                assert!(version >= engine.weights, "weights went back");
                engine.weights = version;
                engine.loading = None;
            }
            if let Some((arrives_at, version, accepted)) = engine.delayed_order
                && now >= arrives_at
            {
                engine.delayed_order = None;
                Self::accept(engine, now, version, accepted);
            }
        }
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.loading.is_some() && now >= engine.running_until);
        self.max_loading = self.max_loading.max(loading.count());
    }

    /// Drives a rollout until all engines have `version`, or `limit_ms` have passed.
    fn roll_out(&mut self, rollout: &mut Rollout, limit_ms: u64) -> u64 {
        let started = self.now;
        while self.now < started + limit_ms {
            let engines: Vec<RolloutEngine> = self
                .engines
                .iter()
                .map(|(worker, engine)| RolloutEngine {
                    worker: *worker,
                    weights: WeightsVersion(engine.weights),
                    occupancy: u64::from(self.now < engine.running_until),
                })
                .collect();
            rollout.set_engines(&engines, TimeMs(self.now));
            if rollout.is_done() {
                break;
            }
            for step in rollout.next_steps(TimeMs(self.now)) {
                self.carry_out(rollout, step);
            }
            self.advance();
        }
        self.now - started
    }

    fn carry_out(&mut self, rollout: &mut Rollout, step: RolloutStep) {
        let now = self.now;
        match step {
            RolloutStep::Query(worker) => {
                let engine = self.engines[&worker];
                let state = OrderState {
                    accepted: engine.accepted,
                    is_busy: engine.loading.is_some(),
                    weights: WeightsVersion(engine.weights),
                    running: u64::from(now < engine.running_until),
                };
                rollout.record_state(worker, state, TimeMs(now));
            }
            RolloutStep::Order {
                worker,
                version,
                accepted,
            } => {
                self.newest_ordered = self.newest_ordered.max(version.0);
                let is_delayed = self.rng.random_range(0..100) < self.delayed_percent;
                let delay = self.rng.random_range(2_000..12_000);
                let engine = self.engines.get_mut(&worker).expect("an engine");
                if is_delayed {
                    engine.delayed_order = Some((now + delay, version.0, accepted));
                } else if Self::accept(engine, now, version.0, accepted) {
                    rollout.record_accepted(worker, TimeMs(now));
                } else {
                    rollout.record_failed(worker, TimeMs(now));
                }
            }
        }
    }
}

#[test]
fn twelve_engines_follow_within_the_time_that_old_weights_are_permitted() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(12, 0, seed);
        let took = fleet.roll_out(&mut Rollout::new(WeightsVersion(2)), 20_000);
        assert!(took < 7_000, "seed {seed}: {took} ms");
        assert!(fleet.max_loading <= 3, "seed {seed}: {}", fleet.max_loading);
    }
}

#[test]
fn orders_that_arrive_late_never_bring_older_weights_back() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(12, 35, seed);
        let mut rollout = Rollout::new(WeightsVersion(2));
        fleet.roll_out(&mut rollout, 3_000);
        rollout.raise_version(WeightsVersion(3));
        // `advance` panics if an engine loads older weights than it has.
        let took = fleet.roll_out(&mut rollout, 60_000);
        assert!(took < 30_000, "seed {seed}: {took} ms");
        for _ in 0..1_500 {
            fleet.advance();
        }
        assert!(
            fleet.engines.values().all(|engine| engine.weights == 3),
            "seed {seed}"
        );
    }
}

#[test]
fn newer_weights_replace_those_that_are_on_their_way() {
    let mut fleet = Fleet::new(12, 0, 1);
    let mut rollout = Rollout::new(WeightsVersion(2));
    fleet.roll_out(&mut rollout, 1_500);
    rollout.raise_version(WeightsVersion(3));
    fleet.roll_out(&mut rollout, 20_000);
    assert!(fleet.engines.values().all(|engine| engine.weights == 3));
    assert_eq!(fleet.newest_ordered, 3);
}

#[test]
fn an_engine_that_can_not_be_asked_does_not_hold_the_others_up() {
    let mut rollout = Rollout::new(WeightsVersion(2));
    let engines = [0, 1].map(|number| RolloutEngine {
        worker: worker(number),
        weights: WeightsVersion(1),
        occupancy: 0,
    });
    rollout.set_engines(&engines, TimeMs(0));
    rollout.next_steps(TimeMs(0));
    rollout.record_failed(worker(0), TimeMs(1));
    let state = OrderState {
        accepted: 0,
        is_busy: false,
        weights: WeightsVersion(1),
        running: 0,
    };
    rollout.record_state(worker(1), state, TimeMs(1));
    let steps = rollout.next_steps(TimeMs(2));
    assert!(matches!(steps[..], [RolloutStep::Order { worker: w, .. }] if w == worker(1)));
}

#[test]
fn an_engine_with_runs_is_ordered_after_a_while() {
    let mut rollout = Rollout::new(WeightsVersion(2));
    let engine = RolloutEngine {
        worker: worker(0),
        weights: WeightsVersion(1),
        occupancy: 5,
    };
    rollout.set_engines(&[engine], TimeMs(0));
    rollout.next_steps(TimeMs(0));
    let state = OrderState {
        accepted: 0,
        is_busy: false,
        weights: WeightsVersion(1),
        running: 5,
    };
    rollout.record_state(worker(0), state, TimeMs(10));
    let ordered = |steps: &[RolloutStep]| {
        let mut orders = steps.iter();
        orders.any(|step| matches!(step, RolloutStep::Order { .. }))
    };
    assert!(!ordered(&rollout.next_steps(TimeMs(20))));
    let later = TimeMs(0).after(DurationMs(2_000));
    rollout.record_state(worker(0), state, later);
    assert!(ordered(&rollout.next_steps(later)));
}
