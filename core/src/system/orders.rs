//! Orders engines to load the declared weights. Only the entry VM that holds the lease sends
//! orders, for at most two loads at a time.
//!
//! A load is recorded in the lease's row before it is ordered, so that the next holder counts it.
//! Orders are idempotent and may be repeated; the engines' load reports show whether they were
//! carried out.

use {
    super::lease::{AnyLease, Held, Lease, PendingWrite},
    crate::{
        command::{Command, Order},
        core::Core,
        declaration::Model,
        event::OrderOutcome,
        id::{FencingNumber, WorkerId},
        record::{CallId, Record, RecordAnswer, RecordCall, RecordKey, WeightLoad},
        unit::{DurationMs, TimeMs},
        worker::Worker,
    },
};

/// The maximum number of concurrent loads of weights.
pub const MAX_CONCURRENT_LOADS: usize = 2;
/// The name of the lease.
const LEASE_NAME: &str = "orders";
/// The time between two reads of a lease that another process holds, and before a write is retried.
const LEASE_RETRY_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// The time between two checks of the loaded weights while no loads are needed.
const CHECK_INTERVAL_MS: DurationMs = DurationMs(250);
/// The time after which an order is repeated if no load report shows its result.
const ORDER_REPEAT_MS: DurationMs = DurationMs(10_000);
/// The maximum time from sending an order until a worker carries it out. A worker that has
/// restarted may still carry out an order that was sent before.
const ORDER_MAX_DELAY_MS: DurationMs = DurationMs(15_000);
/// The time after which a load no longer counts as in progress.
const LOAD_TIMEOUT_MS: DurationMs = DurationMs(120_000);

/// The lease on sending orders, and the orders that were sent.
#[derive(Debug, Default)]
pub struct Orders {
    lease: AnyLease,
    pending_write: Option<PendingWrite>,
    call: Option<CallId>,
    next_call_at_ms: TimeMs,
    no_loads_needed_at_ms: Option<TimeMs>,
    sent: Vec<(WeightLoad, TimeMs)>,
}

/// Handles an answer of the table service if it answers a call on the lease. Returns whether it
/// did.
pub fn handle_answer(core: &mut Core, call: CallId, answer: &RecordAnswer) -> bool {
    if core.orders.call != Some(call) {
        return false;
    }
    core.calls.remove(&call);
    let now = core.now;
    let orders = &mut core.orders;
    orders.call = None;
    let pending_write = orders.pending_write.take();
    orders.pending_write = orders
        .lease
        .apply_answer(pending_write, answer.clone(), now);
    if *answer == RecordAnswer::Unknown {
        orders.next_call_at_ms = now.after(LEASE_RETRY_INTERVAL_MS);
    }
    true
}

/// Applies the outcome of an order. If the current fencing number is outdated, another process
/// holds the lease.
pub fn apply_order_outcome(core: &mut Core, fencing: FencingNumber, outcome: OrderOutcome) {
    let now = core.now;
    let AnyLease::Held(lease) = &core.orders.lease else {
        return;
    };
    if outcome == OrderOutcome::Outdated && fencing == lease.fencing() {
        core.orders.lease.end_term(now);
    }
}

/// Sends the orders that are due, and acquires or renews the lease while loads are needed.
pub fn tick(core: &mut Core) {
    let now = core.now;
    if core.orders.call.is_some() {
        send_due_orders(core);
        return;
    }
    if let AnyLease::Held(lease) = &core.orders.lease
        && !lease.is_valid(now)
    {
        core.orders.lease.end_term(now);
    }
    if let Some(pending_write) = core.orders.pending_write.clone() {
        if core.orders.next_call_at_ms <= now {
            write_lease(core, pending_write);
        }
        return;
    }
    let Some(missing_loads) = missing_loads_if_due(core) else {
        return;
    };
    match &core.orders.lease {
        AnyLease::Held(lease) => {
            let loads = active_loads(core, lease.loads());
            let target_loads = add_loads(&loads, missing_loads, now);
            let has_new_loads = target_loads != loads;
            let due = lease.is_renewal_due(now) && !target_loads.is_empty();
            if has_new_loads || due {
                let pending_write =
                    lease.next_write(&core.settings, core.generation(), now, target_loads);
                write_lease(core, pending_write);
            }
        }
        AnyLease::Watching(_) if missing_loads.is_empty() || core.shutting_down => {}
        AnyLease::Watching(lease) if lease.has_expired(now) => {
            if lease.generation() > core.generation() {
                return;
            }
            let loads = active_loads(core, lease.loads());
            let pending_write = lease.next_write(&core.settings, core.generation(), now, loads);
            write_lease(core, pending_write);
        }
        AnyLease::Watching(_) => read_lease(core),
    }
    send_due_orders(core);
}

