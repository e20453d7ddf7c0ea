//! What a process asks for again and again: the list of VMs, the configuration, workers' reports.

use {
    crate::{driver::Driver, platform::Platform, timer::Timer, worker_link::WorkerLink},
    cactusspur_core::{CacheSequence, Configuration, DurationMs, Event, TICK_MS, Table, WorkerId},
    futures::StreamExt,
    std::{cell::RefCell, rc::Rc, sync::Arc},
};

/// How often the list of VMs is read.
const VMS_INTERVAL_MS: DurationMs = DurationMs(500);
/// How often workers are asked for their load and the changes of their cache.
const REPORT_INTERVAL_MS: DurationMs = DurationMs(250);
/// How often the configuration is looked for.
const CONFIGURATION_INTERVAL_MS: DurationMs = DurationMs(500);
/// The row that holds the configuration in force.
const CONFIGURATION_KEY: &str = "configuration/head";

/// Ticks the core.
pub fn spawn_ticks(timer: &Timer, driver: Arc<Driver>) {
    let mut ticks = timer.subscribe(TICK_MS);
    ntex::rt::spawn(async move {
        while ticks.next().await.is_some() {
            driver.handle(Event::Tick);
        }
    });
}

/// Reads the list of VMs.
pub fn spawn_vms(timer: &Timer, driver: Arc<Driver>, platform: Platform) {
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

/// Looks for a newer configuration.
pub fn spawn_configuration(timer: &Timer, driver: Arc<Driver>, platform: Platform) {
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

/// Asks workers for their reports.
pub async fn spawn_reports(timer: &Timer, driver: Arc<Driver>) {
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
