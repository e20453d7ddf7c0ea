//! Executes the core's commands that need connections to other processes.

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

/// The abort handles of the running attempts.
type RunningAttempts = Rc<RefCell<VecMap<AttemptId, AbortHandle>>>;

/// The commands to be executed. One thread takes the receiver and executes them.
#[derive(Clone)]
pub struct OutboundCommands {
    driver: Arc<Driver>,
    platform_address: SocketAddr,
    receiver: Arc<Mutex<Option<UnboundedReceiver<Command>>>>,
}

impl OutboundCommands {
    /// Wraps the commands of a driver. None is executed before [`spawn`](Self::spawn).
    #[must_use]
    pub fn new(
        driver: &Arc<Driver>,
        platform_address: SocketAddr,
        commands: UnboundedReceiver<Command>,
    ) -> Self {
        Self {
            driver: Arc::clone(driver),
            platform_address,
            receiver: Arc::new(Mutex::new(Some(commands))),
        }
    }

    /// Starts to execute commands on this thread's runtime, until the driver is dropped. Calls
    /// after the first do nothing. It is called on the callers' thread, so that no request has to
    /// wait for another thread to wake up.
    pub async fn spawn(&self) {
        let receiver = self
            .receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(mut commands) = receiver else {
            return;
        };
        let driver = Arc::clone(&self.driver);
        let platform = Platform::new(self.platform_address).await;
        let link = WorkerLink::new(Arc::clone(&driver)).await;
        let running_attempts = RunningAttempts::default();
        ntex::rt::spawn(async move {
            while let Some(command) = commands.next().await {
                execute(&driver, &platform, &link, &running_attempts, command);
            }
        });
    }
}

fn execute(
    driver: &Arc<Driver>,
    platform: &Platform,
    link: &WorkerLink,
    running_attempts: &RunningAttempts,
    command: Command,
) {
    let link = link.clone();
    match command {
        Command::Send(send) => run_attempt(link, running_attempts, send),
        Command::Cancel { attempt, worker } => {
            if let Some(task) = running_attempts.borrow_mut().remove(&attempt) {
                task.abort();
            }
            ntex::rt::spawn(async move { link.cancel(worker, attempt).await });
        }
        Command::Order {
            worker,
            fencing,
            order,
        } => {
            ntex::rt::spawn(async move { link.execute_order(worker, fencing, &order).await });
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
            ntex::rt::spawn(async move { link.fetch_cache_snapshot(worker).await });
        }
        Command::Deliver { .. }
        | Command::Complete { .. }
        | Command::Answer { .. }
        | Command::Refuse { .. } => tracing::error!(?command, "not an outbound command"),
    }
}

fn run_attempt(link: WorkerLink, running_attempts: &RunningAttempts, send: Send) {
    let attempt = send.attempt;
    let (task, abort) = abortable(async move { link.run_attempt(send).await });
    running_attempts.borrow_mut().insert(attempt, abort);
    let running_attempts = Rc::clone(running_attempts);
    ntex::rt::spawn(async move {
        if task.await.is_ok() {
            running_attempts.borrow_mut().remove(&attempt);
        }
    });
}
