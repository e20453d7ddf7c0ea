//! Simulated model engine with continuous batching, a bounded prefix cache that publishes events,
//! load reports, load and unload orders, and answer streams that can be resumed and cancelled.

mod answer;
mod attempt;
mod batch;
mod cache;
mod chat;
mod load;
mod order;
mod platform;
mod wire;

pub use answer::expected_answer;

use {
    self::{
        batch::{Batch, BatchSettings},
        load::LoadHistory,
        platform::PlatformClient,
        wire::{CacheBody, CancelBody, EventsBody, EventsQuery},
    },
    crate::{
        fault::{self, Connections, error_response},
        server::{self, BindError, ServerHandle},
    },
    cactusspur_core::{FencingNumber, Model, WeightsVersion},
    clap::{ArgAction, Args},
    error_stack::Report,
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{
            self, HttpRequest, HttpResponse, ServiceConfig,
            types::{Query, State},
        },
    },
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::sleep_until},
};

/// Settings of a simulated engine.
#[derive(Clone, Debug, Args)]
pub struct EngineSettings {
    /// Models loaded at startup, as comma-separated `name[/adapter]@version`.
    #[arg(long, value_delimiter = ',', value_parser = parse_model)]
    pub models: Vec<Model>,
    /// Maximum number of attempts computed concurrently.
    #[arg(long, default_value_t = 16)]
    pub slots: usize,
    /// Maximum number of attempts waiting for a slot; further ones are rejected with 503.
    #[arg(long, default_value_t = 256)]
    pub queue: usize,
    /// Prefill rate, in prompt tokens per second.
    #[arg(long, default_value_t = 20_000)]
    pub prefill_rate: u64,
    /// Time between two tokens of an answer, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub decode_interval_ms: u64,
    /// Maximum length of an answer, in tokens.
    #[arg(long, default_value_t = 32)]
    pub answer_tokens: u64,
    /// Capacity of the prefix cache, in pieces.
    #[arg(long, default_value_t = 4_096)]
    pub cache_pieces: usize,
    /// Import rate from the KV cache store, in prompt tokens per second; zero disables imports.
    #[arg(long, default_value_t = 0)]
    pub import_rate: u64,
    /// Price of a thousand computed tokens, in microcredits.
    #[arg(long, default_value_t = 100)]
    pub price_microcredits: u64,
    /// Whether orders with an outdated fencing number are rejected.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    pub honours_fencing: bool,
    /// Time to load a model's weights at full rate, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    pub weight_load_ms: u64,
    /// Delay of load reports, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub load_lag_ms: u64,
    /// Address of the platform that provides the KV cache store and the weight store.
    #[arg(long)]
    pub platform: Option<SocketAddr>,
    /// Seed of the random sampling for faults that affect only a share of events.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Parses `name[/adapter]@version`.
fn parse_model(text: &str) -> Result<Model, String> {
    let (model, version) = text.rsplit_once('@').ok_or("a model needs an @version")?;
    let (name, adapter) = model
        .split_once('/')
        .map_or((model, None), |(name, adapter)| (name, Some(adapter)));
    let version = version.parse().map_err(|_| "a version is a number")?;
    Ok(Model {
        name: name.to_owned(),
        adapter: adapter.map(str::to_owned),
        weights_version: WeightsVersion(version),
    })
}

struct Engine {
    settings: EngineSettings,
    connections: Connections,
    batch: RefCell<Batch>,
    history: RefCell<LoadHistory>,
    models: RefCell<Vec<Model>>,
    fencing: Cell<FencingNumber>,
    platform: PlatformClient,
    work: Notify,
}

type Shared = State<Rc<Engine>>;

/// Starts an engine that listens on `address`.
///
/// # Errors
/// Returns an error if it can't listen on the address.
pub fn bind(
    settings: EngineSettings,
    address: SocketAddr,
) -> Result<ServerHandle, Report<BindError>> {
    server::bind(address, move |config| {
        let engine = Rc::new(Engine::new(settings.clone()));
        ntex::rt::spawn(drive(engine.clone()));
        routes(config, engine);
    })
}

fn routes(config: &mut ServiceConfig, engine: Rc<Engine>) {
    config
        .state(engine)
        .route("/v1/chat/completions", web::post().to(chat::chat))
        .route("/v1/cancel", web::post().to(cancel))
        .route("/v1/health", web::get().to(health))
        .route("/v1/load", web::get().to(load::load))
        .route("/v1/cache-events", web::get().to(cache_events))
        .route("/v1/cache", web::get().to(whole_cache))
        .route("/v1/orders", web::post().to(order::order))
        .route("/standin/log", web::get().to(log))
        .route("/standin/stats", web::get().to(stats))
        .route("/standin/faults", web::post().to(set_faults));
}

impl Engine {
    fn new(settings: EngineSettings) -> Self {
        let mut batch = Batch::new(BatchSettings {
            slots: settings.slots.max(1),
            queue: settings.queue,
            prefill_rate: settings.prefill_rate,
            decode_interval_ms: settings.decode_interval_ms,
            cache_pieces: settings.cache_pieces,
            seed: settings.seed,
        });
        batch.faults.load_lag_ms = settings.load_lag_ms;
        Self {
            connections: Connections::default(),
            batch: RefCell::new(batch),
            history: RefCell::default(),
            models: RefCell::new(settings.models.clone()),
            fencing: Cell::default(),
            platform: PlatformClient::new(settings.platform),
            work: Notify::new(),
            settings,
        }
    }

