//! Watches whether the stores of kept KV cache answer, and whether they have started anew.
//!
//! Naming a store that is down costs a request some hundred milliseconds, so one is named only
//! while it answers. A store holds few questions at once: two gateways watch each store and tell
//! the others.

use {
    super::{Shared, clock::now, protocol::KeptStoreState},
    cactusspur_core::{DurationMs, VecMap, WorkerId, gateway::KeptStore},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How long a store may hold a question. Held ones cost nothing.
const HELD_MS: DurationMs = DurationMs(1_000);
/// How long it may take beside that.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_300);
/// The wait before a store that did not answer is asked again.
const RETRY: Duration = Duration::from_millis(500);
/// The least time between two questions, so that a busy store isn't asked all the time.
const PAUSE: Duration = Duration::from_millis(600);
/// How long after its start a gateway waits to hear who else runs, before it counts itself among
/// the watchers.
const LISTEN_FIRST: Duration = Duration::from_millis(300);
/// How often the configuration is looked at for stores, and a gateway that doesn't watch looks
/// whether it should.
const LOOK_PERIOD: Duration = Duration::from_millis(400);
/// Gateways that ask one store: one, and one in case it fails.
const WATCHERS: usize = 2;
/// The largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1_048_576;

/// What a gateway believes of one store.
#[derive(Clone, Copy, Debug, Default)]
struct Belief {
    answers: bool,
    incarnation: Option<u64>,
    /// Whether this gateway asks the store itself.
    is_watched: bool,
}

/// What a gateway believes of the stores of kept KV cache.
#[derive(Debug, Default)]
pub struct KeptStoreStates {
    rows: VecMap<SocketAddr, Belief>,
}

/// How a store has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptStoreChange {
    /// Whether it began or ceased to answer.
    pub is_availability_change: bool,
    /// Whether it has lost what it held.
    pub is_emptied: bool,
}

impl KeptStoreStates {
    /// Whether a store answers.
    #[must_use]
    pub fn is_available(&self, address: SocketAddr) -> bool {
        self.rows.get(&address).is_some_and(|row| row.answers)
    }

    /// Takes in the life that a store told of; none if it did not answer. The last word holds,
    /// whoever has asked.
    pub fn record_answer(&mut self, address: SocketAddr, told: Option<u64>) -> KeptStoreChange {
        let row = self.rows.get_or_insert_with(address, Belief::default);
        let change = KeptStoreChange {
            is_availability_change: row.answers != told.is_some(),
            is_emptied: row.incarnation.is_some() && told.is_some() && row.incarnation != told,
        };
        row.answers = told.is_some();
        row.incarnation = told.or(row.incarnation);
        change
    }

    /// Says whether this gateway asks a store itself.
    pub fn set_watched(&mut self, address: SocketAddr, is_watched: bool) {
        let row = self.rows.get_or_insert_with(address, Belief::default);
        row.is_watched = is_watched;
    }

    /// What this gateway has learnt by asking, for those that don't ask.
    #[must_use]
    pub fn watched(&self) -> Vec<(SocketAddr, Option<u64>)> {
        let rows = self.rows.iter().filter(|row| row.1.is_watched);
        rows.map(|(address, row)| (*address, row.incarnation.filter(|_| row.answers)))
            .collect()
    }
}

/// Starts to watch the stores, as soon as a configuration names some.
pub fn spawn(shared: &Rc<Shared>) {
    ntex::rt::spawn(look(Rc::clone(shared)));
}

async fn look(shared: Rc<Shared>) {
    sleep(LISTEN_FIRST).await;
    let mut known: Vec<SocketAddr> = Vec::new();
    loop {
        let listed = listed(&shared);
        for store in &listed {
            if !known.contains(&store.address) {
                ntex::rt::spawn(watch(Rc::clone(&shared), store.clone()));
            }
        }
        known = listed.iter().map(|store| store.address).collect();
        sleep(LOOK_PERIOD).await;
    }
}

fn listed(shared: &Shared) -> Vec<KeptStore> {
    let routing = shared.state.borrow().routing.clone();
    routing.map_or_else(Vec::new, |routing| routing.kept_stores().cloned().collect())
}

/// Watches one store for as long as the configuration lists it.
async fn watch(shared: Rc<Shared>, store: KeptStore) {
    let mut since = 0;
    while listed(&shared).contains(&store) {
        let is_watcher = is_watcher(&shared, store.id);
        set_watched(&shared, &store, is_watcher);
        if !is_watcher {
            sleep(LOOK_PERIOD).await;
            continue;
        }
        let told = ask(&shared, store.address, since).await;
        let change = record_answer(&shared, store.address, told.map(|told| told.incarnation));
        if change.is_availability_change || change.is_emptied {
            shared.peers.announce(&shared);
        }
        since = told.map_or(since, |told| told.next);
        sleep(if told.is_some() { PAUSE } else { RETRY }).await;
    }
}

fn set_watched(shared: &Shared, store: &KeptStore, is_watched: bool) {
    let kept = &mut shared.state.borrow_mut().kept_stores;
    kept.set_watched(store.address, is_watched);
}

/// Whether this gateway is one of the first in an order on which all agree.
fn is_watcher(shared: &Shared, store: WorkerId) -> bool {
    let state = shared.state.borrow();
    let before = state
        .peers
        .count_running_before(&shared.settings.name, store.0, now());
    before < WATCHERS
}

async fn ask(shared: &Shared, address: SocketAddr, since: u64) -> Option<KeptStoreState> {
    let request = shared.protocol.kept_store_request(since, HELD_MS);
    let connection_pool = &shared.connection_pool;
    let exchange = connection_pool.exchange(address, request, MAX_ANSWER_BYTES, ANSWER_LIMIT);
    match exchange.await {
        Ok((_, body)) => shared.protocol.parse_kept_store_state(&body),
        Err(error) => {
            tracing::debug!(%address, %error, "a store of kept KV cache did not answer");
            None
        }
    }
}

/// Takes in what a store told, here or to a peer.
pub fn record_answer(shared: &Shared, address: SocketAddr, told: Option<u64>) -> KeptStoreChange {
    let mut state = shared.state.borrow_mut();
    let change = state.kept_stores.record_answer(address, told);
    if change.is_emptied {
        let routing = state.routing.clone();
        let mut stores = routing.iter().flat_map(|routing| routing.kept_stores());
        if let Some(store) = stores.find(|store| store.address == address) {
            state.cached_parts.remove_worker(store.id);
        }
    }
    if change.is_availability_change || change.is_emptied {
        let (answers, is_emptied) = (told.is_some(), change.is_emptied);
        tracing::info!(%address, answers, is_emptied, "store of kept KV cache");
    }
    change
}
