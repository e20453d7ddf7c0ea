//! Lists the servers of a service with what a request would cost at each, or with what excludes it.
//!
//! The exclusion, the ranking and the prediction are those of the choice itself.

use {
    super::{
        announcement::{AnnouncedAt, outdated},
        backend::Backend,
        choice::{
            Choice, ChoiceContext, ModelCall, choose_near_home, choose_plain, ranked_engines,
        },
        prediction::predict,
        routing::ServiceSpec,
    },
    crate::{
        id::WorkerId,
        unit::{DurationMs, TimeMs},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Why a server gets no request of a certain kind now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// The server leaves, or isn't ready.
    #[display("leaves or is not ready")]
    Leaving,
    /// The server has failed this request already, or runs a request that may crash it.
    #[display("avoided, since it may crash")]
    Avoided,
    /// As many requests of this entry VM are in progress there as it may have.
    #[display("no connection left")]
    NoConnection,
    /// The server asked for a pause.
    #[display("asked for a pause, {left_ms} left")]
    Paused {
        /// The time until it may be sent a request.
        left_ms: DurationMs,
    },
    /// The server named a rate of requests, and this entry VM's part in it is used up.
    #[display("asked for fewer requests, the next one in {left_ms}")]
    Limited {
        /// The time until it may be sent a request.
        left_ms: DurationMs,
    },
    /// The server is brittle and has no room, or none that this entry VM may use.
    #[display("brittle and without room, the next request in about {left_ms}")]
    NoRoom {
        /// The time until it may be sent a request, as far as known.
        left_ms: DurationMs,
    },
    /// The server has another software version than the one that began the stream.
    #[display("other software than that of the stream")]
    OtherSoftware,
    /// No connection could be opened lately, and others accept requests.
    #[display("unreachable")]
    Unreachable,
    /// The server loads weights, and others accept requests.
    #[display("loads weights")]
    LoadingWeights,
    /// The server doesn't have the model.
    #[display("does not have the model")]
    NoModel,
    /// The grace period of the server's weights has ended.
    #[display("weights too old")]
    OutdatedWeights,
    /// Newer weights were announced at an unknown time.
    #[display("weights of unknown age")]
    UnknownAge,
}

/// How a server stands in the choice for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is not eligible.
    Excluded(Exclusion),
    /// It is eligible.
    Eligible {
        /// The cost by which servers are compared, in milliseconds of callers' time.
        cost_ms: DurationMs,
        /// Whether it was compared. Of many engines only those near the home of the prompt's shared parts
        /// are.
        is_compared: bool,
        /// The choice that it would be.
        choice: Choice,
    },
}

/// A server and how it stands in the choice for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStanding {
    /// The server.
    pub worker: WorkerId,
    /// How it stands.
    pub standing: Standing,
}

/// How all servers of a plain service stand, in the order of their ids. `random` is that of
/// [`choose_plain`].
#[must_use]
pub fn explain_plain(
    context: &ChoiceContext<'_>,
    service: &str,
    random: u64,
) -> Vec<ServerStanding> {
    let servers = servers_of(context, service).map(|(worker, backend)| {
        let only = ChoiceContext {
            only: Some(worker),
            ..*context
        };
        let standing = match choose_plain(&only, service, random) {
            Some(choice) => Standing::Eligible {
                cost_ms: DurationMs(context.plain_cost(backend)),
                is_compared: true,
                choice,
            },
            None => Standing::Excluded(exclusion(context, None, worker, backend)),
        };
        ServerStanding { worker, standing }
    });
    servers.collect()
}

/// How all engines of a service stand: the eligible ones in the order of preference, then the others.
#[must_use]
pub fn explain_model(
    context: &ChoiceContext<'_>,
    service: &ServiceSpec,
    call: &ModelCall<'_>,
) -> Vec<ServerStanding> {
    let engines = ranked_engines(context, service, call);
    let mut compared = Vec::new();
    choose_near_home(context, service, call, &engines, &mut |worker| {
        compared.push(worker);
    });
    let eligible = engines.iter().enumerate().map(|(steps, engine)| {
        let (cost, choice) = predict(context, service, call, engine, steps as u64);
        ServerStanding {
            worker: engine.worker,
            standing: Standing::Eligible {
                cost_ms: DurationMs(cost),
                is_compared: compared.contains(&engine.worker),
                choice,
            },
        }
    });
    let others = servers_of(context, &service.name)
        .filter(|row| engines.iter().all(|engine| engine.worker != row.0))
        .map(|(worker, backend)| ServerStanding {
            worker,
            standing: Standing::Excluded(exclusion(context, Some(call), worker, backend)),
        });
    eligible.chain(others).collect()
}

fn servers_of<'a>(
    context: &ChoiceContext<'a>,
    service: &'a str,
) -> impl Iterator<Item = (WorkerId, &'a Backend)> {
    let rows = context.backends.iter();
    rows.filter(move |row| row.1.spec.service == service)
}

/// What excludes a server that isn't eligible.
fn exclusion(
    context: &ChoiceContext<'_>,
    call: Option<&ModelCall<'_>>,
    worker: WorkerId,
    backend: &Backend,
) -> Exclusion {
    if !backend.is_ready() {
        return Exclusion::Leaving;
    }
    if let Some(exclusion) = context.exclusion(worker, backend) {
        return exclusion;
    }
    if !backend.is_reachable(context.now) {
        return Exclusion::Unreachable;
    }
    if !backend.takes_requests(context.now) {
        return Exclusion::LoadingWeights;
    }
    let Some(call) = call else {
        return Exclusion::OutdatedWeights;
    };
    let Some(weights) = backend.weights(call.model) else {
        return Exclusion::NoModel;
    };
    match outdated(weights, call.announced) {
        Some(outdated) if outdated.at == AnnouncedAt::Unknown => Exclusion::UnknownAge,
        _ => Exclusion::OutdatedWeights,
    }
}

/// What keeps a server from being sent a request before a time; `None` if nothing does.
/// `is_retry` tells whether another server was sent the request before.
pub(super) fn wait_exclusion(backend: &Backend, is_retry: bool, now: TimeMs) -> Option<Exclusion> {
    let left_ms = backend.available_at_ms().since(now);
    if left_ms == DurationMs(0) {
        let left_ms = backend.room_wait_ms(is_retry, now);
        (left_ms > DurationMs(0)).then_some(Exclusion::NoRoom { left_ms })
    } else if backend.is_paused(now) {
        Some(Exclusion::Paused { left_ms })
    } else {
        Some(Exclusion::Limited { left_ms })
    }
}
