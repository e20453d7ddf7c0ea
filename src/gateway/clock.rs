//! The steady clocks of a gateway.

use {
    cactusspur_core::TimeMs,
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// The time since the machine started, without the time that it was suspended. For all that is
/// measured and waited for.
#[must_use]
pub fn now() -> TimeMs {
    read(ClockId::CLOCK_MONOTONIC)
}

/// The time since the machine started, with the time that it was suspended. For leases: a holder
/// that was suspended must notice that its term has passed.
#[must_use]
pub fn now_with_suspension() -> TimeMs {
    read(ClockId::CLOCK_BOOTTIME)
}

fn read(clock: ClockId) -> TimeMs {
    let time = clock_gettime(clock).map_or_else(
        |error| {
            tracing::error!(%error, "a clock can't be read; it counts as not running");
            Duration::ZERO
        },
        Duration::from,
    );
    TimeMs(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
