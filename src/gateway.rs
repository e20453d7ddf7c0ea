//! A gateway: an entry VM that forwards requests of any route to backend servers that run
//! elsewhere, listed and configured by somebody else's platform.
//!
//! The decisions are in [`cactusspur_core::gateway`]. What the platform speaks is translated by
//! its adapter, behind [`protocol::PlatformProtocol`] and [`store::MetadataStore`].

pub mod call;
pub mod clock;
pub mod event_stream;
pub mod forward;
pub mod kept;
pub mod lease;
pub mod link;
pub mod notice;
pub mod peers;
pub mod protocol;
pub mod relay;
pub mod replica;
pub mod response;
pub mod server;
pub mod state;
pub mod status;
pub mod store;
pub mod watch;
pub mod weights;

use {
    crate::gateway::{
        clock::now, link::Links, peers::PeerGroup, protocol::PlatformProtocol, state::GatewayState,
        store::MetadataStore,
    },
    cactusspur_core::{DurationMs, gateway::BudgetTerms},
    derive_more::Display,
    error_stack::Report,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
};

/// What a gateway is told of its place and of the deployment's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The VM's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where callers connect to.
    pub callers_address: SocketAddr,
    /// Where readiness is asked for.
    pub readiness_address: SocketAddr,
    /// Where peers connect to, and send datagrams to.
    pub peers_address: SocketAddr,
    /// Where metrics are read, if they are.
    pub metrics_address: Option<SocketAddr>,
    /// Peers to start from.
    pub seed_addresses: Vec<SocketAddr>,
    /// The key by which peers know each other.
    pub shared_key: String,
    /// What is permitted in repeats.
    pub retry_budget: BudgetTerms,
    /// How long after new weights were named a request may begin on older ones.
    pub old_weights_grace_ms: DurationMs,
    /// The pause that must lie between orders of two holders.
    pub handover_pause_ms: DurationMs,
    /// How long a process may take to end after it was asked to.
    pub grace_ms: DurationMs,
}

/// A gateway can't start.
#[derive(Debug, Display)]
#[display("the gateway can't start")]
pub struct GatewayError;

impl std::error::Error for GatewayError {}

/// What all parts of a gateway share. It belongs to one thread.
pub struct Shared {
    /// Its settings.
    pub settings: GatewaySettings,
    /// What the platform speaks.
    pub protocol: Box<dyn PlatformProtocol>,
    /// Connections to backend servers.
    pub links: Links,
    /// What it believes.
    pub state: RefCell<GatewayState>,
    /// Other gateways.
    pub peers: PeerGroup,
    /// Whether it is shutting down.
    pub is_stopping: Cell<bool>,
    /// Whether it is rolling weights out as the holder of the lease on orders.
    pub is_rolling_out: Cell<bool>,
    /// Told when weights were named, or engines have come or changed.
    pub weights_changed: Notify,
}

impl Shared {
    /// Whether it can serve: it has a configuration and isn't shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.state.borrow().is_complete()
    }
}

/// How long connections stay open after readiness ended, so that whoever balances callers has
/// noticed: two misses of a question a second, and one more for the way.
const UNREADY_FIRST: Duration = Duration::from_secs(3);
/// What of the grace period is left when the last requests are cut.
const GRACE_MARGIN_MS: DurationMs = DurationMs(500);
/// How often requests in progress are counted during shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// A running gateway.
pub struct Gateway {
    shared: Rc<Shared>,
    server: server::CallerServer,
}

impl Gateway {
    /// Binds all addresses and starts to serve on this thread's runtime.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
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
        let shared = Rc::new(Shared {
            protocol,
            links: Links::open(),
            state: RefCell::new(state),
            peers,
            is_stopping: Cell::new(false),
            is_rolling_out: Cell::new(false),
            weights_changed: Notify::new(),
            settings,
        });
        let store = Rc::new(store);
        peers::spawn(&shared)?;
        watch::spawn(&shared, &store);
        weights::spawn(&shared, &store);
        kept::spawn(&shared);
        server::spawn_readiness(&shared).await?;
        server::spawn_metrics(&shared).await?;
        let server = server::CallerServer::bind(&shared).await?;
        Ok(Self { shared, server })
    }

    /// Stops taking requests, lets those in progress end, and returns when none is left or the
    /// grace period is about to end.
    pub async fn shut_down(&self) {
        let began = now();
        self.shared.is_stopping.set(true);
        self.shared.peers.announce(&self.shared);
        let grace_ms = self.shared.settings.grace_ms;
        tracing::info!(grace_ms = grace_ms.0, "shutting down");
        sleep(UNREADY_FIRST).await;
        self.server.stop_accepting();
        let limit_ms = grace_ms.saturating_sub(GRACE_MARGIN_MS);
        while (self.server.open_connections() > 0 || self.shared.is_rolling_out.get())
            && now().since(began) < limit_ms
        {
            sleep(DRAIN_POLL).await;
        }
        let cut = self.server.open_connections();
        tracing::info!(cut, took_ms = now().since(began).0, "stopped");
    }
}
