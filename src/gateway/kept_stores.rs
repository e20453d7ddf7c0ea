//! Monitors whether the KV cache stores answer, and whether they have restarted.
//!
//! A request that names a store that is down takes some hundred milliseconds longer, so a store is
//! named only while it answers. A store can hold few long polls at once: two gateways poll each
//! store and report its state to the others.

use {
    super::{Shared, clock::now, protocol::KeptStoreState},
    cactusspur_core::{DurationMs, VecMap, WorkerId, gateway::KeptStore},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How long a store may hold a poll. Held polls cost nothing.
const POLL_MS: DurationMs = DurationMs(1_000);
/// The timeout of a poll. It exceeds [`POLL_MS`] by the time that the exchange itself may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The wait before the next poll of a store that did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The pause between two polls. It limits the rate of polls to a store whose state changes often.
const POLL_PAUSE: Duration = Duration::from_millis(600);
/// How long a starting gateway waits for notices of its peers before it may become a watcher.
const START_DELAY: Duration = Duration::from_millis(300);
/// How often the configuration is checked for new stores, and how often a gateway that doesn't poll
/// a store checks whether it should.
const CHECK_PERIOD: Duration = Duration::from_millis(400);
/// Gateways that poll a store: one, and a second in case the first fails.
const MAX_WATCHERS: usize = 2;
/// The largest response of a store.
const MAX_RESPONSE_BYTES: usize = 1_048_576;

/// The known state of one store.
#[derive(Clone, Copy, Debug, Default)]
struct StoreState {
    is_available: bool,
    incarnation: Option<u64>,
    /// Whether this gateway polls the store itself.
    is_watched: bool,
}

/// The known states of the KV cache stores.
#[derive(Debug, Default)]
pub struct KeptStoreStates {
    stores: VecMap<SocketAddr, StoreState>,
}

/// The change of a store's state by a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptStoreChange {
    /// Whether the store started or stopped answering.
    pub is_availability_change: bool,
    /// Whether the store has restarted and lost its contents.
    pub is_emptied: bool,
}

impl KeptStoreStates {
    /// Returns whether the store answered the last poll.
    #[must_use]
    pub fn is_available(&self, address: SocketAddr) -> bool {
        self.stores
            .get(&address)
            .is_some_and(|store| store.is_available)
    }

    /// Records the incarnation that a store reported, or `None` if it did not answer. The latest
    /// report wins, whether this gateway or a peer has polled the store.
    pub fn record_answer(
        &mut self,
        address: SocketAddr,
        incarnation: Option<u64>,
    ) -> KeptStoreChange {
        let store = self.stores.get_or_insert_with(address, StoreState::default);
        let change = KeptStoreChange {
            is_availability_change: store.is_available != incarnation.is_some(),
            is_emptied: store.incarnation.is_some()
                && incarnation.is_some()
                && store.incarnation != incarnation,
        };
        store.is_available = incarnation.is_some();
        store.incarnation = incarnation.or(store.incarnation);
        change
    }

    /// Records whether this gateway polls a store itself.
    pub fn set_watched(&mut self, address: SocketAddr, is_watched: bool) {
        let store = self.stores.get_or_insert_with(address, StoreState::default);
        store.is_watched = is_watched;
    }

    /// Returns the stores that this gateway polls, each with its incarnation or `None` if it doesn't
    /// answer. Gateways that don't poll learn the states from this list.
    #[must_use]
    pub fn watched(&self) -> Vec<(SocketAddr, Option<u64>)> {
        let watched = self.stores.iter().filter(|store| store.1.is_watched);
        watched
            .map(|(address, store)| (*address, store.incarnation.filter(|_| store.is_available)))
            .collect()
    }
}

/// Starts the task that watches the stores of the configuration.
pub fn spawn(shared: &Rc<Shared>) {
    ntex::rt::spawn(watch_all(Rc::clone(shared)));
}

async fn watch_all(shared: Rc<Shared>) {
    sleep(START_DELAY).await;
    let mut known: Vec<SocketAddr> = Vec::new();
    loop {
        let configured_stores = configured_stores(&shared);
        for store in &configured_stores {
            if !known.contains(&store.address) {
                ntex::rt::spawn(watch(Rc::clone(&shared), store.clone()));
            }
        }
        known = configured_stores
            .iter()
            .map(|store| store.address)
            .collect();
        sleep(CHECK_PERIOD).await;
    }
}

fn configured_stores(shared: &Shared) -> Vec<KeptStore> {
    let routing = shared.state.borrow().routing.clone();
    routing.map_or_else(Vec::new, |routing| routing.kept_stores().cloned().collect())
}

/// Watches one store for as long as the configuration lists it.
async fn watch(shared: Rc<Shared>, store: KeptStore) {
    let mut next_sequence = 0;
    while configured_stores(&shared).contains(&store) {
        let is_watcher = is_watcher(&shared, store.id);
        set_watched(&shared, &store, is_watcher);
        if !is_watcher {
            sleep(CHECK_PERIOD).await;
            continue;
        }
        let response = poll(&shared, store.address, next_sequence).await;
        let change = record_answer(
            &shared,
            store.address,
            response.map(|response| response.incarnation),
        );
        if change.is_availability_change || change.is_emptied {
            shared.peers.announce(&shared);
        }
        next_sequence = response.map_or(next_sequence, |response| response.next);
        sleep(if response.is_some() {
            POLL_PAUSE
        } else {
            RETRY_DELAY
        })
        .await;
    }
}

fn set_watched(shared: &Shared, store: &KeptStore, is_watched: bool) {
    let states = &mut shared.state.borrow_mut().kept_stores;
    states.set_watched(store.address, is_watched);
}

/// Returns whether this gateway is one of the first in the common order for this store.
fn is_watcher(shared: &Shared, store: WorkerId) -> bool {
    let state = shared.state.borrow();
    let watchers_ahead = state.peers.count_running_before(store.0, now());
    watchers_ahead < MAX_WATCHERS
}

async fn poll(shared: &Shared, address: SocketAddr, next_sequence: u64) -> Option<KeptStoreState> {
    let request = shared.protocol.kept_store_request(next_sequence, POLL_MS);
    let connection_pool = &shared.connection_pool;
    let exchange = connection_pool.exchange(address, request, MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT);
    match exchange.await {
        Ok((_, body)) => shared.protocol.parse_kept_store_state(&body),
        Err(error) => {
            tracing::debug!(%address, %error, "a KV cache store did not answer");
            None
        }
    }
}

/// Records the incarnation that a store reported to this gateway or to a peer. A store that has lost
/// its contents is removed from the cached parts.
pub fn record_answer(
    shared: &Shared,
    address: SocketAddr,
    incarnation: Option<u64>,
) -> KeptStoreChange {
    let mut state = shared.state.borrow_mut();
    let change = state.kept_stores.record_answer(address, incarnation);
    if change.is_emptied {
        let routing = state.routing.clone();
        let mut stores = routing.iter().flat_map(|routing| routing.kept_stores());
        if let Some(store) = stores.find(|store| store.address == address) {
            state.cached_parts.remove_worker(store.id);
        }
    }
    if change.is_availability_change || change.is_emptied {
        let (answers, is_emptied) = (incarnation.is_some(), change.is_emptied);
        tracing::info!(%address, answers, is_emptied, "KV cache store changed");
    }
    change
}
