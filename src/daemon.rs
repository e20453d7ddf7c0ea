//! The daemon of an entry VM: brings the parts up, serves, and shuts down gracefully.

use {
    crate::{
        callers::{self, CallersState},
        control::{Control, ControlSettings},
        driver::Driver,
        operators_server::{self, OperatorsState, Readiness},
        outbound::OutboundCommands,
        platform::Platform,
        poller,
        settings::Settings,
        telemetry,
        timeline::Timeline,
        timer::Timer,
    },
    cactusspur_core::{DurationMs, Event},
    derive_more::Display,
    error_stack::{Report, ResultExt},
    ntex::{
        SharedCfg,
        http::HttpServiceConfig,
        server::Server,
        time::{Millis, Seconds, sleep},
        web::{App, HttpServer},
    },
    std::{
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// How often a shutdown looks whether all is done.
const DRAIN_INTERVAL: Millis = Millis(50);
/// Headers that one request may have.
const MAX_HEADERS: usize = 64;
/// How long a connection may be idle between two requests.
const KEEP_ALIVE: Seconds = Seconds(75);
/// How long a request's head may take. The server library lets the same time run on while it
/// answers and closes the connection after a longer answer, so it is not short.
const HEAD_LIMIT: Seconds = Seconds(60);
/// How long a request's body may pause.
const PAUSE_LIMIT: Seconds = Seconds(5);
/// How long a request may take to arrive in all.
const READ_LIMIT: Seconds = Seconds(30);
/// The least rate at which a request has to arrive, in bytes a second.
const MIN_READ_RATE_BYTES_PER_S: u32 = 1_024;

/// The daemon can't start.
#[derive(Debug, Display)]
#[display("the daemon can't start")]
pub struct DaemonError;

impl std::error::Error for DaemonError {}

/// The addresses that a daemon is bound to, with the ports that a setting of 0 got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("callers={callers} operators={operators} peers={peers}")]
pub struct Addresses {
    /// Where callers connect to.
    pub callers: SocketAddr,
    /// Where operators connect to.
    pub operators: SocketAddr,
    /// Where other entry VMs connect to.
    pub peers: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    driver: Arc<Driver>,
    control: Control,
    draining: Arc<AtomicBool>,
    servers: Vec<Server>,
    addresses: Addresses,
    shutdown_notice_ms: DurationMs,
    shutdown_limit_ms: DurationMs,
}

impl Daemon {
    /// Binds the addresses and starts to serve, on this thread's runtime and one thread for each
    /// address.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn bind(settings: Settings) -> Result<Self, Report<DaemonError>> {
        let incarnation: u64 = rand::random();
        let timeline = Timeline::new(&settings.name, incarnation);
        let (driver, commands) = Driver::new(settings.core(incarnation), Arc::clone(&timeline));
        let draining = Arc::new(AtomicBool::new(false));
        let callers_state = CallersState {
            driver: Arc::clone(&driver),
            max_body_bytes: settings.max_body_bytes,
            incarnation,
        };
        let callers_listener = listener(settings.callers_address)?;
        let operators_listener = listener(settings.operators_address)?;
        let platform = Platform::new(settings.platform_address).await;
        let control_settings = ControlSettings {
            name: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
            peers_address: settings.peers_address,
            operators_address: local_address(&operators_listener)?,
            seed_addresses: settings.seed_addresses.clone(),
            shared_key: settings.shared_key.clone(),
            incarnation,
        };
        let control = Control::spawn(&control_settings, platform.clone(), timeline)
            .change_context(DaemonError)?;
        let operators_state = OperatorsState {
            driver: Arc::clone(&driver),
            control: control.handle(),
            metrics: telemetry::init_metrics(),
            readiness: Arc::new(Readiness::open()),
            draining: Arc::clone(&draining),
            name: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        let timer = Timer::spawn();
        poller::spawn_ticks(&timer, Arc::clone(&driver));
        poller::spawn_vms(&timer, control.handle(), platform);
        poller::spawn_listed(Arc::clone(&driver), control.vms());
        poller::spawn_configuration(Arc::clone(&driver), control.configurations());
        poller::spawn_reports(&timer, Arc::clone(&driver)).await;
        poller::spawn_cache_events(&timer, Arc::clone(&driver)).await;

        let addresses = Addresses {
            callers: local_address(&callers_listener)?,
            operators: local_address(&operators_listener)?,
            peers: control.address(),
        };
        let outbound_commands = OutboundCommands::new(&driver, settings.platform_address, commands);
        let callers = HttpServer::new(async move || {
            outbound_commands.spawn().await;
            App::new()
                .state(callers_state.clone())
                .configure(callers::configure)
        });
        let operators = HttpServer::new(async move || {
            App::new()
                .state(operators_state.clone())
                .configure(operators_server::configure)
        });
        let servers = vec![
            callers
                .workers(1)
                .maxconn(settings.max_connections)
                .config(http_limits("callers"))
                .disable_signals()
                .listen(callers_listener)
                .change_context(DaemonError)?
                .run(),
            operators
                .workers(1)
                .maxconn(settings.max_connections)
                .config(http_limits("operators"))
                .disable_signals()
                .listen(operators_listener)
                .change_context(DaemonError)?
                .run(),
        ];
        tracing::info!(name = settings.name, callers = %addresses.callers, "serving");
        Ok(Self {
            driver,
            control,
            draining,
            servers,
            addresses,
            shutdown_notice_ms: DurationMs(settings.shutdown_notice_ms),
            shutdown_limit_ms: DurationMs(settings.shutdown_limit_ms),
        })
    }

    /// The addresses that it is bound to.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Shuts down gracefully: tells the balancer, takes no new requests, ends those in progress,
    /// stops.
    pub async fn shut_down(self) {
        tracing::info!("shutting down");
        self.draining.store(true, Ordering::Relaxed);
        self.control.handle().announce_leaving();
        sleep(millis(self.shutdown_notice_ms)).await;
        self.driver.handle(Event::ShutdownStarted);
        let mut waited_ms = DurationMs(0);
        while !self.is_idle() && waited_ms < self.shutdown_limit_ms {
            sleep(DRAIN_INTERVAL).await;
            waited_ms += DurationMs(u64::from(DRAIN_INTERVAL.0));
        }
        for server in &self.servers {
            server.stop(true).await;
        }
        tracing::info!("stopped");
    }

    fn is_idle(&self) -> bool {
        self.driver
            .inspect(|core| core.in_progress() == 0 && core.unsettled_keys() == 0)
    }
}

/// The limits on what a connection may send, and how slowly.
fn http_limits(tag: &'static str) -> SharedCfg {
    let http = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_keepalive(KEEP_ALIVE)
        .set_client_timeout(HEAD_LIMIT)
        .set_headers_read_rate(HEAD_LIMIT, HEAD_LIMIT, MIN_READ_RATE_BYTES_PER_S)
        .set_payload_read_rate(PAUSE_LIMIT, READ_LIMIT, MIN_READ_RATE_BYTES_PER_S);
    SharedCfg::new(tag).add(http).into()
}

fn millis(duration: DurationMs) -> Millis {
    Millis(u32::try_from(duration.0).unwrap_or(u32::MAX))
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Report<DaemonError>> {
    listener.local_addr().change_context(DaemonError)
}

fn listener(address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address)
        .change_context(DaemonError)
        .attach_with(|| format!("address {address}"))
}
