//! The backend servers that a gateway forwards to, and what it believes of each.

use {
    super::pace::Pace,
    crate::{
        id::{WeightsVersion, WorkerId},
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// How long a load that a backend server told counts in full, and the time in which older counts of
/// requests halve: about as long as an answer takes.
const LOAD_BELIEVED_MS: DurationMs = DurationMs(1_000);
/// Thousandths of a request, in which counts that fade are kept.
const MILLI: u64 = 1_000;
/// The time in which the memory of failures halves: a few of the shortest outages that matter.
const FAILURE_HALF_LIFE_MS: DurationMs = DurationMs(2_000);
/// The weight of the newest result among earlier ones, in percent.
const FAILURE_WEIGHT_PERCENT: u64 = 35;
/// A backend server that always fails.
pub const MAX_FAILURE_PERMILLE: u64 = 1_000;
/// How long a backend server is left out after a connection to it could not be opened.
const UNREACHABLE_MS: DurationMs = DurationMs(700);
/// The longest time that one is left out for repeated failures to connect.
const MAX_UNREACHABLE_MS: DurationMs = DurationMs(5_600);

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendSpec {
    /// The name of this life of the server.
    pub instance: String,
    /// When this life began, in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// The requests that it processes at once.
    pub slots: u64,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// The versions of the models' weights that it has.
    pub weights: Vec<(String, WeightsVersion)>,
}

/// The load that a backend server tells with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What it says of itself.
    pub spec: BackendSpec,
    /// This entry VM's requests in progress there.
    pub in_flight: u64,
    /// The time that an engine takes to read, beside a nominal one.
    pub pace: Pace,
    own_reading_ms: DurationMs,
    /// Until when it is better left to finish its work, since its weights are about to change.
    pub draining_until_ms: TimeMs,
    /// Until when it turns new requests down, since it changes its weights.
    pub loading_until_ms: TimeMs,
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
}

impl Backend {
    fn new(spec: BackendSpec) -> Self {
        Self {
            spec,
            in_flight: 0,
            pace: Pace::default(),
            own_reading_ms: DurationMs(0),
            draining_until_ms: TimeMs(0),
            loading_until_ms: TimeMs(0),
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
        }
    }

    /// The version of a model's weights that it is believed to have.
    #[must_use]
    pub fn weights(&self, model: &str) -> Option<WeightsVersion> {
        let mut weights = self.spec.weights.iter();
        weights.find(|row| row.0 == model).map(|row| row.1)
    }

    /// Notes that it has at least this version of a model's weights. Gives back whether they are
    /// newer than was known, so that what it held for older ones is gone.
    pub fn record_weights(&mut self, model: &str, version: WeightsVersion) -> bool {
        let row = self.spec.weights.iter_mut().find(|row| row.0 == model);
        let Some(row) = row.filter(|row| row.1 < version) else {
            return false;
        };
        row.1 = version;
        true
    }

    /// Notes a request that is being sent. `prefill_ms` is what its prompt takes to be read.
    pub fn record_sent(&mut self, prefill_ms: DurationMs, now: TimeMs) {
        self.record_queued(prefill_ms, now);
        self.sent_since_load += 1;
        self.in_flight += 1;
        self.own_reading_ms += prefill_ms;
    }

    /// Notes a request that another entry VM has sent.
    pub fn record_sent_by_peer(&mut self, prefill_ms: DurationMs, now: TimeMs) {
        self.record_queued(prefill_ms, now);
        self.sent_since_load += 1;
        self.peers_milli = faded(self.peers_milli, now.since(self.peers_at_ms)) + MILLI;
        self.peers_at_ms = now;
    }

    /// Notes prompts to read that any entry VM has sent.
    pub fn record_queued(&mut self, prefill_ms: DurationMs, now: TimeMs) {
        self.queued_ms = self.queue_ms(now) + prefill_ms;
        self.queued_at_ms = now;
    }

    /// The time until it has probably read what is there: what all entry VMs have sent, less the
    /// time since, and at least what this one still waits for.
    #[must_use]
    pub fn queue_ms(&self, now: TimeMs) -> DurationMs {
        self.queued_ms
            .saturating_sub(now.since(self.queued_at_ms))
            .max(self.own_reading_ms)
    }

    /// Notes that the first token of a request has come, or never will.
    pub fn record_prefill_ended(&mut self, prefill_ms: DurationMs) {
        self.own_reading_ms = self.own_reading_ms.saturating_sub(prefill_ms);
    }

    /// Notes that a request has ended.
    pub fn record_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes the load that came with an answer, here or at another entry VM.
    pub fn record_load(&mut self, load: Load, now: TimeMs) {
        self.load = load;
        self.load_at_ms = now;
        self.sent_since_load = 0;
    }

    /// Notes whether it did what it was asked to.
    pub fn record_result(&mut self, succeeded: bool, now: TimeMs) {
        let result = if succeeded { 0 } else { MAX_FAILURE_PERMILLE };
        let earlier = self.failure_permille(now) * (100 - FAILURE_WEIGHT_PERCENT);
        self.failures = (earlier + result * FAILURE_WEIGHT_PERCENT) / 100;
        self.failures_at_ms = now;
        if succeeded {
            self.connect_failures = 0;
        }
    }

    /// Notes that no connection to it could be opened. It is left out for a time that doubles.
    pub fn record_unreachable(&mut self, now: TimeMs) {
        let doublings = self.connect_failures.min(3);
        let left_out = DurationMs(UNREACHABLE_MS.0 << doublings).min(MAX_UNREACHABLE_MS);
        self.connect_failures += 1;
        self.unreachable_until_ms = now.after(left_out);
        self.record_result(false, now);
    }

    /// Whether connections to it can probably be opened.
    #[must_use]
    pub fn is_reachable(&self, now: TimeMs) -> bool {
        now >= self.unreachable_until_ms
    }

    /// Whether it can be reached and isn't changing its weights.
    #[must_use]
    pub fn takes_requests(&self, now: TimeMs) -> bool {
        self.is_reachable(now) && now >= self.loading_until_ms
    }

    /// The share of requests that failed lately, of [`MAX_FAILURE_PERMILLE`].
    #[must_use]
    pub fn failure_permille(&self, now: TimeMs) -> u64 {
        let halvings = now.since(self.failures_at_ms).0 / FAILURE_HALF_LIFE_MS.0;
        self.failures >> halvings.min(32)
    }

    /// How long ago it told its load.
    #[must_use]
    pub fn load_age_ms(&self, now: TimeMs) -> DurationMs {
        now.since(self.load_at_ms)
    }

    /// The requests that are probably there: what it told last and what all entry VMs have sent
    /// since. Of a server that has told nothing lately, this entry VM's own and what the others have
    /// sent in about the time that an answer takes.
    #[must_use]
    pub fn occupancy(&self, now: TimeMs) -> u64 {
        let age_ms = now.since(self.load_at_ms);
        let told = self.load.running + self.load.waiting + self.sent_since_load;
        if age_ms < LOAD_BELIEVED_MS {
            return told.max(self.in_flight);
        }
        let told = faded(told * MILLI, age_ms.saturating_sub(LOAD_BELIEVED_MS)) / MILLI;
        let others = faded(self.peers_milli, now.since(self.peers_at_ms)) / MILLI;
        told.max(self.in_flight + others)
    }
}

/// What is left of a count that halves in each [`LOAD_BELIEVED_MS`].
fn faded(milli: u64, age_ms: DurationMs) -> u64 {
    let halvings = age_ms.0 / LOAD_BELIEVED_MS.0;
    let rest_ms = age_ms.0 % LOAD_BELIEVED_MS.0;
    (milli >> halvings.min(63)) * (2 * LOAD_BELIEVED_MS.0 - rest_ms) / (2 * LOAD_BELIEVED_MS.0)
}

/// All backend servers.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    rows: VecMap<WorkerId, Backend>,
}

impl BackendTable {
    /// Takes over what a server says of itself. Gives back whether it has lost what it held: it
    /// started anew or has newer weights.
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
        if known.started_at_ms != backend.spec.started_at_ms {
            return true;
        }
        // What it tells lags behind what its orders' answers have told.
        for (model, version) in &known.weights {
            backend.record_weights(model, *version);
        }
        has_newer_weights
    }

    /// Takes a server out of use.
    pub fn remove(&mut self, worker: WorkerId) -> Option<Backend> {
        self.rows.remove(&worker)
    }

    /// One server.
    #[must_use]
    pub fn get(&self, worker: WorkerId) -> Option<&Backend> {
        self.rows.get(&worker)
    }

    /// One server, to change.
    pub fn get_mut(&mut self, worker: WorkerId) -> Option<&mut Backend> {
        self.rows.get_mut(&worker)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Backend)> {
        self.rows.iter().map(|(id, backend)| (*id, backend))
    }

    /// The servers of a service that take new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (WorkerId, &'a Backend)> {
        self.iter()
            .filter(move |row| row.1.spec.is_ready && row.1.spec.service == service)
    }
}
