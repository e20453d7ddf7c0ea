//! The decision core: its state, and the entry point to the systems that work on it.
//!
//! The core does no I/O, reads no clock and generates no random numbers. To drive it, call
//! [`Core::new`] once, then [`Core::handle`] with each [`Event`] and the time at which it happened,
//! and carry out the [`Command`]s that it returns. Events may arrive in any order. Send
//! [`Event::Tick`] every [`TICK_MS`]: timeouts are checked then.

use {
    crate::{
        cache::CacheIndex,
        command::{Command, Usage},
        credit::Credits,
        declaration::{Class, Configuration, Customer},
        demand::LevelDemand,
        event::Event,
        id::{
            AttemptId, ClassId, CustomerId, DomainId, EntryId, Generation, ModelId, RequestId,
            WeightsVersion, WorkerId,
        },
        kv_exports::ExportedPieces,
        margin::Margin,
        prefix::PrefixChain,
        record::{CallId, RecordCall},
        request::Request,
        ring::WorkerPools,
        share::{RetryBudget, Shares},
        system::{
            configuration, credits, hedge, idempotency, learning, limits, liveness, orders,
            request, stream,
        },
        unit::{DurationMs, TimeMs, Tokens},
        vec_map::VecMap,
        verdict::{Cause, Refusal, Verdict},
        worker::Worker,
    },
    serde::{Deserialize, Serialize},
};

/// The interval between two [`Event::Tick`]s.
pub const TICK_MS: DurationMs = DurationMs(20);

/// The settings of a core, fixed for its lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreSettings {
    /// The entry VM for which the core decides.
    pub entry: EntryId,
    /// The failure domain of the entry VM.
    pub domain: DomainId,
    /// The incarnation of the process: a random number that is chosen at its start and never
    /// reused.
    pub incarnation: u64,
    /// The maximum number of requests in progress.
    pub max_requests: usize,
}

/// The numbers of entries in the core's maps for requests and their calls to the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreSizes {
    /// Requests in progress.
    pub requests: usize,
    /// Attempts in progress.
    pub attempts: usize,
    /// Uses of idempotency keys that are unsettled or whose late answer is awaited.
    pub key_uses: usize,
    /// Calls to the table service that are not answered yet.
    pub calls: usize,
}

/// The state of the decision core.
#[derive(Debug)]
pub struct Core {
    pub(crate) settings: CoreSettings,
    pub(crate) now: TimeMs,
    pub(crate) configuration: Configuration,
    pub(crate) classes: VecMap<ClassId, Class>,
    pub(crate) customers: VecMap<CustomerId, Customer>,
    pub(crate) models: VecMap<ModelId, WeightsVersion>,
    pub(crate) workers: VecMap<WorkerId, Worker>,
    pub(crate) requests: VecMap<RequestId, Request>,
    pub(crate) attempts: VecMap<AttemptId, RequestId>,
    pub(crate) key_uses: VecMap<AttemptId, idempotency::KeyUse>,
    pub(crate) calls: VecMap<CallId, AttemptId>,
    pub(crate) cache: CacheIndex,
    pub(crate) exported_pieces: ExportedPieces,
    pub(crate) worker_pools: WorkerPools,
    pub(crate) demand: LevelDemand,
    pub(crate) entry_vms: usize,
    pub(crate) home_hits_permille: u64,
    pub(crate) margins: VecMap<ClassId, Margin>,
    pub(crate) shares: Shares,
    pub(crate) shares_checked_at_ms: TimeMs,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) credits: Credits,
    pub(crate) orders: orders::Orders,
    pub(crate) shutting_down: bool,
    last_attempt_number: u64,
    last_call_number: u64,
    commands: Vec<Command>,
}

