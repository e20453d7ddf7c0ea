//! Stateful fuzzing of several cores against an oracle. `docs/PROMISES.md` describes long runs.

#[path = "../common/mod.rs"]
mod common;
mod oracle;
mod table;
mod worker;
mod world;

use {
    crate::{
        table::TableMode,
        world::{NODES, WORKERS, World},
    },
    proptest::{
        prelude::*,
        test_runner::{RngSeed, TestRunner},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// The seed when `PROPTEST_RNG_SEED` is not set.
const SEED: u64 = 20_261_203;
/// The number of cases when `PROPTEST_CASES` is not set.
const CASES: u32 = 96;

/// One step of a case.
#[derive(Clone, Debug)]
enum Step {
    Send {
        node: usize,
        customer: usize,
        class: usize,
        key: u8,
        body: u8,
    },
    Advance {
        ms: u64,
    },
    /// Delays a message in flight.
    Delay {
        pick: u64,
        ms: u64,
    },
    /// Duplicates a message in flight.
    Repeat {
        pick: u64,
        ms: u64,
    },
    /// Loses a message in flight, if it is of a kind that can be lost.
    Lose {
        pick: u64,
    },
    /// Breaks the connection of an attempt.
    Break {
        pick: u64,
    },
    /// Silences the connection of an attempt permanently.
    Silence {
        pick: u64,
    },
    Crash {
        worker: usize,
        ms: u64,
    },
    Freeze {
        worker: usize,
        ms: u64,
    },
    /// Starts a worker's shutdown; the VM list shows it after a lag.
    Leave {
        worker: usize,
        lag_ms: u64,
    },
    Unlist {
        worker: usize,
        ms: u64,
    },
    Table {
        mode: TableMode,
    },
    /// Disconnects an entry VM from the table service.
    Cut {
        node: usize,
        ms: u64,
    },
    /// Disconnects an entry VM from the workers of other failure domains.
    Partition {
        node: usize,
        ms: u64,
    },
    Restart {
        node: usize,
    },
    Pause {
        node: usize,
        ms: u64,
    },
    Configure {
        node: usize,
        generation: u64,
    },
    ShutDown {
        node: usize,
    },
    CallerLeaves {
        pick: u64,
    },
}

/// Generates steps. It needs no state, since every step is possible at any time.
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let node = || 0..NODES;
        let worker = || 0..WORKERS;
        let pick = any::<u64>;
        let modes = prop_oneof![
            3 => Just(TableMode::Up),
            1 => Just(TableMode::Slow),
            1 => Just(TableMode::Down),
            2 => Just(TableMode::AnswersLost),
            2 => Just(TableMode::Late),
        ];
        prop_oneof![
            30 => (node(), 0..2_usize, 0..4_usize, 0..4_u8, 0..8_u8).prop_map(
                |(node, customer, class, key, body)| Step::Send { node, customer, class, key, body }
            ),
            30 => prop_oneof![5..300_u64, 300..3_000_u64].prop_map(|ms| Step::Advance { ms }),
            5 => (pick(), 50..6_000_u64).prop_map(|(pick, ms)| Step::Delay { pick, ms }),
            3 => (pick(), 0..6_000_u64).prop_map(|(pick, ms)| Step::Repeat { pick, ms }),
            3 => pick().prop_map(|pick| Step::Lose { pick }),
            3 => pick().prop_map(|pick| Step::Break { pick }),
            3 => pick().prop_map(|pick| Step::Silence { pick }),
            4 => (worker(), 0..4_000_u64).prop_map(|(worker, ms)| Step::Crash { worker, ms }),
            3 => (worker(), 100..9_000_u64).prop_map(|(worker, ms)| Step::Freeze { worker, ms }),
            3 => (worker(), 0..20_000_u64)
                .prop_map(|(worker, lag_ms)| Step::Leave { worker, lag_ms }),
            1 => (worker(), 500..6_000_u64).prop_map(|(worker, ms)| Step::Unlist { worker, ms }),
            5 => modes.prop_map(|mode| Step::Table { mode }),
            2 => (node(), 500..5_000_u64).prop_map(|(node, ms)| Step::Cut { node, ms }),
            2 => (node(), 500..8_000_u64).prop_map(|(node, ms)| Step::Partition { node, ms }),
            2 => node().prop_map(|node| Step::Restart { node }),
            3 => (node(), 100..8_000_u64).prop_map(|(node, ms)| Step::Pause { node, ms }),
            3 => (node(), 1..12_u64)
                .prop_map(|(node, generation)| Step::Configure { node, generation }),
            1 => node().prop_map(|node| Step::ShutDown { node }),
            2 => pick().prop_map(|pick| Step::CallerLeaves { pick }),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

struct CoreFuzz;

impl StateMachineTest for CoreFuzz {
    type SystemUnderTest = World;
    type Reference = StepGenerator;

    fn init_test(seed: &u64) -> World {
        World::open(*seed)
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        STEPS.fetch_add(1, Ordering::Relaxed);
        world.step(&step);
        world
    }

    fn check_invariants(world: &World, _: &u64) {
        world.check();
    }

    fn teardown(mut world: World) {
        world.recover();
        let counts = world.counts();
        for (total, count) in TOTALS.iter().zip(counts) {
            total.fetch_add(count, Ordering::Relaxed);
        }
    }
}

static STEPS: AtomicU64 = AtomicU64::new(0);
static TOTALS: [AtomicU64; 9] = [const { AtomicU64::new(0) }; 9];
const TOTAL_NAMES: [&str; 9] = [
    "requests",
    "answered",
    "refused as not run",
    "refused as may have run",
    "keys",
    "keys that stay `may have run`",
    "of these never run",
    "loads of weights",
    "of these by an outdated order",
];

fn config() -> ProptestConfig {
    let mut config = ProptestConfig {
        failure_persistence: None,
        max_shrink_iters: 3_000,
        ..ProptestConfig::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(SEED);
    }
    config
}

#[test]
fn promises_hold() {
    let config = config();
    let mut runner = TestRunner::new(config.clone());
    let strategy = StepGenerator::sequential_strategy(10..160);
    let outcome = runner.run(&strategy, |(seed, steps, seen)| {
        CoreFuzz::test_sequential(config.clone(), seed, steps, seen);
        Ok(())
    });
    eprintln!("steps: {}", STEPS.load(Ordering::Relaxed));
    for (name, total) in TOTAL_NAMES.iter().zip(&TOTALS) {
        eprintln!("{name}: {}", total.load(Ordering::Relaxed));
    }
    if let Err(failure) = outcome {
        panic!("seed {}: {failure}", config.rng_seed);
    }
}
