//! The retry budget holds over all entry VMs and over any window.

use {
    cactusspur_core::{
        TimeMs,
        gateway::{RetryBudget, RetryBudgetLimits},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    test_case::test_case,
};

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio_milli: 200,
    allowance: 52,
    window_ms: 10_000,
};
const SERVICE: &str = "engines";

/// Simulates requests that are retried as often as the budget allows. Returns the largest excess
/// of retries over the limit in any window.
fn worst_excess(entry_vms: usize, requests_per_s: u64, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut budgets = vec![RetryBudget::new(LIMITS); entry_vms];
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for ms in 0..40_000 {
        if rng.random_range(0..1_000) >= requests_per_s {
            continue;
        }
        let now = TimeMs(ms);
        let budget = &mut budgets[rng.random_range(0..entry_vms)];
        budget.deposit(SERVICE, entry_vms, now);
        requests.push(ms);
        while budget.withdraw(SERVICE, entry_vms, now) {
            retries.push(ms);
        }
    }
    let within = |times: &[u64], from: u64| {
        let inside = times
            .iter()
            .filter(|time| (from..from + 10_000).contains(*time));
        u32::try_from(inside.count()).map_or(f64::MAX, f64::from)
    };
    (0..30_000)
        .step_by(250)
        .map(|from| within(&retries, from) - (0.2 * within(&requests, from) + 52.0))
        .fold(f64::MIN, f64::max)
}

#[test_case(1, 5)]
#[test_case(1, 200)]
#[test_case(6, 20)]
#[test_case(6, 130)]
#[test_case(58, 400)]
fn no_window_exceeds_what_is_permitted(entry_vms: usize, requests_per_s: u64) {
    for seed in 0..5 {
        let excess = worst_excess(entry_vms, requests_per_s, seed);
        assert!(excess <= 0.0, "seed {seed}: {excess} too many");
    }
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.withdraw(SERVICE, 1, TimeMs(0)) {}
    assert!(budget.withdraw("other", 1, TimeMs(0)));
}
