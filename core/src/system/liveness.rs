//! Keeps the table of workers: the list of VMs, load reports, cache events, probes.

use crate::{
    command::Command,
    core::Core,
    event::{CacheChange, CacheReport, LoadReport, VmList, VmRole},
    id::{CacheSequence, Incarnation, WorkerId},
    unit::DurationMs,
    worker::{Liveness, Worker},
};

/// How long a dead worker is left alone before it is asked again.
const PROBE_INTERVAL_MS: DurationMs = DurationMs(500);

/// Takes the list of VMs in. A worker that is no longer listed gets no new work.
pub fn listed(core: &mut Core, list: &VmList) {
    for vm in list.vms.iter().filter(|vm| vm.role != VmRole::Entry) {
        let worker = core
            .workers
            .get_or_insert_with(vm.worker(), || Worker::listed(vm));
        worker.leaving = vm.leaving;
    }
    let listed = |id: &WorkerId| list.vms.iter().any(|vm| vm.worker() == *id);
    core.workers
        .retain(|id, worker| listed(id) || worker.in_flight > 0);
    for (id, worker) in core.workers.iter_mut() {
        worker.leaving |= !listed(id);
    }
}

/// Takes in that a worker has said itself that it is leaving.
pub fn leaving(core: &mut Core, id: WorkerId, incarnation: Incarnation) {
    seen_alive(core, id, incarnation);
    if let Some(worker) = core.workers.get_mut(&id) {
        worker.leaving = true;
    }
}

/// Takes a load report in.
pub fn load(core: &mut Core, report: LoadReport) {
    let id = report.worker;
    seen_alive(core, id, report.incarnation);
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
    while worker
        .sent
        .front()
        .is_some_and(|sent| sent.0 <= report.observed_at_ms)
    {
        worker.sent.pop_front();
    }
    worker.load = Some(report);
}

/// Takes cache events in; asks for the whole cache when some are missing.
pub fn cache(core: &mut Core, report: &CacheReport) {
    let known = core
        .workers
        .get(&report.worker)
        .and_then(|worker| worker.incarnation);
    if known != Some(report.incarnation) {
        return;
    }
    core.cache
        .set_incarnation(report.worker, report.incarnation);
    let next = CacheSequence(report.first_sequence.0 + report.changes.len() as u64);
    let expected = core.cache.advance(report.worker, next).unwrap_or_default();
    if report.first_sequence > expected {
        core.emit(Command::Resynchronise {
            worker: report.worker,
            after: expected,
        });
    }
    for change in &report.changes {
        match *change {
            CacheChange::Stored(piece) => core.cache.stored(report.worker, piece),
            CacheChange::Evicted(piece) => core.cache.evicted(report.worker, piece),
        }
    }
}

/// Takes the result of a probe in.
pub fn probed(core: &mut Core, id: WorkerId, incarnation: Option<Incarnation>) {
    let probe_at_ms = core.now.after(PROBE_INTERVAL_MS);
    if let Some(incarnation) = incarnation {
        seen_alive(core, id, incarnation);
    } else if let Some(worker) = core.workers.get_mut(&id) {
        worker.liveness = Liveness::Dead { probe_at_ms };
    }
    super::stream::probed(core, id, incarnation);
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

/// Notes a sign of life of a worker. Another life than the known one starts with an empty cache.
pub fn seen_alive(core: &mut Core, id: WorkerId, incarnation: Incarnation) {
    let Some(worker) = core.workers.get_mut(&id) else {
        return;
    };
    worker.liveness = Liveness::Alive;
    if worker.incarnation == Some(incarnation) {
        return;
    }
    worker.incarnation = Some(incarnation);
    worker.sent.clear();
    core.cache.set_incarnation(id, incarnation);
}

/// Asks dead workers again.
pub fn tick(core: &mut Core) {
    let now = core.now;
    let due: Vec<WorkerId> = core
        .workers
        .iter_mut()
        .filter_map(|(id, worker)| match &mut worker.liveness {
            Liveness::Dead { probe_at_ms } if *probe_at_ms <= now => {
                *probe_at_ms = now.after(PROBE_INTERVAL_MS);
                Some(*id)
            }
            _ => None,
        })
        .collect();
    for worker in due {
        core.emit(Command::Probe { worker });
    }
}
