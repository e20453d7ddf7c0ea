//! The daemon of an entry VM: brings the parts up, serves, and shuts down gracefully.

use {
    crate::{
        callers::{self, CallersState},
        driver::Driver,
        operators::{self, OperatorsState},
        platform::Platform,
        settings::Settings,
        telemetry,
        timer::Timer,
        worker_link::WorkerLink,
    },
    cactusspur_core::{
        AttemptId, CacheSequence, Command, Configuration, DurationMs, Event, Send, TICK_MS, Table,
        WorkerId,
    },
    derive_more::Display,
    error_stack::{Report, ResultExt},
    futures::{
        StreamExt,
        channel::mpsc::UnboundedReceiver,
        future::{AbortHandle, abortable},
    },
    ntex::{
        server::Server,
        time::{Millis, sleep},
        web::{App, HttpServer},
    },
    std::{
        cell::RefCell,
        net::{SocketAddr, TcpListener},
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// How often the list of VMs is read.
const VMS_INTERVAL_MS: DurationMs = DurationMs(500);
/// How often workers are asked for their load and the changes of their cache.
const REPORT_INTERVAL_MS: DurationMs = DurationMs(250);
/// How often the configuration is looked for.
const CONFIGURATION_INTERVAL_MS: DurationMs = DurationMs(500);
/// How often a shutdown looks whether all is done.
const DRAIN_INTERVAL: Millis = Millis(50);
/// How long a process that is asked to stop still answers new requests with a refusal, so that
/// the balancer can notice.
const DRAIN_NOTICE: Millis = Millis(500);
/// The row that holds the configuration in force.
const CONFIGURATION_KEY: &str = "configuration/head";

/// The daemon can't start.
#[derive(Debug, Display)]
#[display("the daemon can't start")]
pub struct DaemonError;

impl std::error::Error for DaemonError {}

/// The addresses that a daemon is bound to, with the ports that a setting of 0 got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("callers={callers} operators={operators}")]
pub struct Addresses {
    /// Where callers connect to.
    pub callers: SocketAddr,
    /// Where operators connect to.
    pub operators: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    driver: Arc<Driver>,
    draining: Arc<AtomicBool>,
    servers: Vec<Server>,
    addresses: Addresses,
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
        let (driver, commands) = Driver::open(settings.core(incarnation));
        let draining = Arc::new(AtomicBool::new(false));
        let callers_state = CallersState {
            driver: Arc::clone(&driver),
            max_body_bytes: settings.max_body_bytes,
            incarnation,
        };
        let operators_state = OperatorsState {
            driver: Arc::clone(&driver),
            metrics: telemetry::open_metrics(),
            draining: Arc::clone(&draining),
            name: settings.name.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        let platform = Platform::open(settings.platform_address).await;
        let timer = Timer::spawn();
        spawn_outbound(Arc::clone(&driver), platform.clone(), commands).await;
        spawn_ticks(&timer, Arc::clone(&driver));
        spawn_vms(&timer, Arc::clone(&driver), platform.clone());
        spawn_configuration(&timer, Arc::clone(&driver), platform);
        spawn_reports(&timer, Arc::clone(&driver)).await;

        let callers_listener = listener(settings.callers_address)?;
        let operators_listener = listener(settings.operators_address)?;
        let callers = HttpServer::new(async move || {
            App::new()
                .state(callers_state.clone())
                .configure(callers::configure)
        });
        let operators = HttpServer::new(async move || {
            App::new()
                .state(operators_state.clone())
                .configure(operators::configure)
        });
        let addresses = Addresses {
            callers: local_address(&callers_listener)?,
            operators: local_address(&operators_listener)?,
        };
        let servers = vec![
            callers
                .workers(1)
                .disable_signals()
                .listen(callers_listener)
                .change_context(DaemonError)?
                .run(),
            operators
                .workers(1)
                .disable_signals()
                .listen(operators_listener)
                .change_context(DaemonError)?
                .run(),
        ];
        tracing::info!(name = settings.name, callers = %addresses.callers, "serving");
        let shutdown_limit_ms = DurationMs(settings.shutdown_limit_ms);
        Ok(Self {
            driver,
            draining,
            servers,
            addresses,
            shutdown_limit_ms,
        })
    }

    /// The addresses that it is bound to.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Shuts down gracefully: takes no new requests, ends those in progress, stops.
    pub async fn shut_down(self) {
        tracing::info!("shutting down");
        self.draining.store(true, Ordering::Relaxed);
        self.driver.handle(Event::ShutdownStarted);
        sleep(DRAIN_NOTICE).await;
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
            .inspect(|core| core.in_progress() == 0 && core.unsettled() == 0)
    }
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Report<DaemonError>> {
    listener.local_addr().change_context(DaemonError)
}

fn listener(address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address)
        .change_context(DaemonError)
        .attach_with(|| format!("address {address}"))
}

/// The attempts that are running, so that they can be dropped.
type Running = Rc<RefCell<Table<AttemptId, AbortHandle>>>;

async fn spawn_outbound(
    driver: Arc<Driver>,
    platform: Platform,
    mut commands: UnboundedReceiver<Command>,
) {
    let link = WorkerLink::open(Arc::clone(&driver)).await;
    let running = Running::default();
    ntex::rt::spawn(async move {
        while let Some(command) = commands.next().await {
            carry_out(&driver, &platform, &link, &running, command);
        }
    });
}

fn carry_out(
    driver: &Arc<Driver>,
    platform: &Platform,
    link: &WorkerLink,
    running: &Running,
    command: Command,
) {
    let link = link.clone();
    match command {
        Command::Send(send) => run_attempt(link, running, send),
        Command::Cancel { attempt, worker } => {
            if let Some(task) = running.borrow_mut().remove(&attempt) {
                task.abort();
            }
            ntex::rt::spawn(async move { link.cancel(worker, attempt).await });
        }
        Command::Probe { worker } => {
            ntex::rt::spawn(async move { link.probe(worker).await });
        }
        Command::Record { call, what } => {
            let platform = platform.clone();
            let driver = Arc::clone(driver);
            ntex::rt::spawn(async move {
                let answer = platform.record(&what).await;
                driver.handle(Event::RecordAnswered { call, answer });
            });
        }
        other => tracing::debug!(?other, "not carried out"),
    }
}

fn run_attempt(link: WorkerLink, running: &Running, send: Send) {
    let attempt = send.attempt;
    let (task, abort) = abortable(async move { link.run(send).await });
    running.borrow_mut().insert(attempt, abort);
    let running = Rc::clone(running);
    ntex::rt::spawn(async move {
        if task.await.is_ok() {
            running.borrow_mut().remove(&attempt);
        }
    });
}

fn spawn_ticks(timer: &Timer, driver: Arc<Driver>) {
    let mut ticks = timer.subscribe(TICK_MS);
    ntex::rt::spawn(async move {
        while ticks.next().await.is_some() {
            driver.handle(Event::Tick);
        }
    });
}

fn spawn_vms(timer: &Timer, driver: Arc<Driver>, platform: Platform) {
    let mut ticks = timer.subscribe(VMS_INTERVAL_MS);
    ntex::rt::spawn(async move {
        loop {
            match platform.vms().await {
                Ok(list) => driver.vms(list),
                Err(error) => tracing::debug!(?error, "the list of VMs can't be read"),
            }
            if ticks.next().await.is_none() {
                return;
            }
        }
    });
}

fn spawn_configuration(timer: &Timer, driver: Arc<Driver>, platform: Platform) {
    let mut ticks = timer.subscribe(CONFIGURATION_INTERVAL_MS);
    ntex::rt::spawn(async move {
        loop {
            if let Ok(Some(row)) = platform.read_row(CONFIGURATION_KEY).await {
                match serde_json::from_value::<Configuration>(row.value) {
                    Ok(configuration) => driver.configure(configuration),
                    Err(error) => tracing::warn!(%error, "the configuration can't be read"),
                }
            }
            if ticks.next().await.is_none() {
                return;
            }
        }
    });
}

async fn spawn_reports(timer: &Timer, driver: Arc<Driver>) {
    let link = WorkerLink::open(Arc::clone(&driver)).await;
    let mut ticks = timer.subscribe(REPORT_INTERVAL_MS);
    ntex::rt::spawn(async move {
        let positions: Rc<RefCell<Table<WorkerId, CacheSequence>>> = Rc::default();
        while ticks.next().await.is_some() {
            let workers: Vec<WorkerId> =
                driver.inspect(|core| core.workers().map(|worker| worker.id).collect());
            for worker in workers {
                let link = link.clone();
                let positions = Rc::clone(&positions);
                ntex::rt::spawn(async move { report(&link, &positions, worker).await });
            }
        }
    });
}

async fn report(
    link: &WorkerLink,
    positions: &RefCell<Table<WorkerId, CacheSequence>>,
    worker: WorkerId,
) {
    link.poll_load(worker).await;
    let after = positions.borrow().get(&worker).copied().unwrap_or_default();
    let next = link.poll_cache(worker, after).await;
    positions.borrow_mut().insert(worker, next);
}
