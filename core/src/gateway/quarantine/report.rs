//! What gateways tell each other about crashes.

use {
    super::identity::{Culprit, RequestDigest, RequestIdentity, Trigger},
    crate::{id::WorkerId, unit::DurationMs},
    serde::{Deserialize, Serialize},
};

/// Rows of each kind in a merged report.
const MAX_MERGED: usize = 48;
/// Requests of one crash in a merged report.
const MAX_MERGED_REQUESTS: usize = 16;

/// A request that ran when its server crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccusedRequest {
    /// The request.
    pub request: RequestIdentity,
    /// How long it had been at the server.
    pub ran_ms: DurationMs,
}

/// A crash of a backend server while it ran requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The server.
    pub worker: WorkerId,
    /// The start of the server's incarnation that crashed, by its own description.
    pub started_at_ms: u64,
    /// The time since the crash.
    pub age_ms: DurationMs,
    /// The requests that may have caused it.
    pub requests: Vec<AccusedRequest>,
}

impl CrashReport {
    fn is_same(&self, other: &Self) -> bool {
        self.worker == other.worker && self.started_at_ms == other.started_at_ms
    }
}

/// Requests that are refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// What the refused requests have in common.
    pub culprit: Culprit,
    /// The time since the last crash that it explains.
    pub age_ms: DurationMs,
}

/// That an answer got past what crashes were blamed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassReport {
    /// What crashes were blamed on.
    pub trigger: Trigger,
    /// The time since.
    pub age_ms: DurationMs,
}

/// That a suspected request is at a server, or no longer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNotice {
    /// The request.
    pub digest: RequestDigest,
    /// The server.
    pub worker: WorkerId,
    /// The time that it may take at the most; 0 when it has ended.
    pub left_ms: DurationMs,
}

/// What gateways tell each other about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Crashes that no quarantine explains.
    pub crashes: Vec<CrashReport>,
    /// Quarantines.
    pub quarantines: Vec<QuarantineNotice>,
    /// What answers got past.
    pub passes: Vec<PassReport>,
    /// Suspected requests in progress.
    pub trials: Vec<TrialNotice>,
}

impl QuarantineReport {
    /// Whether there is nothing to report.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.quarantines.is_empty()
            && self.passes.is_empty()
            && self.trials.is_empty()
    }

    /// Adds another report. Rows beyond the size of a report are dropped; a later report repeats them.
    pub fn merge(&mut self, other: Self) {
        for crash in other.crashes {
            if let Some(known) = self.crashes.iter_mut().find(|row| row.is_same(&crash)) {
                for accused in crash.requests {
                    let is_known = known
                        .requests
                        .iter()
                        .any(|row| row.request == accused.request);
                    if !is_known && known.requests.len() < MAX_MERGED_REQUESTS {
                        known.requests.push(accused);
                    }
                }
            } else if self.crashes.len() < MAX_MERGED {
                self.crashes.push(crash);
            }
        }
        for notice in other.quarantines {
            let is_known = self
                .quarantines
                .iter()
                .any(|row| row.culprit == notice.culprit);
            if !is_known && self.quarantines.len() < MAX_MERGED {
                self.quarantines.push(notice);
            }
        }
        for pass in other.passes {
            let known = self
                .passes
                .iter_mut()
                .find(|row| row.trigger == pass.trigger);
            if let Some(known) = known {
                known.age_ms = pass.age_ms.min(known.age_ms);
            } else if self.passes.len() < MAX_MERGED {
                self.passes.push(pass);
            }
        }
        for trial in other.trials {
            // The newest word on a request at a server is the last one.
            let known = self.trials.iter_mut();
            let known =
                known.filter(|row| row.digest == trial.digest && row.worker == trial.worker);
            if let Some(known) = known.last() {
                *known = trial;
            } else if self.trials.len() < MAX_MERGED {
                self.trials.push(trial);
            }
        }
    }
}
