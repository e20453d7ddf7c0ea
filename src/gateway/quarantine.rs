//! Recognizes requests that crash the servers that run them, and tells the other gateways.
//!
//! What follows from the crashes is decided in [`cactusspur_core::gateway::quarantine`].

use {
    super::{
        Shared,
        call::{Call, InFlightRequest},
        clock::now,
        link, reach,
        state::GatewayState,
    },
    cactusspur_core::{
        TimeMs,
        gateway::{
            AccusedRequest, Admission, Choice, CrashReport, Culprit, PassReport, QuarantineChange,
            QuarantineReport, TrialNotice,
        },
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How long a gateway waits after it has announced a trial. Notices take less in a fleet that isn't large.
const CLAIM_WAIT: Duration = Duration::from_millis(15);

/// Handles the loss of a connection to a server that had sent no event or whole answer. If the server no
/// longer listens, it has crashed, and this request may be the cause, or this gateway is cut off from it.
pub async fn handle_lost_server(shared: &Rc<Shared>, call: &Call, in_flight: &InFlightRequest) {
    let lost_at_ms = now();
    let choice = in_flight.choice();
    let started_at_ms = in_flight.sent_to().started_at_ms;
    let Some((address, is_known)) = crashed_address(shared, choice, started_at_ms, lost_at_ms)
    else {
        return;
    };
    if !is_known && !link::refuses_connections(address).await {
        return;
    }
    let is_confirmed =
        is_known || reach::reaches_another(shared, &call.service, choice.worker).await;
    let now = now();
    let crash = CrashReport {
        worker: choice.worker,
        started_at_ms,
        age_ms: now.since(lost_at_ms),
        requests: vec![AccusedRequest {
            request: call.identity.clone(),
            ran_ms: lost_at_ms.since(in_flight.sent_to().sent_at_ms),
        }],
    };
    tracing::info!(
        request = call.head.request_id, worker = %choice.worker, prompt = call.prompt_names(),
        path = call.path(), digest = %call.identity.digest, is_known, is_confirmed,
        ran_ms = crash.requests[0].ran_ms.0, "a server crashed while it ran a request"
    );
    if !is_confirmed {
        shared.state.borrow_mut().quarantine.hold_back(crash, now);
        confirm(shared);
        return;
    }
    call.record_lost_server();
    record_crash(shared, crash);
}

fn record_crash(shared: &Rc<Shared>, crash: CrashReport) {
    metrics::counter!("cactusspur_engine_crashes_total").increment(1);
    let now = now();
    let mut state = shared.state.borrow_mut();
    if let Some(backend) = state.backends.get_mut(crash.worker)
        && backend.spec.started_at_ms == crash.started_at_ms
    {
        backend.record_unreachable(now);
    }
    let is_alone = state.peers.running(now).next().is_none();
    state.quarantine.set_alone(is_alone);
    let is_new = state.quarantine.record_crash(&crash, now);
    let report = state.quarantine.report_of(crash, now);
    drop(state);
    if is_new {
        shared.peers.announce_quarantine(shared, report);
    }
    settle_later(shared);
}

/// Takes in the crashes that were held back and are confirmed by now.
pub fn confirm(shared: &Rc<Shared>) {
    let mut state = shared.state.borrow_mut();
    let GatewayState {
        backends,
        quarantine,
        ..
    } = &mut *state;
    let started_at_ms = |worker| Some(backends.get(worker)?.spec.started_at_ms);
    let confirmed = quarantine.take_confirmed(started_at_ms, now());
    drop(state);
    for crash in confirmed {
        record_crash(shared, crash);
    }
}

/// The address of the chosen server, if it is listed, and whether its crash is known.
fn crashed_address(
    shared: &Shared,
    choice: &Choice,
    started_at_ms: u64,
    now: TimeMs,
) -> Option<(SocketAddr, bool)> {
    let state = shared.state.borrow();
    let address = state.backends.get(choice.worker)?.spec.address;
    let quarantine = &state.quarantine;
    let is_known = quarantine.has_crashed(choice.worker, started_at_ms, now);
    Some((address, is_known))
}

/// Records that an answer has its first event or is complete, which clears its request and the shared
/// parts of its prompt.
pub fn record_pass(shared: &Rc<Shared>, call: &Call) {
    let mut state = shared.state.borrow_mut();
    let (passes, changes) = state.quarantine.record_pass(&call.identity, now());
    drop(state);
    announce_passes(shared, passes);
    record_changes(shared, &changes);
    settle_later(shared);
}

/// Ends a quarantine or a suspicion in all gateways, on the word of an operator.
pub fn lift(shared: &Rc<Shared>, culprit: &Culprit) {
    tracing::warn!(%culprit, "an operator ends a quarantine");
    let mut state = shared.state.borrow_mut();
    let (passes, changes) = state.quarantine.lift(culprit, now());
    drop(state);
    announce_passes(shared, passes);
    record_changes(shared, &changes);
    settle_later(shared);
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
    settle_later(shared);
    confirm(shared);
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

/// Draws the conclusions that wait for other evidence once they are due.
fn settle_later(shared: &Rc<Shared>) {
    let Some(at_ms) = shared.state.borrow().quarantine.settles_at_ms() else {
        return;
    };
    let scheduled_at_ms = &shared.quarantine_settles_at_ms;
    if scheduled_at_ms
        .get()
        .is_some_and(|earlier| earlier <= at_ms)
    {
        return;
    }
    scheduled_at_ms.set(Some(at_ms));
    let wait = Duration::from_millis(at_ms.since(now()).0 + 1);
    let shared = Rc::clone(shared);
    ntex::rt::spawn(async move {
        sleep(wait).await;
        // Another one was scheduled earlier meanwhile, and has scheduled what remains.
        if shared.quarantine_settles_at_ms.get() != Some(at_ms) {
            return;
        }
        shared.quarantine_settles_at_ms.set(None);
        let mut state = shared.state.borrow_mut();
        let changes = state.quarantine.settle(now());
        let inferences = state.quarantine.inferences();
        drop(state);
        metrics::counter!("cactusspur_quarantine_inferences_total").absolute(inferences);
        record_changes(&shared, &changes);
        settle_later(&shared);
    });
}

/// Logs and counts what follows from new evidence, and ends requests in progress that are quarantined now.
fn record_changes(shared: &Shared, changes: &[QuarantineChange]) {
    for change in changes {
        match change {
            QuarantineChange::Crashed(reports) => tracing::info!(
                reports = reports.len(), workers = %list_workers(reports),
                requests = %list_requests(reports), "requests suspected of a crash"
            ),
            QuarantineChange::Began { culprit, crashes } => {
                metrics::counter!("cactusspur_quarantines_total").increment(1);
                tracing::warn!(%culprit, crashes, "quarantine began");
                shared.quarantine_changed.notify_waiters();
            }
            QuarantineChange::Ended { culprit } => {
                tracing::warn!(%culprit, "quarantine ended");
            }
        }
    }
}

/// Waits until a request in progress is quarantined.
pub async fn recalled(shared: &Shared, call: &Call) {
    loop {
        let changed = shared.quarantine_changed.notified();
        if shared.state.borrow().quarantine.recalls(&call.identity) {
            return;
        }
        changed.await;
    }
}

/// Whether and how a request may be sent, by the crashes of servers that ran it.
pub fn admit(shared: &Shared, call: &Call) -> Admission {
    let mut state = shared.state.borrow_mut();
    let now = now();
    let (admission, changes) = state.quarantine.admit(&call.identity, now);
    drop(state);
    record_changes(shared, &changes);
    if admission == Admission::Refused {
        metrics::counter!("cactusspur_quarantined_requests_total").increment(1);
    }
    admission
}

/// A suspected request at a server, where no other suspected one runs meanwhile. Dropping it ends it in
/// all gateways.
pub struct Trial {
    shared: Rc<Shared>,
    notice: TrialNotice,
}

impl Trial {
    /// Begins a trial if the request is suspected.
    #[must_use]
    pub fn begin(shared: &Rc<Shared>, call: &Call, choice: &Choice) -> Option<Self> {
        let mut state = shared.state.borrow_mut();
        let digest = call.identity.digest;
        let limit_ms = call.remaining_ms();
        let notice = state
            .quarantine
            .begin_trial(digest, choice.worker, limit_ms, now())?;
        drop(state);
        tracing::info!(
            request = call.head.request_id, worker = %choice.worker, %digest,
            "a suspected request is sent apart from others"
        );
        announce_trial(shared, notice);
        Some(Self {
            shared: Rc::clone(shared),
            notice,
        })
    }
}

/// Announces that a suspected request will be sent to a server, and waits for others that are about to be
/// sent there. Returns whether it may be sent.
pub async fn claim(shared: &Rc<Shared>, call: &Call, choice: &Choice) -> bool {
    let Some(trial) = Trial::begin(shared, call, choice) else {
        return true;
    };
    sleep(CLAIM_WAIT).await;
    let state = shared.state.borrow();
    !state.quarantine.gives_way(&trial.notice, now())
}

impl Drop for Trial {
    fn drop(&mut self) {
        let mut state = self.shared.state.borrow_mut();
        let notice = state.quarantine.end_trial(&self.notice, now());
        drop(state);
        announce_trial(&self.shared, notice);
    }
}

fn announce_trial(shared: &Rc<Shared>, notice: TrialNotice) {
    let report = QuarantineReport {
        trials: vec![notice],
        ..QuarantineReport::default()
    };
    shared.peers.announce_quarantine(shared, report);
}

fn list_workers(reports: &[CrashReport]) -> String {
    list(reports.iter().map(|report| report.worker))
}

fn list_requests(reports: &[CrashReport]) -> String {
    let accused = reports.iter().flat_map(|report| &report.requests);
    list(accused.map(|row| row.request.digest))
}

/// The different ones of some ids.
fn list<T, I>(ids: I) -> String
where
    T: Ord + ToString,
    I: Iterator<Item = T>,
{
    let mut ids: Vec<T> = ids.collect();
    ids.sort_unstable();
    ids.dedup();
    let ids: Vec<String> = ids.iter().map(ToString::to_string).collect();
    ids.join(",")
}
