//! Keeps the table of workers: the list of VMs, load reports, cache events, probes.

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

/// How long a dead worker is left alone before it is asked again.
const PROBE_INTERVAL_MS: DurationMs = DurationMs(500);
/// How long the answer to a probe may take before the worker is asked again.
pub const PROBE_TIMEOUT_MS: DurationMs = DurationMs(1_500);
/// The lives of a worker that are remembered to be leaving.
const LEAVING_LIVES: usize = 4;
/// How long a worker is remembered that is no longer listed.
const UNLISTED_RETENTION_MS: DurationMs = DurationMs(60_000);

/// Takes the list of VMs in. A worker that is no longer listed gets no new work, and is forgotten
/// after some time.
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
    forget_unlisted(core);
    placement::update_pools(core, list);
}

fn forget_unlisted(core: &mut Core) {
    let now = core.now;
    let gone: Vec<WorkerId> = core
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
    for worker in gone {
        core.workers.remove(&worker);
        core.cache.remove_worker(worker);
    }
}

/// Takes in that a worker has said itself that it is leaving. It holds for that life, whatever the
/// list of VMs says.
pub fn mark_leaving(core: &mut Core, id: WorkerId, incarnation: Incarnation) {
    confirm_incarnation(core, id, incarnation);
    let Some(worker) = core.workers.get_mut(&id) else {
        return;
    };
    if worker.announced_leaving.contains(&incarnation) {
        return;
    }
    worker.announced_leaving.push_back(incarnation);
    if worker.announced_leaving.len() > LEAVING_LIVES {
        worker.announced_leaving.pop_front();
    }
}

/// Takes in how loaded a worker is by its own answer. Until it has reported once, that says too
/// little.
pub fn apply_current_load(core: &mut Core, figures: CurrentLoad) {
    let known = core
        .workers
        .get(&figures.worker)
        .and_then(|worker| worker.load.clone());
    let Some(known) = known.filter(|known| known.incarnation == figures.incarnation) else {
        return;
    };
    let report = LoadReport {
        observed_at_ms: figures.observed_at_ms,
        queued_tokens: figures.queued_tokens,
        running: figures.running,
        ..known
    };
    apply_load_report(core, report);
}

/// Takes a load report in.
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
    let in_own_domain = worker.domain == core.settings.domain;
    core.worker_pools
        .set_offers(id, in_own_domain, worker.offers());
}

/// Takes cache events in; asks for the whole cache when some are missing.
pub fn apply_cache_report(core: &mut Core, report: &CacheReport) {
    if !is_life_of(core, report.worker, report.incarnation) {
        return;
    }
    if let Some(after) = core.cache.apply_report(report, core.now) {
        core.emit(Command::Resynchronise {
            worker: report.worker,
            after,
        });
    }
}

/// Takes a worker's whole cache in.
pub fn apply_cache_snapshot(core: &mut Core, snapshot: &CacheSnapshot) {
    if is_life_of(core, snapshot.worker, snapshot.incarnation) {
        core.cache.apply_snapshot(snapshot, core.now);
    }
}

fn is_life_of(core: &Core, worker: WorkerId, incarnation: Incarnation) -> bool {
    let known = core.workers.get(&worker);
    known.and_then(|worker| worker.incarnation) == Some(incarnation)
}

/// Takes the result of a probe in.
pub fn apply_probe_result(core: &mut Core, id: WorkerId, incarnation: Option<Incarnation>) {
    let probe_at_ms = core.now.after(PROBE_INTERVAL_MS);
    if let Some(incarnation) = incarnation {
        answered_probe(core, id, incarnation);
    } else if let Some(worker) = core.workers.get_mut(&id) {
        worker.liveness = Liveness::Dead { probe_at_ms };
    }
    super::stream::apply_probe_result(core, id, incarnation);
}

/// Marks a worker as suspected and asks it over a new connection.
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

/// Notes a message of a worker's life, which may be late. Returns whether it is the known one. When
/// it isn't, a probe decides which life has ended, and until then the worker gets no new work.
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

/// Takes in the life that has answered a probe. Another than the known one starts empty.
fn answered_probe(core: &mut Core, id: WorkerId, incarnation: Incarnation) {
    let Some(worker) = core.workers.get_mut(&id) else {
        return;
    };
    worker.liveness = Liveness::Alive;
    if worker.incarnation == Some(incarnation) {
        return;
    }
    worker.incarnation = Some(incarnation);
    worker.restart();
    let in_own_domain = worker.domain == core.settings.domain;
    core.worker_pools
        .set_offers(id, in_own_domain, worker.offers());
    core.cache.set_incarnation(id, incarnation);
}

/// Asks again the workers that are dead, and those whose probe was not answered.
pub fn tick(core: &mut Core) {
    let now = core.now;
    let due: Vec<WorkerId> = core
        .workers
        .iter_mut()
        .filter_map(|(id, worker)| probe_due(worker, now).then_some(*id))
        .collect();
    for worker in due {
        core.emit(Command::Probe { worker });
    }
}

fn probe_due(worker: &mut Worker, now: TimeMs) -> bool {
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
