//! The backend servers that a gateway forwards to, with the gateway's view of their state.

use {
    super::{
        pace::Pace,
        pause::Pause,
        room::{BrittleReport, RejectionTolerance, Room, RoomStart, RoomUse, SlotShare},
        send_limit::{LimitShare, RequestRate, SendLimit},
        stream_origin::SoftwareKey,
    },
    crate::{
        id::{WeightsVersion, WorkerId},
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
    derive_more::{Display, From, FromStr},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// How long a reported load counts in full, and the half-life of request counts after that: about
/// as long as an answer takes.
const LOAD_HALF_LIFE_MS: DurationMs = DurationMs(1_000);
/// Decaying request counts are held in thousandths of a request.
const MILLI: u64 = 1_000;
/// Half-life of the failure rate: a few times the shortest outages that matter.
const FAILURE_HALF_LIFE_MS: DurationMs = DurationMs(2_000);
/// Weight of the newest result in the moving average of failures.
const FAILURE_WEIGHT_PERCENT: u64 = 35;
/// The failure rate of a backend server whose requests all fail.
pub const MAX_FAILURE_PERMILLE: u64 = 1_000;
/// How long a backend server is avoided after the first failure to connect. Doubles with each
/// further failure.
const CONNECT_BACKOFF_MS: DurationMs = DurationMs(700);
const MAX_CONNECT_BACKOFF_MS: DurationMs = DurationMs(5_600);
/// How long a report of a brittle server counts in full.
const ROOM_REPORT_TTL_MS: DurationMs = DurationMs(5_000);

/// The version of a server's software, which has no order.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct SoftwareVersion(pub String);

/// A backend server's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendSpec {
    /// The name of this incarnation of the server.
    pub instance: String,
    /// When this incarnation started, in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The name of the server's service.
    pub service: String,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The server's failure domain.
    pub domain: String,
    /// The number of requests that the server processes concurrently.
    pub slots: u64,
    /// Whether the server accepts new requests.
    pub is_ready: bool,
    /// The weights version of each model that the server has loaded.
    pub weights: Vec<(String, WeightsVersion)>,
    /// The version of the server's software, if the server names one.
    pub software: Option<SoftwareVersion>,
}

impl BackendSpec {
    /// The short name of the server's software version.
    #[must_use]
    pub fn software_key(&self) -> SoftwareKey {
        SoftwareKey::new(self.software.as_ref())
    }
}

/// The load that a backend server reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub running: u64,
    /// Requests in the queue.
    pub waiting: u64,
    /// The rate of requests that the server takes from all entry VMs together; `None` if it names
    /// none.
    pub limit: Option<RequestRate>,
    /// What the server says if it is brittle; `None` if it doesn't say so.
    pub brittle: Option<BrittleReport>,
}

/// The state of one backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The server's description of itself.
    pub spec: BackendSpec,
    /// This entry VM's requests in progress at the server.
    pub in_flight: u64,
    /// The prefill time of an engine relative to the nominal engine.
    pub pace: Pace,
    /// The prefill time of this entry VM's requests that wait for their first token.
    local_prefill_ms: DurationMs,
    /// The time until which new requests should be avoided, so that the server can finish its
    /// requests before it loads new weights.
    pub draining_until_ms: TimeMs,
    /// The time until which the server rejects new requests because it loads weights.
    pub loading_until_ms: TimeMs,
    /// The software version that was last awaited in the platform's store, and until when.
    awaited_software: Option<(SoftwareKey, TimeMs)>,
    queued_ms: DurationMs,
    queued_at_ms: TimeMs,
    load: Load,
    load_at_ms: TimeMs,
    sent_since_load: u64,
    peers_milli: u64,
    peers_at_ms: TimeMs,
    failures: u64,
    failures_at_ms: TimeMs,
    unreachable_until_ms: TimeMs,
    connect_failures: u32,
    send_limit: Option<SendLimit>,
    is_leaving: bool,
    pause: Pause,
    room: Option<Room>,
}

