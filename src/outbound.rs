//! Carries out the core's commands that need connections to other processes.

use {
    crate::{driver::Driver, platform::Platform, worker_link::WorkerLink},
    cactusspur_core::{AttemptId, Command, Event, Send, VecMap},
    futures::{
        StreamExt,
        channel::mpsc::UnboundedReceiver,
        future::{AbortHandle, abortable},
    },
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// The attempts that are running, so that they can be dropped.
type Running = Rc<RefCell<VecMap<AttemptId, AbortHandle>>>;

/// The commands that are to be carried out, until a thread takes them over.
#[derive(Clone)]
pub struct Outbound {
    driver: Arc<Driver>,
    platform_address: SocketAddr,
    commands: Arc<Mutex<Option<UnboundedReceiver<Command>>>>,
}

impl Outbound {
    /// The commands of a driver. Nothing is carried out yet.
    #[must_use]
    pub fn open(
        driver: &Arc<Driver>,
        platform_address: SocketAddr,
        commands: UnboundedReceiver<Command>,
    ) -> Self {
        Self {
            driver: Arc::clone(driver),
            platform_address,
            commands: Arc::new(Mutex::new(Some(commands))),
        }
    }

    /// Starts to carry commands out on this thread's runtime, until the driver is dropped. Only
    /// the first call does. On the callers' thread, no request waits for another thread to wake.
    pub async fn spawn(&self) {
        let taken = self
            .commands
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(mut commands) = taken else {
            return;
        };
        let driver = Arc::clone(&self.driver);
        let platform = Platform::new(self.platform_address).await;
        let link = WorkerLink::open(Arc::clone(&driver)).await;
        let running = Running::default();
        ntex::rt::spawn(async move {
            while let Some(command) = commands.next().await {
                carry_out(&driver, &platform, &link, &running, command);
            }
        });
    }
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
        Command::Order {
            worker,
            fencing,
            order,
        } => {
            ntex::rt::spawn(async move { link.order(worker, fencing, &order).await });
        }
        Command::Probe { worker } => {
            ntex::rt::spawn(async move { link.probe(worker).await });
        }
        Command::Record { call, operation } => {
            let platform = platform.clone();
            let driver = Arc::clone(driver);
            ntex::rt::spawn(async move {
                let answer = platform.call_table_service(&operation).await;
                driver.handle(Event::RecordAnswered { call, answer });
            });
        }
        Command::Resynchronise { worker, .. } => {
            ntex::rt::spawn(async move { link.read_cache(worker).await });
        }
        Command::Deliver { .. }
        | Command::Complete { .. }
        | Command::Answer { .. }
        | Command::Refuse { .. } => tracing::error!(?command, "a caller's command got here"),
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
