//! Maintains the table of workers from the list of VMs, load reports, cache events and probes.

use {
    super::placement,
    crate::{
        command::Command,
        core::Core,
        event::{CacheReport, CacheSnapshot, CurrentLoad, LoadReport, Vm, VmList, VmRole},
        id::{Incarnation, WorkerId},
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
        worker::{Liveness, Worker},
    },
};

/// Interval between probes of a dead worker.
const PROBE_INTERVAL_MS: DurationMs = DurationMs(500);
/// Time without an answer to a probe after which the worker is probed again.
pub const PROBE_TIMEOUT_MS: DurationMs = DurationMs(1_500);
/// Incarnations of a worker whose announcement to leave is remembered.
const MAX_LEAVING_INCARNATIONS: usize = 4;
/// Time after which a worker that is no longer listed is removed.
const UNLISTED_RETENTION_MS: DurationMs = DurationMs(60_000);

/// Applies the list of VMs. A worker that is no longer listed receives no new work. It is
/// removed after [`UNLISTED_RETENTION_MS`], once no attempts are in progress on it.
pub fn apply_vm_list(core: &mut Core, list: &VmList) {
    let now = core.now;
    let workers = list.vms.iter().filter(|vm| vm.role != VmRole::Entry);
    let listed: VecMap<WorkerId, &Vm> = workers.map(|vm| (vm.worker(), vm)).collect();
    for (id, vm) in listed.iter() {
        let worker = core.workers.get_or_insert_with(*id, || Worker::from_vm(vm));
        worker.leaving = vm.leaving;
    }
    for (id, worker) in core.workers.iter_mut() {
        if listed.contains(id) {
            worker.unlisted_since_ms = None;
        } else {
            worker.unlisted_since_ms.get_or_insert(now);
        }
    }
    remove_unlisted(core);
    placement::update_pools(core, list);
}

fn remove_unlisted(core: &mut Core) {
    let now = core.now;
    let expired: Vec<WorkerId> = core
        .workers
        .iter()
        .filter(|(_, worker)| worker.in_flight == 0)
        .filter(|(_, worker)| {
            worker
                .unlisted_since_ms
                .is_some_and(|since| now.since(since) > UNLISTED_RETENTION_MS)
        })
        .map(|row| *row.0)
        .collect();
    for worker in expired {
        core.workers.remove(&worker);
        core.cache.remove_worker(worker);
    }
}

/// Records a worker's own announcement that it is leaving. It holds for that incarnation, whatever
/// the list of VMs says.
pub fn mark_leaving(core: &mut Core, id: WorkerId, incarnation: Incarnation) {
    confirm_incarnation(core, id, incarnation);
    let Some(worker) = core.workers.get_mut(&id) else {
        return;
    };
    if worker.announced_leaving.contains(&incarnation) {
        return;
    }
    worker.announced_leaving.push_back(incarnation);
    if worker.announced_leaving.len() > MAX_LEAVING_INCARNATIONS {
        worker.announced_leaving.pop_front();
    }
}

/// Applies the current load that a worker attached to an answer. It completes an earlier load
/// report and is ignored without one.
pub fn apply_current_load(core: &mut Core, current: CurrentLoad) {
    let known = core
        .workers
        .get(&current.worker)
        .and_then(|worker| worker.load.clone());
    let Some(known) = known.filter(|known| known.incarnation == current.incarnation) else {
        return;
    };
    let report = LoadReport {
        observed_at_ms: current.observed_at_ms,
        queued_tokens: current.queued_tokens,
        running: current.running,
        ..known
    };
    apply_load_report(core, report);
}

/// Applies a load report, unless it comes from another incarnation or a later one is known.
pub fn apply_load_report(core: &mut Core, report: LoadReport) {
    let id = report.worker;
    if !confirm_incarnation(core, id, report.incarnation) {
        return;
    }
    let Some(worker) = core.workers.get_mut(&id) else {
        return;
    };
    if worker
        .load
        .as_ref()
        .is_some_and(|known| known.observed_at_ms > report.observed_at_ms)
    {
        return;
    }
    core.cache
        .set_capacity(id, report.cache_pieces, report.prefill_rate);
    worker.apply_load_report(report, core.now);
    let in_local_domain = worker.domain == core.settings.domain;
    core.worker_pools
        .set_offers(id, in_local_domain, worker.offers());
}