impl Backend {
    fn new(spec: BackendSpec) -> Self {
        Self {
            spec,
            in_flight: 0,
            pace: Pace::default(),
            local_prefill_ms: DurationMs(0),
            draining_until_ms: TimeMs(0),
            loading_until_ms: TimeMs(0),
            awaited_software: None,
            queued_ms: DurationMs(0),
            queued_at_ms: TimeMs(0),
            load: Load::default(),
            load_at_ms: TimeMs(0),
            sent_since_load: 0,
            peers_milli: 0,
            peers_at_ms: TimeMs(0),
            failures: 0,
            failures_at_ms: TimeMs(0),
            unreachable_until_ms: TimeMs(0),
            connect_failures: 0,
            send_limit: None,
            is_leaving: false,
            pause: Pause::default(),
            room: None,
        }
    }

    /// The version of a model's weights that the server has, as far as known.
    #[must_use]
    pub fn weights(&self, model: &str) -> Option<WeightsVersion> {
        let mut weights = self.spec.weights.iter();
        weights.find(|row| row.0 == model).map(|row| row.1)
    }

    /// Records that the server has at least this version of a model's weights. Returns whether the
    /// version is newer than the known one, so that the server's cache for the older one is gone.
    pub fn record_weights(&mut self, model: &str, version: WeightsVersion) -> bool {
        let row = self.spec.weights.iter_mut().find(|row| row.0 == model);
        let Some(row) = row.filter(|row| row.1 < version) else {
            return false;
        };
        row.1 = version;
        true
    }

