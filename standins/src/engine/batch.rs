//! Continuous batching: prompts are computed one chunk after the other in the order of priority,
//! and all answers in progress gain a token with each decode step.

use {
    super::{
        attempt::{Attempt, Stage, Turn},
        cache::{CacheEvents, PieceCache},
        wire::{LoadNow, StreamEvent},
    },
    crate::{
        fault::{Draws, WorkerFaults},
        log::{Log, LogEntry},
        server::now_ms,
    },
    cactusspur_core::{AttemptId, CacheChange, Incarnation, PIECE_TOKENS, PieceHash, VecMap},
    serde::Serialize,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// The prompt tokens that are computed before another attempt may come between.
const CHUNK_TOKENS: u64 = 512;
/// How late work may be and still be scheduled as if it were on time.
const MAX_CATCH_UP: Duration = Duration::from_millis(200);
/// The pieces that are remembered, to be sent late on other streams.
const MAX_LATE_PIECES: usize = 64;
/// The shortest time between two decode steps.
const MIN_STEP: Duration = Duration::from_micros(100);
const SECOND_US: u64 = 1_000_000;

/// How quickly an engine computes, and how much it holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchSettings {
    pub(super) slots: usize,
    pub(super) queue: usize,
    pub(super) prefill_rate: u64,
    pub(super) decode_interval_ms: u64,
    pub(super) cache_pieces: usize,
    pub(super) seed: u64,
}

/// What an engine has computed since it started.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Stats {
    attempts: u64,
    finished: u64,
    cancelled: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    computed_tokens: u64,
    answer_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Chunk {
    turn: Turn,
    tokens: u64,
    ends_at: Instant,
}

/// The work of an engine.
pub(super) struct Batch {
    settings: BatchSettings,
    draws: Draws,
    attempts: VecMap<Turn, Attempt>,
    arrivals: u64,
    chunk: Option<Chunk>,
    prefill_free_at: Instant,
    step_at: Option<Instant>,
    late_pieces: VecDeque<(AttemptId, StreamEvent)>,
    exports: Vec<PieceHash>,
    pub(super) incarnation: Incarnation,
    pub(super) cache: PieceCache,
    pub(super) events: CacheEvents,
    pub(super) faults: WorkerFaults,
    pub(super) log: Log,
    pub(super) stats: Stats,
}

impl Batch {
    pub(super) fn open(settings: BatchSettings) -> Self {
        Self {
            settings,
            draws: Draws::open(settings.seed),
            attempts: VecMap::default(),
            arrivals: 0,
            chunk: None,
            prefill_free_at: Instant::now(),
            step_at: None,
            late_pieces: VecDeque::new(),
            exports: Vec::new(),
            incarnation: Incarnation(rand::random()),
            cache: PieceCache::open(settings.cache_pieces),
            events: CacheEvents::default(),
            faults: WorkerFaults::default(),
            log: Log::default(),
            stats: Stats::default(),
        }
    }

    /// Loses all work and the cache, and starts another incarnation.
    pub(super) fn crash(&mut self) {
        let turns: Vec<Turn> = self.attempts.iter().map(|(turn, _)| *turn).collect();
        for turn in turns {
            self.cancel(turn);
        }
        self.cache = PieceCache::open(self.settings.cache_pieces);
        self.events = CacheEvents::default();
        self.incarnation = Incarnation(rand::random());
    }

    /// Whether no more attempts are taken.
    pub(super) fn is_full(&self) -> bool {
        self.attempts.len() >= self.settings.slots + self.settings.queue
    }

    /// Takes an attempt on.
    pub(super) fn add(&mut self, priority: u32, mut attempt: Attempt) -> Turn {
        self.arrivals += 1;
        let turn = Turn {
            priority,
            arrival: self.arrivals,
        };
        attempt.left_tokens = attempt.uncached_tokens(self.cache.cached(&attempt.prompt));
        self.attempts.insert(turn, attempt);
        turn
    }

    /// Caches the first pieces of an attempt's prompt, which were imported, and queues it.
    pub(super) fn imported(&mut self, turn: Turn, pieces: usize) {
        let Some(attempt) = self.attempts.get_mut(&turn) else {
            return;
        };
        attempt.stage = Stage::Waiting;
        attempt.ready_at = Instant::now();
        let prompt = attempt.prompt[..pieces].to_vec();
        self.store(&prompt);
    }

