//! What entry VMs tell each other of their load.

use {
    cactusspur_core::{Tokens, WorkerId},
    serde::{Deserialize, Serialize},
    std::cmp::Reverse,
};

/// Work that an entry VM has sent to a worker since that worker's last report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentWork {
    /// The worker.
    pub worker: WorkerId,
    /// Prompt tokens that it has to compute.
    pub tokens: Tokens,
}

/// What an entry VM does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests in progress.
    pub in_progress: u64,
    /// Its own sends to the workers that got most, [`LoadSummary::MAX_SENDS`] at the most.
    pub sends: Vec<SentWork>,
}

impl LoadSummary {
    /// The workers that a summary names at the most.
    pub const MAX_SENDS: usize = 8;

    /// A summary of all own sends: the largest are kept.
    #[must_use]
    pub fn new(in_progress: u64, mut sends: Vec<SentWork>) -> Self {
        sends.sort_unstable_by_key(|send| Reverse((send.tokens, send.worker)));
        sends.truncate(Self::MAX_SENDS);
        Self { in_progress, sends }
    }
}
