//! Asks for the decision on a request under overload, and tells how long first tokens took.

use {
    super::{Shared, call::Call, clock::now},
    cactusspur_core::{
        DurationMs, TimeMs, Tokens,
        gateway::{
            Applicant, AwaitedId, Backend, Choice, Decision, Outlook, OverloadChange, check_in_time,
        },
    },
    std::rc::Rc,
};

/// How many thousandths the exported ratio is divided by.
const ONE_PERMILLE: f64 = 1_000.0;

/// Why a request isn't sent, and the time until room is expected for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason, for the log.
    pub why: String,
    /// The expected wait.
    pub wait_ms: DurationMs,
}

/// Checks whether a request may be sent to the chosen server. The decision on it is made before it is
/// first sent; after that, only its deadline counts.
///
/// # Errors
///
/// When it is refused under overload or can't be answered before its deadline.
pub fn admit(shared: &Shared, call: &Call, choice: &Choice) -> Result<(), Rejection> {
    if call.begin_judging() {
        match decide(shared, call, choice) {
            Decision::Send => {}
            Decision::SendLast => call.go_last(),
            Decision::Refuse { reason, wait_ms } => {
                return Err(Rejection {
                    why: reason.to_string(),
                    wait_ms,
                });
            }
        }
    }
    check_in_time(choice, call.remaining_ms()).map_err(|too_late| Rejection {
        why: too_late.to_string(),
        wait_ms: choice.queue_ms,
    })
}

/// Decides whether a request is sent to the chosen server, sent last or refused.
fn decide(shared: &Shared, call: &Call, choice: &Choice) -> Decision {
    let now = now();
    let mut state = shared.state.borrow_mut();
    let backend = state.backends.get(choice.worker);
    let has_backlog = backend.is_some_and(|backend| has_backlog(backend, choice, now));
    let outlook = Outlook::new(choice, has_backlog);
    let decision = state
        .overload
        .decide(&applicant(call, choice, now), &outlook, now);
    let change = state.overload.take_change(&call.service, now);
    let ratio = state.overload.ratio(&call.service, &call.route.name, now);
    drop(state);
    #[expect(clippy::cast_precision_loss, reason = "ratios are small")]
    metrics::gauge!(
        "cactusspur_overload_ratio",
        "service" => call.service.clone(), "route" => call.route.name.clone()
    )
    .set(ratio.0 as f64 / ONE_PERMILLE);
    match change {
        Some(OverloadChange::Entered) => tracing::info!(
            service = call.service, route = call.route.name, %ratio,
            predicted_ms = choice.first_token_ms.0, "a service is overloaded"
        ),
        Some(OverloadChange::Left) => {
            tracing::info!(service = call.service, "a service is no longer overloaded");
        }
        None => {}
    }
    match decision {
        Decision::Send => {}
        Decision::SendLast => {
            metrics::counter!("cactusspur_overload_sent_last_total", "service" => call.service.clone())
                .increment(1);
        }
        Decision::Refuse { reason, .. } => {
            metrics::counter!(
                "cactusspur_overload_refused_total",
                "service" => call.service.clone(), "reason" => reason.to_string()
            )
            .increment(1);
        }
    }
    decision
}

fn applicant<'a>(call: &'a Call, choice: &Choice, now: TimeMs) -> Applicant<'a> {
    let prompt = call.head.prompt.as_ref();
    let work = prompt.map_or(Tokens(1), |prompt| {
        let read: Tokens = prompt.parts.iter().map(|part| part.tokens).sum();
        read + prompt.max_answer_tokens
    });
    let customer = call.customer.as_ref();
    Applicant {
        service: &call.service,
        route: &call.route.name,
        customer: customer.map_or("", |customer| customer.name.as_str()),
        priority: call.priority(),
        work,
        target_ms: call.route.target_ms,
        waited_ms: now.since(call.arrived_at_ms),
        caller_wait_ms: call.caller_deadline_ms.since(call.arrived_at_ms),
        remaining_ms: call.remaining_ms(),
        takes_up_stream: call.head.last_event.is_some() || call.head.resumes.is_some(),
        has_priorities: choice.weights.is_some(),
    }
}

/// Whether requests wait at a server: by its own report, or, without a recent one, by the prompts that
/// are known to be in front.
fn has_backlog(backend: &Backend, choice: &Choice, now: TimeMs) -> bool {
    backend.reported_waiting(now) > 0
        || backend.occupancy(now) >= backend.spec.slots.max(1)
        || (!backend.has_recent_load(now) && choice.queue_ms > choice.prefill_ms)
}

/// A request whose first token, or whole answer, is awaited. Dropping it records that none came.
pub struct AwaitedToken {
    shared: Rc<Shared>,
    service: String,
    route: String,
    id: AwaitedId,
}

impl AwaitedToken {
    /// Records that a request is sent to the chosen server.
    #[must_use]
    pub fn begin(shared: &Rc<Shared>, call: &Call, choice: &Choice) -> Option<Self> {
        let predicted_ms = (!call.goes_last()).then_some(choice.first_token_ms);
        let (service, route) = (call.service.clone(), call.route.name.clone());
        let mut state = shared.state.borrow_mut();
        let id = state
            .overload
            .record_sent(&service, &route, predicted_ms, now())?;
        drop(state);
        Some(Self {
            shared: Rc::clone(shared),
            service,
            route,
            id,
        })
    }

    /// Records the arrival.
    pub fn record_arrival(self) {
        self.end(true);
    }

    fn end(&self, has_token: bool) {
        let mut state = self.shared.state.borrow_mut();
        state
            .overload
            .record_ended(&self.service, &self.route, self.id, has_token, now());
    }
}

impl Drop for AwaitedToken {
    fn drop(&mut self) {
        // Without effect after an arrival.
        self.end(false);
    }
}
