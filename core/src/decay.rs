//! A sum that fades with time.

use crate::unit::{DurationMs, TimeMs};

/// A sum whose parts fade with time. Fed at a steady rate, it settles at that rate times its time
/// constant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecayingSum {
    amount: u64,
    updated_at_ms: TimeMs,
}

impl DecayingSum {
    /// What is left of the sum at `now`.
    #[must_use]
    pub fn value_at(self, now: TimeMs, constant: DurationMs) -> u64 {
        let elapsed = now.since(self.updated_at_ms);
        let constant = u128::from(constant.0.max(1));
        let left = u128::from(self.amount) * constant / (constant + u128::from(elapsed.0));
        u64::try_from(left).unwrap_or(u64::MAX)
    }

    /// Adds to the sum.
    pub fn add(&mut self, amount: u64, now: TimeMs, constant: DurationMs) {
        self.amount = self.value_at(now, constant).saturating_add(amount);
        self.updated_at_ms = now;
    }
}
