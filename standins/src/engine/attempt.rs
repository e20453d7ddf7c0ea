//! Attempts on an engine.

use {
    super::wire::{LoadNow, StreamEvent},
    crate::log::LogIndex,
    bytes::Bytes,
    cactusspur_core::{
        AttemptId, BYTES_PER_TOKEN, CustomerId, Incarnation, PIECE_TOKENS, PieceHash,
    },
    ntex::channel::mpsc::Sender,
    std::{io, time::Instant},
};

/// The place of an attempt in the order of work: by priority, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn {
    pub(super) priority: u32,
    pub(super) arrival: u64,
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Kept pieces are being imported.
    Importing,
    /// It waits for its turn.
    Waiting,
    /// Its prompt is being computed.
    Prefill,
    /// Its answer is being generated.
    Decode,
}

/// An attempt that is queued or running.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) customer: CustomerId,
    pub(super) stage: Stage,
    /// Since when it waits for its turn.
    pub(super) ready_at: Instant,
    /// The whole pieces of its prompt.
    pub(super) prompt: Vec<PieceHash>,
    pub(super) prompt_tokens: u64,
    /// Tokens that were delivered by an earlier attempt and count as prompt.
    pub(super) delivered_tokens: u64,
    /// Tokens that are still to be computed before its answer.
    pub(super) left_tokens: u64,
    pub(super) answer: String,
    /// The bytes of the answer that are delivered or sent.
    pub(super) sent_bytes: usize,
    pub(super) export: Vec<PieceHash>,
    pub(super) log: Option<LogIndex>,
    pub(super) events: Sender<Result<Bytes, io::Error>>,
}

impl Attempt {
    /// The tokens to compute when `cached` pieces of the prompt are cached. The last token is
    /// always computed, since the answer starts from it.
    pub(super) fn uncached_tokens(&self, cached: usize) -> u64 {
        let cached_tokens = cached as u64 * PIECE_TOKENS;
        let tokens = self.prompt_tokens + self.delivered_tokens;
        tokens.saturating_sub(cached_tokens).max(1)
    }

    /// The pieces of its prompt that are computed or cached by now.
    pub(super) fn computed(&self) -> &[PieceHash] {
        let left_tokens = self.left_tokens.saturating_sub(self.delivered_tokens);
        let done_tokens = self.prompt_tokens.saturating_sub(left_tokens);
        let done = usize::try_from(done_tokens / PIECE_TOKENS).unwrap_or(usize::MAX);
        &self.prompt[..done.min(self.prompt.len())]
    }

    /// Whether it holds a slot.
    pub(super) fn holds_slot(&self) -> bool {
        matches!(self.stage, Stage::Prefill | Stage::Decode)
    }

    /// Takes the next token of the answer; none at its end.
    pub(super) fn next_piece(&mut self) -> Option<StreamEvent> {
        if self.sent_bytes >= self.answer.len() {
            return None;
        }
        let offset_bytes = self.sent_bytes;
        let end = (offset_bytes / BYTES_PER_TOKEN + 1) * BYTES_PER_TOKEN;
        self.sent_bytes = end.min(self.answer.len());
        Some(StreamEvent::Piece {
            attempt_id: self.id,
            offset_bytes,
            text: self.answer[offset_bytes..self.sent_bytes].to_owned(),
        })
    }

    /// The end of the answer.
    pub(super) fn finished(&self, incarnation: Incarnation, load: LoadNow) -> StreamEvent {
        StreamEvent::Finished {
            attempt_id: self.id,
            answer_bytes: self.answer.len(),
            answer_tokens: (self.answer.len() / BYTES_PER_TOKEN) as u64,
            incarnation,
            load,
        }
    }

    pub(super) fn send(&self, event: &StreamEvent) {
        self.events.send(Ok(event.encode())).ok();
    }
}
