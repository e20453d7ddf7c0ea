//! Updates the estimates behind placement from the outcome of attempts: what each worker caches,
//! how far predictions are off, and the load of each prompt level.

use {
    super::home::PromptHome,
    crate::{
        core::Core,
        id::RequestId,
        prefix::PIECE_TOKENS,
        request::{Attempt, Expectation},
        unit::Tokens,
        worker::Worker,
    },
};

/// Records a sent attempt: its prompt counts as cached on the worker and as load of its levels.
pub fn record_sent(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(attempt) = current_attempt(core, id) else {
        return;
    };
    let Some(scope) = attempt.scope else {
        return;
    };
    let (worker, expected) = (attempt.worker, attempt.expected.clone());
    core.cache.insert_prompt(worker, &expected.chain, now);
    let answer_ms = core.workers.get(&worker).map(Worker::answer_ms_per_slot);
    let work_ms = expected.work_ms + answer_ms.unwrap_or_default();
    let home = PromptHome::new(core, &expected.chain, scope.model);
    core.demand
        .record(home.home_level, work_ms, core.entry_vms, now);
    if home.first_level != home.home_level {
        core.demand
            .record(home.first_level, work_ms, core.entry_vms, now);
    }
    core.exported_pieces
        .record_exported(&expected.chain, expected.exported_pieces, now);
}

/// Compares the cached tokens that a worker reports with the estimate and corrects the latter.
pub fn record_accepted(core: &mut Core, id: RequestId, cached_tokens: Tokens) {
    let now = core.now;
    record_progress(core, id);
    let Some(attempt) = current_attempt(core, id) else {
        return;
    };
    let (worker, expected) = (attempt.worker, attempt.expected.clone());
    let cached_pieces = usize::try_from(cached_tokens.0 / PIECE_TOKENS).unwrap_or(usize::MAX);
    if cached_pieces < expected.imported_pieces {
        core.exported_pieces
            .record_missing(&expected.chain, cached_pieces);
    } else if expected.imported_pieces == 0 {
        let age_ms = expected.cache_age_ms;
        core.cache
            .adjust_retention(worker, expected.cached_pieces, age_ms, cached_pieces);
    }
    record_home_hits(core, &expected, cached_pieces);
    core.cache.insert_prompt(worker, &expected.chain, now);
}

/// Updates the share of home levels found cached on home workers without this entry VM knowing it.
fn record_home_hits(core: &mut Core, expected: &Expectation, cached_pieces: usize) {
    let known_pieces = expected
        .cached_pieces
        .max(expected.imported_pieces)
        .max(expected.first_level_pieces);
    let unknown_pieces = expected.home_level_pieces.saturating_sub(known_pieces);
    if unknown_pieces == 0 || cached_pieces < expected.first_level_pieces {
        return;
    }
    let found_pieces = cached_pieces
        .saturating_sub(known_pieces)
        .min(unknown_pieces);
    let permille = found_pieces as u64 * 1_000 / unknown_pieces as u64;
    core.home_hits_permille = (core.home_hits_permille * 31 + permille) / 32;
}

fn record_progress(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(worker) = current_attempt(core, id).map(|attempt| attempt.worker) else {
        return;
    };
    if let Some(worker) = core.workers.get_mut(&worker) {
        worker.progress_at_ms = now;
    }
}

/// Records the time to the first piece of an answer. Returns the attempt for its first piece,
/// `None` for later ones.
pub fn record_first_piece(core: &mut Core, id: RequestId) -> Option<Attempt> {
    let now = core.now;
    record_progress(core, id);
    let attempt = core.requests.get_mut(&id)?.attempt.as_mut()?;
    if attempt.expected.streaming_since_ms.is_some() {
        return None;
    }
    attempt.expected.streaming_since_ms = Some(now);
    let observed_ms = now.since(attempt.sent_at_ms);
    let predicted_ms = attempt.expected.uncorrected_ms;
    let attempt = attempt.clone();
    if let Some(worker) = core.workers.get_mut(&attempt.worker) {
        worker.record_first_token(predicted_ms, observed_ms);
    }
    Some(attempt)
}

/// Records how long a completed answer held the worker.
pub fn record_answer(core: &mut Core, id: RequestId) {
    let now = core.now;
    record_progress(core, id);
    let Some(attempt) = current_attempt(core, id) else {
        return;
    };
    let slot_held_ms = match attempt.expected.streaming_since_ms {
        Some(since_ms) => now.since(since_ms) + attempt.expected.work_ms,
        None => now.since(attempt.sent_at_ms),
    };
    let worker = attempt.worker;
    if let Some(worker) = core.workers.get_mut(&worker) {
        worker.record_answer(slot_held_ms);
    }
}

/// Records a failed attempt, which makes the worker back off.
pub fn record_failure(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(worker) = current_attempt(core, id).map(|attempt| attempt.worker) else {
        return;
    };
    if let Some(worker) = core.workers.get_mut(&worker) {
        worker.record_failure(now);
    }
}

/// Records the end of an attempt, whatever its outcome. If its prompt was not computed, the backlog
/// and the cache estimates that assumed so are reverted.
pub fn record_end(core: &mut Core, attempt: &Attempt) {
    let now = core.now;
    let expected = &attempt.expected;
    let is_computed = expected.streaming_since_ms.is_some();
    if let Some(worker) = core.workers.get_mut(&attempt.worker) {
        worker.record_end(attempt.sent_at_ms, attempt.uncached_tokens);
        if !is_computed {
            worker.remove_backlog(attempt.uncached_tokens, now);
        }
    }
    if is_computed {
        return;
    }
    let cached_pieces = expected.cached_pieces;
    core.cache
        .remove_tail(attempt.worker, &expected.chain, cached_pieces);
    if expected.exported_pieces > 0 {
        core.exported_pieces.record_missing(&expected.chain, 0);
    }
}

fn current_attempt(core: &Core, id: RequestId) -> Option<&Attempt> {
    core.requests.get(&id)?.attempt.as_ref()
}
