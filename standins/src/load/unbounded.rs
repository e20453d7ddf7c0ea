//! What one shared cache without bounds would have had of each prompt.

use {
    crate::load::schedule::{Planned, Schedule},
    cactusspur_core::{PIECE_TOKENS, PieceHash, PrefixChain, PrefixScope, tokens_of_bytes},
    std::collections::BTreeSet,
};

/// The tokens of one prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptTokens {
    /// All of them.
    pub prompt: u64,
    /// Those that an unbounded cache shared by all workers has when the prompt is sent.
    pub cached: u64,
}

/// The tokens of each request of a schedule, zero for plain services. A prompt's pieces count as
/// cached for every later request.
#[must_use]
pub fn unbounded(schedule: &Schedule) -> Vec<PromptTokens> {
    let mut seen = BTreeSet::new();
    schedule
        .requests
        .iter()
        .map(|request| account(schedule, request, &mut seen))
        .collect()
}

fn account(schedule: &Schedule, request: &Planned, seen: &mut BTreeSet<PieceHash>) -> PromptTokens {
    if schedule.workload.classes()[request.class].service.is_some() {
        return PromptTokens::default();
    }
    let chain = chain(schedule, request);
    let known = chain
        .pieces
        .iter()
        .take_while(|piece| seen.contains(piece))
        .count();
    seen.extend(chain.pieces.iter().skip(known));
    PromptTokens {
        prompt: prompt_tokens(request),
        cached: known as u64 * PIECE_TOKENS,
    }
}

/// The tokens of a request's prompt.
#[must_use]
pub fn prompt_tokens(request: &Planned) -> u64 {
    let bytes: usize = request.levels.iter().map(|level| level.len()).sum();
    tokens_of_bytes(bytes).0
}

/// The chain of hashes of a request's prompt.
#[must_use]
pub fn chain(schedule: &Schedule, request: &Planned) -> PrefixChain {
    let model = schedule.workload.model();
    let scope = PrefixScope {
        customer: schedule.workload.customer_id(request.customer),
        model: model.id(),
        weights: model.weights_version,
    };
    let levels: Vec<&[u8]> = request
        .levels
        .iter()
        .map(|level| level.as_bytes())
        .collect();
    PrefixChain::from_levels(scope, &levels)
}
