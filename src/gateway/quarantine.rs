//! Recognizes requests that crash the engines that begin to answer them, and tells the other gateways.
//!
//! What follows from the crashes is decided in [`cactusspur_core::gateway::quarantine`].

use {
    super::{Shared, call::Call, clock::now, link},
    cactusspur_core::gateway::{
        Choice, CrashReport, PartId, PassReport, QuarantineChange, QuarantineReport,
    },
    std::{future, rc::Rc},
};

/// Handles the loss of a connection on which an answer had begun and had no event yet. If the engine no
/// longer listens, it has crashed, and this request may be the cause.
pub async fn handle_lost_start(
    shared: &Rc<Shared>,
    call: &Call,
    choice: &Choice,
    started_at_ms: u64,
) {
    call.record_lost_start();
    let lost_at_ms = now();
    let address = shared
        .state
        .borrow()
        .backends
        .get(choice.worker)
        .map(|backend| backend.spec.address);
    let Some(address) = address.filter(|_| !call.shared_parts.is_empty()) else {
        return;
    };
    if !link::refuses_connections(address).await {
        return;
    }
    let now = now();
    let crash = CrashReport {
        worker: choice.worker,
        started_at_ms,
        age_ms: now.since(lost_at_ms),
        parts: call.shared_parts.clone(),
    };
    metrics::counter!("cactusspur_engine_crashes_total").increment(1);
    tracing::info!(
        request = call.head.request_id, worker = %choice.worker, prompt = call.prompt_names(),
        parts = %list(&crash.parts), "an engine crashed when it began to answer"
    );
    let mut state = shared.state.borrow_mut();
    if let Some(backend) = state.backends.get_mut(choice.worker) {
        backend.record_unreachable(now);
    }
    let (is_new, changes) = state.quarantine.record_crash(&crash, now);
    let report = state.quarantine.report_of(crash, now);
    drop(state);
    if is_new {
        shared.peers.announce_quarantine(shared, report);
    }
    record_changes(shared, &changes);
}

/// Records that an answer has its first event, which clears the shared parts of its prompt.
pub fn record_first_event(shared: &Rc<Shared>, call: &Call) {
    if call.shared_parts.is_empty() {
        return;
    }
    let mut state = shared.state.borrow_mut();
    let (passes, changes) = state.quarantine.record_pass(&call.shared_parts, now());
    drop(state);
    announce_passes(shared, passes);
    record_changes(shared, &changes);
}

/// Applies what another gateway reports.
pub fn apply(shared: &Rc<Shared>, report: &QuarantineReport) {
    if report.is_empty() {
        return;
    }
    let mut state = shared.state.borrow_mut();
    let (passes, changes) = state.quarantine.apply(report, now());
    drop(state);
    announce_passes(shared, passes);
    record_changes(shared, &changes);
}

fn announce_passes(shared: &Rc<Shared>, passes: Vec<PassReport>) {
    if passes.is_empty() {
        return;
    }
    let report = QuarantineReport {
        passes,
        ..QuarantineReport::default()
    };
    shared.peers.announce_quarantine(shared, report);
}

/// Logs and counts what follows from new evidence, and ends requests in progress that are quarantined now.
fn record_changes(shared: &Shared, changes: &[QuarantineChange]) {
    for change in changes {
        match change {
            QuarantineChange::Crashed(crash) => tracing::info!(
                worker = %crash.worker, age_ms = crash.age_ms.0, parts = %list(&crash.parts),
                "prompt parts suspected of a crash"
            ),
            QuarantineChange::Began { parts, crashes } => {
                metrics::counter!("cactusspur_quarantines_total").increment(1);
                tracing::warn!(parts = %list(parts), crashes, "prompt parts quarantined");
                shared.quarantine_changed.notify_waiters();
            }
            QuarantineChange::Ended { parts } => {
                tracing::warn!(parts = %list(parts), "quarantine of prompt parts ended");
            }
        }
    }
}

/// Waits until a request in progress is quarantined.
pub async fn recalled(shared: &Shared, call: &Call) {
    if call.shared_parts.is_empty() {
        return future::pending().await;
    }
    loop {
        let changed = shared.quarantine_changed.notified();
        if shared.state.borrow().quarantine.recalls(&call.shared_parts) {
            return;
        }
        changed.await;
    }
}

/// Whether a request is refused since engines crash on its prompt.
pub fn refuses(shared: &Shared, call: &Call) -> bool {
    let mut state = shared.state.borrow_mut();
    let is_refused = state.quarantine.refuses(&call.shared_parts, now());
    if is_refused {
        metrics::counter!("cactusspur_quarantined_requests_total").increment(1);
    }
    is_refused
}

fn list(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    parts.join(",")
}
