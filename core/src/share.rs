//! The recent work of each customer, and the budget of retries.

use crate::{
    decay::DecayingSum,
    id::CustomerId,
    unit::{DurationMs, TimeMs, Tokens},
    vec_map::VecMap,
};

/// Time constant over which customers' work decays.
const TIME_CONSTANT_MS: DurationMs = DurationMs(3_000);
/// Customers with less recent work than this are removed as idle.
const MIN_ACTIVE_TOKENS: u64 = 16;
/// An equal share, in thousandths.
const ONE_PERMILLE: u64 = 1_000;

/// The recent work of each customer, in tokens.
#[derive(Debug, Default)]
pub struct Shares {
    customers: VecMap<CustomerId, DecayingSum>,
    total: DecayingSum,
}

impl Shares {
    /// Adds work that was sent for a customer.
    pub fn record(&mut self, customer: CustomerId, tokens: Tokens, now: TimeMs) {
        self.customers
            .get_or_insert_with(customer, DecayingSum::default)
            .add(tokens.0, now, TIME_CONSTANT_MS);
        self.total.add(tokens.0, now, TIME_CONSTANT_MS);
    }

    /// Returns a customer's recent work in thousandths of an equal share among active customers.
    #[must_use]
    pub fn permille_of_equal_share(&self, customer: CustomerId, now: TimeMs) -> u64 {
        let total = self.total.value_at(now, TIME_CONSTANT_MS).max(1);
        let Some(work) = self.customers.get(&customer) else {
            return 0;
        };
        let active = self.customers.len() as u64;
        let work = work.value_at(now, TIME_CONSTANT_MS);
        work.saturating_mul(active).saturating_mul(ONE_PERMILLE) / total
    }

    /// Removes customers without recent work.
    pub fn remove_idle(&mut self, now: TimeMs) {
        self.customers
            .retain(|_, work| work.value_at(now, TIME_CONSTANT_MS) >= MIN_ACTIVE_TOKENS);
        let total = self
            .customers
            .iter()
            .map(|row| row.1.value_at(now, TIME_CONSTANT_MS));
        let total = total.sum();
        self.total = DecayingSum::default();
        self.total.add(total, now, TIME_CONSTANT_MS);
    }
}

/// One retry, in the thousandths that the budget counts.
const RETRY_PERMILLE: u64 = 1_000;
/// Amount that each first attempt adds: one retry for every ten first attempts.
const DEPOSIT_PERMILLE: u64 = 100;
/// Upper limit of the retries that first attempts add up to.
const MAX_BALANCE_PERMILLE: u64 = 100 * RETRY_PERMILLE;
/// Retries that the budget is restored to without traffic.
const IDLE_BALANCE_PERMILLE: u64 = 10 * RETRY_PERMILLE;
/// Interval in which one retry is restored, up to [`IDLE_BALANCE_PERMILLE`].
const REFILL_INTERVAL_MS: u64 = 500;

/// A token bucket of retries, filled by first attempts, so that retries stay a small part of the
/// traffic.
#[derive(Debug)]
pub struct RetryBudget {
    balance_permille: u64,
    refilled_at_ms: TimeMs,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_permille: IDLE_BALANCE_PERMILLE,
            refilled_at_ms: TimeMs::default(),
        }
    }
}

impl RetryBudget {
    /// Adds the part of a retry that a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance_permille =
            (self.balance_permille + DEPOSIT_PERMILLE).min(MAX_BALANCE_PERMILLE);
    }

    /// Takes a retry from the budget. Returns whether one was available.
    pub fn withdraw(&mut self, now: TimeMs) -> bool {
        self.refill(now);
        let is_available = self.balance_permille >= RETRY_PERMILLE;
        if is_available {
            self.balance_permille -= RETRY_PERMILLE;
        }
        is_available
    }

    fn refill(&mut self, now: TimeMs) {
        let elapsed = now.since(self.refilled_at_ms).0;
        let refilled = (elapsed.saturating_mul(RETRY_PERMILLE) / REFILL_INTERVAL_MS)
            .min(IDLE_BALANCE_PERMILLE);
        if refilled == 0 {
            return;
        }
        self.refilled_at_ms = now;
        if self.balance_permille < IDLE_BALANCE_PERMILLE {
            self.balance_permille = (self.balance_permille + refilled).min(IDLE_BALANCE_PERMILLE);
        }
    }
}