fn write_lease(core: &mut Core, pending_write: PendingWrite) {
    let operation = RecordCall::Write {
        key: RecordKey::Lease(LEASE_NAME.into()),
        expected: pending_write.expected,
        record: Record::Lease(pending_write.record.clone()),
    };
    core.orders.pending_write = Some(pending_write);
    call_table_service(core, operation);
}

fn read_lease(core: &mut Core) {
    if core.orders.next_call_at_ms > core.now {
        return;
    }
    core.orders.next_call_at_ms = core.now.after(LEASE_RETRY_INTERVAL_MS);
    let key = RecordKey::Lease(LEASE_NAME.into());
    call_table_service(core, RecordCall::Read { key });
}

fn call_table_service(core: &mut Core, operation: RecordCall) {
    let owner = core.new_attempt_id();
    core.orders.call = Some(core.call_table_service(owner, operation));
}

/// Sends the orders for recorded loads for which none was sent recently.
fn send_due_orders(core: &mut Core) {
    let now = core.now;
    let AnyLease::Held(lease) = &core.orders.lease else {
        return;
    };
    if !lease.is_valid(now) {
        return;
    }
    let due = due_orders(core, lease);
    let fencing = lease.fencing();
    core.orders
        .sent
        .retain(|row| now.since(row.1) <= ORDER_MAX_DELAY_MS);
    for load in due {
        let Some(model) = declared_model(core, &load) else {
            continue;
        };
        core.orders.sent.push((load, now));
        core.emit(Command::Order {
            worker: load.worker,
            fencing,
            order: Order::Load(model),
        });
    }
}

fn due_orders(core: &Core, lease: &Lease<Held>) -> Vec<WeightLoad> {
    let ordered_recently = |load: &WeightLoad| {
        let mut sent_orders = core.orders.sent.iter();
        sent_orders.any(|row| row.0 == *load && core.now.since(row.1) <= ORDER_REPEAT_MS)
    };
    let mut loads = active_loads(core, lease.loads());
    loads.retain(|load| !ordered_recently(load) && !has_restarted(core, load));
    loads
}

/// The model to load, if its declaration still has these weights.
fn declared_model(core: &Core, load: &WeightLoad) -> Option<Model> {
    let mut models = core.configuration.declarations.models.iter();
    let model = models.find(|model| model.id() == load.model)?;
    (model.weights_version == load.weights_version).then(|| model.clone())
}

/// The loads that still count as in progress.
fn active_loads(core: &Core, loads: &[WeightLoad]) -> Vec<WeightLoad> {
    let age = |load: &WeightLoad| core.now.since(last_ordered(core, load));
    let has_ended = |load: &WeightLoad| {
        let loaded = core
            .workers
            .get(&load.worker)
            .is_some_and(|worker| has_weights(worker, load));
        loaded || (has_restarted(core, load) && age(load) > ORDER_MAX_DELAY_MS)
    };
    let is_too_old = |load: &WeightLoad| core.now.since(load.ordered_at_ms) > LOAD_TIMEOUT_MS;
    let mut loads = loads.to_vec();
    loads.retain(|load| !has_ended(load) && !is_too_old(load));
    loads
}

