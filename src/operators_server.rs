//! The operators' side of a process: health, readiness, metrics, status.

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

/// What the handlers share.
#[derive(Clone)]
pub struct OperatorsState {
    /// The driver.
    pub driver: Arc<Driver>,
    /// What it does together with other entry VMs.
    pub control: ControlHandle,
    /// The collected metrics.
    pub metrics: Option<PrometheusHandle>,
    /// Whether it has started up.
    pub readiness: Arc<Readiness>,
    /// Whether the process is shutting down.
    pub draining: Arc<AtomicBool>,
    /// The VM's name.
    pub name: String,
    /// The failure domain's name.
    pub failure_domain: String,
}

/// How long a starting process waits for a worker for every class; after that one for any is
/// enough.
const START_LIMIT: Duration = Duration::from_secs(5);

/// Whether a process has started up. Once it has, it stays so: that a class has lost its workers
/// is no reason to send the other classes' callers away.
#[derive(Debug)]
pub struct Readiness {
    started_at: Instant,
    reached: AtomicBool,
}

impl Readiness {
    /// The readiness of a process that starts now.
    #[must_use]
    pub fn open() -> Self {
        Self {
            started_at: Instant::now(),
            reached: AtomicBool::new(false),
        }
    }

    /// Whether the process can serve, as far as a balancer should know.
    pub fn is_ready(&self, driver: &Driver) -> bool {
        if self.reached.load(Ordering::Relaxed) {
            return true;
        }
        let (declared, served) = driver.inspect(Core::served_classes);
        let enough = if self.started_at.elapsed() < START_LIMIT {
            declared.max(1)
        } else {
            1
        };
        let ready = served >= enough;
        self.reached.store(ready, Ordering::Relaxed);
        ready
    }
}

/// Adds the operators' routes.
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