    /// Simulates a crash and restart: resets all state to that of a new process.
    fn crash(&self) {
        self.batch.borrow_mut().crash();
        self.models.replace(self.settings.models.clone());
        self.fencing.take();
    }
}

/// Advances the batch whenever work is due or arrives.
async fn drive(engine: Rc<Engine>) {
    loop {
        engine.connections.wait_until_unfrozen().await;
        let due = engine.batch.borrow_mut().advance(Instant::now());
        engine.history.borrow_mut().record(&engine.batch.borrow());
        export_computed_pieces(&engine);
        let Some(due) = due else {
            engine.work.notified().await;
            continue;
        };
        tokio::select! {
            () = engine.work.notified() => {}
            () = sleep_until(due.into()) => {}
        }
    }
}

/// Writes the computed pieces that requests asked to export to the KV cache store.
fn export_computed_pieces(engine: &Rc<Engine>) {
    let pieces = engine.batch.borrow_mut().take_exports();
    if pieces.is_empty() {
        return;
    }
    let engine = engine.clone();
    ntex::rt::spawn(async move { engine.platform.store_pieces(&pieces).await });
}

async fn cancel(request: HttpRequest, engine: Shared, body: Bytes) -> HttpResponse {
    let handler = async {
        let Ok(CancelBody { attempt_id }) = serde_json::from_slice(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "body");
        };
        engine.batch.borrow_mut().cancel_attempts(attempt_id);
        engine.work.notify_one();
        HttpResponse::Ok().finish()
    };
    engine.connections.respond(&request, handler).await
}

async fn health(request: HttpRequest, engine: Shared) -> HttpResponse {
    let handler = async {
        let incarnation = engine.batch.borrow().incarnation;
        HttpResponse::Ok().json(&json!({"incarnation": incarnation}))
    };
    engine.connections.respond(&request, handler).await
}

async fn cache_events(
    request: HttpRequest,
    engine: Shared,
    query: Query<EventsQuery>,
) -> HttpResponse {
    let handler = async {
        let batch = engine.batch.borrow();
        let lag = Duration::from_millis(batch.faults.cache_lag_ms);
        let now = Instant::now();
        let until = now.checked_sub(lag).unwrap_or(now);
        let (first_sequence, changes) = batch.events.read_since(query.after, until);
        HttpResponse::Ok().json(&EventsBody {
            incarnation: batch.incarnation,
            first_sequence,
            changes,
        })
    };
    engine.connections.respond(&request, handler).await
}

async fn whole_cache(request: HttpRequest, engine: Shared) -> HttpResponse {
    let handler = async {
        let batch = engine.batch.borrow();
        HttpResponse::Ok().json(&CacheBody {
            incarnation: batch.incarnation,
            next_sequence: batch.events.next_sequence(),
            pieces: batch.cache.pieces(),
        })
    };
    engine.connections.respond(&request, handler).await
}

async fn log(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&engine.batch.borrow().log)
}

async fn stats(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&engine.batch.borrow().stats)
}

async fn set_faults(request: HttpRequest, engine: Shared, change: Bytes) -> HttpResponse {
    let mut faults = match fault::update(&engine.batch.borrow().faults, &change) {
        Ok(faults) => faults,
        Err(report) => return error_response(StatusCode::BAD_REQUEST, &format!("{report:#}")),
    };
    if std::mem::take(&mut faults.silent_connections) {
        engine.connections.silence(&request);
    }
    if std::mem::take(&mut faults.crash_to_empty) {
        engine.connections.break_all(&request);
        engine.crash();
    }
    engine
        .connections
        .set_availability(faults.frozen, faults.refuse_connections);
    let response = HttpResponse::Ok().json(&faults);
    engine.batch.borrow_mut().faults = faults;
    engine.work.notify_one();
    response
}
