//! The monotonic clocks of a gateway.

use {
    cactusspur_core::TimeMs,
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// The time since boot, excluding suspension. Used for measurements and timeouts.
#[must_use]
pub fn now() -> TimeMs {
    read(ClockId::CLOCK_MONOTONIC)
}

/// The time since boot, including suspension. Used for leases: after a suspension the holder must
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
    TimeMs(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
