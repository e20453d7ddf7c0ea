//! A small model of engines behind several cores: prompts are computed one after the other in the
//! order of priority, answers are written side by side, caches drop what was used least recently,
//! load reports are late. Deterministic by its seed.

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
const REPORT_LAG_MS: u64 = 100;
const DOMAINS: usize = 3;

/// What all engines are like.
#[derive(Clone, Copy)]
pub struct Engines {
    pub count: usize,
    pub prefill_rate: u64,
    pub slots: usize,
    pub answer_ms: u64,
    pub cache_pieces: usize,
}

/// What came out.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub first_token_ms: Vec<u64>,
    pub refused: usize,
    pub moved: usize,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    /// What a shared cache without bounds would have had.
    pub seen_tokens: u64,
}

impl Outcome {
    pub fn met(&self, target_ms: u64) -> usize {
        let times = self.first_token_ms.iter();
        times.filter(|time| **time <= target_ms).count()
    }

    pub fn percentile_ms(&self, percent: usize) -> u64 {
        let mut times = self.first_token_ms.clone();
        times.sort_unstable();
        let at = times.len().saturating_sub(1) * percent / 100;
        times.get(at).copied().unwrap_or_default()
    }

    /// The hit rate and that of a shared cache without bounds, in thousandths.
    pub fn hits_permille(&self) -> (u64, u64) {
        let all = self.prompt_tokens.max(1);
        (
            self.cached_tokens * 1_000 / all,
            self.seen_tokens * 1_000 / all,
        )
    }
}

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
    used: BTreeMap<PieceHash, u64>,
    order: BTreeSet<(u64, PieceHash)>,
    clock: u64,
}

impl Cache {
    fn cached(&self, chain: &PrefixChain) -> usize {
        let pieces = chain.pieces.iter();
        pieces
            .take_while(|piece| self.used.contains_key(piece))
            .count()
    }

    fn store(&mut self, chain: &PrefixChain, capacity: usize) {
        for piece in &chain.pieces {
            self.clock += 1;
            if let Some(used) = self.used.insert(*piece, self.clock) {
                self.order.remove(&(used, *piece));
            }
            self.order.insert((self.clock, *piece));
        }
        while self.order.len() > capacity {
            if let Some((_, piece)) = self.order.pop_first() {
                self.used.remove(&piece);
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

/// Cores, engines, and the time that they share.
pub struct Model {
    pub fleets: Vec<Fleet>,
    engines: Vec<Engine>,
    like: Engines,
    seen: BTreeSet<PieceHash>,
    reports: Vec<(u64, usize, u64, u32)>,
    prompts: BTreeMap<(usize, RequestId), (u64, Vec<Bytes>)>,
    pub outcome: Outcome,
    pub now_ms: u64,
}

impl Model {
    pub fn open(cores: usize, like: Engines) -> Self {
        let mut fleets: Vec<Fleet> = (0..cores)
            .map(|core| {
                Fleet::open_in(
                    &format!("entry-{core}"),
                    core % DOMAINS,
                    like.count,
                    DOMAINS,
                )
            })
            .collect();
        for fleet in &mut fleets {
            fleet.entries = cores;
            fleet.list();
        }
        Self {
            engines: (0..like.count).map(|_| Engine::default()).collect(),
            now_ms: fleets[0].now.0,
            fleets,
            like,
            seen: BTreeSet::new(),
            reports: Vec::new(),
            prompts: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// A caller's request at one of the cores.
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
            .take_while(|piece| self.seen.contains(*piece));
        self.outcome.seen_tokens += seen.count() as u64 * PIECE_TOKENS;
        self.seen.extend(chain.pieces.iter().copied());
        let engine = (0..self.like.count).find(|number| worker(*number) == send.worker);
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

    /// Lets a millisecond pass.
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

    /// Moves attempts as a core wants it.
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
        let is_it = |job: &Job| job.core == core && job.attempt == attempt;
        for engine in &mut self.engines {
            engine.waiting.retain(|job| !is_it(job));
            engine.computing.take_if(|(job, _)| is_it(job));
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
        engine.cache.store(&job.chain, self.like.cache_pieces);
        let prompt = self.prompts.remove(&(job.core, job.request));
        let arrived_ms = prompt.map_or(now, |prompt| prompt.0);
        self.outcome.first_token_ms.push(now - arrived_ms);
        self.fleets[job.core].handle(Event::Piece {
            attempt: job.attempt,
            offset_bytes: 0,
            text: Bytes::from_static(b"answer"),
        });
        engine.answering.push((job, now + self.like.answer_ms));
    }

    fn compute(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.computing.is_some() || engine.answering.len() >= self.like.slots {
            return;
        }
        let next = (0..engine.waiting.len())
            .min_by_key(|at| (engine.waiting[*at].priority, engine.waiting[*at].arrived_ms));
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
        let work_ms = (job.tokens - cached) * 1_000 / self.like.prefill_rate;
        engine.computing = Some((job, self.now_ms + work_ms.max(1)));
    }

    /// Engines are looked at in turn; every core hears of it later.
    fn report(&mut self) {
        for (number, engine) in self.engines.iter().enumerate() {
            if (self.now_ms + number as u64 * 17).is_multiple_of(REPORT_INTERVAL_MS) {
                let waiting = engine.waiting.iter();
                let queued = waiting
                    .map(|job| job.tokens - engine.cache.cached(&job.chain) as u64 * PIECE_TOKENS);
                let left = engine.computing.as_ref().map_or(0, |(_, ends)| {
                    ends.saturating_sub(self.now_ms) * self.like.prefill_rate / 1_000
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
        let like = self.like;
        let due = self
            .reports
            .extract_if(.., |report| report.0 + REPORT_LAG_MS <= now);
        for (at_ms, number, queued, running) in due.collect::<Vec<_>>() {
            for fleet in &mut self.fleets {
                fleet.report(number, |report| {
                    report.observed_at_ms.0 = at_ms;
                    report.queued_tokens = Tokens(queued);
                    report.running = running;
                    report.slots = u32::try_from(like.slots).unwrap_or(u32::MAX);
                    report.prefill_rate = TokensPerSecond(like.prefill_rate);
                    report.cache_pieces = like.cache_pieces as u64;
                });
            }
        }
    }
}
