//! The load that entry VMs report to each other.

use {
    cactusspur_core::{Tokens, WorkerId},
    serde::{Deserialize, Serialize},
    std::cmp::Reverse,
};

/// Work that an entry VM has sent to a worker since that worker's last report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentWork {
    /// The worker that received the work.
    pub worker: WorkerId,
    /// Prompt tokens that the worker has to compute.
    pub tokens: Tokens,
}

/// The load of an entry VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests in progress.
    pub in_progress: u64,
    /// The work sent to the workers that received the most, up to [`LoadSummary::MAX_SENDS`]
    /// workers.
    pub sends: Vec<SentWork>,
}

impl LoadSummary {
    /// The most workers that a summary contains.
    pub const MAX_SENDS: usize = 8;

    /// Summarizes the work sent to all workers: only the largest amounts are kept.
    #[must_use]
    pub fn new(in_progress: u64, mut sends: Vec<SentWork>) -> Self {
        sends.sort_unstable_by_key(|send| Reverse((send.tokens, send.worker)));
        sends.truncate(Self::MAX_SENDS);
        Self { in_progress, sends }
    }
}
