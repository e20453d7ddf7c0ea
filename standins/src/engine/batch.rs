//! Continuous batching: prompts are computed chunk by chunk in the order of priority, and each
//! decode step generates one token of every answer in progress.

use {
    super::{
        attempt::{Attempt, QueueKey, Stage},
        cache::{CacheEvents, PieceCache},
        wire::{CurrentLoad, StreamEvent},
    },
    crate::{
        fault::{FaultSampler, WorkerFaults},
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

/// Number of prompt tokens computed before a prompt of higher priority can preempt.
const CHUNK_TOKENS: u64 = 512;
/// Work delayed by up to this much is scheduled as if it had run on time.
const MAX_CATCH_UP: Duration = Duration::from_millis(200);
/// Number of sent pieces retained for the fault that sends them late on other streams.
const MAX_RECENT_PIECES: usize = 64;
/// Minimum time between two decode steps.
const MIN_DECODE_INTERVAL: Duration = Duration::from_micros(100);
const SECOND_US: u64 = 1_000_000;

/// Rates and capacities of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchSettings {
    pub(super) slots: usize,
    pub(super) queue: usize,
    pub(super) prefill_rate: u64,
    pub(super) decode_interval_ms: u64,
    pub(super) cache_pieces: usize,
    pub(super) seed: u64,
}

/// Counters since the engine started.
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
    queue_key: QueueKey,
    tokens: u64,
    ends_at: Instant,
}

/// The attempts of an engine, its cache and its log.
pub(super) struct Batch {
    settings: BatchSettings,
    fault_sampler: FaultSampler,
    attempts: VecMap<QueueKey, Attempt>,
    arrival_count: u64,
    chunk: Option<Chunk>,
    prefill_free_at: Instant,
    next_step_at: Option<Instant>,
    recent_pieces: VecDeque<(AttemptId, StreamEvent)>,
    exports: Vec<PieceHash>,
    pub(super) incarnation: Incarnation,
    pub(super) cache: PieceCache,
    pub(super) events: CacheEvents,
    pub(super) faults: WorkerFaults,
    pub(super) log: Log,
    pub(super) stats: Stats,
}

impl Batch {
    pub(super) fn new(settings: BatchSettings) -> Self {
        Self {
            settings,
            fault_sampler: FaultSampler::new(settings.seed),
            attempts: VecMap::default(),
            arrival_count: 0,
            chunk: None,
            prefill_free_at: Instant::now(),
            next_step_at: None,
            recent_pieces: VecDeque::new(),
            exports: Vec::new(),
            incarnation: Incarnation(rand::random()),
            cache: PieceCache::new(settings.cache_pieces),
            events: CacheEvents::default(),
            faults: WorkerFaults::default(),
            log: Log::default(),
            stats: Stats::default(),
        }
    }

    /// Drops all attempts and the cache and starts a new incarnation.
    pub(super) fn crash(&mut self) {
        let queue_keys: Vec<QueueKey> = self
            .attempts
            .iter()
            .map(|(queue_key, _)| *queue_key)
            .collect();
        for queue_key in queue_keys {
            self.cancel(queue_key);
        }
        self.cache = PieceCache::new(self.settings.cache_pieces);
        self.events = CacheEvents::default();
        self.incarnation = Incarnation(rand::random());
    }

    /// Whether all slots and the queue are occupied.
    pub(super) fn is_full(&self) -> bool {
        self.attempts.len() >= self.settings.slots + self.settings.queue
    }

    /// Adds an attempt.
    pub(super) fn add(&mut self, priority: u32, mut attempt: Attempt) -> QueueKey {
        self.arrival_count += 1;
        let queue_key = QueueKey {
            priority,
            arrival: self.arrival_count,
        };
        attempt.remaining_tokens = attempt.uncached_tokens(self.cache.cached_len(&attempt.prompt));
        self.attempts.insert(queue_key, attempt);
        queue_key
    }

    /// Caches the first `pieces` pieces of an attempt's prompt after their import and queues the
    /// attempt for prefill.
    pub(super) fn finish_import(&mut self, queue_key: QueueKey, pieces: usize) {
        let Some(attempt) = self.attempts.get_mut(&queue_key) else {
            return;
        };
        attempt.stage = Stage::Waiting;
        attempt.ready_at = Instant::now();
        let prompt = attempt.prompt[..pieces].to_vec();
        self.store_in_cache(&prompt);
    }

