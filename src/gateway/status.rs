//! The status that a gateway reports to operators.

use {
    super::{Shared, brittle::BrittleService, clock::now, common_key, state::GatewayState},
    crate::peer::NEWEST_VERSION,
    cactusspur_core::{
        CustomerId, DurationMs, TimeMs, WeightsVersion,
        gateway::{AgeSource, Backend, RoutingTable, Suspect, UsageState},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The state of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The gateway's name.
    pub name: String,
    /// The gateway's failure domain.
    pub domain: String,
    /// Whether the gateway is shutting down.
    pub is_stopping: bool,
    /// Whether the gateway holds the order lease and is rolling out weights.
    pub is_rolling_out: bool,
    /// The version of the configuration in force; `None` before one is loaded.
    pub configuration: Option<u64>,
    /// The time since the store last answered this gateway; `None` if it never did, as when the
    /// gateway gets the tables from its peers.
    pub store_age_ms: Option<DurationMs>,
    /// Whether this gateway polls the store, which one of each failure domain does.
    #[serde(default)]
    pub polls_store: bool,
    /// Each watched table's name and the store version up to which the copy is complete.
    pub tables: Vec<(String, u64)>,
    /// How often the store has returned from a backup.
    #[serde(default)]
    pub store_era: u64,
    /// The names of the other running gateways.
    pub peers: Vec<String>,
    /// The other known gateways, if messages of none of them are read; 0 otherwise.
    #[serde(default)]
    pub unread_peers: usize,
    /// The newest version of messages that this gateway reads.
    #[serde(default)]
    pub messages_version: u8,
    /// The newest version of messages that this gateway and each of the other running ones read, by the
    /// other one's address.
    #[serde(default)]
    pub peer_versions: Vec<(SocketAddr, u8)>,
    /// The weights that were announced most recently, by model.
    pub weights: Vec<WeightsStatus>,
    /// The configured KV cache stores.
    pub kept_stores: Vec<KeptStoreStatus>,
    /// The number of prompt parts that are assumed to be cached on some server.
    pub cached_parts: usize,
    /// The prompt parts on which engines crash, or may do so.
    #[serde(default)]
    pub suspects: Vec<Suspect>,
    /// The retries that are left in the budget, by service.
    pub repeats_left: Vec<(String, u64)>,
    /// The use of customers with caps that was counted, by the customer's name.
    #[serde(default)]
    pub usage: Vec<(String, UsageState)>,
    /// The services that get more than they can answer in time.
    #[serde(default)]
    pub overloaded: Vec<OverloadedService>,
    /// The services of which no server accepts connections from this gateway.
    #[serde(default)]
    pub out_of_reach: Vec<String>,
    /// The services whose servers are brittle.
    #[serde(default)]
    pub brittle: Vec<BrittleService>,
    /// The backend servers.
    pub backends: Vec<BackendStatus>,
}

/// Weights that were announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsStatus {
    /// The model's name.
    pub model: String,
    /// The announced version.
    pub version: WeightsVersion,
    /// The time since the announcement, at the most; `None` if it isn't known.
    pub age_ms: Option<DurationMs>,
    /// Where the age comes from; `None` if it isn't known, or from a gateway that doesn't tell it.
    #[serde(default)]
    pub source: Option<AgeSource>,
}

/// A service that gets more than it can answer in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadedService {
    /// The service's name.
    pub service: String,
    /// The time until room is expected for callers that are refused now.
    pub wait_ms: DurationMs,
}

/// The state of a KV cache store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptStoreStatus {
    /// The store's address.
    pub address: SocketAddr,
    /// Whether the store answered when it was last queried.
    pub answers: bool,
}

/// The state of a backend server, as the gateway knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// The instance id of the server's incarnation.
    pub instance: String,
    /// The name of the service that the server belongs to.
    pub service: String,
    /// The server's address.
    pub address: SocketAddr,
    /// Whether the server reports that it accepts new requests.
    pub is_ready: bool,
    /// Whether the server can be reached and isn't loading weights.
    pub takes_requests: bool,
    /// The weights version of each model on the server.
    pub weights: Vec<(String, WeightsVersion)>,
    /// This gateway's requests in progress at the server.
    pub in_flight: u64,
    /// The estimated number of requests of all gateways at the server.
    pub occupancy: u64,
    /// The estimated time until the server has prefilled the prompts in its queue.
    pub queue_ms: DurationMs,
    /// The share of recent requests that failed, in thousandths.
    pub failure_permille: u64,
}

