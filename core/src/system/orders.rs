//! Orders engines to load the declared weights: one entry VM at a time, under a lease, and at most
//! two loads at once.
//!
//! A load is recorded in the lease's row before it is ordered, so that the next holder counts it.
//! Orders state what is to be and may be repeated; what engines report shows whether they obeyed.

use {
    super::lease::{AnyLease, Asked, Held, Lease},
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

/// Loads of weights at the same time at the most.
pub const MAX_LOADS: usize = 2;
/// The name of the lease.
const LEASE_NAME: &str = "orders";
/// The time between two reads of another's lease, and before a write is repeated.
const INTERVAL_MS: DurationMs = DurationMs(1_000);
/// The time between two looks at what the workers have loaded.
const LOOK_INTERVAL_MS: DurationMs = DurationMs(250);
/// The time before an order is repeated whose result doesn't show.
const REPEAT_MS: DurationMs = DurationMs(10_000);
/// How long an order may be under way. One for an earlier life of a worker may still be obeyed.
const ORDER_LIMIT_MS: DurationMs = DurationMs(15_000);
/// How long a load may take before it no longer counts.
const LOAD_LIMIT_MS: DurationMs = DurationMs(120_000);

/// The state of giving orders.
#[derive(Debug, Default)]
pub struct Orders {
    lease: AnyLease,
    asked: Option<Asked>,
    call: Option<CallId>,
    next_at_ms: TimeMs,
    nothing_needed_at_ms: Option<TimeMs>,
    ordered: Vec<(WeightLoad, TimeMs)>,
}

/// Takes an answer of the table service in, if it is one to the lease. Returns whether it was.
pub fn answered(core: &mut Core, call: CallId, answer: &RecordAnswer) -> bool {
    if core.orders.call != Some(call) {
        return false;
    }
    core.calls.remove(&call);
    let now = core.now;
    let orders = &mut core.orders;
    orders.call = None;
    let asked = orders.asked.take();
    orders.asked = orders.lease.answered(asked, answer.clone(), now);
    if *answer == RecordAnswer::Unknown {
        orders.next_at_ms = now.after(INTERVAL_MS);
    }
    true
}

/// Takes in what became of an order. One that is refused as outdated shows that another process
/// holds the lease.
pub fn order_answered(core: &mut Core, fencing: FencingNumber, outcome: OrderOutcome) {
    let now = core.now;
    let AnyLease::Held(lease) = &core.orders.lease else {
        return;
    };
    if outcome == OrderOutcome::Outdated && fencing == lease.fencing() {
        core.orders.lease.give_up(now);
    }
}

/// Gives the orders that are due, and asks for the lease when there are any.
pub fn tick(core: &mut Core) {
    let now = core.now;
    if core.orders.call.is_some() {
        repeat(core);
        return;
    }
    if let AnyLease::Held(lease) = &core.orders.lease
        && !lease.is_usable(now)
    {
        core.orders.lease.give_up(now);
    }
    if let Some(asked) = core.orders.asked.clone() {
        if core.orders.next_at_ms <= now {
            write(core, asked);
        }
        return;
    }
    let Some(needs) = needs_if_due(core) else {
        return;
    };
    match &core.orders.lease {
        AnyLease::Held(lease) => {
            let loads = running(core, lease.loads());
            let wanted = with_needs(&loads, needs, now);
            let more = wanted != loads;
            let due = lease.is_due(now) && !wanted.is_empty();
            if more || due {
                let asked = lease.ask(&core.settings, core.generation(), now, wanted);
                write(core, asked);
            }
        }
        AnyLease::Watching(_) if needs.is_empty() || core.shutting_down => {}
        AnyLease::Watching(lease) if lease.is_over(now) => {
            if lease.generation() > core.generation() {
                return;
            }
            let loads = running(core, lease.loads());
            let asked = lease.ask(&core.settings, core.generation(), now, loads);
            write(core, asked);
        }
        AnyLease::Watching(_) => read(core),
    }
    repeat(core);
}

fn write(core: &mut Core, asked: Asked) {
    let operation = RecordCall::Write {
        key: RecordKey::Lease(LEASE_NAME.into()),
        expected: asked.expected,
        record: Record::Lease(asked.record.clone()),
    };
    core.orders.asked = Some(asked);
    call(core, operation);
}

fn read(core: &mut Core) {
    if core.orders.next_at_ms > core.now {
        return;
    }
    core.orders.next_at_ms = core.now.after(INTERVAL_MS);
    let key = RecordKey::Lease(LEASE_NAME.into());
    call(core, RecordCall::Read { key });
}

fn call(core: &mut Core, operation: RecordCall) {
    let owner = core.new_attempt();
    core.orders.call = Some(core.call_table_service(owner, operation));
}

/// Gives the orders for the recorded loads that have not been given, or not lately.
fn repeat(core: &mut Core) {
    let now = core.now;
    let AnyLease::Held(lease) = &core.orders.lease else {
        return;
    };
    if !lease.is_usable(now) {
        return;
    }
    let due = due_orders(core, lease);
    let fencing = lease.fencing();
    core.orders
        .ordered
        .retain(|row| now.since(row.1) <= ORDER_LIMIT_MS);
    for load in due {
        let Some(model) = declared(core, &load) else {
            continue;
        };
        core.orders.ordered.push((load, now));
        core.emit(Command::Order {
            worker: load.worker,
            fencing,
            order: Order::Load(model),
        });
    }
}

fn due_orders(core: &Core, lease: &Lease<Held>) -> Vec<WeightLoad> {
    let lately = |load: &WeightLoad| {
        let mut ordered = core.orders.ordered.iter();
        ordered.any(|row| row.0 == *load && core.now.since(row.1) <= REPEAT_MS)
    };
    let mut loads = running(core, lease.loads());
    loads.retain(|load| !lately(load) && !restarted(core, load));
    loads
}

fn declared(core: &Core, load: &WeightLoad) -> Option<Model> {
    let mut models = core.configuration.declarations.models.iter();
    let model = models.find(|model| model.id() == load.model)?;
    (model.weights_version == load.weights_version).then(|| model.clone())
}

/// The loads that are not known to have ended.
fn running(core: &Core, loads: &[WeightLoad]) -> Vec<WeightLoad> {
    let age = |load: &WeightLoad| core.now.since(last_ordered(core, load));
    let ended = |load: &WeightLoad| {
        let loaded = core
            .workers
            .get(&load.worker)
            .is_some_and(|worker| has(worker, load));
        loaded || (restarted(core, load) && age(load) > ORDER_LIMIT_MS)
    };
    let late = |load: &WeightLoad| core.now.since(load.ordered_at_ms) > LOAD_LIMIT_MS;
    let mut loads = loads.to_vec();
    loads.retain(|load| !ended(load) && !late(load));
    loads
}

fn last_ordered(core: &Core, load: &WeightLoad) -> TimeMs {
    let ordered = core.orders.ordered.iter().filter(|row| row.0 == *load);
    let last = ordered.map(|row| row.1).max();
    last.unwrap_or(load.ordered_at_ms)
}

fn restarted(core: &Core, load: &WeightLoad) -> bool {
    let worker = core.workers.get(&load.worker);
    let life = worker.and_then(|worker| worker.incarnation);
    life.is_some() && life != load.incarnation
}

fn has(worker: &Worker, load: &WeightLoad) -> bool {
    let report = worker.load.as_ref();
    report.is_some_and(|report| report.models.contains(&(load.model, load.weights_version)))
}

/// Adds loads up to the limit. A worker has one at a time: one of other weights takes its place.
fn with_needs(loads: &[WeightLoad], needs: Vec<WeightLoad>, now: TimeMs) -> Vec<WeightLoad> {
    let mut wanted = loads.to_vec();
    for need in needs {
        let need = WeightLoad {
            ordered_at_ms: now,
            ..need
        };
        let free = wanted.len() < MAX_LOADS;
        let known = wanted.iter_mut().find(|load| load.worker == need.worker);
        match known {
            Some(load)
                if load.model == need.model && load.weights_version < need.weights_version =>
            {
                *load = need;
            }
            None if free => wanted.push(need),
            _ => {}
        }
    }
    wanted
}

/// The loads that would bring engines to what is declared: those that have other weights of a
/// model, or the one with the fewest models when none has any.
/// What is needed, unless nothing was a moment ago: a look costs a pass over all workers.
fn needs_if_due(core: &mut Core) -> Option<Vec<WeightLoad>> {
    let now = core.now;
    let since = core.orders.nothing_needed_at_ms;
    if since.is_some_and(|since| now.since(since) < LOOK_INTERVAL_MS) {
        return None;
    }
    let needs = needs(core);
    let idle = needs.is_empty() && matches!(core.orders.lease, AnyLease::Watching(_));
    core.orders.nothing_needed_at_ms = idle.then_some(now);
    Some(needs)
}

fn needs(core: &Core) -> Vec<WeightLoad> {
    let models = &core.configuration.declarations.models;
    models
        .iter()
        .flat_map(|model| needs_of(core, model))
        .collect()
}

fn needs_of(core: &Core, model: &Model) -> Vec<WeightLoad> {
    let id = model.id();
    let need = |worker: WorkerId, incarnation| WeightLoad {
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
        .filter(|worker| worker.service.is_none() && worker.takes_work())
        .filter_map(|worker| Some((worker, &worker.load.as_ref()?.models[..])))
        .collect();
    let holders = engines
        .iter()
        .filter(|(_, loaded)| loaded.iter().any(|loaded| loaded.0 == id));
    if holders.clone().count() == 0 {
        let least = engines.iter().min_by_key(|row| (row.1.len(), row.0.id));
        let least = least.map(|(worker, _)| need(worker.id, worker.incarnation));
        return least.into_iter().collect();
    }
    holders
        .filter(|row| !row.1.contains(&(id, model.weights_version)))
        .map(|(worker, _)| need(worker.id, worker.incarnation))
        .collect()
}
