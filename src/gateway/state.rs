//! The state of a gateway: the configuration, the backend servers and their caches, the announced
//! weights, and the retry budget.

use {
    super::{
        GatewaySettings,
        brittle::BrittleServices,
        clock::now,
        digest::{Collector, Digest, Origin},
        kept_stores::KeptStoreStates,
        notice::{Notice, RolloutNotice, WeightsNotice},
        peer_table::{OwnIdentity, Peers, gateway_rank},
        protocol::{PlatformProtocol, ResponseHead, RowUpdate, RunClaim},
        removed::RemovedBackends,
        replica::{Replica, StoreVersion, StoredRow},
        store_polls::{PollTimes, StorePolls},
        watch_duty::{Duty, WatchDuty},
    },
    cactusspur_core::{
        DurationMs, EntryId, TimeMs, VecMap, WeightsVersion, WorkerId,
        gateway::{
            AgeSource, AnnouncedAt, Announcements, Backend, BackendTable, CachedParts, Load,
            Overload, PartUpdate, PastServices, PastVersion, PastVersions, Quarantine, Reach,
            RetryBudget, Route, RoutingTable, SoftwareKey, StreamOrigin, StreamOrigins,
            UsageOrigin, UsageTable, VersionRecord, outdated,
        },
    },
    std::rc::Rc,
};

/// How long after the return of the store a server stays in use whose entry vanished in the outage. A running
/// server registers again within this time; one that has failed or left must be out of use soon after that.
const VANISHED_GRACE_MS: DurationMs = DurationMs(2_000);
/// How long after a failed call the store counts as failing for a gateway that makes no other one.
const RECENT_OUTAGE_MS: DurationMs = DurationMs(3_000);
/// The time that a store takes to remove the row of a server beyond the server's time limit.
const ROW_REMOVAL_MARGIN_MS: DurationMs = DurationMs(900);
/// The time that the end of a connection may take to reach an engine.
const TRANSIT_MS: DurationMs = DurationMs(300);
/// How long an engine counts as draining or loading after the last notice of the order lease's
/// holder that says so.
const ROLLOUT_STATE_TTL_MS: DurationMs = DurationMs(500);

/// How long a server is avoided while the store doesn't hold its software version: a write that fails once.
const RECORD_WAIT_MS: DurationMs = DurationMs(2_000);
/// How many attempts of a caller, each as long as its route permits, a stream may be taken up in.
const STREAM_ATTEMPTS: u64 = 2;

/// When a request was sent, and to which incarnation of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentTo {
    /// When the request was sent.
    pub sent_at_ms: TimeMs,
    /// When the server's incarnation had started, by its own description.
    pub started_at_ms: u64,
    /// The version of its software.
    pub software: SoftwareKey,
}

/// The state of a gateway.
pub struct GatewayState {
    /// Copies of the watched tables.
    pub replica: Replica,
    /// The configuration in force; `None` before one is loaded.
    pub routing: Option<Rc<RoutingTable>>,
    /// The backend servers.
    pub backends: BackendTable,
    /// The servers and KV cache stores that hold each prompt part.
    pub cached_parts: CachedParts,
    /// The budget that limits retries of each service.
    pub retry_budget: RetryBudget,
    /// The use of customers with caps.
    pub usage: UsageTable,
    /// The weights that were announced, by model.
    pub announced_weights: VecMap<String, Announcements>,
    /// Until when the rows of each watched table are known, by the answers of the store.
    known_until: VecMap<String, TimeMs>,
    /// The state of the KV cache stores.
    pub kept_stores: KeptStoreStates,
    /// Whether no gateway had registered in the store when this one did first.
    pub is_first_gateway: bool,
    /// Where streams began.
    pub stream_origins: StreamOrigins,
    /// The services that routes led to.
    pub past_services: PastServices,
    /// The versions that services had, and what the store holds of them.
    pub past_versions: PastVersions,
    /// The requests and prompt parts on which servers crash.
    pub quarantine: Quarantine,
    /// The load of services beside what they can answer in time.
    pub overload: Overload,
    /// Which services this gateway reaches.
    pub reach: Reach,
    /// The services whose servers say that they are brittle.
    pub brittle_services: BrittleServices,
    /// When this gateway started.
    pub started_at_ms: TimeMs,
    /// The number of this gateway's decode-heavy requests in progress.
    pub decode_heavy_requests: u64,
    /// Other gateways.
    pub peers: Peers,
    /// Notices of other gateways that this one merges, in a large fleet.
    pub collector: Collector,
    /// When another gateway last announced that it is rolling out weights.
    pub peer_rollout_at_ms: Option<TimeMs>,
    /// How long after new weights are announced a request may still start on older ones.
    pub old_weights_grace_ms: DurationMs,
    /// When the last call to the store failed; `None` if it was answered.
    store_failed_at_ms: Option<TimeMs>,
    /// When the store first answered after a failure.
    store_returned_at_ms: Option<TimeMs>,
    store_answered_at_ms: Option<TimeMs>,
    /// Servers whose entries vanished in an outage, and when they are removed.
    vanished_backends: VecMap<WorkerId, TimeMs>,
    removed_backends: RemovedBackends,
    /// The store's era, and when it was first seen.
    store_era: Option<(u64, TimeMs)>,
    /// When this gateway saw the store return from a backup.
    restored_at_ms: Option<TimeMs>,
    /// The calls to the store.
    pub store_polls: StorePolls,
    /// The part of this gateway in polling the store.
    pub watch_duty: WatchDuty,
}

