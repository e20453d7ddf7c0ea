//! A model of the workers: engines with a bounded cache, and plain services.

use cactusspur_core::{
    CacheChange, CacheReport, CacheSequence, FencingNumber, Incarnation, OrderOutcome, PieceHash,
    TimeMs, WeightsVersion, WorkerId,
};

/// Cache capacity of an engine.
const CACHE_PIECES: usize = 24;

/// The state of a worker.
#[derive(Debug)]
pub struct WorkerModel {
    pub name: &'static str,
    pub domain: &'static str,
    pub service: Option<&'static str>,
    pub incarnation: Incarnation,
    pub weights: WeightsVersion,
    pub checks_fencing: bool,
    pub highest_fencing: FencingNumber,
    pub loading: Option<(WeightsVersion, TimeMs)>,
    /// Whether the load was ordered under a fencing number that was already outdated.
    pub outdated: bool,
    pub down_until: TimeMs,
    pub frozen_until: TimeMs,
    pub unlisted_until: TimeMs,
    pub leaving: bool,
    pub listed_leaving_from: Option<TimeMs>,
    cache: Vec<PieceHash>,
    changes: Vec<CacheChange>,
}

impl WorkerModel {
    /// Creates a worker in its first incarnation.
    pub fn spawn(
        number: u64,
        name: &'static str,
        domain: &'static str,
        service: Option<&'static str>,
    ) -> Self {
        Self {
            name,
            domain,
            service,
            incarnation: Incarnation(1 + number * 10_000),
            weights: WeightsVersion(1),
            checks_fencing: number != 2,
            highest_fencing: FencingNumber(0),
            loading: None,
            outdated: false,
            down_until: TimeMs(0),
            frozen_until: TimeMs(0),
            unlisted_until: TimeMs(0),
            leaving: false,
            listed_leaving_from: None,
            cache: Vec::new(),
            changes: Vec::new(),
        }
    }

    pub fn id(&self) -> WorkerId {
        WorkerId::from_name(self.name)
    }

    /// The incarnation that answers a new connection; `None` while down or frozen.
    pub fn answers(&self, now: TimeMs) -> Option<Incarnation> {
        (self.down_until <= now && self.frozen_until <= now).then_some(self.incarnation)
    }

    /// Crashes the worker; it restarts at `up_at` with an empty cache.
    pub fn crash(&mut self, up_at: TimeMs) {
        self.incarnation.0 += 1;
        self.loading = None;
        self.highest_fencing = FencingNumber(0);
        self.down_until = up_at;
        self.frozen_until = TimeMs(0);
        self.leaving = false;
        self.listed_leaving_from = None;
        self.cache.clear();
        self.changes.clear();
    }

    /// Accepts an order to load weights, unless it is outdated.
    pub fn order(
        &mut self,
        fencing: FencingNumber,
        weights: WeightsVersion,
        ready_at: TimeMs,
    ) -> OrderOutcome {
        if self.checks_fencing && fencing < self.highest_fencing {
            return OrderOutcome::Outdated;
        }
        self.highest_fencing = fencing.max(self.highest_fencing);
        let loading = self.loading.map(|loading| loading.0);
        if self.weights != weights && loading != Some(weights) {
            self.loading = Some((weights, ready_at));
        }
        OrderOutcome::Applied
    }

    /// Completes a load that is due.
    pub fn load(&mut self, now: TimeMs) {
        if let Some((weights, _)) = self.loading.take_if(|loading| loading.1 <= now) {
            self.weights = weights;
        }
    }

    /// Caches pieces; returns the changes and the number of leading pieces already cached.
    pub fn compute(&mut self, pieces: &[PieceHash]) -> (CacheReport, usize) {
        let first = self.changes.len();
        let cached = pieces.iter().take_while(|piece| self.cache.contains(piece));
        let cached = cached.count();
        for piece in &pieces[cached..] {
            if self.cache.len() == CACHE_PIECES {
                self.changes
                    .push(CacheChange::Evicted(self.cache.remove(0)));
            }
            self.cache.push(*piece);
            self.changes.push(CacheChange::Stored(*piece));
        }
        (self.report(CacheSequence(first as u64)), cached)
    }

    /// A report of the cache changes from `first` on.
    pub fn report(&self, first: CacheSequence) -> CacheReport {
        let from = usize::try_from(first.0).unwrap_or(usize::MAX);
        CacheReport {
            worker: self.id(),
            incarnation: self.incarnation,
            first_sequence: first,
            changes: self.changes.get(from..).unwrap_or_default().to_vec(),
        }
    }
}