    /// Drops an attempt if it hasn't ended yet.
    pub(super) fn cancel(&mut self, queue_key: QueueKey) {
        let Some(attempt) = self.attempts.remove(&queue_key) else {
            return;
        };
        self.stats.cancelled += 1;
        if let Some(index) = attempt.log_index {
            self.log.cancel(index);
        }
        if self.chunk.is_some_and(|chunk| chunk.queue_key == queue_key) {
            self.chunk = None;
            self.prefill_free_at = Instant::now();
        }
    }

    /// Drops all attempts with an id.
    pub(super) fn cancel_attempts(&mut self, id: AttemptId) {
        let queue_keys: Vec<QueueKey> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.id == id)
            .map(|(queue_key, _)| *queue_key)
            .collect();
        for queue_key in queue_keys {
            self.cancel(queue_key);
        }
    }

    /// Returns the number of prompt tokens that remain to be computed.
    pub(super) fn queued_tokens(&self) -> u64 {
        self.attempts
            .iter()
            .map(|(_, attempt)| attempt.remaining_tokens)
            .sum()
    }

    /// Returns the number of attempts that are queued or running.
    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Takes the computed pieces that are due for export.
    pub(super) fn take_exports(&mut self) -> Vec<PieceHash> {
        std::mem::take(&mut self.exports)
    }

    /// Performs all work due at `now` and returns when the next work is due.
    pub(super) fn advance(&mut self, now: Instant) -> Option<Instant> {
        loop {
            let stepped = self.decode_step(now);
            let ended = self.end_chunk(now);
            self.start_chunk(now);
            if !stepped && !ended {
                break;
            }
        }
        let chunk_ends_at = self.chunk.map(|chunk| chunk.ends_at);
        [chunk_ends_at, self.next_step_at]
            .into_iter()
            .flatten()
            .min()
    }

    fn start_chunk(&mut self, now: Instant) {
        if self.chunk.is_some() {
            return;
        }
        let Some(queue_key) = self.next_prefill() else {
            return;
        };
        self.start_prefill(queue_key);
        let Some(attempt) = self.attempts.get(&queue_key) else {
            return;
        };
        let tokens = attempt.remaining_tokens.min(CHUNK_TOKENS);
        let time_us = tokens * SECOND_US / self.settings.prefill_rate.max(1);
        let time = self.faults.apply_slowdown(Duration::from_micros(time_us));
        let starts_at = scheduled_time(self.prefill_free_at.max(attempt.ready_at), now);
        let ends_at = starts_at + time;
        self.chunk = Some(Chunk {
            queue_key,
            tokens,
            ends_at,
        });
    }

    /// Returns the first attempt in queue order that needs prefill and has a slot or can get one.
    fn next_prefill(&self) -> Option<QueueKey> {
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
            .map(|(queue_key, _)| *queue_key)
    }

    /// Returns the current load.
    fn current_load(&self) -> CurrentLoad {
        CurrentLoad {
            observed_at_ms: now_ms(),
            queued_tokens: self.queued_tokens(),
            running: self.attempt_count(),
        }
    }

    /// Assigns a slot to a waiting attempt and reports it as accepted.
    fn start_prefill(&mut self, queue_key: QueueKey) {
        let load = self.current_load();
        let Some(attempt) = self.attempts.get_mut(&queue_key) else {
            return;
        };
        if attempt.stage != Stage::Waiting {
            return;
        }
        let cached = self.cache.cached_len(&attempt.prompt);
        let cached_tokens = cached as u64 * PIECE_TOKENS;
        attempt.stage = Stage::Prefill;
        attempt.remaining_tokens = attempt.uncached_tokens(cached);
        attempt.log_index = Some(self.log.push(LogEntry {
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
        self.store_in_cache(&used);
    }

    fn end_chunk(&mut self, now: Instant) -> bool {
        let Some(chunk) = self.chunk.take_if(|chunk| chunk.ends_at <= now) else {
            return false;
        };
        self.prefill_free_at = chunk.ends_at;
        self.stats.computed_tokens += chunk.tokens;
        let Some(attempt) = self.attempts.get_mut(&chunk.queue_key) else {
            return true;
        };
        let before = attempt.computed_pieces().len();
        attempt.remaining_tokens -= chunk.tokens;
        let done = attempt.remaining_tokens == 0;
        // Touches the complete prompt after its last chunk, so that its last pieces are evicted
        // first.
        let from = if done { 0 } else { before };
        let computed = attempt.computed_pieces()[from..].to_vec();
        self.store_in_cache(&computed);
        if done {
            self.start_decode(chunk.queue_key, now);
        }
        true
    }

    /// Starts decoding and sends the first token, which the last prefill chunk computes.
    fn start_decode(&mut self, queue_key: QueueKey, now: Instant) {
        if let Some(attempt) = self.attempts.get_mut(&queue_key) {
            attempt.stage = Stage::Decode;
            self.exports.append(&mut attempt.export_pieces);
        }
        self.generate(queue_key);
        if self.next_step_at.is_none() {
            self.next_step_at = Some(now + self.decode_interval());
        }
    }

    fn decode_step(&mut self, now: Instant) -> bool {
        let Some(next_step_at) = self.next_step_at.take_if(|at| *at <= now) else {
            return false;
        };
        let queue_keys: Vec<QueueKey> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == Stage::Decode)
            .map(|(queue_key, _)| *queue_key)
            .collect();
        for queue_key in &queue_keys {
            self.generate(*queue_key);
        }
        if !queue_keys.is_empty() {
            self.next_step_at = Some(scheduled_time(next_step_at, now) + self.decode_interval());
        }
        true
    }

    fn decode_interval(&self) -> Duration {
        let interval = Duration::from_millis(self.settings.decode_interval_ms);
        self.faults
            .apply_slowdown(interval)
            .max(MIN_DECODE_INTERVAL)
    }

    /// Sends the next token of an answer and ends the attempt after the last one.
    fn generate(&mut self, queue_key: QueueKey) {
        let Some(attempt) = self.attempts.get_mut(&queue_key) else {
            return;
        };
        if let Some(piece) = attempt.next_piece() {
            self.stats.answer_tokens += 1;
            self.send_piece(queue_key, piece);
        }
        let load = self.current_load();
        let Some(attempt) = self.attempts.get(&queue_key) else {
            return;
        };
        if attempt.sent_bytes < attempt.answer.len() {
            return;
        }
        attempt.send(&attempt.finished_event(self.incarnation, load));
        if let Some(index) = attempt.log_index {
            self.log.finish(index);
        }
        self.stats.finished += 1;
        self.attempts.remove(&queue_key);
    }

    fn send_piece(&mut self, queue_key: QueueKey, piece: StreamEvent) {
        let Some(attempt) = self.attempts.get(&queue_key) else {
            return;
        };
        if self.fault_sampler.sample(self.faults.late_pieces_permille) {
            let late = self.recent_pieces.iter().find(|(id, _)| *id != attempt.id);
            if let Some((_, late)) = late {
                attempt.send(late);
            }
        }
        attempt.send(&piece);
        if self
            .fault_sampler
            .sample(self.faults.duplicate_pieces_permille)
        {
            attempt.send(&piece);
        }
        self.recent_pieces.push_back((attempt.id, piece));
        if self.recent_pieces.len() > MAX_RECENT_PIECES {
            self.recent_pieces.pop_front();
        }
    }

    fn store_in_cache(&mut self, prompt: &[PieceHash]) {
        let at = Instant::now();
        for change in self.cache.insert(prompt) {
            self.publish(change, at);
        }
    }

    fn publish(&mut self, change: CacheChange, at: Instant) {
        let is_lost = self
            .fault_sampler
            .sample(self.faults.drop_cache_events_permille);
        self.events.publish(change, at, is_lost);
    }
}

/// Returns the time from which follow-up work is scheduled: `due`, or `now` if `due` is more than
/// [`MAX_CATCH_UP`] ago.
fn scheduled_time(due: Instant, now: Instant) -> Instant {
    if due + MAX_CATCH_UP < now { now } else { due }
}
