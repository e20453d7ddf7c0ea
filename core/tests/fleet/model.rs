//! A simulation of engines behind several cores. Each engine computes prompts one at a time in
//! order of priority and generates answers concurrently. Caches evict the least recently used
//! piece, and load reports arrive with a delay. The simulation is deterministic.

use {
    super::{Fleet, sent, worker},
    bytes::Bytes,
    cactusspur_core::{
        AttemptId, Command, DurationMs, Event, Incarnation, PIECE_TOKENS, PieceHash, PrefixChain,
        RequestId, Send, Tokens, TokensPerSecond, tokens_of_bytes,
    },
    std::collections::{BTreeMap, BTreeSet},
};

const REPORT_INTERVAL_MS: u64 = 200;
const REPORT_DELAY_MS: u64 = 100;
const DOMAINS: usize = 3;

/// Properties shared by all engines.
#[derive(Clone, Copy)]
pub struct EngineSettings {
    pub count: usize,
    pub prefill_rate: u64,
    pub slots: usize,
    pub answer_ms: u64,
    pub cache_pieces: usize,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub first_token_ms: Vec<u64>,
    pub refused: usize,
    pub moved: usize,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    /// Prompt tokens that an unbounded cache shared by all engines would have held.
    pub seen_tokens: u64,
}

impl Outcome {
    pub fn within_target(&self, target_ms: u64) -> usize {
        let times = self.first_token_ms.iter();
        times.filter(|time| **time <= target_ms).count()
    }

    pub fn percentile_ms(&self, percent: usize) -> u64 {
        let mut times = self.first_token_ms.clone();
        times.sort_unstable();
        let index = times.len().saturating_sub(1) * percent / 100;
        times.get(index).copied().unwrap_or_default()
    }

    /// The cache hit rate and that of an unbounded shared cache, in thousandths.
    pub fn hit_rates_permille(&self) -> (u64, u64) {
        let total = self.prompt_tokens.max(1);
        (
            self.cached_tokens * 1_000 / total,
            self.seen_tokens * 1_000 / total,
        )
    }
}

/// An attempt on an engine.
struct Job {
    core: usize,
    request: RequestId,
    attempt: AttemptId,
    priority: u32,
    arrived_ms: u64,
    chain: PrefixChain,
    tokens: u64,
}

#[derive(Default)]
struct Cache {
    last_used: BTreeMap<PieceHash, u64>,
    order: BTreeSet<(u64, PieceHash)>,
    use_count: u64,
}

impl Cache {
    fn cached(&self, chain: &PrefixChain) -> usize {
        let pieces = chain.pieces.iter();
        pieces
            .take_while(|piece| self.last_used.contains_key(piece))
            .count()
    }

    fn store(&mut self, chain: &PrefixChain, capacity: usize) {
        for piece in &chain.pieces {
            self.use_count += 1;
            if let Some(last_used) = self.last_used.insert(*piece, self.use_count) {
                self.order.remove(&(last_used, *piece));
            }
            self.order.insert((self.use_count, *piece));
        }
        while self.order.len() > capacity {
            if let Some((_, piece)) = self.order.pop_first() {
                self.last_used.remove(&piece);
            }
        }
    }
}

#[derive(Default)]
struct Engine {
    waiting: Vec<Job>,
    computing: Option<(Job, u64)>,
    answering: Vec<(Job, u64)>,
    cache: Cache,
}

/// Cores, engines and their common simulated time.
pub struct Model {
    pub fleets: Vec<Fleet>,
    engines: Vec<Engine>,
    settings: EngineSettings,
    seen_pieces: BTreeSet<PieceHash>,
    reports: Vec<(u64, usize, u64, u32)>,
    prompts: BTreeMap<(usize, RequestId), (u64, Vec<Bytes>)>,
    pub outcome: Outcome,
    pub now_ms: u64,
}

impl Model {
    pub fn open(cores: usize, settings: EngineSettings) -> Self {
        let mut fleets: Vec<Fleet> = (0..cores)
            .map(|core| {
                Fleet::open_in(
                    &format!("entry-{core}"),
                    core % DOMAINS,
                    settings.count,
                    DOMAINS,
                )
            })
            .collect();
        for fleet in &mut fleets {
            fleet.entries = cores;
            fleet.list();
        }
        Self {
            engines: (0..settings.count).map(|_| Engine::default()).collect(),
            now_ms: fleets[0].now.0,
            fleets,
            settings,
            seen_pieces: BTreeSet::new(),
            reports: Vec::new(),
            prompts: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// Sends a caller's request to one of the cores.
    pub fn arrive(&mut self, core: usize, customer: &str, class: &str, levels: &[Bytes]) {
        let commands = self.fleets[core].arrive_as(customer, class, levels);
        let Some(send) = sent(&commands) else {
            self.outcome.refused += 1;
            return;
        };
        let prompt = (self.now_ms, levels.to_vec());
        self.prompts.insert((core, send.request), prompt);
        self.enqueue(core, &send);
    }

    fn enqueue(&mut self, core: usize, send: &Send) {
        let Some((_, levels)) = self.prompts.get(&(core, send.request)) else {
            return;
        };
        let chain = send
            .scope
            .map(|scope| PrefixChain::from_levels(scope, levels));
        let chain = chain.unwrap_or_default();
        let bytes = levels.iter().map(Bytes::len).sum();
        let seen = chain
            .pieces
            .iter()
            .take_while(|piece| self.seen_pieces.contains(*piece));
        self.outcome.seen_tokens += seen.count() as u64 * PIECE_TOKENS;
        self.seen_pieces.extend(chain.pieces.iter().copied());
        let engine = (0..self.settings.count).find(|number| worker(*number) == send.worker);
        self.engines[engine.unwrap_or_default()].waiting.push(Job {
            core,
            request: send.request,
            attempt: send.attempt,
            priority: send.priority,
            arrived_ms: self.now_ms,
            chain,
            tokens: tokens_of_bytes(bytes).0,
        });
    }

    /// Advances the simulated time by a millisecond.
    pub fn step(&mut self) {
        self.now_ms += 1;
        for core in 0..self.fleets.len() {
            let fleet = &mut self.fleets[core];
            fleet.now = fleet.now.after(DurationMs(1));
            if self.now_ms.is_multiple_of(20) {
                let commands = fleet.handle(Event::Tick);
                self.carry_out(core, &commands);
            }
        }
        for number in 0..self.engines.len() {
            self.answer(number);
            self.compute(number);
        }
        self.report();
    }

    /// Carries out the attempts and cancellations that a core commands.
    fn carry_out(&mut self, core: usize, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Send(send) => {
                    self.outcome.moved += 1;
                    self.enqueue(core, send);
                }
                Command::Cancel { attempt, .. } => self.cancel(core, *attempt),
                _ => {}
            }
        }
    }

