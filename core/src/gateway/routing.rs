//! Which service a request goes to, and under which limits.

use {
    crate::{id::WorkerId, unit::DurationMs},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// An idempotent request with one answer.
    Idempotent,
    /// A request that may run once at the most.
    Once,
    /// A stream of events.
    Stream {
        /// Whether another backend server may go on after the last event that arrived.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a request may run again after it may have run.
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

/// A share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// The service's name.
    pub service: String,
    /// Its share, relative to the other splits of the route.
    pub weight: u64,
}

/// Where requests of one host and path go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// The host that requests name, in lower case and without a port.
    pub host: String,
    /// The start of the path.
    pub prefix: String,
    /// How often its requests may run.
    pub kind: CallKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: DurationMs,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub target_ms: DurationMs,
    /// The longest pause between events for which a stream is on time.
    pub event_gap_ms: Option<DurationMs>,
    /// The rank of its requests; 0 is the first.
    pub priority: u8,
    /// The services that serve it.
    pub splits: Vec<Split>,
    /// The backend servers that one request may be sent to.
    pub max_backends: usize,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// The service for a request, by a number that is drawn once for it.
    #[must_use]
    pub fn service(&self, random: u64) -> Option<&str> {
        let total: u64 = self.splits.iter().map(|split| split.weight).sum();
        let mut left = random.checked_rem(total)?;
        for split in &self.splits {
            if left < split.weight {
                return Some(&split.service);
            }
            left -= split.weight;
        }
        None
    }
}

/// What is known of a service beside its list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// The connections that one backend server accepts from all entry VMs together.
    pub max_connections: usize,
    /// The bytes of KV cache per token.
    pub kv_bytes_per_token: u64,
    /// The rate at which an engine moves KV cache, in megabits per second.
    pub link_mbps: u64,
    /// The store of kept KV cache that it is, if it is one. Such a service serves no route.
    pub kept_store: Option<KeptStore>,
}

impl ServiceSpec {
    /// The requests that one of the entry VMs may have in progress at one backend server, so that
    /// all together open no more connections than it accepts.
    #[must_use]
    pub fn max_in_flight(&self, entry_vms: usize) -> u64 {
        let share = self.max_connections / entry_vms.max(1);
        share.max(1) as u64
    }
}

/// A store of kept KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptStore {
    /// Stands for it among those that hold parts of prompts.
    pub id: WorkerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

impl KeptStore {
    /// A store at an address.
    #[must_use]
    pub fn new(address: SocketAddr, domain: String) -> Self {
        Self {
            id: WorkerId::from_name(&address.to_string()),
            address,
            domain,
        }
    }
}

/// A customer and the keys that name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerSpec {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// The rank of its requests, in place of the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompt work with others.
    pub isolated: bool,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// How long a connection may be without a request.
    pub idle_ms: DurationMs,
}

/// One version of the configuration of routes, services and customers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Its version. A higher one replaces a lower one.
    pub version: u64,
    routes: Vec<Route>,
    services: Vec<ServiceSpec>,
    customers: Vec<CustomerSpec>,
    keys: Vec<(String, usize)>,
    /// The limits on callers.
    pub limits: CallerLimits,
}

impl RoutingTable {
    /// A table that finds routes, services and customers by bisection.
    #[must_use]
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<ServiceSpec>,
        customers: Vec<CustomerSpec>,
        limits: CallerLimits,
    ) -> Self {
        // The longest prefix of a host comes first, so that the first match is the right one.
        routes.sort_by(|a, b| {
            let by_length = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_length)
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<(String, usize)> = customers
            .iter()
            .enumerate()
            .flat_map(|(at, customer)| customer.keys.iter().map(move |key| (key.clone(), at)))
            .collect();
        keys.sort();
        Self {
            version,
            routes,
            services,
            customers,
            keys,
            limits,
        }
    }

    /// The route of a request.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).to_ascii_lowercase();
        let start = self.routes.partition_point(|route| route.host < host);
        self.routes[start..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.prefix))
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// The stores of kept KV cache.
    pub fn kept_stores(&self) -> impl Iterator<Item = &KeptStore> {
        let services = self.services.iter();
        services.filter_map(|service| service.kept_store.as_ref())
    }

    /// Whether callers need a key on routes that aren't public.
    #[must_use]
    pub const fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// The customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&CustomerSpec> {
        let found = self.keys.binary_search_by(|row| row.0.as_str().cmp(key));
        found.ok().map(|at| &self.customers[self.keys[at].1])
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
