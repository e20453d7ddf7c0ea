//! What a gateway believes: the configuration, the backend servers and their caches, the newest
//! weights, and its budget for repeats.

use {
    super::{
        GatewaySettings,
        kept::KeptBeliefs,
        notice::{Notice, Peers, RolloutNotice, WeightsNotice},
        protocol::{PlatformProtocol, RowUpdate},
        replica::{Replica, StoredRow},
    },
    cactusspur_core::{
        DurationMs, TimeMs, VecMap, WeightsVersion, WorkerId,
        gateway::{
            AnnouncedWeights, BackendTable, CachedParts, PartUpdate, RetryBudget, RoutingTable,
        },
    },
    std::rc::Rc,
};

/// How long a server whose entry vanished while the store was away stays in use: it comes back
/// within two seconds of the store's return if it lives, and must be out of use soon after.
const VANISHED_MS: DurationMs = DurationMs(1_700);
/// How long after an outage of the store vanished entries get that respite.
const OUTAGE_RECENT_MS: DurationMs = DurationMs(3_000);
/// Namings of weights that are remembered for a model. The oldest matter only to engines that are
/// further behind than any may be.
const MAX_NAMED: usize = 32;
/// Namings that a notice tells for each model; older ones hardly matter to a peer that starts.
const MAX_TOLD_WEIGHTS: usize = 6;
/// How long an engine is spared after the holder of the lease on orders told so last.
const SPARED_MS: DurationMs = DurationMs(500);

/// What a gateway believes.
pub struct GatewayState {
    /// Copies of the watched tables.
    pub replica: Replica,
    /// The configuration in force.
    pub routing: Option<Rc<RoutingTable>>,
    /// The backend servers.
    pub backends: BackendTable,
    /// Who holds which parts of prompts.
    pub cached_parts: CachedParts,
    /// What may be repeated.
    pub retry_budget: RetryBudget,
    /// The weights that were named, oldest first, by model.
    pub named_weights: VecMap<String, Vec<AnnouncedWeights>>,
    /// The stores of kept KV cache.
    pub kept_stores: KeptBeliefs,
    /// This gateway's requests in progress that mostly write.
    pub writing: u64,
    /// Other gateways.
    pub peers: Peers,
    /// When another gateway was last heard to be rolling weights out.
    pub peer_rollout_at_ms: Option<TimeMs>,
    old_weights_grace_ms: DurationMs,
    outage_at_ms: Option<TimeMs>,
    store_heard_at_ms: Option<TimeMs>,
    vanished: VecMap<WorkerId, TimeMs>,
    watched: usize,
}

impl GatewayState {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(settings: &GatewaySettings) -> Self {
        let mut peers = Peers::default();
        for seed in &settings.seed_addresses {
            if *seed != settings.peers_address {
                peers.add(*seed);
            }
        }
        Self {
            replica: Replica::default(),
            routing: None,
            backends: BackendTable::default(),
            cached_parts: CachedParts::default(),
            retry_budget: RetryBudget::new(settings.retry_budget),
            named_weights: VecMap::default(),
            kept_stores: KeptBeliefs::default(),
            writing: 0,
            peers,
            peer_rollout_at_ms: None,
            old_weights_grace_ms: settings.old_weights_grace_ms,
            outage_at_ms: None,
            store_heard_at_ms: None,
            vanished: VecMap::default(),
            watched: 0,
        }
    }

    /// Says how many tables must be known before it can serve.
    pub fn set_watched_tables(&mut self, tables: usize) {
        self.watched = tables;
    }