/// When this process last sent an order for a load; if it sent none, when the load was decided.
fn last_ordered(core: &Core, load: &WeightLoad) -> TimeMs {
    let sent_orders = core.orders.sent.iter().filter(|row| row.0 == *load);
    let last = sent_orders.map(|row| row.1).max();
    last.unwrap_or(load.ordered_at_ms)
}

/// Whether the worker is known to have restarted since the load was decided.
fn has_restarted(core: &Core, load: &WeightLoad) -> bool {
    let worker = core.workers.get(&load.worker);
    let incarnation = worker.and_then(|worker| worker.incarnation);
    incarnation.is_some() && incarnation != load.incarnation
}

fn has_weights(worker: &Worker, load: &WeightLoad) -> bool {
    let report = worker.load.as_ref();
    report.is_some_and(|report| report.models.contains(&(load.model, load.weights_version)))
}

/// Adds missing loads up to the limit. Each worker has one load at a time: newer weights of the
/// same model replace it.
fn add_loads(loads: &[WeightLoad], missing_loads: Vec<WeightLoad>, now: TimeMs) -> Vec<WeightLoad> {
    let mut target_loads = loads.to_vec();
    for missing_load in missing_loads {
        let missing_load = WeightLoad {
            ordered_at_ms: now,
            ..missing_load
        };
        let has_capacity = target_loads.len() < MAX_CONCURRENT_LOADS;
        let worker_load = target_loads
            .iter_mut()
            .find(|load| load.worker == missing_load.worker);
        match worker_load {
            Some(load)
                if load.model == missing_load.model
                    && load.weights_version < missing_load.weights_version =>
            {
                *load = missing_load;
            }
            None if has_capacity => target_loads.push(missing_load),
            _ => {}
        }
    }
    target_loads
}

/// The missing loads; none if a recent check found nothing to load. A check iterates over all
/// workers.
fn missing_loads_if_due(core: &mut Core) -> Option<Vec<WeightLoad>> {
    let now = core.now;
    let checked_at_ms = core.orders.no_loads_needed_at_ms;
    if checked_at_ms.is_some_and(|checked_at_ms| now.since(checked_at_ms) < CHECK_INTERVAL_MS) {
        return None;
    }
    let missing_loads = missing_loads(core);
    let idle = missing_loads.is_empty() && matches!(core.orders.lease, AnyLease::Watching(_));
    core.orders.no_loads_needed_at_ms = idle.then_some(now);
    Some(missing_loads)
}

fn missing_loads(core: &Core) -> Vec<WeightLoad> {
    let models = &core.configuration.declarations.models;
    models
        .iter()
        .flat_map(|model| missing_loads_for_model(core, model))
        .collect()
}

/// The loads that bring the engines to the declared weights of a model: one for each engine that
/// has other weights of it or, if no engine has the model, one for the engine with the fewest
/// models.
fn missing_loads_for_model(core: &Core, model: &Model) -> Vec<WeightLoad> {
    let id = model.id();
    let missing_load = |worker: WorkerId, incarnation| WeightLoad {
        worker,
        incarnation,
        model: id,
        weights_version: model.weights_version,
        ordered_at_ms: core.now,
    };
    let engines: Vec<(&Worker, &[_])> = core
        .workers
        .iter()
        .map(|row| row.1)
        .filter(|worker| worker.service.is_none() && worker.accepts_work())
        .filter_map(|worker| Some((worker, &worker.load.as_ref()?.models[..])))
        .collect();
    let holders = engines
        .iter()
        .filter(|(_, loaded)| loaded.iter().any(|loaded| loaded.0 == id));
    if holders.clone().count() == 0 {
        let emptiest = engines.iter().min_by_key(|row| (row.1.len(), row.0.id));
        let emptiest = emptiest.map(|(worker, _)| missing_load(worker.id, worker.incarnation));
        return emptiest.into_iter().collect();
    }
    holders
        .filter(|row| !row.1.contains(&(id, model.weights_version)))
        .map(|(worker, _)| missing_load(worker.id, worker.incarnation))
        .collect()
}
