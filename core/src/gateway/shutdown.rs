//! What a gateway that shuts down does when, and which requests it still takes.

use crate::unit::{DurationMs, TimeMs};

/// How long connections are accepted after readiness checks begin to fail, so that the load balancer
/// notices: two failed checks at one per second, and a second for the transmission.
const UNREADY_MS: DurationMs = DurationMs(3_000);
/// The most of the grace period that passes before connections are closed, in percent.
const MAX_UNREADY_PERCENT: u64 = 50;
/// How long before the end of the grace period the process ends.
const END_MARGIN_MS: DurationMs = DurationMs(500);
/// The most of the grace period that this margin takes, in percent.
const MAX_END_MARGIN_PERCENT: u64 = 8;
/// How long requests are taken that may outlast the process. Most end much sooner than at their deadline.
/// Shorter than [`UNREADY_MS`], since a busy process notices the signal late.
const UNBOUNDED_MS: DurationMs = DurationMs(2_800);

/// How long after connections are closed a first request on one is still taken.
const LAST_REQUEST_MS: DurationMs = DurationMs(200);

/// The times of a shutdown, from the signal to the end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct ShutdownSchedule {
    unbounded_until_ms: TimeMs,
    closes_at_ms: TimeMs,
    closed_at_ms: Option<TimeMs>,
    ends_at_ms: TimeMs,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins now and is killed after the grace period.
    #[must_use]
    pub fn new(grace_ms: DurationMs, now: TimeMs) -> Self {
        let unready_ms = UNREADY_MS.min(percent_of(grace_ms, MAX_UNREADY_PERCENT));
        let margin_ms = END_MARGIN_MS.min(percent_of(grace_ms, MAX_END_MARGIN_PERCENT));
        Self {
            unbounded_until_ms: now.after(UNBOUNDED_MS.min(unready_ms)),
            closes_at_ms: now.after(unready_ms),
            closed_at_ms: None,
            ends_at_ms: now.after(grace_ms.saturating_sub(margin_ms)),
        }
    }

    /// The same schedule once connections are closed, which a busy process does late.
    #[must_use]
    pub const fn closed(self, now: TimeMs) -> Self {
        Self {
            closed_at_ms: Some(now),
            ..self
        }
    }

    /// When connections are closed, each after its request in progress.
    #[must_use]
    pub const fn closes_at_ms(&self) -> TimeMs {
        self.closes_at_ms
    }

    /// When the process ends, also with requests in progress.
    #[must_use]
    pub const fn ends_at_ms(&self) -> TimeMs {
        self.ends_at_ms
    }

    /// Whether a request is taken that must be answered by a time. A late one is taken only if that time
    /// comes before the end of the process, and one after connections were closed not at all.
    #[must_use]
    pub fn takes(&self, answer_by_ms: TimeMs, now: TimeMs) -> bool {
        if now < self.unbounded_until_ms {
            return true;
        }
        let closed_at_ms = self.closed_at_ms;
        let is_over = closed_at_ms.is_some_and(|at_ms| now.since(at_ms) > LAST_REQUEST_MS);
        !is_over && answer_by_ms <= self.ends_at_ms
    }
}

fn percent_of(duration_ms: DurationMs, percent: u64) -> DurationMs {
    DurationMs(duration_ms.0.saturating_mul(percent) / 100)
}