    /// Whether the server accepts new requests, by its description and its answers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.spec.is_ready && !self.is_leaving
    }

    /// Records that the server said in an answer that it leaves. It leaves until it starts again, also
    /// if a description that is older than the answer says otherwise. Returns whether that is new.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// The rate of requests that the server takes, by its latest report.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        self.load.limit
    }

    /// Sets this entry VM's part in the rate that the server named in its latest report.
    pub fn set_limit_share(&mut self, share: LimitShare, random: u64, now: TimeMs) {
        match (self.load.limit, &mut self.send_limit) {
            (Some(rate), Some(limit)) => limit.update(rate, share, now),
            (Some(rate), None) => self.send_limit = Some(SendLimit::new(rate, share, random, now)),
            (None, _) => self.send_limit = None,
        }
    }

    /// Records that the server's service says that it is brittle, and this entry VM's part in the slots.
    pub fn set_brittle(
        &mut self,
        tolerance: RejectionTolerance,
        share: SlotShare,
        start: RoomStart,
        now: TimeMs,
    ) {
        if let Some(room) = &mut self.room {
            room.set_tolerance(tolerance);
            room.set_share(share, now);
            return;
        }
        let slots = self.spec.slots;
        let mut room = Room::new(tolerance, slots, share, start, now);
        if self.has_recent_load(now) {
            room.record_load(self.load.running, self.load.waiting, now);
            room.expect_unowned(self.load.running + self.load.waiting);
        }
        self.room = Some(room);
    }

    /// Records that the server's service no longer says that it is brittle.
    pub fn clear_brittle(&mut self) {
        self.room = None;
    }

    /// The room at the server; `None` unless it is brittle.
    #[must_use]
    pub const fn room(&self) -> Option<&Room> {
        self.room.as_ref()
    }

    /// The time until a brittle server has room for a request of this entry VM, as far as known; zero if it
    /// has or isn't brittle. `is_retry` tells whether another server was sent the request before.
    #[must_use]
    pub fn room_wait_ms(&self, is_retry: bool, now: TimeMs) -> DurationMs {
        let room = self.room.as_ref();
        room.map_or(DurationMs(0), |room| {
            room.available_at_ms(self.room_use(now), is_retry, now)
                .since(now)
        })
    }

    /// Whether the next request of this entry VM would take a slot of a brittle server that it doesn't own.
    #[must_use]
    pub fn is_beyond_share(&self, now: TimeMs) -> bool {
        let room = self.room.as_ref();
        room.is_some_and(|room| self.in_flight >= room.owned(now))
    }

    /// The requests at a brittle server. A report counts for longer than otherwise: a server that falls
    /// silent keeps its requests.
    fn room_use(&self, now: TimeMs) -> RoomUse {
        let reported = self.load.running + self.load.waiting + self.sent_since_load;
        let estimate = if self.load_age_ms(now) < ROOM_REPORT_TTL_MS {
            reported
        } else {
            self.occupancy(now)
        };
        RoomUse {
            in_flight: self.in_flight,
            occupancy: estimate.max(self.in_flight),
        }
    }

    /// The time from which on the server may be sent a request, apart from the room at a brittle one.
    #[must_use]
    pub fn available_at_ms(&self) -> TimeMs {
        let by_limit = self.send_limit.map(|limit| limit.available_at_ms());
        self.pause
            .available_at_ms()
            .max(by_limit.unwrap_or_default())
    }

    /// Records that the server asked this entry VM for a pause.
    pub fn record_pause(&mut self, length_ms: DurationMs, random: u64, now: TimeMs) {
        self.pause.record(length_ms, random, now);
    }

    /// Records an answer without such a request, to a request that was sent at `sent_at_ms`.
    pub fn record_no_pause(&mut self, sent_at_ms: TimeMs) {
        self.pause.record_answer(sent_at_ms);
    }

    /// Whether the server asked this entry VM for a pause that lasts.
    #[must_use]
    pub fn is_paused(&self, now: TimeMs) -> bool {
        now < self.pause.available_at_ms()
    }

    /// Records a request of this entry VM. `prefill_ms` is the predicted prefill time.
    pub fn record_sent(&mut self, prefill_ms: DurationMs, now: TimeMs) {
        self.record_queued(prefill_ms, now);
        if let Some(limit) = &mut self.send_limit {
            limit.record_sent(now);
        }
        self.pause.record_sent(now);
        let room_use = self.room_use(now);
        if let Some(room) = &mut self.room {
            room.record_sent(room_use, now);
        }
        self.sent_since_load += 1;
        self.in_flight += 1;
        self.local_prefill_ms += prefill_ms;
    }

    /// Records a request that another entry VM sent.
    pub fn record_sent_by_peer(&mut self, prefill_ms: DurationMs, now: TimeMs) {
        self.record_queued(prefill_ms, now);
        self.sent_since_load += 1;
        self.peers_milli = decay(self.peers_milli, now.since(self.peers_at_ms)) + MILLI;
        self.peers_at_ms = now;
    }

    /// Adds prompts sent by any entry VM to the estimated prefill queue.
    pub fn record_queued(&mut self, prefill_ms: DurationMs, now: TimeMs) {
        self.queued_ms = self.queue_ms(now) + prefill_ms;
        self.queued_at_ms = now;
    }

    /// Records that the server rejected a request of this entry VM, which thus isn't in its queue.
    pub fn record_rejected(&mut self, prefill_ms: DurationMs, now: TimeMs) {
        self.queued_ms = self
            .queued_ms
            .saturating_sub(now.since(self.queued_at_ms))
            .saturating_sub(prefill_ms);
        self.queued_at_ms = now;
    }

    /// The estimated time until the server has prefilled its queue: the prefill time of the prompts
    /// that all entry VMs sent, minus the time elapsed since, and at least that of this entry VM's
    /// requests that wait for their first token.
    #[must_use]
    pub fn queue_ms(&self, now: TimeMs) -> DurationMs {
        self.queued_ms
            .saturating_sub(now.since(self.queued_at_ms))
            .max(self.local_prefill_ms)
    }

    /// Records that the first token of a request has arrived, or will never arrive.
    pub fn record_prefill_ended(&mut self, prefill_ms: DurationMs) {
        self.local_prefill_ms = self.local_prefill_ms.saturating_sub(prefill_ms);
    }

    /// Records that a request of this entry VM has ended.
    pub fn record_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the load that was reported with an answer to this or another entry VM.
    pub fn record_load(&mut self, load: Load, now: TimeMs) {
        self.load = load;
        let is_full = load.brittle.is_some_and(|brittle| brittle.is_rejection);
        if is_full && load.running + load.waiting == 0 {
            // The server reports no counts.
            self.load.running = self.spec.slots;
        }
        self.load_at_ms = now;
        self.sent_since_load = 0;
        if load.limit.is_none() {
            self.send_limit = None;
        }
        if let Some(room) = &mut self.room {
            room.record_load(load.running, load.waiting, now);
            if is_full {
                room.record_rejection(now);
            }
        }
    }

    /// Forgets the load of an earlier incarnation of the server.
    const fn forget_load(&mut self) {
        self.load = Load {
            running: 0,
            waiting: 0,
            ..self.load
        };
        self.load_at_ms = TimeMs(0);
        self.sent_since_load = 0;
        self.peers_milli = 0;
    }

    /// Records whether a request succeeded.
    pub fn record_result(&mut self, succeeded: bool, now: TimeMs) {
        let result = if succeeded { 0 } else { MAX_FAILURE_PERMILLE };
        let earlier = self.failure_permille(now) * (100 - FAILURE_WEIGHT_PERCENT);
        self.failures = (earlier + result * FAILURE_WEIGHT_PERCENT) / 100;
        self.failures_at_ms = now;
        if succeeded {
            self.connect_failures = 0;
        }
    }

    /// Records a failure to connect. The server is avoided for a time that doubles with each
    /// consecutive failure.
    pub fn record_unreachable(&mut self, now: TimeMs) {
        let doublings = self.connect_failures.min(3);
        let backoff = DurationMs(CONNECT_BACKOFF_MS.0 << doublings).min(MAX_CONNECT_BACKOFF_MS);
        self.connect_failures += 1;
        self.unreachable_until_ms = now.after(backoff);
        self.record_result(false, now);
    }

    /// Ends the backoff after failures to connect, which had another cause than the server.
    pub fn forget_unreachable(&mut self) {
        self.connect_failures = 0;
        self.unreachable_until_ms = TimeMs(0);
    }

    /// Whether no backoff after a failure to connect is in force.
    #[must_use]
    pub fn is_reachable(&self, now: TimeMs) -> bool {
        now >= self.unreachable_until_ms
    }

    /// Whether the server is reachable, isn't loading weights, and streams that begin there can be taken up
    /// after the loss of all entry VMs.
    #[must_use]
    pub fn takes_requests(&self, now: TimeMs) -> bool {
        let is_recorded = self.awaited_software.is_none_or(|row| now >= row.1);
        self.is_reachable(now) && now >= self.loading_until_ms && is_recorded
    }

    /// Records that the platform's store doesn't hold the server's software version, which is awaited until
    /// then at the most. An entry VM that isn't told of records waits once for each version.
    pub fn await_record(&mut self, until_ms: TimeMs) {
        let software = self.spec.software_key();
        if self.awaited_software.is_none_or(|row| row.0 != software) {
            self.awaited_software = Some((software, until_ms));
        }
    }

    /// Records that the platform's store holds the server's software version.
    pub fn record_recorded(&mut self) {
        self.awaited_software = Some((self.spec.software_key(), TimeMs(0)));
    }

    /// The decaying rate of failed requests, from 0 to [`MAX_FAILURE_PERMILLE`].
    #[must_use]
    pub fn failure_permille(&self, now: TimeMs) -> u64 {
        let halvings = now.since(self.failures_at_ms).0 / FAILURE_HALF_LIFE_MS.0;
        self.failures >> halvings.min(32)
    }

    /// The requests that wait at the server by its latest report; 0 if the report is old.
    #[must_use]
    pub fn reported_waiting(&self, now: TimeMs) -> u64 {
        if now.since(self.load_at_ms) < LOAD_HALF_LIFE_MS {
            self.load.waiting
        } else {
            0
        }
    }

    /// Whether the server reported its load lately.
    #[must_use]
    pub fn has_recent_load(&self, now: TimeMs) -> bool {
        self.load_age_ms(now) < LOAD_HALF_LIFE_MS
    }

    /// The age of the latest reported load.
    #[must_use]
    pub fn load_age_ms(&self, now: TimeMs) -> DurationMs {
        now.since(self.load_at_ms)
    }

    /// The estimated number of requests at the server: the latest reported load plus the requests
    /// that all entry VMs have sent since. If that report is old, its decayed value, or this entry
    /// VM's requests in progress plus the decayed count of requests of other entry VMs, whichever
    /// is larger.
    #[must_use]
    pub fn occupancy(&self, now: TimeMs) -> u64 {
        let age_ms = now.since(self.load_at_ms);
        let reported = self.load.running + self.load.waiting + self.sent_since_load;
        if age_ms < LOAD_HALF_LIFE_MS {
            return reported.max(self.in_flight);
        }
        let reported = decay(reported * MILLI, age_ms.saturating_sub(LOAD_HALF_LIFE_MS)) / MILLI;
        let others = decay(self.peers_milli, now.since(self.peers_at_ms)) / MILLI;
        reported.max(self.in_flight + others)
    }
}

