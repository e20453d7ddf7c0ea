//! Sends nothing to a backend server that asked this entry VM for a pause, and returns to it slowly.

use crate::unit::{DurationMs, TimeMs};

/// The longest pause that is kept. A server that wants none for longer leaves.
const MAX_PAUSE_MS: DurationMs = DurationMs(3_600_000);
/// Entry VMs return over this part of a pause after its end, in percent of it.
const SPREAD_PERCENT: u64 = 25;
/// The longest time over which they return.
const MAX_SPREAD_MS: u64 = 2_000;
/// How long the first request after a pause may take until a second one is tried.
const TRIAL_MS: DurationMs = DurationMs(1_000);

/// The pauses that a server asked this entry VM for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pause {
    until_ms: TimeMs,
    /// Whether no answer since the pause has shown that the server takes requests again.
    needs_trial: bool,
    /// When the last request was sent that tries whether it does.
    tried_at_ms: Option<TimeMs>,
}

impl Pause {
    /// Records that the server asked for a pause. Of several pauses the one that ends last is kept.
    /// `random` spreads the returns of entry VMs.
    pub fn record(&mut self, length_ms: DurationMs, random: u64, now: TimeMs) {
        let length_ms = length_ms.min(MAX_PAUSE_MS);
        let spread_ms = (length_ms.0 * SPREAD_PERCENT / 100).min(MAX_SPREAD_MS);
        let wait_ms = length_ms + DurationMs(random % (spread_ms + 1));
        self.until_ms = self.until_ms.max(now.after(wait_ms));
        self.needs_trial = true;
        self.tried_at_ms = None;
    }

    /// Records an answer that asks for no pause, to a request that was sent at `sent_at_ms`. An answer
    /// to a request from before the end of the pause says nothing about the time after it.
    pub fn record_answer(&mut self, sent_at_ms: TimeMs) {
        if sent_at_ms >= self.until_ms {
            self.needs_trial = false;
        }
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: TimeMs) {
        if self.needs_trial && now >= self.until_ms {
            self.tried_at_ms = Some(now);
        }
    }

    /// The time from which on the next request may be sent.
    #[must_use]
    pub fn available_at_ms(&self) -> TimeMs {
        match self.tried_at_ms.filter(|_| self.needs_trial) {
            Some(tried_at_ms) => self.until_ms.max(tried_at_ms.after(TRIAL_MS)),
            None => self.until_ms,
        }
    }
}
