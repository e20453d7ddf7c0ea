//! How much work customers have brought lately, and what retries are left.

use crate::{
    decay::DecayingSum,
    id::CustomerId,
    unit::{DurationMs, TimeMs, Tokens},
    vec_map::VecMap,
};

/// The time constant over which work is compared.
const CONSTANT_MS: DurationMs = DurationMs(3_000);
/// A customer with less recent work than this is not counted.
const ACTIVE_TOKENS: u64 = 16;
/// A share of one, in thousandths.
const ONE_PERMILLE: u64 = 1_000;

/// The recent work of customers, in tokens.
#[derive(Debug, Default)]
pub struct Shares {
    customers: VecMap<CustomerId, DecayingSum>,
    total: DecayingSum,
}

impl Shares {
    /// Counts work that was sent for a customer.
    pub fn record(&mut self, customer: CustomerId, tokens: Tokens, now: TimeMs) {
        self.customers
            .get_or_insert_with(customer, DecayingSum::default)
            .add(tokens.0, now, CONSTANT_MS);
        self.total.add(tokens.0, now, CONSTANT_MS);
    }

    /// A customer's recent work in thousandths of an equal share.
    #[must_use]
    pub fn permille_of_equal_share(&self, customer: CustomerId, now: TimeMs) -> u64 {
        let total = self.total.value_at(now, CONSTANT_MS).max(1);
        let Some(own) = self.customers.get(&customer) else {
            return 0;
        };
        let active = self.customers.len() as u64;
        let own = own.value_at(now, CONSTANT_MS);
        own.saturating_mul(active).saturating_mul(ONE_PERMILLE) / total
    }

    /// Forgets customers without recent work.
    pub fn forget_idle(&mut self, now: TimeMs) {
        self.customers
            .retain(|_, work| work.value_at(now, CONSTANT_MS) >= ACTIVE_TOKENS);
        let total = self
            .customers
            .iter()
            .map(|row| row.1.value_at(now, CONSTANT_MS));
        let total = total.sum();
        self.total = DecayingSum::default();
        self.total.add(total, now, CONSTANT_MS);
    }
}

/// One retry, in thousandths.
const RETRY: u64 = 1_000;
/// What each first attempt adds: one retry for ten.
const EARNED: u64 = 100;
const MAX_EARNED: u64 = 100 * RETRY;
/// The retries that are there without traffic, and how quickly they come back.
const FLOOR: u64 = 10 * RETRY;
const FLOOR_INTERVAL_MS: u64 = 500;

/// The retries that may still be sent: a small part of the recent traffic.
#[derive(Debug)]
pub struct RetryBudget {
    left: u64,
    refilled_at_ms: TimeMs,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            left: FLOOR,
            refilled_at_ms: TimeMs::default(),
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.left = (self.left + EARNED).min(MAX_EARNED);
    }

    /// Takes a retry. Returns whether there was one.
    pub fn withdraw(&mut self, now: TimeMs) -> bool {
        self.refill(now);
        let enough = self.left >= RETRY;
        if enough {
            self.left -= RETRY;
        }
        enough
    }

    fn refill(&mut self, now: TimeMs) {
        let elapsed = now.since(self.refilled_at_ms).0;
        let refilled = (elapsed.saturating_mul(RETRY) / FLOOR_INTERVAL_MS).min(FLOOR);
        if refilled == 0 {
            return;
        }
        self.refilled_at_ms = now;
        if self.left < FLOOR {
            self.left = (self.left + refilled).min(FLOOR);
        }
    }
}
