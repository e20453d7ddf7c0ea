//! The periodic tasks of a process: core ticks, and polling of the list of VMs, the workers' load
//! and their cache events. Passes updates of the list and of the configuration to the driver.

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
const VM_LIST_INTERVAL_MS: DurationMs = DurationMs(500);
/// How often the core is queried for workers whose load report is due.
const LOAD_CHECK_INTERVAL_MS: DurationMs = DurationMs(100);
/// How often the engines' cache events are polled.
const CACHE_INTERVAL_MS: DurationMs = DurationMs(500);
/// The maximum number of engines whose cache events are polled.
const MAX_POLLED_ENGINES: usize = 32;
/// The age of a worker's last load report from which a new one is requested.
const MAX_LOAD_AGE_MS: DurationMs = DurationMs(500);
/// The maximum number of load reports requested in one interval.
const MAX_LOAD_REQUESTS: usize = 16;

/// Sends [`Event::Tick`] to the core at its tick interval.
pub fn spawn_core_ticks(timer: &Timer, driver: Arc<Driver>) {
    let mut ticks = timer.subscribe(TICK_MS);
    ntex::rt::spawn(async move {
        while ticks.next().await.is_some() {
            driver.handle(Event::Tick);
        }
    });
}

/// Passes each newer list of VMs that the control learns of to the driver.
pub fn spawn_vm_list_updates(driver: Arc<Driver>, mut vms: watch::Receiver<Arc<VmList>>) {
    ntex::rt::spawn(async move {
        while vms.changed().await.is_ok() {
            let list = Arc::clone(&vms.borrow_and_update());
            driver.apply_vm_list(VmList::clone(&list));
        }
    });
}

/// Polls the platform's list of VMs and passes it to the control.
pub fn spawn_vm_list_polling(timer: &Timer, control: ControlHandle, platform: Platform) {
    let mut ticks = timer.subscribe(VM_LIST_INTERVAL_MS);
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

/// Passes each configuration that the control learns of to the driver.
pub fn spawn_configuration_updates(
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

/// Requests load reports from workers whose last report is too old.
pub async fn spawn_load_polling(timer: &Timer, driver: Arc<Driver>) {
    let link = WorkerLink::new(Arc::clone(&driver)).await;
    let mut ticks = timer.subscribe(LOAD_CHECK_INTERVAL_MS);
    ntex::rt::spawn(async move {
        while ticks.next().await.is_some() {
            let due =
                driver.inspect(|core| core.reports_due(now(), MAX_LOAD_AGE_MS, MAX_LOAD_REQUESTS));
            for worker in due {
                let link = link.clone();
                ntex::rt::spawn(async move { link.poll_load(worker).await });
            }
        }
    });
}

/// The engines whose cache events are polled: all of them, or none when there are more than
/// [`MAX_POLLED_ENGINES`]. The core then learns what is cached from answers alone.
fn engines_to_poll(core: &Core) -> Vec<WorkerId> {
    let engines = core.workers().filter(|worker| worker.service.is_none());
    let engines: Vec<WorkerId> = engines.map(|worker| worker.id).collect();
    if engines.len() > MAX_POLLED_ENGINES {
        Vec::new()
    } else {
        engines
    }
}

/// Polls the cache events of the engines.
pub async fn spawn_cache_polling(timer: &Timer, driver: Arc<Driver>) {
    let link = WorkerLink::new(Arc::clone(&driver)).await;
    let mut ticks = timer.subscribe(CACHE_INTERVAL_MS);
    ntex::rt::spawn(async move {
        let positions: Rc<RefCell<VecMap<WorkerId, CachePosition>>> = Rc::default();
        while ticks.next().await.is_some() {
            for worker in driver.inspect(engines_to_poll) {
                let link = link.clone();
                let positions = Rc::clone(&positions);
                ntex::rt::spawn(async move { poll_worker_cache(&link, &positions, worker).await });
            }
        }
    });
}

async fn poll_worker_cache(
    link: &WorkerLink,
    positions: &RefCell<VecMap<WorkerId, CachePosition>>,
    worker: WorkerId,
) {
    let position = positions.borrow().get(&worker).copied().unwrap_or_default();
    let next = link.poll_cache_events(worker, position).await;
    positions.borrow_mut().insert(worker, next);
}
