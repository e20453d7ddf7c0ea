//! The HTTP API for operators: health, readiness, metrics, status and time line.

use {
    crate::{control::ControlHandle, driver::Driver, timeline::TimelineFilter},
    cactusspur_core::{Core, Liveness, Worker},
    metrics_exporter_prometheus::PrometheusHandle,
    ntex::web::{
        self, HttpResponse,
        types::{Query, State},
    },
    serde_json::{Value, json},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// State shared by the handlers.
#[derive(Clone)]
pub struct OperatorsState {
    /// The driver with the decision core.
    pub driver: Arc<Driver>,
    /// The handle to the control, which knows the other entry VMs.
    pub control: ControlHandle,
    /// The collected metrics; absent when another recorder was installed.
    pub metrics: Option<PrometheusHandle>,
    /// Whether the process has started up.
    pub readiness: Arc<Readiness>,
    /// Whether the process is shutting down.
    pub draining: Arc<AtomicBool>,
    /// The VM's name.
    pub name: String,
    /// The failure domain's name.
    pub failure_domain: String,
}

/// How long a starting process waits until every class has a worker. After that, one class with a
/// worker is enough.
const STARTUP_LIMIT: Duration = Duration::from_secs(5);

/// Whether a process has started up. Once ready it stays ready: when a class loses its workers, the
/// callers of the other classes must still be served.
#[derive(Debug)]
pub struct Readiness {
    started_at: Instant,
    has_been_ready: AtomicBool,
}

impl Readiness {
    /// Creates the readiness of a process that starts now.
    #[must_use]
    pub fn starting_now() -> Self {
        Self {
            started_at: Instant::now(),
            has_been_ready: AtomicBool::new(false),
        }
    }

    /// Whether a load balancer may send requests to the process.
    pub fn is_ready(&self, driver: &Driver) -> bool {
        if self.has_been_ready.load(Ordering::Relaxed) {
            return true;
        }
        let (declared, served) = driver.inspect(Core::served_classes);
        let required = if self.started_at.elapsed() < STARTUP_LIMIT {
            declared.max(1)
        } else {
            1
        };
        let ready = served >= required;
        self.has_been_ready.store(ready, Ordering::Relaxed);
        ready
    }
}

/// Adds the routes of the operators' API.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/health", web::get().to(health))
        .route("/ready", web::get().to(ready))
        .route("/metrics", web::get().to(metrics))
        .route("/status", web::get().to(status))
        .route("/timeline", web::get().to(timeline));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn ready(state: State<OperatorsState>) -> HttpResponse {
    if state.readiness.is_ready(&state.driver) && !state.draining.load(Ordering::Relaxed) {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

async fn metrics(state: State<OperatorsState>) -> HttpResponse {
    let Some(metrics) = &state.metrics else {
        return HttpResponse::NotFound().finish();
    };
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(metrics.render())
}

async fn status(state: State<OperatorsState>) -> HttpResponse {
    let draining = state.draining.load(Ordering::Relaxed);
    let mut status = state.driver.inspect(|core| {
        let workers: Vec<Value> = core.workers().map(worker_status).collect();
        json!({
            "name": state.name,
            "failure_domain": state.failure_domain,
            "generation": core.generation(),
            "change_id": core.configuration().change_id,
            "accepted_at_ms": core.configuration().accepted_at_ms,
            "in_progress": core.in_progress(),
            "unsettled": core.unsettled_keys(),
            "draining": draining,
            "workers": workers,
        })
    });
    let view = state.control.view();
    status["confirmed_ms_ago"] = json!(view.confirmed_ms_ago);
    status["is_poller"] = json!(view.is_poller);
    status["members"] = json!(view.members);
    HttpResponse::Ok().json(&status)
}

async fn timeline(state: State<OperatorsState>, filter: Query<TimelineFilter>) -> HttpResponse {
    HttpResponse::Ok().json(&state.driver.timeline().select(&filter))
}

fn worker_status(worker: &Worker) -> Value {
    let liveness = match worker.liveness {
        Liveness::Alive => "alive",
        Liveness::Suspected { .. } => "suspected",
        Liveness::Dead { .. } => "dead",
    };
    json!({
        "id": worker.id,
        "liveness": liveness,
        "leaving": worker.leaving,
        "incarnation": worker.incarnation,
        "in_flight": worker.in_flight,
        "queued_tokens": worker.load.as_ref().map(|load| load.queued_tokens),
    })
}
