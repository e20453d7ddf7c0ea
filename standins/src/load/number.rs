//! Conversions between whole numbers and floating point for figures that are shown.

use std::time::Duration;

/// Microseconds in a second.
pub const MICROS_PER_SECOND: u64 = 1_000_000;
/// Microseconds in a millisecond.
pub const MICROS_PER_MS: u64 = 1_000;

/// The nearest floating point number.
#[expect(
    clippy::cast_precision_loss,
    reason = "figures that are shown have few digits"
)]
#[must_use]
pub const fn float(value: u64) -> f64 {
    value as f64
}

/// The quotient of two counts, or zero when there is nothing to divide by.
#[must_use]
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    float(part) / float(whole)
}

/// Microseconds as milliseconds.
#[must_use]
pub fn millis(micros: u64) -> f64 {
    float(micros) / float(MICROS_PER_MS)
}

/// A length in seconds as whole microseconds, without a sign.
#[must_use]
pub fn micros_of_seconds(seconds: f64) -> u64 {
    micros_of(Duration::from_secs_f64(seconds.max(0.0)))
}

/// A length of time in whole microseconds.
#[must_use]
pub fn micros_of(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