/// Decays a count with a half-life of [`LOAD_HALF_LIFE_MS`], linearly interpolated in between.
fn decay(milli: u64, age_ms: DurationMs) -> u64 {
    let halvings = age_ms.0 / LOAD_HALF_LIFE_MS.0;
    let remainder_ms = age_ms.0 % LOAD_HALF_LIFE_MS.0;
    (milli >> halvings.min(63)) * (2 * LOAD_HALF_LIFE_MS.0 - remainder_ms)
        / (2 * LOAD_HALF_LIFE_MS.0)
}

/// All backend servers by worker id.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    rows: VecMap<WorkerId, Backend>,
}

impl BackendTable {
    /// Adds a server or updates its description. Returns whether the server has lost its cache
    /// because it restarted or has newer weights.
    pub fn upsert(&mut self, spec: BackendSpec) -> bool {
        let id = WorkerId::from_name(&spec.instance);
        let Some(backend) = self.rows.get_mut(&id) else {
            self.rows.insert(id, Backend::new(spec));
            return false;
        };
        let has_newer_weights = spec.weights.iter().any(|(model, version)| {
            let known = backend.weights(model);
            known.is_some_and(|known| known < *version)
        });
        let known = std::mem::replace(&mut backend.spec, spec);
        // A server that drains doesn't become ready again before it restarts: a description that says so
        // is older, such as one from a backup.
        backend.spec.is_ready &=
            known.is_ready || known.started_at_ms != backend.spec.started_at_ms;
        if known.started_at_ms != backend.spec.started_at_ms {
            backend.is_leaving = false;
            backend.pause = Pause::default();
            backend.room = None;
            backend.forget_load();
            return true;
        }
        // The description lags behind the weights reported in answers to orders.
        for (model, version) in &known.weights {
            backend.record_weights(model, *version);
        }
        has_newer_weights
    }

