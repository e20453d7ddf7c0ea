//! The state of an attempt that an engine has accepted.

use {
    super::wire::{CurrentLoad, StreamEvent},
    crate::log::LogIndex,
    bytes::Bytes,
    cactusspur_core::{
        AttemptId, BYTES_PER_TOKEN, CustomerId, Incarnation, PIECE_TOKENS, PieceHash,
    },
    ntex::channel::mpsc::Sender,
    std::{io, time::Instant},
};

/// Sort key of an attempt in the queue: attempts run in the order of priority, then of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) priority: u32,
    pub(super) arrival: u64,
}

/// Processing stage of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Cached pieces are being imported from the KV cache store.
    Importing,
    /// The attempt waits for a slot.
    Waiting,
    /// The prompt is being computed.
    Prefill,
    /// The answer is being generated.
    Decode,
}

/// An attempt that is queued or running.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) customer: CustomerId,
    pub(super) stage: Stage,
    /// When the attempt became ready for prefill.
    pub(super) ready_at: Instant,
    /// The complete pieces of the prompt; a partial last piece is left out.
    pub(super) prompt: Vec<PieceHash>,
    pub(super) prompt_tokens: u64,
    /// Answer tokens that an earlier attempt delivered. They have to be computed like prompt tokens.
    pub(super) delivered_tokens: u64,
    /// Tokens still to compute before the first token of the answer.
    pub(super) remaining_tokens: u64,
    pub(super) answer: String,
    /// Bytes of the answer that an earlier attempt delivered or this one has sent.
    pub(super) sent_bytes: usize,
    pub(super) export_pieces: Vec<PieceHash>,
    pub(super) log_index: Option<LogIndex>,
    pub(super) events: Sender<Result<Bytes, io::Error>>,
}

impl Attempt {
    /// Returns the number of tokens to compute if `cached` pieces of the prompt are cached. The
    /// last token is always computed, since generation starts from it.
    pub(super) fn uncached_tokens(&self, cached: usize) -> u64 {
        let cached_tokens = cached as u64 * PIECE_TOKENS;
        let tokens = self.prompt_tokens + self.delivered_tokens;
        tokens.saturating_sub(cached_tokens).max(1)
    }

    /// Returns the pieces of the prompt that are already computed or cached.
    pub(super) fn computed_pieces(&self) -> &[PieceHash] {
        let remaining_tokens = self.remaining_tokens.saturating_sub(self.delivered_tokens);
        let done_tokens = self.prompt_tokens.saturating_sub(remaining_tokens);
        let done = usize::try_from(done_tokens / PIECE_TOKENS).unwrap_or(usize::MAX);
        &self.prompt[..done.min(self.prompt.len())]
    }

    /// Whether the attempt occupies a slot.
    pub(super) fn holds_slot(&self) -> bool {
        matches!(self.stage, Stage::Prefill | Stage::Decode)
    }

    /// Advances by one token and returns its event, or `None` at the end of the answer.
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

    /// Returns the event that ends the stream.
    pub(super) fn finished_event(
        &self,
        incarnation: Incarnation,
        load: CurrentLoad,
    ) -> StreamEvent {
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