/// Applies cache events, and requests a snapshot of the cache when some are missing.
pub fn apply_cache_report(core: &mut Core, report: &CacheReport) {
    if !is_current_incarnation(core, report.worker, report.incarnation) {
        return;
    }
    if let Some(after) = core.cache.apply_report(report, core.now) {
        core.emit(Command::Resynchronise {
            worker: report.worker,
            after,
        });
    }
}

/// Applies a snapshot of a worker's cache.
pub fn apply_cache_snapshot(core: &mut Core, snapshot: &CacheSnapshot) {
    if is_current_incarnation(core, snapshot.worker, snapshot.incarnation) {
        core.cache.apply_snapshot(snapshot, core.now);
    }
}

fn is_current_incarnation(core: &Core, worker: WorkerId, incarnation: Incarnation) -> bool {
    let known = core.workers.get(&worker);
    known.and_then(|worker| worker.incarnation) == Some(incarnation)
}

/// Applies the result of a probe; `None` means that the worker did not answer.
pub fn apply_probe_result(core: &mut Core, id: WorkerId, incarnation: Option<Incarnation>) {
    let probe_at_ms = core.now.after(PROBE_INTERVAL_MS);
    if let Some(incarnation) = incarnation {
        apply_probed_incarnation(core, id, incarnation);
    } else if let Some(worker) = core.workers.get_mut(&id) {
        worker.liveness = Liveness::Dead { probe_at_ms };
    }
    super::stream::apply_probe_result(core, id, incarnation);
}

/// Marks a live worker as suspected and probes it over a new connection.
pub fn suspect(core: &mut Core, id: WorkerId) {
    let now = core.now;
    let Some(worker) = core.workers.get_mut(&id) else {
        return;
    };
    if worker.liveness != Liveness::Alive {
        return;
    }
    worker.liveness = Liveness::Suspected { since_ms: now };
    core.emit(Command::Probe { worker: id });
}

/// Compares the incarnation of a message, which may be late, with the known one. Returns whether
/// they are the same. If not, a probe determines which incarnation has ended, and the worker
/// receives no new work until then.
pub fn confirm_incarnation(core: &mut Core, id: WorkerId, incarnation: Incarnation) -> bool {
    let Some(worker) = core.workers.get_mut(&id) else {
        return false;
    };
    let known = *worker.incarnation.get_or_insert(incarnation);
    if known != incarnation {
        suspect(core, id);
        return false;
    }
    worker.liveness = Liveness::Alive;
    core.cache.set_incarnation(id, incarnation);
    true
}

/// Applies the incarnation that answered a probe. A new incarnation starts without load or cache.
fn apply_probed_incarnation(core: &mut Core, id: WorkerId, incarnation: Incarnation) {
    let Some(worker) = core.workers.get_mut(&id) else {
        return;
    };
    worker.liveness = Liveness::Alive;
    if worker.incarnation == Some(incarnation) {
        return;
    }
    worker.incarnation = Some(incarnation);
    worker.restart();
    let in_local_domain = worker.domain == core.settings.domain;
    core.worker_pools
        .set_offers(id, in_local_domain, worker.offers());
    core.cache.set_incarnation(id, incarnation);
}

/// Probes dead workers again, and workers that did not answer their last probe in time.
pub fn tick(core: &mut Core) {
    let now = core.now;
    let due_workers: Vec<WorkerId> = core
        .workers
        .iter_mut()
        .filter_map(|(id, worker)| is_probe_due(worker, now).then_some(*id))
        .collect();
    for worker in due_workers {
        core.emit(Command::Probe { worker });
    }
}

fn is_probe_due(worker: &mut Worker, now: TimeMs) -> bool {
    match &mut worker.liveness {
        Liveness::Dead { probe_at_ms } if *probe_at_ms <= now => {
            *probe_at_ms = now.after(PROBE_INTERVAL_MS);
            true
        }
        Liveness::Suspected { since_ms } if now.since(*since_ms) > PROBE_TIMEOUT_MS => {
            *since_ms = now;
            true
        }
        _ => false,
    }
}
