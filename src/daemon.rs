//! The daemon of an entry VM: starts its components, serves, and shuts down gracefully.

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

/// How often a shutdown checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Millis = Millis(50);
/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// How long a connection may be idle between two requests.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);
/// The timeout for reading a request's head. The server library keeps the timer running during the
/// answer and closes the connection after an answer that takes longer, so it must not be short.
const HEAD_TIMEOUT: Seconds = Seconds(60);
/// How long the transfer of a request's body may pause.
const BODY_PAUSE_LIMIT: Seconds = Seconds(5);
/// The timeout for reading a whole request body.
const BODY_READ_TIMEOUT: Seconds = Seconds(30);
/// The minimum rate at which a request must arrive.
const MIN_READ_RATE_BYTES_PER_S: u32 = 1_024;

/// The daemon could not be started.
#[derive(Debug, Display)]
#[display("the daemon can't start")]
pub struct DaemonError;

impl std::error::Error for DaemonError {}

/// The addresses that a daemon is bound to. A port set to 0 is replaced by the assigned port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("callers={callers} operators={operators} peers={peers}")]
pub struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other entry VMs.
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
    /// Fails when an address can't be bound or the control can't be started.
    pub async fn bind(settings: Settings) -> Result<Self, Report<DaemonError>> {
        let incarnation: u64 = rand::random();
        let timeline = Timeline::new(&settings.name, incarnation);
        let (driver, commands) =
            Driver::new(settings.core_settings(incarnation), Arc::clone(&timeline));
        let draining = Arc::new(AtomicBool::new(false));
        let callers_state = CallersState {
            driver: Arc::clone(&driver),
            max_body_bytes: settings.max_body_bytes,
            incarnation,
        };
        let callers_listener = bind_listener(settings.callers_address)?;
        let operators_listener = bind_listener(settings.operators_address)?;
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
            readiness: Arc::new(Readiness::starting_now()),
            draining: Arc::clone(&draining),
            name: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        let timer = Timer::spawn();
        poller::spawn_core_ticks(&timer, Arc::clone(&driver));
        poller::spawn_vm_list_polling(&timer, control.handle(), platform);
        poller::spawn_vm_list_updates(Arc::clone(&driver), control.vms());
        poller::spawn_configuration_updates(Arc::clone(&driver), control.configurations());
        poller::spawn_load_polling(&timer, Arc::clone(&driver)).await;
        poller::spawn_cache_polling(&timer, Arc::clone(&driver)).await;

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
                .config(http_config("callers"))
                .disable_signals()
                .listen(callers_listener)
                .change_context(DaemonError)?
                .run(),
            operators
                .workers(1)
                .maxconn(settings.max_connections)
                .config(http_config("operators"))
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

    /// The addresses that the daemon is bound to.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Shuts down gracefully: reports not ready to the load balancer, then rejects new requests,
    /// waits for those in progress and stops the servers.
    pub async fn shut_down(self) {
        tracing::info!("shutting down");
        self.draining.store(true, Ordering::Relaxed);
        self.control.handle().announce_leaving();
        sleep(to_millis(self.shutdown_notice_ms)).await;
        self.driver.handle(Event::ShutdownStarted);
        let mut waited_ms = DurationMs(0);
        while !self.is_idle() && waited_ms < self.shutdown_limit_ms {
            sleep(DRAIN_CHECK_INTERVAL).await;
            waited_ms += DurationMs(u64::from(DRAIN_CHECK_INTERVAL.0));
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

/// The limits on the size and speed of requests.
fn http_config(tag: &'static str) -> SharedCfg {
    let http = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_keepalive(KEEP_ALIVE_TIMEOUT)
        .set_client_timeout(HEAD_TIMEOUT)
        .set_headers_read_rate(HEAD_TIMEOUT, HEAD_TIMEOUT, MIN_READ_RATE_BYTES_PER_S)
        .set_payload_read_rate(
            BODY_PAUSE_LIMIT,
            BODY_READ_TIMEOUT,
            MIN_READ_RATE_BYTES_PER_S,
        );
    SharedCfg::new(tag).add(http).into()
}

fn to_millis(duration: DurationMs) -> Millis {
    Millis(u32::try_from(duration.0).unwrap_or(u32::MAX))
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Report<DaemonError>> {
    listener.local_addr().change_context(DaemonError)
}

fn bind_listener(address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address)
        .change_context(DaemonError)
        .attach_with(|| format!("address {address}"))
}
