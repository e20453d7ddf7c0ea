//! Invariants checked after each step, and after recovery from all faults.

use {
    super::{
        LEAVING_LIMIT_MS, NODES, Node, RECOVERY_LIMIT_MS, WORKERS, World, dispatch, incarnation,
    },
    crate::{
        common::{self, CUSTOMERS},
        oracle::{FinalAnswer, RequestLog},
        table::TableMode,
    },
    cactusspur_core::{
        Cause, FencingNumber, PIECE_TOKENS, PieceHash, PrefixChain, PrefixScope, Record, RecordKey,
        RequestId, Row, Send, TimeMs,
    },
};

impl World {
    pub(super) fn check_send(&mut self, node: usize, send: &Send) {
        let chain = self.chain_of(send);
        let sender = &self.nodes[node];
        let leaving = sender.known_leaving.iter().find(|row| row.0 == send.worker);
        let is_late = leaving.is_some_and(|row| self.now.since(row.1).0 > LEAVING_LIMIT_MS);
        assert!(!is_late, "work sent to a leaving worker: {send:?}");
        let tracked = self.oracle.requests.get_mut(&send.request);
        let tracked = tracked.expect("a request of this world");
        assert!(
            !tracked.attempts.contains(&send.attempt),
            "sent twice: {send:?}"
        );
        assert_eq!(send.resume_offset_bytes, tracked.delivered as u64);
        tracked.attempts.push(send.attempt);
        if let Some(scope) = send.scope {
            let target = sender.core.configuration().declarations.models[0].weights_version;
            let any = sender
                .core
                .workers()
                .any(|worker| worker.accepts_work() && worker.weights(scope.model) == Some(target));
            assert_eq!(
                scope.customer, tracked.arrival.customer,
                "another customer's cache"
            );
            assert!(scope.weights == target || !any, "older weights: {send:?}");
        }
        let known = sender
            .core
            .workers()
            .find(|worker| worker.id == send.worker);
        let incarnation = known.and_then(|worker| worker.incarnation);
        assert_eq!(send.incarnation, incarnation);
        for piece in &chain.pieces {
            if let Some(incarnation) = incarnation {
                let row = (send.worker, incarnation, *piece);
                self.oracle.cacheable.insert(row, ());
            }
        }
    }

    /// No entry VM sends an order after another has taken over the lease.
    pub(super) fn check_order(&self, node: usize, fencing: FencingNumber) {
        let row = self.table.row(&RecordKey::Lease("orders".into()));
        let Some((_, lease)) = row.cloned().and_then(Row::into_lease) else {
            panic!("an order without a lease");
        };
        let is_holder = lease.holder_incarnation == incarnation(node, self.nodes[node].epoch);
        assert!(
            is_holder || lease.fencing < fencing,
            "an order after the lease term"
        );
    }

    /// Pieces that a core assumes cached must have been computed by, or sent to, that incarnation
    /// of the worker.
    pub(super) fn check_beliefs(&self, node: &Node) {
        let declared = &node.core.configuration().declarations.models[0];
        for (_, tracked) in self.oracle.requests.iter().rev().take(4) {
            let scope = PrefixScope {
                customer: tracked.arrival.customer,
                model: declared.id(),
                weights: declared.weights_version,
            };
            let chain = PrefixChain::from_levels(scope, &tracked.arrival.levels);
            for worker in node.core.workers() {
                let assumed = node.core.estimated_cached_tokens(worker.id, &chain);
                let pieces = usize::try_from(assumed.0 / PIECE_TOKENS).unwrap_or(usize::MAX);
                let held = |piece: &PieceHash| {
                    let run = worker.incarnation;
                    run.is_some_and(|run| self.oracle.may_have_cached(worker.id, run, *piece))
                };
                let all = chain.pieces[..pieces].iter().all(held);
                assert!(all, "relies on what {} has not cached", worker.id);
            }
        }
    }

    pub(super) fn is_open(&self, tracked: &RequestLog) -> bool {
        tracked.final_answer.is_none()
            && !tracked.caller_left
            && self.nodes[tracked.node].epoch == tracked.epoch
    }

    /// Checks the invariants that hold after every step.
    pub fn check(&self) {
        for node in &self.nodes {
            let sizes = node.core.sizes();
            assert!(sizes.attempts <= sizes.requests, "{sizes:?}");
            assert_eq!(node.core.generation().0, node.highest_generation);
            self.check_beliefs(node);
        }
    }

