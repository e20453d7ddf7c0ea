//! The monotonic clocks of a gateway.

use {
    cactusspur_core::TimeMs,
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Added to all times, so that moments before the boot can be told.
const BEFORE_BOOT: Duration = Duration::from_hours(24);

/// The time since a day before boot, excluding suspension. Used for measurements and timeouts.
#[must_use]
pub fn now() -> TimeMs {
    read(ClockId::CLOCK_MONOTONIC)
}

/// The same, including suspension. Used for leases: after a suspension the holder must
/// detect that its term has ended.
#[must_use]
pub fn now_with_suspension() -> TimeMs {
    read(ClockId::CLOCK_BOOTTIME)
}

fn read(clock: ClockId) -> TimeMs {
    let time = clock_gettime(clock).map_or_else(
        |error| {
            tracing::error!(%error, "failed to read a clock; using zero");
            Duration::ZERO
        },
        Duration::from,
    );
    let time = time.saturating_add(BEFORE_BOOT);
    TimeMs(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
