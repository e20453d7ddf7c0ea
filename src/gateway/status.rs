//! What a gateway believes, as it tells operators.

use {
    super::{Shared, clock::now, notice::WeightsNotice, state::GatewayState},
    cactusspur_core::{DurationMs, TimeMs, WeightsVersion, gateway::Backend},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a gateway believes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it is shutting down.
    pub is_stopping: bool,
    /// Whether it rolls weights out as the holder of the lease on orders.
    pub is_rolling_out: bool,
    /// The version of the configuration in force.
    pub configuration: Option<u64>,
    /// How long ago the store answered it; none if it never did, or if it hears from peers.
    pub store_age_ms: Option<DurationMs>,
    /// The store's version up to which each watched table is known.
    pub tables: Vec<(String, u64)>,
    /// The names of other gateways that run.
    pub peers: Vec<String>,
    /// The weights that were named lately.
    pub weights: Vec<WeightsNotice>,
    /// The stores of kept KV cache.
    pub kept_stores: Vec<KeptStoreStatus>,
    /// The parts of prompts that it believes to be cached somewhere.
    pub cached_parts: usize,
    /// Repeats that it may still send, by service.
    pub repeats_left: Vec<(String, u64)>,
    /// The backend servers.
    pub backends: Vec<BackendStatus>,
}

/// What a gateway believes of a store of kept KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptStoreStatus {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it answers.
    pub answers: bool,
}

/// What a gateway believes of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// The name of its life.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes new work by its own word.
    pub is_ready: bool,
    /// Whether it can be reached and isn't loading weights.
    pub takes_requests: bool,
    /// The weights of each model.
    pub weights: Vec<(String, WeightsVersion)>,
    /// This gateway's requests in progress there.
    pub in_flight: u64,
    /// The requests of all gateways that are probably there.
    pub occupancy: u64,
    /// The time until it has probably read the prompts that wait there.
    pub queue_ms: DurationMs,
    /// The share of requests that failed lately, in thousandths.
    pub failure_permille: u64,
}

impl BackendStatus {
    fn of(backend: &Backend, now: TimeMs) -> Self {
        Self {
            instance: backend.spec.instance.clone(),
            service: backend.spec.service.clone(),
            address: backend.spec.address,
            is_ready: backend.spec.is_ready,
            takes_requests: backend.takes_requests(now),
            weights: backend.spec.weights.clone(),
            in_flight: backend.in_flight,
            occupancy: backend.occupancy(now),
            queue_ms: backend.queue_ms(now),
            failure_permille: backend.failure_share(now),
        }
    }
}

impl GatewayStatus {
    /// What a gateway believes now.
    #[must_use]
    pub fn of(shared: &Shared) -> Self {
        let now = now();
        let state = shared.state.borrow();
        Self {
            name: shared.settings.name.clone(),
            domain: shared.settings.domain.clone(),
            is_stopping: shared.is_stopping.get(),
            is_rolling_out: shared.is_rolling_out.get(),
            configuration: state.routing.as_ref().map(|routing| routing.version),
            store_age_ms: state.store_age_ms(now),
            tables: state.replica.heads(),
            peers: state.peers.running(now).map(str::to_owned).collect(),
            weights: state.weights_notices(now),
            kept_stores: kept_stores(&state),
            cached_parts: state.cached_parts.len(),
            repeats_left: state.retry_budget.left().collect(),
            backends: state
                .backends
                .iter()
                .map(|row| BackendStatus::of(row.1, now))
                .collect(),
        }
    }
}

fn kept_stores(state: &GatewayState) -> Vec<KeptStoreStatus> {
    let routing = state.routing.iter();
    let stores = routing.flat_map(|routing| routing.kept_stores());
    let status = stores.map(|store| KeptStoreStatus {
        address: store.address,
        answers: state.kept_stores.answers(store.address),
    });
    status.collect()
}