    /// Drops an attempt, if it is still there.
    pub(super) fn cancel(&mut self, turn: Turn) {
        let Some(attempt) = self.attempts.remove(&turn) else {
            return;
        };
        self.stats.cancelled += 1;
        if let Some(index) = attempt.log {
            self.log.cancel(index);
        }
        if self.chunk.is_some_and(|chunk| chunk.turn == turn) {
            self.chunk = None;
            self.prefill_free_at = Instant::now();
        }
    }

    /// Drops the attempts with this id.
    pub(super) fn cancel_id(&mut self, id: AttemptId) {
        let turns: Vec<Turn> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.id == id)
            .map(|(turn, _)| *turn)
            .collect();
        for turn in turns {
            self.cancel(turn);
        }
    }

    /// Prompt tokens that wait to be computed.
    pub(super) fn queued_tokens(&self) -> u64 {
        self.attempts
            .iter()
            .map(|(_, attempt)| attempt.left_tokens)
            .sum()
    }

    /// Attempts that are queued or running.
    pub(super) fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Takes the pieces that are to be exported by now.
    pub(super) fn take_exports(&mut self) -> Vec<PieceHash> {
        std::mem::take(&mut self.exports)
    }

    /// Does what is due, and says when something is due next.
    pub(super) fn advance(&mut self, now: Instant) -> Option<Instant> {
        loop {
            let stepped = self.decode_step(now);
            let ended = self.end_chunk(now);
            self.start_chunk(now);
            if !stepped && !ended {
                break;
            }
        }
        let chunk_at = self.chunk.map(|chunk| chunk.ends_at);
        [chunk_at, self.step_at].into_iter().flatten().min()
    }

    fn start_chunk(&mut self, now: Instant) {
        if self.chunk.is_some() {
            return;
        }
        let Some(turn) = self.next_turn() else {
            return;
        };
        self.start_prefill(turn);
        let Some(attempt) = self.attempts.get(&turn) else {
            return;
        };
        let tokens = attempt.left_tokens.min(CHUNK_TOKENS);
        let time_us = tokens * SECOND_US / self.settings.prefill_rate.max(1);
        let time = self.faults.stretch(Duration::from_micros(time_us));
        let starts_at = on_time(self.prefill_free_at.max(attempt.ready_at), now);
        let ends_at = starts_at + time;
        self.chunk = Some(Chunk {
            turn,
            tokens,
            ends_at,
        });
    }

    /// The first attempt in order with tokens to compute, which holds a slot or can have one.
    fn next_turn(&self) -> Option<Turn> {
        let holding = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.holds_slot())
            .count();
        let slot_free = holding < self.settings.slots;
        self.attempts
            .iter()
            .find(|(_, attempt)| match attempt.stage {
                Stage::Prefill => true,
                Stage::Waiting => slot_free,
                Stage::Importing | Stage::Decode => false,
            })
            .map(|(turn, _)| *turn)
    }

    /// The load now.
    fn load_now(&self) -> LoadNow {
        LoadNow {
            observed_at_ms: now_ms(),
            queued_tokens: self.queued_tokens(),
            running: self.running(),
        }
    }

    /// Starts to compute the prompt of an attempt that waits.
    fn start_prefill(&mut self, turn: Turn) {
        let load = self.load_now();
        let Some(attempt) = self.attempts.get_mut(&turn) else {
            return;
        };
        if attempt.stage != Stage::Waiting {
            return;
        }
        let cached = self.cache.cached(&attempt.prompt);
        let cached_tokens = cached as u64 * PIECE_TOKENS;
        attempt.stage = Stage::Prefill;
        attempt.left_tokens = attempt.uncached_tokens(cached);
        attempt.log = Some(self.log.push(LogEntry {
            attempt_id: Some(attempt.id),
            key: None,
            customer: Some(attempt.customer),
            started_ms: now_ms(),
            finished: false,
            cancelled: false,
        }));
        attempt.send(&StreamEvent::Accepted {
            attempt_id: attempt.id,
            incarnation: self.incarnation,
            prompt_tokens: attempt.prompt_tokens,
            cached_tokens,
            load,
        });
        self.stats.attempts += 1;
        self.stats.prompt_tokens += attempt.prompt_tokens;
        self.stats.cached_tokens += cached_tokens;
        let used = attempt.prompt[..cached].to_vec();
        self.store(&used);
    }

    fn end_chunk(&mut self, now: Instant) -> bool {
        let Some(chunk) = self.chunk.take_if(|chunk| chunk.ends_at <= now) else {
            return false;
        };
        self.prefill_free_at = chunk.ends_at;
        self.stats.computed_tokens += chunk.tokens;
        let Some(attempt) = self.attempts.get_mut(&chunk.turn) else {
            return true;
        };
        let before = attempt.computed().len();
        attempt.left_tokens -= chunk.tokens;
        let done = attempt.left_tokens == 0;
        // The whole prompt is used once more at the end, so that its end is evicted first.
        let from = if done { 0 } else { before };
        let computed = attempt.computed()[from..].to_vec();
        self.store(&computed);
        if done {
            self.start_decode(chunk.turn, now);
        }
        true
    }

    /// The end of the prompt's computation gives the first token.
    fn start_decode(&mut self, turn: Turn, now: Instant) {
        if let Some(attempt) = self.attempts.get_mut(&turn) {
            attempt.stage = Stage::Decode;
            self.exports.append(&mut attempt.export);
        }
        self.generate(turn);
        if self.step_at.is_none() {
            self.step_at = Some(now + self.step_time());
        }
    }

    fn decode_step(&mut self, now: Instant) -> bool {
        let Some(step_at) = self.step_at.take_if(|at| *at <= now) else {
            return false;
        };
        let turns: Vec<Turn> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == Stage::Decode)
            .map(|(turn, _)| *turn)
            .collect();
        for turn in &turns {
            self.generate(*turn);
        }
        if !turns.is_empty() {
            self.step_at = Some(on_time(step_at, now) + self.step_time());
        }
        true
    }

    fn step_time(&self) -> Duration {
        let interval = Duration::from_millis(self.settings.decode_interval_ms);
        self.faults.stretch(interval).max(MIN_STEP)
    }

    /// Sends the next token of an answer, and ends the attempt after the last.
    fn generate(&mut self, turn: Turn) {
        let Some(attempt) = self.attempts.get_mut(&turn) else {
            return;
        };
        if let Some(piece) = attempt.next_piece() {
            self.stats.answer_tokens += 1;
            self.send_piece(turn, piece);
        }
        let load = self.load_now();
        let Some(attempt) = self.attempts.get(&turn) else {
            return;
        };
        if attempt.sent_bytes < attempt.answer.len() {
            return;
        }
        attempt.send(&attempt.finished(self.incarnation, load));
        if let Some(index) = attempt.log {
            self.log.finish(index);
        }
        self.stats.finished += 1;
        self.attempts.remove(&turn);
    }

    fn send_piece(&mut self, turn: Turn, piece: StreamEvent) {
        let Some(attempt) = self.attempts.get(&turn) else {
            return;
        };
        if self.draws.hits(self.faults.late_pieces_permille) {
            let late = self.late_pieces.iter().find(|(id, _)| *id != attempt.id);
            if let Some((_, late)) = late {
                attempt.send(late);
            }
        }
        attempt.send(&piece);
        if self.draws.hits(self.faults.duplicate_pieces_permille) {
            attempt.send(&piece);
        }
        self.late_pieces.push_back((attempt.id, piece));
        if self.late_pieces.len() > MAX_LATE_PIECES {
            self.late_pieces.pop_front();
        }
    }

    fn store(&mut self, prompt: &[PieceHash]) {
        let at = Instant::now();
        for change in self.cache.store(prompt) {
            self.publish(change, at);
        }
    }

    fn publish(&mut self, change: CacheChange, at: Instant) {
        let lost = self.draws.hits(self.faults.drop_cache_events_permille);
        self.events.publish(change, at, lost);
    }
}

/// When work that was due at `due` counts as done: then, unless that is too long ago.
fn on_time(due: Instant, now: Instant) -> Instant {
    if due + MAX_CATCH_UP < now { now } else { due }
}