impl GatewayState {
    /// A state without tables and configuration, which knows only the seed peers.
    #[must_use]
    pub fn new(settings: &GatewaySettings) -> Self {
        let mut peers = Peers::new(OwnIdentity {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            address: settings.peers_address,
        });
        for seed in &settings.seed_addresses {
            peers.add(*seed);
        }
        let change_limit_ms = settings.configuration_limit_ms.min(settings.drain_limit_ms);
        let times = PollTimes::new(change_limit_ms);
        Self {
            replica: Replica::default(),
            routing: None,
            backends: BackendTable::default(),
            cached_parts: CachedParts::default(),
            retry_budget: RetryBudget::new(settings.retry_budget),
            usage: UsageTable::new(
                settings.usage,
                UsageOrigin(Origin::of(EntryId::from_name(&settings.name)).0),
                now(),
            ),
            announced_weights: VecMap::default(),
            known_until: VecMap::default(),
            kept_stores: KeptStoreStates::default(),
            is_first_gateway: false,
            stream_origins: StreamOrigins::default(),
            past_services: PastServices::default(),
            past_versions: PastVersions::starting_at(now()),
            quarantine: Quarantine::new(gateway_rank(&settings.name, 0), now()),
            overload: Overload::default(),
            reach: Reach::default(),
            brittle_services: BrittleServices::default(),
            started_at_ms: now(),
            decode_heavy_requests: 0,
            peers,
            collector: Collector::default(),
            peer_rollout_at_ms: None,
            old_weights_grace_ms: settings.old_weights_grace_ms,
            store_failed_at_ms: None,
            store_returned_at_ms: None,
            store_answered_at_ms: None,
            vanished_backends: VecMap::default(),
            removed_backends: RemovedBackends::new(
                settings.server_timeout_ms + ROW_REMOVAL_MARGIN_MS,
            ),
            store_era: None,
            restored_at_ms: None,
            store_polls: StorePolls::new(times, &[]),
            watch_duty: WatchDuty::new(times),
        }
    }

    /// Sets the tables that must be loaded before the gateway can serve.
    pub fn set_watched_tables(&mut self, tables: &[&'static str]) {
        self.store_polls = StorePolls::new(self.store_polls.times(), tables);
    }

    /// Whether all watched tables are loaded and contain a configuration.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.routing.is_some() && self.replica.table_count() >= self.store_polls.table_count()
    }

    /// Records a caller's request for a service, which adds to the service's retry budget.
    pub fn record_request(&mut self, service: &str, now: TimeMs) {
        self.retry_budget
            .deposit(service, self.peers.budget_sharers(now), now);
    }

    /// Withdraws one retry from a service's budget. Returns whether one was left.
    pub fn withdraw_retry(&mut self, service: &str, now: TimeMs) -> bool {
        self.retry_budget
            .withdraw(service, self.peers.budget_sharers(now), now)
    }

    /// Records that the store answered.
    pub fn record_store_success(&mut self, now: TimeMs) {
        if self.store_failed_at_ms.take().is_some() {
            self.store_returned_at_ms = Some(now);
        }
        self.store_answered_at_ms = Some(now);
        self.peers.record_store_answer(now);
    }

