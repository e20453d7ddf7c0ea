//! A sum that decays over time.

use crate::unit::{DurationMs, TimeMs};

/// A sum that decays over time. At a steady rate of additions, it converges to that rate times the
/// time constant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecayingSum {
    amount: u64,
    updated_at_ms: TimeMs,
}

impl DecayingSum {
    /// Returns the decayed value of the sum at `now`.
    #[must_use]
    pub fn value_at(self, now: TimeMs, time_constant: DurationMs) -> u64 {
        let elapsed = now.since(self.updated_at_ms);
        let time_constant = u128::from(time_constant.0.max(1));
        let decayed =
            u128::from(self.amount) * time_constant / (time_constant + u128::from(elapsed.0));
        u64::try_from(decayed).unwrap_or(u64::MAX)
    }

    /// Adds `amount` to the sum, decayed to `now`.
    pub fn add(&mut self, amount: u64, now: TimeMs, time_constant: DurationMs) {
        self.amount = self.value_at(now, time_constant).saturating_add(amount);
        self.updated_at_ms = now;
    }
}