    fn cancel(&mut self, core: usize, attempt: AttemptId) {
        let is_target = |job: &Job| job.core == core && job.attempt == attempt;
        for engine in &mut self.engines {
            engine.waiting.retain(|job| !is_target(job));
            engine.computing.take_if(|(job, _)| is_target(job));
        }
    }

    fn answer(&mut self, number: usize) {
        let now = self.now_ms;
        let engine = &mut self.engines[number];
        let done = engine.answering.extract_if(.., |(_, ends)| *ends <= now);
        for (job, _) in done.collect::<Vec<_>>() {
            self.fleets[job.core].handle(Event::AttemptFinished {
                attempt: job.attempt,
                answer_bytes: 6,
                answer_tokens: Tokens(2),
            });
        }
        let engine = &mut self.engines[number];
        let Some((job, _)) = engine.computing.take_if(|(_, ends)| *ends <= now) else {
            return;
        };
        engine.cache.store(&job.chain, self.settings.cache_pieces);
        let prompt = self.prompts.remove(&(job.core, job.request));
        let arrived_ms = prompt.map_or(now, |prompt| prompt.0);
        self.outcome.first_token_ms.push(now - arrived_ms);
        self.fleets[job.core].handle(Event::Piece {
            attempt: job.attempt,
            offset_bytes: 0,
            text: Bytes::from_static(b"answer"),
        });
        engine.answering.push((job, now + self.settings.answer_ms));
    }

    fn compute(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.computing.is_some() || engine.answering.len() >= self.settings.slots {
            return;
        }
        let next = (0..engine.waiting.len())
            .min_by_key(|i| (engine.waiting[*i].priority, engine.waiting[*i].arrived_ms));
        let Some(next) = next else {
            return;
        };
        let job = engine.waiting.swap_remove(next);
        let cached = engine.cache.cached(&job.chain) as u64 * PIECE_TOKENS;
        self.outcome.prompt_tokens += job.tokens;
        self.outcome.cached_tokens += cached;
        self.fleets[job.core].handle(Event::AttemptAccepted {
            attempt: job.attempt,
            incarnation: Incarnation(1),
            cached_tokens: Tokens(cached),
        });
        let work_ms = (job.tokens - cached) * 1_000 / self.settings.prefill_rate;
        engine.computing = Some((job, self.now_ms + work_ms.max(1)));
    }

    /// Takes a load report of each engine at its own offset and delivers due ones to every core.
    fn report(&mut self) {
        for (number, engine) in self.engines.iter().enumerate() {
            if (self.now_ms + number as u64 * 17).is_multiple_of(REPORT_INTERVAL_MS) {
                let waiting = engine.waiting.iter();
                let queued = waiting
                    .map(|job| job.tokens - engine.cache.cached(&job.chain) as u64 * PIECE_TOKENS);
                let left = engine.computing.as_ref().map_or(0, |(_, ends)| {
                    ends.saturating_sub(self.now_ms) * self.settings.prefill_rate / 1_000
                });
                let running = engine.waiting.len()
                    + engine.answering.len()
                    + usize::from(engine.computing.is_some());
                let running = u32::try_from(running).unwrap_or(u32::MAX);
                let queued = queued.sum::<u64>() + left;
                self.reports.push((self.now_ms, number, queued, running));
            }
        }
        let now = self.now_ms;
        let settings = self.settings;
        let due = self
            .reports
            .extract_if(.., |report| report.0 + REPORT_DELAY_MS <= now);
        for (at_ms, number, queued, running) in due.collect::<Vec<_>>() {
            for fleet in &mut self.fleets {
                fleet.report(number, |report| {
                    report.observed_at_ms.0 = at_ms;
                    report.queued_tokens = Tokens(queued);
                    report.running = running;
                    report.slots = u32::try_from(settings.slots).unwrap_or(u32::MAX);
                    report.prefill_rate = TokensPerSecond(settings.prefill_rate);
                    report.cache_pieces = settings.cache_pieces as u64;
                });
            }
        }
    }
}
