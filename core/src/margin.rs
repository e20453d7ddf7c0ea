//! The admissible part of a class's target, adjusted by the outcome of predictions near it.

use crate::unit::DurationMs;

/// Upper limit of the admissible part of the target.
const MAX_PERMILLE: u64 = 900;
/// Lower limit of the admissible part of the target.
const MIN_PERMILLE: u64 = 300;
/// Decrease after a late first token. With [`ON_TIME_STEP_PERMILLE`], one in twenty may be late.
const LATE_STEP_PERMILLE: u64 = 19;
/// Increase after a first token on time.
const ON_TIME_STEP_PERMILLE: u64 = 1;
/// First tokens on time count only if predicted at this part of the admissible time or later.
const NEAR_LIMIT_PERMILLE: u64 = 700;

/// The admissible part of a class's target: requests are admitted if their first token is predicted
/// within it.
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
    /// Returns the admissible part in thousandths.
    #[must_use]
    pub const fn permille(self) -> u64 {
        self.permille
    }

    /// Adjusts the margin by a first token that was predicted at `predicted_ms` and received at
    /// `observed_ms`.
    pub fn record(
        &mut self,
        target_ms: DurationMs,
        predicted_ms: DurationMs,
        observed_ms: DurationMs,
    ) {
        let near_limit_ms = target_ms.0 * self.permille / 1_000 * NEAR_LIMIT_PERMILLE / 1_000;
        if observed_ms > target_ms {
            self.permille = self
                .permille
                .saturating_sub(LATE_STEP_PERMILLE)
                .max(MIN_PERMILLE);
        } else if predicted_ms.0 >= near_limit_ms {
            self.permille = (self.permille + ON_TIME_STEP_PERMILLE).min(MAX_PERMILLE);
        }
    }
}
