//! Simulated plain service. It runs every call that it receives and doesn't deduplicate idempotency
//! keys, so that its log shows calls that ran twice.

use {
    crate::{
        fault::{self, Connections, FaultSampler, WorkerFaults, break_connection, error_response},
        log::{Log, LogEntry},
        server::{self, BindError, ServerHandle, now_ms},
    },
    clap::Args,
    error_stack::Report,
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{self, HttpRequest, HttpResponse, ServiceConfig, types::State},
    },
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Settings of a simulated plain service.
#[derive(Clone, Debug, Args)]
pub struct PlainSettings {
    /// Duration of a call, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub service_time_ms: u64,
    /// Maximum number of concurrent calls; further ones are rejected with 503.
    #[arg(long, default_value_t = 64)]
    pub slots: u32,
    /// Price of a thousand calls, in microcredits.
    #[arg(long, default_value_t = 0)]
    pub price_microcredits: u64,
    /// Seed of the random sampling for faults that affect only a share of events.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

#[derive(Debug)]
struct PlainService {
    settings: PlainSettings,
    connections: Connections,
    fault_sampler: FaultSampler,
    faults: RefCell<WorkerFaults>,
    log: RefCell<Log>,
    incarnation: Cell<u64>,
    running: Cell<u32>,
}

/// Starts a plain service that listens on `address`.
///
/// # Errors
/// Returns an error if it can't listen on the address.
pub fn bind(
    settings: PlainSettings,
    address: SocketAddr,
) -> Result<ServerHandle, Report<BindError>> {
    server::bind(address, move |config| {
        let service = Rc::new(PlainService {
            fault_sampler: FaultSampler::new(settings.seed),
            settings: settings.clone(),
            connections: Connections::default(),
            faults: RefCell::default(),
            log: RefCell::default(),
            incarnation: Cell::new(rand::random()),
            running: Cell::new(0),
        });
        routes(config, service);
    })
}

fn routes(config: &mut ServiceConfig, service: Rc<PlainService>) {
    config
        .state(service)
        .route("/call", web::post().to(call))
        .route("/v1/health", web::get().to(health))
        .route("/v1/load", web::get().to(load))
        .route("/standin/log", web::get().to(log))
        .route("/standin/faults", web::post().to(set_faults));
}

/// Reads the complete body first, since responding earlier would break the connection.
async fn call(
    request: HttpRequest,
    service: State<Rc<PlainService>>,
    _body: Bytes,
) -> HttpResponse {
    service
        .connections
        .respond(&request, run(&service, &request))
        .await
}

async fn run(service: &Rc<PlainService>, request: &HttpRequest) -> HttpResponse {
    if let Some(refusal) = service.faults.borrow().refusal() {
        return refusal;
    }
    if service.running.get() >= service.settings.slots {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "full");
    }
    let entry = LogEntry {
        attempt_id: header(request, "x-attempt-id").and_then(|text| text.parse().ok()),
        key: header(request, "idempotency-key"),
        customer: header(request, "x-customer").and_then(|text| text.parse().ok()),
        started_ms: now_ms(),
        finished: false,
        cancelled: false,
    };
    let (attempt, key) = (entry.attempt_id, entry.key.clone());
    let Ok(run) = spawn_run(service.clone(), entry).await else {
        return break_connection(request);
    };
    let lost_permille = service.faults.borrow().lose_answer_permille;
    if service.fault_sampler.sample(lost_permille) {
        return break_connection(request);
    }
    HttpResponse::Ok().json(&json!({"served": true, "attempt_id": attempt, "key": key, "run": run}))
}

/// Runs a call to completion even if the caller disconnects. The receiver yields the number of the
/// run.
fn spawn_run(service: Rc<PlainService>, entry: LogEntry) -> oneshot::Receiver<u64> {
    let (answer, receiver) = oneshot::channel();
    let index = service.log.borrow_mut().push(entry);
    let run = service.log.borrow().count();
    service.running.set(service.running.get() + 1);
    let run_time = Duration::from_millis(service.settings.service_time_ms);
    let delay = service.faults.borrow().apply_slowdown(run_time);
    ntex::rt::spawn(async move {
        tokio::time::sleep(delay).await;
        service.connections.wait_until_unfrozen().await;
        service.log.borrow_mut().finish(index);
        service.running.set(service.running.get() - 1);
        answer.send(run).ok();
    });
    receiver
}

fn header(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn health(request: HttpRequest, service: State<Rc<PlainService>>) -> HttpResponse {
    let handler =
        async { HttpResponse::Ok().json(&json!({"incarnation": service.incarnation.get()})) };
    service.connections.respond(&request, handler).await
}

async fn load(request: HttpRequest, service: State<Rc<PlainService>>) -> HttpResponse {
    let handler = async {
        HttpResponse::Ok().json(&json!({
            "incarnation": service.incarnation.get(),
            "observed_at_ms": now_ms(),
            "queued_tokens": 0,
            "running": service.running.get(),
            "slots": service.settings.slots,
            "prefill_rate": 0,
            "import_rate": 0,
            "price_microcredits": service.settings.price_microcredits,
            "models": [],
            "cache_pieces": 0,
            "leaving": service.faults.borrow().leaving,
        }))
    };
    service.connections.respond(&request, handler).await
}

async fn log(service: State<Rc<PlainService>>) -> HttpResponse {
    HttpResponse::Ok().json(&*service.log.borrow())
}

async fn set_faults(
    request: HttpRequest,
    service: State<Rc<PlainService>>,
    change: Bytes,
) -> HttpResponse {
    let mut faults = match fault::update(&*service.faults.borrow(), &change) {
        Ok(faults) => faults,
        Err(report) => return error_response(StatusCode::BAD_REQUEST, &format!("{report:#}")),
    };
    if std::mem::take(&mut faults.silent_connections) {
        service.connections.silence(&request);
    }
    if std::mem::take(&mut faults.crash_to_empty) {
        service.connections.break_all(&request);
        service.incarnation.set(rand::random());
    }
    service
        .connections
        .set_availability(faults.frozen, faults.refuse_connections);
    let response = HttpResponse::Ok().json(&faults);
    service.faults.replace(faults);
    response
}
