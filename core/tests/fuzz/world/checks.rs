//! What must hold after each step, and once all faults are mended.

use {
    super::{HEAL_MS, LEAVING_LIMIT_MS, NODES, Node, WORKERS, World, dispatch, incarnation},
    crate::{
        common::{self, CUSTOMERS},
        oracle::{Ask, Last},
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
        let at = &self.nodes[node];
        let told = at.told_leaving.iter().find(|row| row.0 == send.worker);
        let over = told.is_some_and(|row| self.now.since(row.1).0 > LEAVING_LIMIT_MS);
        assert!(!over, "work sent to a leaving worker: {send:?}");
        let ask = self.oracle.asks.get_mut(&send.request);
        let ask = ask.expect("a request that was asked");
        assert!(
            !ask.attempts.contains(&send.attempt),
            "sent twice: {send:?}"
        );
        assert_eq!(send.resume_offset_bytes, ask.delivered as u64);
        ask.attempts.push(send.attempt);
        if let Some(scope) = send.scope {
            let target = at.core.configuration().declarations.models[0].weights_version;
            let any = at
                .core
                .workers()
                .any(|worker| worker.accepts_work() && worker.weights(scope.model) == Some(target));
            assert_eq!(
                scope.customer, ask.arrival.customer,
                "another customer's cache"
            );
            assert!(scope.weights == target || !any, "older weights: {send:?}");
        }
        let known = at.core.workers().find(|worker| worker.id == send.worker);
        let life = known.and_then(|worker| worker.incarnation);
        assert_eq!(send.incarnation, life);
        for piece in &chain.pieces {
            if let Some(life) = life {
                let row = (send.worker, life, *piece);
                self.oracle.cacheable.insert(row, ());
            }
        }
    }

    /// Nobody gives an order when another has followed it as the holder of the lease.
    pub(super) fn check_order(&self, node: usize, fencing: FencingNumber) {
        let row = self.table.row(&RecordKey::Lease("orders".into()));
        let Some((_, lease)) = row.cloned().and_then(Row::into_lease) else {
            panic!("an order without a lease");
        };
        let own = lease.holder_incarnation == incarnation(node, self.nodes[node].life);
        assert!(own || lease.fencing < fencing, "an order after the term");
    }

    /// What a core believes to be cached must have been computed by, or sent to, that life.
    pub(super) fn check_beliefs(&self, node: &Node) {
        let declared = &node.core.configuration().declarations.models[0];
        for (_, ask) in self.oracle.asks.iter().rev().take(4) {
            let scope = PrefixScope {
                customer: ask.arrival.customer,
                model: declared.id(),
                weights: declared.weights_version,
            };
            let chain = PrefixChain::from_levels(scope, &ask.arrival.levels);
            for worker in node.core.workers() {
                let believed = node.core.estimated_cached_tokens(worker.id, &chain);
                let pieces = usize::try_from(believed.0 / PIECE_TOKENS).unwrap_or(usize::MAX);
                let held = |piece: &PieceHash| {
                    let life = worker.incarnation;
                    life.is_some_and(|life| self.oracle.may_hold(worker.id, life, *piece))
                };
                let all = chain.pieces[..pieces].iter().all(held);
                assert!(all, "relies on what {} has not cached", worker.id);
            }
        }
    }

    pub(super) fn is_open(&self, ask: &Ask) -> bool {
        ask.last.is_none() && !ask.left && self.nodes[ask.node].life == ask.life
    }

    /// Checks what must hold after every step.
    pub fn check(&self) {
        for node in &self.nodes {
            let sizes = node.core.sizes();
            assert!(sizes.attempts <= sizes.requests, "{sizes:?}");
            assert_eq!(node.core.generation().0, node.highest_generation);
            self.check_beliefs(node);
        }
    }

    /// Mends all faults and checks that everything ends and every key can be used.
    pub fn heal(&mut self) {
        self.healed = true;
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
            self.nodes[node].parted_until = TimeMs(0);
        }
        self.advance(1_000);
        for node in 0..NODES {
            self.configure(node, self.generation);
        }
        self.advance(HEAL_MS);
        for (request, ask) in self.oracle.asks.iter() {
            assert!(!self.is_open(ask), "{request} has no end");
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
        let lives: Vec<u64> = self.nodes.iter().map(|node| node.life).collect();
        self.restart(0);
        self.advance(5_000);
        let known: Vec<bool> = self.nodes[0]
            .core
            .workers()
            .map(cactusspur_core::Worker::accepts_work)
            .collect();
        assert_eq!(known, [true; WORKERS]);
        let first = 1 + self.oracle.asks.len() as u64;
        for customer in 0..CUSTOMERS.len() {
            for key in 0..4 {
                self.ask(0, customer, 3, key, 1);
            }
        }
        self.advance(20_000);
        let last = self.oracle.asks.len() as u64;
        for request in first..=last {
            self.check_key(RequestId(request), &lives);
        }
    }

    /// A key can be used at the end, unless its attempt was told to be possibly run or the process
    /// that bound it has ended.
    pub(super) fn check_key(&mut self, request: RequestId, lives: &[u64]) {
        let ask = self.oracle.asks.get(&request).expect("just asked");
        let cause = match &ask.last {
            Some(Last::Answer(_)) => return,
            Some(Last::Refused(refusal)) => refusal.cause,
            other => panic!("{request} ended as {other:?}"),
        };
        if cause == Cause::KeyMismatch {
            return;
        }
        assert_eq!(cause, Cause::KeyInUse);
        let key = ask.key(dispatch()).expect("a key");
        let row = self.table.row(&RecordKey::Idempotency(key.clone()));
        let Some(Record::Idempotency(record)) = row.map(|row| &row.record) else {
            panic!("{key} is in use without a row");
        };
        let owner = u64::try_from(record.attempt.0 >> 64).unwrap_or_default();
        let alive = (0..NODES).any(|node| incarnation(node, lives[node]) == owner);
        let sent = |ask: &Ask| !ask.told_not_run() && ask.attempts.contains(&record.attempt);
        let possibly_run = self.oracle.asks.iter().any(|row| sent(row.1));
        assert!(
            possibly_run || !alive,
            "{key} is blocked by a request that was not run"
        );
        self.blocked += 1;
        let never_run = self.oracle.keys.get(&key).is_none();
        self.blocked_never_run += u64::from(never_run);
    }

    /// The figures that the test sums up.
    pub fn counts(&self) -> [u64; 9] {
        [
            self.oracle.asks.len() as u64,
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