    /// Whether all tables are known and the configuration is.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routing.is_some() && self.replica.read_tables() >= self.watched
    }

    /// Notes a caller's request for a service.
    pub fn record_request(&mut self, service: &str, now: TimeMs) {
        self.retry_budget
            .deposit(service, self.peers.sharing(), now);
    }

    /// Takes a repeat for a service out of the budget, if one is left.
    pub fn withdraw_retry(&mut self, service: &str, now: TimeMs) -> bool {
        self.retry_budget
            .withdraw(service, self.peers.sharing(), now)
    }

    /// Notes that the store answered.
    pub fn record_store_success(&mut self, now: TimeMs) {
        self.store_heard_at_ms = Some(now);
    }

    /// How long ago the store answered.
    #[must_use]
    pub fn store_age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.store_heard_at_ms.map(|at| now.since(at))
    }

    /// Notes that the store did not answer.
    pub fn record_store_failure(&mut self, now: TimeMs) {
        self.outage_at_ms = Some(now);
    }

    /// Takes new rows in. Gives back whether engines or named weights have changed.
    pub fn apply(
        &mut self,
        protocol: &dyn PlatformProtocol,
        table: &str,
        rows: &[StoredRow],
        now: TimeMs,
    ) -> bool {
        let mut changed = false;
        for row in rows {
            changed |= match &row.value {
                Some(value) => {
                    let update = protocol.parse_row(table, &row.key, value);
                    self.take_in(protocol, table, row, update, now)
                }
                None => self.take_out(protocol, table, row, now),
            };
        }
        changed
    }

    fn take_in(
        &mut self,
        protocol: &dyn PlatformProtocol,
        table: &str,
        row: &StoredRow,
        update: Option<RowUpdate>,
        now: TimeMs,
    ) -> bool {
        match update {
            Some(RowUpdate::Routing(routing)) => {
                self.take_routing(*routing, row.version);
                false
            }
            Some(RowUpdate::Weights { model, version }) => self.take_weights(&model, version, now),
            Some(RowUpdate::Backend(spec)) => {
                let worker = WorkerId::from_name(&spec.instance);
                self.vanished.remove(&worker);
                tracing::info!(
                    %worker, backend = spec.instance, service = spec.service, address = %spec.address,
                    is_ready = spec.is_ready, weights = spec.weights.first().map(|row| row.1.0), row_version = row.version, "backend server listed"
                );
                if self.backends.upsert(spec) {
                    tracing::info!(backend = row.key, "backend server has lost what it held");
                    self.cached_parts.remove_worker(worker);
                }
                true
            }
            None => {
                tracing::warn!(table, key = row.key, "a row of the store can't be read");
                // An entry that can't be read names no server to use.
                if protocol.backend_instance(table, &row.key).is_some() {
                    self.take_out(protocol, table, row, now);
                }
                false
            }
        }
    }

    fn take_routing(&mut self, routing: RoutingTable, row_version: u64) {
        let in_force = self.routing.as_ref().map(|known| known.version);
        if in_force.is_some_and(|version| version >= routing.version) {
            return;
        }
        tracing::info!(
            version = routing.version,
            earlier = in_force,
            row_version,
            "configuration in force"
        );
        self.routing = Some(Rc::new(routing));
    }

    fn take_weights(&mut self, model: &str, version: WeightsVersion, now: TimeMs) -> bool {
        if self.newest_weights(model) >= Some(version) {
            return false;
        }
        tracing::info!(model, version = version.0, "weights named");
        self.record_named_weights(model, version, now);
        true
    }

    /// Notes when weights were named, as far as that is known: this entry VM may have started
    /// later than that, and then hears it from its peers.
    pub fn record_named_weights(
        &mut self,
        model: &str,
        version: WeightsVersion,
        learned_at_ms: TimeMs,
    ) {
        let grace_ms = self.old_weights_grace_ms;
        let named = self
            .named_weights
            .get_or_insert_with(model.to_owned(), Vec::new);
        let found = named.binary_search_by_key(&version, |named| named.version);
        match found {
            Ok(at) => named[at].learned_at_ms = named[at].learned_at_ms.min(learned_at_ms),
            Err(at) => named.insert(
                at,
                AnnouncedWeights {
                    version,
                    learned_at_ms,
                    grace_ms,
                },
            ),
        }
        if named.len() > MAX_NAMED {
            named.remove(0);
        }
    }

    /// The weights that were named, with their ages.
    #[must_use]
    pub fn weights_notices(&self, now: TimeMs) -> Vec<WeightsNotice> {
        let rows = self.named_weights.iter().flat_map(|(model, named)| {
            let newest = named.iter().rev().take(MAX_TOLD_WEIGHTS);
            newest.map(move |named| WeightsNotice {
                model: model.clone(),
                version: named.version,
                age_ms: now.since(named.learned_at_ms),
            })
        });
        rows.collect()
    }

    /// Takes over what another gateway tells.
    pub fn apply_notice(&mut self, notice: &Notice, now: TimeMs) {
        let standing = notice.standing.as_ref();
        for told in standing.map_or(&[][..], |standing| &standing.weights) {
            let heard_at_ms = TimeMs(now.0.saturating_sub(told.age_ms.0));
            if self.newest_weights(&told.model) >= Some(told.version) {
                self.record_named_weights(&told.model, told.version, heard_at_ms);
            }
        }
        for (worker, sample) in &notice.paces {
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.pace.learn(*sample);
            }
        }
        for (worker, reading_ms) in &notice.sent {
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.record_sent_by_peer(*reading_ms, now);
            }
        }
        for (worker, load) in &notice.loads {
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.record_load(*load, now);
            }
        }
        self.apply_part_notes(&notice.parts, now);
        if let Some(rollout) = &notice.rollout {
            self.apply_rollout(rollout, now);
        }
    }

    /// The newest weights that were named for a model.
    #[must_use]
    pub fn newest_weights(&self, model: &str) -> Option<WeightsVersion> {
        let named = self.named_weights.get(&model.to_owned())?;
        named.last().map(|named| named.version)
    }

    fn take_out(
        &mut self,
        protocol: &dyn PlatformProtocol,
        table: &str,
        row: &StoredRow,
        now: TimeMs,
    ) -> bool {
        let Some(instance) = protocol.backend_instance(table, &row.key) else {
            return false;
        };
        let worker = WorkerId::from_name(&instance);
        let outage = self.outage_at_ms;
        let after_outage = outage.is_some_and(|at| now.since(at) < OUTAGE_RECENT_MS);
        tracing::info!(%worker, backend = instance, after_outage, "backend server vanished");
        if after_outage {
            self.vanished.insert(worker, now);
        } else {
            self.forget_backend(worker);
        }
        true
    }

    /// Whether entries of servers vanished in an outage and have not come back.
    #[must_use]
    pub fn has_vanished_backends(&self) -> bool {
        !self.vanished.is_empty()
    }

    /// Takes servers out of use whose entries vanished in an outage and did not come back. Gives
    /// back whether there was one.
    pub fn remove_vanished_backends(&mut self, now: TimeMs) -> bool {
        let overdue: Vec<WorkerId> = self
            .vanished
            .iter()
            .filter(|row| now.since(*row.1) >= VANISHED_MS)
            .map(|row| *row.0)
            .collect();
        for worker in &overdue {
            self.vanished.remove(worker);
            self.forget_backend(*worker);
        }
        !overdue.is_empty()
    }

    /// Takes over what the holder of the lease on orders tells.
    pub fn apply_rollout(&mut self, rollout: &RolloutNotice, now: TimeMs) {
        self.peer_rollout_at_ms = Some(now);
        for worker in &rollout.spared {
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.draining_until_ms = now.after(SPARED_MS);
            }
        }
        for worker in &rollout.loading {
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.loading_until_ms = now.after(SPARED_MS);
            }
        }
        for worker in &rollout.done {
            self.update_backend_weights(*worker, &rollout.model, rollout.version);
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.draining_until_ms = TimeMs(0);
                backend.loading_until_ms = TimeMs(0);
            }
        }
    }

    /// Notes that an engine has at least this version of a model's weights. Newer ones discard what
    /// it held for older ones. Gives back whether they are newer than was known.
    pub fn update_backend_weights(
        &mut self,
        worker: WorkerId,
        model: &str,
        version: WeightsVersion,
    ) -> bool {
        let backend = self.backends.get_mut(worker);
        let is_newer = backend.is_some_and(|backend| backend.record_weights(model, version));
        if is_newer {
            self.cached_parts.remove_worker(worker);
        }
        is_newer
    }

    /// Takes over what another gateway has learnt about caches.
    pub fn apply_part_notes(&mut self, parts: &[PartUpdate], now: TimeMs) {
        for note in parts {
            self.cached_parts.record(*note, now);
        }
    }

    /// Notes what a request of this gateway does. Gives back what the others are to be told.
    pub fn record_local_parts(&mut self, parts: Vec<PartUpdate>, now: TimeMs) -> Vec<PartUpdate> {
        let news = parts.into_iter();
        news.filter(|note| self.cached_parts.record_local(*note, now))
            .collect()
    }

    fn forget_backend(&mut self, worker: WorkerId) {
        self.backends.remove(worker);
        self.cached_parts.remove_worker(worker);
    }
}
