//! The gateway: the process of an entry VM on a platform of its own. It forwards requests of any
//! route to backend servers that the platform lists and configures.
//!
//! The decisions are made in [`cactusspur_core::gateway`]. A platform implements
//! [`protocol::PlatformProtocol`] and [`store::MetadataStore`], which translate its formats.

pub mod brittle;
pub mod call;
pub mod clock;
pub mod common_key;
pub mod digest;
pub mod event_stream;
pub mod explain;
pub mod forward;
pub mod heartbeats;
pub mod kept_stores;
pub mod lease;
pub mod link;
pub mod list_check;
pub mod memory;
pub mod notice;
pub mod overload;
pub mod passing_on;
pub mod peer_table;
pub mod peer_versions;
pub mod peers;
pub mod protocol;
pub mod pulls;
pub mod quarantine;
pub mod reach;
pub mod relay;
pub mod removed;
pub mod replica;
pub mod request_body;
pub mod response;
pub mod server;
pub mod state;
pub mod status;
pub mod store;
pub mod store_polls;
pub mod usage;
pub mod version_queries;
pub mod version_records;
pub mod versions;
pub mod watch;
pub mod watch_duty;
pub mod weights;
pub mod weights_records;

use {
    crate::gateway::{
        clock::now, link::ConnectionPool, list_check::ListChecks, memory::BodyRoom,
        passing_on::PassingOn, peers::PeerGroup, protocol::PlatformProtocol, state::GatewayState,
        store::MetadataStore,
    },
    cactusspur_core::{
        DurationMs, TimeMs,
        gateway::{RetryBudgetLimits, ShutdownSchedule, UsageLimits},
    },
    derive_more::Display,
    error_stack::Report,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, mpsc},
        time::sleep,
    },
};

/// The settings of a gateway process: its addresses and the limits of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The VM's name.
    pub name: String,
    /// The VM's failure domain.
    pub domain: String,
    /// The listening address for callers.
    pub callers_address: SocketAddr,
    /// The listening address for readiness checks.
    pub readiness_address: SocketAddr,
    /// The address for peers' connections (TCP) and notices (UDP).
    pub peers_address: SocketAddr,
    /// The listening address for metrics and `/status`; `None` serves neither.
    pub metrics_address: Option<SocketAddr>,
    /// Peers that are known at start.
    pub seed_addresses: Vec<SocketAddr>,
    /// The secret that authenticates peers to each other.
    pub shared_key: String,
    /// Whether gateways that don't share that key take one from the store.
    pub has_common_key: bool,
    /// The limits on retries.
    pub retry_budget: RetryBudgetLimits,
    /// How far customers' use may exceed their caps; `None` enforces no caps.
    pub usage: Option<UsageLimits>,
    /// How long after new weights are announced a request may still start on older ones.
    pub old_weights_grace_ms: DurationMs,
    /// How soon a change of the configuration must be in force.
    pub configuration_limit_ms: DurationMs,
    /// How soon after a backend server says that it leaves it must get no more requests.
    pub drain_limit_ms: DurationMs,
    /// The silence after which the platform removes the row of a backend server.
    pub server_timeout_ms: DurationMs,
    /// The minimum time between weights orders of two successive holders of the order lease.
    pub handover_pause_ms: DurationMs,
    /// How soon after a change of the network the gateway must be back in touch.
    pub contact_limit_ms: DurationMs,
    /// How long the process may take to shut down.
    pub grace_ms: DurationMs,
    /// The memory that the process may use.
    pub memory_limit_bytes: usize,
}

/// The error of a gateway that can't start.
#[derive(Debug, Display)]
#[display("the gateway can't start")]
pub struct GatewayError;

impl std::error::Error for GatewayError {}

/// The state that all tasks of a gateway share. It is confined to one thread.
pub struct Shared {
    /// The settings.
    pub settings: GatewaySettings,
    /// The translation to and from the platform's formats.
    pub protocol: Box<dyn PlatformProtocol>,
    /// The pool of connections to backend servers.
    pub connection_pool: ConnectionPool,
    /// The room for the bodies of requests.
    pub body_room: BodyRoom,
    /// The configuration, the backend servers and what is known of their caches.
    pub state: RefCell<GatewayState>,
    /// The communication with other gateways.
    pub peers: PeerGroup,
    /// Requests that are passed on to other gateways, and by them.
    pub passing_on: PassingOn,
    /// The times of the shutdown; `None` before it begins.
    pub shutdown: Cell<Option<ShutdownSchedule>>,
    /// Whether the gateway holds the order lease and is rolling out weights.
    pub is_rolling_out: Cell<bool>,
    /// Notified when the store has returned from a backup.
    pub store_restored: Notify,
    /// Notified when another gateway of the failure domain may have stopped polling the store.
    pub pollers_changed: Notify,
    /// Notified when the store answers again after a failure.
    pub store_answers: Notify,
    /// Notified when requests with some prompt parts are refused from now on.
    pub quarantine_changed: Notify,
    /// When conclusions from crashes are scheduled.
    pub quarantine_settles_at_ms: Cell<Option<TimeMs>>,
    /// Notified when servers were listed or removed, so that the versions of a service may have changed.
    pub servers_listed: Notify,
    /// Notified when another gateway has told where streams began.
    pub streams_learned: Notify,
    /// Where checks are asked for whether the list of servers is current.
    pub list_checks: ListChecks,
    /// Whether a report of customers' use is scheduled.
    pub is_usage_report_due: Cell<bool>,
    /// Notified when weights are announced and when an engine is added or changed.
    pub weights_changed: Notify,
    /// Notified at the same time, for the records of ages.
    pub weights_ages_changed: Notify,
}

