//! A stand-in for a plain service. It runs each call that arrives: a key that it has seen before
//! changes nothing, so that calls that are run twice show in its log.

use {
    crate::{
        fault::{self, Connections, Draws, WorkerFaults, hang_up, refuse},
        log::{Log, LogEntry},
        server::{self, BindError, Running, now_ms},
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

/// How a plain service behaves.
#[derive(Clone, Debug, Args)]
pub struct PlainSettings {
    /// How long a call takes, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub service_time_ms: u64,
    /// The calls that run at the same time at the most; more are refused with 503.
    #[arg(long, default_value_t = 64)]
    pub slots: u32,
    /// What a thousand calls cost, in microcredits.
    #[arg(long, default_value_t = 0)]
    pub price_microcredits: u64,
    /// The seed of the draws that faults with a share make.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

#[derive(Debug)]
struct Plain {
    settings: PlainSettings,
    connections: Connections,
    draws: Draws,
    faults: RefCell<WorkerFaults>,
    log: RefCell<Log>,
    incarnation: Cell<u64>,
    running: Cell<u32>,
}

/// Serves a plain service at `address`.
///
/// # Errors
/// When the address can't be listened at.
pub fn bind(settings: PlainSettings, address: SocketAddr) -> Result<Running, Report<BindError>> {
    server::bind(address, move |config| {
        let plain = Rc::new(Plain {
            draws: Draws::open(settings.seed),
            settings: settings.clone(),
            connections: Connections::default(),
            faults: RefCell::default(),
            log: RefCell::default(),
            incarnation: Cell::new(rand::random()),
            running: Cell::new(0),
        });
        routes(config, plain);
    })
}

fn routes(config: &mut ServiceConfig, plain: Rc<Plain>) {
    config
        .state(plain)
        .route("/call", web::post().to(call))
        .route("/v1/health", web::get().to(health))
        .route("/v1/load", web::get().to(load))
        .route("/standin/log", web::get().to(log))
        .route("/standin/faults", web::post().to(set_faults));
}

/// Reads the whole body, since an answer before its end would break the connection.
async fn call(request: HttpRequest, plain: State<Rc<Plain>>, _body: Bytes) -> HttpResponse {
    plain
        .connections
        .answer(&request, run(&plain, &request))
        .await
}

async fn run(plain: &Rc<Plain>, request: &HttpRequest) -> HttpResponse {
    if let Some(refusal) = plain.faults.borrow().refusal() {
        return refusal;
    }
    if plain.running.get() >= plain.settings.slots {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "full");
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
    let Ok(run) = start(plain.clone(), entry).await else {
        return hang_up(request);
    };
    let lost = plain.faults.borrow().lose_answer_permille;
    if plain.draws.hits(lost) {
        return hang_up(request);
    }
    HttpResponse::Ok().json(&json!({"served": true, "attempt_id": attempt, "key": key, "run": run}))
}

/// Runs a call to its end, whether or not its caller waits. Gives the number of the run.
fn start(plain: Rc<Plain>, entry: LogEntry) -> oneshot::Receiver<u64> {
    let (answer, answered) = oneshot::channel();
    let index = plain.log.borrow_mut().push(entry);
    let run = plain.log.borrow().count();
    plain.running.set(plain.running.get() + 1);
    let takes = Duration::from_millis(plain.settings.service_time_ms);
    let slowed = plain.faults.borrow().stretch(takes);
    ntex::rt::spawn(async move {
        tokio::time::sleep(slowed).await;
        plain.connections.thawed().await;
        plain.log.borrow_mut().finish(index);
        plain.running.set(plain.running.get() - 1);
        answer.send(run).ok();
    });
    answered
}

fn header(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn health(request: HttpRequest, plain: State<Rc<Plain>>) -> HttpResponse {
    let answer =
        async { HttpResponse::Ok().json(&json!({"incarnation": plain.incarnation.get()})) };
    plain.connections.answer(&request, answer).await
}

async fn load(request: HttpRequest, plain: State<Rc<Plain>>) -> HttpResponse {
    let answer = async {
        HttpResponse::Ok().json(&json!({
            "incarnation": plain.incarnation.get(),
            "observed_at_ms": now_ms(),
            "queued_tokens": 0,
            "running": plain.running.get(),
            "slots": plain.settings.slots,
            "prefill_rate": 0,
            "import_rate": 0,
            "price_microcredits": plain.settings.price_microcredits,
            "models": [],
            "cache_pieces": 0,
            "leaving": plain.faults.borrow().leaving,
        }))
    };
    plain.connections.answer(&request, answer).await
}

async fn log(plain: State<Rc<Plain>>) -> HttpResponse {
    HttpResponse::Ok().json(&*plain.log.borrow())
}

async fn set_faults(request: HttpRequest, plain: State<Rc<Plain>>, change: Bytes) -> HttpResponse {
    let mut faults = match fault::update(&*plain.faults.borrow(), &change) {
        Ok(faults) => faults,
        Err(report) => return refuse(StatusCode::BAD_REQUEST, &format!("{report:#}")),
    };
    if std::mem::take(&mut faults.silent_connections) {
        plain.connections.silence(&request);
    }
    if std::mem::take(&mut faults.crash_to_empty) {
        plain.connections.break_all(&request);
        plain.incarnation.set(rand::random());
    }
    plain
        .connections
        .set(faults.frozen, faults.refuse_connections);
    let answer = HttpResponse::Ok().json(&faults);
    plain.faults.replace(faults);
    answer
}
