//! How much of a class's target predictions may take, learned from how those turned out that took
//! the most of it.

use crate::unit::DurationMs;

/// The part of the target that a prediction may take at the most, in thousandths.
const MAX_PERMILLE: u64 = 900;
const MIN_PERMILLE: u64 = 300;
/// What a late first token takes off, and what one on time adds: one in twenty may be late.
const LATE_STEP: u64 = 19;
const ON_TIME_STEP: u64 = 1;
/// From this part of what is allowed on a prediction counts when it was right, in thousandths.
const TRYING_PERMILLE: u64 = 700;

/// The part of a class's target that predictions may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Margin {
    permille: u64,
}

impl Default for Margin {
    fn default() -> Self {
        Self {
            permille: MAX_PERMILLE,
        }
    }
}

impl Margin {
    /// The part in thousandths.
    #[must_use]
    pub const fn permille(self) -> u64 {
        self.permille
    }

    /// Learns from a first token that was predicted at `predicted_ms` and came at `observed_ms`.
    pub fn record(
        &mut self,
        target_ms: DurationMs,
        predicted_ms: DurationMs,
        observed_ms: DurationMs,
    ) {
        let tried = target_ms.0 * self.permille / 1_000 * TRYING_PERMILLE / 1_000;
        if observed_ms > target_ms {
            self.permille = self.permille.saturating_sub(LATE_STEP).max(MIN_PERMILLE);
        } else if predicted_ms.0 >= tried {
            self.permille = (self.permille + ON_TIME_STEP).min(MAX_PERMILLE);
        }
    }
}
