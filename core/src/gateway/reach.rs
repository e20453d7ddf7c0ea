//! Whether an entry VM reaches the servers of a service.
//!
//! A server that accepts no connection, or breaks an exchange off before it answers, has failed, or the entry
//! VM is cut off from it. Several such servers of a service, without any answer in between, suggest that the
//! entry VM is cut off from the service: from servers that accept no connection it is taken to be, and for
//! exchanges that broke a trial decides. From then on only an answer to a trial shows that it reaches the
//! service again: connections that were opened before may live on. Where servers accept connections and
//! stay silent, any answer does.

use {
    crate::{
        id::WorkerId,
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
    derive_more::{Display, From, Into},
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Servers of a service from which on failures to reach them concern the service.
const MIN_UNREACHABLE_SERVERS: usize = 2;

/// Services that an entry VM names as out of its reach. With more, it is cut off from all.
const MAX_NAMED_SERVICES: usize = 32;

/// A short name of a service in messages.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, From, Into, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
pub struct ServiceKey(pub u32);

impl ServiceKey {
    /// The key of a service.
    #[must_use]
    pub fn new(service: &str) -> Self {
        let [a, b, c, d, ..] = xxh3_64(service.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// What is known of the way to each service.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: VecMap<String, ServiceReach>,
}

#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// When the first request was sent that nothing has answered since.
    awaited_since_ms: Option<TimeMs>,
    /// The answers of the service's servers.
    answers: u64,
    /// The servers that were not reached since the last answer of the service.
    unreachable: Vec<WorkerId>,
    /// Whether some of these refused or reset a connection, or didn't accept it in time.
    has_closed: bool,
    /// The servers at which exchanges broke since the last answer of the service.
    broken: Vec<WorkerId>,
    lost_at_ms: Option<TimeMs>,
    is_on_trial: bool,
}

impl Reach {
    /// Records that a request is sent. Returns when the first one was sent that no server of the service
    /// has answered since.
    pub fn record_sent(&mut self, service: &str, now: TimeMs) -> TimeMs {
        *self.row(service).awaited_since_ms.get_or_insert(now)
    }

    /// Records an answer of a server of the service.
    pub fn record_answer(&mut self, service: &str) {
        let row = self.row(service);
        row.answers += 1;
        row.awaited_since_ms = None;
        row.broken.clear();
        if row.lost_at_ms.is_none() {
            row.unreachable.clear();
            row.has_closed = false;
        }
    }

    /// The number of answers of servers of the service.
    #[must_use]
    pub fn answers(&self, service: &str) -> u64 {
        self.get(service).map_or(0, |row| row.answers)
    }

    /// Records that an exchange with a server, of the `listed` ones of the service, broke before an answer.
    /// Returns whether a trial should show if the service is within reach.
    #[must_use]
    pub fn record_broken(&mut self, service: &str, worker: WorkerId, listed: usize) -> bool {
        let row = self.row(service);
        insert(&mut row.broken, worker);
        row.lost_at_ms.is_none() && row.broken.len() >= needed(listed)
    }

    /// Records that a server, of the `listed` ones of the service, accepted no connection or reset the one
    /// of a trial. Returns whether the service counts as out of reach from now on.
    #[must_use]
    pub fn record_unreachable(
        &mut self,
        service: &str,
        worker: WorkerId,
        listed: usize,
        now: TimeMs,
    ) -> bool {
        let row = self.row(service);
        row.has_closed = true;
        row.record_unreachable(worker, listed, now)
    }

    /// The same for a server that accepted the connection of a trial and answered nothing.
    #[must_use]
    pub fn record_silent(
        &mut self,
        service: &str,
        worker: WorkerId,
        listed: usize,
        now: TimeMs,
    ) -> bool {
        self.row(service).record_unreachable(worker, listed, now)
    }

    /// Records that a server of the service answered a trial. Returns how long the service was out of
    /// reach; `None` if it wasn't.
    pub fn record_reached(&mut self, service: &str, now: TimeMs) -> Option<DurationMs> {
        let row = self.row(service);
        row.unreachable.clear();
        row.has_closed = false;
        row.broken.clear();
        row.awaited_since_ms = None;
        row.lost_at_ms.take().map(|at_ms| now.since(at_ms))
    }

    /// Whether the service is out of reach.
    #[must_use]
    pub fn is_lost(&self, service: &str) -> bool {
        let row = self.get(service);
        row.is_some_and(|row| row.lost_at_ms.is_some())
    }

    /// Whether servers of the service, since its last answer, refused or reset connections or didn't accept
    /// them in time. They haven't if they accept connections and stay silent.
    #[must_use]
    pub fn has_closed(&self, service: &str) -> bool {
        self.get(service).is_some_and(|row| row.has_closed)
    }

    /// The services that are out of reach.
    pub fn lost(&self) -> impl Iterator<Item = &str> {
        let lost = self
            .services
            .iter()
            .filter(|row| row.1.lost_at_ms.is_some());
        lost.map(|row| row.0.as_str())
    }

    /// The keys of the services that are out of reach, as far as they are named to others.
    #[must_use]
    pub fn lost_keys(&self) -> Vec<ServiceKey> {
        let lost = self.lost().take(MAX_NAMED_SERVICES);
        lost.map(ServiceKey::new).collect()
    }

    /// Whether no server of the service has answered for some time, though requests were sent.
    #[must_use]
    pub fn is_silent(&self, service: &str, limit: DurationMs, now: TimeMs) -> bool {
        let since_ms = self.get(service).and_then(|row| row.awaited_since_ms);
        since_ms.is_some_and(|since_ms| now.since(since_ms) >= limit)
    }

    /// Begins the trial connections to a service. Returns whether none were in progress.
    #[must_use]
    pub fn begin_trial(&mut self, service: &str) -> bool {
        !std::mem::replace(&mut self.row(service).is_on_trial, true)
    }

    /// Ends the trial connections to a service.
    pub fn end_trial(&mut self, service: &str) {
        self.row(service).is_on_trial = false;
    }

    fn get(&self, service: &str) -> Option<&ServiceReach> {
        let found = self.services.iter().find(|row| row.0 == service);
        found.map(|row| row.1)
    }

    fn row(&mut self, service: &str) -> &mut ServiceReach {
        self.services
            .get_or_insert_with(service.to_owned(), ServiceReach::default)
    }
}

impl ServiceReach {
    fn record_unreachable(&mut self, worker: WorkerId, listed: usize, now: TimeMs) -> bool {
        insert(&mut self.unreachable, worker);
        if self.lost_at_ms.is_some() || self.unreachable.len() < needed(listed) {
            return false;
        }
        self.lost_at_ms = Some(now);
        true
    }
}

/// The servers that are not reached, of the listed ones, from which on the service isn't.
fn needed(listed: usize) -> usize {
    listed.clamp(1, MIN_UNREACHABLE_SERVERS)
}

fn insert(sorted: &mut Vec<WorkerId>, worker: WorkerId) {
    if let Err(index) = sorted.binary_search(&worker) {
        sorted.insert(index, worker);
    }
}
