//! Maps requests to routes, services and customers, with the limits that apply.

use {
    super::{
        cached::{CacheGroup, IsolatedSet},
        usage::UsageCap,
    },
    crate::{id::WorkerId, unit::DurationMs},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Whether a request may be repeated, and the form of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// An idempotent request with one answer.
    Idempotent,
    /// A request with one answer that may run at most once.
    Once,
    /// A request whose answer is a stream of events.
    Stream {
        /// Whether another backend server can resume the stream after the last received event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a request may be repeated when it is unknown whether it has run.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// The service's name.
    pub service: String,
    /// The weight relative to the other splits of the route.
    pub weight: u64,
}

/// The destination and the limits of requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name in logs and metrics.
    pub name: String,
    /// The requested host, in lower case and without a port.
    pub host: String,
    /// The prefix that the request's path must have.
    pub prefix: String,
    /// Whether requests may be repeated, and the form of their answers.
    pub kind: CallKind,
    /// The maximum time until the caller receives an answer.
    pub timeout_ms: DurationMs,
    /// The target time to the answer, or to the first event of a stream.
    pub target_ms: DurationMs,
    /// The target for the longest pause between events of a stream; `None` sets no target.
    pub event_gap_ms: Option<DurationMs>,
    /// The priority of requests; 0 is the highest.
    pub priority: u8,
    /// The services that requests are distributed over.
    pub splits: Vec<Split>,
    /// The maximum number of backend servers that one request is sent to.
    pub max_backends: usize,
    /// Whether callers need no API key.
    pub is_public: bool,
}

impl Route {
    /// The services that requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let used = self.splits.iter().filter(|split| split.weight > 0);
        used.map(|split| split.service.as_str())
    }

    /// The service for a request, chosen by the weights of the splits. `random` is a number drawn
    /// once for the request. `None` if the weights sum to zero.
    #[must_use]
    pub fn service(&self, random: u64) -> Option<&str> {
        let total: u64 = self.splits.iter().map(|split| split.weight).sum();
        let mut offset = random.checked_rem(total)?;
        for split in &self.splits {
            if offset < split.weight {
                return Some(&split.service);
            }
            offset -= split.weight;
        }
        None
    }
}

/// The configuration of a service, without its list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: String,
    /// The path at which a backend server tells whether it is healthy.
    pub health_path: String,
    /// The number of connections that one backend server accepts from all entry VMs together.
    pub max_connections: usize,
    /// The bytes of KV cache per token.
    pub kv_bytes_per_token: u64,
    /// The rate at which an engine transfers KV cache, in megabits per second.
    pub link_mbps: u64,
    /// The KV cache store, if the service is one. Such a service serves no route.
    pub kept_store: Option<KeptStore>,
}

impl ServiceSpec {
    /// The maximum number of requests that each of the entry VMs may have in progress at one
    /// backend server, so that together they open no more connections than it accepts. At least 1.
    #[must_use]
    pub fn max_in_flight(&self, entry_vms: usize) -> u64 {
        let share = self.max_connections / entry_vms.max(1);
        share.max(1) as u64
    }
}

/// A store to which engines save KV cache, and from which they fetch it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptStore {
    /// The store's id in [`super::CachedParts`].
    pub id: WorkerId,
    /// The address on which the store listens.
    pub address: SocketAddr,
    /// The store's failure domain.
    pub domain: String,
}

impl KeptStore {
    /// Creates a store whose id is derived from its address.
    #[must_use]
    pub fn new(address: SocketAddr, domain: String) -> Self {
        Self {
            id: WorkerId::from_name(&address.to_string()),
            address,
            domain,
        }
    }
}

