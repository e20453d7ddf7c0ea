//! How workers process requests and orders, and send reports.

use {
    super::{MAX_LOADS, Message, NODES, World, dispatch},
    crate::{
        common::{self},
        worker::WorkerModel,
    },
    bytes::Bytes,
    cactusspur_core::{
        AttemptId, DurationMs, Event, Failure, FencingNumber, OrderOutcome, PIECE_TOKENS,
        PrefixChain, RecordKey, Row, Send, Tokens, Verdict, VmList, WeightsVersion, WorkerId,
    },
};

impl World {
    /// Whether an entry VM and a worker can exchange messages.
    pub(super) fn reaches(&self, node: usize, id: WorkerId) -> bool {
        let node = &self.nodes[node];
        let is_local = |worker: &WorkerModel| worker.id() == id && worker.domain == node.domain;
        node.partitioned_until <= self.now || self.workers.iter().any(is_local)
    }

    pub(super) fn worker(&mut self, id: WorkerId) -> &mut WorkerModel {
        let known = self.workers.iter_mut().find(|worker| worker.id() == id);
        known.expect("a worker of this world")
    }

    /// Delivers an order to an engine. At most two engines may load weights at the same time by
    /// orders under the current lease term.
    pub(super) fn order(
        &mut self,
        id: WorkerId,
        fencing: FencingNumber,
        weights: WeightsVersion,
    ) -> OrderOutcome {
        let now = self.now;
        let ready_at = now.after(DurationMs(500 + self.random_below(4_000)));
        let row = self.table.row(&RecordKey::Lease("orders".into()));
        let current = row.cloned().and_then(Row::into_lease);
        let outdated = current.is_some_and(|(_, lease)| fencing < lease.fencing);
        let worker = self.worker(id);
        if worker.answers(now).is_none() {
            return OrderOutcome::Unknown;
        }
        let before = worker.loading;
        let outcome = worker.order(fencing, weights, ready_at);
        if worker.loading == before {
            return outcome;
        }
        worker.outdated = outdated;
        self.loads += 1;
        self.stale_orders += u64::from(outdated);
        let loading = |worker: &&WorkerModel| worker.loading.is_some() && !worker.outdated;
        let loads = self.workers.iter().filter(loading).count();
        assert!(loads <= MAX_LOADS, "{loads} loads at once");
        outcome
    }

    pub(super) fn chain_of(&self, send: &Send) -> PrefixChain {
        let tracked = self.oracle.requests.get(&send.request);
        let arrival = &tracked.expect("a request of this world").arrival;
        let scope = send
            .scope
            .map(|scope| PrefixChain::from_levels(scope, &arrival.levels));
        scope.unwrap_or_default()
    }

    /// A worker accepts or rejects an attempt.
    pub(super) fn run(&mut self, id: WorkerId, node: usize, epoch: u64, send: &Send) {
        let now = self.now;
        let attempt = send.attempt;
        let is_full = self.random_below(20) == 0 && !self.is_recovering;
        let is_reachable = self.reaches(node, id);
        let worker = self.worker(id);
        if worker.frozen_until > now {
            let wait_ms = worker.frozen_until.since(now).0;
            let worker = id;
            let send = send.clone();
            let job = Message::Job {
                worker,
                node,
                epoch,
                send,
            };
            return self.schedule(wait_ms, job);
        }
        let scope = send.scope;
        let lacks_weights = scope.is_some_and(|scope| scope.weights != worker.weights);
        let failure = if worker.down_until > now || !is_reachable {
            Some(Failure::Connect)
        } else if is_full || lacks_weights || worker.leaving {
            Some(Failure::Refused)
        } else {
            None
        };
        if let Some(failure) = failure {
            let verdict = Verdict::NotRun;
            let event = Event::AttemptFailed {
                attempt,
                verdict,
                failure,
            };
            let message = if is_reachable {
                Message::from_worker(node, epoch, id, attempt, event)
            } else {
                Message::event(node, epoch, event)
            };
            return self.schedule(1, message);
        }
        self.oracle.record_run(send.request, attempt, dispatch());
        if scope.is_some() {
            self.generate(id, node, epoch, send);
            return;
        }
        let is_slow = self.random_below(6) == 0;
        let wait_ms = if is_slow { 4_000 } else { 0 } + self.random_below(1_000);
        let event = Event::CallAnswered {
            attempt,
            status: 200,
            body: Bytes::from(attempt.to_string()),
        };
        self.schedule(
            wait_ms,
            Message::from_worker(node, epoch, id, attempt, event),
        );
    }

