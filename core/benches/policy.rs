//! Results of the placement policy under several workloads, in the simulation used by the tests.
//! Deterministic; prints one line per workload and seed.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use {
    fleet::{
        TARGET_MS,
        model::{EngineSettings, Model},
        text,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

const CORES: usize = 6;
const WARM_MS: u64 = 10_000;
const RUN_MS: u64 = 60_000;

/// A workload.
#[derive(Clone, Copy)]
struct Workload {
    name: &'static str,
    /// Requests per thousand seconds.
    rate: u64,
    rules: usize,
    sites: usize,
    rules_bytes: usize,
    site_bytes: usize,
    /// Share of the requests that go to the first site of each set of rules, in thousandths.
    hot_permille: u64,
    engines: EngineSettings,
}

const ENGINES: EngineSettings = EngineSettings {
    count: 12,
    prefill_rate: 8_000,
    slots: 16,
    answer_ms: 1_000,
    cache_pieces: 1_000,
};

const WORKLOADS: [Workload; 5] = [
    Workload {
        name: "few large rules",
        rate: 30_000,
        rules: 2,
        sites: 100,
        rules_bytes: 24_000,
        site_bytes: 6_000,
        hot_permille: 0,
        engines: ENGINES,
    },
    Workload {
        name: "many rules",
        rate: 30_000,
        rules: 24,
        sites: 20,
        rules_bytes: 16_000,
        site_bytes: 6_000,
        hot_permille: 0,
        engines: ENGINES,
    },
    Workload {
        name: "hot site",
        rate: 60_000,
        rules: 4,
        sites: 100,
        rules_bytes: 16_000,
        site_bytes: 12_000,
        hot_permille: 600,
        engines: ENGINES,
    },
    Workload {
        name: "sixty workers",
        rate: 150_000,
        rules: 24,
        sites: 40,
        rules_bytes: 16_000,
        site_bytes: 6_000,
        hot_permille: 200,
        engines: EngineSettings {
            count: 60,
            ..ENGINES
        },
    },
    Workload {
        name: "overload 1.5x",
        rate: 144_000,
        rules: 1,
        sites: 1_000_000,
        rules_bytes: 0,
        site_bytes: 4_000,
        hot_permille: 0,
        engines: ENGINES,
    },
];

fn run(load: &Workload, seed: u64) {
    let mut model = Model::open(CORES, load.engines);
    let mut rng = StdRng::seed_from_u64(seed);
    for now_ms in 0..WARM_MS + RUN_MS {
        if now_ms == WARM_MS {
            model.outcome = fleet::model::Outcome::default();
        }
        let mut due = rng.random_range(0..1_000_000) < load.rate % 1_000_000;
        while due {
            arrive(&mut model, load, &mut rng);
            due = rng.random_range(0..1_000_000) < load.rate;
        }
        model.step();
    }
    report(load, seed, &model);
}

fn arrive(model: &mut Model, load: &Workload, rng: &mut StdRng) {
    let rules = rng.random_range(0..load.rules);
    let site = if rng.random_range(0..1_000) < load.hot_permille {
        0
    } else {
        rng.random_range(0..load.sites)
    };
    let question = rng.random_range(0..u64::MAX);
    let levels = [
        text(&format!("rules {rules} "), load.rules_bytes),
        text(&format!("site {site} "), load.site_bytes),
        text(&format!("question {question} "), 400),
    ];
    let core = rng.random_range(0..CORES);
    model.arrive(core, "trust", "check", &levels);
}

fn report(load: &Workload, seed: u64, model: &Model) {
    let outcome = &model.outcome;
    let (hits, unbounded) = outcome.hit_rates_permille();
    println!(
        "{:<16} seed {seed}: served {} refused {} moved {} on target {} first token p50 {} p95 {} p99 {} ms, \
         hits {hits} of {unbounded} permille",
        load.name,
        outcome.first_token_ms.len(),
        outcome.refused,
        outcome.moved,
        outcome.within_target(TARGET_MS.0),
        outcome.percentile_ms(50),
        outcome.percentile_ms(95),
        outcome.percentile_ms(99),
    );
}

fn main() {
    for load in &WORKLOADS {
        for seed in 1..=3 {
            run(load, seed);
        }
    }
}