impl BackendStatus {
    fn new(backend: &Backend, now: TimeMs) -> Self {
        Self {
            instance: backend.spec.instance.clone(),
            service: backend.spec.service.clone(),
            address: backend.spec.address,
            is_ready: backend.is_ready(),
            takes_requests: backend.takes_requests(now),
            weights: backend.spec.weights.clone(),
            in_flight: backend.in_flight,
            occupancy: backend.occupancy(now),
            queue_ms: backend.queue_ms(now),
            failure_permille: backend.failure_permille(now),
        }
    }
}

impl GatewayStatus {
    /// The gateway's current state.
    #[must_use]
    pub fn collect(shared: &Shared) -> Self {
        let now = now();
        let state = shared.state.borrow();
        let versions = shared.peers.versions().borrow();
        let running = state.peers.running_addresses(now);
        let peer_versions = running.map(|address| (address, versions.common(address, now)));
        Self {
            name: shared.settings.name.clone(),
            domain: shared.settings.domain.clone(),
            is_stopping: shared.is_stopping(),
            is_rolling_out: shared.is_rolling_out.get(),
            configuration: state.routing.as_ref().map(|routing| routing.version),
            store_age_ms: state.store_age_ms(now),
            unread_peers: common_key::unread_peers(shared),
            polls_store: state.watch_duty.is_polling(),
            tables: state
                .replica
                .heads()
                .into_iter()
                .map(|(table, head)| (table, head.version))
                .collect(),
            store_era: state.replica.era(),
            peers: state.peers.running(now).map(str::to_owned).collect(),
            messages_version: NEWEST_VERSION,
            peer_versions: peer_versions.collect(),
            weights: weights(&state, now),
            kept_stores: kept_stores(&state),
            cached_parts: state.cached_parts.len(),
            suspects: state.quarantine.suspects(now),
            repeats_left: state.retry_budget.remaining().collect(),
            usage: state.usage_rows(),
            overloaded: overloaded(&state, now),
            out_of_reach: state.reach.lost().map(str::to_owned).collect(),
            brittle: state.brittle_services.report(now),
            backends: state
                .backends
                .iter()
                .map(|row| BackendStatus::new(row.1, now))
                .collect(),
        }
    }
}

impl GatewayState {
    /// The use of each customer with a cap that is known, by name.
    pub fn usage_states<'a>(
        &self,
        routing: &'a RoutingTable,
    ) -> impl Iterator<Item = (&'a str, UsageState)> {
        let states: Vec<UsageState> = self.usage.states().collect();
        let capped = routing
            .customers()
            .filter(|customer| customer.cap.is_some());
        capped.filter_map(move |customer| {
            let id = CustomerId::from_name(&customer.name);
            let found = states.binary_search_by_key(&id, |state| state.customer);
            Some((customer.name.as_str(), states[found.ok()?]))
        })
    }

    fn usage_rows(&self) -> Vec<(String, UsageState)> {
        let Some(routing) = &self.routing else {
            return Vec::new();
        };
        let rows = self.usage_states(routing);
        rows.map(|(name, usage)| (name.to_owned(), usage)).collect()
    }
}

fn weights(state: &GatewayState, now: TimeMs) -> Vec<WeightsStatus> {
    let models = state.announced_weights.iter();
    let rows = models.flat_map(|(model, announced)| {
        let versions = announced.versions().iter().rev();
        versions.map(move |weights| WeightsStatus {
            model: model.clone(),
            version: weights.version,
            age_ms: weights.at.age_ms(now),
            source: weights.at.source(),
        })
    });
    rows.collect()
}

fn overloaded(state: &GatewayState, now: TimeMs) -> Vec<OverloadedService> {
    let services = state.overload.overloaded(now);
    let rows = services.map(|(service, wait_ms)| OverloadedService {
        service: service.to_owned(),
        wait_ms,
    });
    rows.collect()
}

fn kept_stores(state: &GatewayState) -> Vec<KeptStoreStatus> {
    let routing = state.routing.iter();
    let stores = routing.flat_map(|routing| routing.kept_stores());
    let statuses = stores.map(|store| KeptStoreStatus {
        address: store.address,
        answers: state.kept_stores.is_available(store.address),
    });
    statuses.collect()
}