    /// Removes a server.
    pub fn remove(&mut self, worker: WorkerId) -> Option<Backend> {
        self.rows.remove(&worker)
    }

    /// The software versions of a service's servers, also of those that take no requests.
    pub fn software(&self, service: &str) -> impl Iterator<Item = SoftwareKey> {
        let rows = self.rows.iter().map(|row| &row.1.spec);
        rows.filter(move |spec| spec.service == service)
            .map(BackendSpec::software_key)
    }

    /// The servers of a service, mutable.
    pub fn of_service_mut<'a>(
        &'a mut self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a mut Backend> {
        let rows = self.rows.iter_mut().map(|row| row.1);
        rows.filter(move |backend| backend.spec.service == service)
    }

    /// The server with this id.
    #[must_use]
    pub fn get(&self, worker: WorkerId) -> Option<&Backend> {
        self.rows.get(&worker)
    }

    /// The server with this id, mutable.
    pub fn get_mut(&mut self, worker: WorkerId) -> Option<&mut Backend> {
        self.rows.get_mut(&worker)
    }

    /// All servers with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Backend)> {
        self.rows.iter().map(|(id, backend)| (*id, backend))
    }

    /// The time until some server of a service may be sent a request, if its servers ask for fewer;
    /// `None` if the service has no servers that accept requests.
    #[must_use]
    pub fn available_in_ms(&self, service: &str, now: TimeMs) -> Option<DurationMs> {
        let ready = self.ready(service);
        let times = ready.map(|(_, backend)| {
            let wait_ms = backend.available_at_ms().since(now);
            wait_ms.max(backend.room_wait_ms(false, now))
        });
        times.min()
    }

    /// The servers of a service that accept new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (WorkerId, &'a Backend)> {
        self.iter()
            .filter(move |row| row.1.is_ready() && row.1.spec.service == service)
    }
}