/// A customer and its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerSpec {
    /// The customer's name.
    pub name: String,
    /// The API keys that identify the customer.
    pub keys: Vec<String>,
    /// The priority of the customer's requests; `None` uses the route's.
    pub priority: Option<u8>,
    /// Whether the customer shares no cached prompt work with others.
    pub isolated: bool,
    /// The cap on the customer's use over all entry VMs.
    pub cap: Option<UsageCap>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request's head.
    pub max_head_bytes: usize,
    /// The maximum size of a request's body.
    pub max_body_bytes: usize,
    /// How long a connection may be idle between requests.
    pub idle_ms: DurationMs,
}

/// One version of the configuration of routes, services and customers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// The version of the configuration. A higher one replaces a lower one.
    pub version: u64,
    routes: Vec<Route>,
    services: Vec<ServiceSpec>,
    customers: Vec<CustomerSpec>,
    isolated: IsolatedSet,
    keys: Vec<(String, usize)>,
    /// The limits on callers.
    pub limits: CallerLimits,
}

impl RoutingTable {
    /// Creates a table that finds routes, services and customers by binary search.
    #[must_use]
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<ServiceSpec>,
        mut customers: Vec<CustomerSpec>,
        limits: CallerLimits,
    ) -> Self {
        // Sorted by descending prefix length within a host, so that the first match is the longest.
        routes.sort_by(|a, b| {
            let by_length = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_length)
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        customers.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<(String, usize)> = customers
            .iter()
            .enumerate()
            .flat_map(|(row, customer)| customer.keys.iter().map(move |key| (key.clone(), row)))
            .collect();
        keys.sort();
        let isolated = customers.iter().filter(|customer| customer.isolated);
        let isolated = IsolatedSet::new(isolated.map(|customer| customer.name.as_str()));
        Self {
            version,
            routes,
            services,
            customers,
            isolated,
            keys,
            limits,
        }
    }

    /// The route with the longest prefix that matches a request; `None` if there is none.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).to_ascii_lowercase();
        let start = self.routes.partition_point(|route| route.host < host);
        self.routes[start..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// The longest time that a route permits a stream to take; zero without streams.
    #[must_use]
    pub fn longest_stream_ms(&self) -> DurationMs {
        let streams = self
            .routes
            .iter()
            .filter(|route| matches!(route.kind, CallKind::Stream { .. }));
        streams
            .map(|route| route.timeout_ms)
            .max()
            .unwrap_or_default()
    }

    /// The services whose streams may be taken up, in order.
    #[must_use]
    pub fn resumable_services(&self) -> Vec<&str> {
        let kind = CallKind::Stream { resumable: true };
        let routes = self.routes.iter().filter(|route| route.kind == kind);
        let splits = routes.flat_map(|route| &route.splits);
        let mut names: Vec<&str> = splits.map(|split| split.service.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// The KV cache stores.
    pub fn kept_stores(&self) -> impl Iterator<Item = &KeptStore> {
        let services = self.services.iter();
        services.filter_map(|service| service.kept_store.as_ref())
    }

    /// Whether callers need an API key on routes that aren't public.
    #[must_use]
    pub const fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// The customer with this name.
    #[must_use]
    pub fn customer_named(&self, name: &str) -> Option<&CustomerSpec> {
        let found = self
            .customers
            .binary_search_by(|customer| customer.name.as_str().cmp(name));
        found.ok().map(|index| &self.customers[index])
    }

    /// The customers with which the one of this name shares cached work; `None` stands for callers without a
    /// customer. One that the configuration lacks, since it was removed, shares with nobody.
    #[must_use]
    pub fn cache_group<'a>(&self, customer: Option<&'a str>) -> CacheGroup<'a> {
        let is_isolated = |name| self.customer_named(name).is_none_or(|found| found.isolated);
        match customer.filter(|name| is_isolated(name)) {
            Some(name) => CacheGroup::Isolated(name),
            None => CacheGroup::Common(self.isolated),
        }
    }

    /// All customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerSpec> {
        self.customers.iter()
    }

    /// The customer that an API key identifies.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&CustomerSpec> {
        let found = self.keys.binary_search_by(|row| row.0.as_str().cmp(key));
        found.ok().map(|index| &self.customers[self.keys[index].1])
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