impl Shared {
    /// Whether the gateway is shutting down.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Whether the gateway can serve requests: its tables are loaded, it has a configuration and it
    /// isn't shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.state.borrow().is_complete()
    }
}

/// How often open connections are counted during shutdown.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// A running gateway.
pub struct Gateway {
    shared: Rc<Shared>,
    server: server::CallerServer,
}

impl Gateway {
    /// Binds all addresses and starts serving on this thread's runtime.
    ///
    /// # Errors
    ///
    /// When an address can't be bound or the shared key is too short.
    pub async fn bind<S>(
        settings: GatewaySettings,
        protocol: Box<dyn PlatformProtocol>,
        store: S,
    ) -> Result<Self, Report<GatewayError>>
    where
        S: MetadataStore,
    {
        let peers = PeerGroup::bind(&settings).await?;
        let state = GatewayState::new(&settings);
        let (list_checks, awaited_checks) = mpsc::unbounded_channel();
        let shared = Rc::new(Shared {
            protocol,
            connection_pool: ConnectionPool::with_limit(memory::answer_bytes(
                settings.memory_limit_bytes,
            )),
            body_room: BodyRoom::for_process(settings.memory_limit_bytes),
            state: RefCell::new(state),
            passing_on: PassingOn::default(),
            peers,
            shutdown: Cell::new(None),
            is_rolling_out: Cell::new(false),
            store_restored: Notify::new(),
            pollers_changed: Notify::new(),
            store_answers: Notify::new(),
            quarantine_changed: Notify::new(),
            quarantine_settles_at_ms: Cell::new(None),
            servers_listed: Notify::new(),
            streams_learned: Notify::new(),
            list_checks,
            is_usage_report_due: Cell::new(false),
            weights_changed: Notify::new(),
            weights_ages_changed: Notify::new(),
            settings,
        });
        let store = Rc::new(store);
        peers::spawn(&shared)?;
        heartbeats::spawn(&shared);
        watch::spawn(&shared, &store);
        common_key::spawn(&shared, &store);
        list_check::spawn(&shared, &store, awaited_checks);
        weights::spawn(&shared, &store);
        version_records::spawn(&shared, &store);
        weights_records::spawn(&shared, &store);
        kept_stores::spawn(&shared);
        server::spawn_readiness(&shared).await?;
        server::spawn_metrics(&shared).await?;
        let server = server::CallerServer::bind(&shared).await?;
        Ok(Self { shared, server })
    }

    /// Fails readiness checks, then stops accepting connections. Returns when no connection is
    /// open and no rollout is running, or shortly before the end of the grace period.
    pub async fn shut_down(&self) {
        let started_at_ms = now();
        let grace_ms = self.shared.settings.grace_ms;
        let schedule = ShutdownSchedule::new(grace_ms, started_at_ms);
        self.shared.shutdown.set(Some(schedule));
        self.shared.state.borrow_mut().peers.set_stopping();
        self.shared.peers.announce(&self.shared);
        tracing::info!(grace_ms = grace_ms.0, "shutting down");
        let unready_ms = schedule.closes_at_ms().since(started_at_ms);
        sleep(Duration::from_millis(unready_ms.0)).await;
        self.shared.shutdown.set(Some(schedule.closed(now())));
        self.server.stop_accepting();
        loop {
            sleep(DRAIN_POLL_PERIOD).await;
            let is_idle = self.server.open_connections() == 0
                && !self.shared.is_rolling_out.get()
                && self.shared.passing_on.taken() == 0;
            if is_idle || now() >= schedule.ends_at_ms() {
                break;
            }
        }
        let cut = self.server.open_connections();
        tracing::info!(cut, took_ms = now().since(started_at_ms).0, "stopped");
    }
}