impl Core {
    /// A core without a configuration, workers or requests.
    #[must_use]
    pub fn new(settings: CoreSettings) -> Self {
        Self {
            settings,
            now: TimeMs::default(),
            configuration: Configuration::default(),
            classes: VecMap::default(),
            customers: VecMap::default(),
            models: VecMap::default(),
            workers: VecMap::default(),
            requests: VecMap::default(),
            attempts: VecMap::default(),
            key_uses: VecMap::default(),
            calls: VecMap::default(),
            cache: CacheIndex::default(),
            exported_pieces: ExportedPieces::default(),
            worker_pools: WorkerPools::default(),
            demand: LevelDemand::default(),
            entry_vms: 1,
            home_hits_permille: 0,
            margins: VecMap::default(),
            shares: Shares::default(),
            shares_checked_at_ms: TimeMs::default(),
            retry_budget: RetryBudget::default(),
            credits: Credits::default(),
            orders: orders::Orders::default(),
            shutting_down: false,
            last_attempt_number: 0,
            last_call_number: 0,
            commands: Vec::new(),
        }
    }

    /// Handles an event that happened at `now` and returns the commands to carry out, in order. A
    /// `now` before that of an earlier event counts as the latest time seen, so that time never
    /// runs backward.
    pub fn handle(&mut self, now: TimeMs, event: Event) -> Vec<Command> {
        self.now = self.now.max(now);
        match event {
            Event::Arrived(arrival) => request::handle_arrival(self, arrival),
            Event::AttemptAccepted {
                attempt,
                incarnation,
                cached_tokens,
            } => {
                stream::record_acceptance(self, attempt, incarnation, cached_tokens);
            }
            Event::Piece {
                attempt,
                offset_bytes,
                text,
            } => {
                stream::deliver_piece(self, attempt, offset_bytes, &text);
            }
            Event::AttemptFinished {
                attempt,
                answer_bytes,
                answer_tokens,
            } => {
                stream::complete_answer(self, attempt, answer_bytes, answer_tokens);
            }
            Event::CallAnswered {
                attempt,
                status,
                body,
            } => {
                request::handle_answer(self, attempt, status, body);
            }
            Event::AttemptFailed {
                attempt,
                verdict,
                failure,
            } => {
                request::handle_failure(self, attempt, verdict, failure);
            }
            Event::CallerLeft { request } => request::handle_caller_left(self, request),
            Event::RecordAnswered { call, answer } => {
                if !credits::handle_answer(self, call, &answer)
                    && !orders::handle_answer(self, call, &answer)
                {
                    idempotency::handle_answer(self, call, answer);
                }
            }
            Event::Probed {
                worker,
                incarnation,
            } => liveness::apply_probe_result(self, worker, incarnation),
            Event::CurrentLoad(figures) => liveness::apply_current_load(self, figures),
            Event::Load(report) => liveness::apply_load_report(self, report),
            Event::Cache(report) => liveness::apply_cache_report(self, &report),
            Event::CacheSnapshot(snapshot) => liveness::apply_cache_snapshot(self, &snapshot),
            Event::OrderAnswered {
                fencing, outcome, ..
            } => orders::apply_order_outcome(self, fencing, outcome),
            Event::WorkerLeaving {
                worker,
                incarnation,
            } => liveness::mark_leaving(self, worker, incarnation),
            Event::Vms(list) => liveness::apply_vm_list(self, &list),
            Event::Configured(accepted) => configuration::accept(self, accepted),
            Event::ShutdownStarted => self.shutting_down = true,
            Event::Tick => self.tick(),
        }
        std::mem::take(&mut self.commands)
    }

    fn tick(&mut self) {
        liveness::tick(self);
        stream::tick(self);
        idempotency::tick(self);
        limits::tick(self);
        hedge::tick(self);
        credits::tick(self);
        orders::tick(self);
    }