    /// Ends all faults, then checks that every request ends and every key can be used.
    pub fn recover(&mut self) {
        self.is_recovering = true;
        self.mode = TableMode::Up;
        for worker in 0..WORKERS {
            self.workers[worker].unlisted_until = TimeMs(0);
            if self.workers[worker].leaving {
                self.crash(worker, 0);
            }
        }
        for node in 0..NODES {
            self.nodes[node].paused_until = TimeMs(0);
            self.nodes[node].cut_until = TimeMs(0);
            self.nodes[node].partitioned_until = TimeMs(0);
        }
        self.advance(1_000);
        for node in 0..NODES {
            self.configure(node, self.generation);
        }
        self.advance(RECOVERY_LIMIT_MS);
        for (request, tracked) in self.oracle.requests.iter() {
            assert!(!self.is_open(tracked), "{request} has not ended");
        }
        for node in &self.nodes {
            let sizes = node.core.sizes();
            let rows = (sizes.requests, sizes.attempts, sizes.key_uses);
            assert_eq!(rows, (0, 0, 0));
            assert!(sizes.calls <= 1, "{sizes:?}");
        }
        let newest = common::weights(self.generation);
        let ordered = self.nodes.iter().any(|node| !node.shutting_down);
        for engine in self.workers.iter().filter(|_| ordered) {
            let updated = engine.service.is_some() || engine.weights == newest;
            assert!(updated, "{} was not updated", engine.name);
        }
        self.use_every_key();
    }

    pub(super) fn use_every_key(&mut self) {
        let epochs: Vec<u64> = self.nodes.iter().map(|node| node.epoch).collect();
        self.restart(0);
        self.advance(5_000);
        let known: Vec<bool> = self.nodes[0]
            .core
            .workers()
            .map(cactusspur_core::Worker::accepts_work)
            .collect();
        assert_eq!(known, [true; WORKERS]);
        let first = 1 + self.oracle.requests.len() as u64;
        for customer in 0..CUSTOMERS.len() {
            for key in 0..4 {
                self.send_request(0, customer, 3, key, 1);
            }
        }
        self.advance(20_000);
        let last = self.oracle.requests.len() as u64;
        for request in first..=last {
            self.check_key(RequestId(request), &epochs);
        }
    }

    /// A key can be used at the end, unless a request with it was reported as possibly run or the
    /// process that bound it has ended.
    pub(super) fn check_key(&mut self, request: RequestId, epochs: &[u64]) {
        let tracked = self
            .oracle
            .requests
            .get(&request)
            .expect("a request just sent");
        let cause = match &tracked.final_answer {
            Some(FinalAnswer::Answer(_)) => return,
            Some(FinalAnswer::Refused(refusal)) => refusal.cause,
            other => panic!("{request} ended as {other:?}"),
        };
        if cause == Cause::KeyMismatch {
            return;
        }
        assert_eq!(cause, Cause::KeyInUse);
        let key = tracked.key(dispatch()).expect("a key");
        let row = self.table.row(&RecordKey::Idempotency(key.clone()));
        let Some(Record::Idempotency(record)) = row.map(|row| &row.record) else {
            panic!("{key} is in use without a row");
        };
        let owner = u64::try_from(record.attempt.0 >> 64).unwrap_or_default();
        let alive = (0..NODES).any(|node| incarnation(node, epochs[node]) == owner);
        let sent =
            |row: &RequestLog| !row.ended_not_run() && row.attempts.contains(&record.attempt);
        let possibly_run = self.oracle.requests.iter().any(|row| sent(row.1));
        assert!(
            possibly_run || !alive,
            "{key} is blocked by a request that was not run"
        );
        self.blocked += 1;
        let never_run = self.oracle.keys.get(&key).is_none();
        self.blocked_never_run += u64::from(never_run);
    }

    /// Counts that the test adds up over all cases, in the order of `TOTAL_NAMES`.
    pub fn counts(&self) -> [u64; 9] {
        [
            self.oracle.requests.len() as u64,
            self.oracle.answered,
            self.oracle.refused_not_run,
            self.oracle.refused_may_have_run,
            self.oracle.keys.len() as u64,
            self.blocked,
            self.blocked_never_run,
            self.loads,
            self.stale_orders,
        ]
    }
}
