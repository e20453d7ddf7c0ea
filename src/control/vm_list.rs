//! The newest known list of VMs, from the platform or from another entry VM.
//!
//! A process that starts while the platform can't be reached learns of the workers this way.

use {
    cactusspur_core::{DurationMs, TimeMs, VmList},
    std::sync::Arc,
};

/// How old the list may become before another entry VM is asked for its own.
const STALE_MS: DurationMs = DurationMs(2_000);
/// The time between two asks.
const ASK_INTERVAL_MS: DurationMs = DurationMs(500);

/// The newest known list of VMs.
#[derive(Debug, Default)]
pub(super) struct KnownVms {
    list: Option<Arc<VmList>>,
    as_of_ms: TimeMs,
    asked_at_ms: TimeMs,
    asks: usize,
}

impl KnownVms {
    /// Takes a list that was right at `as_of_ms`, unless a newer one is known. Returns whether it
    /// was taken.
    pub(super) fn take(&mut self, list: Arc<VmList>, as_of_ms: TimeMs) -> bool {
        if self.list.is_some() && as_of_ms <= self.as_of_ms {
            return false;
        }
        self.list = Some(list);
        self.as_of_ms = as_of_ms;
        true
    }

    /// The list with its age; none when nothing is known.
    pub(super) fn newest(&self, now: TimeMs) -> Option<(&VmList, DurationMs)> {
        let list = self.list.as_deref()?;
        Some((list, now.since(self.as_of_ms)))
    }

    /// Whether another entry VM is to be asked now, and the how-manieth ask it is.
    pub(super) fn ask_due(&mut self, now: TimeMs) -> Option<usize> {
        let fresh = self.list.is_some() && now.since(self.as_of_ms) < STALE_MS;
        if fresh || now.since(self.asked_at_ms) < ASK_INTERVAL_MS {
            return None;
        }
        self.asked_at_ms = now;
        self.asks += 1;
        Some(self.asks)
    }
}
