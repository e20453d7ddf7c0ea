//! What a process asks for again and again: the list of VMs, the configuration, workers' reports.

use {
    crate::{
        control::ControlHandle,
        driver::Driver,
        platform::Platform,
        timer::{Timer, now},
        worker_link::{CachePosition, WorkerLink},
    },
    cactusspur_core::{Configuration, Core, DurationMs, Event, TICK_MS, VecMap, VmList, WorkerId},
    futures::StreamExt,
    std::{cell::RefCell, rc::Rc, sync::Arc},
    tokio::sync::watch,
};

/// How often the list of VMs is read.
const VMS_INTERVAL_MS: DurationMs = DurationMs(500);
/// How often it is looked which workers are to be asked for their load.
const REPORT_INTERVAL_MS: DurationMs = DurationMs(100);
/// How often workers are asked for the changes of their cache.
const CACHE_INTERVAL_MS: DurationMs = DurationMs(500);
/// Engines whose cache events are read at the most.
const MAX_FOLLOWED_ENGINES: usize = 32;
/// How long a worker's load must not have been heard of before it is asked.
const REPORT_AGE_MS: DurationMs = DurationMs(500);
/// Workers that are asked for their load at one time at the most.
const MAX_REPORTS: usize = 16;

/// Ticks the core.
pub fn spawn_ticks(timer: &Timer, driver: Arc<Driver>) {
    let mut ticks = timer.subscribe(TICK_MS);
    ntex::rt::spawn(async move {
        while ticks.next().await.is_some() {
            driver.handle(Event::Tick);
        }
    });
}

/// Takes in each newer list of VMs that the control comes upon.
pub fn spawn_listed(driver: Arc<Driver>, mut vms: watch::Receiver<Arc<VmList>>) {
    ntex::rt::spawn(async move {
        while vms.changed().await.is_ok() {
            let list = Arc::clone(&vms.borrow_and_update());
            driver.apply_vm_list(VmList::clone(&list));
        }
    });
}

/// Reads the platform's list of VMs for the control.
pub fn spawn_vms(timer: &Timer, control: ControlHandle, platform: Platform) {
    let mut ticks = timer.subscribe(VMS_INTERVAL_MS);
    ntex::rt::spawn(async move {
        loop {
            match platform.vms().await {
                Ok(list) => control.apply_vm_list(&list),
                Err(error) => tracing::debug!(?error, "the list of VMs can't be read"),
            }
            if ticks.next().await.is_none() {
                return;
            }
        }
    });
}

/// Takes each configuration into force that the control comes upon.
pub fn spawn_configuration(
    driver: Arc<Driver>,
    mut configurations: watch::Receiver<Arc<Configuration>>,
) {
    ntex::rt::spawn(async move {
        while configurations.changed().await.is_ok() {
            let configuration = Arc::clone(&configurations.borrow_and_update());
            driver.apply_configuration(Configuration::clone(&configuration));
        }
    });
}

/// Asks workers for their load, when it was not heard of for a while.
pub async fn spawn_reports(timer: &Timer, driver: Arc<Driver>) {
    let link = WorkerLink::new(Arc::clone(&driver)).await;
    let mut ticks = timer.subscribe(REPORT_INTERVAL_MS);
    ntex::rt::spawn(async move {
        while ticks.next().await.is_some() {
            let due = driver.inspect(|core| core.reports_due(now(), REPORT_AGE_MS, MAX_REPORTS));
            for worker in due {
                let link = link.clone();
                ntex::rt::spawn(async move { link.poll_load(worker).await });
            }
        }
    });
}

/// The engines whose cache events are read: all of them, or none when they are too many. What is
/// cached is then learned from answers alone.
fn followed_engines(core: &Core) -> Vec<WorkerId> {
    let engines = core.workers().filter(|worker| worker.service.is_none());
    let engines: Vec<WorkerId> = engines.map(|worker| worker.id).collect();
    if engines.len() > MAX_FOLLOWED_ENGINES {
        Vec::new()
    } else {
        engines
    }
}

/// Asks workers for the changes of their cache.
pub async fn spawn_cache_events(timer: &Timer, driver: Arc<Driver>) {
    let link = WorkerLink::new(Arc::clone(&driver)).await;
    let mut ticks = timer.subscribe(CACHE_INTERVAL_MS);
    ntex::rt::spawn(async move {
        let positions: Rc<RefCell<VecMap<WorkerId, CachePosition>>> = Rc::default();
        while ticks.next().await.is_some() {
            for worker in driver.inspect(followed_engines) {
                let link = link.clone();
                let positions = Rc::clone(&positions);
                ntex::rt::spawn(async move { read_changes(&link, &positions, worker).await });
            }
        }
    });
}

async fn read_changes(
    link: &WorkerLink,
    positions: &RefCell<VecMap<WorkerId, CachePosition>>,
    worker: WorkerId,
) {
    let from = positions.borrow().get(&worker).copied().unwrap_or_default();
    let next = link.poll_cache_events(worker, from).await;
    positions.borrow_mut().insert(worker, next);
}
