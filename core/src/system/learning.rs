//! Learns from how attempts turn out: what is cached where, how late workers are, how much work
//! the levels of prompts bring.

use {
    super::home::Home,
    crate::{
        core::Core,
        id::RequestId,
        prefix::PIECE_TOKENS,
        request::{Attempt, Expectation},
        unit::Tokens,
        worker::Worker,
    },
};

/// Notes that a request's attempt was sent: its prompt will be cached there.
pub fn record_sent(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(attempt) = attempt(core, id) else {
        return;
    };
    let Some(scope) = attempt.scope else {
        return;
    };
    let (worker, expected) = (attempt.worker, attempt.expected.clone());
    core.cache.insert_prompt(worker, &expected.chain, now);
    let share_ms = core.workers.get(&worker).map(Worker::answer_ms_per_slot);
    let work_ms = expected.work_ms + share_ms.unwrap_or_default();
    let home = Home::of(core, &expected.chain, scope.model);
    core.demand.record(home.level, work_ms, core.entry_vms, now);
    if home.first_level != home.level {
        core.demand
            .record(home.first_level, work_ms, core.entry_vms, now);
    }
    core.exported_pieces
        .record_exported(&expected.chain, expected.exported_pieces, now);
}

/// Learns from what a worker says was cached.
pub fn record_accepted(core: &mut Core, id: RequestId, cached_tokens: Tokens) {
    let now = core.now;
    note_progress(core, id);
    let Some(attempt) = attempt(core, id) else {
        return;
    };
    let (worker, expected) = (attempt.worker, attempt.expected.clone());
    let cached = usize::try_from(cached_tokens.0 / PIECE_TOKENS).unwrap_or(usize::MAX);
    if cached < expected.imported_pieces {
        core.exported_pieces.record_missing(&expected.chain, cached);
    } else if expected.imported_pieces == 0 {
        let age_ms = expected.cache_age_ms;
        core.cache
            .adjust_retention(worker, expected.cached_pieces, age_ms, cached);
    }
    note_home(core, &expected, cached);
    core.cache.insert_prompt(worker, &expected.chain, now);
}

/// Learns how often the home has the home level although it isn't known to.
fn note_home(core: &mut Core, expected: &Expectation, cached: usize) {
    let known = expected
        .cached_pieces
        .max(expected.imported_pieces)
        .max(expected.first_level_pieces);
    let unknown = expected.home_level_pieces.saturating_sub(known);
    if unknown == 0 || cached < expected.first_level_pieces {
        return;
    }
    let found = cached.saturating_sub(known).min(unknown);
    let permille = found as u64 * 1_000 / unknown as u64;
    core.home_hits_permille = (core.home_hits_permille * 31 + permille) / 32;
}

fn note_progress(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(worker) = attempt(core, id).map(|attempt| attempt.worker) else {
        return;
    };
    if let Some(worker) = core.workers.get_mut(&worker) {
        worker.progress_at_ms = now;
    }
}

/// Learns from the time that the first piece of an answer took. Returns the attempt the first time.
pub fn record_first_piece(core: &mut Core, id: RequestId) -> Option<Attempt> {
    let now = core.now;
    note_progress(core, id);
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

/// Learns from an answer that came to its end.
pub fn record_answer(core: &mut Core, id: RequestId) {
    let now = core.now;
    note_progress(core, id);
    let Some(attempt) = attempt(core, id) else {
        return;
    };
    let held_ms = match attempt.expected.streaming_since_ms {
        Some(since_ms) => now.since(since_ms) + attempt.expected.work_ms,
        None => now.since(attempt.sent_at_ms),
    };
    let worker = attempt.worker;
    if let Some(worker) = core.workers.get_mut(&worker) {
        worker.record_answer(held_ms);
    }
}

/// Learns from an attempt that failed.
pub fn record_failure(core: &mut Core, id: RequestId) {
    let now = core.now;
    let Some(worker) = attempt(core, id).map(|attempt| attempt.worker) else {
        return;
    };
    if let Some(worker) = core.workers.get_mut(&worker) {
        worker.record_failure(now);
    }
}

/// Takes in that an attempt has ended, however. When its prompt was not computed, it takes back
/// what was believed of it.
pub fn record_end(core: &mut Core, attempt: &Attempt) {
    let now = core.now;
    let expected = &attempt.expected;
    let computed = expected.streaming_since_ms.is_some();
    if let Some(worker) = core.workers.get_mut(&attempt.worker) {
        worker.record_end(attempt.sent_at_ms, attempt.uncached_tokens);
        if !computed {
            worker.remove_backlog(attempt.uncached_tokens, now);
        }
    }
    if computed {
        return;
    }
    let from = expected.cached_pieces;
    core.cache
        .remove_tail(attempt.worker, &expected.chain, from);
    if expected.exported_pieces > 0 {
        core.exported_pieces.record_missing(&expected.chain, 0);
    }
}

fn attempt(core: &Core, id: RequestId) -> Option<&Attempt> {
    core.requests.get(&id)?.attempt.as_ref()
}
