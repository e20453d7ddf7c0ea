//! Suspected requests in progress, which run apart from each other.

use {
    super::{identity::RequestDigest, report::TrialNotice},
    crate::{
        id::WorkerId,
        unit::{DurationMs, TimeMs},
    },
};

/// Trials that are kept. Without room for another one, a request is sent like one that isn't suspected.
const MAX_TRIALS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Trial {
    digest: RequestDigest,
    worker: WorkerId,
    ends_at_ms: TimeMs,
}

/// The trials of all gateways, as far as known.
#[derive(Clone, Debug, Default)]
pub(super) struct Trials {
    rows: Vec<Trial>,
}

impl Trials {
    /// Records that a trial begins, or with no time left that it has ended.
    pub(super) fn apply(&mut self, notice: &TrialNotice, now: TimeMs) {
        self.rows.retain(|row| {
            row.ends_at_ms > now && (row.digest, row.worker) != (notice.digest, notice.worker)
        });
        if notice.left_ms > DurationMs(0) && self.rows.len() < MAX_TRIALS {
            self.rows.push(Trial {
                digest: notice.digest,
                worker: notice.worker,
                ends_at_ms: now.after(notice.left_ms),
            });
        }
    }

    /// Whether a request is on trial at some server.
    pub(super) fn has(&self, digest: RequestDigest, now: TimeMs) -> bool {
        let mut rows = self.rows.iter();
        rows.any(|row| row.digest == digest && row.ends_at_ms > now)
    }

    /// Whether another trial goes before this one: of another request at the same server, or of the same
    /// one at another server.
    pub(super) fn has_precedent(&self, trial: &TrialNotice, now: TimeMs) -> bool {
        let mut running = self.rows.iter().filter(|row| row.ends_at_ms > now);
        running.any(|row| {
            let is_same_server = row.worker == trial.worker && row.digest < trial.digest;
            is_same_server || (row.digest == trial.digest && row.worker < trial.worker)
        })
    }

    /// The servers at which requests are on trial.
    pub(super) fn servers(&self, now: TimeMs) -> Vec<WorkerId> {
        let running = self.rows.iter().filter(|row| row.ends_at_ms > now);
        running.map(|row| row.worker).collect()
    }
}