    /// What to do next to keep the copies of the tables up to date.
    pub fn next_duty(&mut self, random: u64, now: TimeMs) -> Duty {
        let times = self.store_polls.times();
        let pollers = self.peers.domain_pollers(times, now);
        let was_polling = self.watch_duty.is_polling();
        let duty = self.watch_duty.next(pollers, random, now);
        if was_polling && !self.watch_duty.is_polling() {
            tracing::info!(?pollers, "another gateway polls the store instead");
        }
        if duty == Duty::Poll {
            self.store_polls.set_place(self.peers.poll_place());
            if !self.watch_duty.is_polling() {
                self.store_polls.confirm();
            }
        }
        duty
    }

    /// The time since the store last answered, if this gateway polls it. What gateways tell each other:
    /// those that don't poll can't tell of changes.
    #[must_use]
    pub fn poll_age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.store_age_ms(now)
            .filter(|_| self.watch_duty.is_polling())
    }

    /// The time since the store last answered; `None` if it never did.
    #[must_use]
    pub fn store_age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.store_answered_at_ms.map(|at_ms| now.since(at_ms))
    }

    /// Whether there may be a newer configuration than the one in force, since the store has answered
    /// no gateway lately.
    #[must_use]
    pub fn may_be_outdated(&self, now: TimeMs) -> bool {
        let limit_ms = self.store_polls.times().watcher_answer_ms();
        let age_ms = self.peers.store_answer_age_ms(now);
        age_ms.is_none_or(|age_ms| age_ms > limit_ms)
    }

    /// Records that the store did not answer.
    pub fn record_store_failure(&mut self, now: TimeMs) {
        self.store_failed_at_ms = Some(now);
    }

    /// Records the era of the store's tables. Returns it if the store has returned from a backup.
    pub fn record_era(&mut self, now: TimeMs) -> Option<u64> {
        let era = self.replica.era();
        let known = self.store_era.map(|known| known.0);
        if known.is_some_and(|known| known >= era) {
            return None;
        }
        self.store_era = Some((era, now));
        known.map(|_| {
            self.restored_at_ms = Some(now);
            era
        })
    }

    /// The store's era, and the time for which it has been known.
    #[must_use]
    pub fn store_era(&self, now: TimeMs) -> (u64, DurationMs) {
        let (era, since_ms) = self.store_era.unwrap_or((0, now));
        (era, now.since(since_ms))
    }

    /// Applies new rows of a table. Returns whether a backend server or announced weights have
    /// changed. Restored rows come from a store that has returned from a backup: a server that was
    /// removed in the meantime is used again only when its row stays. Until `unchanged_until` the rows had
    /// not changed.
    pub fn apply_rows(
        &mut self,
        protocol: &dyn PlatformProtocol,
        table: &str,
        rows: &[StoredRow],
        is_restored: bool,
        unchanged_until: AnnouncedAt,
        now: TimeMs,
    ) -> bool {
        let mut changed = false;
        for row in rows {
            if is_restored && self.is_doubtful(protocol, table, row, now) {
                continue;
            }
            changed |= match &row.value {
                Some(value) => {
                    let update = protocol.parse_row(table, &row.key, value);
                    self.apply_update(protocol, table, row, update, unchanged_until, now)
                }
                None => self.remove_row(protocol, table, row, now),
            };
        }
        changed
    }

    /// Keeps the row of a server that was removed lately for later. Returns whether it is one.
    fn is_doubtful(
        &mut self,
        protocol: &dyn PlatformProtocol,
        table: &str,
        row: &StoredRow,
        now: TimeMs,
    ) -> bool {
        let parsed = row
            .value
            .as_deref()
            .and_then(|value| protocol.parse_row(table, &row.key, value));
        let Some(RowUpdate::Backend(spec)) = parsed else {
            return false;
        };
        let worker = WorkerId::from_name(&spec.instance);
        let was_removed = self.removed_backends.has(worker, spec.started_at_ms);
        let is_doubtful = was_removed || self.vanished_backends.get(&worker).is_some();
        if is_doubtful {
            tracing::info!(%worker, backend = spec.instance, "the row of a removed server is back");
            self.removed_backends.doubt(worker, table, row, now);
        }
        is_doubtful
    }

    /// Applies the doubtful rows that have stayed for long enough. Returns whether there were any.
    pub fn apply_doubtful_rows(&mut self, protocol: &dyn PlatformProtocol, now: TimeMs) -> bool {
        let due = self.removed_backends.take_due(now);
        for doubtful in &due {
            let rows = std::slice::from_ref(&doubtful.row);
            self.apply_rows(
                protocol,
                &doubtful.table,
                rows,
                false,
                AnnouncedAt::Unknown,
                now,
            );
        }
        !due.is_empty()
    }

    /// Applies one row with a value. Returns whether a backend server or announced weights have
    /// changed.
    fn apply_update(
        &mut self,
        protocol: &dyn PlatformProtocol,
        table: &str,
        row: &StoredRow,
        update: Option<RowUpdate>,
        unchanged_until: AnnouncedAt,
        now: TimeMs,
    ) -> bool {
        match update {
            Some(RowUpdate::Routing(routing)) => {
                self.apply_routing(*routing, row.version, now);
                false
            }
            Some(RowUpdate::Weights { model, version }) => {
                self.apply_weights(&model, version, unchanged_until, now)
            }
            Some(RowUpdate::Backend(spec)) => {
                let worker = WorkerId::from_name(&spec.instance);
                self.vanished_backends.remove(&worker);
                self.removed_backends.clear_doubt(worker);
                tracing::info!(
                    %worker, backend = spec.instance, service = spec.service, address = %spec.address,
                    is_ready = spec.is_ready, weights = spec.weights.first().map(|row| row.1.0),
                    software = spec.software.as_ref().map(tracing::field::display), row_version = %row.version, "backend server listed"
                );
                let was_leaving = self
                    .removed_backends
                    .was_leaving(worker, spec.started_at_ms);
                self.record_past_version(worker, now);
                let lost_cache = self.backends.upsert(spec);
                self.update_all_rooms(now);
                if let Some(backend) = self.backends.get_mut(worker).filter(|_| was_leaving) {
                    backend.record_leaving();
                }
                self.await_record(worker, now);
                if lost_cache {
                    tracing::info!(backend = row.key, "backend server lost its cached parts");
                    self.cached_parts.remove_worker(worker);
                }
                true
            }
            None => {
                tracing::warn!(table, key = row.key, "failed to parse a row of the store");
                // A backend server whose entry is invalid isn't used.
                if protocol.backend_instance(table, &row.key).is_some() {
                    self.remove_row(protocol, table, row, now);
                }
                false
            }
        }
    }

    /// Puts a configuration in force if its version is higher than the current one.
    fn apply_routing(&mut self, routing: RoutingTable, row_version: StoreVersion, now: TimeMs) {
        let in_force = self.routing.as_ref().map(|routing| routing.version);
        if in_force.is_some_and(|version| version >= routing.version) {
            return;
        }
        tracing::info!(
            version = routing.version,
            earlier = in_force,
            %row_version,
            "configuration in force"
        );
        if let Some(earlier) = &self.routing {
            let lifetime_ms = self.stream_origins.lifetime_ms();
            self.past_services
                .record(earlier.routes(), lifetime_ms, now);
        }
        let longest_ms = routing.longest_stream_ms();
        self.stream_origins
            .set_lifetime(DurationMs(longest_ms.0 * STREAM_ATTEMPTS));
        self.apply_caps(&routing, now);
        self.routing = Some(Rc::new(routing));
    }

    /// Records weights that the store names. Until the moment in `unchanged_until` it named none that are newer
    /// than the known ones. Returns whether they are newer than these.
    fn apply_weights(
        &mut self,
        model: &str,
        version: WeightsVersion,
        unchanged_until: AnnouncedAt,
        now: TimeMs,
    ) -> bool {
        let announced = self
            .announced_weights
            .get_or_insert_with(model.to_owned(), Announcements::default);
        let is_newer = announced.name(version, unchanged_until, self.old_weights_grace_ms, now);
        if is_newer {
            tracing::info!(
                model,
                version = version.0,
                ?unchanged_until,
                "weights announced"
            );
        }
        is_newer
    }

    /// Records that no weights after `follows`, up to a version, were announced before a moment.
    pub fn record_announced_weights(
        &mut self,
        model: &str,
        version: WeightsVersion,
        follows: WeightsVersion,
        at: AnnouncedAt,
    ) {
        self.announced_weights
            .get_or_insert_with(model.to_owned(), Announcements::default)
            .record(version, follows, at, self.old_weights_grace_ms);
    }

    /// Until when rows that change now had not changed.
    #[must_use]
    pub fn unchanged_until(&self, table: &str, now: TimeMs) -> AnnouncedAt {
        if self.replica.head(table).is_none() {
            return AnnouncedAt::Unknown;
        }
        // A gateway that follows the table, itself or through its peers, hears of a change within the limit.
        let limit_ms = self.store_polls.times().change_limit_ms();
        let limit = AnnouncedAt::NotBefore {
            at_ms: TimeMs(now.0.saturating_sub(limit_ms.0)),
            source: AgeSource::Estimate,
        };
        let known_until_ms = self.known_until.get(&table.to_owned());
        let recent_ms = known_until_ms.filter(|at_ms| now.since(**at_ms) <= limit_ms);
        recent_ms.map_or(limit, |at_ms| AnnouncedAt::NotBefore {
            at_ms: *at_ms,
            source: AgeSource::Store,
        })
    }

    /// Records until when the rows of a table are known.
    pub fn record_known_until(&mut self, table: &str, until_ms: TimeMs) {
        self.known_until.insert(table.to_owned(), until_ms);
    }

    /// The announced weights of each model, with the time since their announcement, for notices.
    #[must_use]
    pub fn weights_notices(&self, now: TimeMs) -> Vec<WeightsNotice> {
        let rows = self
            .announced_weights
            .iter()
            .flat_map(|(model, announced)| {
                let notices = announced.notices(now).into_iter();
                notices.map(move |(version, age_ms)| WeightsNotice {
                    model: model.clone(),
                    version,
                    age_ms,
                })
            });
        rows.collect()
    }

    /// Applies another gateway's notice.
    pub fn apply_notice(&mut self, notice: &Notice, now: TimeMs) {
        let status = notice.status.as_ref();
        self.apply_weights_notices(status.map_or(&[][..], |status| &status.weights), now);
        let past_versions = status.map_or(&[][..], |status| &status.past_versions);
        self.past_versions.apply(past_versions, now);
        let brittle = status.map_or(&[][..], |status| &status.brittle_services);
        self.apply_brittle_services(brittle, now);
        for record in status.map_or(&[][..], |status| &status.version_records) {
            self.apply_version_record(record.clone(), now);
        }
        self.apply_stream_origins(&notice.streams, now);
        self.usage.apply(&notice.usage, now);
        for (worker, sample) in &notice.paces {
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.pace.learn(*sample);
            }
        }
        for (worker, prefill_ms) in &notice.sent_requests {
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.record_sent_by_peer(*prefill_ms, now);
            }
        }
        for (worker, load) in &notice.loads {
            self.record_load(*worker, *load, now);
        }
        self.apply_part_updates(&notice.parts, now);
        if let Some(rollout) = &notice.rollout {
            self.apply_rollout(rollout, now);
        }
    }

    /// Applies a digest of other gateways' notices. Observations of this gateway are passed over.
    pub fn apply_digest(&mut self, digest: &Digest, own: Origin, now: TimeMs) {
        let own_domain = self.peers.own().domain.clone();
        for member in &digest.members {
            self.peers.record_member(&own_domain, member, now);
        }
        for summary in &digest.domains {
            self.peers.record_summary(summary, now);
        }
        for (address, requests) in &digest.decode_heavy_requests {
            self.peers.record_decode_heavy(*address, *requests);
        }
        if let Some(status) = &digest.status {
            self.apply_weights_notices(&status.weights, now);
            self.past_versions.apply(&status.past_versions, now);
            self.apply_brittle_services(&status.brittle_services, now);
        }
        self.apply_stream_origins(&digest.streams, now);
        self.usage.apply(&digest.usage, now);
        for (worker, load) in &digest.loads {
            self.record_load(*worker, *load, now);
        }
        // A merged digest doesn't tell whether a request was sent before or after a load was
        // reported. Counting it twice for a moment is better than not at all.
        for sent in digest.sent_requests.iter().filter(|row| row.origin != own) {
            if let Some(backend) = self.backends.get_mut(sent.worker) {
                backend.record_sent_by_peer(sent.prefill_ms, now);
            }
        }
        for sample in digest.paces.iter().filter(|row| row.origin != own) {
            if let Some(backend) = self.backends.get_mut(sample.worker) {
                backend.pace.learn(sample.pace);
            }
        }
        self.apply_part_updates(&digest.parts, now);
        if let Some(rollout) = &digest.rollout {
            self.apply_rollout(rollout, now);
        }
    }

    /// The load that a backend server reports with an answer. An answer without one ends a limit that
    /// the server named before, and that it is brittle: a server that reports no load has no other way to do
    /// so. An answer of another incarnation says nothing of this one.
    #[must_use]
    pub fn reported_load(&self, worker: WorkerId, head: &ResponseHead) -> Option<Load> {
        let backend = self.backends.get(worker);
        let is_other = backend
            .zip(head.instance.as_ref())
            .is_some_and(|(backend, instance)| *instance != backend.spec.instance);
        if head.run_claim == RunClaim::Misdirected && is_other {
            return None;
        }
        let is_bound = |backend: &Backend| backend.limit().is_some() || backend.room().is_some();
        let ends_bound = backend.is_some_and(is_bound) && head.run_claim != RunClaim::Misdirected;
        head.load.or_else(|| ends_bound.then(Load::default))
    }

    /// A request that is sent to a backend server now.
    #[must_use]
    pub fn sent_to(&self, worker: WorkerId, now: TimeMs) -> SentTo {
        let backend = self.backends.get(worker);
        SentTo {
            sent_at_ms: now,
            started_at_ms: backend.map_or(0, |backend| backend.spec.started_at_ms),
            software: SoftwareKey::new(backend.and_then(|backend| backend.spec.software.as_ref())),
        }
    }

    /// Records what a backend server says of itself with an answer, besides its load. An answer of
    /// another incarnation says nothing of this one.
    pub fn record_signals(
        &mut self,
        worker: WorkerId,
        head: &ResponseHead,
        sent: SentTo,
        now: TimeMs,
    ) {
        // The id varies the return among servers, the gateway's name among gateways.
        let random = gateway_rank(&self.peers.own().name, worker.0 ^ now.0);
        let Some(backend) = self.backends.get_mut(worker) else {
            return;
        };
        let instance = head.instance.as_ref();
        let is_other = instance.is_some_and(|instance| *instance != backend.spec.instance);
        let is_earlier = backend.spec.started_at_ms != sent.started_at_ms;
        if (head.run_claim == RunClaim::Misdirected && is_other) || is_earlier {
            return;
        }
        let Some(pause_ms) = head.signals.pause_ms else {
            backend.record_no_pause(sent.sent_at_ms);
            self.record_leaving(worker, head);
            return;
        };
        backend.record_pause(pause_ms, random, now);
        metrics::counter!("cactusspur_server_pauses_total").increment(1);
        tracing::info!(
            %worker, backend = backend.spec.instance, pause_ms = pause_ms.0,
            "a backend server asks for a pause"
        );
        self.record_leaving(worker, head);
    }

    fn record_leaving(&mut self, worker: WorkerId, head: &ResponseHead) {
        let Some(backend) = self.backends.get_mut(worker) else {
            return;
        };
        if head.signals.is_leaving && backend.record_leaving() {
            metrics::counter!("cactusspur_servers_leaving_total").increment(1);
            tracing::info!(
                %worker, backend = backend.spec.instance, started_at_ms = backend.spec.started_at_ms,
                "a backend server says that it leaves"
            );
        }
    }

    /// Records the load that a backend server reported to this gateway or another one.
    pub fn record_load(&mut self, worker: WorkerId, load: Load, now: TimeMs) {
        self.record_brittle_load(worker, load, now);
        let share = load
            .limit
            .map(|rate| self.peers.limit_share(worker, rate, now));
        let Some(backend) = self.backends.get_mut(worker) else {
            return;
        };
        let earlier = backend.limit();
        backend.record_load(load, now);
        if let Some(share) = share {
            // The id varies the place in the interval among servers, the gateway's name among gateways.
            let random = gateway_rank(&self.peers.own().name, worker.0);
            backend.set_limit_share(share, random, now);
        }
        if earlier != load.limit {
            metrics::counter!("cactusspur_server_limits_total").increment(1);
            tracing::info!(
                %worker, backend = backend.spec.instance,
                limit = load.limit.map(|limit| limit.to_string()),
                sharers = share.map(|share| share.sharers),
                is_sharer = share.map(|share| share.is_sharer),
                "a backend server changed its limit"
            );
        }
    }

    fn apply_weights_notices(&mut self, notices: &[WeightsNotice], now: TimeMs) {
        for weights in notices {
            let at = AnnouncedAt::NotBefore {
                at_ms: TimeMs(now.0.saturating_sub(weights.age_ms.0)),
                source: AgeSource::Peer,
            };
            let follows = WeightsVersion(weights.version.0.saturating_sub(1));
            self.record_announced_weights(&weights.model, weights.version, follows, at);
        }
    }

    /// The newest weights that the store named for a model.
    #[must_use]
    pub fn newest_weights(&self, model: &str) -> Option<WeightsVersion> {
        self.announced_weights.get(&model.to_owned())?.newest()
    }

    /// How long a request may still begin on weights; `None` if nothing is known that ends it.
    #[must_use]
    pub fn weights_left_ms(
        &self,
        model: &str,
        weights: WeightsVersion,
        now: TimeMs,
    ) -> Option<DurationMs> {
        let announced = self.announced_weights.get(&model.to_owned())?;
        let outdated = outdated(weights, announced.versions())?;
        let age_ms = outdated.at.age_ms(now)?;
        let left_ms = outdated.grace_ms.saturating_sub(TRANSIT_MS);
        Some(left_ms.saturating_sub(age_ms))
    }

    /// Applies the removal of a row. The backend server that it described is removed at once, or after
    /// a grace period if the store failed recently. Returns whether the row described one.
    fn remove_row(
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
        self.removed_backends.clear_doubt(worker);
        let returned_at_ms = self.store_return_ms(now).max(self.restored_at_ms);
        let removed_at_ms = returned_at_ms.map(|at_ms| at_ms.after(VANISHED_GRACE_MS));
        let grace_until_ms = removed_at_ms.filter(|at_ms| *at_ms > now);
        tracing::info!(
            %worker, backend = instance, after_outage = grace_until_ms.is_some(),
            "backend server no longer listed"
        );
        if let Some(grace_until_ms) = grace_until_ms {
            self.vanished_backends.insert(worker, grace_until_ms);
        } else {
            self.remove_backend(worker, now);
        }
        true
    }

    /// When the store returned from its last outage, as far as known: now at the earliest if it fails still.
    fn store_return_ms(&self, now: TimeMs) -> Option<TimeMs> {
        let is_recent = |at_ms: &TimeMs| now.since(*at_ms) < RECENT_OUTAGE_MS;
        let Some(failed_at_ms) = self.store_failed_at_ms.filter(is_recent) else {
            return self.store_returned_at_ms;
        };
        let answer_age_ms = self.peers.store_answer_age_ms(now);
        let answers_others = answer_age_ms.is_some_and(|age_ms| age_ms < now.since(failed_at_ms));
        Some(if answers_others { failed_at_ms } else { now })
    }

    /// Whether there are servers whose entries vanished in an outage and have not come back.
    #[must_use]
    pub fn has_vanished_backends(&self) -> bool {
        !self.vanished_backends.is_empty() || self.removed_backends.has_doubtful()
    }

    /// Removes the servers whose entries vanished in an outage and did not come back within the grace
    /// period. Returns whether there were any.
    pub fn remove_vanished_backends(&mut self, now: TimeMs) -> bool {
        let overdue: Vec<WorkerId> = self
            .vanished_backends
            .iter()
            .filter(|row| now >= *row.1)
            .map(|row| *row.0)
            .collect();
        for worker in &overdue {
            self.vanished_backends.remove(worker);
            self.remove_backend(*worker, now);
        }
        !overdue.is_empty()
    }

    /// Applies a notice about the rollout that the holder of the order lease runs.
    pub fn apply_rollout(&mut self, rollout: &RolloutNotice, now: TimeMs) {
        self.peer_rollout_at_ms = Some(now);
        for worker in &rollout.draining {
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.draining_until_ms = now.after(ROLLOUT_STATE_TTL_MS);
            }
        }
        for worker in &rollout.loading {
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.loading_until_ms = now.after(ROLLOUT_STATE_TTL_MS);
            }
        }
        for worker in &rollout.updated {
            self.update_backend_weights(*worker, &rollout.model, rollout.version);
            if let Some(backend) = self.backends.get_mut(*worker) {
                backend.draining_until_ms = TimeMs(0);
                backend.loading_until_ms = TimeMs(0);
            }
        }
    }

    /// Records that an engine has at least this version of a model's weights. An engine that loads
    /// newer weights discards its cached parts. Returns whether the version is newer than the known one.
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

    /// Applies updates of cached parts from another gateway.
    pub fn apply_part_updates(&mut self, updates: &[PartUpdate], now: TimeMs) {
        for update in updates {
            self.cached_parts.record(*update, now);
        }
    }

    /// Records updates of cached parts by a request of this gateway. Returns those that peers must be
    /// sent.
    pub fn record_local_parts(&mut self, updates: Vec<PartUpdate>, now: TimeMs) -> Vec<PartUpdate> {
        let updates = updates.into_iter();
        updates
            .filter(|update| self.cached_parts.record_local(*update, now))
            .collect()
    }

    /// Records until when a server of its version was listed, before its description changes.
    fn record_past_version(&mut self, worker: WorkerId, now: TimeMs) {
        if let Some(backend) = self.backends.get(worker) {
            let spec = &backend.spec;
            let lifetime_ms = self.stream_origins.lifetime_ms();
            self.past_versions.forget_old(lifetime_ms, now);
            self.past_versions
                .record(&spec.service, spec.software_key(), now);
        }
    }

    /// Avoids a server, while others take requests, until the store holds its version.
    fn await_record(&mut self, worker: WorkerId, now: TimeMs) {
        let Some(backend) = self.backends.get_mut(worker) else {
            return;
        };
        let software = backend.spec.software_key();
        if self
            .past_versions
            .is_unrecorded(&backend.spec.service, software)
        {
            backend.await_record(now.after(RECORD_WAIT_MS));
        }
    }

    /// Records all that the store holds of the versions of services in an era.
    pub fn load_version_records(&mut self, records: Vec<VersionRecord>, era: u64, now: TimeMs) {
        self.past_versions.forget_records_before(era);
        for record in records {
            self.apply_version_record(record, now);
        }
    }

    /// Records what the store holds of a service's versions.
    pub fn apply_version_record(&mut self, record: VersionRecord, now: TimeMs) {
        let service = record.service.clone();
        self.past_versions.apply_record(record, now);
        for backend in self.backends.of_service_mut(&service) {
            let software = backend.spec.software_key();
            if !self.past_versions.is_unrecorded(&service, software) {
                backend.record_recorded();
            }
        }
    }

    /// The records of versions that must be written to the store in its present era.
    #[must_use]
    pub fn due_version_records(&self, era: u64, now: TimeMs) -> Vec<VersionRecord> {
        let Some(routing) = &self.routing else {
            return Vec::new();
        };
        let lifetime_ms = self.stream_origins.lifetime_ms();
        let due = routing.resumable_services().into_iter().filter_map(|name| {
            let listed = self.backends.software(name);
            self.past_versions
                .due_record(name, listed, lifetime_ms, era, now)
        });
        due.collect()
    }

    /// The software version of a service that has had no other one for as long as streams are taken up, by the
    /// list of servers at hand; `None` if it had.
    #[must_use]
    pub fn only_version(&self, service: &str, now: TimeMs) -> Option<SoftwareKey> {
        let lifetime_ms = self.stream_origins.lifetime_ms();
        let listed = self.backends.software(service);
        self.past_versions
            .only_version(service, listed, lifetime_ms, now)
    }

    /// The only version of all services at which a stream of a route may have begun; `None` if they had several.
    #[must_use]
    pub fn only_version_of_route(&self, route: &Route, now: TimeMs) -> Option<SoftwareKey> {
        let services = self.stream_services(route, now);
        let mut versions = services
            .iter()
            .map(|service| self.only_version(service, now));
        let first = versions.next()??;
        versions
            .all(|version| version == Some(first))
            .then_some(first)
    }

    /// The services at which a stream of a route may have begun.
    #[must_use]
    pub fn stream_services(&self, route: &Route, now: TimeMs) -> Vec<String> {
        let lifetime_ms = self.stream_origins.lifetime_ms();
        self.past_services.of_route(route, lifetime_ms, now)
    }

    /// The versions that services had and that streams may still be bound to, for notices.
    #[must_use]
    pub fn past_versions(&self, now: TimeMs) -> Vec<PastVersion> {
        self.past_versions
            .report(self.stream_origins.lifetime_ms(), now)
    }

    /// Applies what other gateways report of streams that began.
    pub fn apply_stream_origins(&mut self, origins: &[StreamOrigin], now: TimeMs) {
        for origin in origins {
            self.stream_origins.record(*origin, now);
        }
    }

    fn remove_backend(&mut self, worker: WorkerId, now: TimeMs) {
        self.record_past_version(worker, now);
        if let Some(backend) = self.backends.remove(worker) {
            self.removed_backends.record(worker, &backend, now);
        }
        self.cached_parts.remove_worker(worker);
    }
}
