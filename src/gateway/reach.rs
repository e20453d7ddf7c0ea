//! Finds out whether this gateway is cut off from the servers of a service, and when that ends.
//!
//! What follows from failed connections is decided in [`cactusspur_core::gateway::reach`].

use {
    super::{Shared, clock::now, link},
    bytes::Bytes,
    cactusspur_core::{DurationMs, WorkerId, gateway::Backend},
    futures::future::select_all,
    http::Request,
    http_body_util::Full,
    std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Servers that a trial asks at a time, while the service is silent and while it is out of reach.
const TRIAL_SERVERS: usize = 2;
const LOST_TRIAL_SERVERS: usize = 4;
/// The part of the time limit for contact after which a service that is silent is tried.
const SILENCE_DIVISOR: u64 = 4;
/// The part of the time limit for contact between two trials.
const TRIAL_DIVISOR: u64 = 12;
/// The part of the time limit for contact for which a trial waits for answers. A sound server may be silent
/// for a second or so.
const ANSWER_DIVISOR: u64 = 2;
/// The same when a service is out of reach already, this one or another.
const LOST_ANSWER_DIVISOR: u64 = 6;

/// Whether the servers of a service are out of reach.
pub fn is_lost(shared: &Shared, service: &str) -> bool {
    shared.state.borrow().reach.is_lost(service)
}

/// Whether a service is out of reach, and connections to its servers are refused or reset.
pub fn is_closed(shared: &Shared, service: &str) -> bool {
    let state = shared.state.borrow();
    state.reach.is_lost(service) && state.reach.has_closed(service)
}

/// Whether a server has failed: it accepts no connections, though nothing says that it leaves or that this
/// gateway is cut off. The end of a server closes its connections as the end of an answer without a length does.
pub async fn has_server_failed(
    shared: &Shared,
    service: &str,
    worker: WorkerId,
    address: SocketAddr,
) -> bool {
    let is_in_use = {
        let state = shared.state.borrow();
        state.backends.get(worker).is_some_and(Backend::is_ready)
    };
    is_in_use && !is_lost(shared, service) && link::refuses_connections(address).await
}

/// Records an answer of a server.
pub fn record_answer(shared: &Shared, service: &str) {
    shared.state.borrow_mut().reach.record_answer(service);
}

/// Records that a server accepted no connection.
pub fn record_unreachable(shared: &Rc<Shared>, service: &str, worker: WorkerId) {
    let mut state = shared.state.borrow_mut();
    let listed = state.backends.ready(service).count();
    let is_lost = state
        .reach
        .record_unreachable(service, worker, listed, now());
    drop(state);
    if is_lost {
        start_trials(shared, service);
    }
}

/// Records that the exchange with a server broke before an answer.
pub fn record_broken(shared: &Rc<Shared>, service: &str, worker: WorkerId) {
    let mut state = shared.state.borrow_mut();
    let listed = state.backends.ready(service).count();
    let is_in_doubt = state.reach.record_broken(service, worker, listed);
    drop(state);
    if is_in_doubt {
        start_trials(shared, service);
    }
}

/// Waits for an exchange with a server of a service. While the service is silent for long, trials find out
/// whether it is within reach.
pub async fn watch<F>(shared: &Rc<Shared>, service: &str, exchange: F) -> F::Output
where
    F: Future,
{
    let silence_ms = DurationMs(shared.settings.contact_limit_ms.0 / SILENCE_DIVISOR);
    let awaited_since_ms = shared.state.borrow_mut().reach.record_sent(service, now());
    let left_ms = awaited_since_ms.after(silence_ms).since(now());
    let mut exchange = pin!(exchange);
    tokio::select! {
        biased;
        output = exchange.as_mut() => return output,
        () = sleep(Duration::from_millis(left_ms.0)) => {}
    }
    let is_silent = shared
        .state
        .borrow()
        .reach
        .is_silent(service, silence_ms, now());
    if is_silent {
        start_trials(shared, service);
    }
    exchange.await
}

/// Starts trials of a service, unless some are in progress. They go on while the service is out of reach.
pub fn start_trials(shared: &Rc<Shared>, service: &str) {
    start_trials_within(shared, service, ANSWER_DIVISOR);
}

fn start_trials_within(shared: &Rc<Shared>, service: &str, answer_divisor: u64) {
    if !shared.state.borrow_mut().reach.begin_trial(service) {
        return;
    }
    let (shared, service) = (Rc::clone(shared), service.to_owned());
    ntex::rt::spawn(async move {
        run_trials(&shared, &service, answer_divisor).await;
        shared.state.borrow_mut().reach.end_trial(&service);
    });
}

async fn run_trials(shared: &Rc<Shared>, service: &str, answer_divisor: u64) {
    let contact_limit_ms = shared.settings.contact_limit_ms.0;
    let period = Duration::from_millis(contact_limit_ms / TRIAL_DIVISOR);
    let answers_before = shared.state.borrow().reach.answers(service);
    let mut is_announced = false;
    loop {
        let divisor = if is_lost(shared, service) {
            LOST_ANSWER_DIVISOR
        } else {
            answer_divisor
        };
        let probes = draw_probes(shared, service);
        let tried = probes.len();
        let limit = Duration::from_millis(contact_limit_ms / divisor);
        let failures = await_answer(probes, limit).await;
        let Some(failures) = failures.filter(|failures| !failures.is_empty()) else {
            end_loss(shared, service, is_announced);
            return;
        };
        let has_closed = failures.iter().any(|failure| failure.is_closed);
        let is_answered = {
            let reach = &shared.state.borrow().reach;
            !reach.has_closed(service) && reach.answers(service) != answers_before
        };
        if is_answered && !has_closed {
            end_loss(shared, service, is_announced);
            return;
        }
        for failure in failures {
            record_failure(shared, service, &failure);
        }
        if !is_lost(shared, service) {
            return;
        }
        if !is_announced {
            is_announced = true;
            metrics::gauge!("cactusspur_service_out_of_reach", "service" => service.to_owned())
                .set(1.0);
            tracing::warn!(service, tried, has_closed, "no server of a service answers");
            shared.peers.announce(shared);
            // The gateway may be cut off from all servers.
            for other in listed_services(shared) {
                start_trials_within(shared, &other, LOST_ANSWER_DIVISOR);
            }
        }
        sleep(period).await;
    }
}

fn record_failure(shared: &Rc<Shared>, service: &str, failure: &FailedProbe) {
    if failure.is_closed {
        record_unreachable(shared, service, failure.worker);
        return;
    }
    let mut state = shared.state.borrow_mut();
    let listed = state.backends.ready(service).count();
    // The trials go on if the service is out of reach.
    let _ = state
        .reach
        .record_silent(service, failure.worker, listed, now());
}

/// The services that have servers.
fn listed_services(shared: &Shared) -> Vec<String> {
    let state = shared.state.borrow();
    let servers = state.backends.iter();
    let mut services: Vec<&str> = servers.map(|row| row.1.spec.service.as_str()).collect();
    services.sort_unstable();
    services.dedup();
    services.into_iter().map(str::to_owned).collect()
}

/// Whether this gateway reaches another server than one that refuses connections: another one of its service, or of
/// any service if the service has no other one or they are known to have crashed.
pub async fn reaches_another(shared: &Shared, service: &str, worker: WorkerId) -> bool {
    let mut others = draw_others(shared, Some(service), worker);
    if others.is_empty() {
        others = draw_others(shared, None, worker);
    }
    any_accepts(&others).await
}

/// Some servers, of one service or of any, other than one server and those that are known to have crashed.
fn draw_others(
    shared: &Shared,
    service: Option<&str>,
    worker: WorkerId,
) -> Vec<(WorkerId, SocketAddr)> {
    let state = shared.state.borrow();
    let others = state.backends.iter().filter(|(id, backend)| {
        let spec = &backend.spec;
        *id != worker
            && backend.is_ready()
            && service.is_none_or(|service| service == spec.service)
            && !state.quarantine.has_ended(*id, spec.started_at_ms)
    });
    draw(others, LOST_TRIAL_SERVERS)
}

/// A request that shows by any answer that a server is within reach.
struct Probe {
    worker: WorkerId,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
}

/// A probe without an answer.
struct FailedProbe {
    worker: WorkerId,
    /// Whether the server refused or reset the connection, or didn't accept it in time.
    is_closed: bool,
}

/// Probes of some servers of a service that accept requests, by their own word, drawn anew each time.
fn draw_probes(shared: &Shared, service: &str) -> Vec<Probe> {
    let state = shared.state.borrow();
    let routing = state.routing.as_ref();
    let health_path = routing.and_then(|routing| Some(&routing.service(service)?.health_path));
    let request = |backend: &Backend| {
        let instance = &backend.spec.instance;
        if backend.spec.weights.is_empty() {
            shared.protocol.health_request(health_path?, instance)
        } else {
            Some(shared.protocol.engine_state_request(instance))
        }
    };
    let count = if state.reach.is_lost(service) {
        LOST_TRIAL_SERVERS
    } else {
        TRIAL_SERVERS
    };
    let drawn = draw(state.backends.ready(service), count).into_iter();
    let probes = drawn.filter_map(|(worker, address)| {
        let request = request(state.backends.get(worker)?)?;
        Some(Probe {
            worker,
            address,
            request,
        })
    });
    probes.collect()
}

fn draw<'a, I>(servers: I, count: usize) -> Vec<(WorkerId, SocketAddr)>
where
    I: Iterator<Item = (WorkerId, &'a Backend)>,
{
    let servers = servers.map(|(worker, backend)| (worker, backend.spec.address));
    let mut servers: Vec<(WorkerId, SocketAddr)> = servers.collect();
    while servers.len() > count {
        servers.swap_remove(rand::random_range(0..servers.len()));
    }
    servers
}

/// Waits until a server answers. Returns the failures if none does.
async fn await_answer(probes: Vec<Probe>, limit: Duration) -> Option<Vec<FailedProbe>> {
    let exchanges = probes.into_iter().map(|probe| {
        Box::pin(async move {
            let answer = timeout(limit, link::answers(probe.address, probe.request)).await;
            if answer == Ok(true) {
                return None;
            }
            Some(FailedProbe {
                worker: probe.worker,
                is_closed: answer.is_ok(),
            })
        })
    });
    let mut exchanges: Vec<_> = exchanges.collect();
    let mut failures = Vec::new();
    while !exchanges.is_empty() {
        let (failure, _, rest) = select_all(exchanges).await;
        failures.push(failure?);
        exchanges = rest;
    }
    Some(failures)
}

/// Whether any of the servers accepts a connection.
async fn any_accepts(servers: &[(WorkerId, SocketAddr)]) -> bool {
    let attempts = servers.iter();
    let mut attempts: Vec<_> = attempts
        .map(|(_, address)| Box::pin(link::accepts_connections(*address)))
        .collect();
    while !attempts.is_empty() {
        let (accepts, _, rest) = select_all(attempts).await;
        if accepts {
            return true;
        }
        attempts = rest;
    }
    false
}

/// Records that a service is within reach, and that its servers were not the cause of the failures.
fn end_loss(shared: &Rc<Shared>, service: &str, is_announced: bool) {
    let mut state = shared.state.borrow_mut();
    let lasted_ms = state.reach.record_reached(service, now());
    if lasted_ms.is_some() {
        for backend in state.backends.of_service_mut(service) {
            backend.forget_unreachable();
        }
    }
    drop(state);
    if is_announced {
        metrics::gauge!("cactusspur_service_out_of_reach", "service" => service.to_owned())
            .set(0.0);
        let DurationMs(lasted_ms) = lasted_ms.unwrap_or_default();
        tracing::warn!(service, lasted_ms, "a service is within reach again");
        shared.peers.announce(shared);
    }
}