    /// The generation of the configuration in force.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.configuration.generation
    }

    /// The configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The declared class with this id.
    #[must_use]
    pub fn class(&self, id: ClassId) -> Option<&Class> {
        self.classes.get(&id)
    }

    /// The number of declared classes, and of those that have a worker that takes work.
    #[must_use]
    pub fn served_classes(&self) -> (usize, usize) {
        let served = self.classes.iter().filter(|row| self.has_worker(row.1));
        (self.classes.len(), served.count())
    }

    fn has_worker(&self, class: &Class) -> bool {
        let mut workers = self
            .workers
            .iter()
            .map(|row| row.1)
            .filter(|worker| worker.accepts_work());
        match (class.served_by.model(), class.served_by.service()) {
            (Some(model), _) => workers.any(|worker| worker.weights(model).is_some()),
            (_, service) => workers.any(|worker| worker.service == service),
        }
    }

    /// The number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// The number of uses of idempotency keys that still have to be written to the table service or
    /// whose attempt is in progress.
    #[must_use]
    pub fn unsettled_keys(&self) -> usize {
        idempotency::count_unsettled(self)
    }

    /// The length of the prompt's prefix that is assumed to be cached on the worker's current
    /// incarnation.
    #[must_use]
    pub fn estimated_cached_tokens(&self, worker: WorkerId, chain: &PrefixChain) -> Tokens {
        self.cache.cached_tokens(worker, chain, self.now)
    }

    /// The numbers of entries for requests in progress and idempotency keys.
    #[must_use]
    pub fn sizes(&self) -> CoreSizes {
        CoreSizes {
            requests: self.requests.len(),
            attempts: self.attempts.len(),
            key_uses: self.key_uses.len(),
            calls: self.calls.len(),
        }
    }

    /// The workers whose last load report is at least `age_ms` old, oldest first, at most `max`.
    #[must_use]
    pub fn reports_due(&self, now: TimeMs, age_ms: DurationMs, max: usize) -> Vec<WorkerId> {
        let last_reports = self
            .workers
            .iter()
            .map(|(id, worker)| (worker.load_received_at_ms, *id));
        let mut due: Vec<_> = last_reports
            .filter(|row| now.since(row.0) >= age_ms)
            .collect();
        due.sort_unstable();
        due.into_iter().map(|row| row.1).take(max).collect()
    }

    /// The workers in the order of their ids.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().map(|row| row.1)
    }

    pub(crate) fn emit<C>(&mut self, command: C)
    where
        C: Into<Command>,
    {
        self.commands.push(command.into());
    }

    pub(crate) fn new_attempt_id(&mut self) -> AttemptId {
        self.last_attempt_number += 1;
        AttemptId(
            u128::from(self.settings.incarnation) << 64 | u128::from(self.last_attempt_number),
        )
    }

    /// Requests a call to the table service. `owner` identifies the attempt or other operation to
    /// which it belongs.
    pub(crate) fn call_table_service(&mut self, owner: AttemptId, operation: RecordCall) -> CallId {
        self.last_call_number += 1;
        let call = CallId(self.last_call_number);
        self.calls.insert(call, owner);
        self.emit(Command::Record { call, operation });
        call
    }

    /// Refuses a request and ends it. The verdict covers all of its attempts.
    pub(crate) fn refuse(
        &mut self,
        request: RequestId,
        verdict: Verdict,
        cause: Cause,
        retry_after_ms: DurationMs,
    ) {
        let earlier = self.requests.get(&request).map(|request| request.verdict);
        let verdict = earlier.map_or(verdict, |earlier| earlier.max(verdict));
        self.remove_request(request);
        let refusal = Refusal {
            verdict,
            cause,
            retry_after_ms,
        };
        self.emit(Command::Refuse { request, refusal });
    }

    /// Completes a request with the final cost, and ends it.
    pub(crate) fn complete(&mut self, request: RequestId, mut usage: Usage) {
        usage.cost_microcredits = credits::settle(self, request, usage.answer_tokens);
        self.remove_request(request);
        self.emit(Command::Complete { request, usage });
    }

    /// Removes a request, its charges and its attempt in progress.
    pub(crate) fn remove_request(&mut self, request: RequestId) {
        credits::release(self, request);
        self.end_attempt(request);
        self.requests.remove(&request);
    }

    /// Ends the attempt in progress of a request, if any.
    pub(crate) fn end_attempt(&mut self, request: RequestId) {
        let Some(request) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(attempt) = request.attempt.take() else {
            return;
        };
        self.attempts.remove(&attempt.id);
        learning::record_end(self, &attempt);
        if let Some(worker) = self.workers.get_mut(&attempt.worker) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
    }
}