    pub(super) fn generate(&mut self, id: WorkerId, node: usize, epoch: u64, send: &Send) {
        let attempt = send.attempt;
        let chain = self.chain_of(send);
        let worker = self.worker(id);
        let incarnation = worker.incarnation;
        let (changes, cached) = worker.compute(&chain.pieces);
        for piece in &chain.pieces {
            self.oracle.cacheable.insert((id, incarnation, *piece), ());
        }
        self.broadcast(&Event::Cache(changes));
        let tracked = self.oracle.requests.get(&send.request);
        let answer = tracked.expect("a request of this world").expected.clone();
        let mut at_ms = self.random_below(150);
        let accepted = Event::AttemptAccepted {
            attempt,
            incarnation,
            cached_tokens: Tokens(cached as u64 * PIECE_TOKENS),
        };
        self.schedule(
            at_ms,
            Message::from_worker(node, epoch, id, attempt, accepted),
        );
        let mut offset = usize::try_from(send.resume_offset_bytes).unwrap_or(usize::MAX);
        while offset < answer.len() {
            let end = answer.len().min(offset + 7);
            at_ms += 10 + self.random_below(120);
            let piece = Event::Piece {
                attempt,
                offset_bytes: offset as u64,
                text: answer.slice(offset..end),
            };
            self.schedule(at_ms, Message::from_worker(node, epoch, id, attempt, piece));
            offset = end;
        }
        let finished = Event::AttemptFinished {
            attempt,
            answer_bytes: answer.len() as u64,
            answer_tokens: Tokens(answer.len() as u64),
        };
        self.schedule(
            at_ms + 1,
            Message::from_worker(node, epoch, id, attempt, finished),
        );
    }

    /// Drops the messages of an attempt that are in flight.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.messages.retain(|row| row.2.attempt() != Some(attempt));
    }

    /// Sends an event to all entry VMs with a delay; it may be lost or duplicated.
    pub(super) fn broadcast(&mut self, event: &Event) {
        for node in 0..NODES {
            let epoch = self.nodes[node].epoch;
            for _ in 0..[1, 1, 1, 0, 2][usize::try_from(self.random_below(5)).unwrap_or(0)] {
                let wait_ms = self.random_below(800);
                self.schedule(wait_ms, Message::event(node, epoch, event.clone()));
            }
        }
    }

    pub(super) fn report(&mut self) {
        let now = self.now;
        for index in 0..self.workers.len() {
            if self.workers[index].answers(now).is_none() {
                continue;
            }
            let worker = &self.workers[index];
            let (id, incarnation) = (worker.id(), worker.incarnation);
            let loaded = worker.service.is_none().then_some(worker.weights);
            let report = common::load(worker.name, incarnation.0, now, loaded);
            let leaving = worker.leaving;
            self.broadcast(&Event::Load(report));
            if leaving {
                let worker = id;
                self.broadcast(&Event::WorkerLeaving {
                    worker,
                    incarnation,
                });
            }
        }
        let listed = |worker: &&WorkerModel| worker.unlisted_until <= now;
        let vms = self.workers.iter().filter(listed).map(|worker| {
            let leaving = worker.listed_leaving_from.is_some_and(|from| from <= now);
            common::vm(worker.name, worker.domain, worker.service, leaving)
        });
        let list = VmList { vms: vms.collect() };
        for node in 0..NODES {
            let epoch = self.nodes[node].epoch;
            let random_time = now.after(DurationMs(self.random_below(1_500)));
            let arrives_at = random_time.max(self.nodes[node].next_list_at);
            self.nodes[node].next_list_at = arrives_at;
            let event = Event::Vms(list.clone());
            self.schedule(arrives_at.since(now).0, Message::event(node, epoch, event));
        }
    }
}
