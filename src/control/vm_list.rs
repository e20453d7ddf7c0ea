//! The newest known list of VMs, from the platform or from another entry VM.
//!
//! A process that starts while the platform is unreachable learns of the workers this way.

use {
    cactusspur_core::{DurationMs, TimeMs, VmList},
    std::sync::Arc,
};

/// The age at which the list is requested from another entry VM.
const STALE_AFTER_MS: DurationMs = DurationMs(2_000);
/// The shortest time between two requests.
const REQUEST_INTERVAL_MS: DurationMs = DurationMs(500);

/// The newest known list of VMs.
#[derive(Debug, Default)]
pub(super) struct KnownVms {
    list: Option<Arc<VmList>>,
    as_of_ms: TimeMs,
    requested_at_ms: TimeMs,
    request_count: usize,
}

impl KnownVms {
    /// Replaces the list by one that was current at `as_of_ms`, unless a newer one is known.
    /// Returns whether it was replaced.
    pub(super) fn update(&mut self, list: Arc<VmList>, as_of_ms: TimeMs) -> bool {
        if self.list.is_some() && as_of_ms <= self.as_of_ms {
            return false;
        }
        self.list = Some(list);
        self.as_of_ms = as_of_ms;
        true
    }

    /// The list with its age; `None` if no list is known.
    pub(super) fn newest(&self, now: TimeMs) -> Option<(&VmList, DurationMs)> {
        let list = self.list.as_deref()?;
        Some((list, now.since(self.as_of_ms)))
    }

    /// Starts a request to another entry VM if one is due. Returns the number of requests so far,
    /// or `None` if no request is due.
    pub(super) fn next_request(&mut self, now: TimeMs) -> Option<usize> {
        let is_fresh = self.list.is_some() && now.since(self.as_of_ms) < STALE_AFTER_MS;
        if is_fresh || now.since(self.requested_at_ms) < REQUEST_INTERVAL_MS {
            return None;
        }
        self.requested_at_ms = now;
        self.request_count += 1;
        Some(self.request_count)
    }
}
